"""One customer's tokens at one member: its bucket and what it has borrowed."""

import collections
import math

import attrs

from knapweedarch.quotas import Quota, QuotaBounds, QuotaPlan, create_plan

# Sums of tokens are rounded by this much.
EPSILON = 1e-6
# The heaviest request is remembered for this long, in seconds.
HEAVIEST_KEPT_S = 30.0
# Time in which the estimate of the demand follows a change, in seconds.
DEMAND_TAU_S = 0.5


@attrs.define
class _Loan:
    amount: float
    expires_at: float


class Bucket:
    """Tokens of one customer at one member.

    Attributes:
        quota: The quota.
        plan: Rate, depth and lifetimes.
        created_at: When it was created, in seconds on the member's clock.
        lapsed: Borrowed weight that has expired since `take_lapsed`.
    """

    def __init__(self, quota: Quota, bounds: QuotaBounds, now: float):
        self.quota = quota
        self.plan: QuotaPlan = create_plan(quota, bounds)
        self.created_at = now
        self.lapsed = 0.0
        self._fraction = 0.0
        self._level = 0.0
        self._updated_at = now
        self._loans: collections.deque[_Loan] = collections.deque()
        self._heaviest = 0.0
        self._heaviest_at = -math.inf
        self._demand = 0.0
        self._demand_at = now

    def set_quota(self, quota: Quota, bounds: QuotaBounds, now: float) -> None:
        """Replaces the quota; tokens beyond the new depth are dropped."""
        self.refill(now)
        self.quota = quota
        self.plan = create_plan(quota, bounds)
        self._level = min(self._level, self.depth(now))

    def set_fraction(self, fraction: float, now: float) -> None:
        """Sets the part of the quota that is minted here; 0 empties it."""
        self.refill(now)
        self._fraction = fraction
        self._level = min(self._level, self.depth(now))

    @property
    def rate_per_s(self) -> float:
        """Weight minted here in a second."""
        return self.plan.rate_per_s * self._fraction

    @property
    def is_minting(self) -> bool:
        """Whether any part of the quota is minted here."""
        return self._fraction > 0

    def depth(self, now: float) -> float:
        """Returns the depth of this member's bucket."""
        return self.plan.depth_for(self.heaviest(now)) * self._fraction

    def heaviest(self, now: float) -> float:
        """Returns the weight of the heaviest request that is remembered."""
        if now - self._heaviest_at > HEAVIEST_KEPT_S:
            self._heaviest = 0.0
        return self._heaviest

    def note_weight(self, weight: float, now: float) -> None:
        """Deepens the bucket for heavy requests."""
        self.refill(now)
        if weight >= self.heaviest(now):
            self._heaviest = weight
            self._heaviest_at = now

    def note_demand(self, weight: float, now: float) -> None:
        """Adds requests to the estimate of the demand."""
        self._demand = self.demand(now) + weight / DEMAND_TAU_S
        self._demand_at = now

    def demand(self, now: float) -> float:
        """Returns the recent demand here as a weight a second."""
        age_s = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-age_s / DEMAND_TAU_S)

    def refill(self, now: float) -> None:
        """Mints what is due and drops borrowed tokens that have expired."""
        minted = max(0.0, now - self._updated_at) * self.rate_per_s
        self._updated_at = max(now, self._updated_at)
        self._level = min(self.depth(now), self._level + minted)
        while self._loans and self._loans[0].expires_at <= now:
            self.lapsed += self._loans.popleft().amount

    def available(self, now: float) -> float:
        """Returns the weight that can be granted now."""
        self.refill(now)
        return self._level + sum(loan.amount for loan in self._loans)

    def level(self, now: float) -> float:
        """Returns the weight that was minted here and can be lent."""
        self.refill(now)
        return self._level

    def add_loan(self, amount: float, expires_at: float) -> None:
        """Adds borrowed tokens."""
        if amount > 0:
            self._loans.append(_Loan(amount, expires_at))
            # Replies of two members may arrive in another order than asked.
            self._loans = collections.deque(
                sorted(self._loans, key=lambda loan: loan.expires_at)
            )

    def take(self, weight: float, now: float) -> bool:
        """Takes a weight, the borrowed tokens first; returns whether it could.

        Nothing is taken if there is not enough.
        """
        if weight > self.available(now) + EPSILON:
            return False
        left = weight
        while self._loans and left > 0:
            loan = self._loans[0]
            part = min(left, loan.amount)
            left -= part
            loan.amount -= part
            if loan.amount <= 0:
                self._loans.popleft()
        self._level = max(0.0, self._level - left)
        return True

    def lend(self, weight: float, now: float) -> float:
        """Takes at most a weight of what was minted here; returns how much."""
        part = max(0.0, min(weight, self.level(now)))
        self._level -= part
        return part

    def lend_borrowed(self, weight: float, now: float) -> tuple[float, float]:
        """Takes at most a weight of what was borrowed.

        Returns:
            How much, and the seconds for which all of it exists.
        """
        self.refill(now)
        amount, left_s = 0.0, 0.0
        while self._loans and amount < weight:
            # The newest last longest.
            loan = self._loans[-1]
            part = min(weight - amount, loan.amount)
            amount += part
            left_s = loan.expires_at - now
            loan.amount -= part
            if loan.amount <= 0:
                self._loans.pop()
        return amount, left_s

    def take_lapsed(self) -> float:
        """Returns the borrowed weight that has expired since the last call."""
        lapsed, self.lapsed = self.lapsed, 0.0
        return lapsed
