"""Registry of endpoints on the leader, updated by their heartbeats.

Only changes that a heartbeat reports are written to the replicated log. The
number and time of the latest heartbeat are kept in the leader's memory and are
lost when the leader changes.
"""

from collections.abc import Awaitable, Callable

import attrs

from knapweedarch import control
from knapweedarch.deployments import models_of
from knapweedarch.exceptions import ReplicaError
from knapweedarch.heartbeats import HeartbeatTable, started_before
from knapweedarch.logs import log
from knapweedarch.models import Endpoint, EndpointStatus
from knapweedarch.state import (
    Announce,
    ChangeStatus,
    ControlState,
    is_still_loading,
)
from knapweedarch.timers import Clock

Propose = Callable[[object], Awaitable[object | None]]


class EndpointRegistry:
    """Stores endpoints and their status while this member leads.

    Args:
        state: Replicated state.
        clock: Clock of the process.
        propose: Commits a command; returns None if its outcome is unknown.
        silent_s: Seconds without a heartbeat after which an endpoint is marked
            silent; 0 if endpoints send no heartbeats.
    """

    def __init__(
        self,
        state: ControlState,
        clock: Clock,
        propose: Propose,
        silent_s: float,
    ):
        self._state = state
        self._clock = clock
        self._propose = propose
        self._silent_s = silent_s
        self._heartbeats = HeartbeatTable(0.0, silent_s)
        # Orders given before this process started may still be in progress.
        self._loading_seen_at = clock.now()
        self._loading = False

    def start_term(self, started_at: float) -> None:
        """Starts a term as leader; no endpoint counts as silent yet.

        Args:
            started_at: Start of the term in seconds on the process's clock.
        """
        self._heartbeats = HeartbeatTable(started_at, self._silent_s)

    async def record_heartbeat(
        self, message: control.Heartbeat
    ) -> control.HeartbeatNoted | control.Refused:
        """Records a heartbeat and commits what it changes.

        Returns:
            A confirmation; or a refusal if it is unknown whether the change
            was committed. The endpoint may then send the heartbeat again.

        Raises:
            ReplicaError: This member is not the leader; nothing was stored.
        """
        known = self._stored(message.endpoint.id)
        if known and self._must_stay(known, message.endpoint):
            log("heartbeat_ignored", endpoint=known.id, number=message.number)
            return control.HeartbeatNoted()
        endpoint = self._heartbeats.record(message, self._clock.now())
        if endpoint is None or (known and _is_unchanged(known, endpoint)):
            return control.HeartbeatNoted()
        if self._returns_with_old_weights(known, endpoint):
            endpoint = attrs.evolve(endpoint, status=EndpointStatus.LOADING)
        stored = None
        try:
            stored = await self._propose(Announce(endpoint))
        finally:
            if stored is None:
                self._heartbeats.retract(message)
        if stored is None:
            return control.Refused("unknown_outcome", "the leader changed")
        if known is None or known.status is not endpoint.status:
            _log_status(
                endpoint, endpoint.status, f"heartbeat {message.number}"
            )
            await self._mark_replaced(endpoint)
        return control.HeartbeatNoted()

    async def mark_silent(self) -> None:
        """Marks endpoints silent whose heartbeats have stopped."""
        in_use = [e for e in self._endpoints() if e.in_use]
        for endpoint in self._heartbeats.silent_endpoints(
            in_use, self._clock.now()
        ):
            await self.change_status(
                endpoint, EndpointStatus.SILENT, "no heartbeat"
            )

    async def change_status(
        self, endpoint: Endpoint, status: EndpointStatus, reason: str
    ) -> None:
        """Changes the status of an endpoint; logs it if that fails.

        Args:
            endpoint: The endpoint; a later incarnation is left alone.
            status: Its new status.
            reason: Reason for the log line.
        """
        command = ChangeStatus(endpoint.id, endpoint.incarnation, status)
        try:
            await self._propose(command)
        except ReplicaError as exc:
            log("proposal_failed", reason=str(exc), endpoint=endpoint.id)
            return
        _log_status(endpoint, status, reason)

    def update_loading(self) -> None:
        """Updates when a runner was last out of use to load weights."""
        loading = any(
            e.status is EndpointStatus.LOADING for e in self._endpoints()
        )
        if loading or self._loading:
            self._loading_seen_at = self._clock.now()
        self._loading = loading

    def last_loading_at(self) -> float:
        """Returns the time at which a runner was last known to be loading.

        A leader gives load orders only to a runner with this status, so no
        order is later. If none was seen, it is the start of this process.
        """
        return self._clock.now() if self._loading else self._loading_seen_at

    def _endpoints(self) -> list[Endpoint]:
        return [entry.endpoint for entry in self._state.endpoints.values()]

    def _stored(self, endpoint_id: str) -> Endpoint | None:
        entry = self._state.endpoints.get(endpoint_id)
        return entry.endpoint if entry is not None else None

    def _must_stay(self, known: Endpoint, reported: Endpoint) -> bool:
        """Returns whether a heartbeat must not replace a stored endpoint.

        It may be late, which a leader that has just started cannot tell from
        its table of heartbeats. Or an unknown sender sent it: the deployment
        uses the endpoint as it is known and not as it is reported.
        """
        if started_before(reported.incarnation, known.incarnation):
            return True
        return self._state.uses(known) and not self._state.uses(reported)

    def _returns_with_old_weights(
        self, known: Endpoint | None, endpoint: Endpoint
    ) -> bool:
        """Returns whether a runner must load weights before it is used again.

        This is the case if newer weights became the target while the runner
        was away and another active runner already has them.
        """
        was_in_use = known is not None and known.in_use
        if was_in_use or endpoint.status is not EndpointStatus.ACTIVE:
            return False
        target_versions = self._state.weights
        target = max(
            (target_versions.get(m, 0) for m in models_of(endpoint)), default=0
        )
        peer_versions = [
            other.weights_number
            for other in self._endpoints()
            if other.status is EndpointStatus.ACTIVE
            and other.serves == endpoint.serves
        ]
        return endpoint.weights_number < target <= max(peer_versions, default=0)

    async def _mark_replaced(self, endpoint: Endpoint) -> None:
        """Marks earlier endpoints at the same address as silent."""
        if not self._state.uses(endpoint):
            return
        for other in self._endpoints():
            if (
                other.url == endpoint.url
                and other.id != endpoint.id
                and other.in_use
                and started_before(other.incarnation, endpoint.incarnation)
            ):
                await self.change_status(
                    other,
                    EndpointStatus.SILENT,
                    "address reused by a new endpoint",
                )


def _is_unchanged(known: Endpoint, reported: Endpoint) -> bool:
    """Returns whether a heartbeat changes nothing that is stored."""
    if known.incarnation != reported.incarnation:
        return False
    is_leaving = known.status is EndpointStatus.LEAVING
    return known == reported or is_leaving or is_still_loading(known, reported)


def _log_status(
    endpoint: Endpoint, status: EndpointStatus, reason: str
) -> None:
    log(
        "endpoint_status",
        endpoint=endpoint.id,
        incarnation=endpoint.incarnation,
        address=endpoint.url,
        status=status.value,
        reason=reason,
    )
