"""Links from a member to the other members."""

from collections.abc import Callable, Iterable

import anyio
import anyio.abc

from knapweedarch import links
from knapweedarch.control_messages import CONTROL, Hello, MemberAddress
from knapweedarch.exceptions import CodecError, CredentialError, LinkError
from knapweedarch.logs import log

RECONNECT_DELAY_S = 0.1


class PeerLinks:
    """Maintains one outgoing link to each other member.

    Args:
        hello: First message on each link; names this member.
        credential: The shared credential.
        handler: Called with each message of a member.
        on_refused: Called when a member holds a different credential.

    Attributes:
        on_opened: Called with a member's name when its outgoing link opens.
        on_closed: Called with the name when that link has closed.
    """

    def __init__(
        self,
        hello: Hello,
        credential: bytes,
        handler: links.Handler,
        on_refused: Callable[[CredentialError], None],
    ):
        self.on_opened: Callable[[str, links.Link], None] = lambda name, link: (
            None
        )
        self.on_closed: Callable[[str], None] = lambda name: None
        self._hello = hello
        self._credential = credential
        self._handler = handler
        self._on_refused = on_refused
        self._links: dict[str, links.Link] = {}
        self._scopes: dict[MemberAddress, anyio.CancelScope] = {}
        self._group: anyio.abc.TaskGroup | None = None

    def start(self, group: anyio.abc.TaskGroup) -> None:
        """Sets the task group of the links; call it before `set_members`."""
        self._group = group

    def set_members(self, addresses: Iterable[MemberAddress]) -> None:
        """Maintains links to these members and to no others."""
        wanted = {a for a in addresses if a.name != self._hello.name}
        for address in self._scopes.keys() - wanted:
            self._scopes.pop(address).cancel()
        for address in wanted - self._scopes.keys():
            scope = self._scopes[address] = anyio.CancelScope()
            self._group.start_soon(self._maintain, address, scope)

    def send(self, name: str, message: object) -> None:
        """Sends a message to a member; discards it if there is no link."""
        link = self._links.get(name)
        if link is None:
            return
        try:
            link.send(message)
        except LinkError as exc:
            log("link_lost", peer=link.peer, reason=str(exc))
            self._links.pop(name, None)

    def add_incoming(self, name: str, link: links.Link) -> None:
        """Uses a link that a member has opened until the outgoing one is open.

        A connection attempt that began while the other instance had no power
        may still hang.
        """
        self._links.setdefault(name, link)

    def remove(self, link: links.Link) -> None:
        """Stops using a closed link."""
        for name in [n for n, known in self._links.items() if known is link]:
            del self._links[name]

    async def _maintain(
        self, address: MemberAddress, scope: anyio.CancelScope
    ) -> None:
        """Maintains a link until the member is removed.

        The scope is an argument, because the member may be removed before this
        task takes its first step.
        """
        with scope:
            while True:
                try:
                    await self._connect_and_run(address)
                except CredentialError as exc:
                    self._on_refused(exc)
                except (LinkError, CodecError) as exc:
                    log("link_failed", peer=address.name, reason=str(exc))
                await anyio.sleep(RECONNECT_DELAY_S)

    async def _connect_and_run(self, address: MemberAddress) -> None:
        link = await links.connect(
            *(address.host, address.port, self._credential),
            *(CONTROL, self._handler),
        )
        link.send(self._hello)
        self._links[address.name] = link
        self.on_opened(address.name, link)
        try:
            await link.run()
        finally:
            if self._links.get(address.name) is link:
                del self._links[address.name]
            self.on_closed(address.name)
