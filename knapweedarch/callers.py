"""HTTP exchange with a caller: size limits, write timeouts and errors."""

import json
from collections.abc import Awaitable, Callable, MutableMapping

import anyio
import attrs

from knapweedarch.exceptions import KnapweedarchError
from knapweedarch.models import Outcome, RefusalReason

# A response or stream is ended when a write to its caller takes longer than
# this. Long enough for a mobile link to change cells, short enough to free the
# runner's slot.
WRITE_TIMEOUT_S = 10.0
# Time limit for reading a request body, so that a slow sender cannot occupy
# memory indefinitely.
BODY_TIMEOUT_S = 30.0
# Limit for the request bodies in memory at one time, of waiting and running
# requests. A router has 256 MB for its own work; parsed bodies take about as
# much again.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
# Part of a rejected body is read and discarded, because closing a connection
# with unread data resets it, and the caller may then lose the error response.
MAX_DISCARD_BYTES = 8 * 1024 * 1024
DISCARD_TIMEOUT_S = 1.0

Message = MutableMapping[str, object]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

_STATUS_CODES = {
    RefusalReason.BAD_BODY: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.UNKNOWN_MODEL: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_PATH: 404,
    RefusalReason.NOT_ALLOWED: 403,
    RefusalReason.OVER_LIMIT: 429,
    RefusalReason.QUEUE_FULL: 503,
    RefusalReason.DEADLINE: 503,
    RefusalReason.NO_CAPACITY: 503,
    RefusalReason.OVERLOADED: 503,
    RefusalReason.PART_HELD: 503,
    RefusalReason.ENDPOINTS_LIMITED: 503,
    RefusalReason.NO_RESUME: 502,
    RefusalReason.RETRIES_EXHAUSTED: 502,
    RefusalReason.LEASE_EXPIRED: 503,
    RefusalReason.STOPPING: 503,
    RefusalReason.KEY_REQUIRED: 400,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.KEY_EXPIRED: 409,
    RefusalReason.IN_PROGRESS: 409,
    RefusalReason.OUTCOME_UNKNOWN: 502,
    RefusalReason.ENDPOINT_FAILED: 502,
    RefusalReason.ANSWER_TOO_LARGE: 502,
    RefusalReason.CONTROL_UNAVAILABLE: 503,
    RefusalReason.SLOW_CALLER: 408,
    RefusalReason.BAD_CREDENTIAL: 401,
    RefusalReason.TOO_MANY_RECORDS: 503,
}
JSON_TYPE = "application/json"


class CallerGoneError(KnapweedarchError):
    """The caller of the ASGI gateway closed its connection.

    The proxy's HTTP/1.1 server raises `exceptions.CallerGoneError` instead.
    """


class SlowCallerError(KnapweedarchError):
    """A write to the caller exceeded `WRITE_TIMEOUT_S`."""


class RefusedError(KnapweedarchError):
    """The request is answered with an error response or an error event.

    Attributes:
        reason: Machine-readable reason.
        message: Human-readable message.
        outcome: Whether the request was run, or whether that is unknown.
        retry_after_s: Delay before the caller should resend the request, in
            seconds.
    """

    def __init__(
        self,
        reason: RefusalReason,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float = 1.0,
    ):
        self.reason = reason
        self.message = message
        self.outcome = outcome
        self.retry_after_s = retry_after_s
        super().__init__(message)

    @property
    def code(self) -> int:
        """HTTP status code."""
        return _STATUS_CODES[self.reason]

    def body(self) -> bytes:
        """Returns the JSON body of the error response."""
        return json.dumps(
            {
                "error": {
                    "reason": self.reason.value,
                    "message": self.message,
                    "outcome": self.outcome.value,
                }
            }
        ).encode()


@attrs.define
class BodyBudget:
    """Limits the total size of the request bodies in memory.

    Attributes:
        limit_bytes: Maximum total in bytes.
        reserved_bytes: Current total in bytes.
    """

    limit_bytes: int = MAX_BUFFERED_BYTES
    reserved_bytes: int = 0

    def reserve(self, size: int) -> None:
        """Reserves memory for a part of a body.

        Raises:
            RefusedError: The limit would be exceeded.
        """
        if self.reserved_bytes + size > self.limit_bytes:
            raise RefusedError(
                RefusalReason.QUEUE_FULL,
                "the memory limit for request bodies is reached",
            )
        self.reserved_bytes += size


