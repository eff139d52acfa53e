"""Tells whether the peer of a connection has received all that was sent."""

import fcntl
import struct
import termios

import anyio
import anyio.abc

from knapweedarch.tunnel_stream import TunnelStream


def has_unacknowledged(stream: anyio.abc.ByteStream) -> bool:
    """Returns whether the peer may not have received all that was written.

    A peer acknowledges what it has received with each segment, also with the
    one that ends its side.

    Args:
        stream: A TCP connection, or a tunnel. The router at the other end of a
            tunnel checks its own connection and reports a reset.
    """
    if isinstance(stream, TunnelStream):
        return False
    sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    if sock.fileno() < 0:
        # The event loop has closed the socket after a failed write.
        return True
    try:
        found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        # A system that cannot tell must not spoil sound answers.
        return False
    return struct.unpack("i", found)[0] > 0
