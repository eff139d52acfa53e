"""Relays cached parts and loads between routers, other members and this one."""

import anyio
import anyio.abc
import attrs

from knapweedarch import links
from knapweedarch.cache_feeds import CacheFeed, CacheFeeds
from knapweedarch.capacity_messages import CapacityReport, SpeedReport
from knapweedarch.capacity_relay import CapacityRelay
from knapweedarch.control_messages import CONTROL
from knapweedarch.exceptions import LinkError
from knapweedarch.load_relay import LoadRelay
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.origin_messages import (
    FindOrigins,
    OriginsFound,
    StreamOrigins,
)
from knapweedarch.origin_relay import OriginRelay
from knapweedarch.quarantine_client import log_held
from knapweedarch.quarantine_messages import PartReports
from knapweedarch.quarantine_relay import QuarantineRelay
from knapweedarch.quota_messages import QuotaAsk, QuotaBorrow, QuotaLoan
from knapweedarch.quota_relay import QuotaRelay
from knapweedarch.rate_messages import EndpointRates
from knapweedarch.rate_relay import RateRelay
from knapweedarch.relay_messages import (
    ACCEPTED_MESSAGES,
    LoadChanges,
    LoadTotals,
    Relayed,
    ResendSources,
    Subscribe,
    Subscribed,
    endpoint_digest,
    pack_loads,
    unpack_loads,
)
from knapweedarch.source_relay import FeedSource, SourceRelay
from knapweedarch.timers import Clock, Timers
from knapweedarch.usage_messages import UsageReport
from knapweedarch.usage_relay import UsageRelay

# Changes are batched for this long. It delays what routers know, and each batch
# costs every router a message.
FLUSH_INTERVAL_S = 0.05
# The same for cached parts, which change less than loads.
NEWS_INTERVAL_S = 0.1
# Bytes of loads a second to one subscriber; part of the 9 KB a second that a
# router may spend for control. The more endpoints there are, the longer loads
# are batched.
LOADS_BYTES_S = 4_500
# The same for requests to endpoints that name a limit.
RATES_BYTES_S = 2_000
# Interval of reports of usage, and the bytes a second that they may take.
USAGE_INTERVAL_S = 0.25
USAGE_BYTES_S = 1_500
# Longest time between two messages of loads to a subscriber, by which routers
# distinguish unchanged loads from missing ones.
LOADS_HEARTBEAT_S = 0.3


@attrs.define
class _Subscriber:
    """A router or another member that subscribes to this member.

    Attributes:
        name: Its name.
        is_member: Whether it is a member.
        accepts: Names of further message classes that it takes.
        received: Number of the newest load message from it.
    """

    name: str
    is_member: bool
    accepts: frozenset[str] = frozenset()
    received: int = 0

    def takes(self, message_class: type) -> bool:
        """Returns whether it is a router that takes a further class."""
        return not self.is_member and message_class.__name__ in self.accepts


