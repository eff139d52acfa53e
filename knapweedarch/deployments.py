"""A deployment's routing configuration: routes, services and customers.

A configuration is submitted as a whole with a version number; the highest
version is in force. The types are independent of the format in which a
platform sends it.
"""

import enum
from collections.abc import Collection, Sequence

import attrs

from knapweedarch.exceptions import DeploymentError
from knapweedarch.models import Endpoint
from knapweedarch.quotas import Quota

# Characters of a name in a fault.
MAX_SHOWN_CHARS = 60


class Repeatability(str, enum.Enum):
    """How often the requests of a route may run.

    `IDEMPOTENT` requests may run any number of times, `ONCE` requests once.
    `STREAM` requests are answered by an event stream; they may run more than
    once only if the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class SplitShare:
    """A service's share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Relative weight; a service with weight 0 gets no requests.
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
        repeatability: Whether requests may be sent again.
        timeout_s: Longest time in seconds until the caller gets an answer.
        goal_s: Latency goal: time in seconds within which an answer, or the
            first event of a stream, is fully useful.
        priority: Priority; 0 is the most urgent.
        split: Services and their shares.
        attempts: Maximum number of endpoints that a request is sent to.
        public: Whether callers need no key.
        resumable: Whether a broken stream may be resumed at another endpoint;
            says nothing of routes without streams (see `may_resume`).
        event_gap_s: Longest useful pause between events of a stream, in
            seconds.
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
        return self.repeatability is Repeatability.IDEMPOTENT or self.may_resume

    @property
    def may_resume(self) -> bool:
        """Whether a broken answer may be resumed at another endpoint.

        Only a stream can be, whatever else the configuration says.
        """
        return self.streams and self.resumable

    @property
    def streams(self) -> bool:
        """Whether answers are event streams."""
        return self.repeatability is Repeatability.STREAM


@attrs.frozen
class Engine:
    """Properties shared by the runners of a service.

    Attributes:
        slots: Requests that a runner processes concurrently.
        memory_tokens: Capacity of a runner's memory in tokens.
        token_bytes: Memory per token in bytes.
        link_bits_s: Bandwidth of a runner's link in bits per second.
        feed_limit: Concurrent calls for cache events that a runner keeps open.
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
    """A service that routes refer to.

    Attributes:
        name: Name of the service.
        health_path: Path of its health check; empty if none is set.
        max_connections: Connections that one endpoint accepts from all callers
            together; 0 if no number is set.
        engine: Properties of its runners; None for a plain service.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: Engine | None = None

    @property
    def runs_models(self) -> bool:
        """Whether its endpoints are runners of models."""
        return self.engine is not None and bool(self.engine.models)


@attrs.frozen
class CacheStore:
    """A KV cache store outside the runners.

    Attributes:
        name: Name of the store.
        address: IP address and port.
        data_centre: Data centre of the store.
        memory_tokens: Capacity in tokens.
    """

    name: str
    address: str
    data_centre: str
    memory_tokens: int


@attrs.frozen
class CallerLimits:
    """Limits on the size and timing of callers' requests.

    Attributes:
        header_bytes: Largest request head in bytes.
        body_bytes: Largest request body in bytes.
        header_s: Longest time from the first byte to the end of the head, in
            seconds.
        idle_s: Longest time that a connection stays open without a request, in
            seconds.
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
        keys: Keys by which its callers authenticate.
        priority: Priority, which takes precedence over a route's; 0 is the most
            urgent; None if none is set.
        isolated: Whether cache entries are never shared with other customers.
        quota: Quota over all routers; None if there is none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False
    quota: Quota | None = None


@attrs.frozen
class Deployment:
    """A complete configuration.

    Attributes:
        version: Version number; the highest one is in force.
        routes: Routes; each pair of host and path prefix is unique.
        services: Services.
        stores: KV cache stores.
        customers: Customers.
        limits: Limits for callers.
        lists_customers: Whether there is a list of customers, which may be
            empty.
        unshared: Names of customers that share no cached parts although they
            may no longer be isolated; see `cache_scopes`.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    stores: tuple[CacheStore, ...] = ()
    customers: tuple[Customer, ...] = ()
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    lists_customers: bool = False
    unshared: tuple[str, ...] = ()

    @property
    def needs_key(self) -> bool:
        """Whether callers need a key of a customer, except on public routes.

        An empty list of customers lets nobody in. A configuration stored by an
        earlier build does not tell it from a missing list.
        """
        return self.lists_customers or bool(self.customers)

    def service(self, name: str) -> Service | None:
        """Returns a service, or None if there is none of this name."""
        return next((s for s in self.services if s.name == name), None)

    def uses(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint belongs to one of the services.

        One that names no model is no runner, so a service of runners does not
        use it.
        """
        service = self.service(service_of(endpoint))
        if service is None:
            return False
        return not service.runs_models or bool(models_of(endpoint))


def service_of(endpoint: Endpoint) -> str:
    """Returns the service of an endpoint in a deployment.

    It is the first name that the endpoint serves.
    """
    return endpoint.serves[0]


def models_of(endpoint: Endpoint) -> tuple[str, ...]:
    """Returns the models that an endpoint in a deployment has loaded."""
    return endpoint.serves[1:]


class RouteCheck:
    """Checks the routes of a configuration, and their shares, one by one.

    Args:
        services: Names of the services that routes may name.
    """

    def __init__(self, services: Collection[str]):
        self._services = services
        self._keys: set[tuple[str, str]] = set()

    def check(self, route: Route) -> None:
        """Checks a route, but for its shares, and against those before it.

        Raises:
            DeploymentError: It is invalid.
        """
        key = (route.host, route.path_prefix)
        if key in self._keys:
            raise _route_error(
                route.name, "host and path prefix are already used"
            )
        self._keys.add(key)
        if sum(share.weight for share in route.split) <= 0:
            raise _route_error(
                route.name, "the sum of the weights is not positive"
            )
        if route.timeout_s <= 0:
            raise _route_error(route.name, "the timeout is not positive")

    def check_share(self, route_name: str, share: SplitShare) -> None:
        """Checks a share of a route.

        Raises:
            DeploymentError: It names an unknown service.
        """
        if share.service not in self._services:
            unknown = share.service[:MAX_SHOWN_CHARS]
            raise _route_error(route_name, f"unknown service {unknown}")


def _route_error(name: str, fault: str) -> DeploymentError:
    return DeploymentError(f"route {name[:MAX_SHOWN_CHARS]}: {fault}")


def check_unique(kind: str, names: Sequence[str]) -> None:
    """Checks that no two things of a kind have one name.

    Raises:
        DeploymentError: Two have.
    """
    if len(set(names)) < len(names):
        raise DeploymentError(f"a {kind} occurs more than once")


class RouteTable:
    """Looks up routes, services and customers of a configuration.

    Attributes:
        deployment: The configuration.
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
        """Returns the host's route with the longest matching path prefix.

        The result is None if no route matches.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service(self, name: str) -> Service | None:
        """Returns a service, or None if there is none of this name."""
        return self._services.get(name)

    def customer(self, key: str) -> Customer | None:
        """Returns the customer of a key, or None if the key is unknown."""
        return self._customers.get(key)

    def choose_service(self, route: Route, sample: float) -> str:
        """Chooses a service of a route by weight.

        Args:
            route: The route.
            sample: Random number from 0 to below 1.
        """
        remaining = sample * sum(share.weight for share in route.split)
        for share in route.split:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return max(route.split, key=lambda share: share.weight).service
