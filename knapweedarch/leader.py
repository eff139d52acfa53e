"""Leases, commands and status on the member that is the leader."""

import contextlib
import math
import random
from collections.abc import Callable

import anyio
import attrs

from knapweedarch import control, links, replica
from knapweedarch.cache_scopes import for_earlier_build
from knapweedarch.codec import LONG_MESSAGE_BYTES
from knapweedarch.control_messages import members_digest, pack_deployment
from knapweedarch.deployments import Deployment
from knapweedarch.endpoint_registry import EndpointRegistry
from knapweedarch.exceptions import LinkError, ReplicaError, RuleError
from knapweedarch.leases import LEASE_S, LeaseTable
from knapweedarch.logs import log
from knapweedarch.models import EndpointStatus
from knapweedarch.origin_messages import ServiceVersions
from knapweedarch.rules import parse_steps
from knapweedarch.state import (
    COMMANDS,
    RESULTS,
    Abandon,
    Announce,
    ControlState,
    DeploymentAccepted,
    EndpointAccepted,
    NameWeights,
    OrdersHeld,
    PutDeployment,
    PutRules,
    RecordFound,
    RecordStatus,
    Reserve,
    Retire,
    RulesAccepted,
    RulesConflict,
    TakeOrders,
    TimestampSource,
    WeightsNamed,
)
from knapweedarch.steps import run_steps
from knapweedarch.timers import Clock

IN_FORCE_TIMEOUT_S = 10.0
# Routers are told of changes at most once in this time. While weights are
# rolled out over many runners, each change would otherwise make every router
# renew.
NOTIFY_INTERVAL_S = 0.1
PROPOSAL_TIMEOUT_S = 10.0
MAX_REPORTED_FAULTS = 5
# Routers named to one that lacks paths to endpoints.
MAX_PEERS = 4


@attrs.define
class _Proposal:
    """A command that is in the log but not applied yet."""

    term: int
    done: anyio.Event = attrs.field(factory=anyio.Event)
    result: bytes | None = None


@attrs.define
class _PackedDeployment:
    """A configuration as it is sent to routers, packed once for each build."""

    deployment: Deployment
    _data: dict[bool, bytes] = attrs.field(factory=dict)

    def data(self, reads_unshared: bool) -> bytes:
        """Returns the bytes for routers that do or do not read `unshared`."""
        if reads_unshared not in self._data:
            deployment = self.deployment
            if not reads_unshared:
                deployment = for_earlier_build(deployment)
            self._data[reads_unshared] = pack_deployment(deployment)
        return self._data[reads_unshared]


