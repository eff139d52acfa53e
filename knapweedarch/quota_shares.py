"""A proxy's shares of quotas: what it may spend, and what it asks for."""

import collections
import enum
import itertools
import math
from collections.abc import Mapping

import attrs

from knapweedarch.quota_messages import (
    MAX_QUOTA_ENTRIES,
    MAX_RUNS,
    QuotaAsk,
    QuotaDemand,
    QuotaGrant,
    QuotaShare,
    WeightRun,
)
from knapweedarch.quotas import (
    Quota,
    QuotaBounds,
    QuotaPlan,
    create_plan,
    customer_digest,
)

# Sums of tokens are rounded by this much.
EPSILON = 1e-6
# Expected demand that a proxy asks for, in seconds.
AHEAD_S = 0.2
# It does so only if it expects at least this many of its heaviest requests;
# tokens that wait for rare requests would mostly expire.
AHEAD_REQUESTS = 4.0
# Part of the weight of the heaviest request that each later one leaves.
HEAVIEST_DECAY = 0.95
# The proxy asks again once less than this part of it is left.
LOW = 0.5
# Time between two questions for expected demand only, in seconds.
AHEAD_INTERVAL_S = 0.1
# Time in which the estimate of the demand follows a change, in seconds.
DEMAND_TAU_S = 0.5
# Known exhaustion is stored for this many weights of one customer.
MAX_EXHAUSTED = 4
# Unanswered questions that are remembered; their tokens expire anyway.
MAX_OPEN_ASKS = 256
# Time between two messages to the member, in seconds. Within it, messages are
# spread by their size, as a proxy has 9 KB a second for all control traffic.
MIN_ASK_INTERVAL_S = 0.02
MAX_ASK_INTERVAL_S = 0.05
ASK_BYTES_S = 1_500
# Encoded size of a message, of each demand and of each run in it, in bytes.
ASK_BYTES, DEMAND_BYTES, RUN_BYTES = 28, 20, 11
# Seconds after which a request may be sent again when no member mints.
UNAVAILABLE_RETRY_S = 0.5


class Decision(str, enum.Enum):
    """What happens to a request because of its customer's quota."""

    ALLOWED = "allowed"
    WAITING = "waiting"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"


@attrs.define(eq=False)
class Ticket:
    """A request that needs tokens.

    Attributes:
        customer: Name of the customer; empty if it has no quota.
        weight: Weight of the request.
        decision: The decision.
        retry_s: Seconds after which a refused request may be allowed.
        expires_at: When its tokens expire, in seconds on the proxy's clock.
        asked: Number of the newest message that asks for it; 0 if none.
        on_decided: Called when a waiting request is decided.
    """

    customer: str = ""
    weight: float = 0.0
    decision: Decision = Decision.ALLOWED
    retry_s: float = 0.0
    expires_at: float = math.inf
    asked: int = 0
    on_decided: object = lambda: None


@attrs.define
class _Tokens:
    amount: float
    expires_at: float


@attrs.define
class _Exhausted:
    """A weight that is not granted before a time."""

    weight: float
    until: float


@attrs.define(eq=False)
class _Account:
    """A customer's tokens at this proxy and the requests that wait for some.

    Attributes:
        name: Name of the customer.
        quota: Its quota.
        plan: Lifetime of tokens.
        tokens: Tokens in order of expiry.
        waiting: Requests without tokens, in order.
        exhausted: Weights that the member could not grant.
        demand: Weight a second at `demand_at`.
        heaviest: Weight of the heaviest recent request.
        ahead_at: When expected demand was asked for.
    """

    name: str
    quota: Quota
    plan: QuotaPlan
    tokens: collections.deque[_Tokens] = attrs.field(factory=collections.deque)
    waiting: dict[int, Ticket] = attrs.field(factory=dict)
    exhausted: list[_Exhausted] = attrs.field(factory=list)
    demand: float = 0.0
    demand_at: float = 0.0
    heaviest: float = 0.0
    ahead_at: float = -math.inf

    def demand_at_time(self, now: float) -> float:
        age_s = max(0.0, now - self.demand_at)
        return self.demand * math.exp(-age_s / DEMAND_TAU_S)

    def note(self, weight: float, now: float) -> None:
        self.demand = self.demand_at_time(now) + weight / DEMAND_TAU_S
        self.demand_at = now
        self.heaviest = max(weight, self.heaviest * HEAVIEST_DECAY)

    def ahead(self, now: float) -> float:
        """Returns the weight that is expected soon; 0 if that is rare."""
        wanted = self.demand_at_time(now) * AHEAD_S
        return wanted if wanted >= AHEAD_REQUESTS * self.heaviest else 0.0


@attrs.define
class _OpenAsk:
    sent_at: float
    digests: set[int]


