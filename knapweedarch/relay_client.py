"""A router's subscription to a member in its own data centre."""

import random
from collections.abc import Callable, Sequence

import anyio

from knapweedarch import links
from knapweedarch.capacity_messages import CapacityReport, SpeedReport
from knapweedarch.control_messages import CONTROL, MemberAddress
from knapweedarch.exceptions import CodecError, CredentialError, LinkError
from knapweedarch.logs import log
from knapweedarch.origin_messages import StreamOrigins
from knapweedarch.peer_loads import PeerLoads
from knapweedarch.quarantine_messages import PartNotices, PartReports
from knapweedarch.quota_messages import QuotaAsk, QuotaGrant
from knapweedarch.rate_messages import EndpointRates
from knapweedarch.relay_messages import (
    ACCEPTED_MESSAGES,
    EndpointLoad,
    LoadTotals,
    MemberPlace,
    Relayed,
    Subscribe,
    Subscribed,
    unpack_loads,
)
from knapweedarch.relayed_parts import RelayedParts
from knapweedarch.task_groups import TaskOwner
from knapweedarch.usage_messages import UsageReport

RETRY_DELAY_S = 0.1
SUBSCRIBE_TIMEOUT_S = 1.0
# A router that subscribes to a member of another data centre tries those whose
# data centre may be its own again after this time.
RETURN_INTERVAL_S = 5.0


