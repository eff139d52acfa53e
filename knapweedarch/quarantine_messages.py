"""Messages about requests and parts of prompts that crash endpoints.

Routers report crashes and sound parts to the member that they subscribe to;
members pass these reports on to each other, and tell their routers which parts
are held back. A whole request counts as the deepest part of its prompt, also if
it has no other.
"""

from collections.abc import Iterable

import attrs
import xxhash

# Depth of a whole request, which is below all parts of its prompt.
REQUEST_DEPTH = 255
# Largest number of parts in the report of one crash: those of all requests that
# were under way at one endpoint.
MAX_CRASHED_PARTS = 128
# Largest number of entries of one kind in a message.
MAX_ENTRIES = 32


@attrs.frozen
class CrashedPart:
    """A part of a request that was under way at a runner when it crashed.

    Attributes:
        part: Digest of the part; see `part_digest`.
        depth: Place of the part in its prompt, from 0; `REQUEST_DEPTH` for a
            whole request.
        answered: Whether the runner had begun an answer to the request, and no
            event of it was complete.
    """

    part: int
    depth: int
    answered: bool

    @property
    def is_request(self) -> bool:
        """Whether this is a whole request."""
        return self.depth == REQUEST_DEPTH


@attrs.frozen
class CrashReport:
    """Parts of the requests that were under way at a runner that crashed.

    Attributes:
        runner: Digest of the runner's incarnation; see `runner_digest`.
        age_s: Seconds since the crash.
        parts: Parts of the requests that may have caused it.
    """

    runner: int
    age_s: float
    parts: tuple[CrashedPart, ...]


@attrs.frozen
class SoundPart:
    """A part of a request that was answered.

    Attributes:
        part: Digest of the part.
        age_s: Seconds since the answer.
    """

    part: int
    age_s: float


@attrs.frozen
class HeldPart:
    """A part that is held back: requests with it are not sent to runners.

    Attributes:
        part: Digest of the part.
        left_s: Seconds for which it is still held back.
        holds: How often it was held back so far, this time included.
    """

    part: int
    left_s: float
    holds: int


@attrs.frozen
class PartReports:
    """What a router has seen, or what a member's routers have seen.

    Attributes:
        crashes: Crashes of runners.
        sound: Watched parts of requests that were answered.
        held: Parts that the sender holds back.
    """

    crashes: tuple[CrashReport, ...] = ()
    sound: tuple[SoundPart, ...] = ()
    held: tuple[HeldPart, ...] = ()


@attrs.frozen
class PartNotices:
    """What a member tells its routers.

    Attributes:
        watched: Parts of which the routers shall report sound requests; this
            replaces the earlier ones.
        held: Parts that are held back.
        released: Parts that are not held back any more.
    """

    watched: tuple[int, ...] = ()
    held: tuple[HeldPart, ...] = ()
    released: tuple[int, ...] = ()


def part_digest(model: str, part_id: str) -> int:
    """Returns the hash that stands for a part of a model's prompts."""
    return xxhash.xxh32_intdigest(f"{model}\0{part_id}".encode())


def runner_digest(endpoint_id: str, incarnation: str) -> int:
    """Returns the hash that stands for one incarnation of a runner."""
    return xxhash.xxh32_intdigest(f"{endpoint_id}\0{incarnation}".encode())


def merge_parts(
    *groups: Iterable[CrashedPart], most: int = MAX_CRASHED_PARTS
) -> tuple[CrashedPart, ...]:
    """Merges the parts of one crash; those with an answer are kept first."""
    found: dict[int, CrashedPart] = {}
    for group in groups:
        for part in group:
            known = found.get(part.part)
            if known is None or (part.answered, part.depth) > (
                known.answered,
                known.depth,
            ):
                found[part.part] = part
    ranked = sorted(found.values(), key=lambda p: (not p.answered, -p.depth))
    return tuple(ranked[:most])
