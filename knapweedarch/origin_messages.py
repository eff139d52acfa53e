"""Messages about the software versions at which streams began.

Routers report them to the member that they subscribe to, members pass them on
to each other, and a router asks its member for those that it does not know.
"""

import struct
from collections.abc import Iterable, Sequence

import attrs
import xxhash

# A packed origin: digest of the request, place of its version in the message,
# and seconds for which it is kept.
_ORIGIN = struct.Struct(">QBH")
_DIGEST = struct.Struct(">Q")
MAX_VERSIONS = 0xFF
MAX_KEPT_S = 600
MAX_ORIGINS = 4_096


@attrs.frozen
class Origin:
    """Where a stream began.

    Attributes:
        digest: Digest of the caller's request; see `origin_digest`.
        version: Software version of the endpoint that wrote the first event.
        kept_s: Seconds for which this is kept.
    """

    digest: int
    version: str
    kept_s: float


@attrs.frozen
class StreamOrigins:
    """Origins of streams.

    Attributes:
        versions: The software versions.
        packed: The origins, packed by `pack_origins`.
    """

    versions: tuple[str, ...]
    packed: bytes


@attrs.frozen
class FindOrigins:
    """Asks a member for the origins of streams.

    Attributes:
        digests: Digests of the requests, packed by `pack_digests`.
    """

    digests: bytes


@attrs.frozen
class OriginsFound:
    """Answers `FindOrigins` with the origins that are known.

    Attributes:
        found: The origins.
    """

    found: StreamOrigins


@attrs.frozen
class ReadVersions:
    """Asks the leader which software versions a model ever had.

    Attributes:
        service: Name of the model; empty for all endpoints together.
    """

    service: str


@attrs.frozen
class ServiceVersions:
    """Software versions that endpoints of a model have announced.

    Attributes:
        versions: The versions; of many only some. Empty if none is known.
    """

    versions: tuple[str, ...]


def origin_digest(request_id: str) -> int:
    """Returns the hash that stands for a caller's request."""
    return xxhash.xxh3_64_intdigest(request_id.encode())


def pack_origins(origins: Iterable[Origin]) -> list[StreamOrigins]:
    """Packs origins into as many messages as they need."""
    messages: list[StreamOrigins] = []
    places: dict[str, int] = {}
    packed = bytearray()

    def finish() -> None:
        if packed:
            messages.append(StreamOrigins(tuple(places), bytes(packed)))
        places.clear()
        packed.clear()

    for origin in origins:
        is_new = origin.version not in places
        is_full = len(packed) >= MAX_ORIGINS * _ORIGIN.size
        if is_full or (is_new and len(places) == MAX_VERSIONS):
            finish()
        place = places.setdefault(origin.version, len(places))
        kept_s = max(0, min(MAX_KEPT_S, round(origin.kept_s)))
        packed += _ORIGIN.pack(origin.digest, place, kept_s)
    finish()
    return messages


def unpack_origins(message: StreamOrigins) -> list[Origin]:
    """Unpacks the origins of a message.

    Raises:
        ValueError: The message is malformed.
    """
    if len(message.packed) % _ORIGIN.size:
        raise ValueError(f"{len(message.packed)} bytes are no packed origins")
    found = []
    for digest, place, kept_s in _ORIGIN.iter_unpack(message.packed):
        if place >= len(message.versions):
            raise ValueError(f"version {place} of {len(message.versions)}")
        found.append(Origin(digest, message.versions[place], float(kept_s)))
    return found


def pack_digests(digests: Sequence[int]) -> bytes:
    """Packs digests of requests."""
    return b"".join(_DIGEST.pack(digest) for digest in digests)


def unpack_digests(data: bytes) -> list[int]:
    """Unpacks digests of requests.

    Raises:
        ValueError: The data is no sequence of packed digests.
    """
    if len(data) % _DIGEST.size:
        raise ValueError(f"{len(data)} bytes are no packed digests")
    return [digest for (digest,) in _DIGEST.iter_unpack(data)]
