"""Steps that compare the decoders of callers' bytes with h11."""

import itertools

import anyio
import anyio.lowlevel
import attrs
import h11
import hypothesis
from behave import given, then, when
from hypothesis import strategies

from knapweedarch.chunked_body import (
    MAX_SIZE_LINE_BYTES,
    BodyState,
    ChunkedBody,
)
from knapweedarch.deployments import CallerLimits
from knapweedarch.exceptions import MalformedRequestError
from knapweedarch.http_inbound import InboundConnection, InboundServer
from knapweedarch.http_messages import Answer, find_header
from knapweedarch.message_ends import MessageEnd
from knapweedarch.timers import Clock

BODY_LIMIT = 400
HEAD_LIMIT = 16_384
# Bytes that have a meaning in a head or between chunks.
TELLING = b"\r\n \t:;,0159afAFx\x00\xff"
CHUNKED_HEAD = (
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def join(parts):
    return b"".join(parts)


def chunk_of(data, extension):
    return b"%x%b\r\n%b\r\n" % (len(data), extension, data)


EXTENSIONS = strategies.sampled_from(
    (b"", b"", b";a=b", b" ", b"\t", b"; x \r", b";\x00")
)
TRAILERS = strategies.sampled_from(
    (b"\r\n", b"\n", b"A: b\r\n\r\n", b"a:b\nc: d\n\n", b": x\r\n\r\n", b"")
)
CHUNKS = strategies.builds(
    chunk_of, strategies.binary(min_size=1, max_size=40), EXTENSIONS
)
JUNK = strategies.lists(strategies.sampled_from(TELLING), max_size=8).map(bytes)
SOUND_BODIES = strategies.tuples(
    strategies.lists(CHUNKS, max_size=12).map(join),
    strategies.sampled_from((b"0\r\n", b"000;x\r\n", b"0 \r\n", b"")),
    TRAILERS,
    JUNK,
).map(join)
EDITS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 400),
        strategies.integers(0, 2),
        strategies.sampled_from(TELLING),
    ),
    max_size=3,
)
CUTS = strategies.lists(strategies.integers(0, 600), max_size=12)


def edit(data, edits):
    """Replaces, inserts or removes single bytes."""
    data = bytearray(data)
    for position, removed, byte in edits:
        at = position % (len(data) + 1)
        data[at : at + removed] = bytes((byte,)) if removed < 2 else b""
    return bytes(data)


def cut(data, cuts):
    """Splits bytes; without cuts, into single ones."""
    if not cuts:
        return [data[i : i + 1] for i in range(len(data))]
    ends = sorted({c % (len(data) + 1) for c in cuts} | {0, len(data)})
    return [data[a:b] for a, b in itertools.pairwise(ends)]


def read_body_by_h11(data):
    """Returns what h11 makes of a body in chunks that arrives at once.

    Returns:
        `whole`, `partial` or `malformed`, the body so far, and the bytes after
        it.
    """
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=10**9)
    conn.receive_data(CHUNKED_HEAD + data)
    conn.next_event()
    body = b""
    while True:
        try:
            event = conn.next_event()
        except h11.RemoteProtocolError:
            return "malformed", body, b""
        match event:
            case h11.Data(data=part):
                body += part
            case h11.EndOfMessage():
                return "whole", body, conn.trailing_data[0]
            case _:
                return "partial", body, b""


def read_body(pieces, held):
    """Returns what the decoder makes of a body, as `read_body_by_h11` does."""
    decoder, data = ChunkedBody(BODY_LIMIT, HEAD_LIMIT), bytearray()
    state = BodyState.NEEDS_BYTES
    for position, piece in enumerate(pieces):
        data += piece
        try:
            state = decoder.feed(data)
            while state is BodyState.NEEDS_TURN:
                state = decoder.feed(data)
        except MalformedRequestError as exc:
            fault = "too long" if exc.status == 413 else "malformed"
            return fault, bytes(decoder.body), b""
        held.append((len(decoder.body), len(data), len(piece)))
        if state is BodyState.WHOLE:
            rest = bytes(data) + join(pieces[position + 1 :])
            return check_trailers(decoder, rest)
    return "partial", bytes(decoder.body), b""


