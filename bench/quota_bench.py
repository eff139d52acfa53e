"""Measures the decision on a request's quota at a proxy.

`python -m bench.quota_bench` prints microseconds for each kind of decision with
2,300 customers, and the work of a member for each question.
"""

import itertools
import statistics
import time
from collections.abc import Callable

from knapweedarch.quota_messages import (
    QuotaAsk,
    QuotaDemand,
    QuotaGrant,
    QuotaShare,
    WeightRun,
)
from knapweedarch.quota_mint import QuotaMint
from knapweedarch.quota_shares import QuotaShares
from knapweedarch.quotas import (
    Quota,
    QuotaBounds,
    QuotaUnit,
    customer_digest,
    request_weight,
)

CUSTOMERS = 2_300
ROUNDS = 7
REQUESTS = 5_000
BOUNDS = QuotaBounds(8.0, 0.1, 110_000.0)
QUOTA = Quota(100_000.0, 50_000.0, QuotaUnit.TOKENS, 100.0)
WEIGHT_TOKENS = 9_190


def _names() -> list[str]:
    return [f"customer-{number}" for number in range(CUSTOMERS)]


def _create_shares(names: list[str]) -> QuotaShares:
    shares = QuotaShares(BOUNDS)
    shares.set_quotas(dict.fromkeys(names, QUOTA))
    return shares


def _fill(shares: QuotaShares, tokens: float) -> None:
    """Grants tokens to every customer."""
    for name in _names():
        shares.spend(name, 1.0, 0.0)
    while ask := shares.take_ask(0.0):
        entries = tuple(
            QuotaShare(demand.customer, tokens) for demand in ask.demands
        )
        shares.receive(QuotaGrant(ask.number, entries), 0.01)


def _exhaust(shares: QuotaShares) -> None:
    """Lets every customer be refused for a second."""
    for name in _names():
        shares.spend(name, 1.0, 0.0)
    while ask := shares.take_ask(0.0):
        entries = tuple(
            QuotaShare(demand.customer, 0.0, 1.0, 1.0) for demand in ask.demands
        )
        shares.receive(QuotaGrant(ask.number, entries), 0.01)


def _median_us(prepare: Callable[[], QuotaShares]) -> float:
    """Returns the median time of one decision in microseconds."""
    times = []
    names = _names()
    for _ in range(ROUNDS):
        shares = prepare()
        customers = list(itertools.islice(itertools.cycle(names), REQUESTS))
        began = time.perf_counter()
        for name in customers:
            weight = request_weight(shares.quota(name), WEIGHT_TOKENS)
            shares.spend(name, weight, 0.02)
        times.append((time.perf_counter() - began) / REQUESTS * 1e6)
    return statistics.median(times)


def _allowed() -> QuotaShares:
    shares = _create_shares(_names())
    _fill(shares, 1e6)
    return shares


def _refused() -> QuotaShares:
    shares = _create_shares(_names())
    _exhaust(shares)
    return shares


def _member_us() -> float:
    """Returns the median time of a member for a question, in microseconds."""
    times = []
    digests = [customer_digest(name) for name in _names()]
    for _ in range(ROUNDS):
        mint = QuotaMint(BOUNDS)
        mint.set_quotas(dict.fromkeys(_names(), QUOTA), 0.0)
        mint.set_fraction(0.2, 5, 0.0)
        began = time.perf_counter()
        for number, digest in enumerate(digests):
            demand = QuotaDemand(digest, (WeightRun(100.0, 1),))
            mint.receive_ask("proxy", QuotaAsk(number, (demand,)), 0.5)
            mint.take_grants()
        times.append((time.perf_counter() - began) / len(digests) * 1e6)
    return statistics.median(times)


def main() -> None:
    """Prints the figures."""
    cases = {
        "allowed with local tokens": _median_us(_allowed),
        "refused as exhausted": _median_us(_refused),
        "has to wait": _median_us(lambda: _create_shares(_names())),
        "question of one request at a member": _member_us(),
    }
    print(f"{CUSTOMERS} customers, median of {ROUNDS} rounds")
    for name, micros in cases.items():
        print(f"{name:40} {micros:6.2f} us")


if __name__ == "__main__":
    main()
