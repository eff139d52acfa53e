"""Decides which prompts are refused while runners cannot read them in time.

Waiting prompts make those behind them late, and the answers that are generated
beside them. Large prompts that would miss the latency goal are therefore
refused at once; refusing small ones would hardly shorten the wait.
"""

import collections
import itertools

import attrs

from knapweedarch.endpoint_choice import EndpointChooser
from knapweedarch.exponential import decay_factor
from knapweedarch.models import Endpoint
from knapweedarch.prompt_parts import Prompt

# Time for which the wait of a prompt that was read counts.
RECENT_S = 1.0
# Time after which the size of a prompt counts half.
SIZE_HALF_LIFE_S = 10.0
# A prompt is large from this fraction of the average on, in which each token
# counts and not each prompt.
LARGE_FRACTION = 0.5
# Expected time to the first event up to which new long prompts are sent, as a
# multiple of the route's latency goal.
ADMITTED_GOALS = 1.0


@attrs.define(eq=False)
class Waiting:
    """A prompt that was sent and not read yet.

    Attributes:
        model: Model of the request.
        sent_at: When it was sent, in seconds on the router's clock.
        expected_s: Time to the first event that was expected then.
    """

    model: str
    sent_at: float
    expected_s: float

    def excess_s(self, now: float) -> float:
        """Returns by how much the expected time is exceeded at `now`."""
        return now - self.sent_at - self.expected_s


class PromptWaits:
    """How much longer than expected large prompts wait at the moment.

    Runners may lack memory or slots, or be slowed by other work, which the
    speed at which they read does not show.
    """

    def __init__(self) -> None:
        self._waiting: set[Waiting] = set()
        self._recent: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def start(self, waiting: Waiting) -> None:
        """Records that a prompt is sent."""
        self._waiting.add(waiting)

    def end(self, waiting: Waiting, now: float, was_read: bool) -> None:
        """Records that a prompt was read, or that its attempt has ended."""
        self._waiting.discard(waiting)
        if was_read:
            self._recent.append((now, waiting.excess_s(now)))

    def excess_s(self, now: float) -> float:
        """Returns the average excess of recent and waiting prompts.

        A waiting prompt counts only once it takes longer than expected.
        """
        while self._recent and self._recent[0][0] < now - RECENT_S:
            self._recent.popleft()
        overdue = (
            excess_s
            for waiting in self._waiting
            if (excess_s := waiting.excess_s(now)) > 0
        )
        found = [
            max(0.0, excess_s)
            for excess_s in itertools.chain(
                overdue, (excess_s for _, excess_s in self._recent)
            )
        ]
        return sum(found) / len(found) if found else 0.0


class PromptSizes:
    """Average size of recent prompts, weighted by their tokens."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._tokens_squared = 0.0
        self._decayed_at = 0.0

    def record(self, tokens: int, now: float) -> None:
        """Records a prompt."""
        factor = decay_factor(now - self._decayed_at, SIZE_HALF_LIFE_S)
        self._tokens = factor * self._tokens + tokens
        self._tokens_squared = factor * self._tokens_squared + tokens**2
        self._decayed_at = now

    def is_large(self, tokens: int) -> bool:
        """Returns whether a prompt is one of those that cause most work."""
        return tokens * self._tokens >= LARGE_FRACTION * self._tokens_squared


@attrs.frozen
class Refusal:
    """Why a prompt is refused.

    Attributes:
        ahead_tokens: Tokens that its runner has to prefill before it.
        wait_s: How much longer than expected large prompts wait.
        expected_s: Expected time to its first event.
        excess_s: Time by which that is too long.
    """

    ahead_tokens: int
    wait_s: float
    expected_s: float
    excess_s: float


class PromptAdmission:
    """Refuses large prompts that would miss their goal; see this module.

    Args:
        chooser: Knows the load and the speed of the runners.
    """

    def __init__(self, chooser: EndpointChooser):
        self._chooser = chooser
        self._sizes: dict[str, PromptSizes] = collections.defaultdict(
            PromptSizes
        )
        self._waits: dict[str, PromptWaits] = collections.defaultdict(
            PromptWaits
        )

    def decide(
        self,
        endpoint: Endpoint,
        prompt: Prompt,
        unread_tokens: int,
        goal_s: float,
        now: float,
    ) -> Refusal | None:
        """Returns why a new request is refused, or None if it is admitted.

        A request that would not wait for others is admitted, however long its
        own prompt takes.

        Args:
            endpoint: The best runner for it.
            prompt: Its prompt.
            unread_tokens: Tokens of it that the runner has to prefill.
            goal_s: Latency goal of its route, in seconds.
            now: Seconds on the router's clock.
        """
        sizes = self._sizes[prompt.model]
        sizes.record(prompt.tokens, now)
        if not sizes.is_large(prompt.tokens):
            return None
        wait_s = self._waits[prompt.model].excess_s(now)
        ahead_tokens = self._chooser.tokens_ahead(endpoint)
        if not ahead_tokens and not wait_s:
            return None
        expected_s = wait_s + self._chooser.prefill_s(
            prompt, ahead_tokens + unread_tokens
        )
        # One prompt may always wait behind another of the same length, since
        # the runner would otherwise idle between them.
        limit_s = max(
            ADMITTED_GOALS * goal_s,
            self._chooser.prefill_s(prompt, 2 * unread_tokens),
        )
        if expected_s <= limit_s:
            return None
        return Refusal(ahead_tokens, wait_s, expected_s, expected_s - limit_s)

    def start(
        self, endpoint: Endpoint, prompt: Prompt, unread_tokens: int, now: float
    ) -> Waiting | None:
        """Records that a request is sent.

        Returns:
            What `end` needs; None for small prompts, which are not observed.
        """
        if not self._sizes[prompt.model].is_large(prompt.tokens):
            return None
        expected_s = self._chooser.expected_first_event_s(
            endpoint, prompt, unread_tokens
        )
        waiting = Waiting(prompt.model, now, expected_s)
        self._waits[prompt.model].start(waiting)
        return waiting

    def end(self, waiting: Waiting, now: float, was_read: bool) -> None:
        """Records that a prompt was read, or that its attempt has ended."""
        self._waits[waiting.model].end(waiting, now, was_read)
