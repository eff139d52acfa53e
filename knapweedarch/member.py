"""Member daemon: a replica with its journal, and the leader's duties."""

import anyio
import anyio.abc
import attrs

from knapweedarch import control, links, replica
from knapweedarch.control import CONTROL
from knapweedarch.exceptions import (
    CodecError,
    CredentialError,
    LinkError,
    ReplicaError,
    RuleError,
)
from knapweedarch.journal import open_journal
from knapweedarch.leases import LeaseTable
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import EndpointStatus
from knapweedarch.rules import parse_rules
from knapweedarch.settings import MemberSettings
from knapweedarch.state import (
    COMMANDS,
    RESULTS,
    Abandon,
    Announce,
    ControlState,
    EndpointAccepted,
    OrdersHeld,
    PutRules,
    RecordFound,
    RecordStatus,
    Reserve,
    Retire,
    RulesAccepted,
    RulesConflict,
    Stamper,
    TakeOrders,
)
from knapweedarch.timers import Clock, Timers

TICK_S = 0.04
REPORT_S = 1.0
RECONNECT_S = 0.2
IN_FORCE_LIMIT_S = 10.0
ANSWER_LIMIT_S = 10.0


@attrs.define
class _Proposal:
    """A command on its way through the log."""

    term: int
    done: anyio.Event = attrs.field(factory=anyio.Event)
    result: bytes | None = None


