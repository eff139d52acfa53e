"""Matches callers' requests to routes and customers and serves them."""

import functools
import random
from collections.abc import Callable

import anyio

from knapweedarch.deployments import (
    CallerLimits,
    Customer,
    Deployment,
    Route,
    RouteTable,
)
from knapweedarch.dialects import CallerOptions, Dialect
from knapweedarch.exceptions import CallerGoneError
from knapweedarch.http_inbound import Responder
from knapweedarch.http_messages import Answer, Request
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import RefusalReason, RequestEnd
from knapweedarch.proxy_attempts import Attempts
from knapweedarch.proxy_calls import ProxyCall, retry_after_header
from knapweedarch.proxy_streams import StreamRelay
from knapweedarch.proxy_unary import serve_unary
from knapweedarch.quota_client import NoQuotas, QuotaPort
from knapweedarch.quota_gate import serve_within_quota
from knapweedarch.request_digests import (
    RequestDigests,
    part_digests,
    request_digest,
)
from knapweedarch.timers import Clock

# The final answer is due this long before the time limit of the request ends.
ANSWER_MARGIN_S = 0.03

# A process that has just started gets its first lease within about a second.
# A request waits for it up to this time, or this fraction of its own limit.
FIRST_LEASE_WAIT_S = 0.4
FIRST_LEASE_WAIT_FRACTION = 0.2

STATUS_BY_REASON = {
    RefusalReason.UNKNOWN_PATH: 404,
    RefusalReason.UNKNOWN_KEY: 401,
}


class ProxyGateway:
    """Answers the requests of callers.

    Attributes:
        ready: Whether a deployment configuration has been set.
        started: Set once requests may be served for the first time; until
            then requests wait a moment for the first lease.
        is_stopping: Returns whether the process takes no new requests. One
            that becomes whole only then would be cut at the end of the stop.
        is_overloaded: Returns whether a request on a route would take too long
            in this process.
        unread_s: Returns how long a request that is read now has waited for
            this process at least, in seconds.
        quotas: Decides on requests of customers with a quota.
    """

    def __init__(
        self,
        dialect: Dialect,
        attempts: Attempts,
        clock: Clock,
        metrics: Metrics,
        start_refusal: Callable[[], RefusalReason | None],
    ):
        self.ready = False
        self.started = anyio.Event()
        self.is_stopping: Callable[[], bool] = lambda: False
        self.is_overloaded: Callable[[Route], bool] = lambda route: False
        self.unread_s: Callable[[], float] = lambda: 0.0
        self.quotas: QuotaPort = NoQuotas()
        self._dialect = dialect
        self._attempts = attempts
        self._clock = clock
        self._metrics = metrics
        self._start_refusal = start_refusal
        self._table = RouteTable(Deployment(0))
        self._random = random.Random()

    @property
    def deployment(self) -> Deployment:
        """The current configuration; empty before the first one."""
        return self._table.deployment

    @property
    def limits(self) -> CallerLimits:
        """Limits for callers in the current configuration."""
        return self._table.deployment.limits

    def set_deployment(self, deployment: Deployment) -> None:
        """Replaces the configuration."""
        self._table = RouteTable(deployment)
        self.ready = True

    async def handle(self, req: Request, responder: Responder) -> None:
        """Serves or refuses one request."""
        self._metrics.count("requests.started")
        options = self._dialect.read_options(req)
        responder.request_id = options.request_id
        if options.malformed:
            log(
                "request_header_malformed",
                request=options.request_id,
                headers=list(options.malformed),
            )
        if not self.started.is_set():
            await self._wait_for_first_lease(options)
        match self._admit(req, options):
            case RefusalReason() as reason:
                await self._refuse(options, responder, reason)
            case ProxyCall() as call:
                call.check_caller = responder.check_caller
                await serve_within_quota(
                    *(self.quotas, call),
                    functools.partial(self._serve, call, responder),
                    *(responder.send, self._metrics),
                )

    async def _wait_for_first_lease(self, options: CallerOptions) -> None:
        """Waits for the first lease of a process that has just started."""
        wait_s = FIRST_LEASE_WAIT_S
        if options.limit_s is not None:
            wait_s = min(wait_s, FIRST_LEASE_WAIT_FRACTION * options.limit_s)
        with anyio.move_on_after(wait_s):
            await self.started.wait()

    async def _serve(self, call: ProxyCall, responder: Responder) -> None:
        end = RequestEnd.CALLER_LEFT
        try:
            if call.route.streams:
                relay = StreamRelay(self._attempts, call, responder)
                end = await relay.serve()
            else:
                end = await serve_unary(self._attempts, call, responder)
            self._metrics.count("requests.finished")
            self._attempts.record_end(call, end)
        except CallerGoneError:
            raise
        except Exception:
            end = RequestEnd.FAILED
            self._attempts.record_end(call, end)
            raise
        finally:
            if end is RequestEnd.CALLER_LEFT:
                self._attempts.record_caller_left(call, responder.drop_cause)

    def _admit(
        self, req: Request, options: CallerOptions
    ) -> ProxyCall | RefusalReason:
        """Resolves route, customer and service, or returns the refusal."""
        if self.is_stopping():
            return RefusalReason.STOPPING
        if reason := self._start_refusal():
            return reason
        host = req.header(b"host").decode("latin-1").partition(":")[0]
        route = self._table.route(host, req.path)
        if route is None:
            return RefusalReason.UNKNOWN_PATH
        customer: Customer | None = None
        if self.deployment.needs_key and not route.public:
            customer = self._table.customer(options.key)
            if customer is None:
                return RefusalReason.UNKNOWN_KEY
        if self.is_overloaded(route):
            return RefusalReason.OVERLOADED
        name = self._table.choose_service(route, self._random.random())
        limit_s = min(route.timeout_s, options.limit_s or route.timeout_s)
        return ProxyCall(
            req=req,
            options=options,
            route=route,
            service=self._table.service(name),
            customer=customer,
            deadline=req.began_at + limit_s - ANSWER_MARGIN_S - self.unread_s(),
            started_at=req.began_at,
            digests=RequestDigests(
                _request_digest(req, host, customer),
                part_digests(options.prompt),
            ),
        )

    async def _refuse(
        self,
        options: CallerOptions,
        responder: Responder,
        reason: RefusalReason,
    ) -> None:
        """Refuses a request before any attempt."""
        status = STATUS_BY_REASON.get(reason, 503)
        self._metrics.count(f"refused.{reason.value}")
        log(
            "request_refused_early",
            request=options.request_id,
            reason=reason.value,
            status=status,
            deployment=self.deployment.version,
        )
        headers = ()
        if status == 503:
            headers = (retry_after_header(options.limit_s or 1.0, reason),)
        await responder.send(Answer(status=status, headers=headers))


def _request_digest(req: Request, host: str, customer: Customer | None) -> int:
    target = f"{req.method!r} {host} {req.target!r}"
    return request_digest(customer.name if customer else "", target, req.body)
