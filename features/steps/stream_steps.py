"""Steps for the validation and the resume of token streams."""

import contextlib
import json
import random

import attrs
from behave import given, then, when

from knapweedarch.streams import (
    MAX_RESUME_CHARS,
    Chunk,
    SseDecoder,
    StreamProtocolError,
    StreamState,
    parse_event,
)

REQUEST_ID = "request-1"
MAX_ATTEMPTS = 4


def token_text(offset: int) -> str:
    return f"t{offset} "


def whole_text(tokens: int) -> str:
    return "".join(token_text(offset) for offset in range(tokens))


@attrs.define
class Caller:
    """Response that one caller received."""

    text: str = ""
    whole: bool = False
    error: bool = False
    attempts: int = 0
    resumed_at: list[int] = attrs.field(factory=list)


def token_event(attempt_id: str, offset: int, tokens: int, **fields) -> dict:
    text = "".join(token_text(o) for o in range(offset, offset + tokens))
    choice = {"delta": {"content": text}, "finish_reason": None}
    return {
        "request_id": REQUEST_ID,
        "attempt_id": attempt_id,
        "offset": offset,
        "tokens": tokens,
        "choices": [choice],
        **fields,
    }


def faultless_events(rng, attempt_id: str, start: int, end: int) -> list[dict]:
    """Builds the events of a faultless attempt, without the `[DONE]` marker."""
    events, offset = [], start
    while offset < end:
        tokens = min(rng.randint(1, 4), end - offset)
        events.append(token_event(attempt_id, offset, tokens))
        offset += tokens
    finish = token_event(attempt_id, end, 0, usage={"completion_tokens": end})
    finish["choices"] = [{"delta": {}, "finish_reason": "stop"}]
    return [*events, finish]


def faulty_events(rng, events: list[dict], fault: str) -> list:
    """Adds the `[DONE]` marker to the events and applies a fault, if any.

    Most faults are at a random index, the others at the end of the stream.
    `"DONE"` stands for the marker, `"garbage"` for an event of invalid JSON.
    """
    items = [*events, "DONE"]
    last = len(events) - 1
    index = rng.randrange(max(1, last))
    match fault:
        case "break":
            return items[:index]
        case "repeat":
            return [*items[: index + 1], *items[index:]]
        case "gap":
            return items[:index] + items[index + 1 :]
        case "swap" if last > 1:
            index = min(index, last - 2)
            pair = [items[index + 1], items[index]]
            return items[:index] + pair + items[index + 2 :]
        case "no_finish":
            return items[:last]
        case "no_done":
            return items[:-1]
        case "early_done":
            return [*items[:index], "DONE"]
        case "late_token":
            late = token_event(
                events[0]["attempt_id"], events[last]["offset"], 1
            )
            return [*items[:-1], late, "DONE"]
        case "wrong_usage":
            wrong = {"completion_tokens": events[last]["offset"] + 1}
            return [*items[:last], {**events[last], "usage": wrong}, "DONE"]
        case "crossed":
            foreign = [
                {"delta": {"content": "foreign "}, "finish_reason": None}
            ]
            crossed = {**items[index], "choices": foreign}
            crossed["attempt_id"] = "other/9"
            return [*items[:index], crossed, *items[index + 1 :]]
        case "error":
            return [*items[:index], {"error": {"reason": "engine"}}]
        case "garbage":
            return [*items[:index], "garbage", *items[index:]]
    return items


def encode(items: list) -> bytes:
    lines = []
    for item in items:
        match item:
            case "DONE":
                lines.append(b"data: [DONE]\n\n")
            case "garbage":
                lines.append(b'data: {"offset": \n\n')
            case _:
                lines.append(b"data: " + json.dumps(item).encode() + b"\n\n")
    return b"".join(lines)


def split_randomly(rng, data: bytes, max_size: int) -> list[bytes]:
    """Splits bytes into parts of random size."""
    parts = []
    while data:
        size = rng.randint(1, max_size)
        parts.append(data[:size])
        data = data[size:]
    return parts


