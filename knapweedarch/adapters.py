"""Calls to endpoints over HTTP.

The connection is closed after every exchange that is cancelled, times out, is
incomplete or gets the response to another request, so that no later exchange
can read leftover bytes. Calls that must run at most once use a new connection:
the endpoint may close a pooled one while the request is sent, which would leave
the outcome unknown.
"""

import contextlib
import json
from collections.abc import AsyncIterator, Mapping

import anyio
import attrs
import httpx

from knapweedarch.answer_memory import AnswerMemory, HeldAnswer
from knapweedarch.chat_streams import ChatStream
from knapweedarch.exceptions import EndpointError
from knapweedarch.exchanges import (
    CheckSend,
    Exchange,
    has_framing,
    read_body,
    resize_answer,
    send,
)
from knapweedarch.feeds import FeedItem, parse_feed_event
from knapweedarch.models import (
    Attempt,
    CacheEvent,
    CacheSnapshot,
    Endpoint,
    RetryReason,
)
from knapweedarch.orders import ORDER_TIMEOUT_S
from knapweedarch.outbound_connections import Connect, connect_directly
from knapweedarch.outbound_pool import log_given_up
from knapweedarch.streams import (
    PARSE_ERRORS,
    SseDecoder,
    StreamProtocolError,
)
from knapweedarch.timers import Clock, ManualClock
from knapweedarch.transports import CONNECT_TIMEOUT_S, EndpointTransport

FEED_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 1024 * 1024
MAX_ERROR_BYTES = 16 * 1024


@attrs.frozen
class ServiceResponse:
    """Complete response of a plain service.

    Attributes:
        code: HTTP status code.
        content_type: Media type.
        body: Body; empty if it was too large.
        too_large: Whether the body exceeded `MAX_RESPONSE_BYTES`.
    """

    code: int
    content_type: str
    body: bytes
    too_large: bool = False


@attrs.frozen
class LoadWeights:
    """Order to load a version of a model's weights."""

    model: str
    version: str


@attrs.frozen
class ChangeRole:
    """Order to change the runner's role."""

    role: str


Order = LoadWeights | ChangeRole


