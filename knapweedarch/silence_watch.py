"""Ends the wait for a silent endpoint once another one may go on.

A sound endpoint may be silent for a moment. Its attempt is therefore ended only
when another endpoint is reserved for the next one, and waited for otherwise.
"""

import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from knapweedarch.exceptions import ExchangeError
from knapweedarch.logs import log
from knapweedarch.models import RetryReason
from knapweedarch.proxy_attempts import Attempts
from knapweedarch.proxy_calls import ProxyCall
from knapweedarch.proxy_refusals import remaining_ms

# Time between two looks for another endpoint.
LOOK_INTERVAL_S = 0.1

_T = TypeVar("_T")


class SilenceWatch:
    """Watches the waits of one attempt; use it as a context manager.

    Its task looks for another endpoint while a wait is overdue. It costs a wait
    that is not overdue no timer.

    Args:
        attempts: Reserves other endpoints.
        call: The request.
    """

    def __init__(self, attempts: Attempts, call: ProxyCall):
        self._attempts = attempts
        self._call = call
        self._due = math.inf
        self._look_at = -math.inf
        self._wakes_at = math.inf
        self._is_earlier = anyio.Event()
        self._is_running = False
        self._borne_due = -math.inf
        self._task_scope = anyio.CancelScope()
        self._wait_scope = anyio.CancelScope()
        self._error: Exception | None = None

    def __enter__(self) -> "SilenceWatch":
        return self

    def __exit__(self, *exc_info) -> None:
        self._task_scope.cancel()

    async def wait(
        self,
        step: Callable[[], Awaitable[_T]],
        due: float,
        reason: RetryReason,
    ) -> _T:
        """Waits for a step of the attempt.

        Args:
            step: Waits for data of the endpoint. If it is cancelled, the
                attempt ends.
            due: Time from which the attempt may be ended, in seconds on the
                router's clock; infinite if it may not.
            reason: Why it is ended then.

        Raises:
            ExchangeError: The wait is overdue and another endpoint is reserved.
            Exception: The error of the step.
        """
        if due == math.inf:
            return await step()
        self._begin(due)
        try:
            with anyio.CancelScope() as self._wait_scope:
                found = await step()
                self._attempts.release_reserved(self._call)
                return found
        finally:
            self._due = math.inf
        if self._error is not None:
            raise self._error
        overdue_s = self._attempts.now() - due
        raise ExchangeError(
            reason, f"overdue for {overdue_s:.3f} s", written=True
        )

    def _begin(self, due: float) -> None:
        self._due = due
        if not self._is_running:
            self._is_running = True
            self._attempts.spawn(self._run)
        elif due < self._wakes_at:
            self._is_earlier.set()

    async def _run(self) -> None:
        with self._task_scope:
            while True:
                await self._sleep_until_due()
                try:
                    is_reserved = self._attempts.reserve_repeat(self._call)
                except Exception as exc:  # raised again by `wait`
                    self._error = exc
                    is_reserved = True
                if is_reserved:
                    self._due = math.inf
                    self._wait_scope.cancel()
                else:
                    self._bear()

    async def _sleep_until_due(self) -> None:
        clock = self._attempts.clock
        while (left_s := max(self._due, self._look_at) - clock.now()) > 0:
            self._wakes_at = clock.now() + left_s
            self._is_earlier = anyio.Event()
            with anyio.move_on_after(left_s):
                await self._is_earlier.wait()

    def _bear(self) -> None:
        """Leaves the wait as it is until the next look."""
        now = self._attempts.now()
        self._look_at = now + LOOK_INTERVAL_S
        if self._due != self._borne_due:
            self._borne_due = self._due
            self._attempts.metrics.count("silences.borne")
            log(
                "silence_borne",
                request=self._call.options.request_id,
                endpoint=self._call.tried[-1],
                left_ms=remaining_ms(self._call, self._attempts.clock),
            )
