"""HTTP/1.1 client of the proxy, on h11: one request and its answer.

An endpoint may answer twice, late, early, without a length or with bytes that
are not HTTP. Each exchange therefore checks which request an answer belongs to,
and its errors state whether its own request may have been written.
"""

import contextlib
import functools
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import anyio.abc
import attrs
import h11

from knapweedarch.answer_memory import AnswerMemory
from knapweedarch.exceptions import ExchangeError
from knapweedarch.http_messages import (
    Headers,
    Request,
    find_header,
    is_final_status,
)
from knapweedarch.models import RetryReason
from knapweedarch.outbound_connections import (
    Connection,
    IsOwnAnswer,
    close_connection,
)
from knapweedarch.unacknowledged import has_unacknowledged

READ_BYTES = 65_536
MAX_MISMATCHED_ANSWERS = 4
# A connection with so many refusals is closed.
MAX_REFUSALS = 8
# Limits for endpoints that send without end. The head is limited by h11.
MAX_INTERIM_ANSWERS = 8
MAX_SKIPPED_BYTES = 1024 * 1024
# Longer bodies are sent by a background task while the answer is read.
MAX_INLINE_BODY_BYTES = 8_192
STREAM_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@attrs.define
class AnswerHead:
    """Status and headers of an endpoint's answer.

    Attributes:
        status: Status code.
        headers: All headers.
    """

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes:
        """Returns the first header called `name`; empty if missing.

        Args:
            name: Name in lower case.
        """
        return find_header(self.headers, name)

    @property
    def body_bytes(self) -> int:
        """Length of the body as named; 0 if none is."""
        return int(self.header(b"content-length") or 0)

    @property
    def has_length(self) -> bool:
        """Whether a body that ends early can be told from a complete one."""
        return bool(
            self.header(b"content-length") or self.header(b"transfer-encoding")
        )


class ConnectionsPort(Protocol):
    """The pool of connections that an exchange uses.

    Attributes:
        memory: The memory that all answers share until they are passed on.
    """

    memory: AnswerMemory

    def spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        """Starts a task of one request, whose error ends no other task."""

    async def acquire(
        self, address: str, is_own_answer: IsOwnAnswer
    ) -> Connection:
        """Returns an idle connection that is still open, or a new one.

        Raises:
            OSError: The connection failed.
            TimeoutError: Connecting took too long.
        """

    async def release(
        self, address: str, conn: Connection, head: AnswerHead
    ) -> None:
        """Keeps a connection for reuse, or closes it at the limits."""


