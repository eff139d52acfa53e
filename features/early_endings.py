"""Endpoint that answers an upload early, or with an invalid status."""

import contextlib
import socket
import struct

import anyio
import anyio.abc
import attrs
import h11

from features.proxy_harness import HOST, KEY, ScriptedRunner

UPLOAD_BYTES = 2_000_000
# Small, so that most of an upload cannot be in the endpoint's buffers.
RECEIVE_BUFFER_BYTES = 16 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# An endpoint that ends only its own side resets the connection after this.
RESET_DELAY_S = 0.1
READ_BYTES = 65_536
CALLER_TIMEOUT_S = 6.0
PART = b"id: 1\ndata: piece 1\n\n"
LATE_REST_BYTES = 64 * 1024

# Bytes of the upload that the endpoint reads before it answers.
PLACES = {
    "none of": 0,
    "half of": UPLOAD_BYTES // 2,
    "most of": UPLOAD_BYTES - LATE_REST_BYTES,
    "all but one byte of": UPLOAD_BYTES - 1,
    "all of": UPLOAD_BYTES,
}


@attrs.define(eq=False)
class EarlyEndpoint(ScriptedRunner):
    """Answers before it has read a request, and ends its connection early.

    Attributes:
        status_line: Status line of its answers, without the version.
        framing: `no length`, `a length` or `chunks`.
        reads: Key of `PLACES`.
        ends: `resets` the connection, `closes` it, `ends its side` and resets
            the connection later, or `goes on` as after a whole answer.
        is_whole: Whether the body that it sends is whole.
        sound_answers: Requests on each connection that get a whole answer
            before.
    """

    status_line: str = "200 OK"
    framing: str = "no length"
    reads: str = "none of"
    ends: str = "resets"
    is_whole: bool = False
    sound_answers: int = 0

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves one connection."""
        self.connections += 1
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            for _ in range(self.sound_answers):
                ids = await self._read(stream, UPLOAD_BYTES)
                await stream.send(_head(ids, "200 OK", b"content-length: 2"))
                await stream.send(b"{}")
            ids = await self._read(stream, PLACES[self.reads])
            await stream.send(self._answer(ids))
            if self.ends == "ends its side":
                await stream.send_eof()
                await anyio.sleep(RESET_DELAY_S)
            if self.ends == "goes on":
                await anyio.sleep_forever()
        if self.ends != "closes":
            with contextlib.suppress(OSError):
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        await stream.aclose()

    async def _read(self, stream, limit: int) -> dict[bytes, bytes]:
        """Reads a head and up to `limit` bytes of its body.

        Returns:
            The headers that an answer must repeat.
        """
        data = b""
        while b"\r\n\r\n" not in data:
            data += await stream.receive(1024)
        head, _, body = data.partition(b"\r\n\r\n")
        headers = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
        )
        left = min(limit, int(headers.get(b"content-length", 0))) - len(body)
        while left > 0:
            left -= len(await stream.receive(min(left, READ_BYTES)))
        names = (b"x-request-id", b"x-attempt-id", b"x-knapweedarch-request-id")
        return {name: headers[name] for name in names if name in headers}

    def _answer(self, ids: dict[bytes, bytes]) -> bytes:
        framings = {
            "no length": (b"", PART),
            "a length": (
                b"content-length: %d"
                % (len(PART) + (0 if self.is_whole else 100)),
                PART,
            ),
            "chunks": (
                b"transfer-encoding: chunked",
                b"%x\r\n%b\r\n" % (len(PART), PART)
                + (b"0\r\n\r\n" if self.is_whole else b""),
            ),
        }
        header, body = framings[self.framing]
        return _head(ids, self.status_line, header) + body


def _head(ids: dict[bytes, bytes], status: str, header: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status}".encode()]
    lines += [b"%b: %b" % pair for pair in ids.items()]
    lines += [header] if header else []
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def listen(group, handler) -> int:
    """Serves connections with a small receive buffer; returns the port."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    for part in listener.listeners:
        part.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
    group.start_soon(listener.serve, handler)
    return listener.extra(anyio.abc.SocketAttribute.local_port)


@attrs.define
class Received:
    """What a caller received.

    Attributes:
        status: Status of the answer; 0 if there is none.
        body: Its body, as far as it came.
        is_complete: Whether it looks complete to the caller.
    """

    status: int = 0
    body: bytes = b""
    is_complete: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the caller takes it for a whole answer of the endpoint."""
        return self.is_complete and self.status < 500


def proxy_head(route: str, version: str, size: int = UPLOAD_BYTES) -> bytes:
    """Builds the head of a request to the proxy's route named `route`."""
    return (
        f"POST /{route}/x HTTP/{version}\r\nHost: {HOST}\r\n"
        "X-Knapweedarch-Request-Id: r1\r\n"
        f"Authorization: Token {KEY}\r\n"
        "X-Knapweedarch-Deadline-Ms: 2000\r\n"
        f"Content-Length: {size}\r\n\r\n"
    ).encode()


async def call(port: int, head: bytes, body: bytes) -> Received:
    """Sends a request and reads its answer as a strict caller does."""
    received = Received()
    stream = await anyio.connect_tcp("127.0.0.1", port)
    with anyio.move_on_after(CALLER_TIMEOUT_S):
        async with stream:
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(head + body)
            # An end within chunks or before a named length.
            with contextlib.suppress(h11.RemoteProtocolError):
                await _read_answer(stream, received)
    return received


async def _read_answer(stream, received: Received) -> None:
    protocol = h11.Connection(h11.CLIENT)
    head = h11.Request(method="POST", target="/", headers=[("host", "a")])
    protocol.send(head)
    protocol.send(h11.EndOfMessage())
    while True:
        match protocol.next_event():
            case h11.NEED_DATA:
                try:
                    protocol.receive_data(await stream.receive())
                except anyio.EndOfStream:
                    protocol.receive_data(b"")
                except anyio.BrokenResourceError:
                    return
            case h11.Response(status_code=status):
                received.status = status
            case h11.Data(data=data):
                received.body += data
            case h11.EndOfMessage():
                received.is_complete = True
                return
            case h11.ConnectionClosed():
                return
