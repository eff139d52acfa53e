"""The operator, the readers and the callers of a soak, who check the rules."""

import collections
import contextlib
import json
import random

import anyio
import attrs
import httpx

from standins.member_site import MemberSite
from standins.platform_site import configuration
from standins.soak_findings import Findings
from standins.soak_losses import Losses

# The platform's bounds: a change is confirmed in a calm moment (`ackMs`), in
# force everywhere (`applyMs`), and a site recovers (`recoverS`).
ACK_S = 4.0
APPLY_S = 2.0
RECOVER_S = 12.0
# What a measurement may add (`lossSlackMs`).
SLACK_S = 0.2
CALL_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.05
READ_INTERVAL_S = 0.04
BOOKING_INTERVAL_S = 0.2
CHANGE_INTERVAL_S = 0.3
EXIT_CHECK_INTERVAL_S = 0.2


@attrs.define
class Confirmation:
    """A change that a member confirmed."""

    version: int
    at: float


@attrs.define
class Observers:
    """Calls a site as its users do, and notes which rules it breaks.

    Attributes:
        confirmed: Confirmed changes, in order.
        longest_change_s: Longest time that a change took.
        reads: Number of answered reads.
        bookings: Number of bookings by status; 0 for no answer.
    """

    _site: MemberSite
    _losses: Losses
    _findings: Findings
    _choice: random.Random
    confirmed: list[Confirmation] = attrs.field(factory=list)
    longest_change_s: float = 0.0
    reads: int = 0
    bookings: collections.Counter = attrs.field(factory=collections.Counter)
    _client: httpx.AsyncClient = attrs.field(
        factory=lambda: httpx.AsyncClient(timeout=CALL_TIMEOUT_S)
    )
    _stopping: bool = False
    _unserved_since: dict[str, float] = attrs.field(factory=dict)

    def newest(self) -> int:
        """Returns the newest confirmed version."""
        return self.confirmed[-1].version if self.confirmed else 0

    def stop_changes(self) -> None:
        """Lets `change_configuration` return after the next confirmation."""
        self._stopping = True

    async def change_configuration(self) -> None:
        """Sends one change after the other until `stop_changes`."""
        while not self._stopping:
            await self.send_change()
            if not self._stopping:
                await anyio.sleep(CHANGE_INTERVAL_S * self._choice.random())

    async def send_change(self) -> None:
        """Sends the next change to members until one confirms it."""
        version = self.newest() + 1
        document = configuration(version, f"seats-{version}")
        sent_at = anyio.current_time()
        while True:
            status = await self._put(document)
            now = anyio.current_time()
            self._check_change(version, sent_at, now)
            if status == 200:
                break
            if 0 < status < 500:
                self._findings.add(f"change {version} got status {status}")
            await anyio.sleep(RETRY_INTERVAL_S)
        self.confirmed.append(Confirmation(version, now))
        self.longest_change_s = max(self.longest_change_s, now - sent_at)
        self._site.record(f"change {version}, {now - sent_at:.3f} s")

    async def _put(self, document: dict) -> int:
        name = self._choice.choice(self._site.member_names())
        url = f"http://{self._site.address_of(name)}/api/config"
        with contextlib.suppress(httpx.HTTPError):
            return (await self._client.put(url, json=document)).status_code
        return 0

    def _check_change(self, version: int, sent_at: float, now: float) -> None:
        calm_from = max(sent_at, self._losses.calm_since())
        if now > calm_from + ACK_S + SLACK_S:
            self._findings.add(
                f"change {version} is not confirmed in {ACK_S} s of calm"
            )
        bound_from = max(sent_at, self._losses.all_back_at)
        if now > bound_from + RECOVER_S + SLACK_S:
            self._findings.add(
                f"change {version} is not confirmed in {RECOVER_S} s although"
                " no more was lost than the budget allows"
            )

    async def read_configurations(self) -> None:
        """Reads the configuration from random members, without end."""
        while True:
            await self._read(self._choice.choice(self._site.member_names()))
            await anyio.sleep(READ_INTERVAL_S)

    async def _read(self, name: str) -> None:
        sent_at = anyio.current_time()
        document = await self.read_from(name)
        if document is not None:
            self.reads += 1
            self._unserved_since.pop(name, None)
            self._check_age(name, document["version"], sent_at)
        elif name in self._site.places:
            self._check_unserved(name, sent_at)

    async def read_from(self, name: str) -> dict | None:
        """Reads the configuration from a member; None if it has none."""
        url = f"http://{self._site.address_of(name)}/api/config"
        with contextlib.suppress(httpx.HTTPError, json.JSONDecodeError):
            answer = await self._client.get(url)
            if answer.status_code == 200:
                return answer.json()
        return None

    def _check_age(self, name: str, version: int, sent_at: float) -> None:
        due = [c.version for c in self.confirmed if c.at <= sent_at - APPLY_S]
        if due and version < due[-1]:
            self._findings.add(
                f"{name} shows version {version} later than {APPLY_S} s after"
                f" {due[-1]} was confirmed"
            )

    def _check_unserved(self, name: str, sent_at: float) -> None:
        since = self._unserved_since.setdefault(name, sent_at)
        calm_from = max(since, self._losses.calm_since())
        if anyio.current_time() > calm_from + ACK_S + SLACK_S:
            self._findings.add(f"{name} answers no read in {ACK_S} s of calm")

    async def book(self) -> None:
        """Sends bookings through random proxies, without end."""
        async with anyio.create_task_group() as group:
            while True:
                group.start_soon(self._book_once)
                await anyio.sleep(BOOKING_INTERVAL_S)

    async def _book_once(self) -> None:
        proxy = self._choice.choice(self._site.proxy_names())
        status = 0
        with contextlib.suppress(httpx.HTTPError):
            answer = await self._site.send_request(proxy, "/booking/x")
            status = answer.status_code
        self.bookings[status] += 1

    async def watch_exits(self) -> None:
        """Checks that no process ends by itself, without end."""
        while True:
            for name in self._site.ended_alone():
                self._findings.add(f"{name} ended by itself")
            await anyio.sleep(EXIT_CHECK_INTERVAL_S)

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.aclose()
