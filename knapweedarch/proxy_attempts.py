"""Attempts of proxied requests: endpoint selection, sends and repeats."""

import contextlib
import functools
import math
from collections.abc import Awaitable, Callable

import attrs

from knapweedarch.answer_memory import AnswerMemory
from knapweedarch.cache_scopes import CacheScopes
from knapweedarch.caller_ends import DropCause
from knapweedarch.crash_guard import (
    CRASH_REASONS,
    SOUND_EVENTS,
    CrashGuard,
)
from knapweedarch.deployments import Deployment
from knapweedarch.dialects import Dialect, SendOptions
from knapweedarch.endpoint_choice import EndpointChooser
from knapweedarch.endpoint_identity import EndpointIdentities
from knapweedarch.endpoint_rates import EndpointLimits
from knapweedarch.endpoint_restraints import EndpointRestraints
from knapweedarch.endpoint_statements import EndpointWaits
from knapweedarch.exceptions import ExchangeError
from knapweedarch.fair_placement import FairPlacement
from knapweedarch.http_outbound import AnswerHead, Exchange
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import (
    Endpoint,
    RefusalReason,
    RequestEnd,
    RetryReason,
)
from knapweedarch.origin_client import StreamOriginsPort
from knapweedarch.outbound_pool import OutboundPool
from knapweedarch.prompt_admission import PromptAdmission
from knapweedarch.proxy_calls import (
    AnswerProgress,
    ExecutionStatus,
    Failure,
    ProxyCall,
    urgency,
)
from knapweedarch.proxy_refusals import log_refusal, remaining_ms
from knapweedarch.quarantine_messages import runner_digest
from knapweedarch.repeat_budget import RepeatBudget, RepeatLimits
from knapweedarch.runner_room import RoomSearch
from knapweedarch.service_endpoints import ServiceEndpoints
from knapweedarch.stored_parts import PartsIndex, SaveLimiter
from knapweedarch.timers import Clock

# Saves per second that one router may request from a store. Saves and fetches
# share the store's network bandwidth.
SAVES_PER_S = 1.2
# The connection broke or was refused: the endpoint may have started again.
BREAK_REASONS = CRASH_REASONS | {RetryReason.CONNECT_REFUSED}
# Why nothing was written although the endpoint may be sound for other requests.
OWN_REASONS = frozenset(
    (RetryReason.REQUEST_UNSENDABLE, RetryReason.IDENTITY_UNKNOWN)
)


@attrs.frozen
class _Selection:
    """Which endpoint may get a request, or why none may.

    Attributes:
        held_s: Seconds for which the request is held back, or 0.
        is_version_gone: Whether no endpoint has the software of its stream.
        soonest_s: Seconds until the first of those that wait takes requests;
            infinite if none waits.
        endpoint: The endpoint, or None.
        room: The search for runners with room; None if none is needed.
    """

    held_s: float
    is_version_gone: bool
    soonest_s: float = math.inf
    endpoint: Endpoint | None = None
    room: RoomSearch | None = None


