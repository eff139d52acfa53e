"""Replicated state machine: rules, endpoints, configuration and records.

Every member applies the same commands in the same order. Nothing in this
module reads a clock: the leader adds a timestamp to the commands that need
one, and the timestamp only decides how long at-most-once records are kept.
"""

import hashlib
from collections import OrderedDict

import attrs

from knapweedarch.cache_scopes import with_unshared
from knapweedarch.codec import create_codec
from knapweedarch.deployments import Deployment
from knapweedarch.models import Endpoint, EndpointStatus
from knapweedarch.records import (
    MAX_RECORDS,
    RECORD_RETENTION_S,
    Abandon,
    Record,
    RecordFound,
    RecordStatus,
    RecordTable,
    Reserve,
    Reserved,
    Settle,
    Settled,
    TableFull,
    TimestampSource,
    record_key,
)
from knapweedarch.software_versions import SoftwareVersions
from knapweedarch.state_commands import (
    COMMANDS,
    RESULTS,
    Announce,
    ChangeStatus,
    DeploymentAccepted,
    EndpointAccepted,
    EndpointEntry,
    EndpointUnknown,
    NameWeights,
    OrdersHeld,
    OrdersTaken,
    PutDeployment,
    PutRules,
    RequestIdReused,
    Retire,
    RulesAccepted,
    RulesConflict,
    TakeOrders,
    WeightsNamed,
)

__all__ = [
    "COMMANDS",
    "MAX_ENDPOINTS",
    "MAX_RECORDS",
    "RECORD_RETENTION_S",
    "RESULTS",
    "Abandon",
    "Announce",
    "ChangeStatus",
    "ControlState",
    "DeploymentAccepted",
    "EndpointAccepted",
    "EndpointEntry",
    "EndpointUnknown",
    "NameWeights",
    "OrdersHeld",
    "OrdersTaken",
    "PutDeployment",
    "PutRules",
    "Record",
    "RecordFound",
    "RecordStatus",
    "RequestIdReused",
    "Reserve",
    "Reserved",
    "Retire",
    "RulesAccepted",
    "RulesConflict",
    "Settle",
    "Settled",
    "TableFull",
    "TakeOrders",
    "TimestampSource",
    "WeightsNamed",
    "is_still_loading",
    "record_key",
]

MAX_STORED_ANSWERS = 1_000
MAX_ENDPOINTS = 5_000
MAX_SUPERSEDED_INCARNATIONS = 16


@attrs.frozen
class _StoredAnswer:
    """Digest and encoded result of the first command under a request id."""

    order_digest: bytes
    result: bytes


@attrs.frozen
class _Snapshot:
    rules_version: int
    rules_text: str
    revision: int
    endpoints: tuple[EndpointEntry, ...]
    records: bytes
    answers: dict[str, _StoredAnswer]
    last_stamp: float
    orders_holder: str
    fencing_number: int
    deployment: Deployment | None = None
    document: bytes = b""
    weights: dict[str, int] = attrs.field(factory=dict)
    software: dict[str, tuple[str, ...]] = attrs.field(factory=dict)


_SNAPSHOTS = create_codec(_Snapshot)


