"""Calls to plain services, repeatable ones and those that run at most once.

A call on a route marked `once` is reserved in the replicated log before it is
sent and settled after it. The holder of a reservation is unique per call, so
that a delayed copy of a command can never act on a later call.
"""

import functools
import itertools
import random
from collections.abc import Callable
from typing import TYPE_CHECKING
from urllib.parse import quote

import anyio
import attrs

from knapweedarch.adapters import ServiceAnswer
from knapweedarch.background import Background
from knapweedarch.callers import JSON_TYPE, Call, RefusedError, may_send
from knapweedarch.exceptions import ControlError, EndpointError
from knapweedarch.exchanges import SendRefusedError
from knapweedarch.models import (
    CustomerRule,
    Endpoint,
    Outcome,
    RefusalReason,
    RetryReason,
)
from knapweedarch.retries import RetryBudget, RetryConfig, back_off_s
from knapweedarch.service_calls import (
    ServiceCall,
    idempotency_key,
    in_progress,
    split_path,
    stopped,
    too_large,
    unknown,
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

# Repeating them after bytes were written is harmless by the HTTP standard.
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
METHODS = REPEATABLE_METHODS | {"POST", "PATCH"}
FORWARDED_HEADERS = ("content-type", "accept", "idempotency-key")
MAX_STORED_BYTES = 64 * 1024
MAX_CALLS = 256
MAX_TRIES = 3
RESERVE_S = 3.0
SETTLE_S = 3.0
# Settling goes on in the background for this long; after that the record
# becomes `unknown` when the lease of this router ends.
SETTLE_LIMIT_S = 30.0
SETTLE_RETRY_S = 0.25
POLL_S = 0.1
POLL_MOST_S = 1.0


class ServiceHandler:
    """Handles `/services/{service}/...`."""

    def __init__(self, router: "RouterPort", background: Background):
        self._router = router
        self._background = background
        self._running = 0
        self._numbers = itertools.count(1)
        self._budget = RetryBudget(RetryConfig())
        self._random = random.Random(router.incarnation)
        self._open_keys: dict[str, anyio.Event] = {}

    async def handle(
        self, call: Call, customer: CustomerRule, request_id: str
    ) -> None:
        """Answers one call.

        Raises:
            RefusedError: There is no answer of the service.
        """
        checked = await self._check(call, customer, request_id)
        self._refuse_early(checked)
        self._running += 1
        try:
            if checked.key:
                # It must be settled even if the server ends its handlers.
                answer = await self._background.complete(
                    self._run_once, checked
                )
            else:
                answer = await self._run_repeatable(checked)
        finally:
            self._running -= 1
        self._router.count("requests.finished")
        await call.answer(
            answer.code,
            answer.body,
            answer.content_type,
            {"x-request-id": request_id},
        )

    def _refuse_early(self, checked: ServiceCall) -> None:
        reason, message = self._router.may_start(), "no new work starts here"
        if reason is None and self._running >= MAX_CALLS:
            reason = RefusalReason.QUEUE_FULL
            message = f"{MAX_CALLS} calls are running"
        if reason is not None:
            # An earlier call with this key may have run on another router.
            outcome = Outcome.UNKNOWN if checked.key else Outcome.NOT_RUN
            raise RefusedError(reason, message, outcome)

    async def _check(
        self, call: Call, customer: CustomerRule, request_id: str
    ) -> ServiceCall:
        name, path = split_path(call.path)
        rules = self._router.rules.services
        rule = next((r for r in rules if r.name == name), None)
        if rule is None:
            raise RefusedError(
                RefusalReason.UNKNOWN_SERVICE, "no rule names this service"
            )
        if call.method not in METHODS:
            raise RefusedError(
                RefusalReason.NOT_ALLOWED, "this method is not served"
            )
        key = idempotency_key(call, rule, path)
        body = await call.read_body(self._router.max_body_bytes)
        deadline = self._router.clock.now() + rule.timeout_s
        headers = {n: call.header(n) for n in FORWARDED_HEADERS}
        if not "".join(headers.values()).isascii():
            raise RefusedError(
                RefusalReason.BAD_BODY, "a header is not plain ASCII"
            )
        headers |= {"x-request-id": request_id, "x-customer": customer.name}
        return ServiceCall(
            *(rule, request_id, call.method),
            quote(path) + (f"?{call.query}" if call.query else ""),
            {n: v for n, v in headers.items() if v},
            *(body, deadline, key),
            record_key(customer.name, name, key) if key else "",
        )

    def _remaining_s(self, checked: ServiceCall) -> float:
        return max(0.0, checked.deadline - self._router.clock.now())

    def _endpoints(self, checked: ServiceCall) -> list[Endpoint]:
        endpoints = self._router.service_endpoints(checked.rule.name)
        if not endpoints:
            raise RefusedError(
                RefusalReason.NO_CAPACITY, "no endpoint serves this service"
            )
        return list(endpoints)

    async def _send(
        self,
        endpoint: Endpoint,
        checked: ServiceCall,
        limit_s: float,
        may_send_now: Callable[[], RefusalReason | None],
    ) -> ServiceAnswer:
        attempt_id = f"{self._router.incarnation}/s{next(self._numbers)}"
        try:
            return await self._router.adapter.call_service(
                endpoint,
                checked.method,
                checked.path,
                {**checked.headers, "x-attempt-id": attempt_id},
                checked.body,
                limit_s,
                may_send_now,
                own_connection=bool(checked.key),
            )
        except SendRefusedError:
            raise
        except EndpointError as exc:
            self._note_failure(endpoint, checked, exc)
            raise

    def _note_failure(
        self, endpoint: Endpoint, checked: ServiceCall, exc: EndpointError
    ) -> None:
        self._router.count(f"retried.{exc.reason}")
        if exc.reason == RetryReason.CROSSED_ANSWER:
            self._router.count("crossed.dropped")
        self._router.log(
            "attempt_failed",
            request=checked.request_id,
            endpoint=endpoint.id,
            reason=exc.reason,
            message=str(exc),
        )

    async def _run_repeatable(self, checked: ServiceCall) -> ServiceAnswer:
        """Tries endpoints in turn, within the retry budget."""
        endpoints = self._endpoints(checked)
        self._budget.record_first_attempt()
        written = False
        for number in range(MAX_TRIES):
            endpoint = endpoints[number % len(endpoints)]
            # Half of the time is kept for another endpoint.
            part = 1.0 if number == MAX_TRIES - 1 else 0.5
            try:
                answer = await self._send(
                    endpoint,
                    checked,
                    part * self._remaining_s(checked),
                    functools.partial(may_send, self._router.may_start),
                )
                return _bounded(answer)
            except SendRefusedError as exc:
                raise stopped(exc, written) from exc
            except EndpointError as exc:
                written = written or exc.written
                if written and checked.method not in REPEATABLE_METHODS:
                    break
                if not self._budget.try_spend():
                    break
            if number + 1 >= len(endpoints):
                delay = back_off_s(RetryConfig(), number + 1, self._random)
                await anyio.sleep(min(delay, self._remaining_s(checked)))
        raise RefusedError(
            RefusalReason.ENDPOINT_FAILED,
            "no endpoint of this service gave a whole answer",
            Outcome.UNKNOWN if written else Outcome.NOT_RUN,
        )

    async def _run_once(self, checked: ServiceCall) -> ServiceAnswer:
        """Runs a call at most once over all routers.

        Raises:
            RefusedError: The call has no answer; its outcome tells why.
        """
        poll_s = POLL_S
        while True:
            await self._wait_for_key(checked)
            closed = self._open_keys[checked.record_key] = anyio.Event()
            try:
                answer = await self._reserve_and_send(checked)
            finally:
                del self._open_keys[checked.record_key]
                closed.set()
            if answer is not None:
                return answer
            remaining_s = self._remaining_s(checked)
            if remaining_s <= 0:
                raise in_progress()
            await anyio.sleep(min(poll_s, remaining_s))
            poll_s = min(2 * poll_s, POLL_MOST_S)

    async def _wait_for_key(self, checked: ServiceCall) -> None:
        """Waits until this router runs no call with the same key."""
        while open_call := self._open_keys.get(checked.record_key):
            with anyio.move_on_after(self._remaining_s(checked)) as scope:
                await open_call.wait()
            if scope.cancelled_caught:
                raise in_progress()

    async def _reserve_and_send(
        self, checked: ServiceCall
    ) -> ServiceAnswer | None:
        """Returns None while another router runs the call."""
        holder = f"{self._router.incarnation}/{next(self._numbers)}"
        epoch = self._router.lease_epoch()
        reserve = Reserve(checked.record_key, checked.digest, holder, 0.0)
        try:
            result = await self._router.submit(reserve, RESERVE_S)
        except ControlError as exc:
            # The reservation may have been recorded; nobody will use it.
            await self._background.start(
                self._settle, Settle(checked.record_key, holder, None)
            )
            raise RefusedError(
                RefusalReason.CONTROL_UNAVAILABLE,
                f"the call could not be reserved: {exc.reason}",
                Outcome.UNKNOWN,
            ) from exc
        match result:
            case Reserved():
                return await self._send_reserved(checked, holder, epoch)
            case RecordFound(record=record) if record.holder == holder:
                # The first answer to this reservation was lost.
                return await self._send_reserved(checked, holder, epoch)
            case RecordFound(record=record):
                return _recorded(record, checked)
        raise RefusedError(
            RefusalReason.TOO_MANY_RECORDS, "too many keys are recorded"
        )

    def _may_send_under(self, epoch: int) -> RefusalReason | None:
        """Checks that the lease has run without a lapse since `epoch`.

        In a lapse the leader may have recorded the call as unknown, after
        which it must not be sent.
        """
        reason = may_send(self._router.may_start)
        if reason is None and self._router.lease_epoch() != epoch:
            return RefusalReason.LEASE_EXPIRED
        return reason

    async def _send_reserved(
        self, checked: ServiceCall, holder: str, epoch: int
    ) -> ServiceAnswer:
        settle = Settle(checked.record_key, holder, None)
        for endpoint in self._router.service_endpoints(checked.rule.name):
            try:
                answer = await self._send(
                    endpoint,
                    checked,
                    checked.rule.timeout_s,
                    functools.partial(self._may_send_under, epoch),
                )
            except SendRefusedError as exc:
                await self._settle_now(settle)
                raise stopped(exc, written=False) from exc
            except EndpointError as exc:
                if not exc.written:
                    continue
                await self._settle_now(
                    attrs.evolve(settle, status=RecordStatus.UNKNOWN)
                )
                self._router.log("outcome_unknown", request=checked.request_id)
                raise unknown() from exc
            await self._settle_now(_settle_answer(settle, answer))
            return _bounded(answer)
        await self._settle_now(settle)
        raise RefusedError(
            RefusalReason.NO_CAPACITY, "no endpoint took the connection"
        )

    async def _settle_now(self, settle: Settle) -> None:
        """Settles, and goes on in the background if that fails."""
        try:
            await self._router.submit(settle, SETTLE_S)
        except ControlError:
            await self._background.start(self._settle, settle)

    async def _settle(self, settle: Settle) -> None:
        until = self._router.clock.now() + SETTLE_LIMIT_S
        while self._router.clock.now() < until:
            try:
                await self._router.submit(settle, SETTLE_S)
                return
            except ControlError:
                await anyio.sleep(SETTLE_RETRY_S)


def _recorded(record: Record, checked: ServiceCall) -> ServiceAnswer | None:
    """Returns the recorded answer, or None while the call is running."""
    if record.body_digest != checked.digest:
        raise RefusedError(
            RefusalReason.KEY_REUSED,
            "the Idempotency-Key belongs to another request",
        )
    match record.status:
        case RecordStatus.DONE:
            return ServiceAnswer(
                record.code, record.content_type, record.answer
            )
        case RecordStatus.UNKNOWN:
            raise unknown()
    return None


def _settle_answer(settle: Settle, answer: ServiceAnswer) -> Settle:
    """Records the answer, or that it was too large to be recorded."""
    if answer.too_large or len(answer.body) > MAX_STORED_BYTES:
        refused = too_large(MAX_STORED_BYTES)
        answer = ServiceAnswer(refused.code, JSON_TYPE, refused.body())
    return attrs.evolve(
        settle,
        status=RecordStatus.DONE,
        code=answer.code,
        content_type=answer.content_type,
        answer=answer.body,
    )


def _bounded(answer: ServiceAnswer) -> ServiceAnswer:
    if answer.too_large:
        raise too_large()
    return answer
