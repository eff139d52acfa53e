"""A member's part in quotas: mints, grants, lends and borrows tokens."""

import collections
import itertools
import math
from collections.abc import Hashable, Iterable, Mapping

import attrs

from knapweedarch.quota_bucket import EPSILON, Bucket
from knapweedarch.quota_lenders import REPLY_TIMEOUT_S, Lenders
from knapweedarch.quota_messages import (
    MAX_QUOTA_ENTRIES,
    Loan,
    LoanRequest,
    QuotaAsk,
    QuotaBorrow,
    QuotaDemand,
    QuotaGrant,
    QuotaLoan,
    QuotaShare,
    are_runs_valid,
    are_weights,
)
from knapweedarch.quotas import Quota, QuotaBounds, customer_digest

# Largest number of one proxy's waiting requests that are considered at once.
MAX_WAITING = 256
# Time between two messages to one member, in seconds.
BORROW_INTERVAL_S = 0.02
# A demand waits this long in seconds for other members, and for the first
# tokens of a new bucket. The proxy's caller waits for at most 0.15 s.
HOLD_S = 0.08
NEW_HOLD_S = 0.1
# Largest part of what the others may have that is borrowed without asking them
# first for what they have.
UNCHECKED = 0.125
# Times that the others are asked to lend for one demand. The second time brings
# what they had more than was known.
MAX_ROUNDS = 2
# A bucket is new for this long, in seconds.
NEW_S = 1.0
# Shortest and longest time beyond the missing tokens after which a refused
# proxy asks again. The longest is well below `quotas.DEPTH_S`, in which an
# unused bucket would overflow.
MIN_RETRY_S = 0.02
MAX_QUEUE_S = 0.25
# What is kept back from other members, in seconds of the own demand.
RESERVE_S = 0.05
# Expected demand that is borrowed ahead, in seconds.
AHEAD_S = 0.1
# It must be at least this many of the heaviest requests.
AHEAD_REQUESTS = 2.0
# Expected demand is granted ahead only while more than this part of the bucket
# is left.
PLENTY = 0.5
# A refused proxy counts among those that ask again for this long, in seconds.
KEPT_S = 0.5
# A refused proxy is expected this much later than it was told, in seconds.
RETURN_MARGIN_S = 0.1
# The times at which refused proxies ask again are spread by this fraction, of
# which no multiple comes close to another one.
GOLDEN_FRACTION = 0.618034


@attrs.define(eq=False)
class _Pending:
    """One proxy's demand for one customer.

    Attributes:
        source: The proxy.
        number: Number of its ask message.
        waiting: Weights that are not yet granted, in order.
        extra: Weight that it expects to need soon.
        since: When it arrived.
        granted: Weight granted so far.
        rounds: Times that the others were asked to lend for it, and answered.
    """

    source: Hashable
    number: int
    waiting: list[float]
    extra: float
    since: float
    granted: float = 0.0
    rounds: int = 0


@attrs.define(eq=False)
class _Account:
    """A customer's bucket and who waits for it.

    Attributes:
        digest: Hash of the customer.
        bucket: Its tokens at this member.
        lenders: What others could lend.
        pending: Demands that are not answered.
        wanted: Weight to borrow with the next messages; None if none.
        is_probing: Whether the next messages only ask for levels.
        starved: Weight that could not be served, or 0.
        starved_since: Since when it could not.
        starved_until: Until when its proxies are expected to ask again.
        asked_at: When a demand arrived for the last time.
        refused_at: When each proxy was refused for the last time.
        phase: Place of the next refused proxy among them, 0 to 1.
        round_at: When the others were asked to lend for the last time; None
            if all have answered.
        unanswered: Members that have not answered since.
    """

    digest: int
    bucket: Bucket
    lenders: Lenders = attrs.field(factory=Lenders)
    pending: list[_Pending] = attrs.field(factory=list)
    wanted: float | None = None
    is_probing: bool = False
    starved: float = 0.0
    starved_since: float = 0.0
    starved_until: float = 0.0
    asked_at: float = -math.inf
    refused_at: dict[Hashable, float] = attrs.field(factory=dict)
    phase: float = 0.0
    round_at: float | None = None
    unanswered: set[str] = attrs.field(factory=set)


@attrs.define
class _SentBorrow:
    number: int
    sent_at: float
    customers: set[int]


@attrs.define
class MintCounts:
    """Weights since the process started."""

    granted: float = 0.0
    lent: float = 0.0
    lapsed: float = 0.0
    refused: float = 0.0


