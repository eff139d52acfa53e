"""Messages by which members relay cached parts and loads to routers."""

import attrs


@attrs.frozen
class Subscribe:
    """Asks a member for the cached parts and loads that it knows.

    The subscription lasts as long as the link.

    Attributes:
        name: Name of the subscribing router or member.
        data_centre: Data centre of the subscriber.
        is_member: Whether the subscriber is a member. It gets only what the
            sender learns itself, as it hears of the rest from other members.
    """

    name: str
    data_centre: str
    is_member: bool = False


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
    """

    name: str
    data_centre: str
    others: tuple[MemberPlace, ...] = ()


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
        endpoint_id: The endpoint.
        requests: Requests whose answer is not complete.
        unread_tokens: Prompt tokens of the requests without a first event.
        held_tokens: Prompt and answer tokens of all these requests.
    """

    endpoint_id: str
    requests: int
    unread_tokens: int
    held_tokens: int


@attrs.frozen
class LoadChanges:
    """Loads that have changed, from a router or from a member's routers.

    Attributes:
        number: Number of this message on its link.
        loads: New loads of the endpoints whose load has changed.
    """

    number: int
    loads: tuple[EndpointLoad, ...]


@attrs.frozen
class LoadTotals:
    """Changed loads that all routers cause together, the receiver included.

    A message without loads confirms the earlier ones.

    Attributes:
        loads: New totals of the endpoints whose total has changed.
    """

    loads: tuple[EndpointLoad, ...]


@attrs.frozen
class LoadsReceived:
    """The totals that follow include this load message of the receiver.

    Attributes:
        number: Number of the newest `LoadChanges` included.
    """

    number: int
