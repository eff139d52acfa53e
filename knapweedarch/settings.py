"""Reads and validates settings files in JSON5 format.

All faults of a file are reported together, each with the path of the setting,
its value and the allowed values. Unknown keys are rejected, because a
misspelled optional key would otherwise be silently ignored.
"""

import ipaddress
import pathlib
import re
from collections.abc import Iterable

import attrs
import json5

from knapweedarch.control import MemberAddress
from knapweedarch.exceptions import SettingsError
from knapweedarch.leases import LEASE_S
from knapweedarch.logs import LEVELS
from knapweedarch.models import Priority
from knapweedarch.quotas import QuotaBounds
from knapweedarch.settings_reader import Section, shorten

MIN_CREDENTIAL_CHARACTERS = 16
MAX_CREDENTIAL_CHARACTERS = 1024
MAX_FILE_BYTES = 1024 * 1024
GROUP_SIZES = (1, 3, 5)
CLASS_NAMES = tuple(priority.name.lower() for priority in Priority)
CLASS_FILL_RANGE = (0.05, 10.0)
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}")
NAME_ALLOWED = "1 to 64 of A-Z a-z 0-9 _ -, starting with a letter or digit"


@attrs.frozen
class Address:
    """An IP address and a port."""

    host: str
    port: int


def seed_addresses(
    seeds: Iterable[Address],
) -> tuple[MemberAddress, ...]:
    """Returns the seeds under the names `host:port`.

    Their member names are not yet known.
    """
    return tuple(
        MemberAddress(f"{s.host}:{s.port}", s.host, s.port) for s in seeds
    )


@attrs.frozen(kw_only=True)
class MemberSettings:
    """Settings of a control member.

    A settings file cannot set `seeds`, `bootstrap`, `voters`, `lease_s`,
    `silent_s` and `quota_bounds`; only a program that creates this object can.

    Attributes:
        role: Always `member`.
        name: Name of this member; must be in `members`.
        data_centre: Data centre of the instance.
        credential: Secret shared by the system's own processes and operators.
        members: All members of the group.
        statsd: Address of the statsd server; None disables statsd.
        metrics: Address to serve metrics on; None disables the server.
        log_level: Lowest level that is logged.
        listen: Address on which the member accepts links.
        data_folder: Folder of the journal.
        snapshot_every: Number of log entries between two snapshots.
        seeds: Members to ask for the group's member list; if set, `members`
            may be empty.
        bootstrap: Whether the seeds form a new group if they are all blank.
        voters: Target number of voters; 0 adds no members to the group.
        lease_s: Duration of a router's lease in seconds; must be the same in
            all processes.
        silent_s: Time in seconds without a heartbeat after which an endpoint
            gets no new work; 0 if endpoints send no heartbeats.
        quota_bounds: Bound of what customers with quotas may use.
    """

    role: str = "member"
    name: str
    data_centre: str
    credential: str = attrs.field(repr=False)
    members: tuple[MemberAddress, ...]
    statsd: Address | None = None
    metrics: Address | None = None
    log_level: str = "info"
    listen: Address
    data_folder: pathlib.Path
    snapshot_every: int = 10_000
    seeds: tuple[Address, ...] = ()
    bootstrap: bool = False
    voters: int = 0
    lease_s: float = LEASE_S
    silent_s: float = 0.0
    quota_bounds: QuotaBounds = attrs.field(factory=QuotaBounds)


@attrs.frozen(kw_only=True)
class RouterSettings:
    """Settings of a router.

    Attributes:
        role: Always `router`.
        name: Name of this router.
        data_centre: Data centre of the instance.
        credential: Secret shared by the system's own processes and operators.
        members: All members of the group.
        statsd: Address of the statsd server; None disables statsd.
        metrics: Address to serve metrics on; None disables the server.
        log_level: Lowest level that is logged.
        listen: Address on which callers and endpoints connect by HTTP.
        endpoint_credential: Secret that endpoints send in announcements.
        distances_ms: One-way delay to each data centre in milliseconds; that
            to the router's own data centre is always 0.
        class_fill: For each class, how full a runner may be to be sent its
            requests: the number of requests in the runner's batch and queue,
            divided by its slots.
        drain_s: Maximum duration of a graceful shutdown in seconds.
        prefill_tokens_s: Prompt tokens that one runner computes per second.
        request_s: Mean time in seconds that a request occupies a slot of a
            runner's batch.
        max_body_bytes: Maximum size of a request body in bytes.
        max_streams: Maximum number of concurrent requests.
        queue_limit: Maximum number of requests that wait for an endpoint.
        tunnels: Address at which other routers ask for connections to
            endpoints; None if it opens none.
        memory_mb: Memory of the machine in MiB, from which the limit of what
            callers hold is derived; None if it is not known.
        max_descriptors: File descriptors that the process may open, from which
            the limit of callers' connections is derived; None for no limit.
    """

    role: str = "router"
    name: str
    data_centre: str
    credential: str = attrs.field(repr=False)
    members: tuple[MemberAddress, ...]
    statsd: Address | None = None
    metrics: Address | None = None
    log_level: str = "info"
    listen: Address
    endpoint_credential: str = attrs.field(repr=False)
    distances_ms: dict[str, float] = attrs.field(factory=dict)
    class_fill: dict[str, float] = attrs.field(factory=dict)
    drain_s: float = 120.0
    prefill_tokens_s: float = 20_000.0
    request_s: float = 3.0
    max_body_bytes: int = 8 * 1024 * 1024
    max_streams: int = 2_000
    queue_limit: int = 1_000
    tunnels: Address | None = None
    memory_mb: int | None = None
    max_descriptors: int | None = None


