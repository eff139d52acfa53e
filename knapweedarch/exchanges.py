"""One HTTP exchange with an endpoint.

An exchange knows whether any byte of its request may have left this process.
"""

import contextlib
from collections.abc import AsyncIterator, Callable

import anyio
import attrs
import httpx

from knapweedarch.exceptions import EndpointError
from knapweedarch.models import RefusalReason, RetryReason
from knapweedarch.transports import EndpointTransport

MaySend = Callable[[], RefusalReason | None]


class SendRefusedError(EndpointError):
    """The router may not start work any more; nothing was written.

    Attributes:
        refusal: Why.
    """

    def __init__(self, refusal: RefusalReason):
        self.refusal = refusal
        super().__init__(refusal.value, written=False)


@attrs.define
class Exchange:
    """One request and what is known about its fate."""

    request: httpx.Request
    response: httpx.Response | None = None
    written: bool = False

    def create_error(self, reason: RetryReason, message: str) -> EndpointError:
        """Builds the error for a failure of this exchange."""
        if not self.written:
            reason = RetryReason.CONNECT_REFUSED
        return EndpointError(reason.value, message, self.written)

    def header(self, name: str) -> str:
        """Returns a header of the answer."""
        return self.response.headers.get(name, "") if self.response else ""


@contextlib.asynccontextmanager
async def send(
    transport: EndpointTransport,
    exchange: Exchange,
    may_send: MaySend,
    timeout_s: float,
) -> AsyncIterator[None]:
    """Sends a request and, on leaving, gives up its connection.

    Args:
        transport: Where to send it.
        exchange: The exchange; gets the answer without its body.
        may_send: Asked right before the first byte is written.
        timeout_s: Longest wait for the head of the answer in seconds.

    Raises:
        EndpointError: No answer came.
        SendRefusedError: `may_send` refused.
    """

    def before_send() -> None:
        if refusal := may_send():
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
            RetryReason.FIRST_TOKEN_TIMEOUT, f"no answer in {timeout_s} s"
        ) from exc
    except httpx.HTTPError as exc:
        raise exchange.create_error(
            RetryReason.CONNECTION_CLOSED, repr(exc)
        ) from exc
    try:
        yield
    finally:
        # Closes the connection unless the whole body was read.
        await exchange.response.stream.aclose()


def has_framing(response: httpx.Response) -> bool:
    """Tells whether a cut-off body would be noticed."""
    return (
        response.status_code in (204, 304)
        or "content-length" in response.headers
        or "transfer-encoding" in response.headers
    )


async def read_body(exchange: Exchange, max_bytes: int) -> bytes | None:
    """Reads a whole body; returns None if it is longer than the limit."""
    body = bytearray()
    async for chunk in exchange.response.stream:
        body += chunk
        if len(body) > max_bytes:
            return None
    return bytes(body)
