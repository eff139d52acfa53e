"""Proxied requests whose answers are forwarded once they are complete."""

import functools
import math

from knapweedarch.attempt_scope import (
    AttemptScope,
    read_full_answer,
    run_attempt,
)
from knapweedarch.http_inbound import Responder
from knapweedarch.http_messages import Answer, end_to_end_headers
from knapweedarch.logs import log
from knapweedarch.models import Endpoint, RequestEnd, RetryReason
from knapweedarch.proxy_attempts import Attempts
from knapweedarch.proxy_calls import (
    ExecutionStatus,
    Failure,
    ProxyCall,
    remaining_s,
)
from knapweedarch.proxy_refusals import make_refusal
from knapweedarch.silence_watch import SilenceWatch

# Fraction of the remaining time after which an attempt may be ended for a retry
# at another endpoint.
ATTEMPT_TIME_FRACTION = 0.5


async def serve_unary(
    attempts: Attempts, call: ProxyCall, responder: Responder
) -> RequestEnd:
    """Answers a request with an endpoint's answer or a refusal.

    Raises:
        CallerGoneError: The caller disconnected before the answer was sent.
    """
    answer = await _answer(attempts, call)
    # A caller that reads slowly keeps a long answer in memory.
    with attempts.memory.keep(len(answer.body)):
        await responder.send(answer)
    log(
        "request_answered",
        request=call.options.request_id,
        route=call.route.name,
        status=answer.status,
        tried=list(call.tried),
        ms=round((attempts.clock.now() - call.started_at) * 1000),
    )
    return _request_end(answer)


def _request_end(answer: Answer) -> RequestEnd:
    """Classifies an answer; 503 promises that the request has not run."""
    if answer.status == 503:
        return RequestEnd.REFUSED
    return RequestEnd.FAILED if answer.status >= 500 else RequestEnd.ANSWERED


async def _answer(attempts: Attempts, call: ProxyCall) -> Answer:
    last_error: Answer | None = None
    while endpoint := await attempts.place(call):
        match await _attempt(attempts, call, endpoint):
            case Answer() as answer if not _should_retry(call, answer):
                return answer
            case Answer() as answer:
                last_error = answer
            case Failure(execution=ExecutionStatus.MAY_HAVE_RUN) if (
                not call.route.repeatable
            ):
                break
        if not attempts.may_repeat(call):
            break
    if last_error is not None:
        return last_error
    return make_refusal(call, attempts.clock, attempts.metrics)


def _should_retry(call: ProxyCall, answer: Answer) -> bool:
    return answer.status >= 500 and call.route.repeatable


async def _attempt(
    attempts: Attempts, call: ProxyCall, endpoint: Endpoint
) -> Answer | Failure:
    return await run_attempt(
        *(attempts, call, endpoint, remaining_s(call, attempts.clock)),
        functools.partial(_exchange, attempts, call, endpoint),
    )


async def _exchange(
    attempts: Attempts, call: ProxyCall, endpoint: Endpoint, scope: AttemptScope
) -> Answer | Failure:
    """Ends a late exchange once a retry at another endpoint may follow."""
    due = math.inf
    if call.route.repeatable and attempts.may_repeat_after_next(call):
        due = attempts.now() + ATTEMPT_TIME_FRACTION * remaining_s(
            call, attempts.clock
        )
    started_at = attempts.clock.now()
    scope.exchange = await attempts.open(call, endpoint)
    with SilenceWatch(attempts, call) as watch:
        return await watch.wait(
            functools.partial(
                *(_read_answer, attempts, call, endpoint, scope, started_at)
            ),
            *(due, RetryReason.ANSWER_TIMEOUT),
        )


async def _read_answer(
    attempts: Attempts,
    call: ProxyCall,
    endpoint: Endpoint,
    scope: AttemptScope,
    started_at: float,
) -> Answer | Failure:
    head = await scope.exchange.send_request()
    scope.progress.has_head = True
    attempts.record_head(endpoint, head)
    if attempts.dialect.was_not_run(head):
        return await scope.reject(head)
    if head.status < 500:
        scope.record_first_byte()
    answer = await read_full_answer(scope.exchange, head)
    scope.head = head
    now = attempts.clock.now()
    if head.status >= 500:
        attempts.chooser.record_failure(endpoint, now)
    else:
        lateness_s = now - started_at - call.route.goal_s
        attempts.chooser.record_success(endpoint, lateness_s, now)
        if head.has_length:
            attempts.record_sound(call)
    return Answer(
        status=answer.status,
        headers=end_to_end_headers(answer.headers),
        body=answer.body,
    )