@attrs.frozen(kw_only=True)
class ToolSettings:
    """Settings of the command-line tool.

    Attributes:
        role: Always `tool`.
        credential: Secret shared by the system's own processes and operators.
        members: All members of the group.
    """

    role: str = "tool"
    credential: str = attrs.field(repr=False)
    members: tuple[MemberAddress, ...]


Settings = MemberSettings | RouterSettings | ToolSettings


def _is_ip_address(value: object) -> bool:
    try:
        ipaddress.ip_address(value if isinstance(value, str) else "")
    except ValueError:
        return False
    return True


def _read_address(section: Section | None, min_port: int) -> Address | None:
    if section is None:
        return None
    host = section.get("host", "an IP address", _is_ip_address)
    port = section.integer("port", min_port, 65535)
    section.reject_unknown_keys()
    return Address(host, port)


def _read_member_list(top: Section) -> tuple[MemberAddress, ...]:
    sizes = f"{', '.join(map(str, GROUP_SIZES[:-1]))} or {GROUP_SIZES[-1]}"
    allowed = f"a list of {sizes} objects with name, host and port"
    found = []
    sections = top.sections("members", allowed)
    if sections and len(sections) not in GROUP_SIZES:
        top.add_fault("members", f"{len(sections)} objects", allowed)
    for section in sections:
        name = section.text("name", NAME_PATTERN, NAME_ALLOWED)
        address = _read_address(section, 1)
        found.append(MemberAddress(name, address.host, address.port))
    _check_distinct(top, found)
    return tuple(found)


def _check_distinct(top: Section, found: list[MemberAddress]) -> None:
    names = [m.name for m in found if m.name]
    addresses = [(m.host, m.port) for m in found if m.host and m.port]
    for label, values in (("name", names), ("host and port", addresses)):
        if len(set(values)) != len(values):
            top.add_fault("members", f"duplicate {label}", "no duplicates")


def _read_credential(
    top: Section, key: str, folder: pathlib.Path
) -> str | None:
    """Reads a secret from the setting or from the file that it names."""
    low, high = MIN_CREDENTIAL_CHARACTERS, MAX_CREDENTIAL_CHARACTERS
    allowed = f"{low} to {high} characters without spaces"
    pattern = re.compile(rf"[!-~]{{{low},{high}}}")
    file_key = f"{key}_file"
    if not top.has(file_key):
        return top.text(key, pattern, allowed, secret=True)
    name = top.text(file_key, re.compile(".+"), "the name of a file")
    if top.has(key):
        top.add_fault(key, f"given together with {file_key}", "one of the two")
        top.get(key, allowed, lambda v: True)
    try:
        value = (folder / (name or "")).read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, "strerror", None) or "not UTF-8 text"
        top.add_fault(
            file_key, f"{shorten(name)} ({reason})", "a readable file"
        )
        return None
    if not pattern.fullmatch(value):
        top.add_fault(file_key, f"content of {shorten(name)}", allowed)
    return value


def _read_common(top: Section, folder: pathlib.Path) -> dict[str, object]:
    return {
        "name": top.text("name", NAME_PATTERN, NAME_ALLOWED),
        "data_centre": top.text("data_centre", NAME_PATTERN, NAME_ALLOWED),
        "credential": _read_credential(top, "credential", folder),
        "members": _read_member_list(top),
        "statsd": _read_address(top.section("statsd", default=None), 1),
        "metrics": _read_address(top.section("metrics", default=None), 0),
        "log_level": top.get(
            "log_level",
            ", ".join(LEVELS),
            lambda v: isinstance(v, str) and v in LEVELS,
            default="info",
        ),
        "listen": _read_address(top.section("listen"), 0),
    }


