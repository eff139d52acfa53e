"""Attempts of proxied requests: endpoint selection, sends and repeats."""

import collections
from collections.abc import Awaitable, Callable, Iterable

import anyio
import attrs

from knapweedarch.deployments import CacheStore
from knapweedarch.dialects import Dialect, SendOptions
from knapweedarch.endpoint_choice import EndpointChooser
from knapweedarch.exceptions import ExchangeError
from knapweedarch.heartbeats import incarnation_start
from knapweedarch.http_messages import Answer, Headers
from knapweedarch.http_outbound import AnswerHead, Exchange, OutboundPool
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import (
    Endpoint,
    EndpointStatus,
    RefusalReason,
    RequestEnd,
    RetryReason,
)
from knapweedarch.prompt_admission import PromptSizes, PromptWaits, Waiting
from knapweedarch.proxy_calls import (
    ExecutionStatus,
    Failure,
    ProxyCall,
    remaining_s,
    retry_after_header,
    urgency,
)
from knapweedarch.repeat_budget import RepeatBudget, RepeatLimits
from knapweedarch.stored_parts import PartsIndex, SaveLimiter
from knapweedarch.timers import Clock

# Expected time to the first event up to which new long prompts are sent, as a
# multiple of the route's latency goal.
ADMITTED_GOALS = 1.0
# Longest body that is kept until it is complete. An endpoint in trouble may
# send without end.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Saves per second that one router may request from a store. Saves and fetches
# share the store's network bandwidth.
SAVES_PER_S = 1.2


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
        limits: Limit of repeats for all routers together.
        start_refusal: Returns why no request may be sent now, or None if it
            may.
        started_at: When the router started, in seconds on its clock.

    Attributes:
        router_count: Number of routers that share the limit of repeats.
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
        limits: RepeatLimits,
        start_refusal: Callable[[], RefusalReason | None],
        started_at: float,
    ):
        self.clock = clock
        self.metrics = metrics
        self.dialect = dialect
        self.chooser = chooser
        self.router_count = 1
        self.index = index
        self._save_limiters: dict[str, SaveLimiter] = {}
        self._pool = pool
        self._limits = limits
        self._start_refusal = start_refusal
        self._started_at = started_at
        self._budgets: dict[str, RepeatBudget] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._sizes: dict[str, PromptSizes] = collections.defaultdict(
            PromptSizes
        )
        self._waits: dict[str, PromptWaits] = collections.defaultdict(
            PromptWaits
        )

    def set_endpoints(self, endpoints: list[Endpoint]) -> None:
        """Replaces the known endpoints; only active ones get requests."""
        self._by_service = {}
        for endpoint in _newest_by_address(endpoints):
            if endpoint.status is EndpointStatus.ACTIVE:
                for name in endpoint.serves:
                    self._by_service.setdefault(name, []).append(endpoint)
        self.chooser.retain(endpoints)

    @property
    def active_endpoint_count(self) -> int:
        """Number of endpoints that may get new requests."""
        ids = {e.id for group in self._by_service.values() for e in group}
        return len(ids)

    def record_activity(self, address: str) -> None:
        """Records that data was received from an endpoint."""
        self.chooser.record_activity(address)

    def set_stores(self, stores: Iterable[CacheStore]) -> None:
        """Replaces the KV cache stores; limiters of known stores are kept."""
        self._save_limiters = {
            store.address: self._save_limiters.get(
                store.address, SaveLimiter(SAVES_PER_S)
            )
            for store in stores
        }

    def choose(self, call: ProxyCall) -> Endpoint | None:
        """Chooses the endpoint of the next attempt.

        A repeat is counted against the repeat budget of its service.

        Returns:
            The endpoint; None if none is usable or the budget is used up.
        """
        now = self.clock.now()
        endpoints = self._by_service.get(call.service.name, ())
        candidates = [
            e for e in endpoints if _serves_model(e, call.options.prompt)
        ]
        engine = call.service.engine
        endpoint = self.chooser.choose(
            *(
                candidates,
                call.options.prompt,
                call.tried,
                now,
                call.cache_salt,
            ),
            memory_tokens=engine.memory_tokens if engine else 0,
        )
        if endpoint is None or self._is_overloaded(call, endpoint):
            return None
        if call.send_count and not self._budget(call).try_acquire(
            self.router_count, now
        ):
            self._log_refusal(call, "the repeat budget is used up")
            return None
        call.tried.append(endpoint.id)
        return endpoint

    def _is_overloaded(self, call: ProxyCall, endpoint: Endpoint) -> bool:
        """Returns whether a large new prompt would have to wait too long.

        It is then refused at once; see `prompt_admission`. A request that would
        not wait for others is not refused, however long its own prompt takes.
        """
        prompt = call.options.prompt
        if prompt is None or call.send_count:
            return False
        now = self.now()
        sizes = self._sizes[prompt.model]
        sizes.record(prompt.tokens, now)
        if not sizes.is_large(prompt.tokens):
            return False
        wait_s = self._waits[prompt.model].excess_s(now)
        if not self.chooser.tokens_ahead(endpoint) and not wait_s:
            return False
        unread_tokens = self.unread_tokens(call, endpoint)
        expected_s = wait_s + self.chooser.expected_first_event_s(
            endpoint, prompt, unread_tokens
        )
        # One prompt may always wait behind another of the same length, since
        # the runner would otherwise idle between them.
        limit_s = max(
            ADMITTED_GOALS * call.route.goal_s,
            self.chooser.prefill_s(prompt, 2 * unread_tokens),
        )
        excess_s = expected_s - limit_s
        if excess_s <= 0:
            return False
        call.retry_after_s = excess_s
        log(
            "request_not_admitted",
            request=call.options.request_id,
            endpoint=endpoint.id,
            ahead_tokens=self.chooser.tokens_ahead(endpoint),
            wait_ms=round(wait_s * 1000),
            expected_ms=round(expected_s * 1000),
            loads_age_s=round(self.chooser.peer_loads_age_s(self.now()), 3),
        )
        return True

    def start_waiting(
        self, call: ProxyCall, endpoint: Endpoint, unread_tokens: int
    ) -> Waiting | None:
        """Records that a large prompt is sent; returns None for others."""
        prompt = call.options.prompt
        if prompt is None or not self._sizes[prompt.model].is_large(
            prompt.tokens
        ):
            return None
        expected_s = self.chooser.expected_first_event_s(
            endpoint, prompt, unread_tokens
        )
        return self._waits[prompt.model].start(self.now(), expected_s)

    def end_waiting(
        self, call: ProxyCall, waiting: Waiting, was_read: bool
    ) -> None:
        """Records that a large prompt was read, or that its attempt ended."""
        waits = self._waits[call.options.prompt.model]
        waits.end(waiting, self.now(), was_read)

    def record_sent(self, call: ProxyCall) -> None:
        """Counts a send, immediately before the request is written."""
        if not call.send_count:
            self._budget(call).record_request(self.clock.now())
        call.send_count += 1

    def may_repeat(self, call: ProxyCall) -> bool:
        """Returns whether attempts and time are left for a repeat."""
        time_left_s = call.deadline - self.clock.now()
        return call.send_count < call.route.attempts and time_left_s > 0

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
        await exchange.open(self._check_start)
        self.record_sent(call)
        log(
            "request_sent",
            request=request_id,
            endpoint=endpoint.id,
            weights=endpoint.weights_version,
            sends=call.send_count,
            shared_tokens=prompt.shared_tokens if prompt else 0,
            held_tokens=cached_tokens,
            fetch=options.fetch_from,
            save=options.save_to,
            resume=last_event_id,
            left_ms=round(options.limit_s * 1000),
        )
        return exchange

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
                weights_version=endpoint.weights_version,
                cache_salt=call.cache_salt(endpoint),
                urgency=urgency(call),
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
            call.cache_salt(endpoint),
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

    def _cached_tokens(self, call: ProxyCall, endpoint: Endpoint) -> int:
        """Returns the leading prompt tokens that a runner has cached."""
        if call.options.prompt is None:
            return 0
        return self.index.parts_at(endpoint.address).prefix_tokens(
            call.options.prompt, call.cache_salt(endpoint), self.now()
        )

    def _fetch_sources(self, call: ProxyCall, endpoint: Endpoint) -> list[str]:
        """Returns the addresses that may hold cached parts.

        Usable runners with the same weights come first, those in the
        endpoint's data centre before others; the stores follow.
        """
        peers = [
            e
            for e in self._by_service.get(call.service.name, ())
            if e.weights_version == endpoint.weights_version
            and e.id != endpoint.id
            and self.chooser.is_usable(e, self.now())
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
        reason = RetryReason.ENDPOINT_REFUSED
        if self.dialect.is_wrong_instance(head, endpoint.id):
            reason = RetryReason.WRONG_INCARNATION
            self.chooser.record_replaced(endpoint, now)
        else:
            self.chooser.record_overload(endpoint, now)
        return self.record_failure(
            call,
            endpoint,
            Failure(ExecutionStatus.NOT_RUN, reason),
            f"{head.status}",
        )

    def record_broken_exchange(
        self, call: ProxyCall, endpoint: Endpoint, exc: ExchangeError
    ) -> Failure:
        """Records that an exchange failed before its answer was complete."""
        now = self.clock.now()
        execution = (
            ExecutionStatus.MAY_HAVE_RUN
            if exc.written
            else ExecutionStatus.NOT_RUN
        )
        if exc.written:
            self.chooser.record_failure(endpoint, now)
        else:
            self.chooser.record_connection_refused(endpoint, now)
        return self.record_failure(
            call,
            endpoint,
            Failure(execution, RetryReason(exc.reason)),
            str(exc),
        )

    def record_failure(
        self, call: ProxyCall, endpoint: Endpoint, failure: Failure, detail: str
    ) -> Failure:
        """Counts and logs an attempt without an answer for the caller."""
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
            left_ms=self._remaining_ms(call),
        )
        return failure

    def record_end(self, call: ProxyCall, end: RequestEnd) -> None:
        """Records the outcome of a request and its duration."""
        kind = call.route.repeatability.value
        duration_s = self.clock.now() - call.started_at
        self.metrics.timing(f"answer_time.{kind}.{end.value}", duration_s)

    def record_caller_left(self, call: ProxyCall) -> None:
        """Records that a caller disconnected before its answer was complete."""
        self.metrics.count("cancelled")
        self.record_end(call, RequestEnd.CALLER_LEFT)
        log(
            "caller_left",
            request=call.options.request_id,
            route=call.route.name,
            tried=list(call.tried),
            left_ms=self._remaining_ms(call),
        )

    def make_refusal(self, call: ProxyCall) -> Answer:
        """Builds the final answer to a request that is not sent again.

        503 means that the request has not run. 502 means that it may have run,
        and 504 that it may have run and its deadline has passed.
        """
        reason = self._refusal_reason(call)
        if call.may_have_run:
            reason, status = RefusalReason.OUTCOME_UNKNOWN, 502
            if call.deadline <= self.clock.now():
                status = 504
            headers: Headers = ()
        else:
            status = 503
            headers = (
                retry_after_header(
                    *(remaining_s(call, self.clock), reason, call.retry_after_s)
                ),
            )
        self.metrics.count(f"refused.{reason.value}")
        self._log_refusal(call, reason.value, status)
        return Answer(status=status, headers=headers)

    def _refusal_reason(self, call: ProxyCall) -> RefusalReason:
        if remaining_s(call, self.clock) <= 0:
            return RefusalReason.DEADLINE
        if call.send_count:
            return RefusalReason.RETRIES_EXHAUSTED
        return RefusalReason.NO_CAPACITY

    def _remaining_ms(self, call: ProxyCall) -> int:
        """Returns the milliseconds until the deadline; negative after it."""
        return round((call.deadline - self.clock.now()) * 1000)

    def _log_refusal(
        self, call: ProxyCall, reason: str, status: int = 0
    ) -> None:
        log(
            "request_given_up",
            request=call.options.request_id,
            route=call.route.name,
            service=call.service.name,
            tried=list(call.tried),
            reason=reason,
            status=status,
            left_ms=self._remaining_ms(call),
        )


