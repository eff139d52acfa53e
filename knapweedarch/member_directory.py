"""Addresses at which a client of the control members looks for the leader.

The seeds are kept beside the list of members: while this process was down or
cut off, all members of the list may have been replaced. The list is kept
beside the seeds, which may name members that are gone.
"""

import math
import random
from collections.abc import Sequence

import attrs

from knapweedarch.control_messages import MemberAddress

# Seeds of the last few settings; older ones are dropped.
MAX_SEEDS = 9
# An address at which an attempt has failed is tried after the others for this
# time, even if a redirect names it as the leader's: members name a leader that
# is gone until they elect another one.
AVOID_S = 1.0

_Key = tuple[str, int]


@attrs.define
class _Attempts:
    """What is known of the attempts to connect to an address.

    Attributes:
        tie: Random number that orders addresses not tried yet.
        turn: Number of the last attempt; 0 if there was none.
        failed_at: When the last attempt failed, in seconds; -inf if it did not.
    """

    tie: float
    turn: int = 0
    failed_at: float = -math.inf


class MemberDirectory:
    """Known addresses and the order in which they are tried.

    Args:
        seeds: Addresses of the settings.
        rng: Orders addresses not tried yet; clients that start together must
            not all try the same member.
    """

    def __init__(self, seeds: Sequence[MemberAddress], rng: random.Random):
        self._rng = rng
        self._seeds: dict[_Key, MemberAddress] = {}
        self._members: dict[_Key, MemberAddress] = {}
        # The leader of the last redirect, and whether it is to be tried next.
        self._leader: MemberAddress | None = None
        self._leader_is_next = False
        self._attempts: dict[_Key, _Attempts] = {}
        self._turns = 0
        self.add_seeds(seeds)

    def add_seeds(self, seeds: Sequence[MemberAddress]) -> None:
        """Adds seeds; the oldest ones are dropped if there are too many."""
        for seed in seeds:
            self._seeds.pop(_key(seed), None)
            self._seeds[_key(seed)] = seed
        while len(self._seeds) > max(MAX_SEEDS, len(seeds)):
            del self._seeds[next(iter(self._seeds))]
        self._forget_unknown()

    def set_members(self, members: Sequence[MemberAddress]) -> None:
        """Replaces the list of members; ignores an empty sequence."""
        if not members:
            return
        self._members = {_key(m): m for m in members}
        self._forget_unknown()

    def set_leader(self, name: str, address: MemberAddress | None) -> None:
        """Records the leader that a redirect names.

        Args:
            name: Name of the leader; empty if there is none.
            address: Its address if the redirect has one.
        """
        # An address of the settings takes precedence: it may be a relay's.
        found = [s for s in self._seeds.values() if s.name == name]
        found += [address] if address is not None else []
        found += [m for m in self._members.values() if m.name == name]
        self._leader_is_next = bool(name and found)
        if self._leader_is_next:
            self._leader = found[0]
            self._forget_unknown()

    def addresses(self) -> list[MemberAddress]:
        """Returns all known addresses, each one once."""
        known = {**self._seeds, **self._members}
        if self._leader is not None:
            known.setdefault(_key(self._leader), self._leader)
        return list(known.values())

    def follows_redirect(self, now: float) -> bool:
        """Whether the next address is that of the leader in a redirect."""
        return self._leader_is_next and not self._is_avoided(self._leader, now)

    def next_address(self, now: float) -> MemberAddress:
        """Returns the address to try next, and counts it as tried.

        It is that of the leader once after each redirect, else the one not
        tried for longest. Addresses that have just failed come last.
        """
        chosen = (
            self._leader
            if self.follows_redirect(now)
            else min(self.addresses(), key=lambda a: self._rank(a, now))
        )
        self._leader_is_next = False
        self._turns += 1
        self._attempts_to(chosen).turn = self._turns
        return chosen

    def note_failure(self, address: MemberAddress, now: float) -> None:
        """Records that an attempt to connect has failed or hangs."""
        self._attempts_to(address).failed_at = now

    def note_success(self, address: MemberAddress) -> None:
        """Records that an attempt to connect has succeeded."""
        self._attempts_to(address).failed_at = -math.inf

    def _rank(
        self, address: MemberAddress, now: float
    ) -> tuple[bool, int, float]:
        attempts = self._attempts_to(address)
        return self._is_avoided(address, now), attempts.turn, attempts.tie

    def _is_avoided(self, address: MemberAddress, now: float) -> bool:
        return now - self._attempts_to(address).failed_at < AVOID_S

    def _attempts_to(self, address: MemberAddress) -> _Attempts:
        key = _key(address)
        if key not in self._attempts:
            self._attempts[key] = _Attempts(self._rng.random())
        return self._attempts[key]

    def _forget_unknown(self) -> None:
        known = {_key(a) for a in self.addresses()}
        for key in self._attempts.keys() - known:
            del self._attempts[key]


def _key(address: MemberAddress) -> _Key:
    return address.host, address.port
