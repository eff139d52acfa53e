"""Measures the decision of `fair_admission` about one request.

`python -m bench.fair_admission` prints microseconds of processor time by number
of customers. The search for runners with room is measured by itself: it is part
of the loop over the runners that chooses one.
"""

import random
import time

from knapweedarch.fair_admission import (
    Ask,
    FairAdmission,
    create_fair_admission,
)
from knapweedarch.relay_messages import EndpointLoad, endpoint_digest
from knapweedarch.runner_room import RoomLimits, RoomSearch
from knapweedarch.usage_messages import usage_digest

CUSTOMERS = (16, 300, 2_300)
RUNNERS = 70
REQUESTS = 20_000
SERVICE = "models"
REFRESH_S = 0.05


def fill(admission: FairAdmission, digests: list[int]) -> None:
    """Records requests of two classes, one of which finds no room."""
    for priority in (1, 2):
        demand = admission.demand(SERVICE, priority)
        for number, digest in enumerate(digests):
            now = number * 1e-4
            demand.record_request(9_000, 1.0, 4.0, now)
            demand.record_sent(9_000, 9_000, 3_000, now)
            admission.usage.record_offered(demand.pool, digest, 9_000, now)
            admission.usage.record_admitted(demand.pool, digest, 4_000, now)


def search_room(loads: list[EndpointLoad], limits: RoomLimits) -> RoomSearch:
    """Looks for room at all runners."""
    search = RoomSearch(limits, 9_000, 100_000)
    for load in loads:
        search.admits(load, 12)
    return search


def measure(customers: int) -> tuple[float, float, float]:
    """Returns the microseconds of a decision, a search and a refresh."""
    rng, admission = random.Random(1), create_fair_admission(1)
    digests = [usage_digest("customer", n) for n in range(customers)]
    fill(admission, digests)
    loads = [
        EndpointLoad(endpoint_digest(f"r{n}"), 11, 20_000, 90_000)
        for n in range(RUNNERS)
    ]
    demand, now = admission.demand(SERVICE, 2), 1.0
    demand.contended_at = now
    limits = admission.limits(SERVICE, 2, 12, 80_000.0, 0.0, True, now)
    search = search_room(loads, limits)
    spent_s = refresh_s = 0.0
    refreshes = 0
    for number in range(REQUESTS):
        if number % 500 == 0:
            now += 2 * REFRESH_S
            began = time.process_time()
            admission.refresh(now)
            refresh_s += time.process_time() - began
            refreshes += 1
        ask = Ask(demand, rng.choice(digests), 9_000, 1.0, 4.0, 0.1, True, True)
        began = time.process_time()
        admission.limits(SERVICE, 2, 12, 80_000.0, 0.0, True, now)
        admission.is_over_share(demand, ask.customer, now)
        admission.decide(SERVICE, ask, search, now)
        spent_s += time.process_time() - began
    began = time.process_time()
    for _ in range(200):
        search_room(loads, limits)
    search_s = (time.process_time() - began) / 200
    return (
        spent_s / REQUESTS * 1e6,
        search_s * 1e6,
        refresh_s / refreshes * 1e6,
    )


def main() -> None:
    """Prints the measurements."""
    for customers in CUSTOMERS:
        decision, search, refresh = measure(customers)
        print(
            f"{customers:5} customers: decision {decision:.1f} us, search of"
            f" {RUNNERS} runners {search:.0f} us, refresh {refresh:.0f} us"
        )


if __name__ == "__main__":
    main()
