"""Quotas of customers: weights of requests, depth of buckets, lifetimes."""

import enum

import attrs
import xxhash

# Longest time that tokens exist outside a bucket, and the shortest, which must
# last for a question to a member and one from there to another data centre.
MAX_LIFETIME_S = 1.0
MIN_LIFETIME_S = 0.4
# Part of the lifetime that tokens have at a proxy. Members need the rest, to
# collect tokens for a heavy request.
SHARE_PART = 0.3
# A bucket holds at least what its quota mints in this time, if the bounds allow
# it. Proxies that were refused ask again within this time.
DEPTH_S = 1.0
# A bucket also holds this many of the heaviest requests, if the bounds allow
# it: tokens would overflow while the members gather them for one request.
DEPTH_REQUESTS = 2.0
# Part of the tolerance of the bound that depth may take; the rest is minted.
DEPTH_PART = 0.5


class QuotaUnit(str, enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen
class Quota:
    """Quota of a customer over all proxies.

    Attributes:
        rate_per_s: Weight a second; above 0.
        burst: Weight that may be requested at once beyond the rate.
        unit: What the weight of a request is.
        plain_weight: Weight of a request that names no tokens, with `TOKENS`.
    """

    rate_per_s: float
    burst: float = 0.0
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_weight: float = 1.0


@attrs.frozen
class QuotaBounds:
    """Bound of the weight that runs in any window.

    It is `(rate_per_s * window_s + burst) * (1 + over) + slack`. Without a
    window there is no bound, and nothing beyond rate and burst is granted.

    Attributes:
        window_s: Length of the window in seconds; 0 if there is no bound.
        over: Allowed excess as a fraction.
        slack: Allowed excess as a weight.
    """

    window_s: float = 0.0
    over: float = 0.0
    slack: float = 0.0


@attrs.frozen
class QuotaPlan:
    """How a quota is kept within its bound.

    Attributes:
        rate_per_s: Weight that all members together mint in a second.
        depth: Usual depth of all buckets together.
        deepest: Largest depth of all buckets together.
        share_s: Lifetime of tokens at a proxy, in seconds.
        loan_s: Lifetime of tokens lent to another member, in seconds.
    """

    rate_per_s: float
    depth: float
    deepest: float
    share_s: float
    loan_s: float

    def depth_for(self, heaviest: float) -> float:
        """Returns the depth where the heaviest request has a given weight."""
        return min(self.deepest, max(self.depth, DEPTH_REQUESTS * heaviest))


def create_plan(quota: Quota, bounds: QuotaBounds) -> QuotaPlan:
    """Chooses the lifetime of tokens and the depth of the buckets.

    In any window at most `rate * (window + lifetime) + deepest` is spent. Where
    the bound leaves no depth for one request, less is minted instead.
    """
    rate = quota.rate_per_s
    normal = rate * bounds.window_s + quota.burst
    tolerance = 0.0
    if bounds.window_s:
        tolerance = bounds.over * normal + bounds.slack
    lifetime_s = (tolerance or quota.burst) / (2 * rate)
    lifetime_s = min(MAX_LIFETIME_S, max(MIN_LIFETIME_S, lifetime_s))
    deepest = quota.burst + tolerance - rate * lifetime_s
    if bounds.window_s:
        # Refusing what the bound allows gains nothing, so what the depth
        # leaves of it is minted.
        deepest = min(deepest, quota.burst + DEPTH_PART * tolerance)
        deepest = max(deepest, quota.plain_weight)
        left = max(0.0, normal + tolerance - deepest)
        rate = left / (bounds.window_s + lifetime_s)
    deepest = max(deepest, quota.plain_weight)
    depth = min(deepest, max(quota.burst, quota.rate_per_s * DEPTH_S))
    share_s = max(MIN_LIFETIME_S / 2, lifetime_s * SHARE_PART)
    return QuotaPlan(rate, depth, deepest, share_s, lifetime_s - share_s)


def request_weight(quota: Quota, tokens: int | None) -> float:
    """Returns the weight of a request.

    Args:
        quota: Quota of its customer.
        tokens: Prompt and answer tokens that it names; None if it names none.
    """
    if quota.unit is QuotaUnit.REQUESTS:
        return 1.0
    return quota.plain_weight if tokens is None else float(tokens)


def customer_digest(name: str) -> int:
    """Returns the hash that stands for a customer in messages of quotas."""
    return xxhash.xxh3_64_intdigest(name.encode())
