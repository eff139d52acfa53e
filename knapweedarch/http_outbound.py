"""HTTP/1.1 client of the proxy, on h11, with idle connections by address.

An endpoint may answer twice, late, early, without a length or with bytes that
are not HTTP. Each exchange therefore checks which request an answer belongs to,
and its errors state whether its own request may have been written.
"""

import contextlib
import functools
import re
import select
from collections.abc import Awaitable, Callable

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
from knapweedarch.logs import log
from knapweedarch.models import RetryReason
from knapweedarch.task_groups import TaskOwner, spawn_contained
from knapweedarch.timers import Clock
from knapweedarch.tunnel_stream import TunnelStream
from knapweedarch.unacknowledged import has_unacknowledged

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 0.35
# Assumed idle timeout of endpoints that send no keep-alive timeout.
DEFAULT_IDLE_S = 3.0
# More digits are malformed; Python converts no more than some thousand.
WHOLE_SECONDS = re.compile(rb"[0-9]{1,9}")
# Subtracted from the endpoint's idle timeout, since the endpoint may close the
# connection while a request is on its way.
IDLE_MARGIN_S = 0.6
MAX_IDLE_PER_ADDRESS = 16
MAX_MISMATCHED_ANSWERS = 4
MAX_PORT = 65_535
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

IsOwnAnswer = Callable[[Headers], bool]
Connect = Callable[[str], Awaitable[anyio.abc.ByteStream]]


@attrs.define(eq=False)
class _Connection:
    """A connection.

    Attributes:
        stream: The byte stream.
        protocol: State of the HTTP exchange.
        opened_at: When it was open, in seconds on the pool's clock.
        idle_until: Until when it may be reused, on the same clock.
        refusals: Headers of the refusals received on it. A faulty endpoint may
            write one again, while it runs a later request.
    """

    stream: anyio.abc.ByteStream
    protocol: h11.Connection
    opened_at: float
    idle_until: float = 0.0
    refusals: list[Headers] = attrs.field(factory=list)

    def may_repeat_refusal_of(self, is_own_answer: IsOwnAnswer) -> bool:
        """Returns whether an earlier refusal could be taken for an answer."""
        return any(is_own_answer(headers) for headers in self.refusals)

    def has_no_input(self) -> bool:
        """Returns whether neither bytes nor an end of stream has arrived."""
        return has_no_input(self.stream)


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


