"""Member daemon: a replica with its journal and its links."""

import anyio
import anyio.abc

from knapweedarch import control, links, replica
from knapweedarch.control import CONTROL
from knapweedarch.exceptions import (
    CodecError,
    CredentialError,
    LinkError,
)
from knapweedarch.journal import open_journal
from knapweedarch.leader import Leader
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.settings import MemberSettings
from knapweedarch.state import ControlState
from knapweedarch.timers import Clock, Timers

TICK_S = 0.04
REPORT_S = 1.0
RECONNECT_S = 0.2
HAND_OVER_S = 1.0


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
        self._open()
        self._peers: dict[str, links.Link] = {}
        self._work = anyio.Event()
        self._timers = Timers(clock)
        self.port = 0

    def _open(self) -> None:
        """Creates replica and state from the journal."""
        restored = self._journal.restored
        name = self._settings.name
        self._replica = replica.create_replica(
            replica.ReplicaConfig(name=name),
            restored,
            seed=int(self._journal.identity, 16),
        )
        self._leader = Leader(
            *(name, self._replica, self._state, self._clock),
            wake=lambda: self._work.set(),
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

    async def prepare_stop(self) -> None:
        """Hands the office to another member before a planned stop."""
        until = self._clock.now() + HAND_OVER_S
        while self._leader.in_office and self._clock.now() < until:
            if self._leader.idle and self._replica.hand_over(self._clock.now()):
                self._work.set()
                # The driver saves and sends before the process ends.
                await anyio.sleep(TICK_S)
                return
            await anyio.sleep(TICK_S / 2)

    async def _accept(self, listener: anyio.abc.Listener) -> None:
        await links.serve(
            *(listener, self._credential, CONTROL, self._handle),
            *(self._on_refused, self._on_closed),
        )

    def _on_refused(self, exc: CredentialError) -> None:
        self._metrics.count("credential.refused")
        log("link_refused", reason=str(exc))

    def _on_closed(self, link: links.Link) -> None:
        self._leader.forget_link(link)

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
                self._leader.apply(entry)
            self._leader.follow_role()
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
            self._leader.applied = output.snapshot.index

    def _report(self, now: float) -> None:
        routers = self._leader.router_count(now)
        self._metrics.gauge("member.leads", int(self._leader.in_office))
        self._metrics.gauge("member.term", self._replica.term)
        self._metrics.gauge("member.commit_index", self._replica.commit_index)
        self._metrics.gauge("member.routers", routers)
        self._metrics.gauge("member.records", len(self._state.records))

    def _compact(self) -> None:
        due = self._settings.snapshot_every
        if self._replica.entries_since_snapshot >= due:
            self._replica.compact(
                self._leader.applied,
                self._state.snapshot(),
                self._clock.now(),
            )
            self._work.set()

    async def _handle(self, link: links.Link, message: object):
        match message:
            case control.Peer(sender=sender, data=data):
                self._receive(sender, data)
            case control.Hello(name=name, identity=identity):
                self._note_peer(name, identity)
            case control.Renew():
                return self._leader.renew(link, message)
            case control.Submit(command=data):
                return await self._leader.submit(data)
            case control.Query():
                return self._leader.status()
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
        self._open()
        log("group_formed", members=[m.name for m in members])
        return control.Formed()


def create_member(
    settings: MemberSettings, clock: Clock, metrics: Metrics
) -> Member:
    """Creates a member; opens its journal.

    Raises:
        JournalError: The journal is corrupt or cannot be opened.
    """
    return Member(settings, clock, metrics)