class QuotaMint:
    """Buckets of all customers with a quota, at one member.

    Args:
        bounds: Bound of what may be spent.

    Attributes:
        counts: Weights granted, lent, lapsed and refused.
    """

    def __init__(self, bounds: QuotaBounds):
        self._bounds = bounds
        self._accounts: dict[int, _Account] = {}
        # Demands of customers that have no quota here yet.
        self._early: list[tuple[int, _Pending]] = []
        self._busy: set[int] = set()
        self._voters = 0
        self._fraction = 0.0
        self._lenders: set[str] = set()
        self._sent: dict[str, collections.deque[_SentBorrow]] = {}
        self._borrowed_at: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._shares: dict[tuple[Hashable, int], list[QuotaShare]] = {}
        self.counts = MintCounts()

    def set_quotas(self, quotas: Mapping[str, Quota], now: float) -> None:
        """Replaces the quotas; buckets of known customers are kept."""
        wanted = {customer_digest(n): quota for n, quota in quotas.items()}
        for digest in set(self._accounts) - set(wanted):
            self._end_account(self._accounts.pop(digest))
        for digest, quota in wanted.items():
            self._set_quota(digest, quota, now)
        self._take_early(now)

    def _set_quota(self, digest: int, quota: Quota, now: float) -> None:
        account = self._accounts.get(digest)
        if account is None:
            bucket = Bucket(quota, self._bounds, now)
            bucket.set_fraction(self._fraction, now)
            self._accounts[digest] = _Account(digest, bucket)
        elif account.bucket.quota != quota:
            account.bucket.set_quota(quota, self._bounds, now)

    def _end_account(self, account: _Account) -> None:
        for pending in account.pending:
            self._answer(pending, QuotaShare(account.digest, 0.0))
        self._busy.discard(account.digest)

    def set_fraction(self, fraction: float, voters: int, now: float) -> None:
        """Sets the part of each quota that this member mints.

        Args:
            fraction: The part; 0 while it must not mint.
            voters: Number of members that mint.
            now: Seconds on the member's clock.
        """
        self._voters = voters
        if fraction == self._fraction:
            return
        self._fraction = fraction
        for account in self._accounts.values():
            account.bucket.set_fraction(fraction, now)

    def set_lenders(self, names: Iterable[str]) -> None:
        """Replaces the names of the members that can be asked to lend."""
        names = set(names)
        if names == self._lenders:
            return
        self._lenders = names
        self._sent = {n: s for n, s in self._sent.items() if n in names}
        for account in self._accounts.values():
            account.lenders.retain(names)
            for name in account.unanswered - names:
                _end_round(account, name)

    @property
    def has_early_demands(self) -> bool:
        """Whether there are demands of customers without a quota here."""
        return bool(self._early)

    def is_waiting(self, source: Hashable) -> bool:
        """Returns whether a demand of a proxy is not answered yet."""
        return any(
            pending.source is source
            for digest in self._busy
            for pending in self._accounts[digest].pending
        )

    def remove_source(self, source: Hashable) -> None:
        """Forgets what a proxy waits for, as its link has closed."""
        for digest in list(self._busy):
            account = self._accounts[digest]
            account.pending = [p for p in account.pending if p.source != source]
        self._shares = {k: v for k, v in self._shares.items() if k[0] != source}
        self._early = [e for e in self._early if e[1].source != source]

    def receive_ask(self, source: Hashable, ask: QuotaAsk, now: float) -> None:
        """Takes a proxy's demands and grants what it can.

        Raises:
            ValueError: A number in the message is out of range.
        """
        demands = ask.demands[:MAX_QUOTA_ENTRIES]
        if not all(are_runs_valid(demand) for demand in demands):
            raise ValueError("a demand is not a finite positive weight")
        for demand in demands:
            pending = _Pending(
                *(source, ask.number, _expand(demand)),
                *(demand.extra, now),
            )
            account = self._accounts.get(demand.customer)
            if account is None:
                # The proxy may know of a new quota sooner.
                self._early.append((demand.customer, pending))
                continue
            self._add_demand(account, pending, now)
            self._decide(account, now)

    def _take_early(self, now: float) -> None:
        """Takes demands of customers whose quota has become known.

        Old ones are dropped unanswered, so that the proxy asks another member.
        """
        early, self._early = self._early, []
        for digest, pending in early:
            account = self._accounts.get(digest)
            if account is not None:
                self._add_demand(account, pending, now)
            elif now - pending.since < NEW_HOLD_S:
                self._early.append((digest, pending))

    def _add_demand(
        self, account: _Account, pending: _Pending, now: float
    ) -> None:
        bucket = account.bucket
        if pending.waiting:
            bucket.note_weight(max(pending.waiting), now)
        bucket.note_demand(sum(pending.waiting), now)
        account.asked_at = now
        account.pending.append(pending)
        self._busy.add(account.digest)

    def receive_borrow(
        self, name: str, borrow: QuotaBorrow, now: float
    ) -> QuotaLoan:
        """Lends what another member wants and this one does not need.

        Raises:
            ValueError: A number in the message is out of range.
        """
        requests = borrow.requests[:MAX_QUOTA_ENTRIES]
        for request in requests:
            numbers = (request.amount, request.starved_s, request.heaviest)
            if not are_weights(numbers):
                raise ValueError("a loan is not a finite positive weight")
        loans = [self._lend(name, request, now) for request in requests]
        return QuotaLoan(borrow.number, tuple(loans))

    def _lend(self, name: str, request: LoanRequest, now: float) -> Loan:
        account = self._accounts.get(request.customer)
        if account is None:
            return Loan(request.customer, 0.0, 0.0, is_minting=False)
        bucket = account.bucket
        if request.heaviest > bucket.heaviest(now):
            bucket.note_weight(request.heaviest, now)
        own_s = _starved_s(account, now)
        reserve = self._reserve(account, now)
        if request.starved_s > own_s:
            account.lenders.yield_to_other(now)
            reserve = 0.0
        lendable = max(0.0, bucket.available(now) - reserve)
        amount = bucket.lend(min(request.amount, lendable), now)
        lendable -= amount
        missing = min(request.amount - amount, lendable)
        aged, aged_s = bucket.lend_borrowed(missing, now)
        self.counts.lent += amount + aged
        return Loan(
            *(request.customer, amount, lendable - aged, aged, aged_s),
            is_minting=bucket.is_minting,
        )

    def _reserve(self, account: _Account, now: float) -> float:
        """Returns the weight that is kept for the own proxies."""
        if _starved_s(account, now) > 0:
            return account.bucket.available(now)
        return account.bucket.demand(now) * RESERVE_S

    def receive_loan(self, name: str, loan: QuotaLoan, now: float) -> None:
        """Takes what another member has lent; late loans are ignored.

        Raises:
            ValueError: A number in the message is out of range.
        """
        sent = self._take_sent(name, loan.number)
        if sent is None:
            return
        for entry in loan.loans[:MAX_QUOTA_ENTRIES]:
            numbers = (entry.amount, entry.left, entry.aged, entry.aged_s)
            if not are_weights(numbers):
                raise ValueError("a loan is not a finite positive weight")
            account = self._accounts.get(entry.customer)
            if account is None or entry.customer not in sent.customers:
                continue
            expires_at = sent.sent_at + account.bucket.plan.loan_s
            if now < expires_at:
                account.bucket.add_loan(entry.amount, expires_at)
            aged_until = min(expires_at, sent.sent_at + entry.aged_s)
            if now < aged_until:
                account.bucket.add_loan(entry.aged, aged_until)
            account.lenders.note(name, entry.left, entry.is_minting, now)
            _end_round(account, name)
            self._decide(account, now)

    def _take_sent(self, name: str, number: int) -> _SentBorrow | None:
        """Returns the message that a loan answers; None if it is not known."""
        for sent in self._sent.get(name, ()):
            if sent.number == number:
                self._sent[name].remove(sent)
                return sent
        return None

    def tick(self, now: float) -> None:
        """Decides on demands that wait; to be called each 20 ms."""
        self._note_silent_lenders(now)
        self._take_early(now)
        for digest in list(self._busy):
            account = self._accounts[digest]
            self._decide(account, now)
            if not account.pending and account.wanted is None:
                self._busy.discard(digest)

    def _note_silent_lenders(self, now: float) -> None:
        for name, queue in self._sent.items():
            while queue and now - queue[0].sent_at > REPLY_TIMEOUT_S:
                for digest in queue.popleft().customers & set(self._accounts):
                    self._accounts[digest].lenders.note_silent(name, now)
                    _end_round(self._accounts[digest], name)

    def _decide(self, account: _Account, now: float) -> None:
        """Grants in turn to the proxies, and answers what need not wait."""
        self._grant_waiting(account, now)
        lapsed = account.bucket.take_lapsed()
        self.counts.lapsed += lapsed
        short = [p for p in account.pending if p.waiting]
        for pending in account.pending:
            if not pending.waiting:
                self._grant_extra(account, pending, now)
                self._answer(
                    pending, QuotaShare(account.digest, pending.granted)
                )
        account.pending = short
        if not short:
            account.wanted = None
            self._borrow_ahead(account, now)
            return
        _note_starved(account, now)
        self._plan_borrowing(account, now)
        for pending in list(short):
            if not self._may_wait(account, pending, now):
                account.pending.remove(pending)
                self._refuse(account, pending, now)

    def _grant_waiting(self, account: _Account, now: float) -> None:
        """Grants whole requests, one of each proxy in turn."""
        smallest = min(
            (w for p in account.pending for w in p.waiting), default=math.inf
        )
        granted = True
        while granted:
            granted = False
            if smallest > account.bucket.available(now) + EPSILON:
                return
            for pending in account.pending:
                granted |= self._grant_one(account, pending, now)

    def _grant_one(
        self, account: _Account, pending: _Pending, now: float
    ) -> bool:
        """Grants a proxy's first request that fits; returns whether any did."""
        for place, weight in enumerate(pending.waiting):
            if account.bucket.take(weight, now):
                pending.granted += weight
                self.counts.granted += weight
                del pending.waiting[place]
                if weight + EPSILON >= account.starved:
                    account.starved = 0.0
                return True
        return False

    def _others(self, account: _Account, now: float) -> dict[str, float]:
        if account.lenders.is_yielding(now):
            return {}
        return account.lenders.estimates(
            self._lenders, account.bucket, self._voters, now
        )

    def _grant_extra(
        self, account: _Account, pending: _Pending, now: float
    ) -> None:
        """Grants what a proxy expects to need, if there is plenty."""
        bucket = account.bucket
        extra = min(pending.extra, bucket.available(now))
        total = bucket.available(now) + sum(self._others(account, now).values())
        depth = bucket.plan.depth_for(bucket.heaviest(now))
        if extra > 0 and total > PLENTY * depth and bucket.take(extra, now):
            pending.granted += extra
            self.counts.granted += extra

    def _borrow_ahead(self, account: _Account, now: float) -> None:
        """Borrows expected demand while the others have plenty."""
        bucket = account.bucket
        demand = bucket.demand(now) - bucket.rate_per_s
        expected = demand * AHEAD_S
        missing = expected - bucket.available(now)
        is_rare = expected < AHEAD_REQUESTS * bucket.heaviest(now)
        if missing <= 0 or is_rare or now - account.asked_at > AHEAD_S:
            return
        others = sum(self._others(account, now).values())
        depth = bucket.plan.depth_for(bucket.heaviest(now))
        if others > PLENTY * depth:
            account.wanted = missing
            account.is_probing = False
            self._busy.add(account.digest)

    def _plan_borrowing(self, account: _Account, now: float) -> None:
        """Decides how much to borrow for the requests that wait."""
        others = sum(self._others(account, now).values())
        available = account.bucket.available(now)
        wanted = _fitting(account.pending, available + others) - available
        if wanted <= 0 or not self._lenders:
            account.wanted = None
            return
        account.wanted = wanted
        # Others may have collected the tokens meanwhile. What is borrowed in
        # vain expires.
        account.is_probing = (
            wanted > others * UNCHECKED
            and not account.lenders.is_fresh(self._lenders, now)
        )

    def _may_wait(
        self, account: _Account, pending: _Pending, now: float
    ) -> bool:
        waited_s = now - pending.since
        if now - account.bucket.created_at < NEW_S:
            return waited_s < NEW_HOLD_S
        if waited_s >= HOLD_S or pending.rounds >= MAX_ROUNDS:
            return False
        return account.wanted is not None or account.lenders.is_yielding(now)

    def _refuse(self, account: _Account, pending: _Pending, now: float) -> None:
        """Answers a demand of which something is missing."""
        bucket = account.bucket
        weight = min(pending.waiting)
        others = sum(self._others(account, now).values())
        missing = max(0.0, weight - bucket.available(now) - others)
        rate = bucket.plan.rate_per_s
        is_minting = bucket.is_minting or account.lenders.may_mint(
            self._lenders, now
        )
        retry_s = missing / rate if rate > 0 else math.inf
        if weight > bucket.plan.deepest * (1 + EPSILON):
            # It never fits; asking again soon is of no use.
            retry_s = max(retry_s, weight / max(rate, EPSILON))
        retry_s += max(MIN_RETRY_S, self._queue_s(account, pending, now))
        account.starved_until = max(
            account.starved_until, now + retry_s + RETURN_MARGIN_S
        )
        self.counts.refused += sum(pending.waiting)
        self._answer(
            pending,
            QuotaShare(
                *(account.digest, pending.granted, weight),
                *(min(retry_s, 1e6), is_minting),
            ),
        )

    def _queue_s(
        self, account: _Account, pending: _Pending, now: float
    ) -> float:
        """Returns by how much a proxy must let the other refused ones go first.

        They ask again spread over the time in which as many requests are
        granted.
        """
        refused = account.refused_at
        for source in [s for s, at in refused.items() if now - at > KEPT_S]:
            del refused[source]
        others = len(refused.keys() - {pending.source})
        refused[pending.source] = now
        rate = account.bucket.plan.rate_per_s / max(self._voters, 1)
        account.phase = (account.phase + GOLDEN_FRACTION) % 1
        spread_s = others * min(pending.waiting) / max(rate, EPSILON)
        return account.phase * min(MAX_QUEUE_S, spread_s)

    def _answer(self, pending: _Pending, share: QuotaShare) -> None:
        key = (pending.source, pending.number)
        self._shares.setdefault(key, []).append(share)

    def take_grants(self) -> list[tuple[Hashable, QuotaGrant]]:
        """Returns the answers for proxies since the last call."""
        shares, self._shares = self._shares, {}
        return [
            (source, QuotaGrant(number, tuple(entries)))
            for (source, number), entries in shares.items()
        ]

    def take_borrows(self, now: float) -> list[tuple[str, QuotaBorrow]]:
        """Returns the messages to other members that are due now."""
        due = [
            name
            for name in sorted(self._lenders)
            if now - self._borrowed_at.get(name, -math.inf)
            >= BORROW_INTERVAL_S - EPSILON
        ]
        accounts = [
            account
            for digest in self._busy
            if (account := self._accounts[digest]).wanted is not None
        ][:MAX_QUOTA_ENTRIES]
        if not due or not accounts:
            return []
        requests: dict[str, list[LoanRequest]] = {name: [] for name in due}
        for account in accounts:
            self._add_requests(account, requests, now)
        return [
            (name, self._borrow(name, entries, now))
            for name, entries in requests.items()
            if entries
        ]

    def _add_requests(
        self,
        account: _Account,
        requests: dict[str, list[LoanRequest]],
        now: float,
    ) -> None:
        """Divides what is wanted between the members by what they may have."""
        estimates = self._others(account, now)
        total = sum(estimates.values())
        starved_s = _starved_s(account, now)
        for name, entries in requests.items():
            part = estimates.get(name, 0.0) / total if total > 0 else 0.0
            amount = 0.0 if account.is_probing else account.wanted * part
            heaviest = account.bucket.heaviest(now)
            entries.append(
                LoanRequest(account.digest, amount, starved_s, heaviest)
            )
        if not account.is_probing and account.round_at is None:
            account.round_at = now
            account.unanswered = set(requests)
        if not account.pending:
            account.wanted = None

    def _borrow(
        self, name: str, entries: list[LoanRequest], now: float
    ) -> QuotaBorrow:
        number = next(self._numbers)
        customers = {entry.customer for entry in entries}
        queue = self._sent.setdefault(name, collections.deque())
        queue.append(_SentBorrow(number, now, customers))
        self._borrowed_at[name] = now
        return QuotaBorrow(number, tuple(entries))


