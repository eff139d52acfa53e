"""Applies a member's news of sources to a router's index and chooser."""

from typing import Protocol

from knapweedarch.relay_messages import Relayed
from knapweedarch.stored_parts import PartsIndex, unpack_digests


class SilenceListener(Protocol):
    """Learns which runners have stopped answering; see `EndpointChooser`."""

    def record_activity(self, address: str) -> None:
        """Records that a runner answers."""

    def record_silence(self, address: str) -> None:
        """Records that a runner has stopped answering."""


class IgnoredSilence:
    """Ignores silence, for a router that follows the runners itself."""

    def record_activity(self, address: str) -> None:
        """Does nothing."""

    def record_silence(self, address: str) -> None:
        """Does nothing."""


class RelayedParts:
    """Sources of one subscription.

    Args:
        index: Index that is updated.
        listener: Learns of silent and of answering sources.
    """

    def __init__(self, index: PartsIndex, listener: SilenceListener):
        self._index = index
        self._listener = listener
        self._addresses: dict[int, str] = {}

    @property
    def source_count(self) -> int:
        """Number of sources that the subscription has reported."""
        return len(self._addresses)

    def reset(self) -> None:
        """Starts a new subscription, which begins with snapshots."""
        self._addresses.clear()
        self._index.clear()

    def receive(self, news: Relayed) -> None:
        """Applies a message.

        Raises:
            ValueError: The message is malformed.
        """
        for snapshot in news.snapshots:
            self._addresses[snapshot.number] = snapshot.address
            self._index.parts_at(snapshot.address).replace(
                unpack_digests(snapshot.stored)
            )
            self._listener.record_activity(snapshot.address)
        for changes in news.changes:
            if address := self._addresses.get(changes.number):
                self._index.parts_at(address).update(
                    unpack_digests(changes.stored),
                    unpack_digests(changes.evicted),
                )
                self._listener.record_activity(address)
        for number in news.removed:
            if address := self._addresses.pop(number, None):
                self._forget(address)
        for number in news.silent:
            if address := self._addresses.get(number):
                self._index.parts_at(address).clear()
                self._listener.record_silence(address)

    def _forget(self, address: str) -> None:
        """Forgets a source, unless a later number names the same address."""
        if address not in self._addresses.values():
            self._index.forget(address)
