"""Base class of objects that own a task group."""

from typing import Self

import anyio


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
