"""Routers, members and endpoints that name limits, in virtual time."""

import collections
import random

import attrs

from knapweedarch.control_messages import CONTROL
from knapweedarch.endpoint_rates import create_endpoint_limits
from knapweedarch.rate_relay import RateRelay

STEP_S = 0.05
MESSAGE_DELAY_S = 0.05
RATES_BYTES_S = 2_000


@attrs.define
class Sent:
    """A request that was sent to an endpoint.

    Attributes:
        at: When it was sent.
        endpoint: Number of the endpoint.
    """

    at: float
    endpoint: int


class LimitWorld:
    """Routers, members and endpoints.

    Attributes:
        now: The time in seconds.
        limits: Limit that each endpoint names; None if it names none.
        sent: All requests that were sent.
        allowed: Number of requests that callers and limits allowed.
        refused: Times of requests that no endpoint took.
        bytes_to: Bytes received by each router.
        is_shared: Whether members answer.
    """

    def __init__(self, routers: int, members: int, runners: int, seed: int):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.limits: list[float | None] = [None] * runners
        self.sent: list[Sent] = []
        self.allowed = 0.0
        self.refused: list[float] = []
        self.bytes_to: collections.Counter[int] = collections.Counter()
        self.is_shared = True
        self._members = [RateRelay() for _ in range(members)]
        self._due_at = [0.0] * members
        self.routers = [
            create_endpoint_limits(seed + i) for i in range(routers)
        ]
        for router in self.routers:
            router.set_router_count(routers)
        self._answers: list = []
        self._messages: list = []

    def run(self, demand_per_s: float, seconds: float) -> None:
        """Lets callers send for a time."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            whole, rest = divmod(demand_per_s * STEP_S, 1.0)
            for _ in range(int(whole) + (self.rng.random() < rest)):
                self._send()
            capacity = demand_per_s
            if None not in self.limits:
                capacity = min(capacity, sum(self.limits))
            self.allowed += capacity * STEP_S
            self._deliver()
            self._report()

    def restart_router(self, number: int) -> None:
        """Restarts a router, which subscribes again."""
        router = create_endpoint_limits(1000 + number)
        router.set_router_count(len(self.routers))
        self.routers[number] = router
        member = self._members[number % len(self._members)]
        self._post_router(number, member.known(self.now))

    def _send(self) -> None:
        number = self.rng.randrange(len(self.routers))
        router = self.routers[number]
        router.is_shared = self.is_shared
        usable = [
            e
            for e in range(len(self.limits))
            if router.is_empty or not router.wait_s(e, self.now)
        ]
        if not usable:
            self.refused.append(self.now)
            return
        endpoint = self.rng.choice(usable)
        router.record_sent(endpoint, self.now)
        self.sent.append(Sent(self.now, endpoint))
        answer_at = self.now + self.rng.uniform(0.05, 0.4)
        self._answers.append((answer_at, number, endpoint))

    def _deliver(self) -> None:
        due = [a for a in self._answers if a[0] <= self.now]
        self._answers = [a for a in self._answers if a[0] > self.now]
        for _, number, endpoint in due:
            self.routers[number].record_named(
                endpoint, self.limits[endpoint], self.now
            )
        messages = [m for m in self._messages if m[0] <= self.now]
        self._messages = [m for m in self._messages if m[0] > self.now]
        for _, deliver, data in messages:
            deliver(CONTROL.decode(data))

    def _report(self) -> None:
        if not self.is_shared:
            return
        for number, router in enumerate(self.routers):
            if rates := router.take_rates():
                member = number % len(self._members)
                self._post_member(member, ("router", number), rates, False)
        for number, relay in enumerate(self._members):
            if relay.has_news and self.now >= self._due_at[number]:
                self._pass_on(number, relay)

    def _pass_on(self, number: int, relay: RateRelay) -> None:
        rates = relay.news_for_members()
        for other in range(len(self._members)):
            if other != number and rates.entries:
                self._post_member(other, ("member", number), rates, True)
        longest = 0
        members = len(self._members)
        for router in range(number, len(self.routers), members):
            news = relay.news_for(("router", router))
            longest = max(longest, self._post_router(router, news))
        relay.clear()
        self._due_at[number] = self.now + longest / RATES_BYTES_S

    def _post_router(self, number: int, rates) -> int:
        data = CONTROL.encode(rates)
        self.bytes_to[number] += len(data)
        self._post(
            lambda message: self.routers[number].receive(message, self.now),
            data,
        )
        return len(data)

    def _post_member(self, number, sender, rates, is_member) -> None:
        self._post(
            lambda message: self._members[number].receive(
                sender, message, is_member, self.now
            ),
            CONTROL.encode(rates),
        )

    def _post(self, deliver, data: bytes) -> None:
        self._messages.append((self.now + MESSAGE_DELAY_S, deliver, data))
