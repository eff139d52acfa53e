"""HTTP server for the metrics page of a process."""

import functools

import anyio

from knapweedarch.caller_guard import CallerGuard
from knapweedarch.http_inbound import CHECK_LIMITS, InboundServer, Responder
from knapweedarch.http_messages import Answer, Request
from knapweedarch.metrics import Metrics
from knapweedarch.settings import Address
from knapweedarch.timers import Clock

METRICS_PATH = "/metrics"
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


async def serve_metrics(
    metrics: Metrics,
    listen: Address,
    clock: Clock,
    guard: CallerGuard | None = None,
    *,
    task_status=anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the metrics at `METRICS_PATH` until cancelled.

    Args:
        metrics: What is served.
        listen: Address.
        clock: Time source.
        guard: What the listeners of the process share; None for an own one.
        task_status: Gets the port.
    """
    guard = guard or CallerGuard()
    server = InboundServer(
        functools.partial(_send_page, metrics),
        clock,
        lambda: CHECK_LIMITS,
        guard=guard,
        max_connections=guard.bounds.max_side_connections,
    )
    await server.serve(listen.host, listen.port, task_status=task_status)


async def _send_page(
    metrics: Metrics, req: Request, responder: Responder
) -> None:
    if req.path != METRICS_PATH:
        await responder.send(Answer(status=404))
        return
    await responder.send(
        Answer(
            status=200,
            headers=((b"content-type", CONTENT_TYPE),),
            body=metrics.page(),
        )
    )
