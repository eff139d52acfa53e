"""Software versions that the endpoints of each service have ever announced.

A service or model that has only ever had one version began all its streams at
it.
"""

import itertools
from collections.abc import Mapping

from knapweedarch.models import Endpoint

# More versions of a service, or services, are not told apart: a service that is
# not kept counts as one whose versions are unknown.
MAX_VERSIONS = 8
MAX_SERVICES = 5_000


class SoftwareVersions:
    """Versions by the name of a service or model."""

    def __init__(self) -> None:
        self._versions: dict[str, tuple[str, ...]] = {}

    def record(self, endpoint: Endpoint) -> None:
        """Records the version of an announced endpoint."""
        for name in endpoint.serves:
            known = self._versions.get(name, ())
            is_full = not known and len(self._versions) >= MAX_SERVICES
            if endpoint.software_version in known or is_full:
                continue
            if len(known) < MAX_VERSIONS:
                self._versions[name] = (*known, endpoint.software_version)

    def versions(self, name: str) -> tuple[str, ...]:
        """Returns the versions of a service or model; empty if unknown.

        Args:
            name: Its name; empty for all services and models together.
        """
        if name:
            return self._versions.get(name, ())
        if len(self._versions) >= MAX_SERVICES:
            return ()
        found = itertools.chain.from_iterable(self._versions.values())
        return tuple(dict.fromkeys(found))[:MAX_VERSIONS]

    def all(self) -> dict[str, tuple[str, ...]]:
        """Returns the versions of all services."""
        return dict(self._versions)

    def restore(self, versions: Mapping[str, tuple[str, ...]]) -> None:
        """Replaces the versions of all services."""
        self._versions = dict(versions)
