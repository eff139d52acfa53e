"""Client of the control members; re-exports the control messages."""

import random
from collections.abc import Callable, Sequence

import anyio
import anyio.abc
import attrs

from knapweedarch import links
from knapweedarch.control_messages import (
    CONTROL,
    Changed,
    DeploymentDocument,
    Describe,
    Description,
    FindPeers,
    Form,
    Formed,
    FormMember,
    Grant,
    Heartbeat,
    HeartbeatNoted,
    Hello,
    Join,
    Joining,
    MemberAddress,
    MemberStatus,
    Peer,
    PeersFound,
    Query,
    ReadDeployment,
    Redirect,
    Refused,
    Renew,
    Result,
    StatusReply,
    Submit,
)
from knapweedarch.exceptions import (
    CodecError,
    ControlError,
    CredentialError,
    LinkError,
)
from knapweedarch.member_directory import MemberDirectory
from knapweedarch.state import COMMANDS, RESULTS
from knapweedarch.task_groups import TaskOwner
from knapweedarch.timers import Clock

__all__ = [
    "CONTROL",
    "Changed",
    "ControlClient",
    "DeploymentDocument",
    "Describe",
    "Description",
    "FindPeers",
    "Form",
    "FormMember",
    "Formed",
    "Grant",
    "Heartbeat",
    "HeartbeatNoted",
    "Hello",
    "Join",
    "Joining",
    "MemberAddress",
    "MemberStatus",
    "Peer",
    "PeersFound",
    "Query",
    "ReadDeployment",
    "Redirect",
    "Refused",
    "Renew",
    "Result",
    "StatusReply",
    "Submit",
    "create_control_client",
]

RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.1
REPLY_TIMEOUT_S = 1.0
MAX_REPORTED_OUTCOMES = 4
# An attempt to connect that takes longer does not hold up the next one.
NEXT_ATTEMPT_DELAY_S = 0.1


@attrs.define
class _Outcomes:
    """What came of the attempts to have one message answered.

    Attributes:
        is_unknown: Whether a member may have processed the message. A later
            redirect by another member does not show whether it did.
        told: What each address answered, in the order of the newest answers.
        leaders: Names of the leaders in redirects.
    """

    is_unknown: bool = False
    told: dict[str, None] = attrs.field(factory=dict)
    leaders: set[str] = attrs.field(factory=set)
    _has_new_leader: bool = False

    def record(self, text: str, is_unknown: bool = False) -> None:
        """Records the outcome of one attempt."""
        self.told[text] = None
        self.is_unknown = self.is_unknown or is_unknown

    def note_leader(self, name: str) -> None:
        """Records the leader of a redirect; the name is empty if unknown."""
        if name and name not in self.leaders:
            self.leaders.add(name)
            self._has_new_leader = True

    def take_new_leader(self) -> bool:
        """Returns whether the last redirect named a leader for the first time.

        It can be asked without a pause.
        """
        found, self._has_new_leader = self._has_new_leader, False
        return found

    def error(self) -> ControlError:
        """Returns the error for a message that was not answered in time."""
        reason = "unknown_outcome" if self.is_unknown else "unreachable"
        told = "; ".join([*self.told][-MAX_REPORTED_OUTCOMES:])
        return ControlError(
            reason, f"no control member answered in time ({told or 'none'})"
        )


@attrs.define
class _Attempt:
    """An attempt to open a link.

    Attributes:
        address: Address of the member.
        has_ended: Whether it has ended.
        error: Why it failed; None if it did not.
    """

    address: MemberAddress
    has_ended: bool = False
    error: Exception | None = None


@attrs.frozen
class _Contact:
    """A member that forms a group, and the link that described it."""

    member: MemberAddress
    link: links.Link
    description: Description


