"""State of one proxied request."""

import enum
import random
from collections.abc import Awaitable, Callable

import attrs

from knapweedarch.deployments import Customer, Route, Service
from knapweedarch.dialects import CallerOptions
from knapweedarch.http_messages import Request
from knapweedarch.models import Endpoint, RefusalReason, RetryReason
from knapweedarch.request_digests import RequestDigests
from knapweedarch.timers import Clock

# Largest Retry-After as a fraction of the caller's remaining time, so that a
# resend still has time to be answered.
MAX_RETRY_AFTER_FRACTION = 1 / 3
# Mean Retry-After delay before it is limited to the caller's remaining time.
RETRY_AFTER_S = 0.4
# Urgency at a runner ranges from 0, the most urgent, to this value.
LOWEST_URGENCY = 9
# Route priorities 0 to 2 are ranked within each customer priority.
ROUTE_PRIORITY_LEVELS = 3
# Mean Retry-After delay from a router without a lease. Routers that all start
# together get their first lease in about this time.
FIRST_LEASE_RETRY_AFTER_S = 1.0


class ExecutionStatus(str, enum.Enum):
    """Whether an attempt without an answer may have run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


@attrs.frozen
class Failure:
    """An attempt without an answer.

    Attributes:
        execution: Whether the request may have run.
        reason: Why it failed.
    """

    execution: ExecutionStatus
    reason: RetryReason


@attrs.define
class AnswerProgress:
    """How far the answer to one attempt came.

    Attributes:
        has_head: Whether status and headers were received.
        events: Number of complete events, for streams.
    """

    has_head: bool = False
    events: int = 0


async def wait_for_nobody() -> None:
    """Takes a caller to be there who cannot be asked."""


@attrs.define
class ProxyCall:
    """A request and the state of its attempts.

    Attributes:
        req: The request as read from the caller.
        options: The caller's headers, decoded.
        route: The matching route.
        service: Service that the route assigned.
        customer: Customer of the key; None where no key is required.
        deadline: When the final answer is due, in seconds on the router's
            clock.
        started_at: When the first byte of the request was read, on the same
            clock.
        tried: Ids of the endpoints tried, in order.
        send_count: Number of attempts of which any byte may have been sent.
        may_have_run: Whether any attempt may have run.
        retry_after_s: Seconds after which a resend may be admitted; 0 if that
            is not known.
        digests: What it has in common with other requests.
        held_s: Seconds for which it is held back, as it or a part of its prompt
            crashes endpoints; 0 if it is not.
        broke_off: Whether the last attempt broke off as by a crash.
        is_limited: Whether limits that endpoints name leave none for it.
        software_version: Software version that began its stream, at which
            alone it goes on; None before its first event.
        is_version_gone: Whether no endpoint of that version is in use.
        is_version_unknown: Whether nobody knows where the stream began that the
            caller takes up.
        reserved: Endpoint of the next attempt, for which the silent one is
            ended; its repeat is counted already.
        has_left: Whether a silent endpoint was left for another one.
        rejections: Attempts since then that were not run.
        check_caller: Waits until it is known whether the caller has left.
        is_refused: Whether it was answered that it has not run and never will.
        waits_for_room: Whether it waits here until a runner has room for it.
        work: Its work in tokens; see `customer_usage`.
        was_admitted: Whether it was looked at by `fair_admission`.
        is_over_share: Whether it is refused as its customer has its share.
    """

    req: Request
    options: CallerOptions
    route: Route
    service: Service
    customer: Customer | None
    deadline: float
    started_at: float
    tried: list[str] = attrs.field(factory=list)
    send_count: int = 0
    may_have_run: bool = False
    retry_after_s: float = 0.0
    digests: RequestDigests = attrs.field(factory=lambda: RequestDigests(0))
    held_s: float = 0.0
    broke_off: bool = False
    is_limited: bool = False
    software_version: str | None = None
    is_version_gone: bool = False
    is_version_unknown: bool = False
    reserved: Endpoint | None = None
    has_left: bool = False
    rejections: int = 0
    check_caller: Callable[[], Awaitable[None]] = wait_for_nobody
    is_refused: bool = False
    waits_for_room: bool = False
    work: int = 0
    was_admitted: bool = False
    is_over_share: bool = False

    @property
    def takes_up(self) -> bool:
        """Whether the caller takes up a stream that an earlier try began.

        The router at which it began may have known another configuration, so
        it does not matter whether the route is resumable in this one.
        """
        return self.route.streams and bool(self.options.last_event_id)

    def may_go_to(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint may begin the stream or go on with it."""
        return self.software_version in (None, endpoint.software_version)


def retry_after_header(
    remaining_s: float, reason: RefusalReason, expected_s: float = 0.0
) -> tuple[bytes, bytes]:
    """Builds the Retry-After header of a refusal.

    The delay has jitter, so that refused callers do not resend at the same
    time. It is at least 0.05 s.

    Args:
        remaining_s: Time that the caller has left. The delay is at most a
            third of it, unless that is below the minimum.
        reason: Why the request is refused.
        expected_s: Time after which a resend may be admitted; 0 if unknown.

    Returns:
        Name and value of the header; the value is in seconds.
    """
    base_delay_s = expected_s or RETRY_AFTER_S
    if reason is RefusalReason.LEASE_EXPIRED:
        base_delay_s = FIRST_LEASE_RETRY_AFTER_S
    delay_s = min(
        remaining_s * MAX_RETRY_AFTER_FRACTION,
        base_delay_s * random.uniform(0.75, 1.25),
    )
    return b"retry-after", f"{max(0.05, delay_s):.2f}".encode()


def remaining_s(call: ProxyCall, clock: Clock) -> float:
    """Returns the seconds until the deadline of a request, or 0 after it."""
    return max(0.0, call.deadline - clock.now())


def urgency(call: ProxyCall) -> int:
    """Returns the urgency of a request at the runner; 0 is served first.

    The customer's priority takes precedence over the route's. A request that
    was sent more than once before is the most urgent, because its caller may
    be waiting in the middle of an interrupted stream.
    """
    if call.send_count > 1:
        return 0
    return first_urgency(call)


def first_urgency(call: ProxyCall) -> int:
    """Returns the urgency of a request that was sent at most once before."""
    customer_priority = (call.customer and call.customer.priority) or 0
    rank = ROUTE_PRIORITY_LEVELS * customer_priority + call.route.priority
    return min(LOWEST_URGENCY, 1 + rank)