class Leader:
    """Serves routers and operators while this member is the leader.

    Args:
        name: Name of this member.
        log_replica: Replica of the log.
        state: State that the log is applied to.
        clock: Time source.
        wake: Called after a command was appended to the log.
        lease_s: Duration of a router's lease in seconds.
        silent_s: Time in seconds without a heartbeat after which an endpoint
            is marked silent; 0 if endpoints send no heartbeats.

    Attributes:
        applied: Index of the last entry applied to the state.
        endpoints: Registry of the endpoints that send heartbeats.
    """

    def __init__(
        self,
        name: str,
        log_replica: replica.Replica,
        state: ControlState,
        clock: Clock,
        wake: Callable[[], None],
        lease_s: float = LEASE_S,
        silent_s: float = 0.0,
    ):
        self._lease_s = lease_s
        self.endpoints = EndpointRegistry(state, clock, self._propose, silent_s)
        self.applied = 0
        self._applied_term = 0
        self._name = name
        self._replica = log_replica
        self._state = state
        self._clock = clock
        self._wake = wake
        self._leases: LeaseTable | None = None
        self._active_term = 0
        self._timestamps: TimestampSource | None = None
        self._proposals: dict[int, _Proposal] = {}
        self._routers: dict[links.Link, control.Renew] = {}
        # Routers that lose their paths together must not all get the same.
        self._random = random.Random(name)
        self._renewed = anyio.Event()
        self._awaited_changes = 0
        self._notified_at = -math.inf
        self._notify_due = False
        self._packed: _PackedDeployment | None = None

    @property
    def is_active(self) -> bool:
        """Whether this member acts as the leader."""
        return self._leases is not None

    @property
    def idle(self) -> bool:
        """Whether no proposed command is pending."""
        return not self._proposals

    def router_count(self, now: float) -> int:
        """Counts the routers with an unexpired lease."""
        return self._leases.count(now) if self._leases is not None else 0

    def remove_link(self, link: links.Link) -> None:
        """Removes the state of a closed link."""
        self._routers.pop(link, None)

    def apply(
        self, entry: replica.Entry, command: object | None = None
    ) -> None:
        """Applies a committed entry and completes its proposal.

        Args:
            entry: The entry.
            command: Its command if it is decoded already.
        """
        self.applied, self._applied_term = entry.index, entry.term
        result = None
        if entry.kind is replica.EntryKind.DATA:
            before = self._router_visible_versions()
            result = self._state.apply(entry.data, command)
            if self._state.revision != before[1]:
                self.endpoints.update_loading()
            if before != self._router_visible_versions():
                self._notify_due = True
                self.notify_routers()
        proposal = self._proposals.pop(entry.index, None)
        if proposal is not None:
            if proposal.term == entry.term:
                proposal.result = result
            proposal.done.set()

    def _router_visible_versions(self) -> tuple[int, int, int, int]:
        state = self._state
        return (
            *(state.rules_version, state.revision),
            state.deployment.version if state.deployment else -1,
            sum(state.weights.values()),
        )

    def notify_routers(self) -> None:
        """Tells the routers of a change, unless they were told just now."""
        now = self._clock.now()
        if not self._notify_due or now < self._notified_at + NOTIFY_INTERVAL_S:
            return
        self._notify_due, self._notified_at = False, now
        for link in list(self._routers):
            try:
                link.send(control.Changed(self.applied))
            except LinkError:
                self._routers.pop(link, None)

    def update_role(self) -> None:
        """Starts or stops acting as the leader after a change of role."""
        is_leader = self._replica.leader_since is not None
        if is_leader and self._active_term != self._replica.term:
            self._leases = LeaseTable(self._replica.leader_since, self._lease_s)
            self.endpoints.start_term(self._replica.leader_since)
            self._active_term = self._replica.term
            self._timestamps = None
            log("leader_started", term=self._replica.term)
        if not is_leader and self._leases is not None:
            self._leases, self._active_term = None, 0
            log(
                "leader_stopped",
                term=self._replica.term,
                reason=self._replica.leadership_end,
                silent=self._replica.silent_at_end,
            )
            for proposal in self._proposals.values():
                proposal.done.set()
            self._proposals.clear()

    def _can_serve(self) -> bool:
        """Returns whether this member may answer as the leader now.

        A new leader knows all committed entries only once an entry of its own
        term is applied.
        """
        now = self._clock.now()
        return (
            self._leases is not None
            and self._replica.leads_until(now) > now
            and self._applied_term == self._replica.term
        )

    def _redirect(self) -> control.Redirect:
        leader = self._replica.leader or ""
        if leader == self._name:
            leader = ""
        address = next((a for a in self.addresses() if a.name == leader), None)
        return control.Redirect(leader, address)

    def addresses(self) -> tuple[control.MemberAddress, ...]:
        """Returns the addresses of the members."""
        return tuple(
            control.MemberAddress(m.name, m.host, m.port)
            for m in self._replica.members
        )

    def renew(
        self, link: links.Link, renew: control.Renew
    ) -> control.Grant | control.Redirect:
        """Grants a lease and returns the changes that the router lacks."""
        if not self._can_serve():
            return self._redirect()
        now = self._clock.now()
        duration_s = self._leases.grant(renew.incarnation, renew.applied, now)
        self._routers[link] = renew
        self._renewed.set()
        self._renewed = anyio.Event()
        state = self._state
        text = state.rules_text
        if renew.rules_version == state.rules_version:
            text = None
        return control.Grant(
            duration_s,
            self.applied,
            state.rules_version,
            text,
            state.revision,
            state.changes_since(renew.revision),
            self._leases.count(now),
            self._deployment_for(renew),
            self._addresses_for(renew),
            dict(state.weights),
            is_awaited=self._awaited_changes > 0,
        )

    def find_peers(self, router: str) -> control.PeersFound | control.Redirect:
        """Names some routers that reach endpoints, to one that does not."""
        if not self._can_serve():
            return self._redirect()
        able = [
            renew.tunnels
            for renew in self._routers.values()
            if renew.tunnels
            and not renew.lacks_paths
            and renew.router != router
        ]
        self._random.shuffle(able)
        return control.PeersFound(tuple(able[:MAX_PEERS]))

    def _addresses_for(
        self, renew: control.Renew
    ) -> tuple[control.MemberAddress, ...]:
        addresses = self.addresses()
        if members_digest(addresses) == renew.members_digest:
            return ()
        return addresses

    def _deployment_for(self, renew: control.Renew) -> bytes | None:
        deployment = self._state.deployment
        if deployment is None or deployment.version == renew.deployment_version:
            return None
        if self._packed is None or self._packed.deployment is not deployment:
            self._packed = _PackedDeployment(deployment)
        return self._packed.data(renew.reads_unshared)

    def read_deployment(
        self,
    ) -> control.DeploymentDocument | control.Redirect:
        """Returns the routing configuration in force."""
        if not self._can_serve():
            return self._redirect()
        deployment = self._state.deployment
        return control.DeploymentDocument(
            deployment.version if deployment else 0, self._state.document
        )

    def read_versions(self, model: str) -> ServiceVersions | control.Redirect:
        """Returns the software versions a model ever had."""
        if not self._can_serve():
            return self._redirect()
        return ServiceVersions(self._state.software.versions(model))

    async def heartbeat(
        self, message: control.Heartbeat
    ) -> control.HeartbeatNoted | control.Refused | control.Redirect:
        """Processes a heartbeat and commits the changes that it brings."""
        if not self._can_serve():
            return self._redirect()
        try:
            return await self.endpoints.record_heartbeat(message)
        except ReplicaError:
            return self._redirect()

    async def mark_silent(self) -> None:
        """Marks endpoints whose heartbeats have stopped as silent."""
        if self._can_serve():
            await self.endpoints.mark_silent()

    def register_joining(
        self, join: control.Join
    ) -> control.Joining | control.Redirect:
        """Registers a member that wants to join the group, or is to stop."""
        if not self._can_serve():
            return self._redirect()
        if join.is_leaving:
            return self._release_vote(join.identity)
        if self._replica.note_join(
            *(join.name, join.identity, join.host, join.port),
            self._clock.now(),
        ):
            log(
                "join_asked",
                member=join.name,
                identity=join.identity,
                address=f"{join.host}:{join.port}",
            )
        return control.Joining(self.addresses())

    def _release_vote(self, identity: str) -> control.Joining:
        """Gives the vote of a member that stops to a spare one, if any."""
        is_awaited = self._replica.note_leave(identity, self._clock.now())
        return control.Joining(self.addresses(), is_awaited)

    async def submit(
        self, data: bytes, in_force: bool = True
    ) -> control.Result | control.Refused | control.Redirect:
        """Commits a command and, if required, waits until it is in force."""
        if not self._can_serve():
            return self._redirect()
        if len(data) <= LONG_MESSAGE_BYTES:
            command = COMMANDS.decode(data)
        else:
            command = await run_steps(COMMANDS.decode_in_steps(data))
            if not self._can_serve():
                return self._redirect()
        if (early_reply := await self._early_reply(command)) is not None:
            return early_reply
        if not in_force:
            return await self._submit(command, in_force)
        self._awaited_changes += 1
        try:
            return await self._submit(command, in_force)
        finally:
            self._awaited_changes -= 1

    async def _submit(
        self, command: object, in_force: bool
    ) -> control.Result | control.Refused | control.Redirect:
        try:
            result = await self._propose(self._with_timestamp(command))
        except ReplicaError:
            # Nothing was appended, so the client may send the command to
            # another member.
            return self._redirect()
        if result is None:
            return control.Refused(
                "unknown_outcome",
                "the leader changed or the command timed out before the commit",
            )
        _log_command(command, result)
        result = await self._resolve_reservation(command, result)
        must_wait = in_force and self._must_be_in_force(command, result)
        if must_wait and not await self._wait_until_in_force():
            return control.Refused(
                "unknown_outcome",
                "the change is committed but not yet in force on every router",
            )
        return control.Result(RESULTS.encode(result))

    async def _early_reply(
        self, command: object
    ) -> control.Refused | control.Result | None:
        """Returns the reply to a command that must not enter the log."""
        match command:
            case PutRules(text=text):
                try:
                    await run_steps(parse_steps(text))
                except RuleError as exc:
                    # Once a faulty rule file is committed, no router can apply
                    # it, and so none can renew its lease.
                    reason = "; ".join(exc.faults[:MAX_REPORTED_FAULTS])
                    return control.Refused("refused", reason)
            case TakeOrders() if self._orders_held_by_other(command):
                return control.Result(RESULTS.encode(OrdersHeld()))
        return None

    def _with_timestamp(self, command: object) -> object:
        if isinstance(command, Reserve):
            return attrs.evolve(command, at=self._next_timestamp())
        return command

    def _orders_held_by_other(self, command: TakeOrders) -> bool:
        """Returns whether another router may still send orders to endpoints."""
        holder = self._state.orders_holder
        return holder not in ("", command.holder) and self._leases.holds(
            holder, self._clock.now()
        )

    def _next_timestamp(self) -> float:
        if self._timestamps is None:
            self._timestamps = TimestampSource(
                self._state.last_stamp, self._replica.leader_since
            )
        return self._timestamps.timestamp(self._clock.now())

    async def _propose(self, command: object) -> object | None:
        """Commits a command; returns None if the outcome is unknown.

        Raises:
            ReplicaError: Nothing was appended to the log.
        """
        index = self._replica.propose(
            COMMANDS.encode(command), self._clock.now()
        )
        proposal = _Proposal(self._replica.term)
        self._proposals[index] = proposal
        self._wake()
        with anyio.move_on_after(PROPOSAL_TIMEOUT_S):
            await proposal.done.wait()
        if proposal.result is None:
            return None
        return RESULTS.decode(proposal.result)

    async def _resolve_reservation(
        self, command: object, result: object
    ) -> object:
        """Abandons a reservation whose router no longer holds a lease.

        The holder checks its lease right before it sends a call. Once the
        lease has expired, the holder has either sent the call or never will,
        and the leader cannot know which.
        """
        match result:
            case RecordFound(record=record) if (
                record.status is RecordStatus.RESERVED
            ):
                incarnation = record.holder.partition("/")[0]
                if self._leases is None or self._leases.holds(
                    incarnation, self._clock.now()
                ):
                    return result
                with contextlib.suppress(ReplicaError):
                    await self._propose(Abandon(incarnation))
                found = self._state.records.get(command.record_key)
                return RecordFound(found) if found else result
        return result

    def _must_be_in_force(self, command: object, result: object) -> bool:
        match command, result:
            case PutRules(), RulesAccepted():
                return True
            case Retire(), EndpointAccepted():
                return True
            case Announce(), EndpointAccepted(status=EndpointStatus.LEAVING):
                return True
        return False

    async def _wait_until_in_force(self) -> bool:
        """Waits until each router has applied the log or has no lease.

        Returns whether this came about within `IN_FORCE_TIMEOUT_S` and under
        the same leader. The log counts up to `applied` at the time of the call.
        """
        index, term = self.applied, self._replica.term
        with anyio.move_on_after(IN_FORCE_TIMEOUT_S):
            while self._can_serve() and self._replica.term == term:
                now = self._clock.now()
                if self._leases.in_force(index, now):
                    return True
                delay = self._leases.next_expiry(now) - now
                with anyio.move_on_after(max(delay, 0.001)):
                    await self._renewed.wait()
        return False

    def status(self) -> control.StatusReply | control.Redirect:
        """Returns the status of the system."""
        if not self._can_serve():
            return self._redirect()
        now = self._clock.now()
        names = {
            renew.router
            for renew in self._routers.values()
            if self._leases.holds(renew.incarnation, now)
        }
        return control.StatusReply(
            leader=self._name,
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


def _log_command(command: object, result: object) -> None:
    """Logs operators' commands; a resend or retry is logged again."""
    match command, result:
        case PutRules(request_id=request), RulesAccepted(version=version):
            log("rules_accepted", version=version, request=request)
        case PutRules(request_id=request), RulesConflict(version=version):
            log("rules_conflict", version=version, request=request)
        case Retire(endpoint_id=endpoint), EndpointAccepted():
            log("endpoint_retired", endpoint=endpoint)
        case Announce(endpoint=endpoint, by_operator=True), EndpointAccepted():
            log("endpoint_restored", endpoint=endpoint.id)
        case PutDeployment(deployment=deployment), DeploymentAccepted():
            log(
                "deployment_accepted",
                version=deployment.version,
                in_force=result.version,
            )
        case NameWeights(model=model), WeightsNamed(version=version):
            log("weights_named", model=model, version=version)