class AttemptScope:
    """Counts an attempt in its endpoint's load and releases its connection.

    Attributes:
        exchange: The exchange; None until it is open.
        head: Head of an answer that was read to its end, so that the
            connection may be reused; None closes the connection.
    """

    def __init__(self, attempts: Attempts, call: ProxyCall, endpoint: Endpoint):
        self._attempts = attempts
        self._call = call
        self._endpoint = endpoint
        self.exchange: Exchange | None = None
        self.head: AnswerHead | None = None
        self._unread_tokens = 0
        self._tokens_ahead = 0
        self._started_at = 0.0
        self._waiting: Waiting | None = None

    def record_first_event(self) -> None:
        """Records that the runner has prefilled the prompt."""
        prompt = self._call.options.prompt
        if prompt is not None and self._started_at:
            now = self._attempts.now()
            self._attempts.chooser.record_first_event(
                *(prompt, self._tokens_ahead + self._unread_tokens),
                *(now - self._started_at, now),
            )
            self._started_at = 0.0
        self._end_waiting(was_read=True)
        self.record_prompt_read()

    def _end_waiting(self, was_read: bool) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            self._attempts.end_waiting(self._call, waiting, was_read)

    def record_prompt_read(self) -> None:
        """Stops counting the prompt as unread."""
        self._attempts.chooser.record_prompt_read(
            self._endpoint, self._unread_tokens
        )
        self._unread_tokens = 0

    async def __aenter__(self) -> "AttemptScope":
        attempts, call = self._attempts, self._call
        self._started_at = attempts.now()
        self._tokens_ahead = attempts.chooser.tokens_ahead(self._endpoint)
        self._unread_tokens = attempts.unread_tokens(call, self._endpoint)
        self._waiting = attempts.start_waiting(
            call, self._endpoint, self._unread_tokens
        )
        attempts.chooser.record_sent(
            *(self._endpoint, call.options.prompt, self._unread_tokens),
            attempts.now(),
        )
        return self

    async def __aexit__(self, *exc_info) -> None:
        self._end_waiting(was_read=False)
        self.record_prompt_read()
        self._attempts.chooser.record_ended(
            self._endpoint, self._call.options.prompt
        )
        if self.exchange is not None:
            with anyio.CancelScope(shield=True):
                await self.exchange.close(self.head)


