"""Runs chat requests: attempts at runners, resumes, and the response."""

import contextlib
import functools
import json
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel
import attrs

from knapweedarch.background import BackgroundTasks
from knapweedarch.body_charges import json_charge
from knapweedarch.callers import (
    WRITE_TIMEOUT_S,
    CallerGoneError,
    HttpCall,
    RefusedError,
    SlowCallerError,
    reason_not_to_send,
)
from knapweedarch.chat_requests import ChatRequest, parse_chat, prompt_bytes
from knapweedarch.chat_streams import STREAM_IDLE_TIMEOUT_S, ChatStream
from knapweedarch.crash_guard import (
    CRASH_REASONS,
    SOUND_EVENTS,
)
from knapweedarch.exceptions import EndpointError, KnapweedarchError
from knapweedarch.exchanges import SendRefusedError
from knapweedarch.models import (
    Attempt,
    AttemptResult,
    CustomerRule,
    Dispatch,
    Outcome,
    RefusalReason,
    Refuse,
    RetryReason,
    Ticket,
)
from knapweedarch.prefixes import (
    BLOCK_TOKENS,
    BlockHasher,
    hash_steps,
    make_salt,
)
from knapweedarch.quarantine_messages import runner_digest
from knapweedarch.request_digests import (
    RequestDigests,
    block_digests,
    request_digest,
)
from knapweedarch.sinks import BufferedSink, EventSink, Sink
from knapweedarch.streams import Chunk, Finish, StreamProtocolError, StreamState
from knapweedarch.watchdogs import Step, Watchdog

if TYPE_CHECKING:
    from knapweedarch.gateway import RouterPort

PART_HELD = RefusalReason.PART_HELD
SEND_REFUSED_MESSAGE = (
    "the router is not sending requests to runners at the moment"
)
# A chat goes on for this long after the end of its caller's input, in seconds.
# The server does not tell whether the caller has left, nor if a write fails.
END_OF_INPUT_GRACE_S = 0.25
# A runner returns these errors before it starts to process a request.
NOT_RUN_REASONS = frozenset(
    {
        RetryReason.WRONG_INCARNATION,
        RetryReason.WRONG_VERSION,
        RetryReason.ENDPOINT_REFUSED,
    }
)


class ChatHandler:
    """Handles `POST /v1/chat/completions`."""

    def __init__(self, router: "RouterPort", background: BackgroundTasks):
        self._router = router
        self._background = background

    async def handle(
        self, call: HttpCall, customer: CustomerRule, request_id: str
    ) -> None:
        """Handles one request and sends the response.

        Raises:
            RefusedError: The request failed before the response was started.
            CallerGoneError: The caller closed the connection.
            SlowCallerError: A write to the caller timed out.
        """
        router = self._router
        if reason := router.start_refusal():
            raise RefusedError(reason, SEND_REFUSED_MESSAGE)
        data = await call.read_body(router.max_body_bytes)
        call.begin_service(json_charge(data))
        # A request that becomes whole only during a stop would be cut.
        if router.start_refusal() is RefusalReason.STOPPING:
            raise RefusedError(RefusalReason.STOPPING, SEND_REFUSED_MESSAGE)
        arrived = router.clock.now()
        request = parse_chat(data, call, customer, router.rules)
        ticket = await self._create_ticket(
            request, customer, request_id, arrived
        )
        digests = RequestDigests(
            request_digest(customer.name, f"POST {call.path}", data),
            block_digests(ticket.model, ticket.blocks),
        )
        with contextlib.ExitStack() as stack:
            sink = self._create_sink(call, request, request_id, stack)
            run = ChatRun(
                *(router, self._background, request, ticket, sink, digests)
            )
            run.hold_text(stack)
            await self._run(call, run)

    def _create_sink(
        self,
        call: HttpCall,
        request: ChatRequest,
        request_id: str,
        stack: contextlib.ExitStack,
    ) -> Sink:
        """Creates a sink; what it holds is counted until the stack closes."""
        if request.stream:
            return EventSink(call, request_id)
        sink = BufferedSink(call, request_id, request.rule.name)
        memory = self._router.adapter.memory
        sink.held = stack.enter_context(memory.hold(sink.forget_text))
        return sink

    async def _run(self, call: HttpCall, run: "ChatRun") -> None:
        """Runs a request until its end, or until its caller leaves."""
        caller_disconnected = False
        failure: Exception | None = None
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                nonlocal caller_disconnected
                await call.wait_for_disconnect()
                # The caller may wait, and have closed only its sending side.
                await anyio.sleep(END_OF_INPUT_GRACE_S)
                caller_disconnected = True
                group.cancel_scope.cancel()

            group.start_soon(watch)
            group.start_soon(run.watchdog.run)
            try:
                await run.run()
            except (RefusedError, SlowCallerError) as exc:
                # Raised outside the task group, which would wrap it in an
                # exception group.
                failure = exc
            group.cancel_scope.cancel()
        if caller_disconnected and not run.ended:
            raise CallerGoneError("the caller closed the connection")
        if failure is not None:
            raise failure

    async def _create_ticket(
        self,
        request: ChatRequest,
        customer: CustomerRule,
        request_id: str,
        arrived: float,
    ) -> Ticket:
        version = self._router.scheduler.version_for(request.rule.name)
        hasher = BlockHasher(
            make_salt(customer.name, request.rule.name, version)
        )
        prompt = prompt_bytes(request.fields["messages"])
        for _ in hash_steps(hasher, prompt):
            await anyio.lowlevel.checkpoint()
        return Ticket(
            *(request_id, customer.name, request.rule.name, request.priority),
            *(hasher.blocks, hasher.prompt_tokens, request.max_tokens),
            deadline=arrived + request.rule.first_token_s,
            arrived_at=arrived,
        )


