"""Software versions that the endpoints of each model have ever announced.

A model that has only ever had one version began all its streams at it.
"""

import itertools
from collections.abc import Mapping

from knapweedarch.deployments import models_of
from knapweedarch.models import Endpoint

# More versions of a model, or models, are not told apart: a model that is not
# kept counts as one whose versions are unknown.
MAX_VERSIONS = 8
MAX_MODELS = 5_000
# Stands for the endpoints that have no model; no model has this name.
NO_MODEL = ""


class SoftwareVersions:
    """Versions by the name of a model.

    A snapshot of an earlier build also has versions by the names of services.
    """

    def __init__(self) -> None:
        self._versions: dict[str, tuple[str, ...]] = {}

    def record(self, endpoint: Endpoint) -> None:
        """Records the version of an announced endpoint."""
        for name in models_of(endpoint) or (NO_MODEL,):
            known = self._versions.get(name, ())
            is_full = not known and len(self._versions) >= MAX_MODELS
            if endpoint.software_version in known or is_full:
                continue
            if len(known) < MAX_VERSIONS:
                self._versions[name] = (*known, endpoint.software_version)

    def versions(self, model: str) -> tuple[str, ...]:
        """Returns the versions of a model; empty if unknown.

        Args:
            model: Its name; empty for all endpoints together, also those
                without a model.
        """
        if model:
            return self._versions.get(model, ())
        if len(self._versions) >= MAX_MODELS:
            return ()
        found = itertools.chain.from_iterable(self._versions.values())
        return tuple(dict.fromkeys(found))[:MAX_VERSIONS]

    def all(self) -> dict[str, tuple[str, ...]]:
        """Returns the versions of all models."""
        return dict(self._versions)

    def restore(self, versions: Mapping[str, tuple[str, ...]]) -> None:
        """Replaces the versions of all models."""
        self._versions = dict(versions)