class Attempts:
    """Chooses endpoints, opens exchanges and enforces the repeat budgets.

    A repeat is any further send of a request, as a retry or to resume a
    stream.

    Args:
        clock: Time source.
        metrics: Metrics of the process.
        dialect: Codec of the platform's headers.
        pool: Connections to endpoints.
        chooser: Chooses among usable endpoints.
        index: Prompt parts cached in runners and stores.
        guard: Tells which requests crash endpoints.
        endpoint_limits: Limits that endpoints name.
        endpoint_waits: Endpoints that take no requests now, as they said.
        origins: Software versions at which streams began.
        identities: Tells whether endpoints are those that are known.
        limits: Limit of repeats for all routers together.
        start_refusal: Returns why no request may be sent now, or None if it
            may.
        started_at: When the router started, in seconds on its clock.
        fair: Divides the runners between customers and priorities; None if
            large prompts alone are refused.

    Attributes:
        router_count: Number of routers that share the limit of repeats.
        admission: Decides which large prompts are refused.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        dialect: Dialect,
        pool: OutboundPool,
        chooser: EndpointChooser,
        index: PartsIndex,
        guard: CrashGuard,
        endpoint_limits: EndpointLimits,
        endpoint_waits: EndpointWaits,
        origins: StreamOriginsPort,
        identities: EndpointIdentities,
        limits: RepeatLimits,
        start_refusal: Callable[[], RefusalReason | None],
        started_at: float,
        fair: FairPlacement | None = None,
    ):
        self.clock = clock
        self.fair = fair
        self.metrics = metrics
        self.dialect = dialect
        self.chooser = chooser
        self.router_count = 1
        self.index = index
        self._save_limiters: dict[str, SaveLimiter] = {}
        self._pool = pool
        self._guard = guard
        self._restraints = EndpointRestraints(
            endpoint_limits, endpoint_waits, metrics
        )
        self._origins = origins
        self._identities = identities
        self._limits = limits
        self._start_refusal = start_refusal
        self._started_at = started_at
        self._budgets: dict[str, RepeatBudget] = {}
        self._endpoints = ServiceEndpoints()
        self._cache_scopes = CacheScopes(Deployment(0))
        self.admission = PromptAdmission(chooser)

    def set_endpoints(self, endpoints: list[Endpoint]) -> None:
        """Replaces the known endpoints; only active ones get requests."""
        self._endpoints.set_listed(endpoints)
        self.chooser.retain(endpoints)
        self.chooser.set_listed(endpoints, self.clock.now())
        self._restraints.retain(endpoints)
        self._identities.retain(endpoints)

    def set_router_count(self, count: int) -> None:
        """Sets how many routers, this one included, share the endpoints."""
        self.router_count = count
        self.chooser.set_router_count(count)
        self._restraints.set_router_count(count)

    @property
    def active_endpoint_count(self) -> int:
        """Number of endpoints that may get new requests."""
        return len(self._endpoints.active())

    @property
    def active_addresses(self) -> list[str]:
        """Addresses of the endpoints that may get new requests."""
        return sorted({e.address for e in self._endpoints.active()})

    def record_activity(self, address: str) -> None:
        """Records that data was received from an endpoint."""
        self.chooser.record_activity(address)

    def set_deployment(self, deployment: Deployment) -> None:
        """Replaces services, stores and the salts of cached parts.

        Limiters of known stores are kept.
        """
        self._endpoints.set_deployment(deployment)
        self._cache_scopes = CacheScopes(deployment)
        self._save_limiters = {
            store.address: self._save_limiters.get(
                store.address, SaveLimiter(SAVES_PER_S)
            )
            for store in deployment.stores
        }

    async def find_origin(self, call: ProxyCall) -> None:
        """Finds the software version of a stream that its caller takes up."""
        prompt = call.options.prompt
        call.software_version = await self._origins.find(
            call.options.resumes, prompt.model if prompt else ""
        )
        call.is_version_unknown = call.software_version is None

    def record_origin(self, call: ProxyCall, endpoint: Endpoint) -> None:
        """Records the endpoint that wrote the first event of an answer."""
        call.software_version = endpoint.software_version
        if not call.route.may_resume:
            return
        limit_s = max(call.route.timeout_s, call.options.limit_s or 0.0)
        ids = {call.options.request_id}
        if call.takes_up:
            ids.add(call.options.resumes)
        for request_id in ids:
            if request_id:
                self._origins.record(
                    request_id, endpoint.software_version, limit_s
                )

    async def place(self, call: ProxyCall) -> Endpoint | None:
        """Chooses the endpoint of the next attempt, once one has room.

        Returns:
            See `choose`.
        """
        endpoint = self.choose(call)
        if endpoint is None and call.waits_for_room:
            return await self.fair.wait_for_room(call, self.choose)
        return endpoint

    def choose(self, call: ProxyCall) -> Endpoint | None:
        """Chooses the endpoint of the next attempt.

        A repeat is counted against the repeat budget of its service.

        Returns:
            The endpoint; None if none is usable, none has the software that
            began the stream, the budget is used up or a part of the prompt
            is held back.
        """
        if call.reserved is not None:
            endpoint, call.reserved = call.reserved, None
            call.has_left = True
            return endpoint
        now = self.clock.now()
        call.waits_for_room = False
        found = self._select(call, now)
        call.held_s = found.held_s
        call.is_version_gone = found.is_version_gone
        if found.endpoint is None and found.soonest_s < math.inf:
            call.is_limited = True
            call.retry_after_s = found.soonest_s
        endpoint = found.endpoint
        if found.room is not None:
            if not self._has_room(call, found, now):
                return None
        elif endpoint is None or self._is_overloaded(call, endpoint):
            return None
        if call.send_count and not self._budget(call).try_acquire(
            self.router_count, now
        ):
            log_refusal(call, "the repeat budget is used up", now)
            return None
        self._take(call, endpoint, now)
        return endpoint

    def reserve_repeat(self, call: ProxyCall) -> bool:
        """Reserves another endpoint for a request whose endpoint is silent.

        `choose` then returns it. It has room, and the repeat is counted against
        the part of the budget that silent endpoints may use.

        Returns:
            Whether one is reserved; if none is, nothing has changed.
        """
        if not call.send_count or not self.may_repeat(call):
            return False
        now = self.clock.now()
        endpoint = self._select(call, now, needs_room=True).endpoint
        if endpoint is None or not self._budget(call).try_acquire_for_silence(
            self.router_count, now
        ):
            return False
        self._take(call, endpoint, now)
        call.reserved = endpoint
        return True

    def release_reserved(self, call: ProxyCall) -> None:
        """Releases a reserved endpoint, as the silent one has gone on."""
        if call.reserved is not None:
            call.tried.remove(call.reserved.id)
            call.reserved = None
            self._budget(call).release()

    @property
    def memory(self) -> AnswerMemory:
        """The memory that all answers share until they are passed on."""
        return self._pool.memory

    def spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        """Starts a task of a request; see `OutboundPool.spawn`."""
        self._pool.spawn(task)

    def _select(
        self, call: ProxyCall, now: float, needs_room: bool = False
    ) -> _Selection:
        """Looks for the endpoint of an attempt and records nothing.

        Args:
            call: The request.
            now: Seconds on the router's clock.
            needs_room: Whether only endpoints with room are considered.
        """
        held_s = self._guard.held_s(call.digests, now)
        if held_s or call.is_version_unknown:
            return _Selection(held_s, call.is_version_gone)
        prompt = call.options.prompt
        capable = self._endpoints.of(
            call.service.name, prompt.model if prompt else None
        )
        candidates = [e for e in capable if call.may_go_to(e)]
        engine = call.service.engine
        waits_s = self._restraints.waits_s(candidates, now)
        room = None
        if self.fair is not None and not needs_room:
            room = self.fair.search(call, candidates, now)
        endpoint = self.chooser.choose(
            *(
                candidates,
                call.options.prompt,
                call.tried,
                now,
                functools.partial(self._cache_scopes.salt, call.customer),
            ),
            memory_tokens=engine.memory_tokens if engine else 0,
            barred=waits_s,
            cautious=[
                e.id for e in candidates if self._restraints.is_brittle(e, now)
            ],
            needs_room=needs_room,
            kind=call.route.name,
            room=room,
        )
        return _Selection(
            *(held_s, bool(capable) and not candidates),
            *(min(waits_s.values(), default=math.inf), endpoint),
            room if room is not None and room.runners else None,
        )

    def _take(self, call: ProxyCall, endpoint: Endpoint, now: float) -> None:
        call.tried.append(endpoint.id)
        # Counted before the connection is open: other requests are chosen for
        # meanwhile.
        self._restraints.record_sent(endpoint, now)

    def record_head(self, endpoint: Endpoint, head: AnswerHead) -> None:
        """Records what an answer says of its endpoint."""
        if self.dialect.is_wrong_instance(head, endpoint.id):
            return
        statement = self.dialect.statement(head)
        self._restraints.record(endpoint, statement, self.clock.now())

    def _has_room(self, call: ProxyCall, found: _Selection, now: float) -> bool:
        """Returns whether a runner takes a request; see `fair_admission`."""
        endpoint, unread_tokens = found.endpoint, None
        if endpoint is not None:
            unread_tokens = self.unread_tokens(call, endpoint)
        return self.fair.may_send(
            call, endpoint, found.room, unread_tokens, now
        )

    def _is_overloaded(self, call: ProxyCall, endpoint: Endpoint) -> bool:
        """Returns whether a new request is refused; see `prompt_admission`."""
        prompt = call.options.prompt
        if prompt is None or call.send_count:
            return False
        decision = self.admission.decide(
            *(endpoint, prompt, self.unread_tokens(call, endpoint)),
            *(call.route.goal_s, self.now()),
        )
        if decision is None:
            return False
        call.retry_after_s = decision.excess_s
        log(
            "request_not_admitted",
            request=call.options.request_id,
            endpoint=endpoint.id,
            ahead_tokens=decision.ahead_tokens,
            wait_ms=round(decision.wait_s * 1000),
            expected_ms=round(decision.expected_s * 1000),
            loads_age_s=round(self.chooser.peer_loads_age_s(self.now()), 3),
        )
        return True

    def record_sent(self, call: ProxyCall) -> None:
        """Counts a send, immediately before the request is written."""
        if not call.send_count:
            self._budget(call).record_request(self.clock.now())
        call.send_count += 1

    def may_repeat(self, call: ProxyCall) -> bool:
        """Returns whether a repeat is allowed, and time is left for it."""
        now = self.clock.now()
        if not self.has_attempts(call) or call.deadline <= now:
            return False
        return not call.broke_off or self._guard.may_repeat(call.digests, now)

    def has_attempts(self, call: ProxyCall) -> bool:
        """Returns whether the route allows one more attempt.

        An attempt that was not run does not count if a silent endpoint, which
        might have gone on, was left for it.
        """
        return call.send_count - call.rejections < call.route.attempts

    def may_repeat_after_next(self, call: ProxyCall) -> bool:
        """Returns whether the route allows a repeat after the next attempt."""
        return call.send_count + 1 < call.route.attempts

    def _budget(self, call: ProxyCall) -> RepeatBudget:
        service = call.service.name
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RepeatBudget(
                self._limits, self._started_at
            )
        return budget

    async def open(
        self, call: ProxyCall, endpoint: Endpoint, last_event_id: str = ""
    ) -> Exchange:
        """Opens an exchange with an endpoint.

        Args:
            call: The request.
            endpoint: Endpoint to send it to.
            last_event_id: Id of the last event relayed to the caller; empty
                if none was.

        Raises:
            ExchangeError: The connection failed, or no request may be sent
                now; nothing was written.
        """
        prompt = call.options.prompt
        cached_tokens = self._cached_tokens(call, endpoint)
        options = self._send_options(
            call, endpoint, cached_tokens, last_event_id
        )
        headers = self.dialect.endpoint_headers(call.req, options)
        request_id = call.options.request_id
        exchange = self._pool.exchange(
            endpoint.address,
            attrs.evolve(call.req, headers=headers),
            lambda answer_headers: self.dialect.is_answer_to(
                answer_headers, request_id
            ),
        )
        await self._connect(call, endpoint, exchange)
        self.record_sent(call)
        log(
            "request_sent",
            request=request_id,
            endpoint=endpoint.id,
            weights=endpoint.weights_version,
            software=endpoint.software_version,
            sends=call.send_count,
            shared_tokens=prompt.shared_tokens if prompt else 0,
            held_tokens=cached_tokens,
            fetch=options.fetch_from,
            save=options.save_to,
            resume=options.last_event_id,
            resumes=call.options.resumes,
            left_ms=round(options.limit_s * 1000),
        )
        return exchange

    async def _connect(
        self, call: ProxyCall, endpoint: Endpoint, exchange: Exchange
    ) -> None:
        """Connects; a stream goes on only at the incarnation that is known.

        One that may be resumed begins only there, too, as its version is
        recorded.

        Raises:
            ExchangeError: See `open`; or another incarnation has taken over,
                whose software may be another.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(exchange.close, None)
            await exchange.open(self._check_start)
            if call.software_version is not None or (
                call.route.may_resume and self._identities.is_doubtful(endpoint)
            ):
                await self._identities.check(endpoint, exchange.opened_at)
                self._check_start()
            await call.check_caller()
            self._check_start()
            stack.pop_all()

    def _check_start(self) -> None:
        if reason := self._start_refusal():
            raise ExchangeError(
                RetryReason.CONNECT_REFUSED, reason.value, written=False
            )

    def _send_options(
        self,
        call: ProxyCall,
        endpoint: Endpoint,
        cached_tokens: int,
        last_event_id: str,
    ) -> SendOptions:
        options = SendOptions(
            instance_id=endpoint.id,
            limit_s=max(0.001, call.deadline - self.clock.now()),
            customer=call.customer.name if call.customer else "",
            last_event_id=last_event_id or call.options.last_event_id,
        )
        if call.options.prompt is not None:
            options = attrs.evolve(
                self._with_cache_transfers(
                    call, endpoint, cached_tokens, options
                ),
                urgency=urgency(call),
            )
        # A runner caches the parts of any request; without a salt it would
        # share them among all callers.
        if call.options.prompt is not None or call.service.runs_models:
            options = attrs.evolve(
                options,
                weights_version=endpoint.weights_version,
                cache_salt=self._cache_salt(call, endpoint),
            )
        return options

    def _with_cache_transfers(
        self,
        call: ProxyCall,
        endpoint: Endpoint,
        cached_tokens: int,
        options: SendOptions,
    ) -> SendOptions:
        """Adds the source of cached parts and the store that saves them."""
        prompt, salt, now = (
            call.options.prompt,
            self._cache_salt(call, endpoint),
            self.now(),
        )
        source = self.index.best_source(
            self._fetch_sources(call, endpoint),
            *(prompt, salt, cached_tokens, now),
        )
        self.index.parts_at(endpoint.address).assume_cached(prompt, salt, now)
        save_to = ""
        if self.chooser.has_newest_weights(endpoint, prompt):
            for address, limiter in self._save_limiters.items():
                store_parts = self.index.parts_at(address)
                stored_tokens = store_parts.prefix_tokens(prompt, salt, now)
                missing = stored_tokens < prompt.shared_tokens
                if missing and limiter.allow(prompt, salt, now):
                    save_to = address
        return attrs.evolve(options, fetch_from=source, save_to=save_to)

    def unread_tokens(self, call: ProxyCall, endpoint: Endpoint) -> int:
        """Returns the prompt tokens that a runner has to prefill."""
        prompt = call.options.prompt
        if prompt is None:
            return 0
        return prompt.tokens - self._cached_tokens(call, endpoint)

    def _cache_salt(self, call: ProxyCall, endpoint: Endpoint) -> str:
        """Returns the salt of a request's cached parts at an endpoint.

        It follows the configuration in force, not the one that admitted the
        request.
        """
        return self._cache_scopes.salt(call.customer, endpoint)

    def _cached_tokens(self, call: ProxyCall, endpoint: Endpoint) -> int:
        """Returns the leading prompt tokens that a runner has cached."""
        if call.options.prompt is None:
            return 0
        return self.index.parts_at(endpoint.address).prefix_tokens(
            call.options.prompt, self._cache_salt(call, endpoint), self.now()
        )

    def _fetch_sources(self, call: ProxyCall, endpoint: Endpoint) -> list[str]:
        """Returns the addresses that may hold cached parts.

        Usable runners with the same weights come first, those in the
        endpoint's data centre before others; the stores follow.
        """
        peers = [
            e
            for e in self._endpoints.of(call.service.name)
            if e.weights_version == endpoint.weights_version
            and e.id != endpoint.id
            and self.chooser.is_usable(e, self.now())
            and not self._restraints.is_waiting(e, self.now())
        ]
        peers.sort(key=lambda e: e.data_centre != endpoint.data_centre)
        return [*(e.address for e in peers), *self._save_limiters]

    def now(self) -> float:
        """Returns the time in seconds on the router's clock."""
        return self.clock.now()

    def record_rejection(
        self, call: ProxyCall, endpoint: Endpoint, head: AnswerHead
    ) -> Failure:
        """Records that an endpoint refused a request without running it."""
        now = self.clock.now()
        call.broke_off = False
        call.rejections += call.has_left
        reason = RetryReason.ENDPOINT_REFUSED
        if self.dialect.is_wrong_instance(head, endpoint.id):
            reason = RetryReason.WRONG_INCARNATION
            self._record_replaced(endpoint, now)
        else:
            self.chooser.record_overload(endpoint, now)
            if self._restraints.rest_if_brittle(endpoint, now):
                self.chooser.claim_room(endpoint, now)
        return self.record_failure(
            call,
            endpoint,
            Failure(ExecutionStatus.NOT_RUN, reason),
            f"{head.status}",
        )

    def _record_replaced(self, endpoint: Endpoint, now: float) -> None:
        """Records that another instance has taken over an address."""
        self.chooser.record_replaced(endpoint, now)
        self._endpoints.record_replaced(endpoint)

    def record_broken_exchange(
        self,
        call: ProxyCall,
        endpoint: Endpoint,
        exc: ExchangeError,
        progress: AnswerProgress,
    ) -> Failure:
        """Records that an exchange failed before its answer was complete."""
        now = self.clock.now()
        execution = (
            ExecutionStatus.MAY_HAVE_RUN
            if exc.written
            else ExecutionStatus.NOT_RUN
        )
        if exc.reason in BREAK_REASONS:
            self._identities.record_broken(endpoint)
        if exc.written:
            self.chooser.record_failure(endpoint, now)
            self._record_crash(call, endpoint, exc, progress)
        elif exc.reason is RetryReason.WRONG_INCARNATION:
            self._record_replaced(endpoint, now)
        elif exc.reason not in OWN_REASONS:
            self.chooser.record_connection_refused(endpoint, now)
        return self.record_failure(
            call,
            endpoint,
            Failure(execution, RetryReason(exc.reason)),
            str(exc),
            progress,
        )

    def _record_crash(
        self,
        call: ProxyCall,
        endpoint: Endpoint,
        exc: ExchangeError,
        progress: AnswerProgress,
    ) -> None:
        """Records that a request may have crashed its runner."""
        call.broke_off = exc.reason in CRASH_REASONS
        if call.broke_off and progress.events < SOUND_EVENTS:
            runner = runner_digest(endpoint.id, endpoint.incarnation)
            self._guard.record_broken(
                runner, call.digests, progress.has_head, self.clock.now()
            )

    def record_sound(self, call: ProxyCall) -> None:
        """Records that an endpoint has answered and did not crash.

        It must be called once for an attempt.
        """
        self._guard.record_sound(call.digests, self.clock.now())

    def record_failure(
        self,
        call: ProxyCall,
        endpoint: Endpoint,
        failure: Failure,
        detail: str,
        progress: AnswerProgress | None = None,
    ) -> Failure:
        """Counts and logs an attempt without an answer for the caller."""
        progress = progress or AnswerProgress(has_head=True)
        prompt = call.options.prompt
        call.may_have_run |= failure.execution is ExecutionStatus.MAY_HAVE_RUN
        self.metrics.count(f"retried.{failure.reason.value}")
        log(
            "attempt_ended",
            request=call.options.request_id,
            endpoint=endpoint.id,
            weights=endpoint.weights_version,
            fate=failure.execution.value,
            reason=failure.reason.value,
            detail=detail,
            head=progress.has_head,
            events=progress.events,
            parts=list(prompt.shared_ids) if prompt else [],
            digest=call.digests.request,
            left_ms=remaining_ms(call, self.clock),
        )
        return failure

    def record_end(self, call: ProxyCall, end: RequestEnd) -> None:
        """Records the outcome of a request and its duration."""
        kind = call.route.repeatability.value
        duration_s = self.clock.now() - call.started_at
        self.metrics.timing(f"answer_time.{kind}.{end.value}", duration_s)

    def record_caller_left(self, call: ProxyCall, cause: DropCause) -> None:
        """Records that a caller disconnected before its answer was complete."""
        self.metrics.count("cancelled")
        self.record_end(call, RequestEnd.CALLER_LEFT)
        log(
            "caller_left",
            request=call.options.request_id,
            cause=cause.value,
            route=call.route.name,
            tried=list(call.tried),
            left_ms=remaining_ms(call, self.clock),
        )
