"""Member daemon: a replica with its journal and its links to other members."""

import math
from collections.abc import Iterable, Sequence

import anyio
import anyio.abc
import attrs

from knapweedarch import control, links, replica
from knapweedarch.cache_feeds import CacheFeed
from knapweedarch.committed_entries import CommittedEntries
from knapweedarch.control import CONTROL
from knapweedarch.exceptions import (
    CodecError,
    ControlError,
    CredentialError,
    JournalFullError,
)
from knapweedarch.forming import (
    FormingPromise,
    FormingSchedule,
    GroupCompletion,
    create_founding,
    create_schedule,
    founding_seeds,
)
from knapweedarch.journal import open_journal
from knapweedarch.journal_writer import DISK_SPACE_RETRY_S, JournalWriter
from knapweedarch.leader import NOTIFY_INTERVAL_S, Leader
from knapweedarch.logs import log
from knapweedarch.member_relay import MemberRelay
from knapweedarch.metrics import Metrics
from knapweedarch.models import EndpointKind
from knapweedarch.origin_messages import FindOrigins, ReadVersions
from knapweedarch.peer_links import PeerLinks
from knapweedarch.process_pauses import PauseDetector
from knapweedarch.process_start import STARTED_AT_S
from knapweedarch.quota_relay import QuotaRelay
from knapweedarch.settings import Address, MemberSettings, seed_addresses
from knapweedarch.source_relay import FeedSource
from knapweedarch.state import ControlState
from knapweedarch.timers import Clock, Timers

TICK_S = 0.04
METRICS_INTERVAL_S = 1.0
# A member that has known no leader for the first time tells so, and again each
# time that the second one has passed.
LEADERLESS_S = 2.0
LEADERLESS_REPORT_S = 5.0
HAND_OVER_TIMEOUT_S = 1.0
JOIN_INTERVAL_S = 0.25
JOIN_TIMEOUT_S = 1.0
SILENCE_CHECK_INTERVAL_S = 0.5
# A blank member takes no first list for this time after a leader answered it.
GROUP_SEEN_S = 3.0


