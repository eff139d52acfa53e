"""Notes when the process started; imported before anything that takes time."""

import time

# Seconds since boot, as `timers.Clock` tells them.
STARTED_AT_S = time.clock_gettime(time.CLOCK_BOOTTIME)
