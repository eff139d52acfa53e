"""Forming of the group: who may form it, and what completes it."""

import math
import random
import weakref
from collections.abc import Iterable, Sequence

import anyio

from knapweedarch import control, links, replica
from knapweedarch.exceptions import ControlError
from knapweedarch.founding import Founding
from knapweedarch.logs import log
from knapweedarch.settings import Address

# Wait of a member until it forms the group, for each seed before it.
FOUNDER_DELAY_S = 1.0
MIN_RETRY_S = 0.25
MAX_RETRY_S = 4.0


def order_seeds(seeds: Iterable[Address]) -> tuple[Address, ...]:
    """Returns the seeds in the order in which they form the group.

    All members must propose the same list.
    """
    return tuple(sorted(seeds, key=lambda s: (s.host, s.port)))


def create_founding(seeds: Iterable[Address]) -> Founding:
    """Returns the first start of a deployment with these seeds."""
    return Founding(tuple(f"{s.host}:{s.port}" for s in seeds))


def founding_seeds(founding: Founding) -> tuple[Address, ...]:
    """Returns the seeds in the order in which they form the group."""
    pairs = (seed.rpartition(":") for seed in founding.seeds)
    return order_seeds(Address(host, int(port)) for host, _, port in pairs)


class FormingSchedule:
    """Tells when a member may form the group.

    Each attempt spoils those of other members that have asked but not sent
    their lists yet. Random, growing waits let one of them finish.

    Args:
        start_at: Time of the first attempt, in seconds.
        is_first: Whether this member is the first seed, which the others leave
            time to.
        seed: Seed of the random waits.
    """

    def __init__(self, start_at: float, is_first: bool, seed: int):
        self._due_at = start_at
        self._is_first = is_first
        self._random = random.Random(seed)
        self._retry_s = MIN_RETRY_S

    def is_due(self, now: float) -> bool:
        """Returns whether the next attempt may begin."""
        return now >= self._due_at

    def note_failure(self, now: float, refused: bool) -> None:
        """Schedules the next attempt.

        Args:
            now: Current time in seconds.
            refused: Whether a member refused; otherwise one did not answer,
                such as a seed that is not listening yet.
        """
        if self._is_first and not refused:
            self._due_at = now + MIN_RETRY_S
            return
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)
        self._due_at = now + self._random.uniform(0.5, 1) * self._retry_s


def create_schedule(
    seeds: Iterable[Address], listen: Address, now: float, seed: int
) -> FormingSchedule:
    """Creates the schedule of a member.

    The first seed forms the group at once, the other seeds later, and members
    that are no seeds never: one that was away since the first start cannot
    know of a group whose seeds have lost their disks since.

    Args:
        seeds: Seeds that form the group.
        listen: Address of the member.
        now: Current time in seconds.
        seed: Seed of the random waits.
    """
    ordered = order_seeds(seeds)
    if listen not in ordered:
        return FormingSchedule(math.inf, False, seed)
    rank = ordered.index(listen)
    return FormingSchedule(now + rank * FOUNDER_DELAY_S, rank == 0, seed)


class FormingPromise:
    """A blank member's promise to whoever asked last who it is.

    Two processes may form the group at the same time, and with different lists
    if a member loses its disk between their questions. Like an acceptor of
    Paxos, a member takes the list only from the one that asked last. Each asks
    all members before it sends its list to any, so at most one succeeds.
    """

    def __init__(self):
        self._newest: links.Link | None = None
        self._superseded: weakref.WeakSet[links.Link] = weakref.WeakSet()

    def give(self, link: links.Link) -> None:
        """Records that a question arrived over a link."""
        if self._newest is not None:
            self._superseded.add(self._newest)
        self._superseded.discard(link)
        self._newest = link

    def allows(self, link: links.Link) -> bool:
        """Returns whether a list that arrived over a link may be taken.

        Earlier builds ask and send over two links, so a link without a
        question is not refused.
        """
        return link not in self._superseded


class GroupCompletion:
    """Hands the first entry of the group to its members that lack it.

    Whoever forms the group tells its members one after the other and may be
    killed meanwhile. A blank member grants no votes, so any member that holds
    the first entry tells the rest.

    Args:
        client: Sends the messages.
        identity: Identity of this member.
    """

    def __init__(self, client: control.ControlClient, identity: str):
        self._client = client
        # Identities of the members that hold the entry.
        self._complete = {identity}
        # Refusals already told, by name of the member.
        self._refusals: dict[str, str] = {}

    async def run_once(self, members: Sequence[replica.Member]) -> None:
        """Tells the members at the same time; those that fail, next time."""
        form = control.Form(
            tuple(
                control.FormMember(m.name, m.identity, m.host, m.port)
                for m in members
            )
        )
        async with anyio.create_task_group() as group:
            for member in form.members:
                if member.identity not in self._complete:
                    group.start_soon(self._hand_on, form, member)

    async def _hand_on(
        self, form: control.Form, member: control.FormMember
    ) -> None:
        try:
            was_blank = await self._client.hand_on_group(form, member)
        except ControlError as exc:
            if exc.reason == "refused":
                self._report_refusal(member.name, str(exc))
            return
        self._complete.add(member.identity)
        if was_blank:
            log("group_handed_on", member=member.name)

    def _report_refusal(self, name: str, reason: str) -> None:
        """Tells once why a member refuses, as long as that stays the same."""
        if self._refusals.get(name) != reason:
            self._refusals[name] = reason
            log("group_refused", member=name, reason=reason)
