"""Asks endpoints whether they are still the incarnation that is known.

An endpoint may start again under its id and address, with other software, and
takes requests before this router hears of it. Only the endpoint itself can say
so. A connection that was open before it answered leads to the incarnation that
answered, or to an earlier one, which is gone and resets it.
"""

import math
from collections.abc import Callable, Iterable
from typing import Protocol

import anyio

from knapweedarch.exceptions import ExchangeError
from knapweedarch.heartbeats import started_before
from knapweedarch.leases import RENEW_INTERVAL_S
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import Endpoint, RetryReason
from knapweedarch.timers import Clock

# A router that has not heard of the endpoints for this long is out of step; it
# hears of them with each renewal of its lease.
OUT_OF_STEP_S = 2 * RENEW_INTERVAL_S
# An endpoint says who it is at once, also if it is full.
CHECK_TIMEOUT_S = 0.3


class IdentityPort(Protocol):
    """Calls endpoints."""

    async def incarnation(self, endpoint: Endpoint) -> str | None:
        """Returns the incarnation that answers; None if it does not say.

        Raises:
            ExchangeError: There was no answer.
        """


class EndpointIdentities:
    """Endpoints that were asked which incarnation they are.

    Args:
        port: Asks endpoints.
        clock: Clock of the process.
        metrics: Metrics of the process.
        heard_at: Returns the time, in seconds on the clock, up to which the
            router has heard of all changes of endpoints.
    """

    def __init__(
        self,
        port: IdentityPort,
        clock: Clock,
        metrics: Metrics,
        heard_at: Callable[[], float],
    ):
        self._port = port
        self._heard_at = heard_at
        self._clock = clock
        self._metrics = metrics
        # When each incarnation, by id, was asked that has not said another.
        self._asked_at: dict[tuple[str, str], float] = {}
        # When each incarnation was asked last that did not answer.
        self._unanswered_at: dict[tuple[str, str], float] = {}
        self._asking: dict[tuple[str, str], anyio.Lock] = {}
        # When a connection to an endpoint broke last, by its id.
        self._broken_at: dict[str, float] = {}

    def retain(self, kept: Iterable[Endpoint]) -> None:
        """Forgets all incarnations but those given."""
        keys = {(e.id, e.incarnation) for e in kept}
        for known in (self._asked_at, self._unanswered_at, self._asking):
            for gone in known.keys() - keys:
                del known[gone]
        for gone in self._broken_at.keys() - {
            endpoint_id for endpoint_id, _ in keys
        }:
            del self._broken_at[gone]

    def record_broken(self, endpoint: Endpoint) -> None:
        """Records that a connection to an endpoint broke or was refused."""
        self._broken_at[endpoint.id] = self._clock.now()

    def is_doubtful(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint may have started again unheard of.

        Its connections break when it does, unless the router had none.
        """
        if self._clock.now() > self._heard_at() + OUT_OF_STEP_S:
            return True
        broken_at = self._broken_at.get(endpoint.id)
        if broken_at is None:
            return False
        key = (endpoint.id, endpoint.incarnation)
        return self._asked_at.get(key, -math.inf) <= broken_at

    async def check(self, endpoint: Endpoint, opened_at: float) -> None:
        """Checks that a connection leads to a known incarnation.

        An endpoint that does not say which one it is passes.

        Args:
            endpoint: The endpoint as it is known.
            opened_at: When the connection was open, in seconds on the clock.

        Raises:
            ExchangeError: The endpoint is another incarnation, or does not
                answer. Nothing of the request was written.
        """
        key = (endpoint.id, endpoint.incarnation)
        # Streams that come together share one question.
        async with self._asking.setdefault(key, anyio.Lock()):
            if self._asked_at.get(key, -math.inf) >= opened_at:
                return
            if self._unanswered_at.get(key, -math.inf) >= opened_at:
                raise _unanswered("asked for another stream")
            asked_at = self._clock.now()
            found = await self._ask(endpoint)
            if found is None:
                self._metrics.count("identities.unsaid")
            elif found != endpoint.incarnation:
                raise self._replaced(endpoint, found)
            self._asked_at[key] = asked_at

    async def _ask(self, endpoint: Endpoint) -> str | None:
        asked_at = self._clock.now()
        try:
            with anyio.fail_after(CHECK_TIMEOUT_S):
                return await self._port.incarnation(endpoint)
        except (ExchangeError, TimeoutError) as exc:
            key = (endpoint.id, endpoint.incarnation)
            self._unanswered_at[key] = asked_at
            self._metrics.count("identities.unanswered")
            raise _unanswered(repr(exc)) from exc

    def _replaced(self, endpoint: Endpoint, found: str) -> ExchangeError:
        self._metrics.count("identities.replaced")
        log(
            "endpoint_replaced",
            endpoint=endpoint.id,
            known=endpoint.incarnation,
            found=found,
        )
        is_newer = started_before(endpoint.incarnation, found)
        return ExchangeError(
            RetryReason.WRONG_INCARNATION
            if is_newer
            else RetryReason.CONNECT_REFUSED,
            f"incarnation {found} answers",
            written=False,
        )


def _unanswered(reason: str) -> ExchangeError:
    return ExchangeError(
        RetryReason.IDENTITY_UNKNOWN,
        f"the endpoint does not say who it is: {reason}",
        written=False,
    )
