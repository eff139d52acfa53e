"""Detects that the process was paused, for example by SIGSTOP.

What the process knows about others is then as old as the pause is long, and
others may have acted in the meantime.
"""

from collections.abc import Callable

from knapweedarch.logs import log
from knapweedarch.timers import Timers

CHECK_INTERVAL_S = 0.1
# A busy process delays timers too, but by less than this.
PAUSE_THRESHOLD_S = 0.5


class PauseDetector:
    """Measures the time between calls of a periodic timer.

    Args:
        timers: Timers of the process.
        on_pause: Called with the time between two calls, in seconds, if it
            exceeds `PAUSE_THRESHOLD_S`.
    """

    def __init__(
        self,
        timers: Timers,
        on_pause: Callable[[float], None] = lambda pause_s: None,
    ):
        self._on_pause = on_pause
        self._last_check = timers.clock.now()
        timers.every(CHECK_INTERVAL_S, self._check)

    def _check(self, now: float) -> None:
        pause_s = now - self._last_check
        self._last_check = now
        if pause_s > PAUSE_THRESHOLD_S:
            log("process_was_stopped", pause_ms=round(pause_s * 1000))
            self._on_pause(pause_s)