class ChatRun:
    """Runs one request: the first attempt and its retries.

    Attributes:
        watchdog: Its `run` must run concurrently with `run` of this class.
        ended: Whether sending the end of the response or an error to the caller
            has begun.
    """

    def __init__(
        self,
        router: "RouterPort",
        background: BackgroundTasks,
        request: ChatRequest,
        ticket: Ticket,
        sink: Sink,
        digests: RequestDigests,
    ):
        self._router = router
        self._background = background
        self._request = request
        self._ticket = ticket
        self._sink = sink
        self.ended = False
        self.watchdog = Watchdog(router.clock)
        self._state = StreamState(ticket.id, request.max_tokens)
        self._outcome = Outcome.NOT_RUN
        self._digests = digests
        self._broke_off = False
        self._has_retry = False

    def hold_text(self, stack: contextlib.ExitStack) -> None:
        """Counts the text kept for a resume until the stack closes."""
        memory = self._router.adapter.memory
        release = self._state.forget_text
        self._state.held = stack.enter_context(memory.hold(release))

    async def run(self) -> None:
        """Makes attempts until the response is complete or retries run out.

        Raises:
            RefusedError: The sink rejected the response.
            SlowCallerError: A write to the caller timed out.
        """
        if held_s := self._held_s():
            return await self._fail(self._refusal(Refuse(PART_HELD, held_s)))
        decision = await self._router.place(self._ticket)
        while isinstance(decision, Dispatch):
            attempt = decision.attempt
            refused = await self._run_attempt(attempt)
            if refused is not None:
                return await self._fail(refused)
            if self._state.finish is not None:
                return
            decision = await self._place_again(attempt)
        await self._fail(self._refusal(decision))

    async def _run_attempt(self, attempt: Attempt) -> RefusedError | None:
        """Makes one attempt; returns an error if no retry may follow.

        None means that the response is complete or that the attempt failed and
        may be retried.
        """
        attempt_id = f"{self._router.incarnation}/{attempt.number}"
        self._state.begin(attempt_id)
        result = AttemptResult(cancelled=True)
        relay = _AttemptRelay(
            *(self._router, self._state, self._sink, attempt, self.watchdog),
            *(self._digests, functools.partial(self._reserve_retry, attempt)),
            max(STREAM_IDLE_TIMEOUT_S, self._request.rule.first_token_s),
        )
        try:
            await self._relay_stream(attempt, attempt_id, relay)
            result = AttemptResult(cached_tokens=relay.cached_tokens)
        except SendRefusedError as exc:
            return RefusedError(
                exc.refusal,
                SEND_REFUSED_MESSAGE,
                self._current_outcome(),
            )
        except (EndpointError, StreamProtocolError) as exc:
            result = AttemptResult(RetryReason(exc.reason), relay.cached_tokens)
            self._record_failure(attempt, exc)
            relay.record_crash(exc)
        finally:
            # An attempt that may still be running is cancelled, since it would
            # occupy a slot of the runner. A finished stream needs no cancel.
            self._router.scheduler.finished(
                attempt, result, self._router.clock.now()
            )
            if self._state.finish is None and relay.sent:
                await self._background.start(self._cancel, attempt, attempt_id)
        return None

    async def _relay_stream(
        self, attempt: Attempt, attempt_id: str, relay: "_AttemptRelay"
    ) -> None:
        limit_s = max(0.05, self._ticket.deadline - self._router.clock.now())

        def check_send() -> RefusalReason | None:
            reason = reason_not_to_send(self._router.start_refusal)
            if reason is None and self._held_s():
                # The part was found while the request waited.
                reason = PART_HELD
            relay.sent = reason is None
            return reason

        async with self._router.adapter.open_chat(
            attempt,
            self._request_body(),
            self._ticket.id,
            attempt_id,
            check_send,
            limit_s,
        ) as stream:
            await relay.run(stream)
            # Set first: the ASGI server also reports a disconnect after a
            # complete response.
            self.ended = True
            self._router.count("requests.finished")
            await self._sink.finish(self._state.finish)

    def _request_body(self) -> bytes:
        fields = dict(self._request.fields)
        fields |= {
            "stream": True,
            "max_tokens": self._request.max_tokens,
            "prefix_blocks": list(self._ticket.blocks),
        }
        if self._state.started:
            fields["resume"] = {
                "offset": self._state.offset,
                "text": self._state.text,
            }
        return json.dumps(fields).encode()

    async def _cancel(self, attempt: Attempt, attempt_id: str) -> None:
        with contextlib.suppress(EndpointError):
            await self._router.adapter.cancel(
                attempt.endpoint, self._ticket.id, attempt_id
            )

    def _record_failure(
        self, attempt: Attempt, exc: EndpointError | StreamProtocolError
    ) -> None:
        reason = RetryReason(exc.reason)
        written = not isinstance(exc, EndpointError) or exc.written
        if written and reason not in NOT_RUN_REASONS:
            self._outcome = Outcome.UNKNOWN
        self._broke_off = reason in CRASH_REASONS
        self._router.count(f"retried.{reason.value}")
        if reason is RetryReason.CROSSED_ANSWER:
            self._router.count("crossed.dropped")
        self._router.log(
            "attempt_failed",
            request=self._ticket.id,
            endpoint=attempt.endpoint.id,
            reason=reason.value,
            offset=self._state.offset,
            message=str(exc),
        )

    def _may_repeat(self) -> bool:
        now = self._router.clock.now()
        return self._router.guard.may_repeat(self._digests, now)

    def _held_s(self) -> float:
        """Returns for how long the request is held back, or 0."""
        now = self._router.clock.now()
        return self._router.guard.held_s(self._digests, now)

    async def _place_again(self, failed: Attempt) -> Dispatch | Refuse:
        if self._held_s() or (self._broke_off and not self._may_repeat()):
            return Refuse(RefusalReason.RETRIES_EXHAUSTED)
        if self._state.started:
            if not self._state.resumable:
                return Refuse(RefusalReason.NO_RESUME)
            self._ticket = self._resume_ticket(failed)
        has_retry, self._has_retry = self._has_retry, False
        decision = await self._router.place_retry(
            self._ticket, failed, has_retry
        )
        if self._state.started and isinstance(decision, Dispatch):
            self._router.count("streams.resumed")
        return decision

    def _resume_ticket(self, failed: Attempt) -> Ticket:
        """Returns the ticket of a stream that has begun.

        Other weights or software would not continue the text generated so far.
        The next token gets the time limit of a first token.
        """
        limit_s = self._request.rule.first_token_s
        return attrs.evolve(
            self._ticket,
            weights_version=failed.endpoint.weights_version,
            software_version=failed.endpoint.software_version,
            deadline=self._router.clock.now() + limit_s,
        )

    def _reserve_retry(self, silent: Attempt) -> bool:
        """Reserves a retry for a stream whose runner is silent."""
        if self._held_s() or not self._state.resumable:
            return False
        self._has_retry = self._router.reserve_retry(
            self._resume_ticket(silent), silent
        )
        return self._has_retry

    def _current_outcome(self) -> Outcome:
        return Outcome.RUN if self._state.started else self._outcome

    def _refusal(self, decision: Refuse) -> RefusedError:
        return RefusedError(
            decision.reason,
            f"the request could not be placed: {decision.reason.value}",
            self._current_outcome(),
            decision.retry_after_s,
        )

    async def _fail(self, refused: RefusedError) -> None:
        self.ended = True
        self._router.count(f"refused.{refused.reason.value}")
        if self._state.started:
            self._router.log(
                "stream_failed",
                request=self._ticket.id,
                reason=refused.reason.value,
                offset=self._state.offset,
            )
        await self._sink.fail(refused)


