"""Which runners have room for a request, and how full a service is.

A class of requests may be kept from using all of a runner, so that requests of
more urgent classes find room. How much is kept free is a fraction of a request
on average; it is rounded up at some runners and down at others, at the same
ones by all routers.
"""

import math
from collections.abc import Callable

import attrs

from knapweedarch.relay_messages import EndpointLoad

_DIGEST_RANGE = 2.0**32


@attrs.frozen
class RoomLimits:
    """What a class may use of each runner.

    Attributes:
        kept_slots: Slots that are kept free, on average; negative if requests
            may be queued there.
        kept_tokens: Memory kept free for each of these slots, in tokens.
        yielded_slots: Requests for whose slots, memory and prompts room is left
            beside that, on average, as it is for others of the class.
        unread_tokens: Most prompt tokens that may be read before the request.
        prompt_tokens: Prompt tokens that a request of the class adds.
        blind_requests: Requests that routers have sent to a runner, on average,
            since its load was reported.
        grown_slots: By how many requests the load of a runner has grown since
            then, on average; at least 0.
        grown_tokens: The same of its memory in use, in tokens.
        grown_unread: The same of the tokens that it has to read.
    """

    kept_slots: float = 0.0
    kept_tokens: float = 0.0
    yielded_slots: float = 0.0
    unread_tokens: float = math.inf
    prompt_tokens: float = 1.0
    blind_requests: float = 0.0
    grown_slots: float = 0.0
    grown_tokens: float = 0.0
    grown_unread: float = 0.0

    def kept_at(self, endpoint: int) -> int:
        """Returns the slots kept free at a runner, a whole number.

        Args:
            endpoint: Hash of the runner's id.
        """
        if not self.kept_slots:
            return 0
        return math.floor(self.kept_slots + endpoint / _DIGEST_RANGE)

    def yielded_at(self, endpoint: int) -> int:
        """Returns the requests for which room is left at a runner."""
        if not self.yielded_slots:
            return 0
        return math.floor(self.yielded_slots + endpoint / _DIGEST_RANGE)


@attrs.define
class RoomSearch:
    """Looks for runners with room, and adds up the load of all.

    Attributes:
        limits: What the request may use.
        needed_tokens: Memory that it needs, in tokens.
        memory_tokens: Memory of each runner, in tokens.
        runners: Runners seen.
        room: Requests of this size that fit, over all runners.
        requests: Requests at the runners.
        slots: Slots of the runners.
        usable_slots: Slots that this class may use.
        held_tokens: Memory in use, in tokens.
        usable_tokens: Memory that this class may use, in tokens.
        sample: Returns random numbers from 0 to below 1.
        unread_tokens: Prompt tokens that are still to be read.
    """

    limits: RoomLimits
    needed_tokens: int
    memory_tokens: int
    sample: Callable[[], float] = lambda: 0.0
    runners: int = 0
    room: int = 0
    requests: int = 0
    slots: int = 0
    usable_slots: int = 0
    held_tokens: int = 0
    usable_tokens: float = 0.0
    unread_tokens: int = 0

    def admits(self, load: EndpointLoad, slots: int) -> bool:
        """Adds the load of a runner; returns whether it has room."""
        limits = self.limits
        kept = limits.kept_at(load.endpoint)
        usable_slots = max(1, slots - kept)
        requests = load.requests + limits.grown_slots
        held_tokens = load.held_tokens + limits.grown_tokens
        unread_tokens = load.unread_tokens + limits.grown_unread
        usable_tokens = self.memory_tokens - limits.kept_tokens * max(0, kept)
        self.runners += 1
        self.requests += load.requests
        self.slots += slots
        self.usable_slots += usable_slots
        self.held_tokens += load.held_tokens
        self.usable_tokens += usable_tokens
        self.unread_tokens += load.unread_tokens
        if load.requests and unread_tokens > limits.unread_tokens:
            return False
        room = self._room_at(
            *(load, usable_slots - requests, usable_tokens - held_tokens),
            limits.unread_tokens - unread_tokens,
        )
        self.room += max(0, room)
        return room > 0

    def _room_at(
        self,
        load: EndpointLoad,
        slots: float,
        held_tokens: float,
        unread_tokens: float,
    ) -> int:
        """Returns how many requests of this size fit at a runner.

        Args:
            load: Its load.
            slots: Slots that are left.
            held_tokens: Memory that is left, in tokens.
            unread_tokens: Prompt tokens that may still be sent.
        """
        limits = self.limits
        yielded = limits.yielded_at(load.endpoint)
        needed_tokens = max(1, self.needed_tokens)
        if not load.requests:
            # An empty runner takes any request that fits into its memory.
            return max(
                int(self.memory_tokens >= needed_tokens),
                min(
                    math.floor(slots) - yielded,
                    self.memory_tokens // needed_tokens,
                ),
            )
        room = min(math.ceil(slots), int(held_tokens // needed_tokens))
        if unread_tokens < math.inf:
            room = min(room, 1 + int(unread_tokens // limits.prompt_tokens))
        return room - yielded

    def compared(self, count: int) -> int:
        """Returns how many of some runners are compared; at least two.

        All routers know the same old loads. The more requests they send before
        the loads show it, the fewer runners each compares, so that they do not
        all choose the one that was emptiest.
        """
        blind = self.limits.blind_requests * max(1, self.runners)
        return min(count, max(2, math.ceil(count / (1.0 + blind))))

    @property
    def fits(self) -> bool:
        """Whether an empty runner could hold the request."""
        return self.needed_tokens <= self.memory_tokens

    @property
    def has_slack(self) -> bool:
        """Whether less than half of the slots are taken."""
        return 2 * self.requests < self.slots

    def fullness(self) -> float:
        """Returns how full the runners are for this class; 1 is full."""
        if not self.runners:
            return 1.0
        found = max(
            self.requests / max(1, self.usable_slots),
            self.held_tokens / max(1.0, self.usable_tokens),
        )
        unread_limit = self.limits.unread_tokens * self.runners
        if unread_limit > 0:
            found = max(found, self.unread_tokens / unread_limit)
        return found
