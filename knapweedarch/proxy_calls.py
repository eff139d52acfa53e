"""One proxied request and what has become of it."""

import enum
import random

import attrs

from knapweedarch.deployments import Customer, Route, Service
from knapweedarch.dialects import CallerTerms
from knapweedarch.http_messages import Request
from knapweedarch.models import Endpoint, RefusalReason, RetryReason
from knapweedarch.timers import Clock

# A caller that is told to come back does so within this part of its time.
MAX_RETRY_AFTER_FRACTION = 1 / 3
RETRY_AFTER_S = 0.4
# Ranks at a runner go from 0 to this one.
LOWEST_URGENCY = 9
ROUTE_PRIORITY_LEVELS = 3
# From the start of a router to its first lease, when all start together.
FIRST_LEASE_RETRY_AFTER_S = 1.0


class ExecutionStatus(str, enum.Enum):
    """What is known of an attempt that brought no answer."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


@attrs.frozen
class Failure:
    """An attempt without an answer.

    Attributes:
        execution: Whether it may have run.
        reason: Why it failed.
    """

    execution: ExecutionStatus
    reason: RetryReason


@attrs.define
class Call:
    """A request and what has become of it.

    Attributes:
        req: The request as read.
        terms: What the caller says of it.
        route: Its route.
        service: Service that it was assigned to.
        customer: Its customer; None where no key is needed.
        deadline: When its final answer is due, on the router's clock.
        started_at: When its first byte was read.
        tried: Endpoints that were tried, in order.
        send_count: How often any byte of it may have left this process.
        may_have_run: Whether any attempt may have run.
    """

    req: Request
    terms: CallerTerms
    route: Route
    service: Service
    customer: Customer | None
    deadline: float
    started_at: float
    tried: list[str] = attrs.field(factory=list)
    send_count: int = 0
    may_have_run: bool = False

    def cache_salt(self, endpoint: Endpoint) -> str:
        """Text under which its parts are cached at an endpoint.

        It names the weights, so that no request finds parts made under
        others, and the customer where its parts are its own.
        """
        isolated_customer = ""
        if self.customer is not None and self.customer.isolated:
            isolated_customer = self.customer.name
        return f"{endpoint.weights_version}.{isolated_customer}"


def retry_after_header(
    remaining_s: float, reason: RefusalReason
) -> tuple[bytes, bytes]:
    """Makes the header that tells a caller when to come back.

    The times are spread, so that refused callers do not return together.

    Args:
        remaining_s: Time that the caller has left; it comes back in its first
            third or not at all.
        reason: Why it is refused.
    """
    base_delay_s = RETRY_AFTER_S
    if reason is RefusalReason.LEASE_EXPIRED:
        base_delay_s = FIRST_LEASE_RETRY_AFTER_S
    delay_s = min(
        remaining_s * MAX_RETRY_AFTER_FRACTION,
        base_delay_s * random.uniform(0.75, 1.25),
    )
    return b"retry-after", f"{max(0.05, delay_s):.2f}".encode()


def remaining_s(call: Call, clock: Clock) -> float:
    """Returns the seconds until the final answer of a request is due."""
    return max(0.0, call.deadline - clock.now())


def urgency(call: Call) -> int:
    """Returns the rank of a request at the runner; 0 goes first.

    The customer's rank counts before the route's.

    A stream that goes on after a break comes first, as its caller waits in
    the middle of it.
    """
    if call.send_count > 1:
        return 0
    customer_priority = (call.customer and call.customer.priority) or 0
    rank = ROUTE_PRIORITY_LEVELS * customer_priority + call.route.priority
    return min(LOWEST_URGENCY, 1 + rank)
