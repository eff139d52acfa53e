"""Replicated state machine: rules, endpoints and at-most-once records.

Every member applies the same commands in the same order. Nothing here reads a
clock: the leader stamps commands that need a time, and the stamp is used only
to decide how long records are kept.
"""

import enum
import hashlib
from collections import OrderedDict

import attrs
import msgpack

from knapweedarch.codec import create_codec
from knapweedarch.models import Endpoint, EndpointStatus

RECORD_RETENTION_S = 24 * 3600.0
MAX_RECORDS = 100_000
# Bounds memory and the pause for a snapshot; one answer is at most 64 KiB.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_STORED_ANSWERS = 1_000
MAX_ENDPOINTS = 5_000
MAX_SUPERSEDED = 16


class RecordStatus(str, enum.Enum):
    """Progress of a call that may run at most once."""

    RESERVED = "reserved"
    DONE = "done"
    UNKNOWN = "unknown"


@attrs.frozen
class Record:
    """At-most-once record of one idempotency key.

    Attributes:
        body_digest: SHA-256 of method, path and body.
        holder: `incarnation/call` of the router and the one call in it that
            is entitled to be sent.
        status: Progress.
        reserved_at: Stamp of the reservation in seconds.
        code: HTTP status of the answer when done.
        content_type: Media type of the answer when done.
        answer: Body of the answer when done.
    """

    body_digest: bytes
    holder: str
    status: RecordStatus
    reserved_at: float
    code: int = 0
    content_type: str = ""
    answer: bytes = b""


@attrs.frozen
class PutRules:
    """Replaces the rule file.

    Attributes:
        request_id: Identity of the order; a resend repeats it.
        base_version: Version that the operator's file is based on.
        text: The checked rule file.
    """

    request_id: str
    base_version: int
    text: str


@attrs.frozen
class Announce:
    """An endpoint announces itself, or an operator announces it again.

    Attributes:
        endpoint: What the endpoint says of itself.
        by_operator: Whether an operator ends an earlier retirement.
        request_id: Identity of the order; empty when an endpoint announces.
    """

    endpoint: Endpoint
    by_operator: bool = False
    request_id: str = ""


@attrs.frozen
class Retire:
    """An operator retires an endpoint until an operator announces it again."""

    request_id: str
    endpoint_id: str


@attrs.frozen
class Reserve:
    """A router asks for the right to send a call that may run at most once.

    Attributes:
        record_key: Customer, service and idempotency key; see `record_key`.
        body_digest: SHA-256 of method, path and body.
        holder: `incarnation/call` of the router and this call.
        at: Stamp of the leader in seconds.
    """

    record_key: str
    body_digest: bytes
    holder: str
    at: float


@attrs.frozen
class Settle:
    """The holder of a reservation tells how the call ended.

    Attributes:
        record_key: Customer, service and idempotency key.
        holder: Holder as in `Reserve`.
        status: `DONE` or `UNKNOWN`; None when the call was not run.
        code: HTTP status of the answer.
        content_type: Media type of the answer.
        answer: Body of the answer.
    """

    record_key: str
    holder: str
    status: RecordStatus | None
    code: int = 0
    content_type: str = ""
    answer: bytes = b""


@attrs.frozen
class Abandon:
    """The leader saw the lease of a router end: its open calls are unknown.

    Attributes:
        incarnation: Incarnation of the router.
    """

    incarnation: str


@attrs.frozen
class TakeOrders:
    """A router asks for the sole right to give orders to endpoints.

    Attributes:
        holder: Incarnation of the router.
    """

    holder: str


@attrs.frozen
class RulesAccepted:
    """The rule file is accepted under this version."""

    version: int


@attrs.frozen
class RulesConflict:
    """The rule file was based on a version that is no longer current."""

    version: int


@attrs.frozen
class EndpointAccepted:
    """The endpoint is known under this revision.

    Attributes:
        revision: Revision of the endpoint table.
        status: Status that the endpoint has now.
    """

    revision: int
    status: EndpointStatus


@attrs.frozen
class EndpointUnknown:
    """No endpoint has this name."""


@attrs.frozen
class TableFull:
    """A bounded table has no place left."""


@attrs.frozen
class RequestIdReused:
    """The request id belongs to another order."""


@attrs.frozen
class Reserved:
    """The router holds the reservation and may send the call once."""


@attrs.frozen
class RecordFound:
    """The key is already in use."""

    record: Record


@attrs.frozen
class Settled:
    """The outcome is recorded."""


@attrs.frozen
class OrdersTaken:
    """The router is the holder of orders under this fencing number."""

    fencing_number: int


