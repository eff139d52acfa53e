"""Messages by which proxies get tokens of quotas and members lend them.

An ask or borrow message is answered at most once for each customer in it, and
what arrives later than the lifetime of its tokens is ignored.
"""

import math
from collections.abc import Iterable

import attrs

# Largest number of customers in one message, and of different weights of one
# customer's waiting requests.
MAX_QUOTA_ENTRIES = 64
MAX_RUNS = 32


@attrs.frozen
class WeightRun:
    """Consecutive waiting requests of equal weight.

    Attributes:
        weight: Weight of each.
        count: Number of them.
    """

    weight: float
    count: int


@attrs.frozen
class QuotaDemand:
    """What a proxy needs for one customer.

    Attributes:
        customer: Hash of the customer; see `quotas.customer_digest`.
        waiting: Waiting requests in order; they are granted whole or not.
        extra: Weight that is expected soon; granted only from plenty.
    """

    customer: int
    waiting: tuple[WeightRun, ...]
    extra: float = 0.0


@attrs.frozen
class QuotaAsk:
    """Asks a member for tokens.

    Attributes:
        number: Number of the message on its link.
        demands: At most `MAX_QUOTA_ENTRIES` demands.
    """

    number: int
    demands: tuple[QuotaDemand, ...]


@attrs.frozen
class QuotaShare:
    """Tokens for one customer.

    Attributes:
        customer: Hash of the customer.
        tokens: Granted weight.
        refused: Smallest weight that was not granted; 0 if none.
        retry_s: Seconds after which that weight is expected to be granted.
        is_minting: False if no tokens can be expected, as no member mints.
    """

    customer: int
    tokens: float
    refused: float = 0.0
    retry_s: float = 0.0
    is_minting: bool = True


@attrs.frozen
class QuotaGrant:
    """Answers a `QuotaAsk`, or some of its demands.

    Attributes:
        number: Number of the ask message.
        shares: The tokens.
    """

    number: int
    shares: tuple[QuotaShare, ...]


@attrs.frozen
class LoanRequest:
    """What a member wants to borrow for one customer.

    Attributes:
        customer: Hash of the customer.
        amount: Weight; 0 only asks how much there is.
        starved_s: Seconds for which the borrower could not serve a request.
        heaviest: Weight of the heaviest request that the borrower knows.
    """

    customer: int
    amount: float
    starved_s: float = 0.0
    heaviest: float = 0.0


@attrs.frozen
class QuotaBorrow:
    """Asks another member to lend tokens.

    Attributes:
        number: Number of the message.
        requests: At most `MAX_QUOTA_ENTRIES` requests.
    """

    number: int
    requests: tuple[LoanRequest, ...]


@attrs.frozen
class Loan:
    """Tokens lent for one customer.

    Attributes:
        customer: Hash of the customer.
        amount: Weight that the lender has minted.
        left: Weight that could be lent beyond it.
        aged: Further weight, which the lender had borrowed itself.
        aged_s: Seconds for which the latter still exists.
        is_minting: Whether the lender mints.
    """

    customer: int
    amount: float
    left: float
    aged: float = 0.0
    aged_s: float = 0.0
    is_minting: bool = True


@attrs.frozen
class QuotaLoan:
    """Answers a `QuotaBorrow`.

    Attributes:
        number: Number of the borrow message.
        loans: The tokens.
    """

    number: int
    loans: tuple[Loan, ...]


QUOTA_MESSAGES = (QuotaAsk, QuotaGrant, QuotaBorrow, QuotaLoan)


def are_runs_valid(demand: QuotaDemand) -> bool:
    """Returns whether the numbers of a demand are finite and positive."""
    return are_weights([demand.extra]) and all(
        are_weights([run.weight]) and run.count > 0 for run in demand.waiting
    )


def are_weights(numbers: Iterable[float]) -> bool:
    """Returns whether all numbers are finite and not negative."""
    return all(0 <= number < math.inf for number in numbers)
