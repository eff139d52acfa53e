"""Chained block hashes of prompts.

Routers and runners compute the same hashes, so that cache events contain the
hashes that a router looks up. A router has no tokenizer; it counts four UTF-8
bytes as one token, so that a block of 2,048 tokens has 8,192 bytes.
"""

from collections.abc import Iterable, Iterator

import xxhash

BLOCK_TOKENS = 2048
BYTES_PER_TOKEN = 4
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN

# Bytes hashed between two yields of `hash_steps`. One step of 1 MiB takes
# well under a millisecond, so that a long prompt does not block the event loop.
STEP_BYTES = 1 << 20


def make_salt(customer: str, model: str, weights_version: str) -> bytes:
    """Returns the hash salt of a customer, model and weights version.

    Each field is preceded by its length, so that different triples never
    produce the same salt.
    """
    fields = [part.encode() for part in (customer, model, weights_version)]
    return b"".join(len(f).to_bytes(4, "big") + f for f in fields)


def count_tokens(prompt: bytes | str) -> int:
    """Estimates the number of tokens in a prompt, rounded up."""
    data = prompt.encode() if isinstance(prompt, str) else prompt
    return -(-len(data) // BYTES_PER_TOKEN)


class BlockHasher:
    """Hashes a prompt incrementally.

    The hash of a block covers the salt and every byte up to the end of the
    block. Only full blocks are hashed, because runners share only full blocks.
    """

    def __init__(self, salt: bytes):
        self._parent = xxhash.xxh3_64_digest(salt)
        self._tail = bytearray()
        self._blocks: list[int] = []
        self._length = 0

    @property
    def blocks(self) -> tuple[int, ...]:
        """Hashes of the full blocks fed so far."""
        return tuple(self._blocks)

    @property
    def prompt_tokens(self) -> int:
        """Estimated number of tokens fed so far."""
        return -(-self._length // BYTES_PER_TOKEN)

    def feed(self, piece: bytes) -> None:
        """Hashes the next bytes of the prompt."""
        self._length += len(piece)
        view = memoryview(piece)
        if self._tail:
            missing = BLOCK_BYTES - len(self._tail)
            self._tail += view[:missing]
            view = view[missing:]
            if len(self._tail) < BLOCK_BYTES:
                return
            self._hash_block(self._tail)
            self._tail = bytearray()
        full = len(view) - len(view) % BLOCK_BYTES
        for start in range(0, full, BLOCK_BYTES):
            self._hash_block(view[start : start + BLOCK_BYTES])
        self._tail += view[full:]

    def _hash_block(self, block: bytes | bytearray | memoryview) -> None:
        state = xxhash.xxh3_64(self._parent)
        state.update(block)
        self._parent = state.digest()
        self._blocks.append(int.from_bytes(self._parent, "big"))


def hash_blocks(
    salt: bytes, prompt: bytes | str | Iterable[bytes]
) -> tuple[int, ...]:
    """Hashes the full blocks of a prompt.

    Args:
        salt: Result of `make_salt`.
        prompt: The complete prompt, or its bytes in chunks.

    Returns:
        One 64-bit hash per full block, each covering the salt and all bytes
        up to the end of its block.
    """
    hasher = BlockHasher(salt)
    match prompt:
        case str():
            hasher.feed(prompt.encode())
        case bytes():
            hasher.feed(prompt)
        case _:
            for piece in prompt:
                hasher.feed(piece)
    return hasher.blocks


def hash_steps(hasher: BlockHasher, prompt: bytes) -> Iterator[int]:
    """Feeds a long prompt to a hasher in bounded steps.

    Yields the number of bytes hashed so far after each step of `STEP_BYTES`,
    so that the caller can yield to its event loop between steps.
    """
    view = memoryview(prompt)
    for start in range(0, len(view), STEP_BYTES):
        piece = view[start : start + STEP_BYTES]
        hasher.feed(piece)
        yield start + len(piece)
