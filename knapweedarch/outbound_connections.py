"""Connections to endpoints: opening, input that has arrived, closing."""

import select
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs
import h11

from knapweedarch.http_messages import Headers
from knapweedarch.tunnel_stream import TunnelStream

CONNECT_TIMEOUT_S = 0.35
MAX_PORT = 65_535

# Returns whether an answer with these headers belongs to a request.
IsOwnAnswer = Callable[[Headers], bool]
# Connects to an address; raises OSError or TimeoutError.
Connect = Callable[[str], Awaitable[anyio.abc.ByteStream]]


@attrs.define(eq=False)
class Connection:
    """A connection to an endpoint.

    Attributes:
        stream: The byte stream.
        protocol: State of the HTTP exchange.
        opened_at: When it was open, in seconds on the pool's clock.
        idle_until: Until when it may be reused, on the same clock.
        refusals: Headers of the refusals received on it. A faulty endpoint may
            write one again, while it runs a later request.
    """

    stream: anyio.abc.ByteStream
    protocol: h11.Connection
    opened_at: float
    idle_until: float = 0.0
    refusals: list[Headers] = attrs.field(factory=list)

    def may_repeat_refusal_of(self, is_own_answer: IsOwnAnswer) -> bool:
        """Returns whether an earlier refusal could be taken for an answer."""
        return any(is_own_answer(headers) for headers in self.refusals)

    def has_no_input(self) -> bool:
        """Returns whether neither bytes nor an end of stream has arrived."""
        return has_no_input(self.stream)


async def connect_directly(address: str) -> anyio.abc.SocketStream:
    """Connects to an endpoint.

    Raises:
        OSError: The connection failed.
        TimeoutError: Connecting took longer than `CONNECT_TIMEOUT_S`.
    """
    host, _, port = address.rpartition(":")
    # An odd entry in the list of endpoints must fail as one that is not there.
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise OSError(f"{address!r} is not an address")
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return await anyio.connect_tcp(host.strip("[]"), int(port))
    except UnicodeError as exc:
        raise OSError(f"{address!r} has no host name") from exc


def has_no_input(stream: anyio.abc.ByteStream) -> bool:
    """Returns whether neither bytes nor an end of a stream has arrived."""
    if isinstance(stream, TunnelStream):
        return stream.has_no_input
    sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return not poll.poll(0)


async def close_connection(conn: Connection) -> None:
    """Closes a connection at once, also while its task is cancelled."""
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(conn.stream)
