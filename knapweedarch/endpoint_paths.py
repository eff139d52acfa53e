"""Whether a router has lost its own paths to endpoints.

One endpoint that accepts no connections is a fault of that endpoint. Several in
a row, and none that accepts one in between, may be a fault of the router's own
links; it counts as one if further endpoints accept none either. All times are
seconds on the router's clock.
"""

from collections import deque

# Distinct endpoints that have refused a connection, or not answered, since one
# was last accepted.
SUSPECT_FAILURES = 3
# Failures that are older say nothing of the links now.
FAILURE_MAX_AGE_S = 5.0


class EndpointPaths:
    """Outcomes of direct connections to endpoints.

    Attributes:
        is_cut: Whether the router's own links have failed.
    """

    def __init__(self) -> None:
        self.is_cut = False
        self._failed_at: dict[str, float] = {}
        self._failures: deque[float] = deque(maxlen=SUSPECT_FAILURES)

    def record_failure(self, address: str, now: float) -> None:
        """Records a connection that failed."""
        self._failed_at[address] = now
        self._failures.append(now)
        self._failed_at = {
            a: at
            for a, at in self._failed_at.items()
            if now - at <= FAILURE_MAX_AGE_S
        }

    def is_suspect(self, endpoint_count: int) -> bool:
        """Returns whether the links may have failed, which is to be checked.

        Args:
            endpoint_count: Number of endpoints in use.
        """
        needed = max(1, min(SUSPECT_FAILURES, endpoint_count))
        return not self.is_cut and len(self._failed_at) >= needed

    def needs_check(self, endpoint_count: int, now: float) -> bool:
        """Returns whether further endpoints are to be tried.

        Open connections to the others may go on working, so that all failures
        are those of one endpoint, to which each request needs a new one.

        Args:
            endpoint_count: Number of endpoints in use.
            now: The time.
        """
        is_frequent = (
            len(self._failures) == SUSPECT_FAILURES
            and now - self._failures[0] <= FAILURE_MAX_AGE_S
        )
        return not self.is_cut and (
            is_frequent or self.is_suspect(endpoint_count)
        )

    def has_failed(self, address: str) -> bool:
        """Returns whether the last connection to an endpoint failed."""
        return address in self._failed_at

    def record_success(self) -> bool:
        """Records an accepted connection; returns whether a cut has ended."""
        self._failed_at.clear()
        self._failures.clear()
        was_cut, self.is_cut = self.is_cut, False
        return was_cut
