"""A router's memory of where streams began, and its look-ups at the members."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import anyio
import attrs

from knapweedarch.control import ControlClient
from knapweedarch.exceptions import CodecError, ControlError, LinkError
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.origin_messages import (
    MAX_ORIGINS,
    FindOrigins,
    Origin,
    OriginsFound,
    ReadVersions,
    origin_digest,
    pack_digests,
    pack_origins,
    unpack_origins,
)
from knapweedarch.origin_table import OriginTable
from knapweedarch.relay_client import RelayClient
from knapweedarch.timers import Clock

MAX_ENTRIES = 16_384
# Time from the first event's record until it is dropped, beyond the time that
# the caller waits for the stream.
KEPT_MARGIN_S = 10.0
LOOK_UP_TIMEOUT_S = 0.6
# A member answers within a round trip. A look-up must last for the router's
# member, the leader's own records and what the leader knows of versions.
REPLY_TIMEOUT_S = 0.2
RETRY_DELAY_S = 0.05
# A silent member leaves time for two questions to the leader.
MEMBER_TIMEOUT_S = 0.15


class StreamOriginsPort(Protocol):
    """What the relay of streams needs to know of their origins."""

    def record(self, request_id: str, version: str, limit_s: float) -> None:
        """Records the version that wrote the first event of a stream.

        Args:
            request_id: Id of the caller's request.
            version: Software version of the endpoint.
            limit_s: Time in seconds that the caller waits for the stream.
        """

    async def find(self, request_id: str, model: str) -> str | None:
        """Returns the version at which a stream began, or None if unknown.

        Args:
            request_id: Id of the request that brought its first event; empty
                if the caller does not name it.
            model: Name of the model that writes it; empty if it has none.
        """


@attrs.define(eq=False)
class _LookUp:
    """A look-up that waits for the members."""

    digest: int
    model: str
    version: str | None = None
    done: anyio.Event = attrs.field(factory=anyio.Event)


class OriginClient:
    """Implements `StreamOriginsPort` with the router's member and the leader.

    Args:
        relay: The router's subscription.
        control: Client of the leader.
        clock: Clock of the process.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        relay: RelayClient,
        control: ControlClient,
        clock: Clock,
        metrics: Metrics,
    ):
        self._relay = relay
        self._control = control
        self._clock = clock
        self._metrics = metrics
        self._table = OriginTable(MAX_ENTRIES)
        self._unreported: list[Origin] = []
        self._waiting: list[_LookUp] = []
        self._wanted = anyio.Event()
        self._mixed_models: set[str] = set()
        relay.on_subscribed.append(self._report_all)

    def record(self, request_id: str, version: str, limit_s: float) -> None:
        """Records the version that wrote the first event of a stream."""
        kept_s = limit_s + KEPT_MARGIN_S
        origin = Origin(origin_digest(request_id), version, kept_s)
        self._table.record(origin, self._clock.now())
        # Without a subscription the table keeps it for the next one.
        if self._relay.takes_origins:
            self._unreported.append(origin)

    def report(self) -> None:
        """Reports to the member what was recorded since the last call."""
        self._table.expire(self._clock.now())
        origins, self._unreported = self._unreported, []
        for message in pack_origins(origins):
            self._relay.send_reports(message)

    def _report_all(self) -> None:
        self._unreported.clear()
        if self._relay.takes_origins:
            self._unreported += self._table.own(self._clock.now())

    async def find(self, request_id: str, model: str) -> str | None:
        """Returns the version at which a stream began, or None if unknown."""
        digest = origin_digest(request_id)
        known = self._table.find(digest, self._clock.now())
        if request_id and known is not None:
            return known
        look_up = _LookUp(digest, model)
        self._waiting.append(look_up)
        self._wanted.set()
        with anyio.move_on_after(LOOK_UP_TIMEOUT_S):
            await look_up.done.wait()
        if look_up in self._waiting:
            self._waiting.remove(look_up)
        is_known = look_up.version is not None
        self._metrics.count(f"origins.{'found' if is_known else 'unknown'}")
        return look_up.version

    async def run(self) -> None:
        """Looks up, in one message at a time, what requests wait for."""
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            while batch := self._waiting[:MAX_ORIGINS]:
                is_answered = await self._look_up(batch)
                self._complete(
                    [w for w in batch if is_answered or w.version is not None]
                )
                if not is_answered:
                    await anyio.sleep(RETRY_DELAY_S)

    def _complete(self, look_ups: list[_LookUp]) -> None:
        done = {id(look_up) for look_up in look_ups}
        self._waiting = [w for w in self._waiting if id(w) not in done]
        for look_up in look_ups:
            look_up.done.set()

    async def _look_up(self, batch: list[_LookUp]) -> bool:
        """Looks up origins; returns whether any member has answered.

        What the router's own member does not know or does not say in time, the
        leader may: the member can be slow, or cut off from the others.
        """
        is_answered = await self._ask(batch, self._ask_member)
        missing = _unknown(batch)
        if not missing:
            return True
        has_leader = await self._ask(missing, self._ask_leader)
        if not is_answered:
            # The member may still know; it is asked again while time is left.
            return has_leader and not _unknown(missing)
        unknown = _unknown(missing)
        for model in {look_up.model for look_up in unknown}:
            version = await self._only_version(model)
            for look_up in unknown:
                if look_up.model == model:
                    look_up.version = version
        return True

    async def _ask(
        self,
        batch: list[_LookUp],
        send: Callable[[FindOrigins], Awaitable[OriginsFound]],
    ) -> bool:
        """Asks one member; returns whether it has answered."""
        digests = pack_digests([look_up.digest for look_up in batch])
        try:
            reply = await send(FindOrigins(digests))
            found = {o.digest: o.version for o in unpack_origins(reply.found)}
        except (LinkError, ControlError, CodecError, ValueError) as exc:
            log("origins_not_found", reason=str(exc), waiting=len(batch))
            return False
        for look_up in batch:
            look_up.version = found.get(look_up.digest)
        return True

    async def _ask_member(self, message: FindOrigins) -> OriginsFound:
        return await self._relay.call(message, MEMBER_TIMEOUT_S)

    async def _ask_leader(self, message: FindOrigins) -> OriginsFound:
        return await self._control.request(message, REPLY_TIMEOUT_S)

    async def _only_version(self, model: str) -> str | None:
        """Returns the version of a model that has only ever had one.

        The service does not matter: one route may lead to several, and to
        others in each configuration.
        """
        if model in self._mixed_models:
            return None
        try:
            reply = await self._control.request(
                ReadVersions(model), REPLY_TIMEOUT_S
            )
        except ControlError as exc:
            log("origins_not_found", reason=str(exc), waiting=0)
            return None
        if len(reply.versions) > 1:
            self._mixed_models.add(model)
        return reply.versions[0] if len(reply.versions) == 1 else None


def _unknown(batch: Iterable[_LookUp]) -> list[_LookUp]:
    return [look_up for look_up in batch if look_up.version is None]