def check_trailers(decoder, rest):
    """Lets h11 check the trailers, as the server does."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(CHUNKED_HEAD + b"0\r\n" + decoder.trailers)
    try:
        conn.next_event()
        conn.next_event()
    except h11.RemoteProtocolError:
        return "malformed", bytes(decoder.body), b""
    return "whole", bytes(decoder.body), rest


@given("generated bodies in chunks, sound and malformed")
def generated_bodies(context):
    context.held = []


def run_examples(count, test, *generated):
    """Runs a test on generated examples, the same ones each time."""
    settings = hypothesis.settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    settings(hypothesis.given(*generated)(test))()


@then("{count:d} of them give the same body, rest and fault in any cuts")
def check_bodies(context, count):
    kinds = set()

    def test(sound, edits, cuts):
        data = edit(sound, edits)
        expected = read_body_by_h11(data)
        found = read_body(cut(data, cuts), context.held)
        kinds.add(found[0])
        if found[0] == "too long":
            # Refused at the size of the chunk: the reference waits for it.
            assert expected[0] != "whole" or len(expected[1]) > BODY_LIMIT
            assert expected[1].startswith(found[1])
            return
        assert found == expected, (data, found, expected)

    run_examples(count, test, SOUND_BODIES, EDITS, CUTS)
    assert kinds == {"whole", "partial", "malformed", "too long"}, kinds


@then("no decoder holds more than its limit and one piece")
def check_held(context):
    assert len(context.held) > 1_000, len(context.held)
    for body, rest, piece in context.held:
        assert body <= BODY_LIMIT, body
        assert rest <= HEAD_LIMIT + MAX_SIZE_LINE_BYTES + piece, rest


@attrs.define
class PiecesStream:
    """A connection whose caller sends pieces and then closes its side.

    Attributes:
        pieces: What it sends.
        sent: What the server has sent.
    """

    pieces: list[bytes]
    sent: bytes = b""

    def extra(self, attribute, default=None):
        """Returns no attribute."""
        return default

    async def receive(self, most=65_536):
        """Returns the next piece."""
        await anyio.lowlevel.checkpoint()
        while self.pieces:
            if piece := self.pieces.pop(0):
                return piece
        raise anyio.EndOfStream

    async def send(self, data):
        """Takes what the server sends."""
        await anyio.lowlevel.checkpoint()
        self.sent += data

    async def send_eof(self):
        """Ends what the server sends."""

    async def aclose(self):
        """Closes the connection."""


def read_by_server(pieces):
    """Returns the requests that the server read, and its statuses."""
    read = []
    stream = PiecesStream(list(pieces))

    async def handle(req, responder):
        read.append((req.method, req.target, req.headers, req.body))
        await responder.send(Answer(status=200))

    async def run():
        limits = CallerLimits(body_bytes=BODY_LIMIT)
        server = InboundServer(handle, Clock(), lambda: limits)
        await InboundConnection(server, stream).run()

    anyio.run(run)
    return read, statuses_of(stream.sent)


def statuses_of(data):
    """Returns the statuses of answers without a body."""
    heads = [h for h in data.split(b"\r\n\r\n") if h]
    return [int(h.split(b" ")[1]) for h in heads]


def read_by_h11(data):
    """Returns the requests in bytes that arrive at once, as h11 reads them.

    Returns:
        The requests, and whether the next one is refused.
    """
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=10**9)
    conn.receive_data(data)
    read = []
    while True:
        try:
            req = read_next_by_h11(conn)
        except (h11.RemoteProtocolError, ValueError):
            return read, True
        if req is None:
            return read, False
        read.append(req)
        conn.send(h11.Response(status_code=200, headers=[]))
        conn.send(h11.EndOfMessage())
        if conn.our_state is not h11.DONE:
            return read, False
        conn.start_next_cycle()


def read_next_by_h11(conn):
    """Returns the next request, None if it is not whole.

    Raises:
        ValueError: Its body is too long, or framed in two ways.
        h11.RemoteProtocolError: It is malformed.
    """
    head = conn.next_event()
    if not isinstance(head, h11.Request):
        # A line that cannot begin a request is refused before its end.
        if conn.trailing_data[0][:1] == b" ":
            raise ValueError(conn.trailing_data[0])
        return None
    headers = tuple(head.headers)
    length = find_header(headers, b"content-length")
    if length and find_header(headers, b"transfer-encoding"):
        raise ValueError("framed in two ways")
    if int(length or 0) > BODY_LIMIT:
        raise ValueError("too long")
    body = b""
    while True:
        match conn.next_event():
            case h11.Data(data=part):
                body += part
                if len(body) > BODY_LIMIT:
                    raise ValueError("too long")
            case h11.EndOfMessage():
                return head.method, head.target, headers, body
            case _:
                return None


def request_of(method, headers, body, is_chunked):
    lines = join(headers)
    if is_chunked:
        lines += b"Transfer-Encoding: chunked\r\n\r\n"
        chunks = [
            chunk_of(body[i : i + 7], b"") for i in range(0, len(body), 7)
        ]
        return method + lines + join(chunks) + b"0\r\n\r\n"
    return method + lines + b"Content-Length: %d\r\n\r\n" % len(body) + body


REQUESTS = strategies.builds(
    request_of,
    strategies.sampled_from(
        (b"POST /a HTTP/1.1\r\n", b"GET / HTTP/1.1\r\n", b"PUT /x HTTP/1.0\r\n")
    ),
    strategies.lists(
        strategies.sampled_from(
            (
                *(b"Y: " + b"y" * 80 + b"\n", b"X:\r\n", b"X: a\r\n b\r\n"),
                *(b"Connection: close\r\n", b"Content-Length: 3\r\n"),
                b"Expect: 100-continue\r\n",
            )
        ),
        max_size=4,
    ).map(lambda lines: [b"Host: h\r\n", *lines]),
    strategies.binary(max_size=60),
    strategies.booleans(),
)
STREAMS = strategies.tuples(
    strategies.lists(REQUESTS, max_size=3).map(join), JUNK
).map(join)


@given("generated requests, sound and malformed")
def generated_requests(context):
    pass


@then("{count:d} of them give the same requests and refusals in any cuts")
def check_requests(context, count):
    seen = set()

    def test(sound, edits, cuts):
        data = edit(sound, edits)
        at_once = read_by_server([data])
        in_cuts = read_by_server(cut(data, cuts))
        assert in_cuts[0] == at_once[0], (data, in_cuts, at_once)
        refused = [
            bool([s for s in x[1] if s >= 400]) for x in (at_once, in_cuts)
        ]
        assert refused[0] == refused[1], (data, in_cuts, at_once)
        expected = read_by_h11(data)
        assert at_once[0] == expected[0], (data, at_once, expected)
        assert refused[0] == expected[1], (data, at_once, expected)
        seen.add((len(at_once[0]) > 1, refused[0]))

    run_examples(count, test, STREAMS, EDITS, CUTS)
    assert len(seen) == 4, seen


@when(
    "a head of {size:d} bytes in {lines:d} lines arrives in pieces of {piece:d}"
)
def head_arrives(context, size, lines, piece):
    head = b"a:b\r\n" * (lines - 1)
    head = b"x" * (size - len(head) - 2) + head + b"\r\n"
    finder, data = MessageEnd(), bytearray()
    context.outcome = "partial"
    for start in range(0, size, piece):
        data += head[start : start + piece]
        try:
            if finder.find(data, HEAD_LIMIT) is not None:
                context.outcome = "whole"
        except MalformedRequestError as exc:
            assert exc.status == 431, exc.status
            context.outcome = "refused"
        if context.outcome != "partial":
            break
    context.arrived = len(data)


@then("it is {found} once {count:d} bytes have arrived at the most")
def check_head(context, found, count):
    assert context.outcome == found, context.outcome
    assert context.arrived <= count, context.arrived