class RelayClient(TaskOwner):
    """Keeps one subscription, if possible within the data centre.

    Use it as an asynchronous context manager.

    Args:
        name: Name of this router.
        data_centre: Its data centre.
        credential: The shared credential.
        seeds: Addresses of the members to try first.
        parts: Receives what is cached at the sources.
        on_loads: Called with the loads of the other routers.

    Attributes:
        on_notices: Called with what the member tells about parts of prompts.
        on_rates: Called with the requests of others to limited endpoints.
        on_capacities: Called with what the member learnt of endpoints.
        on_usage: Called with what customers ask of other routers.
        on_subscribed: Called when a member has accepted the subscription.
        on_quota_grant: Called with tokens of customers' quotas.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        credential: bytes,
        seeds: Sequence[MemberAddress],
        parts: RelayedParts,
        on_loads: Callable[[tuple[EndpointLoad, ...]], None],
    ):
        self._name = name
        self._data_centre = data_centre
        self._credential = credential
        self._members = list(seeds)
        self._data_centres: dict[str, str] = {}
        self._parts = parts
        self._on_loads = on_loads
        self.on_notices: Callable[[PartNotices], None] = lambda notices: None
        self.on_rates: Callable[[EndpointRates], None] = lambda rates: None
        self.on_quota_grant: Callable[[QuotaGrant], None] = lambda grant: None
        self.on_capacities: Callable[[CapacityReport], None] = lambda _: None
        self.on_usage: Callable[[UsageReport], None] = lambda report: None
        self.on_subscribed: list[Callable[[], None]] = []
        self._loads = PeerLoads()
        self._link: links.Link | None = None
        self._subscribed = anyio.Event()
        self._relay: Subscribed | None = None
        # Routers that start together must not all try the same member.
        self._random = random.Random()

    @property
    def is_subscribed(self) -> bool:
        """Whether a member accepted the subscription on an open link."""
        return (
            self._link is not None
            and self._subscribed.is_set()
            and not self._link.closed.is_set()
        )

    @property
    def takes_origins(self) -> bool:
        """Whether the member keeps origins of streams."""
        return self.is_subscribed and self._relay.takes_origins

    @property
    def member_name(self) -> str:
        """Name of the member; empty without a subscription."""
        return self._relay.name if self.is_subscribed else ""

    def member_accepts(self, message_class: type) -> bool:
        """Returns whether the member takes a class that not all builds know."""
        return (
            self.is_subscribed and message_class.__name__ in self._relay.accepts
        )

    async def call(self, message: object, timeout_s: float) -> object:
        """Sends a message to the member and waits for its reply.

        Raises:
            LinkError: There is no subscription to a member that knows such
                messages, or no reply arrived in time.
            CodecError: The reply is malformed.
        """
        if not self.takes_origins:
            raise LinkError("no member to ask")
        return await self._link.call(message, timeout_s)

    def set_members(self, members: Sequence[MemberAddress]) -> None:
        """Replaces the known members; ignores an empty sequence."""
        if members:
            self._members = list(members)

    def send_reports(
        self,
        reports: PartReports
        | EndpointRates
        | StreamOrigins
        | QuotaAsk
        | SpeedReport
        | UsageReport,
    ) -> None:
        """Sends reports to the member; they are lost without subscription."""
        if self.is_subscribed:
            self._send(reports)

    def report_loads(self, own: Sequence[EndpointLoad]) -> None:
        """Reports this router's loads, if they have changed."""
        if not self.is_subscribed:
            return
        message = self._loads.take_changes(own)
        if message is not None:
            self._send(message)

    def _send(self, message: object) -> None:
        try:
            self._link.send(message)
        except LinkError as exc:
            log("link_lost", peer=self._link.peer, reason=str(exc))
            self._link.close()

    async def run(self) -> None:
        """Subscribes, and subscribes again whenever the link has closed."""
        while True:
            for member in self._candidates():
                if await self._try_member(member):
                    break
            await anyio.sleep(RETRY_DELAY_S * self._random.uniform(0.5, 1.5))

    def _candidates(self) -> list[MemberAddress]:
        """Returns the members to try, those of the own data centre first."""
        members = self._random.sample(self._members, len(self._members))
        return sorted(members, key=self._distance)

    def _distance(self, member: MemberAddress) -> int:
        known = self._data_centres.get(member.name)
        if known is None:
            return 1
        return 0 if known == self._data_centre else 2

    async def _try_member(self, member: MemberAddress) -> bool:
        """Subscribes to a member and stays until the link closes.

        A member of another data centre is left as soon as one of the own data
        centre accepts connections.

        Returns:
            Whether the member accepted the subscription.
        """
        try:
            link = await links.connect(
                *(member.host, member.port, self._credential),
                *(CONTROL, self._handle),
            )
        except (LinkError, CodecError, CredentialError) as exc:
            log("relay_not_reached", member=member.name, reason=str(exc))
            return False
        self._subscribed = anyio.Event()
        self._loads.reset()
        self._parts.reset()
        self._link = link
        # The end of the link cancels the wait for an answer.
        accepted = False
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_link, link, group.cancel_scope)
            link.send(
                Subscribe(
                    *(self._name, self._data_centre), accepts=ACCEPTED_MESSAGES
                )
            )
            accepted = await self._stay(member, link)
            link.close()
        return accepted

    async def _run_link(
        self, link: links.Link, scope: anyio.CancelScope
    ) -> None:
        await link.run()
        scope.cancel()

    async def _stay(self, member: MemberAddress, link: links.Link) -> bool:
        """Returns once another member should be tried.

        Returns:
            Whether the member accepted the subscription.
        """
        with anyio.move_on_after(SUBSCRIBE_TIMEOUT_S):
            await self._subscribed.wait()
        if not self._subscribed.is_set():
            log("relay_not_reached", member=member.name, reason="no answer")
            return False
        if self._relay.data_centre == self._data_centre:
            await link.closed.wait()
        else:
            await self._wait_for_near_member(link)
        return True

    async def _wait_for_near_member(self, link: links.Link) -> None:
        """Waits until a member of the own data centre accepts connections."""
        while not link.closed.is_set():
            for member in list(self._members):
                if self._distance(member) == 0 and await _accepts(member):
                    return
            with anyio.move_on_after(RETURN_INTERVAL_S):
                await link.closed.wait()

    async def _handle(self, link: links.Link, message: object) -> None:
        if link is not self._link:
            return
        match message:
            case Subscribed():
                self._accept(message)
            case Relayed():
                self._receive_news(link, message)
            case LoadTotals():
                self._receive_loads(link, message)
            case PartNotices():
                self.on_notices(message)
            case EndpointRates():
                self.on_rates(message)
            case QuotaGrant():
                self.on_quota_grant(message)
            case CapacityReport():
                self.on_capacities(message)
            case UsageReport():
                self._receive_usage(link, message)

    def _accept(self, relay: Subscribed) -> None:
        self._relay = relay
        places = (MemberPlace(relay.name, relay.data_centre), *relay.others)
        self._data_centres.update((p.name, p.data_centre) for p in places)
        self._subscribed.set()
        for call_back in self.on_subscribed:
            call_back()
        log("relay_found", member=relay.name, data_centre=relay.data_centre)

    def _receive_news(self, link: links.Link, news: Relayed) -> None:
        try:
            self._parts.receive(news)
        except ValueError as exc:
            log("relay_message_refused", peer=link.peer, reason=str(exc))
            link.close()

    def _receive_usage(self, link: links.Link, report: UsageReport) -> None:
        try:
            self.on_usage(report)
        except ValueError as exc:
            log("relay_message_refused", peer=link.peer, reason=str(exc))
            link.close()

    def _receive_loads(self, link: links.Link, totals: LoadTotals) -> None:
        try:
            self._loads.receive(unpack_loads(totals.packed))
        except ValueError as exc:
            log("relay_message_refused", peer=link.peer, reason=str(exc))
            link.close()
            return
        self._loads.confirm(totals.received)
        self._on_loads(self._loads.others())


async def _accepts(member: MemberAddress) -> bool:
    """Returns whether a member accepts a connection."""
    try:
        with anyio.fail_after(links.CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(member.host, member.port)
    except (OSError, TimeoutError):
        return False
    await stream.aclose()
    return True