class ControlClient(TaskOwner):
    """Client of the leader; it finds the new leader after a change.

    Use it as an asynchronous context manager. It keeps one link open.
    """

    def __init__(
        self,
        members: Sequence[MemberAddress],
        credential: bytes,
        clock: Clock,
        on_changed: Callable[[], None],
    ):
        self._directory = MemberDirectory(members, random.Random())
        self._credential = credential
        self._clock = clock
        self._on_changed = on_changed
        self._link: links.Link | None = None
        self._link_address: MemberAddress | None = None
        # Address of the last link that has closed by itself.
        self._lost: MemberAddress | None = None
        self._connecting = anyio.Lock()
        # Connection attempts that have not ended, by address.
        self._attempts: dict[MemberAddress, _Attempt] = {}
        self._attempt_ended = anyio.Event()

    def set_members(self, members: Sequence[MemberAddress]) -> None:
        """Replaces the list of members; see `MemberDirectory`."""
        self._directory.set_members(members)

    def add_members(self, members: Sequence[MemberAddress]) -> None:
        """Adds addresses of members, such as new seeds."""
        self._directory.add_seeds(members)

    async def submit(
        self, command: object, timeout_s: float, in_force: bool = True
    ) -> object:
        """Submits a command and returns its result.

        Retries until the timeout, which is safe because every command is
        idempotent.

        Args:
            command: A command of `state.COMMANDS`.
            timeout_s: Maximum wait in seconds.
            in_force: See `Submit`.

        Raises:
            ControlError: `unreachable` (no member processed the command),
                `unknown_outcome` or `refused`.
        """
        message = Submit(COMMANDS.encode(command), in_force)
        reply = await self.request(message, timeout_s)
        return RESULTS.decode(reply.result)

    async def status(self, timeout_s: float = 3.0) -> StatusReply:
        """Returns the leader's status.

        Raises:
            ControlError: No leader answered in time.
        """
        return await self.request(Query(), timeout_s)

    async def request(self, message: object, timeout_s: float) -> object:
        """Sends a message to the leader until it answers.

        Args:
            message: A message of `control_messages`.
            timeout_s: Maximum wait in seconds.

        Raises:
            ControlError: See `submit`.
        """
        until = self._clock.now() + timeout_s
        outcomes = _Outcomes()
        delay_s = RETRY_DELAY_S
        while self._clock.now() < until:
            link = await self._connect_before(until, outcomes)
            if link is not None:
                reply = await self._send(link, message, until, outcomes)
                if reply is not None:
                    return reply
            if outcomes.take_new_leader():
                continue
            await anyio.sleep(min(delay_s, self._remaining_s(until)))
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
        raise outcomes.error()

    def _remaining_s(self, until: float) -> float:
        return max(until - self._clock.now(), 0)

    async def _connect_before(
        self, until: float, outcomes: _Outcomes
    ) -> links.Link | None:
        """Returns an open link; None if there is none yet."""
        with anyio.move_on_after(self._remaining_s(until)):
            try:
                return await self._connect()
            except LinkError as exc:
                outcomes.record(str(exc))
        return None

    async def _send(
        self,
        link: links.Link,
        message: object,
        until: float,
        outcomes: _Outcomes,
    ) -> object | None:
        """Sends a message; returns None if another attempt may succeed."""
        try:
            reply = await self._call(link, message, self._remaining_s(until))
        except LinkError as exc:
            outcomes.record(f"{link.peer}: {exc}", is_unknown=True)
            return None
        match reply:
            case Redirect():
                outcomes.record(f"{link.peer}: leader {reply.leader!r}")
                outcomes.note_leader(reply.leader)
                self._follow_redirect(link, reply)
                return None
            case Refused(reason="unknown_outcome", message=text):
                # A retry can still obtain the outcome, such as from the next
                # leader.
                outcomes.record(f"{link.peer}: {text}", is_unknown=True)
                return None
            case Refused(reason=reason, message=text):
                raise ControlError(reason, text)
        return reply

    async def _call(
        self, link: links.Link, message: object, timeout_s: float
    ) -> object:
        try:
            return await link.call(message, timeout_s)
        finally:
            self._close_if_left(link)

    def _follow_redirect(self, link: links.Link, redirect: Redirect) -> None:
        """Leaves the link that a redirect came on; others may have before."""
        if self._link is link:
            self._link = None
            self._directory.set_leader(redirect.leader, redirect.address)
        self._close_if_left(link)

    def _close_if_left(self, link: links.Link) -> None:
        """Closes a link that is no longer used, after the last call on it."""
        if link is not self._link and link.is_idle:
            link.close()

    async def _connect(self) -> links.Link:
        async with self._connecting:
            if self._link is not None and not self._is_open():
                self._link, self._lost = None, self._link_address
            while not self._is_open():
                await self._try_next()
            return self._link

    def _is_open(self) -> bool:
        return self._link is not None and not self._link.closed.is_set()

    async def _try_next(self) -> None:
        """Tries one more address; returns once a link is open or it hangs.

        The attempt goes on in the background: one that is slow, but not lost,
        must not start again and again.

        Raises:
            ControlError: The member holds a different credential.
            LinkError: The attempt failed.
        """
        now = self._clock.now()
        is_leader = self._directory.follows_redirect(now)
        address = self._directory.next_address(now)
        # Members name a leader that is gone until they elect another one.
        patience_s = (
            links.CONNECT_TIMEOUT_S
            if is_leader and address != self._lost
            else NEXT_ATTEMPT_DELAY_S
        )
        attempt = self._attempts.get(address)
        if attempt is None:
            attempt = self._attempts[address] = _Attempt(address)
            self._group.start_soon(self._run_attempt, attempt)
        with anyio.move_on_after(patience_s):
            while not attempt.has_ended and not self._is_open():
                await self._attempt_ended.wait()
        if attempt.error is not None:
            raise attempt.error
        if not self._is_open():
            self._directory.note_failure(address, self._clock.now())

    async def _run_attempt(self, attempt: _Attempt) -> None:
        try:
            link = await self._open(attempt.address)
        except (ControlError, LinkError) as exc:
            attempt.error = exc
            self._directory.note_failure(attempt.address, self._clock.now())
        except Exception as exc:
            # The error of one attempt must not end the process.
            attempt.error = LinkError(f"{attempt.address}: {exc!r}")
            self._directory.note_failure(attempt.address, self._clock.now())
        else:
            self._directory.note_success(attempt.address)
            self._use(link, attempt.address)
        attempt.has_ended = True
        del self._attempts[attempt.address]
        self._attempt_ended.set()
        self._attempt_ended = anyio.Event()

    def _use(self, link: links.Link, address: MemberAddress) -> None:
        """Runs a new link; closes it if another one was open sooner."""
        self._group.start_soon(link.run)
        if self._is_open():
            link.close()
            return
        self._link, self._link_address = link, address
        if address == self._lost:
            self._lost = None

    async def _open(self, member: MemberAddress) -> links.Link:
        try:
            return await links.connect(
                *(member.host, member.port, self._credential),
                *(CONTROL, self._handle),
            )
        except CredentialError as exc:
            raise ControlError("refused", str(exc)) from exc

    async def _handle(self, link: links.Link, message: object) -> None:
        match message:
            case Changed():
                self._on_changed()

    async def form(self, members: Sequence[MemberAddress]) -> None:
        """Forms the first group from blank members.

        Raises:
            ControlError: A member belongs to another group, has another name
                or does not answer, or all members already belong to a group.
        """
        contacts: dict[MemberAddress, _Contact] = {}
        try:
            await self._contact_all(members, contacts)
            await self._form_all([contacts[member] for member in members])
        finally:
            for contact in contacts.values():
                contact.link.close()

    async def _contact_all(
        self,
        members: Sequence[MemberAddress],
        contacts: dict[MemberAddress, _Contact],
    ) -> None:
        """Asks all members at the same time; adds those that answer.

        The shorter this takes, the less it hinders others that form the group.
        """
        failures: list[ControlError] = []

        async def contact(member: MemberAddress) -> None:
            try:
                contacts[member] = await self._contact(member)
            except ControlError as exc:
                failures.append(exc)

        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(contact, member)
        if failures:
            raise failures[0]

    async def _form_all(self, contacts: Sequence[_Contact]) -> None:
        if not any(c.description.blank for c in contacts):
            raise ControlError(
                "refused", "all members already belong to a group"
            )
        group = Form(
            tuple(
                FormMember(
                    *(c.description.name, c.description.identity),
                    *(c.member.host, c.member.port),
                )
                for c in contacts
            )
        )
        # Members that are not blank come first: they accept only if an earlier
        # attempt formed exactly this group; otherwise no member is changed.
        for contact in sorted(contacts, key=lambda c: c.description.blank):
            await self._form_member(contact, group)

    async def hand_on_group(self, group: Form, member: FormMember) -> bool:
        """Makes a listed member part of the first group if it is blank.

        This is safe at any time: no group relies on anything that a blank
        member has said.

        Returns:
            Whether the member was blank.

        Raises:
            ControlError: The member has another identity or name, refuses or
                does not answer.
        """
        address = MemberAddress(member.name, member.host, member.port)
        contact = await self._contact(address)
        try:
            if contact.description.identity != member.identity:
                raise ControlError(
                    "refused", f"{member.name} has another identity"
                )
            if contact.description.blank:
                await self._form_member(contact, group)
            return contact.description.blank
        finally:
            contact.link.close()

    async def _form_member(self, contact: _Contact, group: Form) -> None:
        match await self._call_member(contact.member, contact.link, group):
            case Refused(message=text):
                raise ControlError("refused", text)

    async def _contact(self, member: MemberAddress) -> _Contact:
        try:
            link = await self._open(member)
        except (LinkError, CodecError) as exc:
            raise _unreachable(member, exc) from exc
        self._group.start_soon(link.run)
        try:
            return _Contact(member, link, await self._describe(member, link))
        except BaseException:
            link.close()
            raise

    async def _describe(
        self, member: MemberAddress, link: links.Link
    ) -> Description:
        description = await self._call_member(member, link, Describe())
        if member.name and description.name != member.name:
            raise ControlError(
                "refused",
                f"{member.host}:{member.port} is member {description.name}, "
                f"not {member.name}",
            )
        return description

    async def _call_member(
        self, member: MemberAddress, link: links.Link, message: object
    ):
        try:
            return await link.call(message, REPLY_TIMEOUT_S * 3)
        except (LinkError, CodecError) as exc:
            raise _unreachable(member, exc) from exc


def _unreachable(member: MemberAddress, exc: Exception) -> ControlError:
    return ControlError(
        "unreachable",
        f"member {member.name or '(name unknown)'} at {member.host}:"
        f"{member.port} does not answer: {exc}",
    )


def create_control_client(
    members: Sequence[MemberAddress],
    credential: bytes,
    clock: Clock,
    on_changed: Callable[[], None] = lambda: None,
) -> ControlClient:
    """Creates a client of the control members.

    Args:
        members: Addresses of the members.
        credential: The shared credential.
        clock: Time source.
        on_changed: Called when the leader reports a change.
    """
    return ControlClient(members, credential, clock, on_changed)
