"""Data classes and enumerations shared by the modules."""

import enum

import attrs

# Most names of models and services that one endpoint serves.
MAX_SERVED_NAMES = 64


class Outcome(str, enum.Enum):
    """Whether a refused or failed request was executed."""

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"


class RefusalReason(str, enum.Enum):
    """Machine-readable refusal reason; each has its own counter."""

    BAD_BODY = "bad_body"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    NOT_ALLOWED = "not_allowed"
    OVER_LIMIT = "over_limit"
    OVER_SHARE = "over_share"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_CAPACITY = "no_capacity"
    OVERLOADED = "overloaded"
    PART_HELD = "part_held"
    STREAM_VERSION_GONE = "stream_version_gone"
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    ENDPOINTS_LIMITED = "endpoints_limited"
    NO_RESUME = "no_resume"
    RETRIES_EXHAUSTED = "retries_exhausted"
    LEASE_EXPIRED = "lease_expired"
    STOPPING = "stopping"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ENDPOINT_FAILED = "endpoint_failed"
    ANSWER_TOO_LARGE = "answer_too_large"
    CONTROL_UNAVAILABLE = "control_unavailable"
    SLOW_CALLER = "slow_caller"
    BAD_CREDENTIAL = "bad_credential"
    TOO_MANY_RECORDS = "too_many_records"


class MemberChangeKind(str, enum.Enum):
    """What a leader changes in the member list, and why."""

    JOINING_ADDED = "joining_added"
    REPLACEMENT_ADDED = "replacement_added"
    LEARNER_REPLACED = "learner_replaced"
    LEARNER_PROMOTED = "learner_promoted"
    SILENT_LEARNER_REMOVED = "silent_learner_removed"
    SILENT_VOTER_REMOVED = "silent_voter_removed"
    REPLACED_VOTER_REMOVED = "replaced_voter_removed"
    ORIGINAL_RETURNED = "original_returned"


class RequestEnd(str, enum.Enum):
    """Result of a caller's request.

    `BROKEN_OFF` is a response that the router aborted after it had started.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    BROKEN_OFF = "broken_off"
    CALLER_LEFT = "caller_left"


class RetryReason(str, enum.Enum):
    """Reason for the failure of an attempt; each has its own counter."""

    CONNECT_REFUSED = "connect_refused"
    CONNECTION_CLOSED = "connection_closed"
    ANSWER_TIMEOUT = "answer_timeout"
    FIRST_TOKEN_TIMEOUT = "first_token_timeout"
    STREAM_SILENT = "stream_silent"
    STREAM_GAP = "stream_gap"
    STREAM_TRUNCATED = "stream_truncated"
    ANSWER_TOO_LONG = "answer_too_long"
    MEMORY_FULL = "memory_full"
    CROSSED_ANSWER = "crossed_answer"
    WRONG_INCARNATION = "wrong_incarnation"
    WRONG_VERSION = "wrong_version"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_ERROR = "endpoint_error"
    REQUEST_UNSENDABLE = "request_unsendable"
    IDENTITY_UNKNOWN = "identity_unknown"


class Priority(enum.IntEnum):
    """Class of a request; a lower value is served first."""

    AVAILABILITY = 0
    GUEST = 1
    INTERACTIVE = 2
    BATCH = 3


class EndpointKind(str, enum.Enum):
    """Whether an endpoint runs a model or is a plain service."""

    RUNNER = "runner"
    SERVICE = "service"


class EndpointStatus(str, enum.Enum):
    """State of an endpoint; only an active one gets new work."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LOADING = "loading"
    SILENT = "silent"


@attrs.frozen
class Endpoint:
    """An endpoint as it announced itself.

    Attributes:
        id: Name chosen by the endpoint, stable across restarts.
        incarnation: Random string generated at each start of the endpoint;
            cache entries of another incarnation no longer exist.
        url: Base URL with an IP address.
        kind: Runner or plain service.
        serves: Model names of a runner, or the service name of a service. In a
            deployment, the service name and then the names of the models; see
            `deployments.service_of` and `deployments.models_of`.
        weights_version: Version of the loaded weights; empty for services.
        data_centre: Data centre of the endpoint.
        slots: Requests that the endpoint runs concurrently without queueing.
        cache_blocks: Capacity of the prefix cache in blocks.
        checks_fencing: Whether the endpoint refuses outdated fencing numbers.
        status: State of the endpoint; only an active one gets new work.
        software_version: Version of the endpoint's software, not of its
            weights; empty if it names none. What two versions write does not
            fit together, so a stream goes on only at the one that began it.
    """

    id: str
    incarnation: str
    url: str
    kind: EndpointKind
    serves: tuple[str, ...]
    weights_version: str = ""
    data_centre: str = ""
    slots: int = 8
    cache_blocks: int = 0
    checks_fencing: bool = False
    status: EndpointStatus = EndpointStatus.ACTIVE
    software_version: str = ""

    @property
    def address(self) -> str:
        """IP address and port of the URL."""
        return self.url.removeprefix("http://")

    @property
    def in_use(self) -> bool:
        """Whether the endpoint runs and is to stay.

        One that loads weights counts as in use but gets no new work.
        """
        return self.status in (EndpointStatus.ACTIVE, EndpointStatus.LOADING)

    @property
    def weights_number(self) -> int:
        """Weights version as a number; 0 if empty.

        Raises:
            ValueError: The version is not a decimal number.
        """
        return int(self.weights_version or 0)