def _expand(demand: QuotaDemand) -> list[float]:
    """Returns the weights of a demand; a message cannot name very many."""
    weights: list[float] = []
    for run in demand.waiting:
        room = MAX_WAITING - len(weights)
        weights += [run.weight] * min(run.count, room)
    return weights


def _end_round(account: _Account, name: str) -> None:
    """Notes a member's answer; a round ends with the last one."""
    if account.round_at is None:
        return
    account.unanswered.discard(name)
    if not account.unanswered:
        for pending in account.pending:
            pending.rounds += pending.since <= account.round_at
        account.round_at = None


def _note_starved(account: _Account, now: float) -> None:
    """Notes that requests wait which cannot be served."""
    weight = min(w for p in account.pending for w in p.waiting)
    if _starved_s(account, now) == 0.0 or weight < account.starved:
        account.starved_since = now
    account.starved = weight
    account.starved_until = max(account.starved_until, now + HOLD_S)


def _starved_s(account: _Account, now: float) -> float:
    """Returns for how long a request could not be served."""
    if not account.starved or now > account.starved_until:
        account.starved = 0.0
        return 0.0
    return now - account.starved_since


def _fitting(pending: list[_Pending], limit: float) -> float:
    """Returns the weight of the waiting requests that fit into a limit."""
    total = 0.0
    for weight in (w for p in pending for w in p.waiting):
        if total + weight <= limit + EPSILON:
            total += weight
    return total
