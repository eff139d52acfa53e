"""Callers that send what no ordinary caller sends, and stay connected.

Each kind is a function that sends on one connection. Its errors and a server
that reads no more are part of the load: the connection is kept open either way.
"""

import contextlib
import pathlib
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import anyio.abc
import attrs

# Length limit of a body in the default configuration.
BODY_BYTES = 4 * 1024 * 1024
PIECE_BYTES = 64 * 1024
ANNOUNCED_BYTES = 900_000_000
ENDLESS_BYTES = 4 * BODY_BYTES
TINY_CHUNK_BYTES = 524_288
HEAD_BYTES = 1024 * 1024
SINGLE_BYTES = 1_500
PIPELINED = 1_500
# Pause in seconds between the pieces of a body that is sent piece by piece.
PIECE_PAUSE_S = 0.01
# A server that reads no more ends the sending after this many seconds.
SEND_GIVE_UP_S = 10.0
# One in this many callers sends a whole request.
WHOLE_EVERY = 6
SAMPLE_INTERVAL_S = 0.05
FILLER = bytes(BODY_BYTES)


@attrs.frozen
class Target:
    """What callers send to.

    Attributes:
        host: IP address.
        port: Port.
        head: Request line and headers without those of the framing.
        get_head: The same of a request without a body.
    """

    host: str
    port: int
    head: bytes
    get_head: bytes


Send = Callable[[bytes], Awaitable[None]]
Kind = Callable[[Send, Target, bool], Awaitable[None]]


async def send_whole(send: Send, target: Target, is_whole: bool) -> None:
    """Sends a body of the largest size at once, mostly one byte short."""
    await send(target.head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES)
    await send(FILLER if is_whole else FILLER[1:])


async def send_pieces(send: Send, target: Target, is_whole: bool) -> None:
    """Sends the same piece by piece."""
    await send(target.head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES)
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        await send(FILLER[:PIECE_BYTES])
        await anyio.sleep(PIECE_PAUSE_S)
    await send(FILLER[: PIECE_BYTES - (not is_whole)])


async def send_chunks(
    send: Send, target: Target, is_whole: bool, size: int, total: int
) -> None:
    """Sends a chunked body, mostly without its end."""
    await send(target.head + b"Transfer-Encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n%b\r\n" % (size, FILLER[:size])
    at_once = max(1, PIECE_BYTES // len(chunk))
    for _ in range(total // (size * at_once)):
        await send(chunk * at_once)
    if is_whole:
        await send(b"0\r\n\r\n")


async def send_large_chunks(send: Send, target: Target, is_whole: bool) -> None:
    """Sends a chunked body of nearly the largest size in large chunks."""
    total = BODY_BYTES - PIECE_BYTES
    await send_chunks(send, target, is_whole, PIECE_BYTES, total)


async def send_small_chunks(send: Send, target: Target, is_whole: bool) -> None:
    """Sends chunks of 16 bytes."""
    await send_chunks(send, target, is_whole, 16, TINY_CHUNK_BYTES)


async def send_single_chunks(
    send: Send, target: Target, is_whole: bool
) -> None:
    """Sends chunks of one byte."""
    await send_chunks(send, target, is_whole, 1, TINY_CHUNK_BYTES // 4)


async def send_announced(send: Send, target: Target, is_whole: bool) -> None:
    """Announces a body far over the limit, and sends a part of it."""
    await send(target.head + b"Content-Length: %d\r\n\r\n" % ANNOUNCED_BYTES)
    await send(FILLER)


async def send_endless(send: Send, target: Target, is_whole: bool) -> None:
    """Sends a body far over the limit without announcing it."""
    await send_chunks(send, target, False, PIECE_BYTES, ENDLESS_BYTES)


async def send_header_lines(send: Send, target: Target, is_whole: bool) -> None:
    """Sends short header lines without an end."""
    await send(target.head)
    lines = b"".join(b"a%d:b\r\n" % i for i in range(HEAD_BYTES // 10))
    for start in range(0, len(lines), PIECE_BYTES):
        await send(lines[start : start + PIECE_BYTES])


async def send_single_bytes(send: Send, target: Target, is_whole: bool) -> None:
    """Sends each byte of a request in a write of its own."""
    length = SINGLE_BYTES + (not is_whole)
    head = target.head + b"Content-Length: %d\r\n\r\n" % length
    data = head + FILLER[:SINGLE_BYTES]
    for byte in data:
        await send(bytes((byte,)))


async def send_pipelined(send: Send, target: Target, is_whole: bool) -> None:
    """Sends many requests at once and reads no answer."""
    for _ in range(PIPELINED // 10):
        await send((target.get_head + b"\r\n") * 10)


async def send_nothing(send: Send, target: Target, is_whole: bool) -> None:
    """Sends nothing."""


async def send_half_head(send: Send, target: Target, is_whole: bool) -> None:
    """Sends a part of a head."""
    await send(target.head[:-2])


KINDS: dict[str, Kind] = {
    "bodies one byte short at once": send_whole,
    "bodies one byte short piece by piece": send_pieces,
    "large chunks without their end": send_large_chunks,
    "chunks of 16 bytes without their end": send_small_chunks,
    "chunks of 1 byte without their end": send_single_chunks,
    "bodies announced far over the limit": send_announced,
    "bodies far over the limit": send_endless,
    "header lines without an end": send_header_lines,
    "single bytes": send_single_bytes,
    "pipelined requests and read no answers": send_pipelined,
    "nothing": send_nothing,
    "half a head": send_half_head,
}


@attrs.define
class Peak:
    """Largest numbers of a process, as the kernel counts them.

    Attributes:
        pid: The process.
        descriptors: Most open descriptors that were seen.
    """

    pid: int
    descriptors: int = 0

    def sample(self) -> None:
        """Counts the open descriptors; none if the process has ended."""
        with contextlib.suppress(OSError):
            folder = pathlib.Path(f"/proc/{self.pid}/fd")
            count = sum(1 for _ in folder.iterdir())
            self.descriptors = max(self.descriptors, count)

    def memory_bytes(self) -> int:
        """Returns the largest resident memory so far; 0 if it has ended."""
        path = pathlib.Path(f"/proc/{self.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return 0

    async def watch(self) -> None:
        """Samples until cancelled."""
        while True:
            self.sample()
            await anyio.sleep(SAMPLE_INTERVAL_S)


@attrs.define
class Crowd:
    """Connections of hostile callers of one kind.

    Attributes:
        kind: What each sends.
        target: Where to.
        size: Number of connections.
    """

    kind: Kind
    target: Target
    size: int

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Sends on all connections, and keeps them open in the block."""
        async with contextlib.AsyncExitStack() as stack:
            streams = []
            for _ in range(self.size):
                stream = await anyio.connect_tcp(
                    self.target.host, self.target.port
                )
                streams.append(await stack.enter_async_context(stream))
            async with anyio.create_task_group() as group:
                for number, stream in enumerate(streams):
                    group.start_soon(self._send, stream, number)
            try:
                yield
            finally:
                for stream in streams:
                    await anyio.aclose_forcefully(stream)

    async def _send(self, stream: anyio.abc.SocketStream, number: int) -> None:
        errors = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)
        with anyio.move_on_after(SEND_GIVE_UP_S), contextlib.suppress(*errors):
            await self.kind(stream.send, self.target, number % WHOLE_EVERY == 0)
