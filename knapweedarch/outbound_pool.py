"""Idle connections to endpoints, by address."""

import re
from collections.abc import Awaitable, Callable

import h11

from knapweedarch.answer_memory import AnswerMemory
from knapweedarch.http_messages import Request
from knapweedarch.http_outbound import AnswerHead, Exchange
from knapweedarch.logs import log
from knapweedarch.outbound_connections import (
    Connect,
    Connection,
    IsOwnAnswer,
    close_connection,
    connect_directly,
)
from knapweedarch.task_groups import TaskOwner, spawn_contained
from knapweedarch.timers import Clock

# Assumed idle timeout of endpoints that send no keep-alive timeout.
DEFAULT_IDLE_S = 3.0
# More digits are malformed; Python converts no more than some thousand.
WHOLE_SECONDS = re.compile(rb"[0-9]{1,9}")
# Subtracted from the endpoint's idle timeout, since the endpoint may close the
# connection while a request is on its way.
IDLE_MARGIN_S = 0.6
MAX_IDLE_PER_ADDRESS = 16


class OutboundPool(TaskOwner):
    """Idle connections to endpoints, by address.

    Use it as an asynchronous context manager, which runs the tasks that send
    long bodies.

    Attributes:
        connect: Opens connections.
        memory: The memory that all answers share until they are passed on.
    """

    def __init__(self, clock: Clock):
        self.connect: Connect = connect_directly
        self.memory = AnswerMemory(on_give_up=log_given_up)
        self._clock = clock
        self._idle: dict[str, list[Connection]] = {}

    def spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        """Starts a task of one request.

        It is cancelled when the pool's context exits. Its error is logged and
        ends no other task.
        """
        spawn_contained(self._group, task)

    def exchange(
        self, address: str, req: Request, is_own_answer: IsOwnAnswer
    ) -> Exchange:
        """Creates an exchange.

        Args:
            address: IP address and port of the endpoint.
            req: The request, with the headers for the endpoint.
            is_own_answer: Returns whether an answer with these headers belongs
                to `req`.
        """
        return Exchange(self, address, req, is_own_answer)

    async def acquire(
        self, address: str, is_own_answer: IsOwnAnswer
    ) -> Connection:
        """Returns an idle connection that is still open, or a new one.

        Args:
            address: IP address and port of the endpoint.
            is_own_answer: Returns whether an answer would be taken for one to
                the request. A connection with such a refusal is not used.

        Raises:
            OSError: The connection failed.
            TimeoutError: Connecting took too long.
        """
        while conn := self._take_idle(address, is_own_answer):
            if self._clock.now() < conn.idle_until and conn.has_no_input():
                return conn
            await close_connection(conn)
        stream = await self.connect(address)
        protocol = h11.Connection(h11.CLIENT)
        return Connection(stream, protocol, self._clock.now())

    def _take_idle(
        self, address: str, is_own_answer: IsOwnAnswer
    ) -> Connection | None:
        """Removes and returns the idle connection that was used last."""
        idle = self._idle.get(address, [])
        for place in reversed(range(len(idle))):
            if not idle[place].may_repeat_refusal_of(is_own_answer):
                return idle.pop(place)
        return None

    async def release(
        self, address: str, conn: Connection, head: AnswerHead
    ) -> None:
        """Keeps a connection for reuse, or closes it at the limits."""
        idle_s = _idle_limit_s(head)
        idle = self._idle.setdefault(address, [])
        conn.idle_until = self._clock.now() + idle_s
        if idle_s > 0 and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(conn)
        else:
            await close_connection(conn)

    async def close_idle(self) -> None:
        """Closes all idle connections."""
        idle, self._idle = self._idle, {}
        for conns in idle.values():
            for conn in conns:
                await close_connection(conn)

    async def close_expired(self) -> None:
        """Closes connections whose idle time has expired."""
        for conn in self._take_expired():
            await close_connection(conn)

    def _take_expired(self) -> list[Connection]:
        """Removes and returns the connections whose idle time has expired.

        All are removed before the first one is closed: other tasks take and
        add connections meanwhile.
        """
        now = self._clock.now()
        kept: dict[str, list[Connection]] = {}
        expired = []
        for address, idle in self._idle.items():
            for conn in idle:
                if conn.idle_until <= now:
                    expired.append(conn)
                else:
                    kept.setdefault(address, []).append(conn)
        self._idle = kept
        return expired


def _idle_limit_s(head: AnswerHead) -> float:
    """Returns how long a connection may stay idle, in seconds."""
    for part in head.header(b"keep-alive").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and WHOLE_SECONDS.fullmatch(value):
            return max(0.0, int(value) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S - IDLE_MARGIN_S


def log_given_up(size: int, held_bytes: int) -> None:
    """Logs that the longest answer was given up for others."""
    log("answer_given_up", bytes=size, held=held_bytes)
