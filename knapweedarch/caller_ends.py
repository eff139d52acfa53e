"""Why a request that was read whole ended without a whole answer."""

import enum

import anyio


class DropCause(str, enum.Enum):
    """Why the answer to a request is missing or not whole."""

    CALLER_CLOSED = "caller_closed"
    CALLER_RESET = "caller_reset"
    WRITE_FAILED = "write_failed"
    STOPPED = "stopped"
    HANDLER_FAILED = "handler_failed"
    GIVEN_UP = "given_up"


def cause_of_read_error(exc: Exception) -> DropCause:
    """Tells from a failed read how the caller ended its side.

    An end of the input may be a caller that has left, or one that sends no more
    and waits for its answer.
    """
    if isinstance(exc, anyio.EndOfStream):
        return DropCause.CALLER_CLOSED
    return DropCause.CALLER_RESET
