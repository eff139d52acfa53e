"""Hostile callers of the gateway; see `hostile_callers` for the others."""

from standins.hostile_callers import KINDS, Kind, Send, Target

# Bytes of a chat whose decoded values take many times as much.
CHAT_BYTES = 512 * 1024
CHAT_START = (
    b'{"model":"guide","messages":[{"role":"user","content":"a"}],"metadata":['
)
CHAT_END = b"[]]}"


async def send_many_values(send: Send, target: Target, is_whole: bool) -> None:
    """Sends a whole chat of many small JSON values."""
    count = (CHAT_BYTES - len(CHAT_START) - len(CHAT_END)) // 3
    body = CHAT_START + b"[]," * count + CHAT_END
    await send(target.head + b"Content-Length: %d\r\n\r\n" % len(body))
    await send(body)


async def send_unread(send: Send, target: Target, is_whole: bool) -> None:
    """Asks for a long answer and does not read it."""
    await send(target.get_head + b"\r\n")


GATEWAY_KINDS: dict[str, Kind] = {
    **KINDS,
    "whole chats of many values": send_many_values,
    "requests for long answers and read none": send_unread,
}
