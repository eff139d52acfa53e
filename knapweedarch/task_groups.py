"""Task groups of objects, and tasks whose errors must not spread in them."""

from collections.abc import Awaitable, Callable
from typing import Self

import anyio
import anyio.abc

from knapweedarch.exceptions import JournalError, ReplicaError
from knapweedarch.logs import log, traceback_text

# After these a member must not go on: it could acknowledge what it has not
# stored.
FATAL_ERRORS = (JournalError, ReplicaError)


class TaskOwner:
    """Asynchronous context manager that owns a task group.

    The tasks of the group are cancelled when the context exits.
    """

    async def __aenter__(self) -> Self:
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        return self

    async def __aexit__(self, *exc_info) -> bool | None:
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(*exc_info)


def spawn_contained(
    group: anyio.abc.TaskGroup,
    task: Callable[..., Awaitable[object]],
    *arguments: object,
) -> None:
    """Starts a task of one request or connection in a group of many.

    See `run_contained`.
    """
    group.start_soon(run_contained, task, *arguments)


async def run_contained(
    task: Callable[..., Awaitable[object]], *arguments: object
) -> None:
    """Runs a task whose error must not end the other tasks of its group.

    An unexpected error is logged. What waits for the task must not depend on
    its result: the task itself tells those who wait that it has failed.

    Raises:
        Exception: One of `FATAL_ERRORS`, or a group that contains one.
    """
    try:
        await task(*arguments)
    except Exception as exc:
        if is_fatal(exc):
            raise
        log("task_failed", reason=traceback_text(exc))


def is_fatal(exc: Exception) -> bool:
    """Returns whether an error, or one in a group of errors, must end all."""
    if isinstance(exc, ExceptionGroup):
        return exc.subgroup(FATAL_ERRORS) is not None
    return isinstance(exc, FATAL_ERRORS)