class Member:
    """One durable control member."""

    def __init__(
        self, settings: MemberSettings, clock: Clock, metrics: Metrics
    ):
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._credential = settings.credential.encode()
        self._journal = open_journal(str(settings.data_folder))
        self._state = ControlState()
        self._applied = 0
        self._applied_term = 0
        self._replica = self._create_replica()
        self._table: LeaseTable | None = None
        self._table_term = 0
        self._stamper: Stamper | None = None
        self._proposals: dict[int, _Proposal] = {}
        self._routers: dict[links.Link, str] = {}
        self._names: dict[str, str] = {}
        self._peers: dict[str, links.Link] = {}
        self._work = anyio.Event()
        self._renewed = anyio.Event()
        self._timers = Timers(clock)
        self.port = 0

    def _create_replica(self) -> replica.Replica:
        restored = self._journal.restored
        if restored.snapshot is not None:
            self._state.restore(restored.snapshot.data)
            self._applied = restored.snapshot.index
        cfg = replica.ReplicaConfig(name=self._settings.name)
        seed = int(self._journal.identity, 16)
        return replica.create_replica(cfg, restored, seed)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Runs until cancelled; raises `JournalError` if a write fails."""
        listen = self._settings.listen
        listener = await anyio.create_tcp_listener(
            local_host=listen.host, local_port=listen.port
        )
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self._timers.every(TICK_S, lambda now: self._work.set())
        self._timers.every(REPORT_S, self._report)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._timers.run)
                group.start_soon(self._drive)
                group.start_soon(self._accept, listener)
                for address in self._settings.members:
                    if address.name != self._settings.name:
                        group.start_soon(self._keep_peer, address)
                task_status.started(self.port)
        finally:
            self._journal.close()

    async def _accept(self, listener: anyio.abc.Listener) -> None:
        await links.serve(
            *(listener, self._credential, CONTROL, self._handle),
            *(self._on_refused, self._on_closed),
        )

    def _on_refused(self, exc: CredentialError) -> None:
        self._metrics.count("credential.refused")
        log("link_refused", reason=str(exc))

    def _on_closed(self, link: links.Link) -> None:
        self._routers.pop(link, None)

    async def _keep_peer(self, address: control.MemberAddress) -> None:
        """Keeps an outgoing link to another member."""
        while True:
            try:
                link = await links.connect(
                    *(address.host, address.port, self._credential),
                    *(CONTROL, self._handle),
                )
            except CredentialError as exc:
                self._on_refused(exc)
            except LinkError:
                pass
            else:
                link.send(
                    control.Hello(self._settings.name, self._journal.identity)
                )
                self._peers[address.name] = link
                await link.run()
                self._peers.pop(address.name, None)
            await anyio.sleep(RECONNECT_S)

    async def _drive(self) -> None:
        """Takes the replica's output: journal first, then messages."""
        while True:
            await self._work.wait()
            self._work = anyio.Event()
            self._replica.tick(self._clock.now())
            output = self._replica.take_output()
            self._journal.save(output)
            for name, message in output.messages:
                self._send_peer(name, message)
            self._install(output)
            for entry in output.committed:
                self._apply(entry)
            self._follow_role()
            self._compact()

    def _send_peer(self, name: str, message: object) -> None:
        link = self._peers.get(name)
        if link is None:
            return
        data = replica.MESSAGES.encode(message)
        try:
            link.send(control.Peer(self._settings.name, data))
        except LinkError:
            self._peers.pop(name, None)

    def _install(self, output: replica.Output) -> None:
        if output.snapshot is not None:
            self._state.restore(output.snapshot.data)
            self._applied = output.snapshot.index

    def _apply(self, entry: replica.Entry) -> None:
        self._applied, self._applied_term = entry.index, entry.term
        result = None
        if entry.kind is replica.EntryKind.DATA:
            before = (self._state.rules_version, self._state.revision)
            result = self._state.apply(entry.data)
            if before != (self._state.rules_version, self._state.revision):
                self._tell_routers()
        proposal = self._proposals.pop(entry.index, None)
        if proposal is not None:
            if proposal.term == entry.term:
                proposal.result = result
            proposal.done.set()

    def _tell_routers(self) -> None:
        for link in list(self._routers):
            try:
                link.send(control.Changed(self._applied))
            except LinkError:
                self._routers.pop(link, None)

    def _follow_role(self) -> None:
        """Starts and ends the leader's duties."""
        leads = self._replica.leader_since is not None
        if leads and self._table_term != self._replica.term:
            self._table = LeaseTable(self._replica.leader_since)
            self._table_term = self._replica.term
            self._stamper = None
            log("leader_started", term=self._replica.term)
        if not leads and self._table is not None:
            self._table, self._table_term = None, 0
            log("leader_stopped", term=self._replica.term)
            for proposal in self._proposals.values():
                proposal.done.set()
            self._proposals.clear()

    def _report(self, now: float) -> None:
        routers = self._table.count(now) if self._table is not None else 0
        self._metrics.gauge("member.leads", int(self._table is not None))
        self._metrics.gauge("member.term", self._replica.term)
        self._metrics.gauge("member.commit_index", self._replica.commit_index)
        self._metrics.gauge("member.routers", routers)
        self._metrics.gauge("member.records", len(self._state.records))

    def _compact(self) -> None:
        due = self._settings.snapshot_every
        if self._replica.entries_since_snapshot >= due:
            self._replica.compact(
                self._applied, self._state.snapshot(), self._clock.now()
            )
            self._work.set()

    def _leading(self) -> bool:
        """Tells whether this member may answer for the system now.

        A new leader knows all committed entries only once one of its own term
        is applied.
        """
        now = self._clock.now()
        return (
            self._table is not None
            and self._replica.leads_until(now) > now
            and self._applied_term == self._replica.term
        )

    async def _handle(self, link: links.Link, message: object):
        match message:
            case control.Peer(sender=sender, data=data):
                self._receive(sender, data)
            case control.Hello(name=name, identity=identity):
                self._note_peer(name, identity)
            case control.Renew():
                return self._renew(link, message)
            case control.Submit(command=data):
                return await self._submit(data)
            case control.Query():
                return self._status()
            case control.Describe():
                return control.Description(
                    self._settings.name,
                    self._journal.identity,
                    self._replica.blank,
                )
            case control.Form(members=members):
                return self._form(members)
        return None

    def _receive(self, sender: str, data: bytes) -> None:
        try:
            message = replica.MESSAGES.decode(data)
        except CodecError as exc:
            log("peer_message_refused", sender=sender, reason=str(exc))
            return
        self._replica.receive(sender, message, self._clock.now())
        self._work.set()

    def _note_peer(self, name: str, identity: str) -> None:
        for address in self._settings.members:
            if address.name == name:
                self._replica.note_peer(
                    name, identity, address.host, address.port
                )
                self._work.set()

    def _redirect(self) -> control.Redirect:
        leader = self._replica.leader or ""
        if leader == self._settings.name:
            leader = ""
        return control.Redirect(leader)

    def _renew(self, link: links.Link, renew: control.Renew):
        if not self._leading():
            return self._redirect()
        now = self._clock.now()
        duration_s = self._table.grant(renew.incarnation, renew.applied, now)
        self._routers[link] = renew.incarnation
        self._names[renew.incarnation] = renew.router
        self._renewed.set()
        self._renewed = anyio.Event()
        state = self._state
        text = state.rules_text
        if renew.rules_version == state.rules_version:
            text = None
        return control.Grant(
            duration_s,
            self._applied,
            state.rules_version,
            text,
            state.revision,
            state.changes_since(renew.revision),
        )

    async def _submit(self, data: bytes):
        if not self._leading():
            return self._redirect()
        command = COMMANDS.decode(data)
        if isinstance(command, Reserve):
            command = attrs.evolve(command, at=self._stamp())
        if isinstance(command, PutRules):
            try:
                parse_rules(command.text)
            except RuleError as exc:
                # Once committed, a faulty file would stop every router.
                return control.Refused("refused", "; ".join(exc.faults[:5]))
        if self._orders_are_held(command):
            return control.Result(RESULTS.encode(OrdersHeld()))
        result = await self._propose(command)
        if result is None:
            return control.Refused(
                "unknown_outcome", "the leader changed before the commit"
            )
        _log_order(command, result)
        result = await self._check_holder(command, result)
        if self._needs_force(command, result) and not await self._in_force():
            return control.Refused(
                "unknown_outcome", "the change is not in force everywhere yet"
            )
        return control.Result(RESULTS.encode(result))

    def _orders_are_held(self, command: object) -> bool:
        """Tells whether another router may still give orders to endpoints."""
        holder = self._state.orders_holder
        return (
            isinstance(command, TakeOrders)
            and holder not in ("", command.holder)
            and self._table.holds(holder, self._clock.now())
        )

    def _stamp(self) -> float:
        if self._stamper is None:
            self._stamper = Stamper(
                self._state.last_stamp, self._replica.leader_since
            )
        return self._stamper.stamp(self._clock.now())

    async def _propose(self, command: object) -> object | None:
        """Commits a command; returns None if the outcome is not known."""
        try:
            index = self._replica.propose(
                COMMANDS.encode(command), self._clock.now()
            )
        except ReplicaError:
            return None
        proposal = _Proposal(self._replica.term)
        self._proposals[index] = proposal
        self._work.set()
        with anyio.move_on_after(ANSWER_LIMIT_S):
            await proposal.done.wait()
        if proposal.result is None:
            return None
        return RESULTS.decode(proposal.result)

    async def _check_holder(self, command: object, result: object) -> object:
        """Ends a reservation whose router can send no more.

        The holder checks its lease right before it sends. Once the lease is
        over it has either sent the call or never will, and only it can know.
        """
        match result:
            case RecordFound(record=record) if (
                record.status is RecordStatus.RESERVED
            ):
                incarnation = record.holder.partition("/")[0]
                if self._table is None or self._table.holds(
                    incarnation, self._clock.now()
                ):
                    return result
                await self._propose(Abandon(incarnation))
                found = self._state.records.get(command.record_key)
                return RecordFound(found) if found else result
        return result

    def _needs_force(self, command: object, result: object) -> bool:
        match command, result:
            case PutRules(), RulesAccepted():
                return True
            case Retire(), EndpointAccepted():
                return True
            case Announce(), EndpointAccepted(status=EndpointStatus.LEAVING):
                return True
        return False

    async def _in_force(self) -> bool:
        """Waits until each router has applied the log up to now."""
        index, term = self._applied, self._replica.term
        with anyio.move_on_after(IN_FORCE_LIMIT_S):
            while self._leading() and self._replica.term == term:
                now = self._clock.now()
                if self._table.in_force(index, now):
                    return True
                delay = self._table.next_change(now) - now
                with anyio.move_on_after(max(delay, 0.001)):
                    await self._renewed.wait()
        return False

    def _status(self):
        if not self._leading():
            return self._redirect()
        now = self._clock.now()
        names = {
            self._names[incarnation]
            for incarnation in self._routers.values()
            if self._table.holds(incarnation, now)
        }
        return control.StatusReply(
            leader=self._settings.name,
            term=self._replica.term,
            commit_index=self._replica.commit_index,
            rules_version=self._state.rules_version,
            rules_text=self._state.rules_text,
            endpoints=tuple(self._state.endpoints.values()),
            members=tuple(
                control.MemberStatus(m.name, m.identity, m.voter)
                for m in self._replica.members
            ),
            routers=tuple(sorted(names)),
            records=len(self._state.records),
            fencing_number=self._state.fencing_number,
        )

    def _form(self, members: tuple[control.FormMember, ...]):
        if not self._replica.blank:
            same = {m.identity for m in members} == {
                m.identity for m in self._replica.members
            }
            if same:
                return control.Formed()
            return control.Refused(
                "refused", f"member {self._settings.name} is in another group"
            )
        self._journal.form(
            tuple(
                replica.Member(m.name, m.identity, m.host, m.port, True)
                for m in members
            )
        )
        self._replica = self._create_replica()
        log("group_formed", members=[m.name for m in members])
        return control.Formed()


def _log_order(command: object, result: object) -> None:
    """Logs operators' orders; a resend is logged again."""
    match command, result:
        case PutRules(request_id=request), RulesAccepted(version=version):
            log("rules_accepted", version=version, request=request)
        case PutRules(request_id=request), RulesConflict(version=version):
            log("rules_conflict", version=version, request=request)
        case Retire(endpoint_id=endpoint), EndpointAccepted():
            log("endpoint_retired", endpoint=endpoint)
        case Announce(endpoint=endpoint, by_operator=True), EndpointAccepted():
            log("endpoint_restored", endpoint=endpoint.id)


def create_member(
    settings: MemberSettings, clock: Clock, metrics: Metrics
) -> Member:
    """Creates a member; opens its journal.

    Raises:
        JournalError: The journal is corrupt or cannot be opened.
    """
    return Member(settings, clock, metrics)
