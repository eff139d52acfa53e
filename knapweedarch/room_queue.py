"""Requests of one router that wait until a runner has room for them.

Requests of one class get their turn in the order in which they arrived, so that
a large one is not overtaken by smaller ones for ever.
"""

import collections
import contextlib
from collections.abc import Hashable, Iterator

import anyio


class Place:
    """The place of a request in the queue."""

    def __init__(self) -> None:
        self._turn = anyio.Event()

    def give_turn(self) -> None:
        """Lets the request look for room."""
        self._turn.set()

    async def wait_for_turn(self) -> None:
        """Waits until the request may look for room, once."""
        await self._turn.wait()
        self._turn = anyio.Event()


class RoomQueue:
    """Queues by class."""

    def __init__(self) -> None:
        self._queues: dict[Hashable, collections.deque[Place]] = {}

    @contextlib.contextmanager
    def place(self, key: Hashable) -> Iterator[Place]:
        """Holds a place; when it is left, the next request gets its turn."""
        queue = self._queues.setdefault(key, collections.deque())
        place = Place()
        queue.append(place)
        try:
            yield place
        finally:
            queue.remove(place)
            if queue:
                queue[0].give_turn()
            else:
                self._queues.pop(key, None)

    def give_turns(self) -> None:
        """Lets the first request of each class look for room.

        Those of more urgent classes look first.
        """
        for key in sorted(self._queues):
            self._queues[key][0].give_turn()
