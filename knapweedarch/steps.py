"""Long work that is done in steps, so that others are served in between."""

from collections.abc import Generator
from typing import TypeVar

import anyio.lowlevel

_T = TypeVar("_T")
# Work that can be interrupted at each `yield` and returns a result.
Steps = Generator[None, None, _T]


async def run_steps(steps: Steps[_T]) -> _T:
    """Runs steps to their end, yielding to the event loop between them."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value
        await anyio.lowlevel.checkpoint()


def finish(steps: Steps[_T]) -> _T:
    """Runs steps to their end without a pause, and returns the result."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value
