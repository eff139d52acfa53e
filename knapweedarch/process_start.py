"""Records when the process started; import it before any slow module."""

import time

# Seconds since boot, on the clock of `timers.Clock`.
STARTED_AT_S = time.clock_gettime(time.CLOCK_BOOTTIME)