class Member:
    """A control member with durable state.

    Attributes:
        port: TCP port that the member listens on; 0 before `run`.
        relay: Relays cached parts and loads to routers and other members.
    """

    def __init__(
        self,
        settings: MemberSettings,
        clock: Clock,
        metrics: Metrics,
        started_at: float,
        feed: CacheFeed | None = None,
    ):
        self._started_at = started_at
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._credential = settings.credential.encode()
        self._journal = open_journal(
            str(settings.data_folder),
            founding=create_founding(settings.seeds)
            if settings.bootstrap
            else None,
        )
        self._writer = JournalWriter(
            *(self._journal, clock, metrics, self._suspend_replica)
        )
        self._state = ControlState()
        self._load_journal(started_at)
        self._quotas = QuotaRelay(
            *(self._journal.identity, settings.quota_bounds, clock, metrics)
        )
        self.relay = MemberRelay(
            *(settings.name, settings.data_centre, clock, metrics, feed),
            quotas=self._quotas,
        )
        self._peers = PeerLinks(
            control.Hello(settings.name, self._journal.identity),
            *(self._credential, self._handle, self._on_link_refused),
        )
        self._peers.on_opened = self.relay.subscribe_to
        self._peers.on_closed = self.relay.remove_member
        self._relayed_versions = (-1, -1)
        self._control = control.create_control_client(
            settings.members or seed_addresses(settings.seeds),
            *(self._credential, clock),
        )
        self._schedule = self._create_schedule()
        self._group_seen_at = -math.inf
        self._promise = FormingPromise()
        self._completion = GroupCompletion(
            self._control, self._journal.identity
        )
        self._work = anyio.Event()
        self._timers = Timers(clock)
        self._members: tuple[replica.Member, ...] = ()
        self._leader_known_at = self._leaderless_told_at = clock.now()
        self._is_stopping = False
        self.port = 0

    def _load_journal(self, wait_from: float) -> None:
        """Creates the replica and the state from the journal.

        Args:
            wait_from: Start of the time without votes, in seconds on the
                member's clock.
        """
        restored = self._journal.restored
        name = self._settings.name
        self._replica = replica.create_replica(
            replica.ReplicaConfig(name=name, voters=self._settings.voters),
            restored,
            seed=int(self._journal.identity, 16),
        )
        # An earlier process of this member may have acknowledged a leader, so
        # the replica grants no votes for a fixed time after its first tick.
        # Counting from here instead of from the start of this process would
        # lengthen the wait: imports take a third of that time.
        self._replica.tick(wait_from)
        self._leader = Leader(
            *(name, self._replica, self._state, self._clock),
            wake=lambda: self._work.set(),
            lease_s=self._settings.lease_s,
            silent_s=self._settings.silent_s,
        )
        self._committed = CommittedEntries(
            self._leader.apply, wake=lambda: self._work.set()
        )
        if restored.snapshot is not None:
            self._state.restore(restored.snapshot.data)
            self._leader.applied = restored.snapshot.index

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Runs until cancelled; raises `JournalError` if a write fails."""
        listen = self._settings.listen
        listener = await anyio.create_tcp_listener(
            local_host=listen.host, local_port=listen.port
        )
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self._timers.every(TICK_S, lambda now: self._work.set())
        PauseDetector(self._timers, self.relay.exclude_pause)
        self._timers.every(METRICS_INTERVAL_S, self._report_metrics)
        self._timers.every(SILENCE_CHECK_INTERVAL_S, self._check_silence)
        self._timers.every(
            NOTIFY_INTERVAL_S, lambda now: self._leader.notify_routers()
        )
        try:
            async with (
                listener,
                self._control,
                anyio.create_task_group() as group,
            ):
                self._group = group
                self._peers.start(group)
                self.relay.start(group, self._timers)
                group.start_soon(self._timers.run)
                group.start_soon(self._run_replica)
                group.start_soon(self._accept, listener)
                self._peers.set_members(self._settings.members)
                if self._settings.seeds:
                    group.start_soon(self._form)
                    group.start_soon(self._join)
                task_status.started(self.port)
        finally:
            self._journal.close()

    async def submit(self, command: object, timeout_s: float) -> object:
        """Submits a command to the leader, possibly this member.

        Raises:
            ControlError: See `control.ControlClient.submit`.
        """
        return await self._control.submit(command, timeout_s, in_force=False)

    async def request(self, message: object, timeout_s: float) -> object:
        """Sends a message of `control_messages` to the leader.

        Raises:
            ControlError: See `control.ControlClient.request`.
        """
        return await self._control.request(message, timeout_s)

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Adds the seeds of changed settings."""
        self._control.add_members(seed_addresses(seeds))

    @property
    def leader(self) -> Leader:
        """Leader of the group; active only while this member leads."""
        return self._leader

    @property
    def state(self) -> ControlState:
        """State after the log entries that this member has applied."""
        return self._state

    @property
    def term(self) -> int:
        """Current term of this member."""
        return self._replica.term

    def leads_until(self) -> float:
        """Returns when this member's leader lease expires.

        The time is in seconds on the member's clock; 0.0 without a lease.
        """
        return self._replica.leads_until(self._clock.now())

    async def _form(self) -> None:
        """Forms the group, or completes one that is formed only in part."""
        while True:
            if self._replica.knows_group:
                self._end_founding()
            elif not self._replica.blank:
                await self._completion.run_once(self._replica.first_members)
            elif self._should_form():
                await self._form_first_group()
            await anyio.sleep(JOIN_INTERVAL_S)

    def _should_form(self) -> bool:
        """Returns whether this member must form the group.

        The seeds of a new deployment do until there is a group, but not at the
        same time.
        """
        return (
            self._journal.founding is not None
            and self._replica.blank
            and self._schedule.is_due(self._clock.now())
        )

    def _create_schedule(self) -> FormingSchedule:
        founding = self._journal.founding
        return create_schedule(
            founding_seeds(founding) if founding is not None else (),
            *(self._settings.listen, self._clock.now()),
            int(self._journal.identity, 16),
        )

    async def _form_first_group(self) -> None:
        seeds = founding_seeds(self._journal.founding)
        addresses = (control.MemberAddress("", s.host, s.port) for s in seeds)
        try:
            await self._control.form(tuple(addresses))
        except ControlError as exc:
            self._report_group_not_found(exc)
            self._schedule.note_failure(
                self._clock.now(), refused=exc.reason == "refused"
            )

    def _end_founding(self) -> None:
        """Forms no group from now on, since there is one."""
        if self._journal.founding is not None:
            self._journal.end_founding()

    async def _join(self) -> None:
        """Joins the group as long as this member is in no group.

        A member that knows no leader asks to join as well, since the reply
        brings the current addresses of the members.
        """
        while True:
            if not (self._replica.knows_group or self._is_stopping):
                try:
                    await self._ask_to_join()
                except ControlError as exc:
                    self._report_group_not_found(exc)
            await anyio.sleep(JOIN_INTERVAL_S)

    def _report_group_not_found(self, exc: ControlError) -> None:
        self._metrics.count("member.joins_failed")
        log(
            "group_not_found",
            reason=str(exc),
            blank=self._replica.blank,
            forms=self._should_form(),
            leader=self._replica.leader,
        )

    def _join_request(self) -> control.Join:
        return control.Join(
            *(self._settings.name, self._journal.identity),
            *(self._settings.listen.host, self.port),
        )

    async def _ask_to_join(self) -> None:
        joining = await self._control.request(
            self._join_request(), JOIN_TIMEOUT_S
        )
        self._group_seen_at = self._clock.now()
        self._end_founding()
        self._peers.set_members(joining.members)
        self._control.set_members(joining.members)

    def _apply_member_list(self) -> None:
        """Applies the addresses of the member list if it changed."""
        members = self._replica.members
        if not self._settings.seeds or members == self._members:
            return
        self._members = members
        addresses = self._leader.addresses()
        self._peers.set_members(addresses)
        self._control.set_members(addresses)
        log(
            "members_changed",
            voters=[m.name for m in members if m.voter],
            learners=[m.name for m in members if not m.voter],
        )

    def _report_member_changes(self) -> None:
        for change in self._replica.take_member_changes():
            self._metrics.count(f"member.changes.{change.kind.value}")
            log(
                "member_change",
                change=change.kind,
                member=change.member.name,
                identity=change.member.identity,
                voters=[m.name for m in change.members if m.voter],
                learners=[m.name for m in change.members if not m.voter],
            )

    def _report_missing_leader(self, now: float) -> None:
        """Tells why no member leads, as far as this one can know."""
        if self._replica.knows_group:
            self._leader_known_at = self._leaderless_told_at = now
            return
        waited_s = now - self._leader_known_at
        interval_s = (
            LEADERLESS_S
            if self._leaderless_told_at == self._leader_known_at
            else LEADERLESS_REPORT_S
        )
        if now - self._leaderless_told_at < interval_s:
            return
        self._leaderless_told_at = now
        report = self._replica.election_report()
        log(
            "leader_missing",
            for_s=round(waited_s, 3),
            role=self._replica.role,
            term=self._replica.term,
            last_index=self._replica.last_index,
            blank=self._replica.blank,
            suspended=self._replica.suspended,
            voters=report.voters,
            answered=report.answered,
            granted=report.granted,
        )

    def _check_silence(self, now: float) -> None:
        self._group.start_soon(self._leader.mark_silent)

    async def prepare_stop(self) -> None:
        """Gives up the leadership and the vote before a planned stop."""
        until = self._clock.now() + HAND_OVER_TIMEOUT_S
        self._is_stopping = True
        await self._transfer_leadership(until)
        if self._settings.seeds and self._is_voter():
            await self._release_vote(until)

    def _is_voter(self) -> bool:
        return any(
            m.voter and m.identity == self._journal.identity
            for m in self._replica.members
        )

    async def _release_vote(self, until: float) -> None:
        """Waits until a spare member has taken over this one's vote, if any."""
        leave = attrs.evolve(self._join_request(), is_leaving=True)
        try:
            while (left_s := until - self._clock.now()) > 0:
                reply = await self._control.request(leave, left_s)
                if not reply.is_awaited:
                    return
                await anyio.sleep(TICK_S / 2)
        except ControlError as exc:
            log("vote_not_released", reason=str(exc))

    async def _transfer_leadership(self, until: float) -> None:
        while self._leader.is_active and self._clock.now() < until:
            if self._leader.idle and self._replica.transfer_leadership(
                self._clock.now()
            ):
                self._work.set()
                # Time to save the output and send the messages of the
                # handover before the process ends.
                await anyio.sleep(TICK_S)
                return
            await anyio.sleep(TICK_S / 2)

    async def _accept(self, listener: anyio.abc.Listener) -> None:
        await links.serve(
            *(listener, self._credential, CONTROL, self._handle),
            *(self._on_link_refused, self._on_link_closed),
        )

    def _on_link_refused(self, exc: CredentialError) -> None:
        self._metrics.count("credential.refused")
        log("link_refused", reason=str(exc))

    def _on_link_closed(self, link: links.Link) -> None:
        self._leader.remove_link(link)
        self.relay.remove_link(link)
        self._peers.remove(link)

    async def _run_replica(self) -> None:
        """Processes the replica's output: journal first, then messages.

        While an output waits for space on the disk, the replica is suspended
        and the member serves only what needs no record.
        """
        while True:
            await self._work.wait()
            self._work = anyio.Event()
            self._replica.tick(self._clock.now())
            output = self._replica.take_output()
            if await self._writer.save(output):
                self._send_to_peers(output.messages)
            else:
                self._replica.resume()
            self._install_snapshot(output)
            self._committed.add(output.committed)
            self._committed.apply_next()
            self._leader.update_role()
            self._report_member_changes()
            self._apply_member_list()
            self._update_sources()
            self._update_quota_group()
            self._compact_if_due()

    def _send_to_peers(
        self, messages: Sequence[tuple[str, replica.Message]]
    ) -> None:
        for name, message in messages:
            data = replica.MESSAGES.encode(message)
            self._peers.send(name, control.Peer(self._settings.name, data))

    def _suspend_replica(self) -> None:
        """Gives up leading; pending proposals end with an unknown outcome."""
        self._send_to_peers(self._replica.suspend(self._clock.now()))
        self._leader.update_role()

    def _update_sources(self) -> None:
        """Passes the runners in use and the stores to the relay."""
        state = self._state
        deployment = state.deployment
        versions = (state.revision, deployment.version if deployment else -1)
        if versions == self._relayed_versions:
            return
        self._relayed_versions = versions
        sources = [
            FeedSource(e.endpoint.address, e.endpoint.data_centre)
            for e in state.endpoints.values()
            if e.endpoint.kind is EndpointKind.RUNNER
            and e.endpoint.in_use
            and state.uses(e.endpoint)
        ]
        sources += [
            FeedSource(store.address, store.data_centre)
            for store in (deployment.stores if deployment else ())
        ]
        self.relay.set_sources(sources)
        if deployment is not None:
            self._quotas.set_customers(deployment.customers)

    def _update_quota_group(self) -> None:
        """Tells which members mint quotas, and whether this one may."""
        voters = frozenset(m.identity for m in self._replica.members if m.voter)
        hears_leader = self._replica.knows_group
        if self._leader.is_active:
            # A leader that is cut off leads until it notices.
            hears_leader = self.leads_until() > self._clock.now()
        self._quotas.set_group(voters, hears_leader)

    def _install_snapshot(self, output: replica.Output) -> None:
        if output.snapshot is not None:
            self._committed.clear()
            self._state.restore(output.snapshot.data)
            self._leader.applied = output.snapshot.index

    def _report_metrics(self, now: float) -> None:
        self._report_missing_leader(now)
        members = self._replica.members
        voters = sum(m.voter for m in members)
        self._metrics.gauge("member.voters", voters)
        self._metrics.gauge("member.learners", len(members) - voters)
        self._metrics.gauge(
            "member.silent_voters", len(self._replica.silent_voters)
        )
        self._metrics.gauge("member.follows", int(self._replica.knows_group))
        routers = self._leader.router_count(now)
        self._metrics.gauge("member.leads", int(self._leader.is_active))
        self._metrics.gauge("member.term", self._replica.term)
        self._metrics.gauge("member.commit_index", self._replica.commit_index)
        self._metrics.gauge("member.routers", routers)
        self._metrics.gauge("member.records", len(self._state.records))

    def _compact_if_due(self) -> None:
        threshold = self._settings.snapshot_every
        if self._committed:
            return
        if self._replica.entries_since_snapshot >= threshold:
            self._replica.compact(
                self._leader.applied,
                self._state.snapshot(),
                self._clock.now(),
            )
            self._work.set()

    async def _handle(self, link: links.Link, message: object):
        match message:
            case control.Peer(sender=sender, data=data):
                self._receive_peer_message(sender, data)
            case control.Hello(name=name, identity=identity):
                self._register_peer(link, name, identity)
            case control.Renew():
                return self._leader.renew(link, message)
            case control.Submit(command=data, in_force=in_force):
                return await self._leader.submit(data, in_force)
            case control.Heartbeat():
                return await self._leader.heartbeat(message)
            case control.ReadDeployment():
                return self._leader.read_deployment()
            case control.FindPeers(router=router):
                return self._leader.find_peers(router)
            case FindOrigins():
                return self.relay.find_origins(message)
            case ReadVersions(service=service):
                return self._leader.read_versions(service)
            case control.Join():
                return self._leader.register_joining(message)
            case control.Query():
                return self._leader.status()
            case control.Describe():
                self._promise.give(link)
                return control.Description(
                    self._settings.name,
                    self._journal.identity,
                    self._replica.blank,
                )
            case control.Form(members=members):
                return self._form_group(link, members)
            case _:
                self.relay.handle(link, message)
        return None

    def _receive_peer_message(self, sender: str, data: bytes) -> None:
        try:
            message = replica.MESSAGES.decode(data)
        except CodecError as exc:
            log("peer_message_refused", sender=sender, reason=str(exc))
            return
        if self._replica.suspended:
            self._metrics.count("member.messages_ignored")
            return
        self._replica.receive(sender, message, self._clock.now())
        self._work.set()

    def _register_peer(
        self, link: links.Link, name: str, identity: str
    ) -> None:
        # A member that was down while others were replaced must be able to
        # answer a leader that its own list does not name yet.
        self._peers.add_incoming(name, link)
        for address in self._settings.members or self._leader.addresses():
            if address.name == name:
                self._replica.note_peer(
                    name, identity, address.host, address.port
                )
                self._work.set()

    def _form_group(
        self, link: links.Link, members: tuple[control.FormMember, ...]
    ):
        if not self._replica.blank:
            same_group = {m.identity for m in members} == {
                m.identity for m in self._replica.members
            }
            if same_group:
                return control.Formed()
            return control.Refused(
                "refused",
                f"member {self._settings.name} belongs to another group",
            )
        if self._journal.identity not in {m.identity for m in members}:
            return control.Refused(
                "refused", f"the group does not list {self._settings.name}"
            )
        if self._clock.now() - self._group_seen_at < GROUP_SEEN_S:
            return control.Refused(
                "refused",
                f"{self._settings.name} knows of a group, whose leader adds it",
            )
        if not self._promise.allows(link):
            return control.Refused(
                "refused",
                f"another process forms the group with {self._settings.name}",
            )
        if self._replica.suspended:
            return control.Refused(
                "refused", f"the disk of {self._settings.name} is full"
            )
        formed = tuple(
            replica.Member(m.name, m.identity, m.host, m.port, True)
            for m in members
        )
        # A member that has saved a term may have acknowledged its leader.
        wait_from = (
            self._started_at if self._journal.blank else self._clock.now()
        )
        try:
            self._journal.form(formed)
        except JournalFullError as exc:
            return control.Refused("refused", str(exc))
        self._load_journal(wait_from)
        log("group_formed", members=[m.name for m in members])
        return control.Formed()


