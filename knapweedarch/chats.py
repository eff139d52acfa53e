"""Chat requests: attempts at runners, resumes, and the caller's answer."""

import contextlib
import json
from typing import TYPE_CHECKING, Protocol

import anyio
import anyio.lowlevel
import attrs

from knapweedarch.adapters import ChatStream, SendRefusedError
from knapweedarch.callers import (
    Call,
    CallerGoneError,
    RefusedError,
    SlowCallerError,
)
from knapweedarch.exceptions import EndpointError
from knapweedarch.models import (
    Attempt,
    AttemptResult,
    CustomerRule,
    Dispatch,
    ModelRule,
    Outcome,
    Priority,
    RefusalReason,
    Refuse,
    RetryReason,
    Rules,
    Ticket,
)
from knapweedarch.prefixes import BlockHasher, hash_steps, make_salt
from knapweedarch.streams import Chunk, Finish, StreamFault, StreamState

if TYPE_CHECKING:
    from knapweedarch.gateway import Background, RouterPort

DEFAULT_MAX_TOKENS = 1024
MAX_MAX_TOKENS = 131_072
NO_NEW_WORK = "this router starts no new work now"
MAX_WHOLE_BYTES = 8 * 1024 * 1024
# Fields that the router itself puts into a runner's body.
OWN_FIELDS = frozenset({"prefix_blocks", "resume"})
# Fields whose answers carry more than text, which a resume could not carry on.
UNSUPPORTED_FIELDS = frozenset({"tools", "functions", "logprobs"})
# A runner answers these before it runs anything.
NOT_RUN_REASONS = frozenset(
    {
        RetryReason.WRONG_INCARNATION,
        RetryReason.WRONG_VERSION,
        RetryReason.ENDPOINT_REFUSED,
    }
)


@attrs.frozen
class ChatRequest:
    """A checked chat request.

    Attributes:
        rule: Rule of the model.
        fields: Body of the caller.
        stream: Whether the caller wants a stream.
        max_tokens: Most tokens to generate.
        priority: Class of the request.
    """

    rule: ModelRule
    fields: dict[str, object]
    stream: bool
    max_tokens: int
    priority: Priority


class Sink(Protocol):
    """Where the tokens of an answer go."""

    async def deliver(self, chunks: list[Chunk]) -> None:
        """Takes over tokens that follow those before."""

    async def finish(self, finish: Finish) -> None:
        """Ends a whole answer."""

    async def fail(self, refused: RefusedError) -> None:
        """Ends an answer that is not whole."""


@attrs.define
class EventSink:
    """Relays tokens to the caller as they come."""

    call: Call
    request_id: str

    async def deliver(self, chunks: list[Chunk]) -> None:
        """Sends the runner's events on, in one write."""
        await self._start()
        await self.call.write(
            b"".join([b"data: " + chunk.data + b"\n\n" for chunk in chunks])
        )

    async def finish(self, finish: Finish) -> None:
        """Sends the finishing event and the end mark."""
        await self._start()
        await self.call.finish(
            b"data: " + finish.data + b"\n\ndata: [DONE]\n\n"
        )

    async def fail(self, refused: RefusedError) -> None:
        """Sends an error event without the end mark."""
        if not self.call.started:
            return await self.call.refuse(refused)
        await self.call.finish(b"data: " + refused.body() + b"\n\n")

    async def _start(self) -> None:
        if not self.call.started:
            fields = {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                "x-request-id": self.request_id,
            }
            await self.call.start(200, fields)


@attrs.define
class WholeSink:
    """Assembles the whole answer."""

    call: Call
    request_id: str
    model: str
    _parts: list[str] = attrs.field(factory=list)
    _size: int = 0

    async def deliver(self, chunks: list[Chunk]) -> None:
        """Keeps the text.

        Raises:
            RefusedError: The answer exceeds `MAX_WHOLE_BYTES`.
        """
        for chunk in chunks:
            self._parts.append(chunk.text)
            self._size += len(chunk.text)
        if self._size > MAX_WHOLE_BYTES:
            raise RefusedError(
                RefusalReason.ANSWER_TOO_LARGE,
                f"the answer exceeds {MAX_WHOLE_BYTES} characters",
                Outcome.RUN,
            )

    async def finish(self, finish: Finish) -> None:
        """Sends the whole answer."""
        message = {"role": "assistant", "content": "".join(self._parts)}
        body = {
            "id": f"chatcmpl-{self.request_id}",
            "object": "chat.completion",
            "model": self.model,
            "choices": [
                {
                    "index": 0,
                    "message": message,
                    "finish_reason": finish.reason,
                }
            ],
            "usage": finish.usage,
        }
        await self.call.answer(
            200,
            json.dumps(body).encode(),
            fields={"x-request-id": self.request_id},
        )

    async def fail(self, refused: RefusedError) -> None:
        """Sends an error answer."""
        await self.call.refuse(refused)


class ChatHandler:
    """Handles `POST /v1/chat/completions`."""

    def __init__(self, router: "RouterPort", background: "Background"):
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
        arrived = router.clock.now()
        data = await call.read_body(router.max_body_bytes)
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
        )


