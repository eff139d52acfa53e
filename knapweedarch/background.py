"""Background tasks that outlive the request that started them.

At shutdown the server cancels its handlers through `asyncio`, and a shielded
`anyio` scope does not prevent that. Work that must be completed therefore runs
in the task group of the server's lifespan, which ends after all handlers.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import anyio.abc
import attrs

from knapweedarch.callers import Receive, Send
from knapweedarch.task_groups import run_contained

# Time to wait for running tasks at shutdown. Longer than a service call and its
# settling usually take; a reservation that is not settled becomes `unknown`.
SHUTDOWN_TIMEOUT_S = 15.0

Result = TypeVar("Result")


@attrs.define
class _TaskResult:
    done: anyio.Event = attrs.field(factory=anyio.Event)
    value: object = None
    error: Exception | None = None


class BackgroundTasks:
    """Runs functions in the task group of the server's lifespan.

    Without a lifespan they run in the calling task, shielded from cancellation.
    """

    def __init__(self):
        self._group: anyio.abc.TaskGroup | None = None
        self._running = 0
        self._idle = anyio.Event()

    async def start(
        self, function: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Starts a function, which must end by itself.

        Its error is logged: nobody waits for its result.
        """
        if self._group is None:
            with anyio.CancelScope(shield=True):
                return await run_contained(function, *arguments)
        self._group.start_soon(
            *(self._run, _TaskResult(), run_contained, (function, *arguments))
        )

    async def run_to_completion(
        self, function: Callable[..., Awaitable[Result]], *arguments: object
    ) -> Result:
        """Runs a function to completion even if the calling task is cancelled.

        Raises:
            Exception: The exception that the function raised.
        """
        if self._group is None:
            with anyio.CancelScope(shield=True):
                return await function(*arguments)
        task_result = _TaskResult()
        self._group.start_soon(self._run, task_result, function, arguments)
        await task_result.done.wait()
        if task_result.error is not None:
            raise task_result.error
        return task_result.value

    async def _run(self, task_result: _TaskResult, function, arguments) -> None:
        self._running += 1
        try:
            task_result.value = await function(*arguments)
        except Exception as exc:
            task_result.error = exc
        finally:
            task_result.done.set()
            self._running -= 1
            if self._running == 0:
                self._idle.set()

    async def lifespan(self, receive: Receive, send: Send) -> None:
        """Handles the ASGI lifespan protocol and owns the task group."""
        async with anyio.create_task_group() as group:
            self._group = group
            while (await receive())["type"] != "lifespan.shutdown":
                await send({"type": "lifespan.startup.complete"})
            with anyio.move_on_after(SHUTDOWN_TIMEOUT_S):
                while self._running:
                    self._idle = anyio.Event()
                    await self._idle.wait()
            self._group = None
            group.cancel_scope.cancel()
        await send({"type": "lifespan.shutdown.complete"})
