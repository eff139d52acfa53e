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
        self._members = {m.name: m for m in members}
        self._credential = credential
        self._clock = clock
        self._on_changed = on_changed
        self._link: links.Link | None = None
        self._leader = ""
        self._connect_order = sorted(self._members)
        # Routers that restart together must not all try the same member.
        random.Random().shuffle(self._connect_order)
        self._connecting = anyio.Lock()

    def set_members(self, members: Sequence[MemberAddress]) -> None:
        """Replaces the addresses of the members; ignores an empty sequence."""
        if not members or list(members) == list(self._members.values()):
            return
        self._members = {m.name: m for m in members}
        self._connect_order = [
            n for n in self._connect_order if n in self._members
        ]
        self._connect_order += [
            n for n in self._members if n not in self._connect_order
        ]
        if self._leader not in self._members:
            self._leader = ""

    def add_members(self, members: Sequence[MemberAddress]) -> None:
        """Adds addresses of members, such as new seeds."""
        known = {(m.host, m.port) for m in self._members.values()}
        for member in members:
            if (member.host, member.port) not in known:
                self._members[member.name] = member
                self._connect_order.append(member.name)

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
        outcome_unknown = False
        # What each address answered, in the order of the newest answers.
        outcomes: dict[str, None] = {}
        delay_s = RETRY_DELAY_S
        while (remaining_s := until - self._clock.now()) > 0:
            try:
                link = await self._connect()
            except LinkError as exc:
                outcomes[str(exc)] = None
                await self._sleep(delay_s, until)
                delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
                continue
            try:
                reply = await link.call(message, remaining_s)
            except LinkError as exc:
                outcomes[f"{link.peer}: {exc}"] = None
                # Stays set: a redirect by another member does not show
                # whether the earlier message took effect.
                outcome_unknown = True
                self.close_link()
            else:
                match reply:
                    case Redirect():
                        outcomes[f"{link.peer}: leader {reply.leader!r}"] = None
                        self._follow_redirect(reply)
                    case Refused(reason="unknown_outcome"):
                        # A retry can still obtain the outcome, such as from
                        # the next leader.
                        outcome_unknown = True
                    case Refused(reason=reason, message=text):
                        raise ControlError(reason, text)
                    case _:
                        return reply
            await self._sleep(delay_s, until)
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
        reason = "unknown_outcome" if outcome_unknown else "unreachable"
        told = "; ".join([*outcomes][-MAX_REPORTED_OUTCOMES:])
        raise ControlError(
            reason, f"no control member answered in time ({told or 'none'})"
        )

    async def _sleep(self, delay_s: float, until: float) -> None:
        await anyio.sleep(min(delay_s, max(until - self._clock.now(), 0)))

    def _follow_redirect(self, redirect: Redirect) -> None:
        self.close_link()
        if redirect.address is not None:
            # A known address takes precedence: it may be that of a relay.
            self._members.setdefault(redirect.leader, redirect.address)
        if redirect.leader in self._members:
            self._leader = redirect.leader

    def close_link(self) -> None:
        """Closes the link; the next message opens a new one."""
        if self._link is not None:
            self._link.close()
            self._link = None
        self._leader = ""

    async def _connect(self) -> links.Link:
        async with self._connecting:
            if self._link is not None and not self._link.closed.is_set():
                return self._link
            name = self._leader or self._connect_order[0]
            self._leader = ""
            if name == self._connect_order[0]:
                self._connect_order.append(self._connect_order.pop(0))
            self._link = await self._open(self._members[name])
            self._group.start_soon(self._link.run)
            return self._link

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