class ChatRun:
    """The attempts of one request.

    Attributes:
        ended: Whether the end of the answer is on its way to the caller.
    """

    def __init__(
        self,
        router: "RouterPort",
        background: "Background",
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
                # The server reports a disconnect after a whole answer too.
                self.ended = True
                self._router.count("requests.finished")
                return await self._sink.finish(self._state.finish)
            decision = await self._place_again(attempt)
        await self._fail(self._refusal(decision))

    async def _try(self, attempt: Attempt) -> RefusedError | None:
        """Makes one attempt; returns a refusal if no other may follow."""
        attempt_id = f"{self._router.incarnation}/{attempt.number}"
        self._state.begin(attempt_id)
        result = AttemptResult(cancelled=True)
        relay = _Relay(self._router, self._state, self._sink, attempt)
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

        def may_send() -> RefusalReason | None:
            reason = self._router.may_start()
            relay.sent = reason is None
            return reason

        async with self._router.adapter.open_chat(
            attempt,
            self._body(),
            self._ticket.id,
            attempt_id,
            may_send,
            limit_s,
        ) as stream:
            await relay.run(stream)

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
        decision = await self._router.place_again(self._ticket, failed)
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
    sent: bool = False
    cached_tokens: int | None = None
    _first: bool = True

    async def run(self, stream: ChatStream) -> None:
        """Relays until the end mark.

        Raises:
            StreamFault: The attempt broke the rules of a stream.
            EndpointError: The stream broke or was silent.
        """
        async with contextlib.aclosing(stream.batches()) as batches:
            async for events in batches:
                await self._pass_on(events)
                if self.state.finish is not None:
                    return
        self.state.end()

    async def _pass_on(self, events) -> None:
        chunks: list[Chunk] = []
        try:
            for event in events:
                if self.state.accept(event):
                    chunks.append(event)
                if getattr(event, "load", None) is not None:
                    self._take_load(event)
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
        self.router.scheduler.first_token(self.attempt, self.router.clock.now())

    def _take_load(self, event: Chunk | Finish) -> None:
        endpoint = self.attempt.endpoint
        report = attrs.evolve(
            event.load,
            endpoint_id=endpoint.id,
            incarnation=endpoint.incarnation,
        )
        self.router.scheduler.report_load(report, self.router.clock.now())


def parse_chat(
    data: bytes, call: Call, customer: CustomerRule, rules: Rules
) -> ChatRequest:
    """Checks the body and headers of a chat request.

    Raises:
        RefusedError: They are malformed or the customer may not do that.
    """
    try:
        fields = json.loads(data)
    except ValueError as exc:
        raise _bad_body(f"the body is no JSON: {exc}") from exc
    if not isinstance(fields, dict):
        raise _bad_body("the body is no JSON object")
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _bad_body("messages must be a list that is not empty")
    if not all(isinstance(m, dict) and "role" in m for m in messages):
        raise _bad_body("each message must be an object with a role")
    if own := OWN_FIELDS & fields.keys():
        raise _bad_body(f"the fields {sorted(own)} are set by the router")
    if found := {f for f in UNSUPPORTED_FIELDS if fields.get(f)}:
        raise _bad_body(f"the fields {sorted(found)} are not supported")
    if fields.get("n") not in (None, 1):
        raise _bad_body("n must be 1")
    return ChatRequest(
        _model_rule(fields.get("model"), customer, rules),
        fields,
        fields.get("stream") is True,
        _max_tokens(fields),
        _priority(call.header("x-class"), customer),
    )


def _bad_body(message: str) -> RefusedError:
    return RefusedError(RefusalReason.BAD_BODY, message)


def _model_rule(name: object, customer: CustomerRule, rules: Rules):
    rule = next((r for r in rules.models if r.name == name), None)
    if rule is None:
        raise RefusedError(
            RefusalReason.UNKNOWN_MODEL, "no rule names this model"
        )
    if customer.models and name not in customer.models:
        raise RefusedError(
            RefusalReason.NOT_ALLOWED, "this customer may not use this model"
        )
    return rule


def _max_tokens(fields: dict) -> int:
    value = fields.get("max_completion_tokens", fields.get("max_tokens"))
    if value is None:
        return DEFAULT_MAX_TOKENS
    if type(value) is not int or not 1 <= value <= MAX_MAX_TOKENS:
        raise _bad_body(f"max_tokens must be 1 to {MAX_MAX_TOKENS}")
    return value


def _priority(name: str, customer: CustomerRule) -> Priority:
    if not name:
        return customer.priority
    try:
        priority = Priority[name.upper()]
    except KeyError as exc:
        raise _bad_body("x-class names no class") from exc
    if priority < customer.priority:
        raise RefusedError(
            RefusalReason.NOT_ALLOWED, "this customer may not use this class"
        )
    return priority


def prompt_bytes(messages: list[dict]) -> bytes:
    """Encodes messages so that a longer conversation extends a shorter one."""
    parts = []
    for message in messages:
        content = message.get("content")
        if not isinstance(content, str):
            content = json.dumps(content)
        parts.append(f"{message['role']}\0{content}\0")
    return "".join(parts).encode("utf-8", "surrogatepass")
