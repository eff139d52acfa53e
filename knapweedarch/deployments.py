"""A deployment's routing configuration: routes, services and customers.

It is submitted whole under a number; the highest number is in force. The type
knows nothing of the format in which a platform sends it.
"""

import enum
from collections.abc import Iterator

import attrs

from knapweedarch.exceptions import DeploymentError


class Repeatability(str, enum.Enum):
    """What may be repeated of the requests of a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class SplitShare:
    """A service's share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Relative share; 0 sends it nothing.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """How the requests of one host and path prefix are served.

    Attributes:
        name: Name of the route.
        host: Value of the Host header, in lower case and without a port.
        path_prefix: Prefix of the path; begins and ends with a slash.
        repeatability: What may be repeated.
        timeout_s: Longest time that a caller is kept waiting.
        goal_s: Time within which an answer is fully useful.
        priority: Rank; 0 is the most urgent.
        split: Services and their shares.
        attempts: Most endpoints that one request is sent to.
        public: Whether callers need no key.
        resumable: Whether a broken stream may go on at another endpoint.
        event_gap_s: Longest useful pause between events of a stream.
    """

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    timeout_s: float
    goal_s: float
    priority: int
    split: tuple[SplitShare, ...]
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    event_gap_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeatability is Repeatability.IDEMPOTENT or self.resumable

    @property
    def streams(self) -> bool:
        """Whether answers are series of events."""
        return self.repeatability is Repeatability.STREAM


@attrs.frozen
class Engine:
    """What the runners of a service have in common.

    Attributes:
        slots: Requests that a runner processes at once.
        memory_tokens: Tokens that a runner's memory holds.
        token_bytes: Memory of one token in bytes.
        link_bits_s: Bandwidth of a runner's link in bits per second.
        feed_limit: Calls for cache events that a runner holds at once.
        models: Names of the models served.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_bits_s: float
    feed_limit: int
    models: tuple[str, ...]


@attrs.frozen
class Service:
    """A service that routes may name.

    Attributes:
        name: Name of the service.
        health_path: Path of its health check.
        max_connections: Connections that one endpoint accepts from all.
        engine: Figures of its runners; None for a plain service.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: Engine | None = None


@attrs.frozen
class CacheStore:
    """A store of KV cache beside the runners.

    Attributes:
        name: Name of the store.
        address: IP number and port.
        data_centre: Where it stands.
        memory_tokens: Tokens that it holds.
    """

    name: str
    address: str
    data_centre: str
    memory_tokens: int


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: Largest request head in bytes.
        body_bytes: Largest request body in bytes.
        header_s: Longest time from the first byte to the end of the head.
        idle_s: Longest time that a connection stays open without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


@attrs.frozen
class Customer:
    """A customer and its keys.

    Attributes:
        name: Name of the customer.
        keys: Keys that its callers show.
        priority: Rank that goes before a route's; None if it has none.
        isolated: Whether no cache entry may be shared with other customers.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False


@attrs.frozen
class Deployment:
    """A whole configuration.

    Attributes:
        version: Its number.
        routes: Routes; host and path prefix are unique together.
        services: Services.
        stores: Stores of KV cache.
        customers: Customers; without any, no key is asked for.
        limits: Limits of callers.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    stores: tuple[CacheStore, ...] = ()
    customers: tuple[Customer, ...] = ()
    limits: CallerLimits = attrs.field(factory=CallerLimits)


def check_deployment(deployment: Deployment) -> None:
    """Checks what the parts of a configuration say of each other.

    Raises:
        DeploymentError: The configuration is refused.
    """
    errors = [
        *_route_errors(deployment),
        *_duplicate_errors("service", [s.name for s in deployment.services]),
        *_duplicate_errors("customer", [c.name for c in deployment.customers]),
        *_duplicate_errors(
            "key", [key for c in deployment.customers for key in c.keys]
        ),
    ]
    if errors:
        raise DeploymentError(errors)


def _duplicate_errors(kind: str, names: list[str]) -> Iterator[str]:
    if len(set(names)) < len(names):
        yield f"a {kind} is listed twice"


def _route_errors(deployment: Deployment) -> Iterator[str]:
    services = {s.name for s in deployment.services}
    route_keys: set[tuple[str, str]] = set()
    for route in deployment.routes:
        route_key = (route.host, route.path_prefix)
        if route_key in route_keys:
            yield f"route {route.name}: host and prefix are taken"
        route_keys.add(route_key)
        if unknown := {s.service for s in route.split} - services:
            yield f"route {route.name}: unknown service {sorted(unknown)}"
        if any(s.weight < 0 for s in route.split):
            yield f"route {route.name}: a weight is negative"
        if sum(s.weight for s in route.split) <= 0:
            yield f"route {route.name}: the weights add up to 0"
        if route.timeout_s <= 0:
            yield f"route {route.name}: the timeout is not above 0"


class RouteTable:
    """Finds the route and the customer of a request.

    Attributes:
        deployment: The configuration that the table was made from.
    """

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self._by_host: dict[str, list[Route]] = {}
        for route in deployment.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda r: len(r.path_prefix), reverse=True)
        self._services = {s.name: s for s in deployment.services}
        self._customers = {
            key: customer
            for customer in deployment.customers
            for key in customer.keys
        }

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service(self, name: str) -> Service | None:
        """Returns a service."""
        return self._services.get(name)

    def customer(self, key: str) -> Customer | None:
        """Returns the customer that holds a key."""
        return self._customers.get(key)

    def choose_service(self, route: Route, sample: float) -> str:
        """Chooses a service of a route by its shares.

        Args:
            route: The route.
            sample: Number from 0 to below 1.
        """
        remaining = sample * sum(share.weight for share in route.split)
        for share in route.split:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return max(route.split, key=lambda share: share.weight).service