@attrs.frozen
class LoadReport:
    """Load of a runner at the time of the report.

    Attributes:
        endpoint_id: Reporting runner.
        incarnation: Incarnation of the runner.
        running: Number of requests in the current batch.
        queued: Number of requests that wait for a slot of the batch.
        queued_tokens: Prompt tokens not yet prefilled, cached ones excluded.
        acknowledged: Highest attempt number of this router that the report
            includes; 0 if the runner does not report it.
        urgent_tokens: Part of `queued_tokens` that belongs to the classes
            availability and guest; None if the runner does not report it.
    """

    endpoint_id: str
    incarnation: str
    running: int
    queued: int
    queued_tokens: int
    acknowledged: int = 0
    urgent_tokens: int | None = None


class CacheChange(str, enum.Enum):
    """Kind of a cache event."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


@attrs.frozen
class CacheEvent:
    """A change in the prefix cache of a runner.

    Attributes:
        endpoint_id: Runner whose cache changed.
        incarnation: Incarnation of the runner.
        number: Consecutive number of the event in this incarnation.
        change: Kind of the change.
        blocks: Hashes of the affected blocks, in prompt order.
    """

    endpoint_id: str
    incarnation: str
    number: int
    change: CacheChange
    blocks: tuple[int, ...] = ()


@attrs.frozen
class CacheSnapshot:
    """The complete prefix cache of a runner.

    Attributes:
        endpoint_id: The runner.
        incarnation: Incarnation of the runner.
        number: Number of the last event that the snapshot includes; 0
            before the first one.
        blocks: Hashes of all cached blocks.
    """

    endpoint_id: str
    incarnation: str
    number: int
    blocks: tuple[int, ...] = ()


@attrs.frozen
class Ticket:
    """A request as the scheduler sees it.

    Attributes:
        id: Id of the request, unique in this router's incarnation.
        customer: Customer name.
        model: Model name.
        priority: Class of the request.
        blocks: Chained hashes of the prompt's full blocks.
        prompt_tokens: Length of the prompt in tokens.
        max_tokens: Maximum number of tokens to generate.
        deadline: Time by which the first token must arrive, on the router's
            clock in seconds.
        weights_version: Required version of a resumed stream, otherwise empty.
        arrived_at: Arrival time of the request on the router's clock in
            seconds.
        software_version: Required software version of a resumed stream; None
            for any.
    """

    id: str
    customer: str
    model: str
    priority: Priority
    blocks: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    deadline: float
    weights_version: str = ""
    arrived_at: float = 0.0
    software_version: str | None = None


@attrs.frozen
class Attempt:
    """One attempt to run a request on one endpoint.

    Attributes:
        number: Number of the attempt, unique in this router's incarnation.
        ticket: The request.
        endpoint: The endpoint as known when it was chosen.
        cached_blocks: Number of blocks expected in the endpoint's cache.
    """

    number: int
    ticket: Ticket
    endpoint: Endpoint
    cached_blocks: int = 0


@attrs.frozen
class Dispatch:
    """Decision to send the request now."""

    attempt: Attempt


@attrs.frozen
class Wait:
    """Decision to queue the request; `Scheduler.poll` returns it later."""


@attrs.frozen
class Refuse:
    """Decision to refuse the request without executing it.

    Attributes:
        reason: Reason of the refusal.
        retry_after_s: Delay in seconds after which the caller should resend
            the request.
    """

    reason: RefusalReason
    retry_after_s: float = 1.0


Decision = Dispatch | Wait | Refuse


@attrs.frozen
class AttemptResult:
    """Result of an attempt.

    Attributes:
        failure: Reason of the failure; None after a complete answer or a
            cancellation.
        cached_tokens: Prompt tokens found in the cache, as reported by the
            endpoint; None if not reported.
        cancelled: Whether the router ended the attempt early, for example
            because the caller disconnected.
    """

    failure: RetryReason | None = None
    cached_tokens: int | None = None
    cancelled: bool = False


@attrs.frozen
class CustomerRule:
    """Limits and permissions of one customer.

    Attributes:
        name: Customer name.
        key_digest: SHA-256 of the API key in hexadecimal.
        priority: Default class of a request and the highest it may specify.
        rate: Maximum requests per second; 0 means no limit.
        concurrent: Maximum number of concurrent requests; 0 means no limit.
        share: Weight in fair queueing for a model.
        models: Models that the customer may use; empty means all.
        asked_by: Who requested the rule.
    """

    name: str
    key_digest: str
    priority: Priority = Priority.INTERACTIVE
    rate: float = 0.0
    concurrent: int = 0
    share: float = 1.0
    models: tuple[str, ...] = ()
    asked_by: str = ""


@attrs.frozen
class ModelRule:
    """Required weights version and time limit of a model.

    Attributes:
        name: Model name.
        version: Required weights version; empty means any.
        first_token_s: Limit of the time to the first token, in seconds.
        asked_by: Who requested the rule.
    """

    name: str
    version: str = ""
    first_token_s: float = 10.0
    asked_by: str = ""


@attrs.frozen
class ServiceRule:
    """Time limit of a plain service and the calls not to be repeated.

    Attributes:
        name: Service name.
        once: Path prefixes whose calls must not be repeated.
        timeout_s: Maximum time to wait for an answer, in seconds.
        asked_by: Who requested the rule.
    """

    name: str
    once: tuple[str, ...] = ()
    timeout_s: float = 5.0
    asked_by: str = ""


@attrs.frozen
class Rules:
    """Contents of a validated rule file."""

    customers: tuple[CustomerRule, ...] = ()
    models: tuple[ModelRule, ...] = ()
    services: tuple[ServiceRule, ...] = ()
