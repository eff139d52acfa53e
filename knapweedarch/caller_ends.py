"""How requests end without being read, or without a whole answer."""

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
    EVICTED = "evicted"
    READS_TOO_SLOWLY = "reads_too_slowly"


class CallerRefusal(str, enum.Enum):
    """Why a request was not read, or a connection ended, by the server."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    TIMED_OUT = "timed_out"
    TOO_SLOW = "too_slow"
    NO_MEMORY = "no_memory"
    NO_CONNECTION = "no_connection"


REFUSAL_BY_STATUS = {
    431: CallerRefusal.HEAD_TOO_LARGE,
    413: CallerRefusal.BODY_TOO_LARGE,
    408: CallerRefusal.TIMED_OUT,
}


def cause_of_read_error(exc: Exception) -> DropCause:
    """Tells from a failed read how the caller ended its side.

    An end of the input may be a caller that has left, or one that sends no more
    and waits for its answer.
    """
    if isinstance(exc, anyio.EndOfStream):
        return DropCause.CALLER_CLOSED
    return DropCause.CALLER_RESET
