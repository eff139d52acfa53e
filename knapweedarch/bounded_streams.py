"""Bounds what a connection buffers before its bytes are asked for."""

import anyio.abc

# Bytes that are read from a connection at once.
READ_BYTES = 65_536


def bound_reads(stream: anyio.abc.SocketStream) -> None:
    """Makes a connection hold at most `READ_BYTES` that were not asked for.

    anyio pauses a connection only after a read that had to wait. Until then,
    and while bytes arrive faster than they are read, its queue grows without
    limit: 100 callers that sent 4 MiB each took 400 MB. anyio has no option
    for this and does not expose the transport.

    Args:
        stream: A connection that was just accepted and not read from.
    """
    transport = stream._transport
    transport.pause_reading()
    # asyncio reads up to 256 KiB at once otherwise.
    transport.max_size = READ_BYTES
