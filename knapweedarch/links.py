"""Framed `msgpack` messages over TCP between the system's own processes.

A frame is a 4-byte length followed by that many bytes. Before the first
message, both ends prove that they hold the shared credential (HMAC-SHA256 over
their own role and the other end's nonce). Each end sends keep-alives when idle
and closes a link that has received nothing for `LINK_TIMEOUT_S`, because a
connection whose state a middlebox has dropped would otherwise stay open for
ever at both ends.
"""

import contextlib
import hmac
import os
import struct
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs

from knapweedarch.codec import Codec, create_codec
from knapweedarch.exceptions import CodecError, CredentialError, LinkError
from knapweedarch.logs import log, traceback_text
from knapweedarch.task_groups import FATAL_ERRORS, run_contained

KEEP_ALIVE_INTERVAL_S = 0.3
LINK_TIMEOUT_S = 1.0
# A call gives up its link after this many intervals without any frame. A live
# end sends one at least every one and a half intervals.
CALL_QUIET_INTERVALS = 2
# A connection attempt to an instance that is powered off hangs, and the kernel
# resends the SYN only after 1 s. By then the instance may have been up for most
# of that time, and a new attempt would have reached it.
CONNECT_TIMEOUT_S = 0.4
MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_QUEUED_FRAMES = 4096
MAX_QUEUED_BYTES = 32 * 1024 * 1024
NONCE_BYTES = 16


@attrs.frozen
class Challenge:
    """First frame from each end."""

    nonce: bytes


@attrs.frozen
class Proof:
    """Reply to a challenge: HMAC-SHA256 of the sender's role and the nonce."""

    digest: bytes


@attrs.frozen
class Ping:
    """Keep-alive frame."""


@attrs.frozen
class Call:
    """A request message, which expects a reply."""

    number: int
    body: bytes


@attrs.frozen
class Reply:
    """Reply to the call with the same number."""

    number: int
    body: bytes


@attrs.frozen
class Send:
    """A one-way message."""

    body: bytes


_FRAME_CODEC = create_codec(Challenge, Proof, Ping, Call, Reply, Send)
_PING_FRAME = _FRAME_CODEC.encode(Ping())
# Called with the link and a received message; returns the reply to a call. A
# call for which it returns None gets no reply.
Handler = Callable[["Link", object], Awaitable[object | None]]


