"""What a process may spend on its callers, derived from its machine."""

import attrs

from knapweedarch.caller_memory import DEFAULT_LIMIT_BYTES

# Of the memory, a fifth is for what callers hold. The process itself needs
# about 45 MB, unfinished answers of endpoints have an account of their own, and
# with a quarter of 88 MiB a crowd of 300 took 90 MiB.
MEMORY_SHARE = 5
# Descriptors for listeners, links, heartbeats and logs: an eighth, but at least
# so many. A process that serves nothing has about 15 open.
OWN_SHARE = 8
MIN_OWN_DESCRIPTORS = 32
# Each connection of a caller may need one to an endpoint.
DESCRIPTORS_PER_CALLER = 2
# Connections to a listener for checks or metrics.
MIN_SIDE_CONNECTIONS = 4
MAX_SIDE_CONNECTIONS = 16


@attrs.frozen
class CallerBounds:
    """What callers of one process may hold together.

    Attributes:
        memory_bytes: Bytes of requests and of answers that are not read.
        max_connections: Connections to the listener for callers; None for no
            limit but that of the system.
    """

    memory_bytes: int = DEFAULT_LIMIT_BYTES
    max_connections: int | None = None

    @property
    def max_side_connections(self) -> int | None:
        """Connections to each listener for checks or metrics."""
        if self.max_connections is None:
            return None
        quarter = self.max_connections // 4
        return max(MIN_SIDE_CONNECTIONS, min(quarter, MAX_SIDE_CONNECTIONS))


def create_caller_bounds(
    ram_bytes: int | None, max_fds: int | None
) -> CallerBounds:
    """Derives the bounds from the limits of a machine.

    Args:
        ram_bytes: Memory of the machine; None if it is not known.
        max_fds: Descriptors that the process may open; None if not known.
    """
    memory_bytes = DEFAULT_LIMIT_BYTES
    if ram_bytes is not None:
        memory_bytes = ram_bytes // MEMORY_SHARE
    if max_fds is None:
        return CallerBounds(memory_bytes)
    own = max(MIN_OWN_DESCRIPTORS, max_fds // OWN_SHARE)
    shared = max(0, max_fds - own)
    return CallerBounds(
        memory_bytes,
        max(MIN_SIDE_CONNECTIONS, shared // DESCRIPTORS_PER_CALLER),
    )
