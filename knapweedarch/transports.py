"""HTTP transport to endpoints, over `anyio` streams and `h11`.

It differs from the stock transport of httpx in what the promises of the
router need: the last check before a send runs after the connection is open
and before the first byte, and a connection goes back to the pool only after a
complete answer with nothing behind it. It also relays a token in about half
of the CPU time, since it has no layers between `h11` and the socket.
"""

import contextlib
import select
from collections.abc import Callable

import anyio
import anyio.abc
import attrs
import h11
import httpx

from knapweedarch.chunks import ChunkDecoder, ChunkError
from knapweedarch.timers import Clock, ManualClock

CONNECT_S = 1.0
# Below the 5 s after which hypercorn and most servers close idle connections.
KEEP_ALIVE_S = 2.0
MAX_IDLE = 64
MAX_HEAD_BYTES = 64 * 1024
READ_BYTES = 64 * 1024
# Interval between two sweeps of idle connections.
SWEEP_S = 1.0

_STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Connection:
    """One HTTP/1.1 connection to an endpoint.

    Attributes:
        idle_since: Time of its return to the pool, in seconds.
    """

    def __init__(self, stream: anyio.abc.SocketStream):
        self.idle_since = 0.0
        self._stream = stream
        self._start_exchange()

    def _start_exchange(self) -> None:
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._held: object = h11.NEED_DATA
        self._chunks: ChunkDecoder | None = None

    async def send(self, request: httpx.Request) -> None:
        """Writes a whole request.

        Raises:
            httpx.WriteError: The connection broke.
        """
        head = h11.Request(
            method=request.method,
            target=request.url.raw_path,
            headers=request.headers.raw,
        )
        data = self._http.send(head)
        if request.content:
            data += self._http.send(h11.Data(data=request.content))
        data += self._http.send(h11.EndOfMessage())
        try:
            await self._stream.send(data)
        except _STREAM_ERRORS as exc:
            raise httpx.WriteError(repr(exc)) from exc

    async def read_head(self) -> h11.Response:
        """Reads the head of the answer.

        Raises:
            httpx.TransportError: The connection broke or sent no HTTP.
        """
        while True:
            match event := await self._next_event():
                case h11.Response():
                    if (b"transfer-encoding", b"chunked") in event.headers:
                        self._chunks = ChunkDecoder()
                        self._chunks.rest = self._http.trailing_data[0]
                    return event
                case h11.InformationalResponse():
                    continue
            raise httpx.RemoteProtocolError(f"unexpected {event!r}")

    async def read_part(self) -> bytes:
        """Reads what has arrived of the body; empty at its end.

        Raises:
            httpx.TransportError: The connection broke or sent no HTTP.
        """
        if self._chunks is not None:
            return await self._read_chunks(self._chunks)
        event = await self._next_event()
        if not isinstance(event, h11.Data):
            return b""
        part = bytes(event.data)
        # Parts that arrived together are relayed together.
        while isinstance(event := self._buffered_event(), h11.Data):
            part += event.data
        self._held = event
        return part

    async def _read_chunks(self, chunks: ChunkDecoder) -> bytes:
        try:
            part = chunks.feed(b"") if chunks.rest else b""
            while not part and not chunks.done:
                data = await self._receive()
                if not data:
                    raise httpx.RemoteProtocolError("the body was cut off")
                part = chunks.feed(data)
        except ChunkError as exc:
            raise httpx.RemoteProtocolError(str(exc)) from exc
        return part

    async def _next_event(self) -> object:
        event, self._held = self._held, h11.NEED_DATA
        while event is h11.NEED_DATA:
            event = self._buffered_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._receive())
        return event

    def _buffered_event(self) -> object:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as exc:
            raise httpx.RemoteProtocolError(str(exc)) from exc

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            if self._http.their_state is h11.SEND_RESPONSE:
                raise httpx.RemoteProtocolError("no answer came") from None
            return b""
        except _STREAM_ERRORS as exc:
            raise httpx.ReadError(repr(exc)) from exc

    def reset(self) -> bool:
        """Prepares for another exchange; returns whether that is possible."""
        if self._chunks is None:
            clean = (
                self._http.their_state is h11.DONE
                and self._http.trailing_data == (b"", False)
            )
        else:
            # `h11` knows from the head whether the endpoint keeps it open.
            clean = (
                self._chunks.done
                and not self._chunks.rest
                and self._http.our_state is not h11.MUST_CLOSE
            )
        clean = clean and self._http.our_state is h11.DONE
        self._start_exchange()
        return clean

    def readable(self) -> bool:
        """Tells whether an idle connection was closed or got stray bytes."""
        sock = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        if sock.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def close(self) -> None:
        """Closes the connection at once."""
        with contextlib.suppress(OSError):
            await anyio.aclose_forcefully(self._stream)