class Link:
    """An authenticated connection between two processes.

    Links are created by `connect` and `serve`, and transfer messages while
    `run` is running. A link closes itself if an incoming message is malformed
    or too large, if the send queue is full, or if for `LINK_TIMEOUT_S` nothing
    is received or a write does not finish.

    Attributes:
        peer: `host:port` of the peer if created by `connect`, else empty.
        closed: Set once the link is closed.
    """

    def __init__(
        self, stream: anyio.abc.SocketStream, codec: Codec, handler: Handler
    ):
        self.peer = ""
        self._stream = stream
        self._codec = codec
        self._handler = handler
        self._buffer = bytearray()
        self._pending_calls: dict[int, list] = {}
        self._next_call = 0
        self._queued_bytes = 0
        self._outbox: list[bytes] = []
        self._outbox_changed = anyio.Event()
        self._last_receive_at = self._last_send_at = anyio.current_time()
        self._writing_since: float | None = None
        self.closed = anyio.Event()

    def send(self, message: object) -> None:
        """Queues a message; discards it if the link is closed.

        Raises:
            CodecError: The message's class is unknown to the link's codec.
            LinkError: The message is too large, or the send queue is full
                because the peer reads too slowly.
        """
        self.send_encoded(self._codec.encode(message))

    def send_encoded(self, message: bytes) -> None:
        """Queues a message that the link's codec has encoded.

        Saves encoding a message for each of many links.

        Raises:
            LinkError: See `send`.
        """
        self._queue_frame(Send(message))

    async def call(self, message: object, timeout_s: float) -> object:
        """Sends a message and waits for its reply.

        Raises:
            CodecError: The message's class is unknown to the link's codec, or
                the reply is malformed.
            LinkError: The message could not be queued (see `send`), the link
                closed or fell silent, or no reply arrived within `timeout_s`
                seconds. The peer may have processed the message.
        """
        if self.closed.is_set():
            raise LinkError("the link is closed")
        self._next_call += 1
        number = self._next_call
        pending = [anyio.Event(), None]
        self._pending_calls[number] = pending
        try:
            self._queue_frame(Call(number, self._codec.encode(message)))
            with anyio.move_on_after(timeout_s):
                await self._wait_for_reply(pending[0])
        finally:
            del self._pending_calls[number]
        if pending[1] is None:
            raise LinkError(
                "no reply before the timeout"
                if not self.closed.is_set()
                else "the link closed before the reply"
            )
        return self._codec.decode(pending[1])

    async def _wait_for_reply(self, replied: anyio.Event) -> None:
        """Waits for a reply; closes the link if it falls silent meanwhile.

        Counting intervals instead of seconds leaves time to read what has
        arrived while this process was frozen.
        """
        quiet_intervals = 0
        while not replied.is_set():
            received_at = self._last_receive_at
            with anyio.move_on_after(KEEP_ALIVE_INTERVAL_S):
                await replied.wait()
            if self._last_receive_at != received_at:
                quiet_intervals = 0
                continue
            quiet_intervals += 1
            if quiet_intervals == CALL_QUIET_INTERVALS:
                self.close()

    @property
    def is_idle(self) -> bool:
        """Whether no call waits for its reply."""
        return not self._pending_calls

    def _queue_frame(self, frame: object) -> None:
        if self.closed.is_set():
            return
        self._queue_bytes(_FRAME_CODEC.encode(frame))

    def _queue_bytes(self, data: bytes) -> None:
        if len(data) > MAX_FRAME_BYTES:
            raise LinkError(f"outgoing frame of {len(data)} bytes is too large")
        self._queued_bytes += len(data)
        if (
            len(self._outbox) >= MAX_QUEUED_FRAMES
            or self._queued_bytes > MAX_QUEUED_BYTES
        ):
            self.close()
            raise LinkError("send queue is full: the peer reads too slowly")
        self._outbox.append(struct.pack(">I", len(data)) + data)
        self._outbox_changed.set()

    def close(self) -> None:
        """Closes the link and fails its pending calls."""
        self.closed.set()
        self._outbox_changed.set()
        for pending in self._pending_calls.values():
            pending[0].set()

    async def run(self) -> None:
        """Transfers messages until the link closes."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._close_on_error, self._write)
                group.start_soon(self._read, group)
                group.start_soon(self._close_on_error, self._monitor)
                await self.closed.wait()
                group.cancel_scope.cancel()
        finally:
            self.close()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    async def _close_on_error(
        self, loop: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs a loop of the link; an unexpected error closes only the link."""
        try:
            await loop()
        except Exception as exc:
            self._close_after_error(exc)

    async def _monitor(self) -> None:
        """Sends keep-alives on an idle link and closes a timed-out one.

        A single task checks the times of the last read and write: a timeout
        around each read and write took half of a link's processing time.
        """
        while not self.closed.is_set():
            await anyio.sleep(KEEP_ALIVE_INTERVAL_S)
            now = anyio.current_time()
            stuck = (
                self._writing_since is not None
                and now - self._writing_since > LINK_TIMEOUT_S
            )
            if stuck or now - self._last_receive_at > LINK_TIMEOUT_S:
                self.close()
            elif now - self._last_send_at >= KEEP_ALIVE_INTERVAL_S / 2:
                # A full queue closes the link.
                with contextlib.suppress(LinkError):
                    self._queue_bytes(_PING_FRAME)

    async def _write(self) -> None:
        try:
            while not self.closed.is_set():
                if not self._outbox:
                    self._outbox_changed = anyio.Event()
                    await self._outbox_changed.wait()
                frames, self._outbox = self._outbox, []
                self._queued_bytes = 0
                self._writing_since = self._last_send_at = anyio.current_time()
                await self._stream.send(b"".join(frames))
                self._writing_since = None
        except (
            OSError,
            LinkError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            self.close()

    async def _read(self, group: anyio.abc.TaskGroup) -> None:
        try:
            while not self.closed.is_set():
                match await self._read_frame():
                    case Send(body=body):
                        await self._handler(self, self._codec.decode(body))
                    case Call() as call:
                        group.start_soon(self._handle_call, call)
                    case Reply(number=number, body=body):
                        # A reply that arrives after the timeout is discarded.
                        if pending := self._pending_calls.get(number):
                            pending[1] = body
                            pending[0].set()
        except LinkError:
            self.close()
        except CodecError as exc:
            log("link_message_refused", peer=self.peer, reason=str(exc))
            self.close()
        except FATAL_ERRORS:
            raise
        except Exception as exc:
            self._close_after_error(exc)

    def _close_after_error(self, exc: Exception) -> None:
        """Closes the link after an unexpected error.

        The error of one message or link must not end the process.
        """
        log("link_handler_failed", peer=self.peer, reason=traceback_text(exc))
        self.close()

    async def _handle_call(self, call: Call) -> None:
        try:
            reply = await self._handler(self, self._codec.decode(call.body))
            if reply is not None:
                self._queue_frame(Reply(call.number, self._codec.encode(reply)))
        except LinkError:
            self.close()
        except CodecError as exc:
            log("link_message_refused", peer=self.peer, reason=str(exc))
            self.close()
        except FATAL_ERRORS:
            raise
        except Exception as exc:
            self._close_after_error(exc)

    async def _read_frame(self) -> object:
        (size,) = struct.unpack(">I", await self._read_exactly(4))
        if size > MAX_FRAME_BYTES:
            raise LinkError(f"incoming frame of {size} bytes is too large")
        return _FRAME_CODEC.decode(await self._read_exactly(size))

    async def _read_exactly(self, size: int) -> bytes:
        while len(self._buffer) < size:
            try:
                self._buffer += await self._stream.receive(65536)
            except (
                OSError,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ) as exc:
                raise LinkError("the connection was closed") from exc
            self._last_receive_at = anyio.current_time()
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    async def _write_frame(self, frame: object) -> None:
        data = _FRAME_CODEC.encode(frame)
        try:
            await self._stream.send(struct.pack(">I", len(data)) + data)
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as exc:
            raise LinkError("the connection was closed") from exc

    async def handshake(self, credential: bytes, role: bytes) -> None:
        """Authenticates both ends to each other.

        Args:
            credential: The shared credential.
            role: `b"client"` or `b"server"`; part of the proof, so that a
                proof cannot be reflected to its sender.

        Raises:
            CredentialError: The peer does not hold the credential.
            LinkError: The connection failed, or the handshake took longer than
                `LINK_TIMEOUT_S`.
            CodecError: The peer sent a malformed frame.
        """
        try:
            with anyio.fail_after(LINK_TIMEOUT_S):
                await self._exchange_proofs(credential, role)
        except TimeoutError as exc:
            raise LinkError("handshake timed out") from exc

    async def _exchange_proofs(self, credential: bytes, role: bytes) -> None:
        other_role = b"server" if role == b"client" else b"client"
        nonce = os.urandom(NONCE_BYTES)
        await self._write_frame(Challenge(nonce))
        challenge = await self._read_frame()
        if not isinstance(challenge, Challenge):
            raise CredentialError("peer sent no challenge")
        proof = hmac.digest(credential, role + challenge.nonce, "sha256")
        await self._write_frame(Proof(proof))
        peer_proof = await self._read_frame()
        expected = hmac.digest(credential, other_role + nonce, "sha256")
        if not isinstance(peer_proof, Proof) or not hmac.compare_digest(
            peer_proof.digest, expected
        ):
            raise CredentialError("peer holds a different credential")


async def connect(
    host: str, port: int, credential: bytes, codec: Codec, handler: Handler
) -> Link:
    """Opens a link and authenticates it; the caller must run it.

    Raises:
        LinkError: The connection failed, was not established within
            `CONNECT_TIMEOUT_S`, or failed during the handshake.
        CredentialError: The peer holds a different credential.
        CodecError: The peer sent a malformed frame during the handshake.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as exc:
        raise LinkError(f"cannot connect to {host}:{port}") from exc
    link = Link(stream, codec, handler)
    link.peer = f"{host}:{port}"
    try:
        await link.handshake(credential, b"client")
    except BaseException:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)
        raise
    return link


async def serve(
    listener: anyio.abc.Listener,
    credential: bytes,
    codec: Codec,
    handler: Handler,
    on_refused: Callable[[CredentialError], None],
    on_closed: Callable[[Link], None] = lambda link: None,
) -> None:
    """Accepts links until cancelled.

    Args:
        listener: TCP listener.
        credential: The shared credential.
        codec: Codec for the messages.
        handler: Called with each message; its result is the reply to a call.
        on_refused: Called when a peer holds a different credential.
        on_closed: Called when an authenticated link has ended.
    """

    async def accept(stream: anyio.abc.SocketStream) -> None:
        link = Link(stream, codec, handler)
        try:
            await link.handshake(credential, b"server")
        except CredentialError as exc:
            on_refused(exc)
            return
        except (LinkError, CodecError):
            return
        try:
            await link.run()
        finally:
            on_closed(link)

    async def accept_contained(stream: anyio.abc.SocketStream) -> None:
        try:
            await run_contained(accept, stream)
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    await listener.serve(accept_contained)