class ControlState:
    """State that the members replicate.

    Attributes:
        rules_version: Version of the rule file; 0 if none was accepted yet.
        rules_text: Text of the rule file.
        revision: Revision of the endpoint table.
        endpoints: Endpoints by id.
        deployment: Routing configuration; None if none was accepted yet.
        document: Source text of the routing configuration.
        weights: Highest requested weights version, by model.
        software: Software versions that each model ever had.
        orders_holder: Incarnation of the router that may send orders to
            endpoints; empty if none ever could.
        fencing_number: Fencing number of that router; 0 if none ever could.
    """

    def __init__(self):
        self.deployment: Deployment | None = None
        self.document = b""
        self.weights: dict[str, int] = {}
        self.rules_version = 0
        self.rules_text = ""
        self.revision = 0
        self.endpoints: dict[str, EndpointEntry] = {}
        self._records = RecordTable()
        self.orders_holder = ""
        self.fencing_number = 0
        self.software = SoftwareVersions()
        self._answers: OrderedDict[str, _StoredAnswer] = OrderedDict()

    def apply(self, data: bytes, command: object | None = None) -> bytes:
        """Applies an encoded command; returns the encoded result.

        A command whose request id has a stored answer is not applied: the same
        command gets that answer, a different one `RequestIdReused`.

        Args:
            data: The encoded command.
            command: The command if it is decoded already.

        Raises:
            CodecError: The command cannot be decoded.
        """
        if command is None:
            command = COMMANDS.decode(data)
        request_id = getattr(command, "request_id", "")
        digest = hashlib.sha256(data).digest() if request_id else b""
        if request_id and (stored := self._answers.get(request_id)):
            if stored.order_digest != digest:
                return RESULTS.encode(RequestIdReused())
            return stored.result
        result = RESULTS.encode(self._apply(command))
        if request_id:
            self._answers[request_id] = _StoredAnswer(digest, result)
            while len(self._answers) > MAX_STORED_ANSWERS:
                self._answers.popitem(last=False)
        return result

    def _apply(self, command: object) -> object:
        match command:
            case PutRules():
                return self._put_rules(command)
            case Announce():
                return self._announce(command)
            case Retire(endpoint_id=endpoint_id):
                return self._retire(endpoint_id)
            case Reserve():
                return self._records.reserve(command)
            case Settle():
                return self._settle(command)
            case Abandon(incarnation=incarnation):
                return self._abandon(incarnation)
            case TakeOrders(holder=holder):
                return self._take_orders(holder)
            case PutDeployment():
                return self._put_deployment(command)
            case NameWeights(model=model, version=version):
                return self._name_weights(model, version)
            case ChangeStatus():
                return self._change_status(command)
        raise AssertionError(f"unknown command: {command}")

    def _put_deployment(self, command: PutDeployment) -> DeploymentAccepted:
        current_version = self.deployment.version if self.deployment else 0
        if (
            self.deployment is None
            or command.deployment.version > current_version
        ):
            self.deployment = with_unshared(command.deployment, self.deployment)
            self.document = command.document
        return DeploymentAccepted(self.deployment.version)

    def _name_weights(self, model: str, version: int) -> WeightsNamed:
        self.weights[model] = max(version, self.weights.get(model, 0))
        return WeightsNamed(self.weights[model])

    def _change_status(
        self, command: ChangeStatus
    ) -> EndpointAccepted | EndpointUnknown:
        known = self.endpoints.get(command.endpoint_id)
        if known is None or (
            command.incarnation not in ("", known.endpoint.incarnation)
        ):
            return EndpointUnknown()
        if known.endpoint.status not in (
            EndpointStatus.LEAVING,
            command.status,
        ):
            endpoint = attrs.evolve(known.endpoint, status=command.status)
            self._put_endpoint(endpoint, known.retired, known.superseded)
        return EndpointAccepted(
            self.revision, self.endpoints[command.endpoint_id].endpoint.status
        )

    def _put_rules(self, command: PutRules) -> RulesAccepted | RulesConflict:
        if command.base_version != self.rules_version:
            return RulesConflict(self.rules_version)
        self.rules_version += 1
        self.rules_text = command.text
        return RulesAccepted(self.rules_version)

    def _announce(self, command: Announce) -> EndpointAccepted | TableFull:
        endpoint = command.endpoint
        known = self.endpoints.get(endpoint.id)
        if known is None and not self._make_room():
            return TableFull()
        if known is None:
            self._put_endpoint(endpoint, False, ())
            return EndpointAccepted(self.revision, endpoint.status)
        if endpoint.incarnation in known.superseded:
            return EndpointAccepted(self.revision, known.endpoint.status)
        restarted = known.endpoint.incarnation != endpoint.incarnation
        retired = known.retired and not command.by_operator
        departed = (
            not restarted
            and known.endpoint.status is EndpointStatus.LEAVING
            and not command.by_operator
        )
        if retired or departed:
            # A delayed announcement from before the endpoint was retired or
            # shut down must not reactivate it.
            endpoint = attrs.evolve(endpoint, status=EndpointStatus.LEAVING)
        elif not restarted and is_still_loading(known.endpoint, endpoint):
            endpoint = attrs.evolve(endpoint, status=EndpointStatus.LOADING)
        if known.endpoint != endpoint or known.retired != retired:
            superseded = known.superseded
            if restarted:
                superseded = (*superseded, known.endpoint.incarnation)
            self._put_endpoint(
                endpoint, retired, superseded[-MAX_SUPERSEDED_INCARNATIONS:]
            )
        return EndpointAccepted(self.revision, endpoint.status)

    def _make_room(self) -> bool:
        """Returns whether there is room for another endpoint.

        If the table is full, this evicts the leaving or silent endpoint whose
        last change is the oldest.
        """
        if len(self.endpoints) < MAX_ENDPOINTS:
            return True
        departed = [
            entry
            for entry in self.endpoints.values()
            if entry.endpoint.status
            in (EndpointStatus.LEAVING, EndpointStatus.SILENT)
        ]
        if not departed:
            return False
        oldest = min(departed, key=lambda entry: entry.revision)
        del self.endpoints[oldest.endpoint.id]
        return True

    def _retire(self, endpoint_id: str) -> EndpointAccepted | EndpointUnknown:
        known = self.endpoints.get(endpoint_id)
        if known is None:
            return EndpointUnknown()
        if not known.retired:
            endpoint = attrs.evolve(
                known.endpoint, status=EndpointStatus.LEAVING
            )
            self._put_endpoint(endpoint, True, known.superseded)
        return EndpointAccepted(self.revision, EndpointStatus.LEAVING)

    def _put_endpoint(
        self, endpoint: Endpoint, retired: bool, superseded: tuple[str, ...]
    ) -> None:
        self.revision += 1
        self.software.record(endpoint)
        self.endpoints[endpoint.id] = EndpointEntry(
            endpoint, self.revision, retired, superseded
        )

    def _settle(self, command: Settle) -> Settled:
        return self._records.settle(command)

    def _abandon(self, incarnation: str) -> Settled:
        return self._records.abandon(incarnation)

    def _take_orders(self, holder: str) -> OrdersTaken:
        self.fencing_number += 1
        self.orders_holder = holder
        return OrdersTaken(self.fencing_number)

    @property
    def last_stamp(self) -> float:
        """Newest timestamp of the log in seconds; see `TimestampSource`."""
        return self._records.last_stamp

    @property
    def records(self) -> OrderedDict[str, Record]:
        """At-most-once records by key, oldest first."""
        return self._records.records

    def uses(self, endpoint: Endpoint) -> bool:
        """Returns whether the routing configuration has a use for an endpoint.

        Without a configuration, every endpoint is used.
        """
        return self.deployment is None or self.deployment.uses(endpoint)

    def changes_since(self, revision: int) -> tuple[EndpointEntry, ...]:
        """Returns the endpoints that changed after a revision."""
        if revision == self.revision:
            # The case of nearly every renewal; the leader answers hundreds
            # of renewals per second.
            return ()
        return tuple(
            entry
            for entry in self.endpoints.values()
            if entry.revision > revision
        )

    def snapshot(self) -> bytes:
        """Encodes the complete state."""
        return _SNAPSHOTS.encode(
            _Snapshot(
                self.rules_version,
                self.rules_text,
                self.revision,
                tuple(self.endpoints.values()),
                self._records.pack(),
                dict(self._answers),
                self._records.last_stamp,
                self.orders_holder,
                self.fencing_number,
                self.deployment,
                self.document,
                dict(self.weights),
                self.software.all(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the complete state with a decoded snapshot.

        Raises:
            CodecError: The snapshot cannot be decoded.
        """
        decoded = _SNAPSHOTS.decode(data)
        self.rules_version = decoded.rules_version
        self.rules_text = decoded.rules_text
        self.revision = decoded.revision
        self.endpoints = {e.endpoint.id: e for e in decoded.endpoints}
        self._records.unpack(decoded.records, decoded.last_stamp)
        self._answers = OrderedDict(decoded.answers)
        self.orders_holder = decoded.orders_holder
        self.fencing_number = decoded.fencing_number
        self.deployment = decoded.deployment
        self.document = decoded.document
        self.weights = dict(decoded.weights)
        self.software.restore(decoded.software)
        # A snapshot of an earlier build has endpoints without versions.
        for entry in decoded.endpoints:
            self.software.record(entry.endpoint)


def is_still_loading(known: Endpoint, announced: Endpoint) -> bool:
    """Returns whether an endpoint has not finished loading weights.

    It announces itself as active with its old version while it loads them.
    """
    return (
        known.status is EndpointStatus.LOADING
        and announced.status is EndpointStatus.ACTIVE
        and known.weights_version == announced.weights_version
    )
