"""Endpoints that a router sends requests to, by the service of a request.

Several endpoints may be registered at one address: one that has crashed and its
successor, or one that runs and one that an unknown sender registered. Only an
endpoint that can be used may hide the others of its address.
"""

from collections.abc import Iterable, Sequence

from knapweedarch.deployments import Deployment, models_of, service_of
from knapweedarch.heartbeats import started_before
from knapweedarch.models import Endpoint, EndpointStatus


class ServiceEndpoints:
    """Endpoints that may get new requests."""

    def __init__(self) -> None:
        self._listed: list[Endpoint] = []
        self._deployment: Deployment | None = None
        # Ids and incarnations that are not at their address.
        self._replaced: set[tuple[str, str]] = set()
        self._by_service: dict[str, list[Endpoint]] = {}

    def set_listed(self, endpoints: Iterable[Endpoint]) -> None:
        """Replaces the known endpoints; only active ones get requests."""
        self._listed = list(endpoints)
        self._replaced &= {(e.id, e.incarnation) for e in self._listed}
        self._update()

    def set_deployment(self, deployment: Deployment) -> None:
        """Replaces the configuration; only its services are used."""
        self._deployment = deployment
        self._update()

    def record_replaced(self, endpoint: Endpoint) -> None:
        """Records that another instance answers at an endpoint's address."""
        self._replaced.add((endpoint.id, endpoint.incarnation))
        self._update()

    def of(self, service: str, model: str | None = None) -> Sequence[Endpoint]:
        """Returns the endpoints of a service.

        Args:
            service: Name of the service.
            model: Model that they must have loaded; None for any or none.
        """
        found = self._by_service.get(service, ())
        if model is None:
            return found
        return [e for e in found if model in models_of(e)]

    def active(self) -> list[Endpoint]:
        """Returns the endpoints of all services."""
        return [e for group in self._by_service.values() for e in group]

    def _update(self) -> None:
        self._by_service = {}
        usable = [e for e in self._listed if self._is_usable(e)]
        for endpoint in _newest_by_address(usable):
            if endpoint.status is EndpointStatus.ACTIVE:
                group = self._by_service.setdefault(service_of(endpoint), [])
                group.append(endpoint)

    def _is_usable(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint is at its address and has a service."""
        if not endpoint.in_use:
            return False
        if (endpoint.id, endpoint.incarnation) in self._replaced:
            return False
        return self._deployment is None or self._deployment.uses(endpoint)


def _newest_by_address(endpoints: Iterable[Endpoint]) -> list[Endpoint]:
    """Keeps the endpoint with the latest start time at each address.

    A crashed endpoint stays listed for some seconds, while a new one may
    already use its address.
    """
    newest: dict[str, Endpoint] = {}
    for endpoint in endpoints:
        known = newest.get(endpoint.url)
        if known is None or started_before(
            known.incarnation, endpoint.incarnation
        ):
            newest[endpoint.url] = endpoint
    return list(newest.values())
