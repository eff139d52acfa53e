"""HTTP exchange with a caller: bounded reading, timed writing, refusals."""

import json
from collections.abc import Awaitable, Callable, MutableMapping

import anyio
import attrs

from knapweedarch.exceptions import KnapweedarchError
from knapweedarch.models import Outcome, RefusalReason

# A caller that takes nothing for this long loses its stream. Long enough for
# a mobile link to change cells, short enough to free the runner's slot.
WRITE_S = 10.0
# Longest wait for the next part of a request's body.
READ_S = 10.0
# A refused body is read on for a while, because closing a connection with
# unread data resets it and may destroy the refusal on its way.
DISCARD_BYTES = 8 * 1024 * 1024
DISCARD_S = 1.0

Message = MutableMapping[str, object]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

_CODES = {
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
    """The caller closed its connection."""


class SlowCallerError(KnapweedarchError):
    """The caller took no data for `WRITE_S`."""


class RefusedError(KnapweedarchError):
    """The request gets an error answer.

    Attributes:
        reason: Machine-readable reason.
        message: For people.
        outcome: Whether the request was run.
        retry_after_s: When a new try is worth it, in seconds.
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
        """HTTP status."""
        return _CODES[self.reason]

    def body(self) -> bytes:
        """Returns the error body."""
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
class Call:
    """One request of a caller and the answer to it.

    Attributes:
        method: HTTP method.
        path: Decoded path.
        query: Query as sent.
        headers: Headers by lower-case name; the last of equal names counts.
        started: Whether the head of the answer was sent.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    receive: Receive
    send: Send
    started: bool = False

    def header(self, name: str) -> str:
        """Returns a header, or an empty text."""
        return self.headers.get(name, "")

    async def read_body(self, limit: int) -> bytes:
        """Reads the whole body.

        Raises:
            RefusedError: The body is longer than `limit` bytes, or its parts
                come too slowly.
            CallerGoneError: The caller left.
        """
        declared = self.header("content-length")
        if declared.isdecimal() and int(declared) > limit:
            await self._refuse_body(limit)
        parts, size = [], 0
        while True:
            with anyio.move_on_after(READ_S) as scope:
                message = await self.receive()
            if scope.cancelled_caught:
                raise RefusedError(
                    RefusalReason.SLOW_CALLER,
                    f"no part of the body came for {READ_S} s",
                )
            if message["type"] == "http.disconnect":
                raise CallerGoneError("the caller left")
            part = message.get("body", b"")
            size += len(part)
            if size > limit:
                await self._refuse_body(limit)
            parts.append(part)
            if not message.get("more_body"):
                return b"".join(parts)

    async def _refuse_body(self, limit: int) -> None:
        discarded, more = 0, True
        with anyio.move_on_after(DISCARD_S):
            while more and discarded < DISCARD_BYTES:
                message = await self.receive()
                discarded += len(message.get("body", b""))
                more = bool(message.get("more_body"))
        raise RefusedError(
            RefusalReason.BODY_TOO_LARGE,
            f"the body is longer than {limit} bytes",
        )

    async def wait_gone(self) -> None:
        """Returns when the caller has closed its connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass

    async def start(self, code: int, fields: dict[str, str]) -> None:
        """Sends the head of the answer."""
        self.started = True
        headers = [(k.encode(), v.encode()) for k, v in fields.items()]
        await self._send(
            {"type": "http.response.start", "status": code, "headers": headers}
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; whoever calls it bounds the time."""
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Sends the last part of the body."""
        await self._send({"type": "http.response.body", "body": data})

    async def answer(
        self,
        code: int,
        data: bytes,
        content_type: str = JSON_TYPE,
        fields: dict[str, str] | None = None,
    ) -> None:
        """Sends a whole answer."""
        head = {"content-type": content_type} if content_type else {}
        head |= {"content-length": str(len(data)), **(fields or {})}
        await self.start(code, head)
        await self.finish(data)

    async def answer_json(self, code: int, body: object) -> None:
        """Sends a whole answer in JSON."""
        await self.answer(code, json.dumps(body).encode())

    async def refuse(self, refused: RefusedError) -> None:
        """Sends an error answer; must be the first thing sent."""
        fields = {}
        if refused.code in (429, 503):
            fields["retry-after"] = str(max(1, round(refused.retry_after_s)))
        await self.answer(refused.code, refused.body(), JSON_TYPE, fields)

    async def _send(self, message: Message) -> None:
        with anyio.move_on_after(WRITE_S) as scope:
            await self.send(message)
        if scope.cancelled_caught:
            raise SlowCallerError(f"the caller took no data for {WRITE_S} s")


def may_send(
    may_start: Callable[[], RefusalReason | None],
) -> RefusalReason | None:
    """Returns why an accepted request may not be sent now.

    A planned stop lets accepted requests finish; an expired lease does not.
    """
    reason = may_start()
    return None if reason is RefusalReason.STOPPING else reason


def create_call(scope: Message, receive: Receive, send: Send) -> Call:
    """Creates a call from an ASGI scope."""
    return Call(
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