class QuotaShares:
    """Tokens of all customers at one proxy.

    Args:
        bounds: Bound of what may be spent.

    Attributes:
        lapsed: Weight that expired unspent.
    """

    def __init__(self, bounds: QuotaBounds):
        self._bounds = bounds
        self._accounts: dict[str, _Account] = {}
        self._names: dict[int, str] = {}
        self._open: collections.OrderedDict[int, _OpenAsk] = (
            collections.OrderedDict()
        )
        self._unasked: set[str] = set()
        self._numbers = itertools.count(1)
        self.lapsed = 0.0

    def set_quotas(self, quotas: Mapping[str, Quota]) -> None:
        """Replaces the quotas; tokens of unchanged ones are kept."""
        old, self._accounts = self._accounts, {}
        self._names = {customer_digest(name): name for name in quotas}
        for name, quota in quotas.items():
            known = old.pop(name, None)
            if known is not None and known.quota == quota:
                self._accounts[name] = known
                continue
            account = _Account(name, quota, create_plan(quota, self._bounds))
            self._accounts[name] = account
            if known is not None:
                self._move_waiting(known, account)
        for account in old.values():
            self._decide_all(account, Decision.ALLOWED)
        self._unasked &= set(self._accounts)

    def _move_waiting(self, old: _Account, new: _Account) -> None:
        """Asks again for requests that wait while their quota is changed."""
        new.waiting = old.waiting
        for ticket in new.waiting.values():
            ticket.asked = 0
        if new.waiting:
            self._unasked.add(new.name)

    @property
    def has_quotas(self) -> bool:
        """Whether any customer has a quota."""
        return bool(self._accounts)

    @property
    def has_questions(self) -> bool:
        """Whether `take_ask` would return a message."""
        return bool(self._unasked)

    def quota(self, customer: str) -> Quota | None:
        """Returns the quota of a customer; None if it has none."""
        account = self._accounts.get(customer)
        return account.quota if account else None

    def spend(self, customer: str, weight: float, now: float) -> Ticket:
        """Decides on a request; a waiting one is decided by `receive`."""
        account = self._accounts.get(customer)
        if account is None:
            return Ticket()
        ticket = Ticket(customer, weight)
        account.note(weight, now)
        if self._take(account, ticket, now):
            self._ask_ahead(account, now)
            return ticket
        retry_s = self._exhausted_s(account, weight, now)
        if retry_s > 0:
            ticket.decision, ticket.retry_s = Decision.REFUSED, retry_s
            return ticket
        ticket.decision = Decision.WAITING
        account.waiting[id(ticket)] = ticket
        self._unasked.add(customer)
        return ticket

    def _take(self, account: _Account, ticket: Ticket, now: float) -> bool:
        """Takes a request's tokens if there are enough."""
        self._expire(account, now)
        tokens = account.tokens
        if sum(t.amount for t in tokens) + EPSILON < ticket.weight:
            return False
        left = ticket.weight
        while tokens and left > 0:
            part = min(left, tokens[0].amount)
            left -= part
            tokens[0].amount -= part
            # What is refunded expires with the first of them.
            ticket.expires_at = min(ticket.expires_at, tokens[0].expires_at)
            if tokens[0].amount <= 0:
                tokens.popleft()
        ticket.decision = Decision.ALLOWED
        return True

    def _expire(self, account: _Account, now: float) -> None:
        while account.tokens and account.tokens[0].expires_at <= now:
            self.lapsed += account.tokens.popleft().amount

    def _exhausted_s(
        self, account: _Account, weight: float, now: float
    ) -> float:
        """Returns the seconds until a weight may be granted; 0 if unknown."""
        account.exhausted = [e for e in account.exhausted if e.until > now]
        rate = account.quota.rate_per_s
        return max(
            (
                e.until - now + (weight - e.weight) / rate
                for e in account.exhausted
                if e.weight <= weight + EPSILON
            ),
            default=0.0,
        )

    def _ask_ahead(self, account: _Account, now: float) -> None:
        """Asks for expected demand once little is left."""
        if now - account.ahead_at < AHEAD_INTERVAL_S:
            return
        wanted = account.ahead(now)
        if sum(t.amount for t in account.tokens) < LOW * wanted:
            self._unasked.add(account.name)

    def refund(self, ticket: Ticket, now: float) -> None:
        """Gives back the tokens of a request that has not run and will not."""
        account = self._accounts.get(ticket.customer)
        if account is None or ticket.decision is not Decision.ALLOWED:
            return
        ticket.decision = Decision.REFUSED
        if ticket.expires_at <= now:
            self.lapsed += ticket.weight
            return
        self._add_tokens(account, ticket.weight, ticket.expires_at)
        self._serve_waiting(account, now)

    def _add_tokens(
        self, account: _Account, amount: float, expires_at: float
    ) -> None:
        tokens = [*account.tokens, _Tokens(amount, expires_at)]
        tokens.sort(key=lambda t: t.expires_at)
        account.tokens = collections.deque(tokens)

    def cancel(self, ticket: Ticket, now: float) -> None:
        """Ends a request whose caller has left or waits no longer."""
        account = self._accounts.get(ticket.customer)
        if account is None:
            return
        if account.waiting.pop(id(ticket), None) is None:
            self.refund(ticket, now)

    def ask_all_again(self) -> None:
        """Asks anew for everything that waits."""
        for name, account in self._accounts.items():
            if account.waiting:
                self.ask_again(name)

    def ask_again(self, customer: str) -> None:
        """Asks anew for what waits, as its answer may be lost."""
        account = self._accounts.get(customer)
        if account is not None and account.waiting:
            for ticket in account.waiting.values():
                ticket.asked = 0
            self._unasked.add(customer)

    def take_ask(self, now: float) -> QuotaAsk | None:
        """Returns the message to a member; None if there is nothing to ask."""
        names = list(itertools.islice(self._unasked, MAX_QUOTA_ENTRIES))
        number = next(self._numbers)
        demands = []
        for name in names:
            self._unasked.discard(name)
            demand = self._demand(self._accounts[name], number, now)
            if demand.waiting or demand.extra > 0:
                demands.append(demand)
        if not demands:
            return None
        digests = {demand.customer for demand in demands}
        self._open[number] = _OpenAsk(now, digests)
        while len(self._open) > MAX_OPEN_ASKS:
            self._open.popitem(last=False)
        return QuotaAsk(number, tuple(demands))

    def _demand(
        self, account: _Account, number: int, now: float
    ) -> QuotaDemand:
        runs: list[WeightRun] = []
        for ticket in account.waiting.values():
            if ticket.asked:
                continue
            if runs and runs[-1].weight == ticket.weight:
                runs[-1] = attrs.evolve(runs[-1], count=runs[-1].count + 1)
            elif len(runs) == MAX_RUNS:
                self._unasked.add(account.name)
                break
            else:
                runs.append(WeightRun(ticket.weight, 1))
            ticket.asked = number
        account.ahead_at = now
        extra = account.ahead(now) - sum(t.amount for t in account.tokens)
        digest = customer_digest(account.name)
        return QuotaDemand(digest, tuple(runs), max(0.0, extra))

    def receive(self, grant: QuotaGrant, now: float) -> None:
        """Takes tokens and decides the requests that waited for them."""
        ask = self._open.get(grant.number)
        if ask is None:
            return
        for share in grant.shares[:MAX_QUOTA_ENTRIES]:
            if share.customer in ask.digests:
                ask.digests.discard(share.customer)
                self._receive_share(grant.number, ask.sent_at, share, now)
        if not ask.digests:
            del self._open[grant.number]

    def _receive_share(
        self, number: int, sent_at: float, share: QuotaShare, now: float
    ) -> None:
        account = self._accounts.get(self._names.get(share.customer, ""))
        if account is None or not 0 <= share.tokens < math.inf:
            return
        expires_at = sent_at + account.plan.share_s
        if share.tokens > 0 and now < expires_at:
            self._add_tokens(account, share.tokens, expires_at)
        if share.refused > 0 and share.is_minting:
            self._note_exhausted(account, share, now)
        self._serve_waiting(account, now)
        self._refuse_asked(account, number, share, now)

    def _note_exhausted(
        self, account: _Account, share: QuotaShare, now: float
    ) -> None:
        until = now + max(0.0, share.retry_s)
        account.exhausted.append(_Exhausted(share.refused, until))
        account.exhausted.sort(key=lambda e: e.weight)
        del account.exhausted[MAX_EXHAUSTED:]

    def _serve_waiting(self, account: _Account, now: float) -> None:
        """Allows the waiting requests that fit, in order."""
        if not account.tokens:
            return
        for key, ticket in list(account.waiting.items()):
            if self._take(account, ticket, now):
                del account.waiting[key]
                ticket.on_decided()

    def _refuse_asked(
        self, account: _Account, number: int, share: QuotaShare, now: float
    ) -> None:
        """Refuses the requests of a question that got no tokens."""
        decision = (
            Decision.REFUSED if share.is_minting else Decision.UNAVAILABLE
        )
        for key, ticket in list(account.waiting.items()):
            if ticket.asked == number:
                del account.waiting[key]
                ticket.decision = decision
                ticket.retry_s = (
                    self._exhausted_s(account, ticket.weight, now)
                    or UNAVAILABLE_RETRY_S
                )
                ticket.on_decided()

    def _decide_all(self, account: _Account, decision: Decision) -> None:
        for ticket in account.waiting.values():
            ticket.decision = decision
            ticket.on_decided()
        account.waiting.clear()


def ask_interval_s(ask: QuotaAsk) -> float:
    """Returns the time in seconds until the next message may follow."""
    runs = sum(len(demand.waiting) for demand in ask.demands)
    size = ASK_BYTES + DEMAND_BYTES * len(ask.demands) + RUN_BYTES * runs
    return min(MAX_ASK_INTERVAL_S, max(MIN_ASK_INTERVAL_S, size / ASK_BYTES_S))
