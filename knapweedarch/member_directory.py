"""Addresses at which a client of the control members looks for the leader.

The seeds are kept beside the list of members: while this process was down or
cut off, all members of the list may have been replaced. The list is kept
beside the seeds, which may name members that are gone.
"""

import random
from collections.abc import Sequence

from knapweedarch.control_messages import MemberAddress

# Seeds of the last few settings; older ones are dropped.
MAX_SEEDS = 9
_Key = tuple[str, int]


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
        # Number of the last attempt, and the order of those not tried yet.
        self._tried: dict[_Key, tuple[int, float]] = {}
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

    def next_address(self) -> MemberAddress:
        """Returns the address to try next, and counts it as tried.

        It is that of the leader once after each redirect, else the one not
        tried for longest.
        """
        chosen = (
            self._leader
            if self._leader_is_next
            else min(self.addresses(), key=self._last_turn)
        )
        self._leader_is_next = False
        self._turns += 1
        self._tried[_key(chosen)] = (self._turns, 0.0)
        return chosen

    def _last_turn(self, address: MemberAddress) -> tuple[int, float]:
        """Returns when an address was last tried; random if it never was."""
        key = _key(address)
        return self._tried.setdefault(key, (0, self._rng.random()))

    def _forget_unknown(self) -> None:
        known = {_key(a) for a in self.addresses()}
        for key in self._tried.keys() - known:
            del self._tried[key]


def _key(address: MemberAddress) -> _Key:
    return address.host, address.port
