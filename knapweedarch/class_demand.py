"""What the requests of one priority need of the runners of a service.

It is learnt from recent requests of this router; see `fair_admission`. All
times are seconds on the router's clock.
"""

import math

import attrs

from knapweedarch.customer_usage import DecayedSum
from knapweedarch.runner_room import RoomLimits

# Time after which the rate of requests counts half; it follows a burst.
RATE_HALF_LIFE_S = 1.0
# The same for what a request needs, which changes more slowly than the rate.
NEED_HALF_LIFE_S = 10.0
# Time for which a class counts as contended after a request found no room.
CONTENDED_S = 1.0


def _need() -> DecayedSum:
    return DecayedSum(NEED_HALF_LIFE_S)


@attrs.define
class ClassDemand:
    """Recent requests of one priority to one service.

    Attributes:
        pool: Hash of service and priority, as in reports of usage.
        goal_s: Latency goal of the last request, in seconds.
        running: Requests of this router at the runners.
        waiting: Requests that wait at this router.
        waiting_within: Those of them whose customers are within their share.
        waiting_work: Their work in tokens.
        waited_until: Until when their wait is recorded.
        contended_at: When a request last found no room.
        fullness: How full the runners were at the last request; 1 is full.
        limit_s: Time that the last request had for its answer, in seconds.
        own_part: This router's part of the requests, from 0 to 1.
        own_part_at: When that was computed.
        limits: What a request may use of each runner.
        limits_at: When that was computed.
        level: Most recent work of a customer that is within its fair share.
        refused_level: The same with the work that may wait. What a customer
            asks for beyond it is refused.
        within_part: Part of the work that customers within theirs ask for.
        level_at: When the level was computed.
    """

    pool: int
    goal_s: float = 0.0
    running: int = 0
    waiting: int = 0
    waiting_within: int = 0
    waiting_work: float = 0.0
    waited_until: float = 0.0
    contended_at: float = -math.inf
    fullness: float = 0.0
    limit_s: float = 0.0
    own_part: float = 1.0
    own_part_at: float = -math.inf
    limits: RoomLimits = attrs.field(factory=RoomLimits)
    limits_at: float = -math.inf
    level: float = math.inf
    refused_level: float = math.inf
    within_part: float = 1.0
    level_at: float = -math.inf
    _requests: DecayedSum = attrs.field(
        factory=lambda: DecayedSum(RATE_HALF_LIFE_S)
    )
    _sends: DecayedSum = attrs.field(
        factory=lambda: DecayedSum(RATE_HALF_LIFE_S)
    )
    _needed_tokens: DecayedSum = attrs.field(factory=_need)
    _asked: DecayedSum = attrs.field(factory=_need)
    _asked_work: DecayedSum = attrs.field(factory=_need)
    _prompt_tokens: DecayedSum = attrs.field(factory=_need)
    _unread_tokens: DecayedSum = attrs.field(factory=_need)
    _sent: DecayedSum = attrs.field(factory=_need)
    _hold_s: DecayedSum = attrs.field(factory=_need)
    _ended: DecayedSum = attrs.field(factory=_need)

    def record_request(
        self, work: float, goal_s: float, limit_s: float, now: float
    ) -> None:
        """Records a new request.

        Args:
            work: Its work in tokens.
            goal_s: Its latency goal in seconds.
            limit_s: Time that it has for its answer, in seconds.
            now: The time.
        """
        self.goal_s, self.limit_s = goal_s, limit_s
        self._requests.add(1.0, now)
        self._asked.add(1.0, now)
        self._asked_work.add(work, now)

    def record_sent(
        self, needed: int, prompt: int, unread: int, now: float
    ) -> None:
        """Records that a request is sent to a runner.

        Args:
            needed: Memory that it needs, in tokens.
            prompt: Tokens of its prompt.
            unread: Prompt tokens that must be prefilled.
            now: The time.
        """
        self.running += 1
        self._sends.add(1.0, now)
        self._sent.add(1.0, now)
        self._needed_tokens.add(needed, now)
        self._prompt_tokens.add(prompt, now)
        self._unread_tokens.add(unread, now)

    def record_ended(self, sent_at: float, now: float) -> None:
        """Records that a request has ended at a runner."""
        self.running -= 1
        self._ended.add(1.0, now)
        self._hold_s.add(now - sent_at, now)

    def enter_queue(self, work: float, is_over: bool) -> None:
        """Records that a request begins to wait here.

        Args:
            work: Its work in tokens.
            is_over: Whether its customer asks for more than its share.
        """
        self.waiting += 1
        self.waiting_within += not is_over
        self.waiting_work += work

    def leave_queue(self, work: float, is_over: bool) -> None:
        """Records that a request waits no more, see `enter_queue`."""
        self.waiting -= 1
        self.waiting_within -= not is_over
        self.waiting_work -= work

    def rate(self, now: float) -> float:
        """Returns the requests a second at this router."""
        return self._requests.rate(now)

    def work(self, now: float) -> float:
        """Returns the mean work of a request in tokens; 0 if unknown."""
        return _mean(self._asked_work, self._asked, now)

    def hold_s(self, now: float) -> float:
        """Returns how long a request stays at a runner; 0 if unknown."""
        return _mean(self._hold_s, self._ended, now)

    def needed_tokens(self, now: float) -> float:
        """Returns the memory that a request needs; 0 if unknown."""
        return _mean(self._needed_tokens, self._sent, now)

    def unread_tokens(self, now: float) -> float:
        """Returns the tokens that a runner prefills for one; 0 if unknown."""
        return _mean(self._unread_tokens, self._sent, now)

    def unread_part(self, now: float) -> float:
        """Returns the part of a prompt that must be prefilled, up to 1."""
        prompt_tokens = self._prompt_tokens.at(now)
        if not prompt_tokens:
            return 1.0
        return min(1.0, self._unread_tokens.at(now) / prompt_tokens)

    def is_contended(self, now: float) -> bool:
        """Returns whether a request found no room lately."""
        return now - self.contended_at < CONTENDED_S

    def wait_s(self, ahead: int, now: float) -> float:
        """Returns the expected wait at this router behind others.

        Args:
            ahead: Requests that are sent before.
            now: The time.
        """
        hold_s = self.hold_s(now)
        drain_s = self.running / hold_s if hold_s else 0.0
        drain_s = max(drain_s, self._sends.rate(now))
        if not drain_s:
            return hold_s
        return ahead / drain_s


def _mean(total: DecayedSum, count: DecayedSum, now: float) -> float:
    weight = count.at(now)
    return total.at(now) / weight if weight > 0 else 0.0