def create_member(
    settings: MemberSettings,
    clock: Clock,
    metrics: Metrics,
    started_at: float | None = None,
    feed: CacheFeed | None = None,
) -> Member:
    """Opens the journal and creates a member.

    Args:
        settings: Settings of the member.
        clock: Time source.
        metrics: Metrics of the process.
        started_at: Start of the process on `clock`, in seconds; now if None.
        feed: Requests for cache events; None if runners send none.

    Raises:
        JournalError: The journal is corrupt or cannot be opened.
    """
    if started_at is None:
        started_at = clock.now()
    return Member(settings, clock, metrics, started_at, feed)


async def open_member(
    settings: MemberSettings,
    clock: Clock,
    metrics: Metrics,
    feed: CacheFeed | None = None,
) -> Member:
    """Creates a member; waits while the disk has no room for the journal.

    A member that exited instead would be restarted repeatedly. The arguments
    are those of `create_member`.

    Raises:
        JournalError: The journal is corrupt or cannot be opened.
    """
    waiting = False
    while True:
        try:
            return create_member(
                *(settings, clock, metrics, STARTED_AT_S, feed)
            )
        except JournalFullError as exc:
            if not waiting:
                log("journal_full", reason=str(exc))
            waiting = True
        await anyio.sleep(DISK_SPACE_RETRY_S)
