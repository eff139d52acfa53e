"""Target weights version of each model, and since when it is the target."""

import attrs

from knapweedarch.models import Endpoint

# Target weights versions remembered per model.
MAX_VERSION_HISTORY = 16


@attrs.frozen
class _TargetVersion:
    """A target weights version, and the time at which it became known."""

    version: int
    at: float


class TargetWeights:
    """Target versions as a router has learnt them."""

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}
        self._history: dict[str, list[_TargetVersion]] = {}

    def set(self, versions: dict[str, int], now: float) -> None:
        """Sets the target version of each model.

        Args:
            versions: Target version by model.
            now: Seconds on the router's clock.
        """
        for model, version in versions.items():
            if version != self._versions.get(model):
                history = self._history.setdefault(model, [])
                history.append(_TargetVersion(version, now))
                del history[:-MAX_VERSION_HISTORY]
        self._versions = versions

    def has_newest(self, endpoint: Endpoint, model: str) -> bool:
        """Returns whether a runner has the target version or a newer one."""
        return endpoint.weights_number >= self._versions.get(model, 0)

    def outdated_for_s(
        self, endpoint: Endpoint, model: str, now: float
    ) -> float:
        """Returns how long newer weights than a runner's have been the target.

        The result is in seconds, and 0 if the runner is up to date.
        """
        current = endpoint.weights_number
        newer = [t for t in self._history.get(model, ()) if t.version > current]
        return now - newer[0].at if newer else 0.0
