"""Chat requests: attempts at runners, resumes, and the caller's answer."""

import contextlib
import json
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel
import attrs

from knapweedarch.background import Background
from knapweedarch.callers import (
    WRITE_S,
    Call,
    CallerGoneError,
    RefusedError,
    SlowCallerError,
    may_send,
)
from knapweedarch.chat_requests import ChatRequest, parse_chat, prompt_bytes
from knapweedarch.chat_streams import STREAM_SILENCE_S, ChatStream
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
from knapweedarch.sinks import EventSink, Sink, WholeSink
from knapweedarch.streams import Chunk, Finish, StreamFault, StreamState
from knapweedarch.watchdogs import Step, Watchdog

if TYPE_CHECKING:
    from knapweedarch.gateway import RouterPort

NO_NEW_WORK = "this router starts no new work now"
# A runner answers these before it runs anything.
NOT_RUN_REASONS = frozenset(
    {
        RetryReason.WRONG_INCARNATION,
        RetryReason.WRONG_VERSION,
        RetryReason.ENDPOINT_REFUSED,
    }
)


class ChatHandler:
    """Handles `POST /v1/chat/completions`."""

    def __init__(self, router: "RouterPort", background: Background):
        self._router = router
        self._background = background

    async def handle(
        self, call: Call, customer: CustomerRule, request_id: str
    ) -> None:
        """Answers one request.

        Raises:
            RefusedError: Nothing was sent to the caller yet.
            CallerGoneError: The caller left.
            SlowCallerError: The caller takes no data.
        """
        router = self._router
        if reason := router.may_start():
            raise RefusedError(reason, NO_NEW_WORK)
        data = await call.read_body(router.max_body_bytes)
        arrived = router.clock.now()
        request = parse_chat(data, call, customer, router.rules)
        ticket = await self._ticket(request, customer, request_id, arrived)
        sink: Sink = EventSink(call, request_id)
        if not request.stream:
            sink = WholeSink(call, request_id, request.rule.name)
        run = ChatRun(router, self._background, request, ticket, sink)
        gone = False
        failure: Exception | None = None
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                nonlocal gone
                await call.wait_gone()
                gone = True
                group.cancel_scope.cancel()

            group.start_soon(watch)
            group.start_soon(run.watchdog.run)
            try:
                await run.run()
            except (RefusedError, SlowCallerError) as exc:
                # Raised outside the group, which would wrap it.
                failure = exc
            group.cancel_scope.cancel()
        if gone and not run.ended:
            raise CallerGoneError("the caller left")
        if failure is not None:
            raise failure

    async def _ticket(
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
    """The attempts of one request.

    Attributes:
        watchdog: Must run beside `run`.
        ended: Whether the end of the answer is on its way to the caller.
    """

    def __init__(
        self,
        router: "RouterPort",
        background: Background,
        request: ChatRequest,
        ticket: Ticket,
        sink: Sink,
    ):
        self._router = router
        self._background = background
        self._request = request
        self._ticket = ticket
        self._sink = sink
        self.ended = False
        self.watchdog = Watchdog(router.clock)
        self._state = StreamState(ticket.id)
        self._outcome = Outcome.NOT_RUN

    async def run(self) -> None:
        """Tries until the answer is whole or no try is left.

        Raises:
            RefusedError: The sink refused the answer.
            SlowCallerError: The caller takes no data.
        """
        decision = await self._router.place(self._ticket)
        while isinstance(decision, Dispatch):
            attempt = decision.attempt
            refused = await self._try(attempt)
            if refused is not None:
                return await self._fail(refused)
            if self._state.finish is not None:
                return
            decision = await self._place_again(attempt)
        await self._fail(self._refusal(decision))

    async def _try(self, attempt: Attempt) -> RefusedError | None:
        """Makes one attempt; returns a refusal if no other may follow."""
        attempt_id = f"{self._router.incarnation}/{attempt.number}"
        self._state.begin(attempt_id)
        result = AttemptResult(cancelled=True)
        relay = _Relay(
            self._router, self._state, self._sink, attempt, self.watchdog
        )
        try:
            await self._relay(attempt, attempt_id, relay)
            result = AttemptResult(cached_tokens=relay.cached_tokens)
        except SendRefusedError as exc:
            return RefusedError(
                exc.refusal,
                NO_NEW_WORK,
                self._current_outcome(),
            )
        except (EndpointError, StreamFault) as exc:
            result = AttemptResult(RetryReason(exc.reason), relay.cached_tokens)
            self._note_failure(attempt, exc)
        finally:
            # A finished stream needs no cancel; an attempt that may still run
            # would hold the runner's slot.
            self._router.scheduler.finished(
                attempt, result, self._router.clock.now()
            )
            if self._state.finish is None and relay.sent:
                await self._background.start(self._cancel, attempt, attempt_id)
        return None

    async def _relay(
        self, attempt: Attempt, attempt_id: str, relay: "_Relay"
    ) -> None:
        limit_s = max(0.05, self._ticket.deadline - self._router.clock.now())

        def check() -> RefusalReason | None:
            reason = may_send(self._router.may_start)
            relay.sent = reason is None
            return reason

        async with self._router.adapter.open_chat(
            attempt,
            self._body(),
            self._ticket.id,
            attempt_id,
            check,
            limit_s,
        ) as stream:
            await relay.run(stream)
            # The server reports a disconnect after a whole answer too.
            self.ended = True
            self._router.count("requests.finished")
            await self._sink.finish(self._state.finish)

    def _body(self) -> bytes:
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

    def _note_failure(
        self, attempt: Attempt, exc: EndpointError | StreamFault
    ) -> None:
        reason = RetryReason(exc.reason)
        written = not isinstance(exc, EndpointError) or exc.written
        if written and reason not in NOT_RUN_REASONS:
            self._outcome = Outcome.UNKNOWN
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

    async def _place_again(self, failed: Attempt) -> Dispatch | Refuse:
        if self._state.started:
            if not self._state.resumable:
                return Refuse(RefusalReason.NO_RESUME)
            # The text so far is of these weights; others would not go on
            # with it. The next token gets the time of a first one.
            self._ticket = attrs.evolve(
                self._ticket,
                weights_version=failed.endpoint.weights_version,
                deadline=self._router.clock.now()
                + self._request.rule.first_token_s,
            )
        decision = await self._router.place_retry(self._ticket, failed)
        if self._state.started and isinstance(decision, Dispatch):
            self._router.count("streams.resumed")
        return decision

    def _current_outcome(self) -> Outcome:
        return Outcome.RUN if self._state.started else self._outcome

    def _refusal(self, decision: Refuse) -> RefusedError:
        return RefusedError(
            decision.reason,
            f"the request was refused: {decision.reason.value}",
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
class _Relay:
    """Passes the tokens of one attempt on.

    Attributes:
        sent: Whether bytes of the request may have been written.
        cached_tokens: Prompt tokens found in the cache, if told.
    """

    router: "RouterPort"
    state: StreamState
    sink: Sink
    attempt: Attempt
    watchdog: Watchdog
    sent: bool = False
    cached_tokens: int | None = None
    _first: bool = True

    async def run(self, stream: ChatStream) -> None:
        """Relays until the end mark.

        Raises:
            StreamFault: The attempt broke the rules of a stream.
            EndpointError: The stream broke or was silent.
        """
        watchdog = self.watchdog
        with anyio.CancelScope() as scope:
            watchdog.watch(scope)
            watchdog.begin(Step.FIRST_EVENT, stream.first_event_s)
            while events := await stream.read():
                watchdog.begin(Step.WRITE, WRITE_S)
                await self._pass_on(events)
                if self.state.finish is not None:
                    break
                watchdog.begin(Step.NEXT_EVENT, STREAM_SILENCE_S)
            watchdog.stop()
        if scope.cancelled_caught:
            raise self._late(stream)
        self.state.end()

    def _late(self, stream: ChatStream) -> KnapweedarchError:
        match self.watchdog.expired:
            case Step.WRITE:
                return SlowCallerError(
                    f"the caller took no data in {WRITE_S} s"
                )
            case Step.FIRST_EVENT:
                return stream.failed(
                    RetryReason.FIRST_TOKEN_TIMEOUT, "the first token is late"
                )
        return stream.failed(
            RetryReason.STREAM_SILENT, f"silent for {STREAM_SILENCE_S} s"
        )

    async def _pass_on(self, events) -> None:
        chunks: list[Chunk] = []
        try:
            for event in events:
                if self.state.accept(event):
                    chunks.append(event)
                if getattr(event, "load", None) is not None:
                    self._take_load(event)
                if self.state.finish is not None:
                    return
        finally:
            # What came before a fault is good, and counts as delivered.
            if chunks:
                self._note_first(chunks[0])
                await self.sink.deliver(chunks)

    def _note_first(self, chunk: Chunk) -> None:
        if not self._first:
            return
        self._first = False
        self.cached_tokens = chunk.cached_tokens
        now = self.router.clock.now()
        self.router.scheduler.first_token(self.attempt, now)
        if chunk.offset == 0:
            waited_s = now - self.attempt.ticket.arrived_at
            self.router.timing("first_token", waited_s)
        if chunk.cached_tokens is not None:
            self._count_prompt(chunk.cached_tokens)

    def _count_prompt(self, cached_tokens: int) -> None:
        """Counts what the runner found in its cache and what it computed."""
        attempt = self.attempt
        computed = max(0, attempt.ticket.prompt_tokens - cached_tokens)
        expected = attempt.cached_blocks * BLOCK_TOKENS
        self.router.count("tokens.cached", cached_tokens)
        self.router.count("tokens.computed", computed)
        self.router.count("tokens.wasted", max(0, expected - cached_tokens))

    def _take_load(self, event: Chunk | Finish) -> None:
        endpoint = self.attempt.endpoint
        report = attrs.evolve(
            event.load,
            endpoint_id=endpoint.id,
            incarnation=endpoint.incarnation,
        )
        self.router.scheduler.report_load(report, self.router.clock.now())
