"""Logs of numbered events, one JSON object a line on standard error."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from knapweedarch.events import EVENTS

LEVELS = ("debug", "info", "warning", "error")

_logger = logging.getLogger("knapweedarch")


def setup_logging(level: str, stream: TextIO | None = None) -> None:
    """Directs the events of this process to a stream.

    Args:
        level: One of `LEVELS`; events below it are not written.
        stream: Where lines go; standard error if None.
    """
    if level not in LEVELS:
        raise ValueError(f"log level {level!r} is not one of {LEVELS}")
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "{levelname}{message}",
            style="{",
            timestamp="time",
            rename_fields={"levelname": "level", "message": "text"},
        )
    )
    _logger.handlers[:] = [handler]
    _logger.setLevel(level.upper())
    _logger.propagate = False
    # Lines of libraries, such as a fault in a request handler that the HTTP
    # server reports, have no event number but the same form.
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)


def log(event: str, /, **fields: object) -> None:
    """Logs a registered event.

    Args:
        event: Name of the event in `events.EVENTS`.
        **fields: What is known of this case; must be simple values.

    Raises:
        KeyError: The event is not registered.
    """
    known = EVENTS.get(event)
    if known is None:
        raise KeyError(f"event {event!r} is not registered in events.py")
    if not _logger.isEnabledFor(known.level):
        return
    # The fields are nested, so that none can hide a field of the line itself.
    extra = {"event": known.number, "event_name": known.name, "fields": fields}
    _logger.log(known.level, known.text, extra=extra)
