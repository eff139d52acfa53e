"""Messages by which routers share the learnt capacity of endpoints."""

import struct
from collections.abc import Iterable

import attrs
import xxhash

# Ratios of speeds are sent as logarithms in units of this.
LOG_UNIT = 1 / 32
_MAX_LOG_STEPS = 127
_MAX_COUNT = 0xFFFF
# A packed sample: endpoint, group, logarithm of the ratio, requests.
_SAMPLE = struct.Struct(">IHbH")
# A packed capacity: endpoint, logarithm of the ratio, limit (0: none).
_CAPACITY = struct.Struct(">IbH")
# Largest number of entries in a message.
MAX_ENTRIES = 256


@attrs.frozen
class SpeedSample:
    """How slow an endpoint was for one request, or for some.

    Attributes:
        endpoint: Hash of its id and incarnation; see `incarnation_digest`.
        group: Hash of what it serves; endpoints of a group are compared.
        log_ratio: Natural logarithm of the time that it took, as a ratio of
            the time that endpoints usually take for such a request.
        requests: Requests of all routers at the endpoint when it was sent.
    """

    endpoint: int
    group: int
    log_ratio: float
    requests: int


@attrs.frozen
class EndpointCapacity:
    """What was learnt of one endpoint.

    Attributes:
        endpoint: Hash of its id and incarnation; see `incarnation_digest`.
        log_ratio: Natural logarithm of its slowness; 0 if it is as fast as
            endpoints usually are.
        limit: Requests that it handles well at the same time; 0 if no limit
            below its slots was found.
    """

    endpoint: int
    log_ratio: float
    limit: int


@attrs.frozen
class SpeedReport:
    """Samples since the last message, from a router or a member's routers.

    Attributes:
        packed: The samples, packed by `pack_samples`.
    """

    packed: bytes


@attrs.frozen
class CapacityReport:
    """What was learnt of endpoints whose capacity has changed.

    Attributes:
        packed: The capacities, packed by `pack_capacities`.
    """

    packed: bytes


def incarnation_digest(endpoint_id: str, incarnation: str) -> int:
    """Returns the hash that stands for an incarnation of an endpoint."""
    return xxhash.xxh32_intdigest(f"{endpoint_id}\0{incarnation}".encode())


def group_digest(names: Iterable[str]) -> int:
    """Returns the hash of what the endpoints of a group serve."""
    return xxhash.xxh32_intdigest("\0".join(names).encode()) & _MAX_COUNT


def quantised(log_ratio: float) -> float:
    """Returns a logarithm as the receiver of a message gets it."""
    return _log_steps(log_ratio) * LOG_UNIT


def pack_samples(samples: Iterable[SpeedSample]) -> bytes:
    """Packs samples."""
    return b"".join(
        _SAMPLE.pack(
            *(s.endpoint, s.group, _log_steps(s.log_ratio)),
            min(s.requests, _MAX_COUNT),
        )
        for s in samples
    )


def unpack_samples(data: bytes) -> tuple[SpeedSample, ...]:
    """Unpacks samples; those beyond the size of a message are ignored.

    Raises:
        ValueError: The data is no sequence of packed samples.
    """
    return tuple(
        SpeedSample(endpoint, group, steps * LOG_UNIT, requests)
        for endpoint, group, steps, requests in _unpack(_SAMPLE, data)
    )


def pack_capacities(capacities: Iterable[EndpointCapacity]) -> bytes:
    """Packs capacities."""
    return b"".join(
        _CAPACITY.pack(
            c.endpoint, _log_steps(c.log_ratio), min(c.limit, _MAX_COUNT)
        )
        for c in capacities
    )


def unpack_capacities(data: bytes) -> tuple[EndpointCapacity, ...]:
    """Unpacks capacities; those beyond the size of a message are ignored.

    Raises:
        ValueError: The data is no sequence of packed capacities.
    """
    return tuple(
        EndpointCapacity(endpoint, steps * LOG_UNIT, limit)
        for endpoint, steps, limit in _unpack(_CAPACITY, data)
    )


def _log_steps(log_ratio: float) -> int:
    steps = round(log_ratio / LOG_UNIT)
    return min(max(steps, -_MAX_LOG_STEPS), _MAX_LOG_STEPS)


def _unpack(entry: struct.Struct, data: bytes) -> Iterable[tuple]:
    if len(data) % entry.size:
        raise ValueError(f"{len(data)} bytes are no packed entries")
    return entry.iter_unpack(data[: MAX_ENTRIES * entry.size])
