"""HTTP exchange with a caller: size limits, write timeouts and errors."""

import contextlib
import json
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterator,
    MutableMapping,
)

import anyio
import anyio.lowlevel
import attrs

from knapweedarch.body_charges import FREE_SHARE, LARGEST_SHARE
from knapweedarch.caller_memory import SMALL_BYTES, CallerMemory, HeldBytes
from knapweedarch.exceptions import KnapweedarchError
from knapweedarch.models import Outcome, RefusalReason

# A response or stream is ended when a write to its caller takes longer than
# this. Long enough for a mobile link to change cells, short enough to free the
# runner's slot.
WRITE_TIMEOUT_S = 10.0
# Time limit for reading a request body, so that a slow sender cannot occupy
# memory indefinitely.
BODY_TIMEOUT_S = 30.0
# A body must grow by this rate, in bytes per second, in each interval of
# `BODY_GRACE_S` seconds.
LEAST_BODY_RATE = 256
BODY_GRACE_S = 10.0
# Parts of a body below this size, in bytes, cost more time than what they hold.
# After so many of them other requests get a turn.
TINY_PART_BYTES = 256
TINY_PARTS_PER_TURN = 64
# A long answer is written in pieces of this size, in bytes, so that a caller
# which reads slowly can be told from one that does not read.
WRITE_BYTES = 64 * 1024
# Part of a rejected body is read and discarded after the error response,
# because closing a connection with unread data resets it, and the caller may
# then lose the response.
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
        held: What it holds in the memory that all callers share; None if that
            is not counted.
        memory: That memory.
        now: Returns the time of the memory's clock in seconds.
        take_turn: Lets other requests go on.
        started: Whether sending the response head has begun.
        is_answered: Whether sending the end of the response has begun.
        is_whole: Whether the body was read to its end.
        lingers: Whether a rest of the body is read after the response.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    receive: Receive
    send: Send
    held: HeldBytes | None = None
    memory: CallerMemory = attrs.field(factory=CallerMemory)
    now: Callable[[], float] = anyio.current_time
    take_turn: Callable[[], Awaitable[None]] = anyio.lowlevel.checkpoint
    started: bool = False
    is_answered: bool = False
    is_whole: bool = False
    lingers: bool = False

    def header(self, name: str) -> str:
        """Returns the value of a header, or an empty string."""
        return self.headers.get(name, "")

    async def read_body(self, limit: int) -> bytes:
        """Reads the complete request body.

        A body that is announced as too long is refused unread.

        Raises:
            RefusedError: The body is longer than `limit` bytes, or arrives too
                slowly.
            CallerEvictedError: Callers hold too much memory.
            CallerGoneError: The caller closed the connection.
        """
        declared = self.header("content-length")
        if declared.isdecimal() and int(declared) > limit:
            raise self._refuse_rest(_too_long_error(limit))
        with anyio.move_on_after(BODY_TIMEOUT_S):
            return await self._read_parts(limit)
        raise self._refuse_rest(
            RefusedError(
                RefusalReason.SLOW_CALLER,
                f"the body did not arrive within {BODY_TIMEOUT_S} s",
            )
        )

    def _refuse_rest(self, refused: RefusedError) -> RefusedError:
        self.lingers = True
        return refused

    async def _read_parts(self, limit: int) -> bytes:
        # Parts may have one byte each, so they are not kept one by one.
        body = bytearray()
        while not self.is_whole:
            before = len(body)
            with anyio.move_on_after(BODY_GRACE_S):
                await self._read_on(body, limit)
            grown = len(body) - before
            if not self.is_whole and grown < LEAST_BODY_RATE * BODY_GRACE_S:
                raise self._refuse_rest(
                    RefusedError(
                        RefusalReason.SLOW_CALLER, "the body arrives too slowly"
                    )
                )
        return bytes(body)

    async def _read_on(self, body: bytearray, limit: int) -> None:
        """Reads to the end of the body."""
        async for part in self._parts():
            body += part
            if len(body) > limit:
                raise self._refuse_rest(_too_long_error(limit))
            self._resize(len(body))

    async def _parts(self) -> AsyncIterator[bytes]:
        """Yields the parts of the body as they arrive.

        Raises:
            CallerGoneError: The caller closed the connection.
        """
        tiny = 0
        while not self.is_whole:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError("the caller closed the connection")
            self.is_whole = not message.get("more_body")
            part = message.get("body", b"")
            tiny += len(part) < TINY_PART_BYTES
            if tiny >= TINY_PARTS_PER_TURN:
                tiny = 0
                await self.take_turn()
            yield part

    def _resize(self, size: int) -> None:
        if self.held is not None:
            self.held.resize(size, self.now())

    def begin_service(self, charge: int) -> None:
        """Counts what the body takes while the request runs.

        From now on the request is not given up for others.

        Args:
            charge: Bytes of the body and all that is made of it.

        Raises:
            CallerEvictedError: Callers hold too much memory.
        """
        limit = self.memory.limit_bytes
        size = min(charge, limit // LARGEST_SHARE)
        if size > SMALL_BYTES:
            # A share stays free, which short requests need.
            self._resize(size + limit // FREE_SHARE)
        self._resize(size)
        if self.held is not None:
            self.held.in_service = True

    @contextlib.contextmanager
    def _awaiting_caller(self) -> Iterator[None]:
        """Marks that the answer waits for its caller to read."""
        held = self.held
        if held is None:
            yield
            return
        held.awaits_caller = True
        held.touch(self.now())
        try:
            yield
        finally:
            held.awaits_caller = False

    async def _discard_rest(self) -> None:
        """Reads what is left of the body, up to limits."""
        discarded_bytes = 0
        with (
            anyio.move_on_after(DISCARD_TIMEOUT_S),
            contextlib.suppress(CallerGoneError),
        ):
            async for part in self._parts():
                discarded_bytes += len(part)
                if discarded_bytes > MAX_DISCARD_BYTES:
                    return

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
        with self._awaiting_caller():
            await self.send(
                {"type": "http.response.body", "body": data, "more_body": True}
            )

    async def finish(self, data: bytes = b"") -> None:
        """Sends the last part of the response body."""
        self.is_answered = True
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
        with self._write_limit():
            for start in range(0, len(data), WRITE_BYTES):
                await self.write(data[start : start + WRITE_BYTES])
        if self.lingers:
            await self._discard_rest()
        await self.finish()

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
        with self._write_limit(), self._awaiting_caller():
            await self.send(message)

    @contextlib.contextmanager
    def _write_limit(self) -> Iterator[None]:
        """Limits the time of what is sent in the block.

        Raises:
            SlowCallerError: It took longer than `WRITE_TIMEOUT_S`.
        """
        with anyio.move_on_after(WRITE_TIMEOUT_S) as scope:
            yield
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


def _too_long_error(limit: int) -> RefusedError:
    return RefusedError(
        RefusalReason.BODY_TOO_LARGE,
        f"the body is longer than {limit} bytes",
    )


def create_call(scope: Message, receive: Receive, send: Send) -> HttpCall:
    """Creates a call from an ASGI scope; what it holds is not counted."""
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
    )
