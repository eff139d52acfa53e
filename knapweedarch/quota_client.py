"""A proxy's tokens of quotas: asks for them and lets requests wait."""

from collections.abc import Iterable, Sequence
from typing import Protocol

import anyio

from knapweedarch.control_messages import MemberAddress
from knapweedarch.deployments import Customer
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.quota_backup import QuotaBackup
from knapweedarch.quota_messages import QuotaAsk, QuotaGrant
from knapweedarch.quota_shares import (
    MIN_ASK_INTERVAL_S,
    UNAVAILABLE_RETRY_S,
    Decision,
    QuotaShares,
    Ticket,
    ask_interval_s,
)
from knapweedarch.quotas import QuotaBounds, request_weight
from knapweedarch.relay_client import RelayClient
from knapweedarch.timers import Clock

# Longest time that a request waits for tokens, in seconds.
WAIT_S = 0.15
# Another member is asked if the own one has said nothing for this long, in
# seconds. A member says so if it cannot decide at once.
MEMBER_TIMEOUT_S = 0.05


class QuotaPort(Protocol):
    """What the gateway needs to know of quotas."""

    async def spend(self, customer: Customer, tokens: int | None) -> Ticket:
        """Decides on a request of a customer; waits for tokens if need be.

        Args:
            customer: The customer.
            tokens: Prompt and answer tokens that the request names; None if it
                names none.
        """

    def refund(self, ticket: Ticket) -> None:
        """Gives back the tokens of a request that has not run."""


class NoQuotas:
    """Implements `QuotaPort` without quotas."""

    async def spend(self, customer: Customer, tokens: int | None) -> Ticket:
        """Allows every request."""
        return Ticket()

    def refund(self, ticket: Ticket) -> None:
        """Does nothing."""


class QuotaClient:
    """Implements `QuotaPort` with shares that members grant.

    Args:
        bounds: Bound of what may be spent.
        relay: The proxy's subscription.
        credential: The shared credential.
        clock: Clock of the process.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        relay: RelayClient,
        credential: bytes,
        clock: Clock,
        metrics: Metrics,
    ):
        self._relay = relay
        self._clock = clock
        self._metrics = metrics
        self._shares = QuotaShares(bounds)
        self._backup = QuotaBackup(credential, clock, self._receive)
        self._wanted = anyio.Event()
        self._backup_wanted = anyio.Event()
        self._is_backed_up = False
        self._heard_at = 0.0
        relay.on_quota_grant = self._receive_from_member
        relay.on_subscribed.append(self._ask_anew)

    def set_customers(self, customers: Iterable[Customer]) -> None:
        """Replaces the quotas by those of a configuration."""
        quotas = {c.name: c.quota for c in customers if c.quota is not None}
        self._shares.set_quotas(quotas)
        self._ask_if_needed()

    def set_members(self, members: Sequence[MemberAddress]) -> None:
        """Replaces the known members; ignores an empty sequence."""
        self._backup.set_members(members)

    async def spend(self, customer: Customer, tokens: int | None) -> Ticket:
        """Decides on a request of a customer; waits for tokens if need be.

        A request whose caller leaves meanwhile gives its tokens back.
        """
        quota = self._shares.quota(customer.name)
        if quota is None:
            return Ticket()
        weight = request_weight(quota, tokens)
        ticket = self._shares.spend(customer.name, weight, self._clock.now())
        self._ask_if_needed()
        if ticket.decision is Decision.WAITING:
            await self._wait(ticket)
        return ticket

    async def _wait(self, ticket: Ticket) -> None:
        decided = anyio.Event()
        ticket.on_decided = decided.set
        began = self._clock.now()
        try:
            with anyio.move_on_after(MEMBER_TIMEOUT_S):
                await decided.wait()
            if not decided.is_set() and self._heard_at < began:
                self._ask_others(ticket.customer)
            with anyio.move_on_after(WAIT_S - MEMBER_TIMEOUT_S):
                await decided.wait()
        except BaseException:
            self._shares.cancel(ticket, self._clock.now())
            raise
        if not decided.is_set():
            self._give_up(ticket)

    def _give_up(self, ticket: Ticket) -> None:
        """Ends the wait of a request that no member has decided."""
        self._shares.cancel(ticket, self._clock.now())
        ticket.decision = Decision.UNAVAILABLE
        ticket.retry_s = UNAVAILABLE_RETRY_S
        if self._has_no_support():
            ticket.customer = ""
            ticket.decision = Decision.ALLOWED

    def _has_no_support(self) -> bool:
        """Returns whether no member of the group knows quotas."""
        return (
            self._relay.is_subscribed
            and not self._relay.member_accepts(QuotaAsk)
            and self._backup.knows_no_support(self._relay.member_name)
        )

    def refund(self, ticket: Ticket) -> None:
        """Gives back the tokens of a request that has not run."""
        self._shares.refund(ticket, self._clock.now())

    def _ask_if_needed(self) -> None:
        if self._shares.has_questions:
            self._wanted.set()

    def _ask_anew(self) -> None:
        """Asks a new member for what waits; it knows of no earlier question."""
        self._shares.ask_all_again()
        self._ask_if_needed()

    def _ask_others(self, customer: str) -> None:
        self._shares.ask_again(customer)
        if not self._is_backed_up:
            log("quota_member_silent", member=self._relay.member_name)
            self._metrics.count("quotas.member_silent")
        self._backup_wanted.set()

    def _receive_from_member(self, grant: QuotaGrant) -> None:
        self._heard_at = self._clock.now()
        self._receive(grant)

    def _receive(self, grant: QuotaGrant) -> None:
        self._shares.receive(grant, self._clock.now())

    def _take_ask(self) -> QuotaAsk | None:
        return self._shares.take_ask(self._clock.now())

    async def run(self) -> None:
        """Asks for tokens until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_backup)
            await self._run_questions()

    async def _run_questions(self) -> None:
        """Sends at most one message in each interval."""
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            interval_s = MIN_ASK_INTERVAL_S
            if not self._relay.member_accepts(QuotaAsk):
                self._backup_wanted.set()
            elif not self._is_backed_up and (ask := self._take_ask()):
                self._relay.send_reports(ask)
                self._ask_if_needed()
                interval_s = ask_interval_s(ask)
            await anyio.sleep(interval_s)

    async def _run_backup(self) -> None:
        while True:
            await self._backup_wanted.wait()
            self._backup_wanted = anyio.Event()
            self._is_backed_up = True
            await self._backup.run(self._relay.member_name, self._take_ask)
            self._is_backed_up = False
            self._shares.ask_all_again()
            self._ask_if_needed()

    def update_gauges(self) -> None:
        """Sets the gauge of the tokens that expired unspent."""
        self._metrics.gauge("quotas.lapsed", self._shares.lapsed)
