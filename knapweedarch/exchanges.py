"""One HTTP exchange with an endpoint.

An exchange records whether any byte of its request may have left this process.
"""

import contextlib
from collections.abc import AsyncIterator, Callable

import anyio
import attrs
import httpx

from knapweedarch.answer_memory import AnswerMemory, HeldAnswer
from knapweedarch.exceptions import AnswerGivenUpError, EndpointError
from knapweedarch.http_messages import is_final_status
from knapweedarch.models import RefusalReason, RetryReason
from knapweedarch.transports import EndpointTransport

# Returns the reason not to send, or None if the request may be sent.
CheckSend = Callable[[], RefusalReason | None]


class SendRefusedError(EndpointError):
    """The router may no longer start work; nothing was written.

    Attributes:
        refusal: Reason for the refusal.
    """

    def __init__(self, refusal: RefusalReason):
        self.refusal = refusal
        super().__init__(refusal.value, written=False)


@attrs.define
class Exchange:
    """One request and its response.

    Attributes:
        request: The request.
        response: The response; None until its headers were received.
        written: Whether any byte of the request may have left this process.
    """

    request: httpx.Request
    response: httpx.Response | None = None
    written: bool = False

    def create_error(self, reason: RetryReason, message: str) -> EndpointError:
        """Creates the error for a failure of this exchange.

        If nothing was written, the reason becomes `CONNECT_REFUSED`.
        """
        if not self.written:
            reason = RetryReason.CONNECT_REFUSED
        return EndpointError(reason.value, message, self.written)

    def header(self, name: str) -> str:
        """Returns a response header; empty if missing."""
        return self.response.headers.get(name, "") if self.response else ""


@contextlib.asynccontextmanager
async def send(
    transport: EndpointTransport,
    exchange: Exchange,
    check_send: CheckSend,
    timeout_s: float,
) -> AsyncIterator[None]:
    """Sends a request; releases or closes its connection on exit.

    Args:
        transport: The transport.
        exchange: The exchange; its response is set, its body not yet read.
        check_send: Called right before the first byte is written.
        timeout_s: Timeout for the response headers in seconds.

    Raises:
        EndpointError: No response was received, or one with an invalid status.
        SendRefusedError: `check_send` returned a reason to refuse.
    """

    def before_send() -> None:
        if refusal := check_send():
            raise SendRefusedError(refusal)
        exchange.written = True

    exchange.request.extensions["before_send"] = before_send
    try:
        with anyio.fail_after(timeout_s):
            exchange.response = await transport.handle_async_request(
                exchange.request
            )
    except TimeoutError as exc:
        raise exchange.create_error(
            RetryReason.FIRST_TOKEN_TIMEOUT, f"no response within {timeout_s} s"
        ) from exc
    except httpx.HTTPError as exc:
        raise exchange.create_error(
            RetryReason.CONNECTION_CLOSED, repr(exc)
        ) from exc
    try:
        _check_status(exchange)
        yield
    finally:
        # Closes the connection unless the body was read completely.
        await exchange.response.stream.aclose()


def _check_status(exchange: Exchange) -> None:
    """Checks the status; h11 itself accepts all of three digits from 200.

    Raises:
        EndpointError: No caller knows the status.
    """
    code = exchange.response.status_code
    if not is_final_status(code):
        raise exchange.create_error(
            RetryReason.CONNECTION_CLOSED, f"invalid status {code}"
        )


def has_framing(response: httpx.Response) -> bool:
    """Returns whether a truncated body can be detected."""
    return (
        response.status_code in (204, 304)
        or "content-length" in response.headers
        or "transfer-encoding" in response.headers
    )


async def read_body(
    exchange: Exchange, max_bytes: int, memory: AnswerMemory
) -> bytes | None:
    """Reads the complete body; returns None if it exceeds the limit.

    Args:
        exchange: The exchange.
        max_bytes: The limit.
        memory: The memory that all answers share.

    Raises:
        httpx.HTTPError: The response ended early.
        EndpointError: It was given up, as all answers took too much memory.
    """
    body = bytearray()
    with memory.hold(body.clear) as held:
        async for chunk in exchange.response.stream:
            body += chunk
            if len(body) > max_bytes:
                return None
            resize_answer(exchange, held, len(body))
        return bytes(body)


def resize_answer(exchange: Exchange, held: HeldAnswer, size: int) -> None:
    """Counts the bytes that are held of an answer.

    Raises:
        EndpointError: The answer was given up.
    """
    try:
        held.resize(size)
    except AnswerGivenUpError as exc:
        raise exchange.create_error(RetryReason.MEMORY_FULL, str(exc)) from exc
