"""Digests by which requests are compared without their contents."""

from collections.abc import Sequence

import attrs
import xxhash

from knapweedarch.prompt_parts import Prompt
from knapweedarch.quarantine_messages import part_digest

# Longer prompts are judged by as many leading blocks.
MAX_GUARDED_BLOCKS = 24


@attrs.frozen
class RequestDigests:
    """What a request has in common with others.

    Attributes:
        request: Digest of caller, path and body. Copies of a request have the
            same, whatever their ids.
        parts: Digests of the parts of its prompt that others may share, in
            order.
    """

    request: int
    parts: tuple[int, ...] = ()


def request_digest(caller: str, target: str, body: bytes) -> int:
    """Returns the hash that stands for all copies of a request.

    Args:
        caller: Name of the customer; empty if none is known.
        target: Method, host, path and query.
        body: The complete body.
    """
    digest = xxhash.xxh32(f"{caller}\0{target}\0".encode())
    digest.update(body)
    return digest.intdigest()


def part_digests(prompt: Prompt | None) -> tuple[int, ...]:
    """Returns the digests of the parts that other prompts may share."""
    if prompt is None:
        return ()
    return tuple(part_digest(prompt.model, i) for i in prompt.shared_ids)


def block_digests(model: str, blocks: Sequence[int]) -> tuple[int, ...]:
    """Returns the digests of the first blocks of a prompt.

    Args:
        model: Name of the model.
        blocks: Chained hashes of the blocks; see `prefixes`.
    """
    leading = blocks[:MAX_GUARDED_BLOCKS]
    return tuple(part_digest(model, f"{block:x}") for block in leading)
