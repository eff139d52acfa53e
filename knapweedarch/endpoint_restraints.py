"""What a router holds back from endpoints, as they said of themselves.

It joins the limits that endpoints name, the waits that they ask for, and the
rests of brittle ones. All times are seconds on the router's clock.
"""

import math
from collections.abc import Iterable

from knapweedarch.endpoint_rates import EndpointLimits
from knapweedarch.endpoint_statements import (
    EndpointStatement,
    EndpointWaits,
    create_brittle_endpoints,
)
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import Endpoint
from knapweedarch.relay_messages import endpoint_digest

MALFORMED_LOG_INTERVAL_S = 60.0


class EndpointRestraints:
    """Records the statements of endpoints and says who takes requests.

    Args:
        limits: Limits that endpoints name, which all routers share.
        waits: Endpoints that take no requests now, as they said.
        metrics: Metrics of the process.
    """

    def __init__(
        self, limits: EndpointLimits, waits: EndpointWaits, metrics: Metrics
    ):
        self._limits = limits
        self._waits = waits
        self._metrics = metrics
        self._brittle = create_brittle_endpoints()
        self._malformed_logged_at = -math.inf

    def retain(self, kept: Iterable[Endpoint]) -> None:
        """Forgets all endpoints but those given."""
        self._waits.retain(kept)

    def set_router_count(self, count: int) -> None:
        """Sets how many routers, this one included, share the limits."""
        self._limits.set_router_count(count)

    def record_sent(self, endpoint: Endpoint, now: float) -> None:
        """Counts a request against the limit of its endpoint."""
        self._limits.record_sent(endpoint_digest(endpoint.id), now)

    def is_brittle(self, endpoint: Endpoint, now: float) -> bool:
        """Returns whether an endpoint has said that it is brittle."""
        return self._brittle.limit(endpoint, now) is not None

    def is_waiting(self, endpoint: Endpoint, now: float) -> bool:
        """Returns whether an endpoint asked for a wait that has not ended."""
        return self._waits.wait_s(endpoint, now) > 0

    def waits_s(
        self, endpoints: Iterable[Endpoint], now: float
    ) -> dict[str, float]:
        """Returns after how many seconds endpoints take a request, by id.

        Those that take one now are left out.
        """
        limits, waits = self._limits, self._waits
        if limits.is_empty and waits.is_empty:
            return {}
        waits_s = {
            e.id: max(
                limits.wait_s(endpoint_digest(e.id), now), waits.wait_s(e, now)
            )
            for e in endpoints
        }
        return {i: wait_s for i, wait_s in waits_s.items() if wait_s > 0}

    def record(
        self, endpoint: Endpoint, statement: EndpointStatement, now: float
    ) -> None:
        """Records what an answer says of its endpoint."""
        self._brittle.record(endpoint, statement, now)
        if statement.malformed:
            self._record_malformed(endpoint, statement, now)
        if self._limits.record_named(
            endpoint_digest(endpoint.id), statement.limit_per_s, now
        ):
            log(
                "endpoint_limit",
                endpoint=endpoint.id,
                limit_per_s=statement.limit_per_s,
                shared=self._limits.is_shared,
            )
        if self._waits.record(endpoint, statement, now):
            log(
                "endpoint_waits",
                endpoint=endpoint.id,
                leaving=statement.is_leaving,
                wait_s=statement.wait_s,
            )

    def rest_if_brittle(self, endpoint: Endpoint, now: float) -> bool:
        """Lets a brittle endpoint rest that has turned a request away.

        Returns:
            Whether it rests now.
        """
        wait_s = self._brittle.wait_after_rejection_s(endpoint, now)
        if not wait_s:
            return False
        self._waits.record(endpoint, EndpointStatement(wait_s=wait_s), now)
        log("endpoint_brittle", endpoint=endpoint.id, wait_s=wait_s)
        return True

    def _record_malformed(
        self, endpoint: Endpoint, statement: EndpointStatement, now: float
    ) -> None:
        self._metrics.count("statements.malformed")
        if now - self._malformed_logged_at >= MALFORMED_LOG_INTERVAL_S:
            self._malformed_logged_at = now
            log(
                "endpoint_statement_malformed",
                endpoint=endpoint.id,
                headers=list(statement.malformed),
            )