@attrs.define
class Body(httpx.AsyncByteStream):
    """Body of an answer, read part by part.

    Attributes:
        complete: Whether the whole body was read.
    """

    _transport: "EndpointTransport"
    _origin: tuple[str, int]
    _connection: Connection
    complete: bool = False
    _closed: bool = False

    def __aiter__(self) -> "Body":
        return self

    async def __anext__(self) -> bytes:
        if self.complete or not (part := await self._connection.read_part()):
            self.complete = True
            raise StopAsyncIteration
        return part

    async def aclose(self) -> None:
        """Returns the connection to the pool, or closes it."""
        if not self._closed:
            self._closed = True
            await self._transport.release(
                self._origin, self._connection, self.complete
            )


class EndpointTransport(httpx.AsyncBaseTransport):
    """Pool of connections by endpoint.

    A request may carry the extension `before_send`, a function that is
    called when the connection is open and before the first byte is written,
    and the extension `own_connection` for one that no other exchange uses.
    """

    def __init__(self, clock: Clock | ManualClock):
        self._clock = clock
        self._idle: dict[tuple[str, int], list[Connection]] = {}
        self._swept_at = 0.0

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Sends a request and reads the head of its answer.

        Raises:
            httpx.ConnectError: No connection; nothing was written.
            httpx.TransportError: The exchange failed.
        """
        origin = request.url.host, request.url.port or 80
        single = bool(request.extensions.get("own_connection"))
        connection = None if single else await self._take_idle(origin)
        if connection is None:
            connection = await self._connect(origin)
        before_send: Callable[[], None] = request.extensions["before_send"]
        try:
            before_send()
            await connection.send(request)
            head = await connection.read_head()
        except BaseException:
            with anyio.CancelScope(shield=True):
                await connection.close()
            raise
        return httpx.Response(
            head.status_code,
            headers=head.headers.raw_items(),
            stream=Body(self, origin, connection),
        )

    async def _connect(self, origin: tuple[str, int]) -> Connection:
        host, port = origin
        try:
            with anyio.fail_after(CONNECT_S):
                return Connection(await anyio.connect_tcp(host, port))
        except (OSError, TimeoutError) as exc:
            raise httpx.ConnectError(f"{host}:{port}: {exc!r}") from exc

    async def _take_idle(self, origin: tuple[str, int]) -> Connection | None:
        idle = self._idle.get(origin, [])
        oldest = self._clock.now() - KEEP_ALIVE_S
        while idle:
            connection = idle.pop()
            if connection.idle_since > oldest and not connection.readable():
                return connection
            await connection.close()
        return None

    async def release(
        self, origin: tuple[str, int], connection: Connection, complete: bool
    ) -> None:
        """Takes a connection back after an exchange."""
        with anyio.CancelScope(shield=True):
            idle = self._idle.setdefault(origin, [])
            if complete and len(idle) < MAX_IDLE and connection.reset():
                connection.idle_since = self._clock.now()
                idle.append(connection)
            else:
                await connection.close()
            await self._sweep()

    async def _sweep(self) -> None:
        now = self._clock.now()
        if now - self._swept_at < SWEEP_S:
            return
        self._swept_at = now
        for origin, idle in list(self._idle.items()):
            kept = [c for c in idle if now - c.idle_since < KEEP_ALIVE_S]
            stale = [c for c in idle if c not in kept]
            if kept:
                self._idle[origin] = kept
            else:
                del self._idle[origin]
            for connection in stale:
                await connection.close()

    async def aclose(self) -> None:
        """Closes every idle connection."""
        idle, self._idle = self._idle, {}
        for connections in idle.values():
            for connection in connections:
                await connection.close()
