"""Connections to endpoints: httpcore's pools, one per endpoint.

This transport adds two guarantees. The final check before a send runs after
the connection is open and before the first byte is written. A connection
returns to its pool only after a complete response; in every other case it is
closed, so that no later exchange can read leftover bytes.
"""

import ssl
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable, Iterable

import anyio
import anyio.abc
import attrs
import httpcore
import httpx

from knapweedarch.outbound_connections import Connect, has_no_input

CONNECT_TIMEOUT_S = 1.0
# Shorter than the 5 s after which hypercorn and most servers close idle
# connections.
KEEP_ALIVE_EXPIRY_S = 2.0
# Per pool.
MAX_CONNECTIONS = 512
MAX_POOLS = 1024
# Trace event of httpcore before it writes the request headers.
SEND_STARTED = "http11.send_request_headers.started"

CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
EXCHANGE_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
)

# Endpoints have plain HTTP URLs. A context without certificates rejects HTTPS
# and saves the 35 ms that httpx takes to load the default certificates.
_TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


class _EndpointStream(httpcore.AsyncNetworkStream):
    """A connection to an endpoint; exchanges apply their own timeouts."""

    def __init__(self, stream: anyio.abc.ByteStream):
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise httpcore.ReadError(repr(exc)) from exc

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not buffer:
            return
        try:
            await self._stream.send(buffer)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as exc:
            raise httpcore.WriteError(repr(exc)) from exc

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> object:
        if info == "is_readable":
            return not has_no_input(self._stream)
        return None


class _EndpointBackend(httpcore.AsyncNetworkBackend):
    """Opens the connections of the pools."""

    def __init__(self, connect: Connect):
        self._connect = connect

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> _EndpointStream:
        address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        try:
            with anyio.fail_after(timeout):
                return _EndpointStream(await self._connect(address))
        except TimeoutError as exc:
            raise httpcore.ConnectTimeout(repr(exc)) from exc
        except OSError as exc:
            raise httpcore.ConnectError(repr(exc)) from exc


def _translate(exc: Exception) -> httpx.TransportError:
    if isinstance(exc, CONNECT_ERRORS):
        return httpx.ConnectError(repr(exc))
    return httpx.ReadError(repr(exc))


@attrs.define
class ResponseBody(httpx.AsyncByteStream):
    """Response body, read in chunks.

    Attributes:
        complete: Whether the body was read to its end.
    """

    _response: httpcore.Response
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
        except EXCHANGE_ERRORS as exc:
            raise _translate(exc) from exc

    async def aclose(self) -> None:
        """Returns the connection to the pool, or closes it if incomplete."""
        with anyio.CancelScope(shield=True):
            if not self.complete:
                await self._response.extensions["network_stream"].aclose()
            await self._response.aclose()


class EndpointTransport(httpx.AsyncBaseTransport):
    """Connection pools, one per endpoint.

    A request has the extension `before_send`, a function that is called once
    the connection is open and before the first byte is written. With the
    extension `own_connection` it uses a new connection that is not reused.

    Args:
        connect: Opens a connection to an address.
    """

    def __init__(self, connect: Connect):
        self._backend = _EndpointBackend(connect)
        self._pools: OrderedDict[str, httpcore.AsyncConnectionPool] = (
            OrderedDict()
        )
        self._unpooled = self._create_pool(max_idle_connections=0)

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
        timeouts = {"connect": CONNECT_TIMEOUT_S, "pool": CONNECT_TIMEOUT_S}
        try:
            response = await pool.handle_async_request(
                httpcore.Request(
                    method=request.method,
                    url=_core_url(request.url),
                    headers=request.headers.raw,
                    content=request.stream,
                    extensions={"trace": trace, "timeout": timeouts},
                )
            )
        except EXCHANGE_ERRORS as exc:
            raise _translate(exc) from exc
        return httpx.Response(
            response.status,
            headers=response.headers,
            stream=ResponseBody(response, aiter(response.stream)),
        )

    async def _pool(self, origin: str) -> httpcore.AsyncConnectionPool:
        """Returns the pool of an endpoint.

        Above `MAX_POOLS`, the least recently used pool is closed.
        """
        pool = self._pools.get(origin)
        if pool is None:
            pool = self._pools[origin] = self._create_pool(MAX_CONNECTIONS)
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

    async def close_idle(self) -> None:
        """Closes the connections without an exchange."""
        for pool in list(self._pools.values()):
            for conn in pool.connections:
                # Each close lets other tasks take a connection.
                if conn.is_idle():
                    await conn.aclose()

    def _create_pool(
        self, max_idle_connections: int
    ) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            ssl_context=_TLS_CONTEXT,
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=max_idle_connections,
            keepalive_expiry=KEEP_ALIVE_EXPIRY_S,
            network_backend=self._backend,
        )


def _core_url(url: httpx.URL) -> httpcore.URL:
    return httpcore.URL(
        scheme=url.raw_scheme,
        host=url.raw_host,
        port=url.port,
        target=url.raw_path,
    )
