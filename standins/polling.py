"""Waits for conditions that nothing announces, such as the end of a process."""

from collections.abc import Callable

import anyio

POLL_INTERVAL_S = 0.02


async def wait_until(condition: Callable[[], bool]) -> None:
    """Returns once a condition holds."""
    while True:
        if condition():
            return
        await anyio.sleep(POLL_INTERVAL_S)
