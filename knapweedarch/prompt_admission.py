"""Decides which prompts are refused while runners cannot read them in time.

Waiting prompts make those behind them late, and the answers that are generated
beside them. Large prompts that would miss the latency goal are therefore
refused at once; refusing small ones would hardly shorten the wait.
"""

import collections
import itertools

import attrs

from knapweedarch.exponential import decay_factor

# Time for which the wait of a prompt that was read counts.
RECENT_S = 1.0
# Time after which the size of a prompt counts half.
SIZE_HALF_LIFE_S = 10.0
# A prompt is large from this fraction of the average on, in which each token
# counts and not each prompt.
LARGE_FRACTION = 0.5


@attrs.define(eq=False)
class Waiting:
    """A prompt that was sent and not read yet.

    Attributes:
        sent_at: When it was sent, in seconds on the router's clock.
        expected_s: Time to the first event that was expected then.
    """

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

    def start(self, now: float, expected_s: float) -> Waiting:
        """Records that a prompt is sent."""
        waiting = Waiting(now, expected_s)
        self._waiting.add(waiting)
        return waiting

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