def relay_attempt(rng, state: StreamState, caller: Caller, data: bytes):
    """Feeds the bytes of one attempt as the router does.

    Raises:
        StreamProtocolError: The router would abandon the attempt here.
    """
    decoder = SseDecoder()
    for data_part in split_randomly(rng, data, 400):
        for item in decoder.feed(data_part):
            parsed = parse_event(item)
            if state.accept(parsed):
                caller.text += parsed.text
            if state.finish is not None:
                return
    state.end()


def relay_attempts(
    seed: int, tokens: int, faults: list[str], first_faultless: int
) -> Caller:
    """Relays attempts until one is complete, at most `MAX_ATTEMPTS`.

    Attempts are counted from 0; those from number `first_faultless` on have no
    fault.
    """
    rng = random.Random(seed)
    state, caller = StreamState(REQUEST_ID), Caller()
    for number in range(MAX_ATTEMPTS):
        attempt_id = f"router/{number}"
        state.begin(attempt_id)
        caller.attempts += 1
        if state.started:
            caller.resumed_at.append(state.offset)
        fault = rng.choice(faults) if number < first_faultless else ""
        events = faultless_events(rng, attempt_id, state.offset, tokens)
        data = encode(faulty_events(rng, events, fault))
        try:
            relay_attempt(rng, state, caller, data)
        except StreamProtocolError:
            continue
        caller.whole = True
        return caller
    caller.error = True
    return caller


@given("an answer of {tokens:d} tokens and seeds {first:d} to {last:d}")
def set_answer_and_seeds(context, tokens, first, last):
    context.tokens, context.seeds = tokens, range(first, last + 1)


@when('each seed relays attempts with the faults "{faults}"')
def relay_with_faults(context, faults):
    # The third attempt has no fault, so that a resume can succeed.
    context.callers = [
        relay_attempts(seed, context.tokens, faults.split(","), 2)
        for seed in context.seeds
    ]


@when("each seed relays attempts that all break")
def relay_all_break(context):
    context.callers = [
        relay_attempts(seed, context.tokens, ["break"], MAX_ATTEMPTS)
        for seed in context.seeds
    ]


@when("the first attempt ends without the [DONE] marker")
def relay_no_done(context):
    context.callers = [relay_attempts(1, context.tokens, ["no_done"], 1)]


@then("every caller has a whole text or an explicit error")
def check_whole_or_error(context):
    whole = whole_text(context.tokens)
    for caller in context.callers:
        assert whole.startswith(caller.text), caller
        assert caller.whole != caller.error, caller
        assert not caller.whole or caller.text == whole, caller


@then("at least {count:d} callers have a whole text after a resume")
def check_whole_after_resume(context, count):
    found = sum(c.whole and bool(c.resumed_at) for c in context.callers)
    assert found >= count, found


@then("no caller has a whole text")
def check_none_whole(context):
    assert not any(caller.whole for caller in context.callers)


@then("the second attempt starts at offset {offset:d}")
def check_second_attempt_offset(context, offset):
    assert context.callers[0].resumed_at == [offset], context.callers


@given("a stream whose text exceeds the resume limit")
def accept_text_over_limit(context):
    context.state = state = StreamState(REQUEST_ID)
    state.begin("router/1")
    part = "x" * (MAX_RESUME_CHARS // 4)
    for offset in range(6):
        state.accept(Chunk(REQUEST_ID, "router/1", offset, 1, part, b""))


@then("the stream cannot be resumed")
def check_not_resumable(context):
    assert not context.state.resumable


@then("its kept text is within the resume limit")
def check_kept_text_limit(context):
    assert len(context.state.text) <= MAX_RESUME_CHARS


@given("a stream of at most {count:d} tokens")
def create_stream(context, count):
    context.state = StreamState("r", count)
    context.state.begin("a")


@when("its runner goes on with {events}")
def go_on(context, events):
    tokens = 1 if events == "tokens" else 0
    context.events = 0
    with contextlib.suppress(StreamProtocolError):
        while context.events < 10_000:
            context.events += 1
            offset = context.state.offset
            text = "x" * tokens
            context.state.accept(Chunk("r", "a", offset, tokens, text, b""))


@then("the stream is given up after at most {count:d} events")
def check_given_up(context, count):
    assert context.events <= count, context.events