class MemberRelay:
    """Subscriptions to this member, and its own to the other members.

    Args:
        name: Name of this member.
        data_centre: Data centre of this member.
        clock: Clock of the process.
        metrics: Metrics of the process.
        feed: Requests for cache events; None if no sources are followed.
        quotas: Quotas of customers; None if it takes no part in them.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        clock: Clock,
        metrics: Metrics,
        feed: CacheFeed | None,
        quotas: QuotaRelay | None = None,
    ):
        self._name = name
        self._data_centre = data_centre
        self._clock = clock
        self._metrics = metrics
        self._feed = feed
        self._quotas = quotas
        if quotas is not None:
            quotas.lenders = self._lenders
        self._feeds: CacheFeeds | None = None
        self._sources = SourceRelay(name, data_centre)
        self._loads = LoadRelay()
        self._quarantine = QuarantineRelay()
        self._rates = RateRelay()
        self._usage = UsageRelay()
        self._origins = OriginRelay()
        self._capacities = CapacityRelay()
        self._subscribers: dict[links.Link, _Subscriber] = {}
        self._upstream: dict[links.Link, str] = {}
        self._takes_origins: set[links.Link] = set()
        # What the members accept that this one subscribes to.
        self._member_accepts: dict[links.Link, frozenset[str]] = {}
        self._sent_local_number = 0
        self._totals_sent_at = 0.0
        self._news_due_at = 0.0
        self._local_due_at = 0.0
        self._totals_due_at = 0.0
        self._rates_due_at = 0.0
        self._usage_due_at = 0.0

    def start(self, group: anyio.abc.TaskGroup, timers: Timers) -> None:
        """Starts the periodic messages; sources are polled in the group."""
        if self._feed is not None:
            self._feeds = CacheFeeds(
                *(self._feed, self._sources, self._clock),
                *(self._metrics, group),
            )
        timers.every(FLUSH_INTERVAL_S, self._flush)
        if self._quotas is not None:
            self._quotas.subscribe(timers)

    def set_sources(self, sources: list[FeedSource]) -> None:
        """Replaces the sources that all members together follow."""
        self._sources.set_sources(sources)
        self._follow()

    def requests_at(self, endpoint_id: str) -> int:
        """Counts the requests of all routers to an endpoint."""
        return self._loads.total.load_of(endpoint_digest(endpoint_id)).requests

    def exclude_pause(self, pause_s: float) -> None:
        """Excludes a pause of this process from the silence of the sources."""
        if self._feeds is not None:
            self._feeds.exclude_pause(pause_s)

    def subscribe_to(self, name: str, link: links.Link) -> None:
        """Subscribes to another member, on a link opened by this one."""
        self._upstream[link] = name
        link.send(
            Subscribe(
                *(self._name, self._data_centre),
                is_member=True,
                accepts=ACCEPTED_MESSAGES,
            )
        )
        packed = pack_loads(self._loads.local.all())
        link.send(LoadChanges(self._sent_local_number, packed))
        if reports := self._quarantine.known_reports(self._clock.now()):
            link.send(reports)

    def remove_member(self, name: str) -> None:
        """Forgets the reports of a member whose link has closed."""
        for link in [k for k, known in self._upstream.items() if known == name]:
            del self._upstream[link]
            self._takes_origins.discard(link)
            self._member_accepts.pop(link, None)
        self._sources.remove_member(name)
        self._follow()

    def remove_link(self, link: links.Link) -> None:
        """Ends the subscription on a closed link."""
        if self._quotas is not None:
            self._quotas.remove_link(link)
        subscriber = self._subscribers.pop(link, None)
        if subscriber is not None:
            self._loads.remove(link, subscriber.is_member)
            self._capacities.remove(link)

    def handle(self, link: links.Link, message: object) -> None:
        """Processes a message of `relay_messages`."""
        match message:
            case Subscribe():
                self._add_subscriber(link, message)
            case Subscribed():
                self._add_member(link, message)
            case Relayed() if link in self._upstream:
                self._receive_news(link, message)
            case ResendSources() if link in self._subscribers:
                link.send(self._sources.resend(message))
            case LoadChanges():
                self._receive_loads(link, message)
            case PartReports() if link in self._subscribers:
                self._receive_reports(link, message)
            case StreamOrigins() if link in self._subscribers:
                self._receive_origins(link, message)
            case EndpointRates() if link in self._subscribers:
                is_member = self._subscribers[link].is_member
                self._rates.receive(link, message, is_member, self._clock.now())
            case SpeedReport() if link in self._subscribers:
                self._receive_speeds(link, message)
            case UsageReport() if link in self._subscribers:
                self._receive_usage(link, message)
            case _ if self._quotas is not None:
                self._handle_quotas(link, message)

    def _handle_quotas(self, link: links.Link, message: object) -> None:
        match message:
            case QuotaAsk():
                self._quotas.receive_ask(link, message)
            case QuotaBorrow() if link in self._subscribers:
                name = self._subscribers[link].name
                self._quotas.receive_borrow(link, name, message)
            case QuotaLoan() if link in self._upstream:
                self._quotas.receive_loan(link, self._upstream[link], message)

    def _lenders(self) -> dict[str, links.Link]:
        """Returns the links to the members that lend tokens of quotas."""
        return {
            name: link
            for link, name in self._upstream.items()
            if QuotaBorrow.__name__ in self._member_accepts.get(link, ())
            and not link.closed.is_set()
        }

    def find_origins(self, message: FindOrigins) -> OriginsFound | None:
        """Answers a look-up; None if it is malformed."""
        try:
            return self._origins.find(message, self._clock.now())
        except ValueError as exc:
            log("relay_message_refused", peer="router", reason=str(exc))
            return None

    def _add_member(self, link: links.Link, message: Subscribed) -> None:
        """Notes that another member has accepted this one's subscription."""
        self._sources.add_member(message.name, message.data_centre)
        self._follow()
        if link in self._upstream:
            self._member_accepts[link] = frozenset(message.accepts)
        if message.takes_origins and link in self._upstream:
            self._takes_origins.add(link)
            for reports in self._origins.known_reports(self._clock.now()):
                self._send(link, CONTROL.encode(reports))

    def _receive_origins(self, link: links.Link, message: StreamOrigins):
        is_member = self._subscribers[link].is_member
        try:
            self._origins.receive(message, is_member, self._clock.now())
        except ValueError as exc:
            log("relay_message_refused", peer=link.peer, reason=str(exc))
            link.close()

    def _receive_speeds(self, link: links.Link, report: SpeedReport) -> None:
        is_member = self._subscribers[link].is_member
        try:
            self._capacities.receive(link, report, is_member, self._clock.now())
        except ValueError as exc:
            log("relay_message_refused", peer=link.peer, reason=str(exc))
            link.close()

    def _receive_usage(self, link: links.Link, report: UsageReport) -> None:
        is_member = self._subscribers[link].is_member
        try:
            self._usage.receive(link, report, is_member)
        except ValueError as exc:
            log("relay_message_refused", peer=link.peer, reason=str(exc))
            link.close()

    def _add_subscriber(self, link: links.Link, message: Subscribe) -> None:
        self._subscribers[link] = _Subscriber(
            *(message.name, message.is_member, frozenset(message.accepts))
        )
        log(
            "relay_subscribed",
            subscriber=message.name,
            data_centre=message.data_centre,
        )
        others = self._sources.other_members()
        link.send(
            Subscribed(
                *(self._name, self._data_centre, others),
                takes_origins=True,
                accepts=ACCEPTED_MESSAGES,
            )
        )
        for batch in self._sources.snapshots(message.is_member):
            link.send(batch)
        if not message.is_member:
            link.send(LoadTotals(pack_loads(self._loads.total.all())))
            if notices := self._quarantine.known_notices(self._clock.now()):
                link.send(notices)
            rates = self._rates.known(self._clock.now())
            if rates.entries:
                link.send(rates)
            if self._subscribers[link].takes(CapacityReport):
                link.send(self._capacities.known())

    def _receive_news(self, link: links.Link, news: Relayed) -> None:
        try:
            self._sources.receive(self._upstream[link], news)
        except ValueError as exc:
            log("relay_message_refused", peer=link.peer, reason=str(exc))
            link.close()
            return
        for request in self._sources.take_requests().values():
            link.send(request)
        if news.silent or news.snapshots:
            self._follow()

    def _receive_loads(self, link: links.Link, changes: LoadChanges) -> None:
        subscriber = self._subscribers.get(link)
        if subscriber is None:
            return
        try:
            loads = unpack_loads(changes.packed)
        except ValueError as exc:
            log("relay_message_refused", peer=link.peer, reason=str(exc))
            link.close()
            return
        subscriber.received = changes.number
        self._loads.apply(link, loads, subscriber.is_member)

    def _receive_reports(self, link: links.Link, reports: PartReports) -> None:
        subscriber = self._subscribers[link]
        held = self._quarantine.receive(
            reports, subscriber.is_member, self._clock.now()
        )
        log_held(held, subscriber.name, self._metrics)

    def _follow(self) -> None:
        if self._feeds is not None:
            self._feeds.set_sources(self._sources.followed())

    def _flush(self, now: float) -> None:
        """Sends what has changed since the last call."""
        if self._feeds is not None:
            self._feeds.check_silence(now)
        if now >= self._news_due_at:
            self._news_due_at = now + NEWS_INTERVAL_S
            self._send_news()
            self._review_parts(now)
        self._send_origins(now)
        self._send_local_loads(now)
        self._send_totals(now)
        self._send_rates(now)
        self._send_capacities(now)
        self._send_usage(now)
        if self._feeds is not None:
            self._metrics.gauge("feeds.followed", self._feeds.answering_count)
            self._follow()

    def _send_news(self) -> None:
        batch = self._sources.take_batch()
        if batch is None:
            return
        own, everything = CONTROL.encode(batch.own), CONTROL.encode(batch.all)
        has_own = batch.own != Relayed()
        for link, subscriber in list(self._subscribers.items()):
            if not subscriber.is_member:
                self._send(link, everything)
            elif has_own:
                self._send(link, own)

    def _review_parts(self, now: float) -> None:
        """Decides which parts are held back, and passes on what is known."""
        log_held(self._quarantine.review(now), self._name, self._metrics)
        if reports := self._quarantine.take_reports(now):
            message = CONTROL.encode(reports)
            for link in list(self._upstream):
                self._send(link, message)
        if notices := self._quarantine.take_notices():
            message = CONTROL.encode(notices)
            for link, subscriber in list(self._subscribers.items()):
                if not subscriber.is_member:
                    self._send(link, message)

    def _send_origins(self, now: float) -> None:
        """Passes the origins that routers reported on to other members."""
        for reports in self._origins.take_reports(now):
            message = CONTROL.encode(reports)
            for link in list(self._takes_origins):
                self._send(link, message)

    def _send_local_loads(self, now: float) -> None:
        if now < self._local_due_at:
            return
        changes = self._loads.local.take_changes()
        if not changes:
            return
        self._sent_local_number += 1
        message = CONTROL.encode(
            LoadChanges(self._sent_local_number, pack_loads(changes))
        )
        self._local_due_at = now + len(message) / LOADS_BYTES_S
        for link in list(self._upstream):
            self._send(link, message)

    def _send_totals(self, now: float) -> None:
        if now < self._totals_due_at:
            return
        changes = self._loads.total.take_changes()
        if not changes and now - self._totals_sent_at < LOADS_HEARTBEAT_S:
            return
        self._totals_sent_at = now
        packed = pack_loads(changes)
        self._totals_due_at = now + len(packed) / LOADS_BYTES_S
        for link, subscriber in list(self._subscribers.items()):
            if not subscriber.is_member:
                totals = LoadTotals(packed, subscriber.received)
                self._send(link, CONTROL.encode(totals))

    def _send_rates(self, now: float) -> None:
        """Passes on what was sent to endpoints that name a limit."""
        if now < self._rates_due_at or not self._rates.has_news:
            return
        to_members = self._rates.news_for_members()
        if to_members.entries:
            message = CONTROL.encode(to_members)
            for link in list(self._upstream):
                self._send(link, message)
        longest = 0
        for link, subscriber in list(self._subscribers.items()):
            if not subscriber.is_member:
                message = CONTROL.encode(self._rates.news_for(link))
                longest = max(longest, len(message))
                self._send(link, message)
        self._rates.clear()
        self._rates_due_at = now + longest / RATES_BYTES_S

    def _send_capacities(self, now: float) -> None:
        """Passes on samples to members, and what was learnt to routers."""
        if report := self._capacities.take_member_report(now):
            message = CONTROL.encode(report)
            for link, accepted in list(self._member_accepts.items()):
                if SpeedReport.__name__ in accepted:
                    self._send(link, message)
        if report := self._capacities.take_router_report(now):
            message = CONTROL.encode(report)
            for link, subscriber in list(self._subscribers.items()):
                if subscriber.takes(CapacityReport):
                    self._send(link, message)

    def _send_usage(self, now: float) -> None:
        """Passes on what customers ask for, to those that take it."""
        if now < self._usage_due_at or not self._usage.has_news:
            return
        name = UsageReport.__name__
        to_members = CONTROL.encode(self._usage.news_for_members())
        for link, accepted in list(self._member_accepts.items()):
            if name in accepted:
                self._send(link, to_members)
        longest = 0
        for link, subscriber in list(self._subscribers.items()):
            if name in subscriber.accepts and not subscriber.is_member:
                message = CONTROL.encode(self._usage.news_for(link))
                longest = max(longest, len(message))
                self._send(link, message)
        self._usage.clear()
        self._usage_due_at = now + max(
            USAGE_INTERVAL_S, longest / USAGE_BYTES_S
        )

    def _send(self, link: links.Link, message: bytes) -> None:
        try:
            link.send_encoded(message)
        except LinkError as exc:
            log("link_lost", peer=link.peer, reason=str(exc))
            self.remove_link(link)
