"""Asks endpoints whether they are still the incarnation that is known.

An endpoint may start again under its id and address, with other software, and
takes requests before this router hears of it. Only the endpoint itself can say
so. A connection that was open before it answered leads to the incarnation that
answered, or to an earlier one, which is gone and resets it.
"""

import math
from collections.abc import Iterable
from typing import Protocol

import anyio

from knapweedarch.exceptions import ExchangeError
from knapweedarch.heartbeats import incarnation_start
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import Endpoint, RetryReason
from knapweedarch.timers import Clock

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
    """Endpoints that have said which incarnation they are.

    Args:
        port: Asks endpoints.
        clock: Clock of the process.
        metrics: Metrics of the process.
    """

    def __init__(self, port: IdentityPort, clock: Clock, metrics: Metrics):
        self._port = port
        self._clock = clock
        self._metrics = metrics
        # When each incarnation, by id, was asked that has said who it is.
        self._asked_at: dict[tuple[str, str], float] = {}

    def retain(self, kept: Iterable[Endpoint]) -> None:
        """Forgets all incarnations but those given."""
        keys = {(e.id, e.incarnation) for e in kept}
        for gone in self._asked_at.keys() - keys:
            del self._asked_at[gone]

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
        if self._asked_at.get(key, -math.inf) >= opened_at:
            return
        asked_at = self._clock.now()
        found = await self._ask(endpoint)
        if found is None:
            self._metrics.count("identities.unsaid")
            return
        if found != endpoint.incarnation:
            raise self._replaced(endpoint, found)
        self._asked_at[key] = asked_at

    async def _ask(self, endpoint: Endpoint) -> str | None:
        try:
            with anyio.fail_after(CHECK_TIMEOUT_S):
                return await self._port.incarnation(endpoint)
        except (ExchangeError, TimeoutError) as exc:
            self._metrics.count("identities.unanswered")
            raise ExchangeError(
                RetryReason.CONNECT_REFUSED,
                f"the endpoint does not say who it is: {exc!r}",
                written=False,
            ) from exc

    def _replaced(self, endpoint: Endpoint, found: str) -> ExchangeError:
        self._metrics.count("identities.replaced")
        log(
            "endpoint_replaced",
            endpoint=endpoint.id,
            known=endpoint.incarnation,
            found=found,
        )
        is_newer = incarnation_start(found) > incarnation_start(
            endpoint.incarnation
        )
        return ExchangeError(
            RetryReason.WRONG_INCARNATION
            if is_newer
            else RetryReason.CONNECT_REFUSED,
            f"incarnation {found} answers",
            written=False,
        )
