"""Relays proxied event streams and resumes them at another runner."""

import functools
import math

from knapweedarch.answer_memory import HeldAnswer
from knapweedarch.attempt_scope import (
    AttemptScope,
    read_full_answer,
    resize_answer,
    run_attempt,
)
from knapweedarch.crash_guard import SOUND_EVENTS
from knapweedarch.event_stream import EventBatch, EventSplitter
from knapweedarch.exceptions import EventTooLongError, ExchangeError
from knapweedarch.http_inbound import Responder
from knapweedarch.http_messages import Answer, end_to_end_headers
from knapweedarch.http_outbound import AnswerHead, Exchange
from knapweedarch.logs import log
from knapweedarch.models import Endpoint, RequestEnd, RetryReason
from knapweedarch.proxy_attempts import Attempts
from knapweedarch.proxy_calls import (
    AnswerProgress,
    ExecutionStatus,
    Failure,
    ProxyCall,
    remaining_s,
)
from knapweedarch.proxy_refusals import make_refusal
from knapweedarch.silence_watch import SilenceWatch

# Limits of the time without data, after which a resumable stream is resumed as
# soon as another runner may go on with it: before the first event as a multiple
# of the route's latency goal, after it as a multiple of the route's event gap.
# Callers time out after 2 s or more.
FIRST_EVENT_LIMIT_GOALS = 3.5
EVENT_LIMIT_GAPS = 3.0