@attrs.define
class HttpCall:
    """One HTTP request of a caller and its response.

    Methods that send raise `SlowCallerError` if the caller does not take the
    data within `WRITE_TIMEOUT_S`; only `write` has no timeout.

    Attributes:
        method: HTTP method.
        path: Percent-decoded path.
        query: Query string as sent.
        headers: Headers by lower-case name; the last one of a repeated name.
        receive: ASGI function that returns the next message of the caller.
        send: ASGI function that sends a message to the caller.
        budget: Memory limit shared by all calls of the router.
        reserved_bytes: Bytes that this call has reserved in the budget.
        started: Whether sending the response head has begun.
        is_whole: Whether the body was read to its end.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    receive: Receive
    send: Send
    budget: BodyBudget = attrs.field(factory=BodyBudget)
    reserved_bytes: int = 0
    started: bool = False
    is_whole: bool = False

    def header(self, name: str) -> str:
        """Returns the value of a header, or an empty string."""
        return self.headers.get(name, "")

    async def read_body(self, limit: int) -> bytes:
        """Reads the complete request body.

        Raises:
            RefusedError: The body is longer than `limit` bytes, takes longer
                than `BODY_TIMEOUT_S`, or exceeds the memory limit.
            CallerGoneError: The caller closed the connection.
        """
        declared = self.header("content-length")
        if declared.isdecimal() and int(declared) > limit:
            await self._discard_and_refuse(limit)
        with anyio.move_on_after(BODY_TIMEOUT_S):
            return await self._read_chunks(limit)
        raise RefusedError(
            RefusalReason.SLOW_CALLER,
            f"the body did not arrive within {BODY_TIMEOUT_S} s",
        )

    async def _read_chunks(self, limit: int) -> bytes:
        parts: list[bytes] = []
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError("the caller closed the connection")
            part = message.get("body", b"")
            self.budget.reserve(len(part))
            self.reserved_bytes += len(part)
            if self.reserved_bytes > limit:
                await self._discard_and_refuse(limit)
            parts.append(part)
            if not message.get("more_body"):
                self.is_whole = True
                return b"".join(parts)

    def release(self) -> None:
        """Releases the memory reserved for the body."""
        self.budget.reserved_bytes -= self.reserved_bytes
        self.reserved_bytes = 0

    async def _discard_and_refuse(self, limit: int) -> None:
        discarded_bytes, more = 0, True
        with anyio.move_on_after(DISCARD_TIMEOUT_S):
            while more and discarded_bytes < MAX_DISCARD_BYTES:
                message = await self.receive()
                discarded_bytes += len(message.get("body", b""))
                more = bool(message.get("more_body"))
        raise RefusedError(
            RefusalReason.BODY_TOO_LARGE,
            f"the body is longer than {limit} bytes",
        )

    async def wait_for_disconnect(self) -> None:
        """Waits until the caller has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass

    async def start(self, code: int, headers: dict[str, str]) -> None:
        """Sends the response head."""
        self.started = True
        encoded_headers = [(k.encode(), v.encode()) for k, v in headers.items()]
        await self._send(
            {
                "type": "http.response.start",
                "status": code,
                "headers": encoded_headers,
            }
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the response body, without a timeout.

        The stream's `Watchdog` applies one instead.
        """
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Sends the last part of the response body."""
        await self._send({"type": "http.response.body", "body": data})

    async def send_response(
        self,
        code: int,
        data: bytes,
        content_type: str = JSON_TYPE,
        extra_headers: dict[str, str] | None = None,
    ) -> None:
        """Sends a complete response."""
        headers = {"content-type": content_type} if content_type else {}
        headers |= {"content-length": str(len(data)), **(extra_headers or {})}
        await self.start(code, headers)
        await self.finish(data)

    async def send_json(self, code: int, body: object) -> None:
        """Sends a complete JSON response."""
        await self.send_response(code, json.dumps(body).encode())

    async def send_error(self, refused: RefusedError) -> None:
        """Sends an error response; the response must not have been started."""
        headers = {}
        if refused.code in (429, 503):
            headers["retry-after"] = str(max(1, round(refused.retry_after_s)))
        await self.send_response(
            refused.code, refused.body(), JSON_TYPE, headers
        )

    async def _send(self, message: Message) -> None:
        with anyio.move_on_after(WRITE_TIMEOUT_S) as scope:
            await self.send(message)
        if scope.cancelled_caught:
            raise SlowCallerError(
                f"a write to the caller timed out after {WRITE_TIMEOUT_S} s"
            )


def reason_not_to_send(
    start_refusal: Callable[[], RefusalReason | None],
) -> RefusalReason | None:
    """Returns why an accepted request may not be sent now.

    Accepted requests are still sent during a planned stop, but not after the
    lease has expired.
    """
    reason = start_refusal()
    return None if reason is RefusalReason.STOPPING else reason


def create_call(
    scope: Message,
    receive: Receive,
    send: Send,
    budget: BodyBudget | None = None,
) -> HttpCall:
    """Creates a call from an ASGI scope."""
    return HttpCall(
        scope["method"],
        scope["path"],
        scope["query_string"].decode("latin1"),
        {
            name.decode("latin1").lower(): value.decode("latin1")
            for name, value in scope["headers"]
        },
        receive,
        send,
        budget or BodyBudget(),
    )
