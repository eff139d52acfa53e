"""Messages by which members relay cached parts and loads to routers."""

import struct
from collections.abc import Iterable

import attrs
import xxhash

# A packed load: hash of the endpoint, requests, unread and held tokens.
_LOAD = struct.Struct(">IHHH")
# Tokens are packed in units of this many.
TOKEN_UNIT = 64
_MAX_COUNT = 0xFFFF
# Names of the message classes that this build takes beyond those that every
# build takes. Each part that adds relay messages adds their names here.
ACCEPTED_MESSAGES: tuple[str, ...] = (
    *("QuotaAsk", "QuotaGrant", "QuotaBorrow", "QuotaLoan"),
    *("SpeedReport", "CapacityReport", "UsageReport"),
)


@attrs.frozen
class Subscribe:
    """Asks a member for the cached parts and loads that it knows.

    The subscription lasts as long as the link.

    Attributes:
        name: Name of the subscribing router or member.
        data_centre: Data centre of the subscriber.
        is_member: Whether the subscriber is a member. It gets only what the
            sender learns itself, as it hears of the rest from other members.
        accepts: Names of further message classes that the subscriber takes. A
            process of an earlier build closes a link on which it gets one that
            it does not know.
    """

    name: str
    data_centre: str
    is_member: bool = False
    accepts: tuple[str, ...] = ()


@attrs.frozen
class MemberPlace:
    """Data centre of a member."""

    name: str
    data_centre: str


@attrs.frozen
class Subscribed:
    """Accepts a subscription; snapshots follow.

    Attributes:
        name: Name of the member.
        data_centre: Data centre of the member.
        others: The other members that it reaches.
        takes_origins: Whether it keeps origins of streams. A process of an
            earlier build does not, and closes a link on which it gets some.
        accepts: Names of further message classes that it takes.
    """

    name: str
    data_centre: str
    others: tuple[MemberPlace, ...] = ()
    takes_origins: bool = False
    accepts: tuple[str, ...] = ()


@attrs.frozen
class SourceSnapshot:
    """All parts that a runner or store has cached.

    Attributes:
        number: Number by which later messages on this link name the source.
        address: IP address and port of the source.
        stored: Digests of the parts, packed by `stored_parts.pack_digests`.
    """

    number: int
    address: str
    stored: bytes


@attrs.frozen
class SourceChanges:
    """Changes of the parts cached at a source, which answers.

    Attributes:
        number: Number from the snapshot of the source.
        stored: Packed digests of the parts stored since the last message.
        evicted: Packed digests of the parts evicted since then.
    """

    number: int
    stored: bytes
    evicted: bytes


@attrs.frozen
class Relayed:
    """News of sources since the last message on this link.

    Attributes:
        snapshots: Sources that are new or were restarted.
        changes: Sources with changes, and those that answer again.
        silent: Numbers of the sources that have stopped answering.
        removed: Numbers that are not used any more.
    """

    snapshots: tuple[SourceSnapshot, ...] = ()
    changes: tuple[SourceChanges, ...] = ()
    silent: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@attrs.frozen
class ResendSources:
    """Asks a member for snapshots of sources whose changes do not fit.

    Attributes:
        numbers: Numbers of the sources in that member's messages.
    """

    numbers: tuple[int, ...]


@attrs.frozen
class EndpointLoad:
    """Load of one endpoint caused by routers.

    Attributes:
        endpoint: Hash of the endpoint's id; see `endpoint_digest`.
        requests: Requests whose answer is not complete.
        unread_tokens: Prompt tokens of the requests without a first event.
        held_tokens: Prompt and answer tokens of all these requests.
    """

    endpoint: int
    requests: int
    unread_tokens: int
    held_tokens: int


@attrs.frozen
class LoadChanges:
    """Loads that have changed, from a router or from a member's routers.

    Attributes:
        number: Number of this message on its link.
        packed: New loads of the endpoints whose load has changed, packed by
            `pack_loads`.
    """

    number: int
    packed: bytes


@attrs.frozen
class LoadTotals:
    """Changed loads that all routers cause together, the receiver included.

    A message without loads confirms the earlier ones.

    Attributes:
        packed: New totals of the endpoints whose total has changed, packed by
            `pack_loads`.
        received: Number of the newest `LoadChanges` of the receiver that the
            totals include; 0 if none.
    """

    packed: bytes
    received: int = 0


def endpoint_digest(endpoint_id: str) -> int:
    """Returns the hash that stands for an endpoint in messages of loads."""
    return xxhash.xxh32_intdigest(endpoint_id.encode())


def pack_loads(loads: Iterable[EndpointLoad]) -> bytes:
    """Packs loads; tokens are rounded up to a multiple of `TOKEN_UNIT`."""
    return b"".join(
        _LOAD.pack(
            load.endpoint,
            min(load.requests, _MAX_COUNT),
            min(-(-load.unread_tokens // TOKEN_UNIT), _MAX_COUNT),
            min(-(-load.held_tokens // TOKEN_UNIT), _MAX_COUNT),
        )
        for load in loads
    )


def unpack_loads(data: bytes) -> tuple[EndpointLoad, ...]:
    """Unpacks loads.

    Raises:
        ValueError: The data is no sequence of packed loads.
    """
    if len(data) % _LOAD.size:
        raise ValueError(f"{len(data)} bytes are no packed loads")
    return tuple(
        EndpointLoad(endpoint, requests, unread * TOKEN_UNIT, held * TOKEN_UNIT)
        for endpoint, requests, unread, held in _LOAD.iter_unpack(data)
    )
