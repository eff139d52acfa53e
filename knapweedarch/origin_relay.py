"""A member's part in keeping the software versions at which streams began.

It keeps what its routers and the other members report, passes the reports of
its routers on to the other members, and answers look-ups. All times are seconds
on the member's clock.
"""

from collections.abc import Iterable

from knapweedarch.origin_messages import (
    FindOrigins,
    Origin,
    OriginsFound,
    StreamOrigins,
    pack_origins,
    unpack_digests,
    unpack_origins,
)
from knapweedarch.origin_table import OriginTable

# At 4,600 streams a second and a time limit of 55 s of their callers.
MAX_ENTRIES = 300_000
NO_ORIGINS = StreamOrigins((), b"")


class OriginRelay:
    """Origins known to a member, and those on their way to other members."""

    def __init__(self) -> None:
        self._table = OriginTable(MAX_ENTRIES)
        self._queue: list[Origin] = []

    def receive(
        self, message: StreamOrigins, is_member: bool, now: float
    ) -> None:
        """Records the origins reported by a router or another member.

        Raises:
            ValueError: The message is malformed.
        """
        origins = unpack_origins(message)
        for origin in origins:
            self._table.record(origin, now, is_own=not is_member)
        if not is_member:
            self._queue += origins

    def find(self, message: FindOrigins, now: float) -> OriginsFound:
        """Returns those of the origins that are known.

        Raises:
            ValueError: The message is malformed.
        """
        found = []
        for digest in unpack_digests(message.digests):
            version = self._table.find(digest, now)
            if version is not None:
                found.append(Origin(digest, version, 0.0))
        return OriginsFound(_first(pack_origins(found)))

    def take_reports(self, now: float) -> list[StreamOrigins]:
        """Returns what is to be passed on to the other members."""
        self._table.expire(now)
        queue, self._queue = self._queue, []
        return pack_origins(queue)

    def known_reports(self, now: float) -> list[StreamOrigins]:
        """Returns what another member must know at the start of a link."""
        return pack_origins(self._table.own(now))


def _first(messages: Iterable[StreamOrigins]) -> StreamOrigins:
    return next(iter(messages), NO_ORIGINS)
