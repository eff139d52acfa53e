"""Notices that a process did not run for a while.

What it believes is as old as that; others may have acted meanwhile.
"""

from collections.abc import Callable

from knapweedarch.logs import log
from knapweedarch.timers import Timers

CHECK_INTERVAL_S = 0.1
# A timer that is later than this tells of a stop and not of a busy process.
PAUSE_THRESHOLD_S = 0.5


class PauseDetector:
    """Compares when a timer is called with when it was due.

    Args:
        timers: Timers of the process.
        on_stopped: Called with the length of a stop in seconds.
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