class Exchange:
    """One request to an endpoint and its answer.

    Attributes:
        written: Whether any byte of the request may have left this process.
    """

    def __init__(
        self,
        pool: ConnectionsPort,
        address: str,
        req: Request,
        is_own_answer: IsOwnAnswer,
    ):
        self.written = False
        self._pool = pool
        self._address = address
        self._req = req
        self._is_own_answer = is_own_answer
        self._conn: Connection | None = None
        self._sent = False
        self._send_scope = anyio.CancelScope()
        self._complete = False
        self._input_ended = False
        self._is_reusable = True

    @property
    def memory(self) -> AnswerMemory:
        """The memory that its answer shares with others."""
        return self._pool.memory

    @property
    def opened_at(self) -> float:
        """When its connection was open, in seconds on the pool's clock."""
        return self._conn.opened_at

    async def open(self, before_send: Callable[[], None]) -> None:
        """Opens or reuses a connection.

        Args:
            before_send: Called once the connection is open, before the first
                byte is written; it raises an error to prevent the send.

        Raises:
            ExchangeError: The connection failed; nothing was written.
            Exception: The error of `before_send`; nothing was written.
        """
        try:
            self._conn = await self._pool.acquire(
                self._address, self._is_own_answer
            )
        except (OSError, TimeoutError) as exc:
            raise ExchangeError(
                RetryReason.CONNECT_REFUSED, repr(exc), written=False
            ) from exc
        before_send()

    async def send_request(self) -> AnswerHead:
        """Sends the request and reads the status and headers of its answer.

        Raises:
            ExchangeError: No valid answer to this request was received.
        """
        data = self._encode()
        stream = self._conn.stream
        # The endpoint may answer before it has read a long body, so the answer
        # is read while the body is sent.
        if len(self._req.body) > MAX_INLINE_BODY_BYTES:
            self._pool.spawn(
                functools.partial(self._send_in_background, stream, data)
            )
        else:
            await self._send(stream, data)
        for _ in range(MAX_MISMATCHED_ANSWERS):
            head = await self._read_head()
            if self._is_own_answer(head.headers):
                return head
            await self._skip_mismatched_answer()
        raise self._fail(
            RetryReason.CROSSED_ANSWER, "answers belong to other requests"
        )

    def _encode(self) -> bytes:
        """Returns the bytes of the request.

        Raises:
            ExchangeError: HTTP has no form for the request, as for a header
                whose value has a line end; nothing was written.
        """
        protocol = self._conn.protocol
        try:
            head = h11.Request(
                method=self._req.method,
                target=self._req.target,
                headers=list(self._req.headers),
            )
            data = protocol.send(head)
            if self._req.body:
                data += protocol.send(h11.Data(self._req.body))
            return data + protocol.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise self._fail(RetryReason.REQUEST_UNSENDABLE, str(exc)) from exc

    async def _send_in_background(
        self, stream: anyio.abc.ByteStream, data: bytes
    ) -> None:
        """Sends the request while its answer is read.

        The exchange may have failed or been closed before this task takes its
        first step. Nothing is written then.
        """
        with self._send_scope:
            if self._send_scope.cancel_called:
                return
            try:
                await self._send(stream, data)
            except Exception:
                # Whoever reads the answer must not wait for its timeout.
                await anyio.aclose_forcefully(stream)
                raise

    async def _send(self, stream: anyio.abc.ByteStream, data: bytes) -> None:
        self.written = True
        # After a failed write, reading returns an early answer or the error.
        with contextlib.suppress(*STREAM_ERRORS):
            await stream.send(data)
            self._sent = True

    async def _read_head(self) -> AnswerHead:
        for _ in range(MAX_INTERIM_ANSWERS):
            match await self._next_event():
                case h11.Response(status_code=status, headers=headers):
                    self._check_status(status)
                    return AnswerHead(status, tuple(headers))
                case h11.InformationalResponse():
                    continue
                case event:
                    raise self._fail(
                        RetryReason.CONNECTION_CLOSED,
                        f"expected response headers, got {event!r}",
                    )
        raise self._fail(
            RetryReason.ANSWER_TOO_LONG,
            f"{MAX_INTERIM_ANSWERS} interim answers without a final one",
        )

    def _check_status(self, status: int) -> None:
        """Checks a status; h11 itself accepts all of three digits from 200."""
        if not is_final_status(status):
            raise self._fail(
                RetryReason.CONNECTION_CLOSED, f"invalid status {status}"
            )

    async def _skip_mismatched_answer(self) -> None:
        """Reads and discards the answer to another request.

        The h11 connection has matched it to this request, so the bytes that
        follow are read with a new h11 connection in the same state.
        """
        skipped_bytes = 0
        while (part := await self.read()) is not None:
            skipped_bytes += len(part)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                raise self._fail(
                    RetryReason.ANSWER_TOO_LONG,
                    f"over {MAX_SKIPPED_BYTES} bytes for another request",
                )
        trailing, closed = self._conn.protocol.trailing_data
        if closed or self._conn.protocol.their_state is not h11.DONE:
            raise self._fail(
                RetryReason.CROSSED_ANSWER, "answer belongs to another request"
            )
        protocol = h11.Connection(h11.CLIENT)
        protocol.send(
            h11.Request(
                method=self._req.method,
                target=self._req.target,
                headers=[(b"host", b"-")],
            )
        )
        protocol.send(h11.EndOfMessage())
        if trailing:
            protocol.receive_data(trailing)
        self._conn.protocol = protocol
        self._complete = False

    async def read(self) -> bytes | None:
        """Reads a part of the body; returns None at the end.

        Raises:
            ExchangeError: The answer ended early or is not valid HTTP.
        """
        if self._complete:
            return None
        match await self._next_event():
            case h11.Data(data=data):
                return bytes(data)
            case h11.EndOfMessage():
                self._check_end()
                self._complete = True
                return None
            case event:
                raise self._fail(
                    RetryReason.CONNECTION_CLOSED,
                    f"answer ended early: {event!r}",
                )

    def _check_end(self) -> None:
        """Checks an answer that ends with its connection.

        An endpoint in trouble ends the connection like that while the request
        is on its way, so only the end of a request that was received whole is
        the end of an answer without a length.

        Raises:
            ExchangeError: The endpoint has not received the whole request.
        """
        if not self._input_ended:
            return
        if self._sent and not has_unacknowledged(self._conn.stream):
            return
        raise self._fail(
            RetryReason.CONNECTION_CLOSED,
            "the connection ended before the request was received",
        )

    async def _next_event(self) -> object:
        try:
            while (event := self._conn.protocol.next_event()) is h11.NEED_DATA:
                self._conn.protocol.receive_data(await self._receive())
            return event
        except h11.RemoteProtocolError as exc:
            raise self._fail(
                RetryReason.CONNECTION_CLOSED, f"invalid HTTP answer: {exc}"
            ) from exc

    async def _receive(self) -> bytes:
        try:
            return await self._conn.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            self._input_ended = True
            return b""
        except STREAM_ERRORS as exc:
            raise self._fail(RetryReason.CONNECTION_CLOSED, repr(exc)) from exc

    def _fail(self, reason: RetryReason, message: str) -> ExchangeError:
        """Ends the exchange; returns the error to raise.

        Nothing is written from now on, so that what the error says of it stays
        true.
        """
        self._send_scope.cancel()
        return ExchangeError(reason, message, self.written)

    def mark_refused(self, head: AnswerHead, *, names_request: bool) -> None:
        """Records that the answer is a refusal, which may be written again.

        Args:
            head: Status and headers of the refusal.
            names_request: Whether it says which request it refuses. One that
                does not could refuse any later request on the connection.
        """
        refusals = self._conn.refusals
        refusals.append(head.headers)
        if not names_request or len(refusals) >= MAX_REFUSALS:
            self._is_reusable = False

    async def close(self, head: AnswerHead | None) -> None:
        """Returns the connection to the pool if it is reusable, else closes it.

        Args:
            head: Status and headers of a complete answer; None closes the
                connection.
        """
        self._send_scope.cancel()
        conn, self._conn = self._conn, None
        if conn is None:
            return
        protocol = conn.protocol
        reusable = (
            self._is_reusable
            and self._complete
            and self._sent
            and protocol.our_state is h11.DONE
            and protocol.their_state is h11.DONE
            and not protocol.trailing_data[0]
        )
        if reusable and head is not None:
            protocol.start_next_cycle()
            await self._pool.release(self._address, conn, head)
        else:
            await close_connection(conn)
