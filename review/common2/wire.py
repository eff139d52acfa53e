"""HTTP/1.1 on asyncio streams, as far as the stand-ins need it."""

import asyncio
import contextlib
import json

MAX_LINE_BYTES = 65_536


class Message:
    """A request or an answer.

    Attributes:
        first: Words of the first line.
        headers: Values by name in lower case; the last of several counts.
        body: The body.
        is_whole: Whether the body came to its end.
    """

    def __init__(self, first: list[str], headers: dict[str, str]):
        self.first = first
        self.headers = headers
        self.body = b""
        self.is_whole = False

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first[1])

    def header(self, name: str, default: str = "") -> str:
        """Returns a header of the platform, by its name without the prefix."""
        return self.headers.get(f"x-knapweedarch-{name}", default)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads first line and headers; None at the end of the connection."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return Message(first.decode("latin-1").split(None, 2), headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Reads the body; `is_whole` says whether it came to its end."""
    with contextlib.suppress(asyncio.IncompleteReadError, OSError, ValueError):
        if message.headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                message.body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            size = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(size)
        message.is_whole = True


async def exchange(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    limit_s: float = 10.0,
) -> Message | None:
    """Sends a request on a new connection; returns its answer, None if none.

    Args:
        address: Host and port of the server.
        method: Method.
        target: Path and query.
        headers: Headers beside the length.
        body: The body.
        limit_s: Longest time in seconds.
    """
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                fields = {"Host": f"{address[0]}:{address[1]}"}
                fields |= headers or {}
                fields |= {"Content-Length": str(len(body))}
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in fields.items()]
                head = "\r\n".join(lines) + "\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
                answer = await read_head(reader)
                while answer is not None and answer.status < 200:
                    answer = await read_head(reader)
                if answer is not None:
                    await read_body(reader, answer)
                return answer
            finally:
                writer.close()
    except (OSError, TimeoutError, IndexError, ValueError):
        return None


def answer_bytes(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Returns the bytes of an answer with a length."""
    fields = {**(headers or {}), "Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_bytes(document: object) -> bytes:
    """Returns the bytes of an answer with a JSON body."""
    body = json.dumps(document).encode()
    return answer_bytes(200, {"Content-Type": "application/json"}, body)
