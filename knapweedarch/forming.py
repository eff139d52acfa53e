"""Completion of a group whose forming was interrupted."""

from collections.abc import Sequence

import anyio

from knapweedarch import control, replica
from knapweedarch.exceptions import ControlError
from knapweedarch.logs import log


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
                log("group_refused", member=member.name, reason=str(exc))
            return
        self._complete.add(member.identity)
        if was_blank:
            log("group_handed_on", member=member.name)
