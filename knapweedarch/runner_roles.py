"""Divides runners between long prompts and answers that are being generated.

A runner reads a long prompt between the tokens of the answers that it
generates, which delays each of them. In each data centre some runners are
therefore preferred for prompts, and the others for answers. All routers compute
the same order of the runners without a message; how many are preferred for
answers follows from the work that each router has seen.
"""

from collections.abc import Hashable, Sequence

import attrs
import xxhash

from knapweedarch.exponential import decay_factor
from knapweedarch.models import Endpoint
from knapweedarch.prompt_parts import Prompt

# Time to generate one token, assumed for the comparison of both kinds of work;
# it depends on the load and matters little there.
TOKEN_S = 0.006
# Requests whose answers a runner generates at once, as a fraction of its slots,
# before it takes noticeably longer.
GOOD_BATCH_FRACTION = 0.5
# Time after which observed work counts half.
WORK_HALF_LIFE_S = 15.0
# Runner seconds of each kind of work assumed before any request was seen.
ASSUMED_WORK_S = 0.5


@attrs.define
class WorkMix:
    """Work of recent requests, in seconds of one runner.

    Attributes:
        prompt_s: Work of prefilling prompts.
        answer_s: Work of generating answers.
    """

    prompt_s: float = ASSUMED_WORK_S
    answer_s: float = ASSUMED_WORK_S
    decayed_at: float | None = None

    def record(
        self,
        prompt: Prompt,
        unread_tokens: int,
        tokens_s: float,
        slots: int,
        now: float,
    ) -> None:
        """Adds the work of a request.

        Args:
            prompt: Its prompt.
            unread_tokens: Prompt tokens that its runner has to prefill.
            tokens_s: Prompt tokens that a runner prefills per second.
            slots: Requests that a runner can run at once.
            now: Seconds on the router's clock.
        """
        elapsed_s = 0.0 if self.decayed_at is None else now - self.decayed_at
        factor = decay_factor(elapsed_s, WORK_HALF_LIFE_S)
        batch = max(1.0, GOOD_BATCH_FRACTION * slots)
        self.prompt_s = factor * self.prompt_s + unread_tokens / tokens_s
        answer_s = prompt.max_tokens * TOKEN_S / batch
        self.answer_s = factor * self.answer_s + answer_s
        self.decayed_at = now

    @property
    def answer_share(self) -> float:
        """Share of the work that is generating answers."""
        return self.answer_s / (self.answer_s + self.prompt_s)


def is_prompt_heavy(prompt: Prompt, tokens_s: float) -> bool:
    """Returns whether a request is more prefill than generation."""
    return prompt.tokens / tokens_s > prompt.max_tokens * TOKEN_S


class RunnerRoles:
    """Which of the usable runners are preferred for answers."""

    def __init__(self) -> None:
        self._key: Hashable = None
        self._for_answers: frozenset[str] = frozenset()

    def mismatched(
        self, endpoints: Sequence[Endpoint], answer_share: float, heavy: bool
    ) -> frozenset[str]:
        """Returns the ids of the runners preferred for the other kind.

        Args:
            endpoints: Usable runners.
            answer_share: Share of the work that is generating answers.
            heavy: Whether the request is mostly prefill.
        """
        groups = _by_data_centre(endpoints)
        key = tuple(
            (_answer_count(len(group), answer_share), *(e.id for e in group))
            for group in groups
        )
        if key != self._key:
            self._key = key
            self._for_answers = frozenset(
                runner_id
                for group in groups
                for runner_id in _first_ids(
                    group, _answer_count(len(group), answer_share)
                )
            )
        if heavy:
            return self._for_answers
        grouped = {e.id for group in groups for e in group}
        return frozenset(grouped - self._for_answers)


def _by_data_centre(endpoints: Sequence[Endpoint]) -> list[list[Endpoint]]:
    """Groups runners; a single runner of a data centre serves both kinds."""
    groups: dict[str, list[Endpoint]] = {}
    for endpoint in endpoints:
        groups.setdefault(endpoint.data_centre, []).append(endpoint)
    return [group for group in groups.values() if len(group) > 1]


def _answer_count(runners: int, answer_share: float) -> int:
    """Returns how many runners are preferred for answers, at least one."""
    return min(max(1, round(runners * answer_share)), runners - 1)


def _first_ids(group: Sequence[Endpoint], count: int) -> list[str]:
    ids = [e.id for e in group]
    return sorted(ids, key=lambda i: xxhash.xxh3_64_intdigest(i.encode()))[
        :count
    ]