async def run_attempt(
    attempts: Attempts,
    call: ProxyCall,
    endpoint: Endpoint,
    limit_s: float,
    exchange: Callable[[AttemptScope], Awaitable[Answer | Failure | None]],
) -> Answer | Failure | None:
    """Runs one attempt within a time limit.

    Args:
        attempts: Records the outcome of the attempt.
        call: The request.
        endpoint: Endpoint to send it to.
        limit_s: Time limit in seconds.
        exchange: Sends the request and reads the answer.

    Returns:
        The result of `exchange`, or a failure if it raised an error or timed
        out.
    """
    async with AttemptScope(attempts, call, endpoint) as scope:
        with anyio.move_on_after(limit_s):
            try:
                return await exchange(scope)
            except ExchangeError as exc:
                return attempts.record_broken_exchange(call, endpoint, exc)
        timeout = ExchangeError(
            *(
                RetryReason.ANSWER_TIMEOUT,
                f"no complete answer within {limit_s:.3f} s",
            ),
            scope.exchange is not None and scope.exchange.written,
        )
        return attempts.record_broken_exchange(call, endpoint, timeout)


async def read_full_answer(exchange: Exchange, head: AnswerHead) -> Answer:
    """Reads the body of an answer to its end.

    Raises:
        ExchangeError: The body is incomplete, or longer than
            `MAX_ANSWER_BYTES`.
    """
    body = bytearray()
    while (part := await exchange.read()) is not None:
        body += part
        if len(body) > MAX_ANSWER_BYTES:
            raise ExchangeError(
                RetryReason.ANSWER_TOO_LONG,
                f"body of over {MAX_ANSWER_BYTES} bytes",
                written=True,
            )
    return Answer(status=head.status, headers=head.headers, body=bytes(body))


def _newest_by_address(endpoints: Iterable[Endpoint]) -> list[Endpoint]:
    """Keeps the endpoint with the latest start time at each address.

    A crashed endpoint stays listed for some seconds, while a new one may
    already use its address.
    """
    newest: dict[str, Endpoint] = {}
    for endpoint in endpoints:
        known = newest.get(endpoint.url)
        if known is None or incarnation_start(
            endpoint.incarnation
        ) > incarnation_start(known.incarnation):
            newest[endpoint.url] = endpoint
    return list(newest.values())


def _serves_model(endpoint: Endpoint, prompt: object) -> bool:
    return prompt is None or prompt.model in endpoint.serves
