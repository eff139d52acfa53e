"""Small HTTP/1.1 server and client for the stand-ins, on asyncio only."""

import asyncio
from collections.abc import Awaitable, Callable

HEAD_END = b"\r\n\r\n"
REASONS = {200: "OK", 202: "Accepted", 409: "Conflict", 421: "Misdirected"}


class Message:
    """A request or an answer.

    Attributes:
        start: The three parts of the first line.
        headers: Pairs of lower-case name and value, in order.
        body: The body.
        ended_early: Whether the connection ended before the body was whole.
    """

    def __init__(self, start: list[str], headers: list[tuple[str, str]]):
        self.start = start
        self.headers = headers
        self.body = b""
        self.ended_early = False

    def header(self, name: str, default: str = "") -> str:
        """Returns the first header of this lower-case name."""
        return next((v for k, v in self.headers if k == name), default)

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads a first line and headers.

    Raises:
        asyncio.IncompleteReadError: The connection ended before.
    """
    data = await reader.readuntil(HEAD_END)
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = [(k.strip().lower(), v.strip()) for k, _, v in pairs]
    return Message(first.split(" ", 2), headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, until_end: bool
) -> None:
    """Reads the body of a message; notes whether it ended early."""
    body = bytearray()
    try:
        if "chunked" in message.header("transfer-encoding").lower():
            while size := int((await reader.readline()).strip() or b"x", 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        elif message.header("content-length"):
            length = int(message.header("content-length"))
            while len(body) < length:
                part = await reader.read(length - len(body))
                if not part:
                    raise EOFError
                body += part
        elif until_end:
            while part := await reader.read(65_536):
                body += part
    except (OSError, EOFError, ValueError):
        message.ended_early = True
    message.body = bytes(body)


async def request(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message | None:
    """Sends a request on a connection of its own.

    Returns:
        The answer; None if none came in time.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{k}: {v}" for k, v in headers.items()]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join([*lines, "", ""]).encode("latin-1")
            writer.write(head + body)
            answer = await read_head(reader)
            while answer.status < 200:
                answer = await read_head(reader)
            await read_body(reader, answer, until_end=True)
            return answer
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Connection:
    """A connection of a caller that is kept for several requests."""

    def __init__(self, address: str):
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connects.

        Raises:
            OSError: The connection failed.
        """
        host, _, port = self._address.rpartition(":")
        streams = await asyncio.open_connection(host, int(port))
        self._reader, self._writer = streams

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> tuple[Message | None, str]:
        """Sends a request.

        Returns:
            The answer, or None, and how the exchange ended: `whole`, `closed`
            if the connection ended before, or `late`.
        """
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        answer = None
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write("\r\n".join(lines).encode() + body)
                answer = await read_head(self._reader)
                while answer.status < 200:
                    answer = await read_head(self._reader)
                await read_body(self._reader, answer, until_end=True)
        except TimeoutError:
            return None, "late"
        except (OSError, EOFError, ValueError):
            return None, "closed"
        return answer, "closed" if answer.ended_early else "whole"

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]


async def serve(
    host: str,
    handler: Handler,
    port: int = 0,
    opened: Callable[[asyncio.StreamWriter], None] = lambda writer: None,
) -> asyncio.Server:
    """Serves requests.

    Args:
        host: Address to listen at.
        handler: Answers a request; returns whether to keep the connection.
        port: Port to listen at; 0 for a free one.
        opened: Called with each connection that is accepted.
    """

    async def accept(reader, writer) -> None:
        opened(writer)
        try:
            while True:
                req = await read_head(reader)
                await read_body(reader, req, until_end=False)
                if req.ended_early or not await handler(req, writer):
                    break
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.transport.abort()

    return await asyncio.start_server(accept, host, port)


def answer_bytes(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encodes an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def stream_head(headers: dict[str, str]) -> bytes:
    """Encodes the head of a stream that is sent in chunks."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    lines.append("Transfer-Encoding: chunked")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def chunk(data: bytes) -> bytes:
    """Encodes a chunk; an empty one ends the stream."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    writer.transport.abort()