@attrs.frozen
class OrdersHeld:
    """Another router that may still hold a lease is the holder of orders."""


@attrs.frozen
class EndpointEntry:
    """An endpoint and the revision of its last change.

    Attributes:
        endpoint: The endpoint as last announced.
        revision: Revision of the endpoint table at its last change.
        retired: Whether an operator retired it.
        superseded: Earlier incarnations, newest last. A delayed announcement
            of one of them must not replace the current incarnation.
    """

    endpoint: Endpoint
    revision: int
    retired: bool = False
    superseded: tuple[str, ...] = ()


@attrs.frozen
class _StoredAnswer:
    """The first answer to an order, and which order it was."""

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


COMMANDS = create_codec(
    *(PutRules, Announce, Retire, Reserve, Settle, Abandon, TakeOrders)
)
RESULTS = create_codec(
    *(RulesAccepted, RulesConflict, EndpointAccepted, EndpointUnknown),
    RequestIdReused,
    *(TableFull, Reserved, RecordFound, Settled, OrdersTaken, OrdersHeld),
)
_SNAPSHOTS = create_codec(_Snapshot)


class ControlState:
    """The state that all members agree on.

    Attributes:
        rules_version: Version of the rule file; 0 before the first one.
        rules_text: Text of the rule file.
        revision: Revision of the endpoint table.
        endpoints: Endpoints by name.
        records: At-most-once records by key, oldest first.
    """

    def __init__(self):
        self.rules_version = 0
        self.rules_text = ""
        self.revision = 0
        self.endpoints: dict[str, EndpointEntry] = {}
        self.records: OrderedDict[str, Record] = OrderedDict()
        self.orders_holder = ""
        self.fencing_number = 0
        self._answers: OrderedDict[str, _StoredAnswer] = OrderedDict()
        self._last_stamp = 0.0
        self._answer_bytes = 0

    def apply(self, data: bytes) -> bytes:
        """Applies an encoded command; returns the encoded result."""
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
                return self._reserve(command)
            case Settle():
                return self._settle(command)
            case Abandon(incarnation=incarnation):
                return self._abandon(incarnation)
            case TakeOrders(holder=holder):
                return self._take_orders(holder)
        raise AssertionError(f"no such command: {command}")

    def _put_rules(self, command: PutRules) -> RulesAccepted | RulesConflict:
        if command.base_version != self.rules_version:
            return RulesConflict(self.rules_version)
        self.rules_version += 1
        self.rules_text = command.text
        return RulesAccepted(self.rules_version)

    def _announce(self, command: Announce) -> EndpointAccepted | TableFull:
        endpoint = command.endpoint
        known = self.endpoints.get(endpoint.id)
        if known is None and not self._make_place():
            return TableFull()
        if known is None:
            self._put_endpoint(endpoint, False, ())
            return EndpointAccepted(self.revision, endpoint.status)
        if endpoint.incarnation in known.superseded:
            return EndpointAccepted(self.revision, known.endpoint.status)
        restarted = known.endpoint.incarnation != endpoint.incarnation
        retired = known.retired and not command.by_operator
        left = (
            not restarted
            and known.endpoint.status is EndpointStatus.LEAVING
            and not command.by_operator
        )
        if retired or left:
            # An announcement sent before the endpoint left may arrive late.
            endpoint = attrs.evolve(endpoint, status=EndpointStatus.LEAVING)
        if known.endpoint != endpoint or known.retired != retired:
            superseded = known.superseded
            if restarted:
                superseded = (*superseded, known.endpoint.incarnation)
            self._put_endpoint(endpoint, retired, superseded[-MAX_SUPERSEDED:])
        return EndpointAccepted(self.revision, endpoint.status)

    def _make_place(self) -> bool:
        """Drops the endpoint that left first if the table is full."""
        if len(self.endpoints) < MAX_ENDPOINTS:
            return True
        left = [
            entry
            for entry in self.endpoints.values()
            if entry.endpoint.status is EndpointStatus.LEAVING
        ]
        if not left:
            return False
        oldest = min(left, key=lambda entry: entry.revision)
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
        self.endpoints[endpoint.id] = EndpointEntry(
            endpoint, self.revision, retired, superseded
        )

    def _reserve(self, command: Reserve) -> Reserved | RecordFound | TableFull:
        self._last_stamp = max(self._last_stamp, command.at)
        self._drop_old_records()
        record = self.records.get(command.record_key)
        if record is not None:
            return RecordFound(record)
        if (
            len(self.records) >= MAX_RECORDS
            or self._answer_bytes >= MAX_ANSWER_BYTES
        ):
            return TableFull()
        self.records[command.record_key] = Record(
            command.body_digest,
            command.holder,
            RecordStatus.RESERVED,
            self._last_stamp,
        )
        return Reserved()

    def _drop_old_records(self) -> None:
        oldest_kept = self._last_stamp - RECORD_RETENTION_S
        while self.records:
            key = next(iter(self.records))
            if self.records[key].reserved_at >= oldest_kept:
                return
            self._answer_bytes -= len(self.records.pop(key).answer)

    def _settle(self, command: Settle) -> Settled:
        record = self.records.get(command.record_key)
        if (
            record is None
            or record.holder != command.holder
            or record.status is RecordStatus.DONE
        ):
            return Settled()
        if command.status is None:
            # A resend may already have been told that the outcome is unknown;
            # such a key is never sent again.
            if record.status is RecordStatus.RESERVED:
                del self.records[command.record_key]
            return Settled()
        self._answer_bytes += len(command.answer) - len(record.answer)
        self.records[command.record_key] = attrs.evolve(
            record,
            status=command.status,
            code=command.code,
            content_type=command.content_type,
            answer=command.answer,
        )
        return Settled()

    def _abandon(self, incarnation: str) -> Settled:
        for key, record in self.records.items():
            if (
                record.holder.partition("/")[0] == incarnation
                and record.status is RecordStatus.RESERVED
            ):
                self.records[key] = attrs.evolve(
                    record, status=RecordStatus.UNKNOWN
                )
        return Settled()

    def _take_orders(self, holder: str) -> OrdersTaken:
        self.fencing_number += 1
        self.orders_holder = holder
        return OrdersTaken(self.fencing_number)

    @property
    def last_stamp(self) -> float:
        """Newest stamp of the log in seconds."""
        return self._last_stamp

    def changes_since(self, revision: int) -> tuple[EndpointEntry, ...]:
        """Returns the endpoints changed after a revision."""
        return tuple(
            entry
            for entry in self.endpoints.values()
            if entry.revision > revision
        )

    def snapshot(self) -> bytes:
        """Encodes the whole state."""
        return _SNAPSHOTS.encode(
            _Snapshot(
                self.rules_version,
                self.rules_text,
                self.revision,
                tuple(self.endpoints.values()),
                _pack_records(self.records),
                dict(self._answers),
                self._last_stamp,
                self.orders_holder,
                self.fencing_number,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the whole state by an encoded one."""
        taken = _SNAPSHOTS.decode(data)
        self.rules_version = taken.rules_version
        self.rules_text = taken.rules_text
        self.revision = taken.revision
        self.endpoints = {e.endpoint.id: e for e in taken.endpoints}
        self.records = _unpack_records(taken.records)
        self._answer_bytes = sum(len(r.answer) for r in self.records.values())
        self._answers = OrderedDict(taken.answers)
        self._last_stamp = taken.last_stamp
        self.orders_holder = taken.orders_holder
        self.fencing_number = taken.fencing_number


@attrs.frozen
class Stamper:
    """Makes the stamps of one leader; they continue those of the log.

    Clocks of different instances are not comparable: a leader whose clock is
    a day ahead would drop every record, and their calls could run again. Time
    without a leader is not counted, which only keeps records longer.

    Attributes:
        last_stamp: Newest stamp of the log when the leader took office.
        leader_since: When it took office on its own clock, in seconds.
    """

    last_stamp: float
    leader_since: float

    def stamp(self, now: float) -> float:
        """Returns the stamp for a command proposed now."""
        return self.last_stamp + max(0.0, now - self.leader_since)


def record_key(customer: str, service: str, key: str) -> str:
    """Builds the key of an at-most-once record without ambiguity."""
    return msgpack.packb([customer, service, key]).hex()


def _pack_records(records: OrderedDict[str, Record]) -> bytes:
    """Encodes the records; a general converter took ten times as long.

    The member does nothing else meanwhile, and a pause of 0.6 s costs a
    leader its office.
    """
    return msgpack.packb(
        [
            (
                *(key, r.body_digest, r.holder, r.status.value),
                *(r.reserved_at, r.code, r.content_type, r.answer),
            )
            for key, r in records.items()
        ]
    )


def _unpack_records(data: bytes) -> OrderedDict[str, Record]:
    return OrderedDict(
        (key, Record(digest, holder, RecordStatus(status), *rest))
        for key, digest, holder, status, *rest in msgpack.unpackb(data)
    )
