"""Estimates how fast runners prefill prompts, from the times of first events.

The time from sending a request to its first event grows with the prompt tokens
that its runner has to prefill before. A line is fitted to recent requests of
each model: its slope is the time per token, its value at 0 tokens the time that
every request takes.
"""

import attrs

from knapweedarch.exponential import decay_factor

# Assumed before any request was seen, and limits of the estimate.
ASSUMED_TOKENS_S = 30_000.0
TOKENS_RANGE_S = (1_000.0, 1_000_000.0)
ASSUMED_BASE_S = 0.05
MAX_BASE_S = 1.0
# Tokens and weight of the samples that stand for the assumption.
ASSUMED_SAMPLE_TOKENS = (0.0, 10_000.0)
ASSUMED_WEIGHT = 4.0
# Time after which a sample counts half. Speed depends on the load.
HALF_LIFE_S = 20.0
# A sample may be this many times the expected time; a longer one shows a
# stalled runner and not its speed.
MAX_SURPRISE = 3.0


@attrs.define
class _Fit:
    """Decayed sums for a line through (tokens, seconds)."""

    weight: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    tokens_squared: float = 0.0
    product: float = 0.0
    decayed_at: float = 0.0

    def add(self, tokens: float, seconds: float, weight: float = 1.0) -> None:
        """Adds a sample."""
        self.weight += weight
        self.tokens += weight * tokens
        self.seconds += weight * seconds
        self.tokens_squared += weight * tokens * tokens
        self.product += weight * tokens * seconds

    def decay(self, now: float) -> None:
        """Lets earlier samples count less."""
        factor = decay_factor(now - self.decayed_at, HALF_LIFE_S)
        self.weight *= factor
        self.tokens *= factor
        self.seconds *= factor
        self.tokens_squared *= factor
        self.product *= factor
        self.decayed_at = now


@attrs.frozen
class PrefillRate:
    """Speed at which the runners of a model prefill.

    Attributes:
        tokens_s: Prompt tokens per second.
        base_s: Time to the first event without tokens to prefill, in seconds.
    """

    tokens_s: float = ASSUMED_TOKENS_S
    base_s: float = ASSUMED_BASE_S

    def expected_s(self, tokens: float) -> float:
        """Returns the expected time to the first event, in seconds."""
        return self.base_s + tokens / self.tokens_s


class PrefillRates:
    """Estimates by model."""

    def __init__(self) -> None:
        self._fits: dict[str, _Fit] = {}
        self._rates: dict[str, PrefillRate] = {}

    def rate(self, model: str) -> PrefillRate:
        """Returns the current estimate for a model."""
        return self._rates.get(model, _ASSUMED_RATE)

    def record(
        self, model: str, tokens: int, seconds: float, now: float
    ) -> None:
        """Records the first event of a request.

        Args:
            model: Model of the request.
            tokens: Tokens that its runner had to prefill up to this event,
                those of earlier requests included.
            seconds: Time since the request was sent.
            now: Seconds on the router's clock.
        """
        limit_s = MAX_SURPRISE * self.rate(model).expected_s(tokens)
        fit = self._fits.setdefault(model, _Fit(decayed_at=now))
        fit.decay(now)
        fit.add(tokens, min(seconds, limit_s))
        self._rates[model] = _fit_line(fit)


_ASSUMED_RATE = PrefillRate()


def _fit_line(fit: _Fit) -> PrefillRate:
    """Fits a line to the samples and to those that stand for the assumption."""
    total = attrs.evolve(fit)
    for tokens in ASSUMED_SAMPLE_TOKENS:
        total.add(tokens, _ASSUMED_RATE.expected_s(tokens), ASSUMED_WEIGHT)
    mean_tokens = total.tokens / total.weight
    mean_s = total.seconds / total.weight
    variance = total.tokens_squared / total.weight - mean_tokens**2
    covariance = total.product / total.weight - mean_tokens * mean_s
    least, most = TOKENS_RANGE_S
    s_per_token = min(max(covariance / variance, 1 / most), 1 / least)
    base_s = min(max(mean_s - mean_tokens * s_per_token, 0.0), MAX_BASE_S)
    return PrefillRate(1 / s_per_token, base_s)
