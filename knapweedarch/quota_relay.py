"""A member's messages about quotas."""

from collections.abc import Callable, Iterable

from knapweedarch import links
from knapweedarch.deployments import Customer
from knapweedarch.exceptions import LinkError
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.quota_messages import (
    QuotaAsk,
    QuotaBorrow,
    QuotaGrant,
    QuotaLoan,
)
from knapweedarch.quota_mint import QuotaMint
from knapweedarch.quota_rights import MintingRights, Rights
from knapweedarch.quotas import QuotaBounds
from knapweedarch.timers import Clock, Timers

TICK_S = 0.02
GAUGES_INTERVAL_S = 1.0


class QuotaRelay:
    """Answers proxies and other members that need tokens.

    Args:
        identity: Identity of this member.
        bounds: Bound of what may be spent.
        clock: Clock of the process.
        metrics: Metrics of the process.

    Attributes:
        lenders: Returns the links to members that lend, by their names.
    """

    def __init__(
        self,
        identity: str,
        bounds: QuotaBounds,
        clock: Clock,
        metrics: Metrics,
    ):
        self._clock = clock
        self._metrics = metrics
        self._mint = QuotaMint(bounds)
        self._rights = MintingRights(identity)
        self._current = Rights(0.0, 0)
        self._has_quotas = False
        self.lenders: Callable[[], dict[str, links.Link]] = dict

    def subscribe(self, timers: Timers) -> None:
        """Starts the periodic work."""
        timers.every(TICK_S, self._tick)
        timers.every(GAUGES_INTERVAL_S, self._update_gauges)

    def set_customers(self, customers: Iterable[Customer]) -> None:
        """Replaces the quotas by those of a configuration."""
        quotas = {c.name: c.quota for c in customers if c.quota is not None}
        self._has_quotas = bool(quotas)
        self._mint.set_quotas(quotas, self._clock.now())

    def set_group(self, voters: frozenset[str], hears_leader: bool) -> None:
        """Sets the identities of the voters, and whether a leader is heard."""
        now = self._clock.now()
        self._rights.note_group(voters, now)
        if hears_leader:
            self._rights.note_leader(now)
        self._apply_rights(now)

    def _apply_rights(self, now: float) -> None:
        rights = self._rights.current(now)
        if rights == self._current:
            return
        self._current = rights
        self._mint.set_fraction(rights.fraction, rights.voters, now)
        log(
            "quota_part_changed",
            fraction=round(rights.fraction, 3),
            voters=rights.voters,
        )

    def receive_ask(self, link: links.Link, ask: QuotaAsk) -> None:
        """Grants what a proxy asks for, now or within a moment."""
        now = self._clock.now()
        # A process that was frozen may have lost its right to mint.
        self._apply_rights(now)
        try:
            self._mint.receive_ask(link, ask, now)
        except ValueError as exc:
            _refuse(link, exc)
            return
        self._send(now)
        if self._mint.is_waiting(link):
            # The proxy need not look for another member.
            _send(link, QuotaGrant(ask.number, ()))

    def receive_borrow(
        self, link: links.Link, name: str, borrow: QuotaBorrow
    ) -> None:
        """Lends to another member."""
        now = self._clock.now()
        self._apply_rights(now)
        try:
            loan = self._mint.receive_borrow(name, borrow, now)
        except ValueError as exc:
            _refuse(link, exc)
            return
        _send(link, loan)

    def receive_loan(
        self, link: links.Link, name: str, loan: QuotaLoan
    ) -> None:
        """Takes what another member lends."""
        now = self._clock.now()
        try:
            self._mint.receive_loan(name, loan, now)
        except ValueError as exc:
            _refuse(link, exc)
            return
        self._send(now)

    def remove_link(self, link: links.Link) -> None:
        """Forgets what the proxy on a closed link waits for."""
        self._mint.remove_source(link)

    def _tick(self, now: float) -> None:
        if not (self._has_quotas or self._mint.has_early_demands):
            return
        self._apply_rights(now)
        self._mint.set_lenders(self.lenders())
        self._mint.tick(now)
        self._send(now)

    def _send(self, now: float) -> None:
        for link, grant in self._mint.take_grants():
            _send(link, grant)
        lenders = self.lenders()
        for name, borrow in self._mint.take_borrows(now):
            if name in lenders:
                _send(lenders[name], borrow)

    def _update_gauges(self, now: float) -> None:
        counts = self._mint.counts
        self._metrics.gauge("quotas.granted", counts.granted)
        self._metrics.gauge("quotas.lent", counts.lent)
        self._metrics.gauge("quotas.lapsed", counts.lapsed)
        self._metrics.gauge("quotas.refused", counts.refused)


def _send(link: links.Link, message: object) -> None:
    try:
        link.send(message)
    except LinkError as exc:
        log("link_lost", peer=link.peer, reason=str(exc))
        link.close()


def _refuse(link: links.Link, exc: ValueError) -> None:
    log("relay_message_refused", peer=link.peer, reason=str(exc))
    link.close()
