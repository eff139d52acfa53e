"""Applies customers' quotas to requests before their first attempt."""

from collections.abc import Awaitable, Callable

from knapweedarch.http_messages import Answer, Headers
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import RefusalReason
from knapweedarch.proxy_calls import ProxyCall
from knapweedarch.quota_client import QuotaPort
from knapweedarch.quota_shares import Decision, Ticket

# Shortest delay in a Retry-After header, in seconds.
MIN_RETRY_AFTER_S = 0.02


async def serve_within_quota(
    quotas: QuotaPort,
    call: ProxyCall,
    serve: Callable[[], Awaitable[None]],
    refuse: Callable[[Answer], Awaitable[None]],
    metrics: Metrics,
) -> None:
    """Serves a request if its customer's quota allows it, or refuses it.

    Args:
        quotas: Decides on the request.
        call: The request.
        serve: Serves it.
        refuse: Sends a refusal.
        metrics: Metrics of the process.
    """
    if call.customer is None or call.customer.quota is None:
        await serve()
        return
    ticket = await quotas.spend(call.customer, call.options.tokens)
    if ticket.decision is not Decision.ALLOWED:
        await refuse(_refusal(call, ticket, metrics))
        return
    try:
        await serve()
    finally:
        # Nothing was written, or everything that was has been rejected unrun.
        if call.is_refused or not call.send_count:
            quotas.refund(ticket)


def _refusal(call: ProxyCall, ticket: Ticket, metrics: Metrics) -> Answer:
    """Builds, counts and logs the refusal of a request."""
    reason, status = RefusalReason.OVER_LIMIT, 429
    if ticket.decision is Decision.UNAVAILABLE:
        reason, status = RefusalReason.CONTROL_UNAVAILABLE, 503
    metrics.count(f"refused.{reason.value}")
    log(
        "request_over_quota",
        request=call.options.request_id,
        customer=call.customer.name,
        reason=reason.value,
        status=status,
        weight=round(ticket.weight, 3),
        retry_ms=round(ticket.retry_s * 1000),
    )
    retry_s = max(MIN_RETRY_AFTER_S, ticket.retry_s)
    headers: Headers = ((b"retry-after", f"{retry_s:.2f}".encode()),)
    return Answer(status=status, headers=headers)
