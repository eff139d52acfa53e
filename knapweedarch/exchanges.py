"""One HTTP exchange with an endpoint.

An exchange knows whether any byte of its request may have left this process.
It returns its connection to the pool only after a complete answer; in every
other case it closes the connection, so that no later exchange can read the
rest of this one.
"""

import contextlib
import importlib.util
import ssl
import sys
from collections.abc import AsyncIterator, Callable

import anyio
import attrs
import httpx

from knapweedarch.exceptions import EndpointError
from knapweedarch.models import RefusalReason, RetryReason

CONNECT_S = 1.0
# Below the 5 s after which hypercorn and most servers close idle connections.
KEEP_ALIVE_S = 2.0
MAX_CONNECTIONS = 512

# Endpoints have plain HTTP URLs; a context without certificates refuses all
# others and saves the 35 ms that httpx takes to load the usual certificates.
_TLS = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
# httpcore tries to import sniffio several times per request, and Python does
# not remember that an import failed: each try searches the whole path, which
# took 2 ms of CPU per request. This entry makes the import fail at once.
if importlib.util.find_spec("sniffio") is None:
    sys.modules["sniffio"] = None

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
    complete: bool = False

    def failed(self, reason: RetryReason, message: str) -> EndpointError:
        """Builds the error for a failure of this exchange."""
        if not self.written:
            reason = RetryReason.CONNECT_REFUSED
        return EndpointError(reason.value, message, self.written)

    def header(self, name: str) -> str:
        """Returns a header of the answer."""
        return self.response.headers.get(name, "") if self.response else ""


@contextlib.asynccontextmanager
async def send(
    transport: httpx.AsyncHTTPTransport,
    exchange: Exchange,
    may_send: MaySend,
    limit_s: float,
) -> AsyncIterator[None]:
    """Sends a request; on leaving, keeps the connection only if clean."""

    async def trace(name: str, info: dict) -> None:
        if name == "http11.send_request_headers.started":
            if refusal := may_send():
                raise SendRefusedError(refusal)
            exchange.written = True

    exchange.request.extensions = {
        "trace": trace,
        "timeout": {
            "connect": min(CONNECT_S, limit_s),
            "pool": min(CONNECT_S, limit_s),
            "write": limit_s,
            "read": None,
        },
    }
    try:
        with anyio.fail_after(limit_s):
            exchange.response = await transport.handle_async_request(
                exchange.request
            )
    except TimeoutError as exc:
        raise exchange.failed(
            RetryReason.FIRST_TOKEN_TIMEOUT, f"no answer in {limit_s} s"
        ) from exc
    except httpx.HTTPError as exc:
        raise exchange.failed(RetryReason.CONNECTION_CLOSED, repr(exc)) from exc
    try:
        yield
    finally:
        with anyio.CancelScope(shield=True):
            await close(exchange)


def create_transport(
    keep_alive: int = MAX_CONNECTIONS,
) -> httpx.AsyncHTTPTransport:
    """Creates a transport that keeps up to `keep_alive` idle connections."""
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=keep_alive,
        keepalive_expiry=KEEP_ALIVE_S,
    )
    return httpx.AsyncHTTPTransport(verify=_TLS, trust_env=False, limits=limits)


def framed(response: httpx.Response) -> bool:
    """Tells whether a cut-off body would be noticed."""
    return (
        response.status_code in (204, 304)
        or "content-length" in response.headers
        or "transfer-encoding" in response.headers
    )


async def read_body(exchange: Exchange, limit: int) -> bytes | None:
    """Reads a whole body; returns None if it is longer than the limit."""
    body = bytearray()
    async for part in exchange.response.stream:
        body += part
        if len(body) > limit:
            return None
    exchange.complete = True
    return bytes(body)


async def close(exchange: Exchange) -> None:
    """Returns the connection to its pool, or closes it if not complete."""
    if not exchange.complete:
        await exchange.response.extensions["network_stream"].aclose()
    await exchange.response.stream.aclose()
