"""Applies the decisions of `fair_admission` to proxied requests."""

from collections.abc import Callable, Sequence

import anyio

from knapweedarch.class_demand import ClassDemand
from knapweedarch.customer_usage import work_of
from knapweedarch.endpoint_choice import EndpointChooser
from knapweedarch.exponential import decay_factor
from knapweedarch.fair_admission import Ask, FairAdmission, Outcome, Verdict
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.models import Endpoint
from knapweedarch.prompt_parts import Prompt
from knapweedarch.proxy_calls import ProxyCall, first_urgency, remaining_s
from knapweedarch.proxy_refusals import remaining_ms
from knapweedarch.room_queue import RoomQueue
from knapweedarch.runner_room import RoomLimits, RoomSearch
from knapweedarch.timers import Clock
from knapweedarch.usage_messages import usage_digest

# Prompt tokens by which the speed of the runners is read from two times.
_SPEED_SAMPLE_TOKENS = 1_000_000
# Time after which a higher speed than the current estimate counts half.
SPEED_HALF_LIFE_S = 60.0
# A repeat may be queued at its runner: its caller waits within a stream.
_MEMORY_ONLY = RoomLimits(kept_slots=-1_000_000.0)


class FairPlacement:
    """Finds room for requests with prompts, or refuses them.

    Args:
        admission: Decides.
        chooser: Knows the speed of the runners and the prompts before.
        clock: Time source.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        admission: FairAdmission,
        chooser: EndpointChooser,
        clock: Clock,
        metrics: Metrics,
    ):
        self.admission = admission
        self._chooser = chooser
        self._clock = clock
        self._metrics = metrics
        self._queue = RoomQueue()
        # Speed by model, and when it was computed.
        self._speeds: dict[str, tuple[float, float]] = {}

    def search(
        self, call: ProxyCall, endpoints: Sequence[Endpoint], now: float
    ) -> RoomSearch | None:
        """Returns the search for a request; None if it needs none."""
        prompt, engine = call.options.prompt, call.service.engine
        if prompt is None or engine is None or not endpoints:
            return None
        limits = _MEMORY_ONLY
        if not call.send_count:
            limits = self.admission.limits(
                *(call.service.name, first_urgency(call)),
                *(endpoints[0].slots, self._tokens_s(prompt)),
                *(self._waited(call, now), self.is_over(call, now), now),
            )
        needed_tokens = prompt.tokens + prompt.max_tokens
        return RoomSearch(
            *(limits, needed_tokens, engine.memory_tokens),
            self.admission.sample,
        )

    def is_over(self, call: ProxyCall, now: float) -> bool:
        """Returns whether the customer asks for more than its share."""
        return self.admission.is_over_share(
            self._demand(call), _customer_digest(call), now
        )

    def _waited(self, call: ProxyCall, now: float) -> float:
        """Returns how much of the time for its wait has passed, up to 1."""
        hold_s = self._demand(call).hold_s(now)
        most_s = call.deadline - hold_s - call.started_at
        if most_s <= 0:
            return 1.0
        return min(1.0, (now - call.started_at) / most_s)

    def _tokens_s(self, prompt: Prompt) -> float:
        """Returns the prompt tokens that a runner reads in a second.

        Waits at the runners in a burst make the current estimate too low.
        """
        chooser, now = self._chooser, self._clock.now()
        base_s = chooser.prefill_s(prompt, 0)
        sample_s = chooser.prefill_s(prompt, _SPEED_SAMPLE_TOKENS) - base_s
        current = _SPEED_SAMPLE_TOKENS / sample_s
        known, at = self._speeds.get(prompt.model, (current, now))
        kept = decay_factor(now - at, SPEED_HALF_LIFE_S)
        speed = max(current, kept * known + (1 - kept) * current)
        self._speeds[prompt.model] = (speed, now)
        return speed

    def may_send(
        self,
        call: ProxyCall,
        endpoint: Endpoint | None,
        search: RoomSearch,
        unread_tokens: int | None,
        now: float,
    ) -> bool:
        """Returns whether a request may be sent to the runner that was found.

        If not, `call` says whether it waits for room, or why it is refused.

        Args:
            call: The request.
            endpoint: The best runner with room for it; None if none has any.
            search: The search by which it was found.
            unread_tokens: Tokens that this runner has to prefill; None if none
                was found.
            now: Seconds on the router's clock.
        """
        if not call.was_admitted:
            call.work = self._work(call, unread_tokens, now)
        ask = self._ask(call, endpoint, now)
        verdict = self.admission.decide(call.service.name, ask, search, now)
        call.was_admitted = True
        call.waits_for_room = verdict.outcome is Outcome.WAIT
        if verdict.outcome is Outcome.SEND:
            return True
        if not call.waits_for_room:
            self._refuse(call, ask, search, verdict)
        return False

    def _work(
        self, call: ProxyCall, unread_tokens: int | None, now: float
    ) -> int:
        """Returns the work of a request in tokens."""
        prompt = call.options.prompt
        if unread_tokens is None:
            # As much of the prompt is cached as of others of its class.
            part = self._demand(call).unread_part(now)
            unread_tokens = round(part * prompt.tokens)
        return work_of(unread_tokens, prompt.max_tokens)

    def _ask(
        self, call: ProxyCall, endpoint: Endpoint | None, now: float
    ) -> Ask:
        prompt = call.options.prompt
        ahead_s = 0.0
        if endpoint is not None:
            ahead_tokens = self._chooser.tokens_ahead(endpoint)
            ahead_s = ahead_tokens / self._tokens_s(prompt)
        return Ask(
            demand=self._demand(call),
            customer=_customer_digest(call),
            work=call.work,
            goal_s=call.route.goal_s,
            left_s=max(0.0, call.deadline - now),
            ahead_s=ahead_s,
            has_runner=endpoint is not None,
            is_new=not call.was_admitted,
            is_repeat=call.send_count > 0,
        )

    def _demand(self, call: ProxyCall) -> ClassDemand:
        return self.admission.demand(call.service.name, first_urgency(call))

    def _refuse(
        self, call: ProxyCall, ask: Ask, search: RoomSearch, verdict: Verdict
    ) -> None:
        call.retry_after_s = verdict.retry_after_s
        call.is_over_share = verdict.outcome is Outcome.OVER_SHARE
        self._metrics.count(f"fair.{verdict.outcome.value}")
        log(
            "room_refused",
            request=call.options.request_id,
            customer=call.customer.name if call.customer else "",
            priority=first_urgency(call),
            cause=verdict.outcome.value,
            retry_ms=round(verdict.retry_after_s * 1000),
            waiting=ask.demand.waiting,
            slots_taken=search.requests,
            slots=search.slots,
            left_ms=remaining_ms(call, self._clock),
        )

    async def wait_for_room(
        self,
        call: ProxyCall,
        choose: Callable[[ProxyCall], Endpoint | None],
    ) -> Endpoint | None:
        """Waits until a runner has room, or the wait takes too long.

        Args:
            call: The request.
            choose: Looks for a runner, and says in `call` if it is to wait.

        Returns:
            The runner; None if the request is refused.
        """
        demand, began_at = self._demand(call), self._clock.now()
        is_over = self.is_over(call, began_at)
        key = (first_urgency(call), is_over, call.service.name)
        self._metrics.count("fair.waited")
        demand.enter_queue(call.work, is_over)
        try:
            with self._queue.place(key) as place:
                endpoint = None
                while endpoint is None and call.waits_for_room:
                    with anyio.move_on_after(remaining_s(call, self._clock)):
                        await place.wait_for_turn()
                    endpoint = choose(call)
                    if remaining_s(call, self._clock) <= 0:
                        break
                return endpoint
        finally:
            demand.leave_queue(call.work, is_over)
            self._metrics.timing("fair.wait", self._clock.now() - began_at)

    def start(self, call: ProxyCall, unread_tokens: int) -> None:
        """Records that a request is sent to a runner.

        Args:
            call: The request.
            unread_tokens: Tokens of its prompt that the runner has to prefill.
        """
        prompt = call.options.prompt
        if prompt is None:
            return
        now, demand = self._clock.now(), self._demand(call)
        needed_tokens = prompt.tokens + prompt.max_tokens
        demand.record_sent(needed_tokens, prompt.tokens, unread_tokens, now)
        if len(call.tried) <= 1:
            self.admission.usage.record_admitted(
                *(demand.pool, _customer_digest(call), call.work, now)
            )

    def end(self, call: ProxyCall, sent_at: float) -> None:
        """Records that an attempt has ended, which was sent at a time."""
        if call.options.prompt is not None:
            self._demand(call).record_ended(sent_at, self._clock.now())

    def refresh(self, now: float) -> None:
        """Computes fair shares, and lets waiting requests look for room."""
        self.admission.refresh(now)
        self._queue.give_turns()
        gauge = self._metrics.gauge
        gauge("fair.waiting", self.admission.waiting_count)
        gauge("fair.shared", int(self.admission.usage.is_shared(now)))


def _customer_digest(call: ProxyCall) -> int:
    return usage_digest(call.customer.name if call.customer else "")
