"""Forwards calls to plain services, with retries or at most once.

A call on a `once` route is reserved in the replicated log before it is sent,
and its result is recorded there (settled) afterwards. The holder of a
reservation is unique per call, so that a delayed copy of a command can never
affect a later call.
"""

import functools
import itertools
import random
from collections.abc import Callable
from typing import TYPE_CHECKING
from urllib.parse import quote

import anyio
import attrs

from knapweedarch.adapters import ServiceResponse
from knapweedarch.background import BackgroundTasks
from knapweedarch.body_charges import service_charge
from knapweedarch.callers import (
    JSON_TYPE,
    HttpCall,
    RefusedError,
    reason_not_to_send,
)
from knapweedarch.exceptions import ControlError, EndpointError
from knapweedarch.exchanges import SendRefusedError
from knapweedarch.models import (
    CustomerRule,
    Endpoint,
    Outcome,
    RefusalReason,
    RetryReason,
)
from knapweedarch.quarantine_messages import runner_digest
from knapweedarch.request_digests import RequestDigests, request_digest
from knapweedarch.retries import RetryBudget, RetryConfig, back_off_s
from knapweedarch.service_calls import (
    ServiceCall,
    answer_too_large_error,
    idempotency_key,
    in_progress_error,
    outcome_unknown_error,
    send_refused_error,
    split_path,
)
from knapweedarch.state import (
    Record,
    RecordFound,
    RecordStatus,
    Reserve,
    Reserved,
    Settle,
    record_key,
)

if TYPE_CHECKING:
    from knapweedarch.gateway import RouterPort

# Idempotent by the HTTP standard, so they may be retried after bytes were
# written.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
METHODS = IDEMPOTENT_METHODS | {"POST", "PATCH"}
FORWARDED_HEADERS = ("content-type", "accept", "idempotency-key")
# Longest response body that is recorded for a resend.
MAX_STORED_BYTES = 64 * 1024
MAX_RUNNING_CALLS = 256
MAX_ATTEMPTS = 3
# Fraction of the remaining time after which an attempt may be ended for another
# endpoint, and the time between two looks whether one may repeat the call.
LATE_FRACTION = 0.5
LOOK_INTERVAL_S = 0.1
RESERVE_TIMEOUT_S = 3.0
SETTLE_TIMEOUT_S = 3.0
# Settling is retried in the background for this long; after that the record
# becomes `unknown` when the lease of this router ends.
SETTLE_LIMIT_S = 30.0
SETTLE_RETRY_DELAY_S = 0.25
# Time to wait before trying again to reserve a key that another call has
# reserved; doubled each time up to the maximum.
FIRST_POLL_INTERVAL_S = 0.1
MAX_POLL_INTERVAL_S = 1.0


@attrs.define
class _LateAttempt:
    """When an attempt is ended for another endpoint.

    Attributes:
        successor: Endpoint of the next attempt; None if there is none.
        has_retry: Whether that attempt is counted already.
        scope: Ends the attempt.
    """

    successor: Endpoint | None = None
    has_retry: bool = False
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


