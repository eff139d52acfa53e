"""Final answers to proxied requests that are not sent again."""

from knapweedarch.http_messages import Answer, Headers
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import RefusalReason
from knapweedarch.proxy_calls import (
    ProxyCall,
    remaining_s,
    retry_after_header,
)
from knapweedarch.timers import Clock


def make_refusal(call: ProxyCall, clock: Clock, metrics: Metrics) -> Answer:
    """Builds, counts and logs the final answer to a request.

    503 means that the request has not run. 502 means that it may have run, and
    504 that it may have run and its deadline has passed.
    """
    reason = _refusal_reason(call, clock)
    expected_s = call.held_s or call.retry_after_s
    if call.may_have_run:
        reason, status = RefusalReason.OUTCOME_UNKNOWN, 502
        if call.deadline <= clock.now():
            status = 504
        headers: Headers = ()
    else:
        status = 503
        call.is_refused = True
        left_s = remaining_s(call, clock)
        headers = (retry_after_header(left_s, reason, expected_s),)
    metrics.count(f"refused.{reason.value}")
    log_refusal(call, reason.value, clock.now(), status)
    return Answer(status=status, headers=headers)


def _refusal_reason(call: ProxyCall, clock: Clock) -> RefusalReason:
    if remaining_s(call, clock) <= 0:
        return RefusalReason.DEADLINE
    if call.held_s:
        return RefusalReason.PART_HELD
    if call.is_version_unknown:
        return RefusalReason.STREAM_VERSION_UNKNOWN
    if call.is_version_gone:
        return RefusalReason.STREAM_VERSION_GONE
    if call.is_limited:
        return RefusalReason.ENDPOINTS_LIMITED
    if call.is_over_share:
        return RefusalReason.OVER_SHARE
    if call.send_count:
        return RefusalReason.RETRIES_EXHAUSTED
    return RefusalReason.NO_CAPACITY


def log_refusal(
    call: ProxyCall, reason: str, now: float, status: int = 0
) -> None:
    """Logs that a request is not sent again.

    Args:
        call: The request.
        reason: Why it is not.
        now: Seconds on the router's clock.
        status: Status of the answer; 0 if it follows in a later line.
    """
    log(
        "request_given_up",
        request=call.options.request_id,
        route=call.route.name,
        service=call.service.name,
        tried=list(call.tried),
        reason=reason,
        status=status,
        left_ms=round((call.deadline - now) * 1000),
    )


def remaining_ms(call: ProxyCall, clock: Clock) -> int:
    """Returns the milliseconds until the deadline; negative after it."""
    return round((call.deadline - clock.now()) * 1000)
