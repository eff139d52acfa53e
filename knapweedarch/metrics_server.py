"""HTTP server for the metrics page of a process."""

import functools

import anyio

from knapweedarch.http_inbound import InboundServer, Responder
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
    *,
    task_status=anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the metrics at `METRICS_PATH` until cancelled."""
    server = InboundServer(functools.partial(_send_page, metrics), clock)
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
