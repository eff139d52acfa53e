"""Retry budget, back-off and endpoint health."""

import math
import random
import statistics
from collections.abc import Mapping, Sequence

import attrs


@attrs.frozen
class RetryConfig:
    """Configuration of retries, ejection and slow start.

    Durations are in seconds.

    Attributes:
        ratio: Retries allowed per first attempt.
        reserve: Retries allowed without preceding first attempts; also the
            maximum of the budget.
        max_retries_per_request: Maximum number of retries of one request.
        back_off_s: Mean of the first back-off; doubles with each retry.
        max_back_off_s: Upper bound of the mean back-off.
        ejection_s: Duration of the first ejection; doubles with each further
            one.
        max_ejection_s: Upper bound of the ejection time before jitter.
        failures: Number of consecutive failures that eject an endpoint.
        slow_factor: Ratio of an endpoint's lateness to the median of all
            endpoints of its model above which it is ejected.
        slow_floor_s: Lateness below which no endpoint counts as slow.
        samples: First tokens required before an endpoint can count as slow.
        slow_start_s: Duration of slow start.
    """

    ratio: float = 0.1
    reserve: float = 10.0
    max_retries_per_request: int = 3
    back_off_s: float = 0.05
    max_back_off_s: float = 1.0
    ejection_s: float = 3.0
    max_ejection_s: float = 30.0
    failures: int = 3
    slow_factor: float = 3.0
    slow_floor_s: float = 0.25
    samples: int = 5
    slow_start_s: float = 4.0


class RetryBudget:
    """Limits retries to a fraction of the first attempts."""

    def __init__(self, cfg: RetryConfig):
        self._cfg = cfg
        self._tokens = cfg.reserve

    def record_first_attempt(self) -> None:
        """Counts a first attempt, which adds a fraction of a retry."""
        self._tokens = min(self._cfg.reserve, self._tokens + self._cfg.ratio)

    def try_spend(self) -> bool:
        """Spends one retry; returns whether the budget allowed it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def back_off_s(cfg: RetryConfig, retry: int, rng: random.Random) -> float:
    """Draws the delay before a retry, between 0.5 and 1.5 times its mean.

    Args:
        cfg: Retry configuration.
        retry: Number of the retry; 1 for the first retry of a request.
        rng: Seeded source of the jitter, which desynchronizes routers.
    """
    mean = min(cfg.max_back_off_s, cfg.back_off_s * 2 ** (retry - 1))
    return mean * rng.uniform(0.5, 1.5)


def slow_start_fraction(
    cfg: RetryConfig, started_at: float, now: float
) -> float:
    """Returns the allowed fraction of a runner's occupancy limit, 0.25 to 1."""
    return min(1.0, 0.25 + 0.75 * (now - started_at) / cfg.slow_start_s)


@attrs.define
class _Health:
    failures: int = 0
    lateness_s: float = 0.0
    samples: int = 0
    ejected_until: float = -math.inf
    ejections: int = 0


class HealthTable:
    """Tracks failures and lateness of endpoints and ejects outliers."""

    def __init__(self, cfg: RetryConfig, rng: random.Random):
        self._cfg = cfg
        self._rng = rng
        self._health: dict[str, _Health] = {}

    def reset(self, endpoint_id: str) -> None:
        """Clears the health state of an endpoint."""
        self._health.pop(endpoint_id, None)

    def record_failure(
        self, endpoint_id: str, peers: Sequence[str], now: float
    ) -> None:
        """Records a failed attempt; ejects after consecutive failures."""
        health = self._get(endpoint_id)
        health.failures += 1
        if health.failures >= self._cfg.failures:
            self._eject(endpoint_id, peers, now)

    def record_success(
        self,
        endpoint_id: str,
        lateness_s: float,
        peers: Sequence[str],
        now: float,
    ) -> None:
        """Records a first token and averages its lateness; ejects if slow.

        Args:
            endpoint_id: The endpoint.
            lateness_s: Actual less expected time to the first token, in
                seconds; negative values count as 0.
            peers: Ids of all endpoints of the same model.
            now: Time of the router's clock in seconds.
        """
        health = self._get(endpoint_id)
        health.failures = 0
        health.samples += 1
        health.lateness_s += 0.3 * (max(0.0, lateness_s) - health.lateness_s)
        if health.samples >= self._cfg.samples and self._is_slow(health, peers):
            self._eject(endpoint_id, peers, now)

    def is_ejected(self, endpoint_id: str, now: float) -> bool:
        """Returns whether an endpoint is ejected and gets no new work."""
        health = self._health.get(endpoint_id)
        return health is not None and now < health.ejected_until

    def _get(self, endpoint_id: str) -> _Health:
        return self._health.setdefault(endpoint_id, _Health())

    def _is_slow(self, health: _Health, peers: Sequence[str]) -> bool:
        others: Mapping[str, _Health] = self._health
        known = [others[p].lateness_s for p in peers if p in others]
        median = statistics.median(known) if known else 0.0
        bound = max(self._cfg.slow_floor_s, self._cfg.slow_factor * median)
        return health.lateness_s > bound

    def _eject(
        self, endpoint_id: str, peers: Sequence[str], now: float
    ) -> None:
        """Ejects an endpoint if at most a third of `peers` is then ejected.

        `peers` are the endpoints of the same model, including this one.
        """
        ejected_peers = sum(
            self.is_ejected(p, now) for p in peers if p != endpoint_id
        )
        if ejected_peers + 1 > len(peers) // 3:
            return
        cfg, health = self._cfg, self._get(endpoint_id)
        duration_s = min(
            cfg.max_ejection_s, cfg.ejection_s * 2**health.ejections
        )
        health.ejected_until = now + duration_s * self._rng.uniform(0.8, 1.2)
        health.ejections += 1
        health.failures = health.samples = 0
        health.lateness_s = 0.0
