"""Connections to endpoints: httpx's own transport, one pool per endpoint.

This transport adds two guarantees. The final check before a send runs after
the connection is open and before the first byte is written. A connection
returns to its pool only after a complete response; in every other case it is
closed, so that no later exchange can read leftover bytes.
"""

import ssl
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable

import anyio
import attrs
import httpx

CONNECT_TIMEOUT_S = 1.0
# Shorter than the 5 s after which hypercorn and most servers close idle
# connections.
KEEP_ALIVE_EXPIRY_S = 2.0
# Per pool.
MAX_CONNECTIONS = 512
MAX_POOLS = 1024
# Trace event of httpcore before it writes the request headers.
SEND_STARTED = "http11.send_request_headers.started"

# Endpoints have plain HTTP URLs. A context without certificates rejects HTTPS
# and saves the 35 ms that httpx takes to load the default certificates.
_TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


@attrs.define
class ResponseBody(httpx.AsyncByteStream):
    """Response body, read in chunks.

    Attributes:
        complete: Whether the body was read to its end.
    """

    _response: httpx.Response
    _chunks: AsyncIterator[bytes]
    complete: bool = False

    def __aiter__(self) -> "ResponseBody":
        return self

    async def __anext__(self) -> bytes:
        try:
            return await anext(self._chunks)
        except StopAsyncIteration:
            self.complete = True
            raise

    async def aclose(self) -> None:
        """Returns the connection to the pool, or closes it if incomplete."""
        with anyio.CancelScope(shield=True):
            if not self.complete:
                await self._response.extensions["network_stream"].aclose()
            await self._response.stream.aclose()


class EndpointTransport(httpx.AsyncBaseTransport):
    """Connection pools, one per endpoint.

    A request has the extension `before_send`, a function that is called once
    the connection is open and before the first byte is written. With the
    extension `own_connection` it uses a new connection that is not reused.
    """

    def __init__(self):
        self._pools: OrderedDict[str, httpx.AsyncHTTPTransport] = OrderedDict()
        self._unpooled = _create_pool(max_idle_connections=0)

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Sends a request and reads the response headers.

        Raises:
            httpx.ConnectError: The connection failed; nothing was written.
            httpx.TransportError: The exchange failed.
        """
        before_send: Callable[[], None] = request.extensions["before_send"]

        async def trace(name: str, info: dict) -> None:
            if name == SEND_STARTED:
                before_send()

        pool = self._unpooled
        if not request.extensions.get("own_connection"):
            pool = await self._pool(f"{request.url.host}:{request.url.port}")
        request.extensions = {
            "trace": trace,
            "timeout": {
                "connect": CONNECT_TIMEOUT_S,
                "pool": CONNECT_TIMEOUT_S,
            },
        }
        response = await pool.handle_async_request(request)
        return httpx.Response(
            response.status_code,
            headers=response.headers,
            stream=ResponseBody(response, aiter(response.stream)),
        )

    async def _pool(self, origin: str) -> httpx.AsyncHTTPTransport:
        """Returns the pool of an endpoint.

        Above `MAX_POOLS`, the least recently used pool is closed.
        """
        pool = self._pools.get(origin)
        if pool is None:
            pool = self._pools[origin] = _create_pool(MAX_CONNECTIONS)
        self._pools.move_to_end(origin)
        while len(self._pools) > MAX_POOLS:
            _, evicted = self._pools.popitem(last=False)
            await evicted.aclose()
        return pool

    async def aclose(self) -> None:
        """Closes every connection."""
        for pool in (*self._pools.values(), self._unpooled):
            await pool.aclose()
        self._pools.clear()


def _create_pool(max_idle_connections: int) -> httpx.AsyncHTTPTransport:
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=max_idle_connections,
        keepalive_expiry=KEEP_ALIVE_EXPIRY_S,
    )
    return httpx.AsyncHTTPTransport(
        verify=_TLS_CONTEXT, trust_env=False, limits=limits
    )