@attrs.define
class _AttemptRelay:
    """Relays the tokens of one attempt to the sink.

    Attributes:
        sent: Whether bytes of the request may have been written.
        cached_tokens: Prompt tokens found in the cache, if reported.
        digests: What the request has in common with others.
        reserve_retry: Reserves a retry at another runner, if one may go on.
        longest_gap_s: Time in seconds without an event after which the attempt
            ends although no other runner may go on.
        events: Number of events received.
        has_head: Whether an answer has begun.
    """

    router: "RouterPort"
    state: StreamState
    sink: Sink
    attempt: Attempt
    watchdog: Watchdog
    digests: RequestDigests
    reserve_retry: Callable[[], bool]
    longest_gap_s: float
    sent: bool = False
    events: int = 0
    has_head: bool = False
    cached_tokens: int | None = None
    _before_first_token: bool = True

    async def run(self, stream: ChatStream) -> None:
        """Relays events until the `[DONE]` marker.

        Raises:
            StreamProtocolError: The runner violated the stream protocol.
            EndpointError: The connection failed or a read timed out.
            SlowCallerError: A write to the caller timed out.
        """
        watchdog = self.watchdog
        with anyio.CancelScope() as scope:
            watchdog.watch(scope, self.reserve_retry)
            watchdog.begin(Step.FIRST_EVENT, stream.first_event_s)
            self.has_head = True
            while events := await stream.read():
                if watchdog.expired is not None:
                    # They came as the runner was left. They are not accepted,
                    # since their write would be cancelled.
                    break
                self._record_events(len(events))
                watchdog.begin(Step.WRITE, WRITE_TIMEOUT_S)
                await self._deliver_chunks(events)
                if self.state.finish is not None:
                    break
                watchdog.begin(
                    *(Step.NEXT_EVENT, STREAM_IDLE_TIMEOUT_S),
                    self.longest_gap_s,
                )
            watchdog.stop()
        is_left = watchdog.expired is not None and self.state.finish is None
        if scope.cancelled_caught or is_left:
            raise self._timeout_error(stream)
        self.state.end()
        if self.events < SOUND_EVENTS:
            self._record_sound()

    def _record_events(self, count: int) -> None:
        before = self.events
        self.events += count
        if before < SOUND_EVENTS <= self.events:
            self._record_sound()

    def _record_sound(self) -> None:
        """Records that the runner did not crash on the prompt."""
        router = self.router
        router.guard.record_sound(self.digests, router.clock.now())

    def record_crash(self, exc: EndpointError | StreamProtocolError) -> None:
        """Records that the request may have crashed its runner."""
        if (
            self.sent
            and exc.reason in CRASH_REASONS
            and self.events < SOUND_EVENTS
        ):
            runner = self.attempt.endpoint
            self.router.guard.record_broken(
                runner_digest(runner.id, runner.incarnation),
                *(self.digests, self.has_head, self.router.clock.now()),
            )

    def _timeout_error(self, stream: ChatStream) -> KnapweedarchError:
        match self.watchdog.expired:
            case Step.WRITE:
                return SlowCallerError(
                    f"a write to the caller timed out after {WRITE_TIMEOUT_S} s"
                )
            case Step.FIRST_EVENT:
                return stream.create_error(
                    RetryReason.FIRST_TOKEN_TIMEOUT,
                    "the first token did not arrive in time",
                )
        return stream.create_error(
            RetryReason.STREAM_SILENT,
            f"no event for {STREAM_IDLE_TIMEOUT_S} s or more",
        )

    async def _deliver_chunks(self, events) -> None:
        chunks: list[Chunk] = []
        try:
            for event in events:
                if self.state.accept(event):
                    chunks.append(event)
                if getattr(event, "load", None) is not None:
                    self._report_load(event)
                if self.state.finish is not None:
                    return
        finally:
            # Also delivers the chunks before an invalid event: they passed the
            # checks, and `state` already counts them as received.
            if chunks:
                self._record_first_token(chunks[0])
                await self.sink.deliver(chunks)

    def _record_first_token(self, chunk: Chunk) -> None:
        if not self._before_first_token:
            return
        self._before_first_token = False
        self.cached_tokens = chunk.cached_tokens
        now = self.router.clock.now()
        self.router.scheduler.first_token(self.attempt, now)
        if chunk.offset == 0:
            waited_s = now - self.attempt.ticket.arrived_at
            self.router.timing("first_token", waited_s)
        if chunk.cached_tokens is not None:
            self._count_prompt_tokens(chunk.cached_tokens)

    def _count_prompt_tokens(self, cached_tokens: int) -> None:
        """Counts the prompt tokens of an attempt.

        Cached tokens were found in the runner's cache, and computed ones were
        not. Wasted ones are those that the scheduler expected in the cache
        beyond the cached ones.
        """
        attempt = self.attempt
        computed = max(0, attempt.ticket.prompt_tokens - cached_tokens)
        expected = attempt.cached_blocks * BLOCK_TOKENS
        self.router.count("tokens.cached", cached_tokens)
        self.router.count("tokens.computed", computed)
        self.router.count("tokens.wasted", max(0, expected - cached_tokens))

    def _report_load(self, event: Chunk | Finish) -> None:
        endpoint = self.attempt.endpoint
        report = attrs.evolve(
            event.load,
            endpoint_id=endpoint.id,
            incarnation=endpoint.incarnation,
        )
        self.router.scheduler.report_load(report, self.router.clock.now())
