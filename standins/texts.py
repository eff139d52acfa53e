"""Deterministic answers of the stand-in runners.

All runners give the same answer to a prompt with the same weights version.
"""

import json

import xxhash

_WORDS = (
    *("snow", "ridge", "hut", "stove", "cloud", "trail", "path", "wind"),
    *("stone", "river", "page", "seal", "paper", "thread", "spine", "cover"),
    *("ink", "fold", "caption", "light", "morning", "evening", "north"),
)


def prompt_digest(messages: object, version: str) -> int:
    """Returns the 64-bit digest of a prompt and a weights version."""
    data = json.dumps([messages, version], sort_keys=True).encode()
    return xxhash.xxh3_64_intdigest(data)


def token(digest: int, offset: int) -> str:
    """Returns the token at an offset of the answer."""
    value = xxhash.xxh3_64_intdigest(offset.to_bytes(8, "big"), seed=digest)
    return _WORDS[value % len(_WORDS)] + f"{value % 97} "


def text(messages: object, version: str, start: int, end: int) -> str:
    """Returns the tokens of an answer from `start` up to `end` as text."""
    digest = prompt_digest(messages, version)
    return "".join(token(digest, offset) for offset in range(start, end))
