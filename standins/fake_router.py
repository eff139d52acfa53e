"""Fake router for scenarios and benchmarks of the gateway."""

import hashlib
import itertools
from collections import Counter

from knapweedarch.adapters import create_adapter
from knapweedarch.crash_guard import create_crash_guard
from knapweedarch.exceptions import ControlError
from knapweedarch.models import (
    Attempt,
    AttemptResult,
    CustomerRule,
    Dispatch,
    Endpoint,
    EndpointKind,
    ModelRule,
    RefusalReason,
    Refuse,
    Rules,
    ServiceRule,
    Ticket,
)
from knapweedarch.state import COMMANDS, RESULTS, ControlState
from knapweedarch.timers import Clock

CREDENTIAL = "endpoint-credential"
API_KEY = "counter-key"
AUTHORIZATION = {"authorization": f"Bearer {API_KEY}"}
SERVICE_TIMEOUT_S = 1.0


class FakeScheduler:
    """Records the reports of the gateway."""

    def __init__(self):
        self.results: list[tuple[Attempt, AttemptResult]] = []
        self.first_tokens: list[Attempt] = []
        self.loads: list[object] = []

    def version_for(self, model: str) -> str:
        """Returns the same version for every model."""
        return "w1"

    def report_load(self, report, now: float) -> None:
        """Records the report."""
        self.loads.append(report)

    def first_token(self, attempt: Attempt, now: float) -> None:
        """Records the attempt."""
        self.first_tokens.append(attempt)

    def finished(
        self, attempt: Attempt, result: AttemptResult, now: float
    ) -> None:
        """Records the result."""
        self.results.append((attempt, result))


class FakeRouter:
    """Implements `gateway.RouterPort` with the real state machine.

    Attributes:
        refusal: Reason that `start_refusal` returns, or None.
        checks_before_refusal: Number of further calls of `start_refusal` that
            return `refusal`; later ones return `refusal_after_checks`. If
            negative, every call returns `refusal`.
        refusal_after_checks: Reason that `start_refusal` returns after these
            calls.
        lease_lapses: Number of lapses of the lease so far.
        lapses_per_check: Lapses that each call of `lease_epoch` adds.
        retries_left: Further attempts that `place_retry` allows.
        pending_failures: Number of further failures by command class name.
        applies_twice: Whether each command is applied twice.
        rotate: Whether placements take the runners in turn.
    """

    def __init__(self, incarnation: str, state: ControlState):
        self.clock = Clock()
        self.incarnation = incarnation
        self.scheduler = FakeScheduler()
        self.adapter = create_adapter(CREDENTIAL, self.clock, incarnation)
        self.guard = create_crash_guard(1)
        self.max_body_bytes = 256 * 1024
        self.endpoint_credential = CREDENTIAL
        self.rules = Rules(
            (),
            (ModelRule("guide", "w1", first_token_s=5.0),),
            (ServiceRule("booking", ("/deposits",), SERVICE_TIMEOUT_S),),
        )
        self.customer = CustomerRule("counter", digest(API_KEY))
        self.runners: list[Endpoint] = []
        self.desks: list[Endpoint] = []
        self.announced: list[Endpoint] = []
        self.counts: Counter[str] = Counter()
        self.timings: dict[str, list[float]] = {}
        self.refusal: RefusalReason | None = None
        self.checks_before_refusal = -1
        self.refusal_after_checks = RefusalReason.LEASE_EXPIRED
        self.retries_left = 3
        self.lease_lapses = 0
        self.lapses_per_check = 0
        self.pending_failures: Counter[str] = Counter()
        self.applies_twice = False
        self.state = state
        self.rotate = False
        self._attempt_numbers = itertools.count(1)
        self._rotation = itertools.count()

    def customer_for(self, api_key: str) -> CustomerRule | None:
        """Returns the only customer if the API key is that customer's."""
        same = digest(api_key) == self.customer.key_digest
        return self.customer if same else None

    def start_refusal(self) -> RefusalReason | None:
        """Returns the configured reason, at once or after some calls."""
        if self.checks_before_refusal == 0:
            return self.refusal_after_checks
        self.checks_before_refusal -= 1
        return self.refusal

    def lease_epoch(self) -> int:
        """Returns the number of lapses after adding `lapses_per_check`."""
        self.lease_lapses += self.lapses_per_check
        return self.lease_lapses

    async def place(self, ticket: Ticket) -> Dispatch | Refuse:
        """Chooses the first runner with the versions of the ticket.

        Any runner matches a ticket without versions.
        """
        return self._choose(ticket, self.runners)

    async def place_retry(
        self, ticket: Ticket, failed: Attempt, is_reserved: bool = False
    ) -> Dispatch | Refuse:
        """Chooses another runner than the failed one while retries are left."""
        if not is_reserved and not self._spend_retry():
            return Refuse(RefusalReason.RETRIES_EXHAUSTED)
        return self._choose(ticket, self._others(failed))

    def reserve_retry(self, ticket: Ticket, silent: Attempt) -> bool:
        """Spends a retry if another runner has the versions of the ticket."""
        choice = self._choose(ticket, self._others(silent))
        return isinstance(choice, Dispatch) and self._spend_retry()

    def _others(self, failed: Attempt) -> list[Endpoint]:
        return [r for r in self.runners if r != failed.endpoint]

    def _spend_retry(self) -> bool:
        if self.retries_left == 0:
            return False
        self.retries_left -= 1
        return True

    def _choose(self, ticket: Ticket, runners) -> Dispatch | Refuse:
        if self.rotate:
            turn = next(self._rotation) % max(1, len(runners))
            runners = [*runners[turn:], *runners[:turn]]
        for runner in runners:
            same_software = ticket.software_version in (
                *(None, runner.software_version),
            )
            if (
                ticket.weights_version in ("", runner.weights_version)
                and same_software
            ):
                return Dispatch(
                    Attempt(next(self._attempt_numbers), ticket, runner)
                )
        return Refuse(RefusalReason.NO_CAPACITY)

    def service_endpoints(self, name: str) -> list[Endpoint]:
        """Returns all endpoints of plain services, for any service name."""
        return self.desks

    async def submit(self, command: object, timeout_s: float) -> object:
        """Applies the command to the state shared by all routers."""
        name = type(command).__name__
        if self.pending_failures[name]:
            self.pending_failures[name] -= 1
            raise ControlError("no_leader")
        if self.applies_twice:
            # The control client does so when the first answer is lost.
            self.state.apply(COMMANDS.encode(command))
        return RESULTS.decode(self.state.apply(COMMANDS.encode(command)))

    async def announce(self, endpoint: Endpoint) -> None:
        """Records the announcement."""
        self.announced.append(endpoint)

    def ready(self) -> bool:
        """Returns whether no refusal is configured."""
        return self.refusal is None

    def count(self, name: str, number: int = 1) -> None:
        """Adds to the counter of this name."""
        self.counts[name] += number

    def timing(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""
        self.timings.setdefault(name, []).append(seconds)

    def log(self, event: str, **fields: object) -> None:
        """Discards the event."""


def digest(api_key: str) -> str:
    """Returns the digest of an API key as stored in the rules."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def endpoint_of(standin) -> Endpoint:
    """Builds the endpoint that a stand-in announces."""
    fields = dict(standin.describe())
    fields |= {
        "kind": EndpointKind(fields["kind"]),
        "serves": tuple(fields["serves"]),
    }
    del fields["status"]
    return Endpoint(**fields)
