"""Retry budget, back-off, and health of endpoints."""

import math
import random
import statistics
from collections.abc import Mapping, Sequence

import attrs


@attrs.frozen
class RetryConfig:
    """Limits of retries and ejections.

    Attributes:
        ratio: Retries allowed per first attempt.
        reserve: Retries allowed without any first attempt before.
        most_per_ticket: Most retries of one request.
        back_off_s: Mean of the first back-off; it doubles with each retry.
        back_off_most_s: Upper bound of the back-off.
        eject_s: Time of the first ejection; it doubles with each further one.
        eject_most_s: Upper bound of the ejection time.
        failures: Failures in a row that eject an endpoint.
        slow_factor: Ratio of an endpoint's lateness to the median of its
            peers at which it is ejected.
        slow_floor_s: Lateness below which no endpoint counts as slow.
        samples: First tokens needed before an endpoint can count as slow.
        ramp_s: Duration of slow start.
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
    """Bounds retries to a part of the first attempts."""

    def __init__(self, cfg: RetryConfig):
        self._cfg = cfg
        self._tokens = cfg.reserve

    def record_first_attempt(self) -> None:
        """Notes a first attempt, which pays for a part of a retry."""
        self._tokens = min(self._cfg.reserve, self._tokens + self._cfg.ratio)

    def try_spend(self) -> bool:
        """Takes one retry out of the budget."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def back_off_s(cfg: RetryConfig, retry: int, rng: random.Random) -> float:
    """Draws the delay before a retry, between half and 1.5 times its mean.

    Args:
        cfg: Limits.
        retry: 1 for the first retry of a request.
        rng: Seeded source of the jitter, which keeps routers apart.
    """
    mean = min(cfg.max_back_off_s, cfg.back_off_s * 2 ** (retry - 1))
    return mean * rng.uniform(0.5, 1.5)


def slow_start_limit(cfg: RetryConfig, started_at: float, now: float) -> float:
    """Part of a runner's limit that slow start allows, 0.25 to 1."""
    return min(1.0, 0.25 + 0.75 * (now - started_at) / cfg.slow_start_s)


@attrs.define
class _Health:
    failures: int = 0
    lateness_s: float = 0.0
    samples: int = 0
    ejected_until: float = -math.inf
    ejections: int = 0


class HealthTable:
    """Failures and lateness of endpoints, and ejection of the worst."""

    def __init__(self, cfg: RetryConfig, rng: random.Random):
        self._cfg = cfg
        self._rng = rng
        self._health: dict[str, _Health] = {}

    def reset(self, endpoint_id: str) -> None:
        """Forgets what is known about an endpoint."""
        self._health.pop(endpoint_id, None)

    def record_failure(
        self, endpoint_id: str, peers: Sequence[str], now: float
    ) -> None:
        """Notes a failed attempt; ejects the endpoint after several."""
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
        """Notes a first token and how late it came.

        Args:
            endpoint_id: The endpoint.
            lateness_s: Time to the first token beyond the expected time.
            peers: All endpoints of the same model.
            now: Seconds on the router's clock.
        """
        health = self._get(endpoint_id)
        health.failures = 0
        health.samples += 1
        health.lateness_s += 0.3 * (max(0.0, lateness_s) - health.lateness_s)
        if health.samples >= self._cfg.samples and self._is_slow(health, peers):
            self._eject(endpoint_id, peers, now)

    def is_ejected(self, endpoint_id: str, now: float) -> bool:
        """Tells whether an endpoint gets no new work."""
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
        """Ejects an endpoint unless a third of its peers is ejected."""
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