class ServiceHandler:
    """Handles `/services/{service}/...`."""

    def __init__(self, router: "RouterPort", background: BackgroundTasks):
        self._router = router
        self._background = background
        self._running = 0
        self._numbers = itertools.count(1)
        self._retry_budget = RetryBudget(RetryConfig())
        self._random = random.Random(router.incarnation)
        self._running_keys: dict[str, anyio.Event] = {}

    async def handle(
        self, call: HttpCall, customer: CustomerRule, request_id: str
    ) -> None:
        """Forwards one call and sends the response.

        Raises:
            RefusedError: The call was refused, or the service returned no
                response that can be delivered.
        """
        service_call = await self._parse_call(call, customer, request_id)
        call.begin_service(service_charge(service_call.body))
        self._check_admission(service_call)
        self._running += 1
        try:
            if service_call.key:
                # The call must be settled even if the server cancels its
                # handlers.
                answer = await self._background.run_to_completion(
                    self._run_at_most_once, service_call
                )
            else:
                answer = await self._send_with_retries(service_call)
        finally:
            self._running -= 1
        self._router.count("requests.finished")
        # A caller that reads slowly keeps a long answer in memory.
        with self._router.adapter.memory.keep(len(answer.body)):
            await call.send_response(
                answer.code,
                answer.body,
                answer.content_type,
                {"x-request-id": request_id},
            )

    def _check_admission(self, service_call: ServiceCall) -> None:
        reason, message = (
            self._router.start_refusal(),
            "the router is not accepting new requests",
        )
        if reason is None and self._running >= MAX_RUNNING_CALLS:
            reason = RefusalReason.QUEUE_FULL
            message = f"{MAX_RUNNING_CALLS} calls are running"
        if reason is not None:
            # An earlier call with this key may have run on another router.
            outcome = Outcome.UNKNOWN if service_call.key else Outcome.NOT_RUN
            raise RefusedError(reason, message, outcome)

    async def _parse_call(
        self, call: HttpCall, customer: CustomerRule, request_id: str
    ) -> ServiceCall:
        name, path = split_path(call.path)
        rules = self._router.rules.services
        rule = next((r for r in rules if r.name == name), None)
        if rule is None:
            raise RefusedError(
                RefusalReason.UNKNOWN_SERVICE, "the service does not exist"
            )
        if call.method not in METHODS:
            raise RefusedError(
                RefusalReason.NOT_ALLOWED, "this HTTP method is not supported"
            )
        key = idempotency_key(call, rule, path)
        body = await call.read_body(self._router.max_body_bytes)
        deadline = self._router.clock.now() + rule.timeout_s
        target = f"{call.method} {call.path}?{call.query}"
        headers = {n: call.header(n) for n in FORWARDED_HEADERS}
        if not "".join(headers.values()).isascii():
            raise RefusedError(
                RefusalReason.BAD_BODY,
                "a forwarded header contains non-ASCII characters",
            )
        headers |= {"x-request-id": request_id, "x-customer": customer.name}
        return ServiceCall(
            *(rule, request_id, call.method),
            quote(path) + (f"?{call.query}" if call.query else ""),
            {n: v for n, v in headers.items() if v},
            *(body, deadline, key),
            record_key(customer.name, name, key) if key else "",
            RequestDigests(request_digest(customer.name, target, body)),
        )

    def _remaining_s(self, service_call: ServiceCall) -> float:
        return max(0.0, service_call.deadline - self._router.clock.now())

    def _endpoints(self, service_call: ServiceCall) -> list[Endpoint]:
        endpoints = self._router.service_endpoints(service_call.rule.name)
        if not endpoints:
            raise RefusedError(
                RefusalReason.NO_CAPACITY,
                "no endpoint is active for this service",
            )
        return list(endpoints)

    async def _send(
        self,
        endpoint: Endpoint,
        service_call: ServiceCall,
        limit_s: float,
        check_send: Callable[[], RefusalReason | None],
        leave: anyio.CancelScope | None = None,
    ) -> ServiceResponse:
        attempt_id = f"{self._router.incarnation}/s{next(self._numbers)}"

        def check() -> RefusalReason | None:
            return check_send() or self._held_reason(service_call)

        try:
            answer = await self._router.adapter.call_service(
                endpoint,
                service_call.method,
                service_call.path,
                {**service_call.headers, "x-attempt-id": attempt_id},
                service_call.body,
                limit_s,
                check,
                own_connection=bool(service_call.key),
                leave=leave,
            )
        except SendRefusedError:
            raise
        except EndpointError as exc:
            self._record_failure(endpoint, service_call, exc)
            raise
        now = self._router.clock.now()
        self._router.guard.record_sound(service_call.digests, now)
        return answer

    def _held_reason(self, service_call: ServiceCall) -> RefusalReason | None:
        """Returns the refusal of a call whose copies crash endpoints."""
        now = self._router.clock.now()
        if self._router.guard.held_s(service_call.digests, now):
            return RefusalReason.PART_HELD
        return None

    def _record_failure(
        self, endpoint: Endpoint, service_call: ServiceCall, exc: EndpointError
    ) -> None:
        if exc.written and exc.reason == RetryReason.CONNECTION_CLOSED:
            self._router.guard.record_broken(
                runner_digest(endpoint.id, endpoint.incarnation),
                *(service_call.digests, False, self._router.clock.now()),
            )
        self._router.count(f"retried.{exc.reason}")
        if exc.reason == RetryReason.CROSSED_ANSWER:
            self._router.count("crossed.dropped")
        self._router.log(
            "attempt_failed",
            request=service_call.request_id,
            endpoint=endpoint.id,
            reason=exc.reason,
            message=str(exc),
        )

    async def _send_with_retries(
        self, service_call: ServiceCall
    ) -> ServiceResponse:
        """Tries the endpoints in order, within the retry budget."""
        endpoints = self._endpoints(service_call)
        self._retry_budget.record_first_attempt()
        written = False
        for number in range(MAX_ATTEMPTS):
            endpoint = endpoints[number % len(endpoints)]
            late = _LateAttempt()
            if number + 1 < MAX_ATTEMPTS:
                late.successor = endpoints[(number + 1) % len(endpoints)]
            try:
                answer = await self._send_until_late(
                    endpoint, service_call, late
                )
                return _check_size(answer)
            except SendRefusedError as exc:
                raise send_refused_error(exc, written) from exc
            except EndpointError as exc:
                written = written or exc.written
                if written and service_call.method not in IDEMPOTENT_METHODS:
                    break
                if not late.has_retry and not self._may_repeat(
                    service_call, exc
                ):
                    break
            # The first attempt at each endpoint needs no delay.
            if number + 1 >= len(endpoints):
                delay = back_off_s(RetryConfig(), number + 1, self._random)
                await anyio.sleep(min(delay, self._remaining_s(service_call)))
        raise RefusedError(
            RefusalReason.ENDPOINT_FAILED,
            "no endpoint of this service returned a complete response",
            Outcome.UNKNOWN if written else Outcome.NOT_RUN,
        )

    async def _send_until_late(
        self, endpoint: Endpoint, service_call: ServiceCall, late: _LateAttempt
    ) -> ServiceResponse:
        """Sends a call; ends it when it is late and a retry is reserved."""
        answer, failure = None, None
        async with anyio.create_task_group() as group:
            if (
                late.successor not in (None, endpoint)
                and service_call.method in IDEMPOTENT_METHODS
            ):
                group.start_soon(self._leave_when_late, service_call, late)
            try:
                answer = await self._send(
                    *(endpoint, service_call, self._remaining_s(service_call)),
                    functools.partial(
                        reason_not_to_send, self._router.start_refusal
                    ),
                    late.scope,
                )
            except EndpointError as exc:
                # Raised outside the task group, which would wrap it.
                failure = exc
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return answer

    async def _leave_when_late(
        self, service_call: ServiceCall, late: _LateAttempt
    ) -> None:
        delay_s = LATE_FRACTION * self._remaining_s(service_call)
        while not late.has_retry:
            await anyio.sleep(delay_s)
            late.has_retry = self._reserve_retry(service_call, late.successor)
            delay_s = LOOK_INTERVAL_S
        late.scope.cancel()

    def _reserve_retry(
        self, service_call: ServiceCall, successor: Endpoint
    ) -> bool:
        """Counts a retry if its endpoint may get the call now."""
        name = service_call.rule.name
        return (
            successor in self._router.service_endpoints(name)
            and self._held_reason(service_call) is None
            and self._retry_budget.try_spend()
        )

    def _may_repeat(
        self, service_call: ServiceCall, exc: EndpointError
    ) -> bool:
        now = self._router.clock.now()
        guard = self._router.guard
        broke_off = exc.reason == RetryReason.CONNECTION_CLOSED
        if broke_off and not guard.may_repeat(service_call.digests, now):
            return False
        return self._retry_budget.try_spend()

    async def _run_at_most_once(
        self, service_call: ServiceCall
    ) -> ServiceResponse:
        """Runs a call at most once across all routers.

        Raises:
            RefusedError: The call has no response; `outcome` says whether it
                was run.
        """
        poll_s = FIRST_POLL_INTERVAL_S
        while True:
            await self._wait_for_key(service_call)
            finished = self._running_keys[service_call.record_key] = (
                anyio.Event()
            )
            try:
                answer = await self._reserve_and_send(service_call)
            finally:
                del self._running_keys[service_call.record_key]
                finished.set()
            if answer is not None:
                return answer
            remaining_s = self._remaining_s(service_call)
            if remaining_s <= 0:
                raise in_progress_error()
            await anyio.sleep(min(poll_s, remaining_s))
            poll_s = min(2 * poll_s, MAX_POLL_INTERVAL_S)

    async def _wait_for_key(self, service_call: ServiceCall) -> None:
        """Waits until no call with the same key is running in this router."""
        while running_call := self._running_keys.get(service_call.record_key):
            with anyio.move_on_after(self._remaining_s(service_call)) as scope:
                await running_call.wait()
            if scope.cancelled_caught:
                raise in_progress_error()

    async def _reserve_and_send(
        self, service_call: ServiceCall
    ) -> ServiceResponse | None:
        """Reserves and sends a call, or returns the recorded response.

        Returns None while another call, usually one of another router, has
        reserved the key.
        """
        holder = f"{self._router.incarnation}/{next(self._numbers)}"
        epoch = self._router.lease_epoch()
        reserve = Reserve(
            service_call.record_key, service_call.digest, holder, 0.0
        )
        try:
            result = await self._router.submit(reserve, RESERVE_TIMEOUT_S)
        except ControlError as exc:
            # The reservation may have been recorded, so it is released.
            await self._background.start(
                self._settle_with_retries,
                Settle(service_call.record_key, holder, None),
            )
            raise RefusedError(
                RefusalReason.CONTROL_UNAVAILABLE,
                f"the call could not be reserved: {exc.reason}",
                Outcome.UNKNOWN,
            ) from exc
        match result:
            case Reserved():
                return await self._send_reserved(service_call, holder, epoch)
            case RecordFound(record=record) if record.holder == holder:
                # The response to the first copy of this command was lost.
                return await self._send_reserved(service_call, holder, epoch)
            case RecordFound(record=record):
                return _recorded_answer(record, service_call)
        raise RefusedError(
            RefusalReason.TOO_MANY_RECORDS,
            "the table of idempotency keys is full",
        )

    def _reason_not_to_send_in_epoch(self, epoch: int) -> RefusalReason | None:
        """Returns why a call reserved in lease epoch `epoch` may not be sent.

        If the lease expired in between, the leader may have recorded the call
        as unknown, and then it must not be sent.
        """
        reason = reason_not_to_send(self._router.start_refusal)
        if reason is None and self._router.lease_epoch() != epoch:
            return RefusalReason.LEASE_EXPIRED
        return reason

    async def _send_reserved(
        self, service_call: ServiceCall, holder: str, epoch: int
    ) -> ServiceResponse:
        # Without a status it releases the key: the call did not run.
        settle = Settle(service_call.record_key, holder, None)
        for endpoint in self._router.service_endpoints(service_call.rule.name):
            try:
                answer = await self._send(
                    endpoint,
                    service_call,
                    service_call.rule.timeout_s,
                    functools.partial(self._reason_not_to_send_in_epoch, epoch),
                )
            except SendRefusedError as exc:
                await self._settle_or_retry_later(settle)
                raise send_refused_error(exc, written=False) from exc
            except EndpointError as exc:
                if not exc.written:
                    continue
                await self._settle_or_retry_later(
                    attrs.evolve(settle, status=RecordStatus.UNKNOWN)
                )
                self._router.log(
                    "outcome_unknown", request=service_call.request_id
                )
                raise outcome_unknown_error() from exc
            await self._settle_or_retry_later(
                _settle_with_answer(settle, answer)
            )
            return _check_size(answer)
        await self._settle_or_retry_later(settle)
        raise RefusedError(
            RefusalReason.NO_CAPACITY, "no endpoint accepted the connection"
        )

    async def _settle_or_retry_later(self, settle: Settle) -> None:
        """Settles, and retries in the background if that fails."""
        try:
            await self._router.submit(settle, SETTLE_TIMEOUT_S)
        except ControlError:
            await self._background.start(self._settle_with_retries, settle)

    async def _settle_with_retries(self, settle: Settle) -> None:
        settle_deadline = self._router.clock.now() + SETTLE_LIMIT_S
        while self._router.clock.now() < settle_deadline:
            try:
                await self._router.submit(settle, SETTLE_TIMEOUT_S)
                return
            except ControlError:
                await anyio.sleep(SETTLE_RETRY_DELAY_S)


def _recorded_answer(
    record: Record, service_call: ServiceCall
) -> ServiceResponse | None:
    """Returns the recorded response, or None while the call is running."""
    if record.body_digest != service_call.digest:
        raise RefusedError(
            RefusalReason.KEY_REUSED,
            "the Idempotency-Key was already used with a different request",
        )
    match record.status:
        case RecordStatus.DONE:
            return ServiceResponse(
                record.code, record.content_type, record.answer
            )
        case RecordStatus.UNKNOWN:
            raise outcome_unknown_error()
    return None


def _settle_with_answer(settle: Settle, answer: ServiceResponse) -> Settle:
    """Adds the response, or an error if it is too large to be recorded."""
    if answer.too_large or len(answer.body) > MAX_STORED_BYTES:
        refused = answer_too_large_error(MAX_STORED_BYTES)
        answer = ServiceResponse(refused.code, JSON_TYPE, refused.body())
    return attrs.evolve(
        settle,
        status=RecordStatus.DONE,
        code=answer.code,
        content_type=answer.content_type,
        answer=answer.body,
    )


def _check_size(answer: ServiceResponse) -> ServiceResponse:
    if answer.too_large:
        raise answer_too_large_error()
    return answer
