"""An address of loopback at which connection attempts hang."""

import contextlib
import socket
from collections.abc import Iterator

# Once these fill the backlog, the kernel drops the first packet of any further
# connection.
FILLERS = 4


@contextlib.contextmanager
def hanging_address(host: str = "127.0.0.1") -> Iterator[tuple[str, int]]:
    """Yields host and port of a machine that seems to have no power."""
    with contextlib.ExitStack() as stack:
        listener = socket.create_server((host, 0), backlog=0)
        stack.enter_context(listener)
        for _ in range(FILLERS):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listener.getsockname()
