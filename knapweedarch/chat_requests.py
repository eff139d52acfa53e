"""Parses and validates chat requests."""

import json

import attrs

from knapweedarch.callers import HttpCall, RefusedError
from knapweedarch.models import (
    CustomerRule,
    ModelRule,
    Priority,
    RefusalReason,
    Rules,
)

DEFAULT_MAX_TOKENS = 1024
MAX_TOKENS_LIMIT = 131_072
# Fields that the router itself sets in the request to a runner.
RESERVED_FIELDS = frozenset({"prefix_blocks", "resume"})
# Responses to requests with these fields contain more than text, which a resume
# could not continue.
UNSUPPORTED_FIELDS = frozenset({"tools", "functions", "logprobs"})


@attrs.frozen
class ChatRequest:
    """A validated chat request.

    Attributes:
        rule: Rule for the requested model.
        fields: Decoded JSON body.
        stream: Whether the response is streamed.
        max_tokens: Maximum number of tokens to generate.
        priority: Priority class of the request.
    """

    rule: ModelRule
    fields: dict[str, object]
    stream: bool
    max_tokens: int
    priority: Priority


def parse_chat(
    data: bytes, call: HttpCall, customer: CustomerRule, rules: Rules
) -> ChatRequest:
    """Validates the body and headers of a chat request.

    Raises:
        RefusedError: The request is malformed, or the customer is not allowed
            to use the model or the priority class.
    """
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise _bad_body(f"the body is not valid JSON: {exc}") from exc
    if not isinstance(fields, dict):
        raise _bad_body("the body is not a JSON object")
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _bad_body("messages must be a non-empty list")
    if not all(isinstance(m, dict) and "role" in m for m in messages):
        raise _bad_body("each message must be an object with a role")
    if reserved := RESERVED_FIELDS & fields.keys():
        raise _bad_body(f"the fields {sorted(reserved)} are set by the router")
    if unsupported := {f for f in UNSUPPORTED_FIELDS if fields.get(f)}:
        raise _bad_body(f"the fields {sorted(unsupported)} are not supported")
    if fields.get("n") not in (None, 1):
        raise _bad_body("n must be 1")
    return ChatRequest(
        _model_rule(fields.get("model"), customer, rules),
        fields,
        fields.get("stream") is True,
        _max_tokens(fields),
        _priority(call.header("x-class"), customer),
    )


def _bad_body(message: str) -> RefusedError:
    return RefusedError(RefusalReason.BAD_BODY, message)


def _model_rule(name: object, customer: CustomerRule, rules: Rules):
    rule = next((r for r in rules.models if r.name == name), None)
    if rule is None:
        raise RefusedError(
            RefusalReason.UNKNOWN_MODEL, "the model does not exist"
        )
    if customer.models and name not in customer.models:
        raise RefusedError(
            RefusalReason.NOT_ALLOWED, "this customer may not use this model"
        )
    return rule


def _max_tokens(fields: dict) -> int:
    value = fields.get("max_completion_tokens", fields.get("max_tokens"))
    if value is None:
        return DEFAULT_MAX_TOKENS
    if type(value) is not int or not 1 <= value <= MAX_TOKENS_LIMIT:
        raise _bad_body(f"max_tokens must be from 1 to {MAX_TOKENS_LIMIT}")
    return value


def _priority(name: str, customer: CustomerRule) -> Priority:
    if not name:
        return customer.priority
    try:
        priority = Priority[name.upper()]
    except KeyError as exc:
        raise _bad_body("x-class is not a priority class") from exc
    if priority < customer.priority:
        raise RefusedError(
            RefusalReason.NOT_ALLOWED,
            "this customer may not use this priority class",
        )
    return priority


def prompt_bytes(messages: list[dict]) -> bytes:
    """Encodes messages so that appending one only extends the bytes."""
    parts = []
    for message in messages:
        content = message.get("content")
        if not isinstance(content, str):
            content = json.dumps(content)
        parts.append(f"{message['role']}\0{content}\0")
    return "".join(parts).encode("utf-8", "surrogatepass")