class StreamRelay:
    """Relays one stream to the caller, resuming it at other runners."""

    def __init__(
        self, attempts: Attempts, call: ProxyCall, responder: Responder
    ):
        self._attempts = attempts
        self._call = call
        self._responder = responder
        self._last_event_id = ""
        self._event_count = 0
        self._first_event_at: float | None = None
        self._last_event_at = 0.0
        self._longest_gap_s = 0.0
        self._status = 0
        self._watch = SilenceWatch(attempts, call)

    async def serve(self) -> RequestEnd:
        """Relays the stream to its end, sends an error or aborts the stream.

        Raises:
            CallerGoneError: The caller disconnected before the end.
        """
        call = self._call
        end = await self._run()
        log(
            "stream_ended",
            request=call.options.request_id,
            route=call.route.name,
            outcome=end.value,
            status=self._status,
            events=self._event_count,
            tried=list(call.tried),
            first_ms=self._elapsed_ms(self._first_event_at),
            gap_ms=round(self._longest_gap_s * 1000),
            ms=self._elapsed_ms(self._attempts.clock.now()),
        )
        return end

    def _elapsed_ms(self, at: float | None) -> int | None:
        if at is None:
            return None
        return round((at - self._call.started_at) * 1000)

    async def _run(self) -> RequestEnd:
        call, attempts = self._call, self._attempts
        if call.takes_up:
            await attempts.find_origin(call)
        while endpoint := await attempts.place(call):
            match await self._attempt(endpoint):
                case None if self._status >= 500:
                    return RequestEnd.FAILED
                case None:
                    return RequestEnd.ANSWERED
                case Failure(execution=ExecutionStatus.MAY_HAVE_RUN) if (
                    not call.route.may_resume
                ):
                    break
            if not attempts.may_repeat(call):
                break
        if self._responder.started:
            self._responder.abort()
            return RequestEnd.BROKEN_OFF
        answer = make_refusal(call, attempts.clock, attempts.metrics)
        self._status = answer.status
        await self._responder.send(answer)
        is_refusal = answer.status == 503
        return RequestEnd.REFUSED if is_refusal else RequestEnd.FAILED

    async def _attempt(self, endpoint: Endpoint) -> Failure | None:
        """Relays from one runner; returns None once the caller is answered."""
        limit_s = remaining_s(self._call, self._attempts.clock)
        return await run_attempt(
            *(self._attempts, self._call, endpoint, limit_s),
            functools.partial(self._exchange, endpoint),
        )

    async def _exchange(
        self, endpoint: Endpoint, scope: AttemptScope
    ) -> Failure | None:
        with SilenceWatch(self._attempts, self._call) as self._watch:
            return await self._relay_answer(endpoint, scope)

    async def _relay_answer(
        self, endpoint: Endpoint, scope: AttemptScope
    ) -> Failure | None:
        attempts, call = self._attempts, self._call
        scope.exchange = exchange = await attempts.open(
            call, endpoint, self._last_event_id
        )
        head = await self._read_head(exchange)
        scope.progress.has_head = True
        attempts.record_head(endpoint, head)
        if attempts.dialect.was_not_run(head):
            return await scope.reject(head)
        if head.status != 200:
            return await self._forward_error(endpoint, exchange, head)
        await self._relay(endpoint, scope, head)
        scope.head = head
        return None

    async def _read_head(self, exchange: Exchange) -> AnswerHead:
        return await self._watch.wait(
            exchange.send_request,
            self._attempts.now() + self._silence_limit_s(),
            RetryReason.FIRST_TOKEN_TIMEOUT,
        )

    def _silence_limit_s(self) -> float:
        """Returns the time without data after which an attempt may be ended.

        It is at least 0.5 s, and infinite if the stream may not be resumed at
        another runner.
        """
        route = self._call.route
        if not route.may_resume or not self._attempts.has_attempts(self._call):
            return math.inf
        if self._event_count:
            return max(route.event_gap_s * EVENT_LIMIT_GAPS, 0.5)
        return max(route.goal_s * FIRST_EVENT_LIMIT_GOALS, 0.5)

    async def _forward_error(
        self, endpoint: Endpoint, exchange: Exchange, head: AnswerHead
    ) -> Failure | None:
        """Forwards a runner's error answer unless the stream has started."""
        answer = await read_full_answer(exchange, head)
        self._attempts.chooser.record_failure(
            endpoint, self._attempts.clock.now()
        )
        if self._responder.started:
            return self._attempts.record_failure(
                self._call,
                endpoint,
                Failure(
                    ExecutionStatus.MAY_HAVE_RUN, RetryReason.ENDPOINT_ERROR
                ),
                f"status {head.status} for the request to resume a stream",
            )
        self._status = head.status
        await self._responder.send(
            Answer(
                status=answer.status,
                headers=end_to_end_headers(answer.headers),
                body=answer.body,
            )
        )
        return None

    async def _relay(
        self, endpoint: Endpoint, scope: AttemptScope, head: AnswerHead
    ) -> None:
        splitter = EventSplitter()
        with scope.exchange.memory.hold(splitter.clear) as held:
            await self._relay_events(endpoint, scope, head, splitter, held)
            _check_end(splitter, scope.progress, head)
        if scope.progress.events < SOUND_EVENTS and head.has_length:
            self._attempts.record_sound(self._call)
        await self._responder.end()

    async def _relay_events(
        self,
        endpoint: Endpoint,
        scope: AttemptScope,
        head: AnswerHead,
        splitter: EventSplitter,
        held: HeldAnswer,
    ) -> None:
        """Relays events up to the end of the runner's answer."""
        if not self._responder.started:
            self._status = head.status
            await self._responder.start(
                head.status, end_to_end_headers(head.headers)
            )
        # A runner that sends bytes but no events is as silent as any.
        silent_since = self._attempts.clock.now()
        while (
            part := await self._read(scope.exchange, silent_since)
        ) is not None:
            self._attempts.record_activity(endpoint.address)
            events = _feed(splitter, part)
            resize_answer(held, splitter.pending_bytes)
            if events.data:
                scope.record_first_event()
                self._record_progress(scope, events.count)
                self._record_events(endpoint, events.count, events.last_id)
                await self._responder.write(events.data)
                # After the write: a caller that reads slowly delays it.
                silent_since = self._attempts.clock.now()

    def _record_progress(self, scope: AttemptScope, count: int) -> None:
        before = scope.progress.events
        scope.progress.events += count
        if before < SOUND_EVENTS <= scope.progress.events:
            self._attempts.record_sound(self._call)

    async def _read(
        self, exchange: Exchange, silent_since: float
    ) -> bytes | None:
        """Reads a part of the stream; returns None at its end.

        Args:
            exchange: The exchange.
            silent_since: Time of the last event, or of the response headers,
                in seconds on the router's clock.

        Raises:
            ExchangeError: The stream is broken, or its runner sends no events
                and another one is reserved to go on.
        """
        return await self._watch.wait(
            exchange.read,
            silent_since + self._silence_limit_s(),
            RetryReason.STREAM_SILENT,
        )

    def _record_events(
        self, endpoint: Endpoint, count: int, last_id: str
    ) -> None:
        now = self._attempts.clock.now()
        if self._first_event_at is None:
            self._attempts.record_origin(self._call, endpoint)
            self._first_event_at = now
            self._attempts.metrics.timing(
                "first_token", now - self._call.started_at
            )
            lateness_s = now - self._call.started_at - self._call.route.goal_s
            self._attempts.chooser.record_success(endpoint, lateness_s, now)
        else:
            gap_s = now - self._last_event_at
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._last_event_at = now
        self._event_count += count
        self._last_event_id = last_id or self._last_event_id


def _check_end(
    splitter: EventSplitter, progress: AnswerProgress, head: AnswerHead
) -> None:
    """Checks that a stream has ended and was not broken off.

    Raises:
        ExchangeError: It ends within an event, or without any and without a
            length.
    """
    rest = splitter.rest().strip()
    if rest or not (progress.events or head.has_length):
        raise ExchangeError(
            RetryReason.STREAM_TRUNCATED,
            f"the stream ends after {len(rest)} bytes of an event",
            written=True,
        )


def _feed(splitter: EventSplitter, part: bytes) -> EventBatch:
    """Adds bytes to a splitter.

    Raises:
        ExchangeError: The event that they belong to is too long.
    """
    try:
        return splitter.feed(part)
    except EventTooLongError as exc:
        raise ExchangeError(
            RetryReason.ANSWER_TOO_LONG, str(exc), written=True
        ) from exc
