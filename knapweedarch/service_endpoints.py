"""Endpoints that a router sends requests to, by the service of a request."""

from collections.abc import Iterable, Sequence

from knapweedarch.heartbeats import incarnation_start
from knapweedarch.models import Endpoint, EndpointStatus


class ServiceEndpoints:
    """Endpoints that may get new requests."""

    def __init__(self) -> None:
        self._by_service: dict[str, list[Endpoint]] = {}

    def set_listed(self, endpoints: Iterable[Endpoint]) -> None:
        """Replaces the known endpoints; only active ones get requests."""
        self._by_service = {}
        for endpoint in _newest_by_address(endpoints):
            if endpoint.status is EndpointStatus.ACTIVE:
                for name in endpoint.serves:
                    self._by_service.setdefault(name, []).append(endpoint)

    def of(self, service: str) -> Sequence[Endpoint]:
        """Returns the endpoints of a service."""
        return self._by_service.get(service, ())

    def active(self) -> list[Endpoint]:
        """Returns the endpoints of all services."""
        groups = self._by_service.values()
        return list({e.id: e for group in groups for e in group}.values())


def _newest_by_address(endpoints: Iterable[Endpoint]) -> list[Endpoint]:
    """Keeps the endpoint with the latest start time at each address.

    A crashed endpoint stays listed for some seconds, while a new one may
    already use its address.
    """
    newest: dict[str, Endpoint] = {}
    for endpoint in endpoints:
        known = newest.get(endpoint.url)
        if known is None or incarnation_start(
            endpoint.incarnation
        ) > incarnation_start(known.incarnation):
            newest[endpoint.url] = endpoint
    return list(newest.values())
