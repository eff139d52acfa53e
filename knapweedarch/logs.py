"""Logs numbered events as JSON lines, with a bounded volume."""

import logging
import sys
import traceback
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from knapweedarch.events import EVENTS
from knapweedarch.log_volume import LineRateLimiter, NonBlockingLineWriter
from knapweedarch.timers import Clock

LEVELS = ("debug", "info", "warning", "error")
# Lines dropped because the buffer is full are counted under this text instead
# of the event name.
BUFFER_FULL = "no room for the line"
# Characters of a logged traceback; its end names the error.
MAX_TRACEBACK_CHARS = 3_000
# Characters of a text in a line.
MAX_FIELD_CHARS = MAX_TRACEBACK_CHARS

_logger = logging.getLogger("knapweedarch")


class _Handler(logging.Handler):
    """Formats records and writes them within the volume limits."""

    def __init__(self, stream: TextIO):
        super().__init__()
        self._clock = Clock()
        self._rate_limiter = LineRateLimiter()
        self._writer = NonBlockingLineWriter(stream)
        self.setFormatter(
            JsonFormatter(
                "{levelname}{message}",
                style="{",
                timestamp="time",
                rename_fields={"levelname": "level", "message": "text"},
            )
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or counts it as dropped."""
        now = self._clock.now()
        if dropped := self._rate_limiter.take_dropped(now):
            self._write(create_record("lines_left_out", {"lines": dropped}))
        name = getattr(record, "event_name", record.name)
        if self._rate_limiter.allow(name, now):
            self._write(record)

    def flush(self) -> None:
        """Writes pending lines without blocking."""
        self._writer.flush()

    def _write(self, record: logging.LogRecord) -> None:
        if not self._writer.write(self.format(record)):
            self._rate_limiter.dropped[BUFFER_FULL] += 1


def setup_logging(level: str, stream: TextIO | None = None) -> None:
    """Sends the log events of this process to a stream.

    Args:
        level: One of `LEVELS`; events below it are not written.
        stream: Destination; standard output if None.

    Raises:
        ValueError: The level is unknown.
    """
    if level not in LEVELS:
        raise ValueError(f"log level {level!r} is not one of {LEVELS}")
    handler = _Handler(stream or sys.stdout)
    _logger.handlers[:] = [handler]
    _logger.setLevel(level.upper())
    _logger.propagate = False
    # Log records of libraries, such as a handler exception that the HTTP
    # server reports, have no event number but the same format.
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)


def create_record(event: str, fields: dict[str, object]) -> logging.LogRecord:
    """Creates the log record of a registered event."""
    registered = EVENTS[event]
    # The fields are nested so that none can shadow a field of the line itself.
    extra = {
        "event": registered.number,
        "event_name": registered.name,
        "fields": fields,
    }
    return _logger.makeRecord(
        *(_logger.name, registered.level, "", 0, registered.text, (), None),
        extra=extra,
    )


def log(event: str, /, **fields: object) -> None:
    """Logs a registered event.

    Args:
        event: Name of the event in `events.EVENTS`.
        **fields: Details of this occurrence; JSON-serializable values.

    Raises:
        KeyError: The event is not registered.
    """
    registered = EVENTS.get(event)
    if registered is None:
        raise KeyError(f"event {event!r} is not registered in events.py")
    if _logger.isEnabledFor(registered.level):
        _logger.handle(create_record(event, _shorten_long(fields)))


def _shorten_long(fields: dict[str, object]) -> dict[str, object]:
    """Cuts long texts, whose length callers may choose, as that of an id."""
    return {
        key: value[:MAX_FIELD_CHARS] if isinstance(value, str) else value
        for key, value in fields.items()
    }


def traceback_text(exc: BaseException) -> str:
    """Returns the end of an error's traceback for a log line."""
    return "".join(traceback.format_exception(exc))[-MAX_TRACEBACK_CHARS:]