class Adapter:
    """Calls endpoints; create it with `create_adapter`.

    Attributes:
        memory: The memory that all answers share until they are passed on.
    """

    def __init__(
        self,
        credential: str,
        clock: Clock | ManualClock,
        incarnation: str,
        connect: Connect,
    ):
        self._credential = credential
        self._clock = clock
        self._incarnation = incarnation
        self.memory = AnswerMemory(on_give_up=log_given_up)
        self._transport = EndpointTransport(connect)

    async def close(self) -> None:
        """Closes every connection."""
        await self._transport.aclose()

    async def close_idle(self) -> None:
        """Closes the connections without an exchange."""
        await self._transport.close_idle()

    @contextlib.asynccontextmanager
    async def open_chat(
        self,
        attempt: Attempt,
        body: bytes,
        request_id: str,
        attempt_id: str,
        check_send: CheckSend,
        first_event_s: float,
    ) -> AsyncIterator[ChatStream]:
        """Sends a chat request to a runner and opens the response stream.

        Args:
            attempt: The attempt.
            body: JSON body for the runner.
            request_id: Request id that the response must carry.
            attempt_id: Attempt id that the response must carry.
            check_send: Called right before the first byte is written.
            first_event_s: Timeout for the first event in seconds, counted from
                this call.

        Raises:
            EndpointError: The runner did not respond with a stream for this
                attempt.
            SendRefusedError: `check_send` returned a reason to refuse.
        """
        ticket, endpoint = attempt.ticket, attempt.endpoint
        headers = {
            "content-type": "application/json",
            "x-request-id": request_id,
            "x-attempt-id": attempt_id,
            "x-cache-salt": ticket.customer,
            "x-priority": str(int(ticket.priority)),
            "x-weights-version": endpoint.weights_version,
            "x-incarnation": endpoint.incarnation,
        }
        started_at = self._clock.now()
        exchange = self._exchange(
            "POST", endpoint.url + "/v1/chat/completions", headers, body
        )
        async with send(self._transport, exchange, check_send, first_event_s):
            await self._check_chat_response(exchange, request_id, attempt_id)
            elapsed_s = self._clock.now() - started_at
            decoder = SseDecoder()
            with self.memory.hold(decoder.clear) as held:
                left_s = max(0.0, first_event_s - elapsed_s)
                stream = ChatStream(exchange, left_s, decoder, held)
                yield stream
                await stream.drain_body()

    async def call_service(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
        check_send: CheckSend,
        own_connection: bool = False,
        leave: anyio.CancelScope | None = None,
    ) -> ServiceResponse:
        """Calls a plain service and reads the complete response.

        Args:
            endpoint: The service.
            method: HTTP method.
            path: Path with query, already percent-encoded.
            headers: Request headers; if they include `x-request-id`, the
                response must repeat its value.
            body: Request body.
            timeout_s: Timeout for the complete response in seconds.
            check_send: Called right before the first byte is written.
            own_connection: Whether to use a new connection, not a pooled one.
            leave: Its cancellation ends the call before the timeout.

        Raises:
            EndpointError: No complete response to this request was received.
            SendRefusedError: `check_send` returned a reason to refuse.
        """
        exchange = self._exchange(method, endpoint.url + path, headers, body)
        exchange.request.extensions["own_connection"] = own_connection
        try:
            with anyio.fail_after(timeout_s), leave or anyio.CancelScope():
                async with send(
                    self._transport, exchange, check_send, timeout_s
                ):
                    return await self._read_response(exchange)
        except TimeoutError as exc:
            raise exchange.create_error(
                RetryReason.FIRST_TOKEN_TIMEOUT,
                f"no complete response within {timeout_s} s",
            ) from exc
        raise exchange.create_error(
            RetryReason.FIRST_TOKEN_TIMEOUT,
            "no complete response yet, and another endpoint is free",
        )

    async def follow_feed(self, endpoint: Endpoint) -> AsyncIterator[FeedItem]:
        """Yields load reports, cache snapshots and events until the feed ends.

        The first cache item is a snapshot. If event numbers are missing, the
        event after the gap is still yielded before the feed fails; a new feed
        starts with a snapshot.

        Raises:
            EndpointError: The feed failed, timed out, is malformed or has a
                gap.
        """
        headers = {"x-router": self._incarnation}
        exchange = self._exchange("GET", endpoint.url + "/feed", headers, b"")
        exchange.request.extensions["own_connection"] = True
        async with send(
            self._transport, exchange, lambda: None, FEED_TIMEOUT_S
        ):
            if exchange.response.status_code != 200:
                raise exchange.create_error(
                    RetryReason.ENDPOINT_REFUSED,
                    f"status {exchange.response.status_code}",
                )
            last_number = None
            async for item in self._feed_items(exchange, endpoint):
                if isinstance(item, CacheEvent | CacheSnapshot):
                    expected, last_number = last_number, item.number
                    yield item
                    if expected is not None and item.number != expected + 1:
                        raise exchange.create_error(
                            RetryReason.STREAM_GAP,
                            f"event {item.number} follows event {expected}",
                        )
                else:
                    yield item

    async def cancel(
        self, endpoint: Endpoint, request_id: str, attempt_id: str
    ) -> None:
        """Cancels an attempt at a runner.

        Raises:
            EndpointError: The runner did not confirm the cancellation.
        """
        body = {"request_id": request_id, "attempt_id": attempt_id}
        await self._post(endpoint, "/cancel", {}, body, CANCEL_TIMEOUT_S)

    async def order(
        self, endpoint: Endpoint, order: Order, fencing_number: int
    ) -> None:
        """Sends an order to a runner.

        Raises:
            EndpointError: The runner refused the order or did not confirm it.
        """
        match order:
            case LoadWeights(model=model, version=version):
                body = {"order": "load", "model": model, "version": version}
            case ChangeRole(role=role):
                body = {"order": "role", "role": role}
        headers = {"x-fencing-number": str(fencing_number)}
        await self._post(endpoint, "/orders", headers, body, ORDER_TIMEOUT_S)

    async def _post(
        self,
        endpoint: Endpoint,
        path: str,
        headers,
        body: dict,
        timeout_s: float,
    ) -> None:
        response = await self.call_service(
            endpoint,
            "POST",
            path,
            {**headers, "content-type": "application/json"},
            json.dumps(body).encode(),
            timeout_s,
            lambda: None,
            own_connection=True,
        )
        if response.code != 200:
            raise EndpointError(
                RetryReason.ENDPOINT_REFUSED.value, f"status {response.code}"
            )

    def _exchange(
        self, method: str, url: str, headers: Mapping[str, str], body: bytes
    ) -> Exchange:
        fields = {
            **headers,
            "authorization": f"Bearer {self._credential}",
            "accept-encoding": "identity",
        }
        return Exchange(
            httpx.Request(method, url, headers=fields, content=body or None)
        )

    async def _check_chat_response(
        self, exchange: Exchange, request_id: str, attempt_id: str
    ) -> None:
        """Checks that the response is a stream for this attempt."""
        code = exchange.response.status_code
        response_ids = (
            exchange.header("x-request-id"),
            exchange.header("x-attempt-id"),
        )
        if code == 200 and response_ids == (request_id, attempt_id):
            return
        if response_ids != (request_id, attempt_id) and (
            code == 200 or any(response_ids)
        ):
            raise exchange.create_error(
                RetryReason.CROSSED_ANSWER,
                f"response carries the ids {response_ids}",
            )
        reason = RetryReason.ENDPOINT_ERROR
        # Only a 4xx response with this attempt's ids proves that it did not
        # run.
        if 400 <= code < 500 and any(response_ids):
            reason = await self._read_refusal_reason(exchange)
        raise exchange.create_error(reason, f"status {code}")

    async def _read_refusal_reason(self, exchange: Exchange) -> RetryReason:
        reason = ""
        with contextlib.suppress(*PARSE_ERRORS, httpx.HTTPError, TimeoutError):
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                body = await read_body(exchange, MAX_ERROR_BYTES, self.memory)
            reason = json.loads(body or b"{}")["error"]["reason"]
        if reason in (RetryReason.WRONG_INCARNATION, RetryReason.WRONG_VERSION):
            return RetryReason(reason)
        return RetryReason.ENDPOINT_REFUSED

    async def _read_response(self, exchange: Exchange) -> ServiceResponse:
        sent_id = exchange.request.headers.get("x-request-id", "")
        response_id = exchange.header("x-request-id")
        if sent_id and response_id != sent_id:
            raise exchange.create_error(
                RetryReason.CROSSED_ANSWER,
                f"response carries the request id {response_id!r}",
            )
        if not has_framing(exchange.response):
            raise exchange.create_error(
                RetryReason.STREAM_TRUNCATED,
                "response has neither a length nor chunked encoding",
            )
        try:
            body = await read_body(exchange, MAX_RESPONSE_BYTES, self.memory)
        except httpx.HTTPError as exc:
            raise exchange.create_error(
                RetryReason.CONNECTION_CLOSED, repr(exc)
            ) from exc
        return ServiceResponse(
            exchange.response.status_code,
            exchange.header("content-type"),
            body or b"",
            too_large=body is None,
        )

    async def _feed_items(
        self, exchange: Exchange, endpoint: Endpoint
    ) -> AsyncIterator[FeedItem]:
        decoder = SseDecoder()
        with self.memory.hold(decoder.clear) as held:
            async for items in self._feed_batches(
                exchange, endpoint, decoder, held
            ):
                for item in items:
                    yield item

    async def _feed_batches(
        self,
        exchange: Exchange,
        endpoint: Endpoint,
        decoder: SseDecoder,
        held: HeldAnswer,
    ) -> AsyncIterator[list[FeedItem]]:
        chunks = aiter(exchange.response.stream)
        while True:
            try:
                with anyio.fail_after(FEED_TIMEOUT_S):
                    data = await anext(chunks, None)
                if data is None:
                    return
                items = [
                    parse_feed_event(json.loads(event), endpoint)
                    for event in decoder.feed(data)
                ]
                resize_answer(exchange, held, decoder.pending_bytes)
            except TimeoutError as exc:
                raise exchange.create_error(
                    RetryReason.STREAM_SILENT,
                    f"no feed data for {FEED_TIMEOUT_S} s",
                ) from exc
            except httpx.HTTPError as exc:
                raise exchange.create_error(
                    RetryReason.CONNECTION_CLOSED, repr(exc)
                ) from exc
            except (*PARSE_ERRORS, StreamProtocolError) as exc:
                raise exchange.create_error(
                    RetryReason.ENDPOINT_ERROR, f"malformed feed event: {exc!r}"
                ) from exc
            yield items


def create_adapter(
    credential: str,
    clock: Clock | ManualClock,
    incarnation: str = "",
    connect: Connect = connect_directly,
) -> Adapter:
    """Creates an adapter.

    Args:
        credential: The shared endpoint credential.
        clock: The router's clock.
        incarnation: Incarnation of the router. Runners need it to report the
            number of the router's last attempt that a load report includes.
        connect: Opens connections to endpoints.
    """
    return Adapter(credential, clock, incarnation, connect)
