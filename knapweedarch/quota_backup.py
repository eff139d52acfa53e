"""A proxy's questions to other members while its own one does not answer."""

import math
import random
from collections.abc import Callable, Sequence

import anyio
import attrs

from knapweedarch import links
from knapweedarch.control_messages import CONTROL, MemberAddress
from knapweedarch.exceptions import CodecError, CredentialError, LinkError
from knapweedarch.logs import log
from knapweedarch.quota_messages import QuotaAsk, QuotaGrant
from knapweedarch.timers import Clock

# The own member is tried again after this time, in seconds.
USED_S = 2.0
# Longest time until a link is open, in seconds. A request waits for 0.15 s in
# all.
CONNECT_TIMEOUT_S = 0.1
# Time between two questions, and after which another member is tried if none is
# answered, in seconds.
ASK_INTERVAL_S = 0.02
ANSWER_TIMEOUT_S = 0.1
# A member that closed the link on a question knows no quotas; it is asked again
# after this time in seconds.
UNSUPPORTED_S = 5.0
# A member that was not reached is tried last for this long, in seconds.
UNREACHED_S = 1.0


@attrs.define
class _Fault:
    """Why a member is not asked, or last."""

    until: float
    is_unsupported: bool


class QuotaBackup:
    """Keeps a link to another member while one is needed.

    Args:
        credential: The shared credential.
        clock: Clock of the process.
        on_grant: Called with the answers.
    """

    def __init__(
        self,
        credential: bytes,
        clock: Clock,
        on_grant: Callable[[QuotaGrant], None],
    ):
        self._credential = credential
        self._clock = clock
        self._on_grant = on_grant
        self._members: list[MemberAddress] = []
        self._faults: dict[str, _Fault] = {}
        self._random = random.Random()
        self._has_answered = False

    def set_members(self, members: Sequence[MemberAddress]) -> None:
        """Replaces the known members; ignores an empty sequence."""
        if members:
            self._members = list(members)
            names = {member.name for member in members}
            self._faults = {n: f for n, f in self._faults.items() if n in names}

    def knows_no_support(self, own: str) -> bool:
        """Returns whether every other member is known to take no quotas.

        Args:
            own: Name of the member that the proxy subscribes to.
        """
        now = self._clock.now()
        others = [m for m in self._members if m.name != own]
        return all(
            (fault := self._faults.get(member.name)) is not None
            and fault.is_unsupported
            and now < fault.until
            for member in others
        )

    async def run(
        self, own: str, take_ask: Callable[[], QuotaAsk | None]
    ) -> None:
        """Asks another member for a time.

        Args:
            own: Name of the member that does not answer.
            take_ask: Returns the next question, or None.
        """
        member = self._choose(own)
        if member is None:
            return
        link = await self._connect(member)
        if link is None:
            self._note_fault(member, UNREACHED_S, is_unsupported=False)
            return
        self._has_answered = False
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            was_closed = await self._ask(link, take_ask)
            link.close()
        if not self._has_answered:
            for_s = UNSUPPORTED_S if was_closed else UNREACHED_S
            self._note_fault(member, for_s, was_closed)

    async def _connect(self, member: MemberAddress) -> links.Link | None:
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                return await links.connect(
                    *(member.host, member.port, self._credential),
                    *(CONTROL, self._handle),
                )
        except (TimeoutError, LinkError, CodecError, CredentialError) as exc:
            log("quota_member_not_reached", member=member.name, reason=str(exc))
            return None

    def _choose(self, own: str) -> MemberAddress | None:
        """Returns a member; those that failed lately come last."""
        now = self._clock.now()
        members = [m for m in self._members if m.name != own]
        self._random.shuffle(members)
        members.sort(
            key=lambda m: (
                (fault := self._faults.get(m.name)) is not None
                and now < fault.until
            )
        )
        return members[0] if members else None

    def _note_fault(
        self, member: MemberAddress, for_s: float, is_unsupported: bool
    ) -> None:
        until = self._clock.now() + for_s
        self._faults[member.name] = _Fault(until, is_unsupported)

    async def _ask(
        self, link: links.Link, take_ask: Callable[[], QuotaAsk | None]
    ) -> bool:
        """Sends questions for a time.

        Returns:
            Whether the member has closed the link.
        """
        ends_at = self._clock.now() + USED_S
        asked_at = math.inf
        while (now := self._clock.now()) < ends_at:
            ask = take_ask()
            if ask is not None:
                _send(link, ask)
                asked_at = min(asked_at, now)
            if not self._has_answered and now - asked_at > ANSWER_TIMEOUT_S:
                return False
            with anyio.move_on_after(ASK_INTERVAL_S):
                await link.closed.wait()
                return True
        return False

    async def _handle(self, link: links.Link, message: object) -> None:
        match message:
            case QuotaGrant():
                self._has_answered = True
                self._on_grant(message)


def _send(link: links.Link, ask: QuotaAsk) -> None:
    try:
        link.send(ask)
    except LinkError as exc:
        log("link_lost", peer=link.peer, reason=str(exc))
        link.close()