def _read_member(top: Section, folder: pathlib.Path) -> MemberSettings:
    common = _read_common(top, folder)
    names = [m.name for m in common["members"]]
    if names and common["name"] and common["name"] not in names:
        top.add_fault("name", repr(common["name"]), f"one of members: {names}")
    data_folder = top.text("data_folder", re.compile(".+"), "a folder name")
    return MemberSettings(
        **common,
        data_folder=folder / (data_folder or ""),
        snapshot_every=top.integer(
            "snapshot_every", 100, 10_000_000, default=10_000
        ),
    )


def _read_distances(top: Section) -> dict[str, float]:
    section = top.section("distances_ms", default=None)
    if section is None:
        return {}
    found = {}
    for key in section.list_keys():
        if NAME_PATTERN.fullmatch(key):
            found[key] = section.number(key, 0, 10_000)
        else:
            section.get(key, "", lambda v: True)
            section.add_fault(key, "invalid data centre name", NAME_ALLOWED)
    return found


def _read_class_fill(top: Section) -> dict[str, float]:
    section = top.section("class_fill", default=None)
    if section is None:
        return {}
    found = {
        name: section.number(name, *CLASS_FILL_RANGE, default=None)
        for name in CLASS_NAMES
    }
    section.reject_unknown_keys()
    return {name: part for name, part in found.items() if part is not None}


def _read_router(top: Section, folder: pathlib.Path) -> RouterSettings:
    common = _read_common(top, folder)
    endpoint_credential = _read_credential(top, "endpoint_credential", folder)
    if endpoint_credential and endpoint_credential == common["credential"]:
        # Endpoints could otherwise act as members or operators.
        top.add_fault(
            "endpoint_credential", "equal to credential", "a different secret"
        )
    return RouterSettings(
        **common,
        endpoint_credential=endpoint_credential,
        distances_ms=_read_distances(top),
        class_fill=_read_class_fill(top),
        drain_s=top.number("drain_s", 0, 3600, default=120.0),
        prefill_tokens_s=top.number("prefill_tokens_s", 1, 1e7, default=2e4),
        request_s=top.number("request_s", 0.01, 3600, default=3.0),
        max_body_bytes=top.integer(
            "max_body_bytes", 1024, 64 * 1024 * 1024, default=8 * 1024 * 1024
        ),
        max_streams=top.integer("max_streams", 1, 100_000, default=2_000),
        queue_limit=top.integer("queue_limit", 0, 100_000, default=1_000),
        tunnels=_read_address(top.section("tunnels", default=None), 0),
        memory_mb=top.integer("memory_mb", 64, 1_048_576, default=None),
        max_descriptors=top.integer(
            "max_descriptors", 64, 1_048_576, default=None
        ),
    )


def _read_tool(top: Section, folder: pathlib.Path) -> ToolSettings:
    return ToolSettings(
        credential=_read_credential(top, "credential", folder),
        members=_read_member_list(top),
    )


_READERS = {
    "member": _read_member,
    "router": _read_router,
    "tool": _read_tool,
}


def load_settings(path: str | pathlib.Path) -> Settings:
    """Loads and validates a settings file.

    File names in it are relative to the folder of the settings file. A file
    that has only members and a credential holds settings of the command-line
    tool and needs no role.

    Raises:
        SettingsError: The file is invalid; the error lists all its faults.
    """
    path = pathlib.Path(path)
    values = _read_object(path)
    faults: list[str] = []
    top = Section(values, "", faults)
    tool_only = set(values) <= {"credential", "credential_file", "members"}
    role = top.get(
        "role",
        ", ".join(_READERS),
        lambda v: isinstance(v, str) and v in _READERS,
        **({"default": "tool"} if tool_only else {}),
    )
    if role is None:
        raise SettingsError([f"{path}: {fault}" for fault in faults])
    settings = _READERS[role](top, path.parent)
    top.reject_unknown_keys()
    if faults:
        raise SettingsError([f"{path}: {fault}" for fault in faults])
    return settings


def _read_object(path: pathlib.Path) -> dict:
    try:
        data = path.read_bytes()
        if len(data) > MAX_FILE_BYTES:
            raise SettingsError(
                [f"{path}: {len(data)} bytes; allowed: up to {MAX_FILE_BYTES}"]
            )
        values = json5.loads(data.decode(), allow_duplicate_keys=False)
    except OSError as exc:
        raise SettingsError([f"{path}: {exc.strerror}"]) from exc
    except ValueError as exc:
        raise SettingsError([f"{path}: {exc}"]) from exc
    if not isinstance(values, dict):
        raise SettingsError([f"{path}: not an object"])
    return values