class Exchange:
    """One request to an endpoint and its answer.

    Attributes:
        written: Whether any byte of the request may have left this process.
    """

    def __init__(
        self,
        pool: "OutboundPool",
        address: str,
        req: Request,
        is_own_answer: IsOwnAnswer,
    ):
        self.written = False
        self._pool = pool
        self._address = address
        self._req = req
        self._is_own_answer = is_own_answer
        self._conn: _Connection | None = None
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
        raise self._create_error(
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
            raise self._create_error(
                RetryReason.REQUEST_UNSENDABLE, str(exc)
            ) from exc

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
                    raise self._create_error(
                        RetryReason.CONNECTION_CLOSED,
                        f"expected response headers, got {event!r}",
                    )
        raise self._create_error(
            RetryReason.ANSWER_TOO_LONG,
            f"{MAX_INTERIM_ANSWERS} interim answers without a final one",
        )

    def _check_status(self, status: int) -> None:
        """Checks a status; h11 itself accepts all of three digits from 200."""
        if not is_final_status(status):
            raise self._create_error(
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
                raise self._create_error(
                    RetryReason.ANSWER_TOO_LONG,
                    f"over {MAX_SKIPPED_BYTES} bytes for another request",
                )
        trailing, closed = self._conn.protocol.trailing_data
        if closed or self._conn.protocol.their_state is not h11.DONE:
            raise self._create_error(
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
                raise self._create_error(
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
        raise self._create_error(
            RetryReason.CONNECTION_CLOSED,
            "the connection ended before the request was received",
        )

    async def _next_event(self) -> object:
        try:
            while (event := self._conn.protocol.next_event()) is h11.NEED_DATA:
                self._conn.protocol.receive_data(await self._receive())
            return event
        except h11.RemoteProtocolError as exc:
            raise self._create_error(
                RetryReason.CONNECTION_CLOSED, f"invalid HTTP answer: {exc}"
            ) from exc

    async def _receive(self) -> bytes:
        try:
            return await self._conn.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            self._input_ended = True
            return b""
        except STREAM_ERRORS as exc:
            raise self._create_error(
                RetryReason.CONNECTION_CLOSED, repr(exc)
            ) from exc

    def _create_error(self, reason: RetryReason, message: str) -> ExchangeError:
        # What the error says of `written` must stay true.
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
            await _close_connection(conn)


def log_given_up(size: int, held_bytes: int) -> None:
    """Logs that the longest answer was given up for others."""
    log("answer_given_up", bytes=size, held=held_bytes)


async def connect_directly(address: str) -> anyio.abc.SocketStream:
    """Connects to an endpoint.

    Raises:
        OSError: The connection failed.
        TimeoutError: Connecting took longer than `CONNECT_TIMEOUT_S`.
    """
    host, _, port = address.rpartition(":")
    # An odd entry in the list of endpoints must fail as one that is not there.
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise OSError(f"{address!r} is not an address")
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return await anyio.connect_tcp(host.strip("[]"), int(port))
    except UnicodeError as exc:
        raise OSError(f"{address!r} has no host name") from exc


def has_no_input(stream: anyio.abc.ByteStream) -> bool:
    """Returns whether neither bytes nor an end of a stream has arrived."""
    if isinstance(stream, TunnelStream):
        return stream.has_no_input
    sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return not poll.poll(0)


async def _close_connection(conn: _Connection) -> None:
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(conn.stream)


class OutboundPool(TaskOwner):
    """Idle connections to endpoints, by address.

    Use it as an asynchronous context manager, which runs the tasks that send
    long bodies.

    Attributes:
        connect: Opens connections.
        memory: The memory that all answers share until they are passed on.
    """

    def __init__(self, clock: Clock):
        self.connect: Connect = connect_directly
        self.memory = AnswerMemory(on_give_up=log_given_up)
        self._clock = clock
        self._idle: dict[str, list[_Connection]] = {}

    def spawn(self, task: Callable[[], Awaitable[None]]) -> None:
        """Starts a task of one request.

        It is cancelled when the pool's context exits. Its error is logged and
        ends no other task.
        """
        spawn_contained(self._group, task)

    def exchange(
        self, address: str, req: Request, is_own_answer: IsOwnAnswer
    ) -> Exchange:
        """Creates an exchange.

        Args:
            address: IP address and port of the endpoint.
            req: The request, with the headers for the endpoint.
            is_own_answer: Returns whether an answer with these headers belongs
                to `req`.
        """
        return Exchange(self, address, req, is_own_answer)

    async def acquire(
        self, address: str, is_own_answer: IsOwnAnswer
    ) -> _Connection:
        """Returns an idle connection that is still open, or a new one.

        Args:
            address: IP address and port of the endpoint.
            is_own_answer: Returns whether an answer would be taken for one to
                the request. A connection with such a refusal is not used.

        Raises:
            OSError: The connection failed.
            TimeoutError: Connecting took too long.
        """
        while conn := self._take_idle(address, is_own_answer):
            if self._clock.now() < conn.idle_until and conn.has_no_input():
                return conn
            await _close_connection(conn)
        stream = await self.connect(address)
        protocol = h11.Connection(h11.CLIENT)
        return _Connection(stream, protocol, self._clock.now())

    def _take_idle(
        self, address: str, is_own_answer: IsOwnAnswer
    ) -> _Connection | None:
        """Removes and returns the idle connection that was used last."""
        idle = self._idle.get(address, [])
        for place in reversed(range(len(idle))):
            if not idle[place].may_repeat_refusal_of(is_own_answer):
                return idle.pop(place)
        return None

    async def release(
        self, address: str, conn: _Connection, head: AnswerHead
    ) -> None:
        """Keeps a connection for reuse, or closes it at the limits."""
        idle_s = _idle_limit_s(head)
        idle = self._idle.setdefault(address, [])
        conn.idle_until = self._clock.now() + idle_s
        if idle_s > 0 and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(conn)
        else:
            await _close_connection(conn)

    async def close_idle(self) -> None:
        """Closes all idle connections."""
        idle, self._idle = self._idle, {}
        for conns in idle.values():
            for conn in conns:
                await _close_connection(conn)

    async def close_expired(self) -> None:
        """Closes connections whose idle time has expired."""
        for conn in self._take_expired():
            await _close_connection(conn)

    def _take_expired(self) -> list[_Connection]:
        """Removes and returns the connections whose idle time has expired.

        All are removed before the first one is closed: other tasks take and
        add connections meanwhile.
        """
        now = self._clock.now()
        kept: dict[str, list[_Connection]] = {}
        expired = []
        for address, idle in self._idle.items():
            for conn in idle:
                if conn.idle_until <= now:
                    expired.append(conn)
                else:
                    kept.setdefault(address, []).append(conn)
        self._idle = kept
        return expired


def _idle_limit_s(head: AnswerHead) -> float:
    """Returns how long a connection may stay idle, in seconds."""
    for part in head.header(b"keep-alive").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and WHOLE_SECONDS.fullmatch(value):
            return max(0.0, int(value) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S - IDLE_MARGIN_S
