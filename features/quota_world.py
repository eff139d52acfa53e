"""Proxies and members that share quotas in virtual time, without a network."""

import heapq
import itertools
import random

import attrs

from knapweedarch.quota_messages import (
    QuotaAsk,
    QuotaBorrow,
    QuotaGrant,
    QuotaLoan,
)
from knapweedarch.quota_mint import QuotaMint
from knapweedarch.quota_rights import MintingRights
from knapweedarch.quota_shares import (
    Decision,
    QuotaShares,
    Ticket,
    ask_interval_s,
)
from knapweedarch.quotas import Quota, QuotaBounds

# As in `quota_client` and `quota_relay`.
WAIT_S = 0.15
BACKUP_AFTER_S = 0.05
TICK_S = 0.02
# One-way delays in a data centre and between two.
NEAR_S = 0.0005
FAR_S = 0.0045


@attrs.define
class Outcome:
    """What became of one request.

    Attributes:
        at: When it was decided, in seconds.
        weight: Its weight.
        decision: The decision.
        retry_s: Seconds after which it may be sent again.
        waited_s: Seconds that it waited.
        proxy: Number of the proxy.
    """

    at: float
    weight: float
    decision: Decision
    retry_s: float
    waited_s: float
    proxy: int


@attrs.define(eq=False)
class SimProxy:
    """A proxy: its shares, its member and when it may ask."""

    number: int
    shares: QuotaShares
    member: int
    next_ask_at: float = 0.0
    flush_due: bool = False
    is_cut: bool = False
    frozen_until: float = 0.0
    generation: int = 0


@attrs.define(eq=False)
class SimMember:
    """A member: its mint, and whether it runs and hears from the others."""

    number: int
    mint: QuotaMint
    rights: MintingRights
    frozen_until: float = 0.0
    generation: int = 0
    is_isolated: bool = False


