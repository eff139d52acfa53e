"""One attempt of a proxied request, from its send to its end."""

from collections.abc import Awaitable, Callable

import anyio

from knapweedarch.answer_memory import HeldAnswer
from knapweedarch.exceptions import AnswerGivenUpError, ExchangeError
from knapweedarch.http_messages import Answer
from knapweedarch.http_outbound import AnswerHead, Exchange
from knapweedarch.models import Endpoint, RetryReason
from knapweedarch.prompt_admission import Waiting
from knapweedarch.proxy_attempts import Attempts
from knapweedarch.proxy_calls import AnswerProgress, Failure, ProxyCall
from knapweedarch.speed_samples import Observation

# Longest body that is kept until it is complete. An endpoint in trouble may
# send without end.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class AttemptScope:
    """Counts an attempt in its endpoint's load and releases its connection.

    Attributes:
        exchange: The exchange; None until it is open.
        head: Head of an answer that was read to its end, so that the
            connection may be reused; None closes the connection.
        progress: How far the answer has come.
    """

    def __init__(self, attempts: Attempts, call: ProxyCall, endpoint: Endpoint):
        self._attempts = attempts
        self._call = call
        self._endpoint = endpoint
        self.exchange: Exchange | None = None
        self.head: AnswerHead | None = None
        self.progress = AnswerProgress()
        self._unread_tokens = 0
        self._tokens_ahead = 0
        self._started_at = 0.0
        self._sent_at = 0.0
        self._waiting: Waiting | None = None
        self._observation: Observation | None = None

    def record_first_event(self) -> None:
        """Records that the runner has prefilled the prompt."""
        self.record_first_byte()
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

    def record_first_byte(self) -> None:
        """Records that the endpoint has begun to answer the request."""
        observation, self._observation = self._observation, None
        if observation is not None:
            self._attempts.chooser.end_observation(
                observation, self._attempts.now()
            )

    def _drop_observation(self) -> None:
        observation, self._observation = self._observation, None
        if observation is not None:
            self._attempts.chooser.drop_observation(observation)

    def _end_waiting(self, was_read: bool) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            self._attempts.admission.end(
                waiting, self._attempts.now(), was_read
            )

    def record_prompt_read(self) -> None:
        """Stops counting the prompt as unread."""
        self._attempts.chooser.record_prompt_read(
            self._endpoint, self._unread_tokens
        )
        self._unread_tokens = 0

    async def reject(self, head: AnswerHead) -> Failure:
        """Reads a refusal to its end and records that nothing was run.

        Raises:
            ExchangeError: The refusal is incomplete or too long.
        """
        await read_full_answer(self.exchange, head)
        names_request = self._attempts.dialect.names_request(head)
        self.exchange.mark_refused(head, names_request=names_request)
        self.head = head
        return self._attempts.record_rejection(self._call, self._endpoint, head)

    async def __aenter__(self) -> "AttemptScope":
        attempts, call = self._attempts, self._call
        self._started_at = self._sent_at = attempts.now()
        self._tokens_ahead = attempts.chooser.tokens_ahead(self._endpoint)
        self._unread_tokens = attempts.unread_tokens(call, self._endpoint)
        if call.options.prompt is not None:
            self._waiting = attempts.admission.start(
                *(self._endpoint, call.options.prompt),
                *(self._unread_tokens, attempts.now()),
            )
        self._observation = attempts.chooser.start_observation(
            *(self._endpoint, call.options.prompt, call.route.name),
            *(self._unread_tokens, attempts.now()),
        )
        if attempts.fair is not None:
            attempts.fair.start(call, self._unread_tokens)
        attempts.chooser.record_sent(
            *(self._endpoint, call.options.prompt, self._unread_tokens),
            attempts.now(),
        )
        return self

    async def __aexit__(self, *exc_info) -> None:
        self._end_waiting(was_read=False)
        self._drop_observation()
        self.record_prompt_read()
        self._attempts.chooser.record_ended(
            self._endpoint, self._call.options.prompt
        )
        if self._attempts.fair is not None:
            self._attempts.fair.end(self._call, self._sent_at)
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
                return attempts.record_broken_exchange(
                    *(call, endpoint, exc, scope.progress)
                )
        timeout = ExchangeError(
            *(
                RetryReason.ANSWER_TIMEOUT,
                f"no complete answer within {limit_s:.3f} s",
            ),
            scope.exchange is not None and scope.exchange.written,
        )
        return attempts.record_broken_exchange(
            *(call, endpoint, timeout, scope.progress)
        )


async def read_full_answer(
    exchange: Exchange, head: AnswerHead, max_bytes: int = MAX_ANSWER_BYTES
) -> Answer:
    """Reads the body of an answer to its end.

    Args:
        exchange: The exchange.
        head: Status and headers of the answer.
        max_bytes: Longest body.

    Raises:
        ExchangeError: The body is incomplete or longer than `max_bytes`, or
            was given up, as all answers took too much memory.
    """
    body = bytearray()
    with exchange.memory.hold(body.clear) as held:
        while (part := await exchange.read()) is not None:
            body += part
            # Only now: an answer to HEAD names a length and has no body.
            _check_length(max(len(body), head.body_bytes), max_bytes)
            resize_answer(held, len(body))
        return Answer(
            status=head.status, headers=head.headers, body=bytes(body)
        )


def _check_length(length: int, max_bytes: int) -> None:
    if length > max_bytes:
        raise ExchangeError(
            RetryReason.ANSWER_TOO_LONG,
            f"body of over {max_bytes} bytes",
            written=True,
        )


def resize_answer(held: HeldAnswer, size: int) -> None:
    """Counts the bytes that are held of an answer.

    Raises:
        ExchangeError: The answer was given up.
    """
    try:
        held.resize(size)
    except AnswerGivenUpError as exc:
        raise ExchangeError(
            RetryReason.MEMORY_FULL, str(exc), written=True
        ) from exc