class QuotaWorld:
    """Events in virtual time.

    Attributes:
        now: Current time in seconds.
        outcomes: What became of all requests.
        asks: Number of ask messages by proxy.
    """

    def __init__(
        self,
        quota: Quota,
        bounds: QuotaBounds,
        proxies: int,
        members: int = 5,
        seed: int = 1,
    ):
        self.now = 0.0
        self.outcomes: list[Outcome] = []
        self.asks: dict[int, int] = {}
        self.loss = 0.0
        self.random = random.Random(seed)
        self.quotas = {"huts": quota}
        self.bounds = bounds
        self._events: list = []
        self._order = itertools.count()
        self.cut_members: set[frozenset[int]] = set()
        self.has_leader = True
        self.voters = frozenset(map(str, range(members)))
        self.members = [self._new_member(n) for n in range(members)]
        self.proxies: list[SimProxy] = []
        for _ in range(proxies):
            self.add_proxy()
        self.at(0.0, self._tick)

    def _new_member(self, number: int) -> SimMember:
        mint = QuotaMint(self.bounds)
        mint.set_quotas(self.quotas, self.now)
        rights = MintingRights(str(number))
        rights.note_group(self.voters, self.now)
        return SimMember(number, mint, rights)

    def add_proxy(self) -> SimProxy:
        """Adds a proxy that uses the members in turn."""
        number = len(self.proxies)
        shares = QuotaShares(self.bounds)
        shares.set_quotas(self.quotas)
        proxy = SimProxy(number, shares, number % len(self.members))
        self.proxies.append(proxy)
        return proxy

    def _apply_group(self, member: SimMember) -> None:
        """Tells a member of the group, unless it hears from no other."""
        if not member.is_isolated:
            member.rights.note_group(self.voters, self.now)
            if self.has_leader:
                member.rights.note_leader(self.now)
        rights = member.rights.current(self.now)
        member.mint.set_fraction(rights.fraction, rights.voters, self.now)
        member.mint.set_lenders(
            str(o.number) for o in self.members if o is not member
        )

    def at(self, time: float, action, *args) -> None:
        """Schedules an action."""
        heapq.heappush(self._events, (time, next(self._order), action, args))

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = until

    def set_quota(self, quota: Quota) -> None:
        """Replaces the quota at all processes."""
        self.quotas = {"huts": quota}
        for member in self.members:
            member.mint.set_quotas(self.quotas, self.now)
        for proxy in self.proxies:
            proxy.shares.set_quotas(self.quotas)

    def restart_member(self, number: int) -> None:
        """Starts a member anew, with empty buckets."""
        old = self.members[number]
        new = self._new_member(number)
        new.generation, new.is_isolated = old.generation + 1, old.is_isolated
        self.members[number] = new
        for proxy in self.proxies:
            if proxy.member == number:
                proxy.shares.ask_again("huts")
                self._flush_soon(proxy)

    def restart_proxy(self, number: int) -> None:
        """Starts a proxy anew, without tokens."""
        proxy = self.proxies[number]
        proxy.generation += 1
        proxy.shares = QuotaShares(self.bounds)
        proxy.shares.set_quotas(self.quotas)

    def replace_member(self, number: int) -> None:
        """Isolates a member and makes a new one a voter in its place."""
        self.members[number].is_isolated = True
        new = len(self.members)
        spare = self._new_member(new)
        # It was a learner of the group before.
        spare.rights.note_group(self.voters, self.now)
        self.voters = (self.voters - {str(number)}) | {str(new)}
        self.members.append(spare)

    def is_frozen(self, process: SimProxy | SimMember) -> bool:
        """Returns whether a process is frozen."""
        return self.now < process.frozen_until

    def _run_at(self, process, action, *args) -> bool:
        """Puts an action of a frozen process off; returns whether it did."""
        if not self.is_frozen(process):
            return False
        self.at(process.frozen_until, action, *args)
        return True

    def request(self, number: int, weight: float) -> None:
        """A caller's request arrives at a proxy."""
        self._request(self.proxies[number], weight, self.now)

    def _request(self, proxy: SimProxy, weight: float, began: float) -> None:
        if self._run_at(proxy, self._request, proxy, weight, began):
            return
        ticket = proxy.shares.spend("huts", weight, self.now)
        started = self.now
        if ticket.decision is Decision.WAITING:
            ticket.on_decided = lambda: self._record(proxy, ticket, started)
            self.at(self.now + WAIT_S, self._time_out, proxy, ticket, started)
            self.at(self.now + BACKUP_AFTER_S, self._back_up, proxy, ticket)
        else:
            self._record(proxy, ticket, started)
        self._flush_soon(proxy)

    def _record(self, proxy: SimProxy, ticket: Ticket, began: float) -> None:
        self.outcomes.append(
            Outcome(
                *(self.now, ticket.weight, ticket.decision, ticket.retry_s),
                *(self.now - began, proxy.number),
            )
        )

    def _time_out(self, proxy: SimProxy, ticket: Ticket, began: float) -> None:
        if self._run_at(proxy, self._time_out, proxy, ticket, began):
            return
        if ticket.decision is Decision.WAITING:
            proxy.shares.cancel(ticket, self.now)
            ticket.decision = Decision.UNAVAILABLE
            self._record(proxy, ticket, began)

    def _back_up(self, proxy: SimProxy, ticket: Ticket) -> None:
        """Asks another member if the proxy's own has not answered."""
        if ticket.decision is not Decision.WAITING or proxy.is_cut:
            return
        if self._run_at(proxy, self._back_up, proxy, ticket):
            return
        member = self.members[proxy.member]
        if self.is_frozen(member) or self.loss:
            others = [m for m in self.members if m is not member]
            proxy.shares.ask_again("huts")
            ask = proxy.shares.take_ask(self.now)
            if ask is not None and others:
                self._send_ask(proxy, self.random.choice(others), ask)

    def _flush_soon(self, proxy: SimProxy) -> None:
        if proxy.shares.has_questions and not proxy.flush_due:
            proxy.flush_due = True
            self.at(max(self.now, proxy.next_ask_at), self._flush, proxy)

    def _flush(self, proxy: SimProxy) -> None:
        if self._run_at(proxy, self._flush, proxy):
            return
        proxy.flush_due = False
        ask = proxy.shares.take_ask(self.now)
        if ask is None:
            return
        proxy.next_ask_at = self.now + ask_interval_s(ask)
        self._send_ask(proxy, self.members[proxy.member], ask)
        self._flush_soon(proxy)

    def _send_ask(
        self, proxy: SimProxy, member: SimMember, ask: QuotaAsk
    ) -> None:
        self.asks[proxy.number] = self.asks.get(proxy.number, 0) + 1
        if proxy.is_cut or self.random.random() < self.loss:
            return
        key = (member.generation, proxy.generation)
        self.at(
            self.now + NEAR_S, self._get_ask, proxy, member.number, ask, key
        )

    def _get_ask(self, proxy, number, ask: QuotaAsk, key) -> None:
        member = self.members[number]
        if self._run_at(member, self._get_ask, proxy, number, ask, key):
            return
        if member.generation != key[0]:
            return
        self._apply_group(member)
        member.mint.receive_ask((proxy.number, key[1]), ask, self.now)
        self._send_of(member)

    def _send_of(self, member: SimMember) -> None:
        """Sends what a member has to say."""
        for (number, generation), grant in member.mint.take_grants():
            proxy = self.proxies[number]
            if proxy.is_cut or self.random.random() < self.loss:
                continue
            self.at(
                self.now + NEAR_S, self._get_grant, proxy, generation, grant
            )
        for name, borrow in member.mint.take_borrows(self.now):
            self._send_between(
                member, int(name), self._get_borrow, member.number, borrow
            )

    def _send_between(self, sender, receiver: int, action, *args) -> None:
        pair = frozenset((sender.number, receiver))
        isolated = sender.is_isolated or self.members[receiver].is_isolated
        if (
            isolated
            or pair in self.cut_members
            or self.random.random() < self.loss
        ):
            return
        generation = self.members[receiver].generation
        self.at(self.now + FAR_S, action, receiver, generation, *args)

    def _get_grant(self, proxy, generation, grant: QuotaGrant) -> None:
        if self._run_at(proxy, self._get_grant, proxy, generation, grant):
            return
        if proxy.generation == generation:
            proxy.shares.receive(grant, self.now)

    def _get_borrow(self, number, generation, sender, borrow: QuotaBorrow):
        member = self.members[number]
        if self._run_at(
            *(member, self._get_borrow, number, generation, sender, borrow)
        ):
            return
        if member.generation != generation:
            return
        self._apply_group(member)
        loan = member.mint.receive_borrow(str(sender), borrow, self.now)
        self._send_between(member, sender, self._get_loan, number, loan)

    def _get_loan(self, number, generation, sender, loan: QuotaLoan) -> None:
        member = self.members[number]
        if self._run_at(
            *(member, self._get_loan, number, generation, sender, loan)
        ):
            return
        if member.generation == generation:
            member.mint.receive_loan(str(sender), loan, self.now)
            self._send_of(member)

    def _tick(self) -> None:
        for member in self.members:
            if not self.is_frozen(member):
                self._apply_group(member)
                member.mint.tick(self.now)
                self._send_of(member)
        self.at(self.now + TICK_S, self._tick)

    def demand(self, begin, end, rate, weights, choose, fits=None) -> None:
        """Schedules requests of a steady demand.

        Args:
            begin: First time in seconds.
            end: Last time in seconds.
            rate: Weight a second.
            weights: Weights; all occur equally often.
            choose: Returns the proxy at a time.
            fits: Rate and burst; requests beyond them are not sent. None for
                no limit.
        """
        level, filled_at = (fits[1] if fits else 0.0), begin
        mean_s = sum(weights) / len(weights) / rate
        time, deck = begin, []
        while time < end:
            deck = deck or self.random.sample(weights, len(weights))
            weight = deck.pop()
            if fits:
                level = min(fits[1], level + (time - filled_at) * fits[0])
                filled_at = time
            if not fits or weight <= level:
                level -= weight
                self.at(time, self.request, choose(time), weight)
            time += mean_s * self.random.uniform(0.5, 1.5)

    def allowed(self, begin: float, end: float) -> float:
        """Returns the weight allowed in a time."""
        return sum(
            o.weight
            for o in self.outcomes
            if o.decision is Decision.ALLOWED and begin <= o.at < end
        )

    def largest_window(self) -> float:
        """Returns the largest weight that was allowed in one window."""
        spent = [
            (o.at, o.weight)
            for o in sorted(self.outcomes, key=lambda o: o.at)
            if o.decision is Decision.ALLOWED
        ]
        largest, total, first = 0.0, 0.0, 0
        for at, weight in spent:
            total += weight
            while spent[first][0] < at - self.bounds.window_s:
                total -= spent[first][1]
                first += 1
            largest = max(largest, total)
        return largest

    def bound(self, quota: Quota | None = None) -> float:
        """Returns the largest weight that is allowed in one window."""
        quota = quota or self.quotas["huts"]
        bounds = self.bounds
        normal = quota.rate_per_s * bounds.window_s + quota.burst
        return normal * (1 + bounds.over) + bounds.slack
