"""Public functions of the package, for programs and for the command line.

Functions that submit an order block until it is in force everywhere. Each
order has a request id and is idempotent under it: an order whose response was
lost is resent under the same id and takes effect once.
"""

import hashlib
import pathlib
import secrets
from collections.abc import Awaitable, Callable

import anyio
import attrs

from knapweedarch import control, rule_files
from knapweedarch import settings as settings_files
from knapweedarch.exceptions import ControlError, RequestIdError, SettingsError
from knapweedarch.models import Endpoint
from knapweedarch.settings import Settings, ToolSettings
from knapweedarch.state import (
    Announce,
    EndpointAccepted,
    EndpointUnknown,
    PutRules,
    RequestIdReused,
    Retire,
    RulesAccepted,
    RulesConflict,
    TableFull,
)
from knapweedarch.timers import Clock

# A change waits for leases of up to 2.1 s after an election of up to 1.8 s;
# the remaining time allows for a second election.
ORDER_TIMEOUT_S = 15.0
STATUS_TIMEOUT_S = 5.0
_DIGEST_CHARACTERS = 16


@attrs.frozen
class Order:
    """An order of an operator.

    Attributes:
        verb: `apply`, `announce` or `retire`.
        subject: Arguments of the order, which its request id depends on.
    """

    verb: str
    subject: tuple[str, ...]


def create_request_id(order: Order) -> str:
    """Creates a random id that contains a digest of the order."""
    return f"{secrets.token_hex(8)}-{_digest(order)}"


def check_request_id(request_id: str, order: Order) -> None:
    """Checks that an id was created for this order.

    The members refuse a known id with another order, but forget an id after
    1,000 newer orders. Checking here finds a mistake before anything is sent.

    Raises:
        RequestIdError: The id belongs to another order.
    """
    if request_id.partition("-")[2] != _digest(order):
        raise RequestIdError(
            f"request id {request_id!r} was not created for this order"
        )


def _digest(order: Order) -> str:
    digest = hashlib.sha256()
    for part in (order.verb, *order.subject):
        data = part.encode("utf-8", "surrogateescape")
        digest.update(b"%d:%b" % (len(data), data))
    return digest.hexdigest()[:_DIGEST_CHARACTERS]


def apply_order(text: str, base_version: int) -> Order:
    """Returns the order that applies a rule file."""
    return Order("apply", (str(base_version), text))


def retire_order(endpoint_id: str) -> Order:
    """Returns the order that retires an endpoint."""
    return Order("retire", (endpoint_id,))


def announce_order(endpoint_id: str, *options: str) -> Order:
    """Returns the order that announces an endpoint with these options."""
    return Order("announce", (endpoint_id, *options))


def load(path: str | pathlib.Path) -> Settings:
    """Loads a settings file.

    Raises:
        SettingsError: The file is invalid; the error lists all its faults.
    """
    return settings_files.load_settings(path)


def serve(settings: Settings) -> None:
    """Runs a member or a router until it receives a stop signal.

    Raises:
        SettingsError: The settings are those of the command-line tool.
    """
    if isinstance(settings, ToolSettings):
        raise SettingsError(["role: 'tool'; allowed: member, router"])
    # Imported here because it loads the HTTP server, which orders do not need.
    from knapweedarch import daemon

    anyio.run(daemon.run, settings)


def apply(
    settings: Settings,
    path: str | pathlib.Path,
    base_version: int | None = None,
    request_id: str = "",
) -> RulesAccepted | RulesConflict:
    """Applies a rule file and records its new version.

    Args:
        settings: Settings with members and credential.
        path: The rule file.
        base_version: Version that the file is based on; None for the version
            recorded by the last `diff` or `apply` of this file.
        request_id: Id of an earlier order to resend; empty for a new one.

    Raises:
        RuleError: The file is invalid; nothing was sent.
        RequestIdError: The id belongs to another order; nothing was sent.
        ControlError: `unreachable`, `unknown_outcome` or `refused`.
    """
    text = rule_files.read_rules_text(path)
    if base_version is None:
        base_version = rule_files.read_base_version(path)
    request_id = _resolve_request_id(
        request_id, apply_order(text, base_version)
    )
    result = _submit(settings, PutRules(request_id, base_version, text))
    if isinstance(result, RulesAccepted):
        rule_files.write_base_version(path, result.version)
    return result


def announce(
    settings: Settings, endpoint: Endpoint, request_id: str = ""
) -> EndpointAccepted | TableFull:
    """Announces an endpoint and ends its retirement.

    The caller checks a given request id with `check_request_id`: the id may
    depend on options that are not known here.

    Raises:
        ControlError: `unreachable`, `unknown_outcome` or `refused`.
    """
    request_id = request_id or create_request_id(announce_order(endpoint.id))
    return _submit(settings, Announce(endpoint, True, request_id))


def retire(
    settings: Settings, endpoint_id: str, request_id: str = ""
) -> EndpointAccepted | EndpointUnknown:
    """Retires an endpoint until an operator announces it again.

    Raises:
        RequestIdError: The id belongs to another order; nothing was sent.
        ControlError: `unreachable`, `unknown_outcome` or `refused`.
    """
    request_id = _resolve_request_id(request_id, retire_order(endpoint_id))
    return _submit(settings, Retire(request_id, endpoint_id))


def status(settings: Settings) -> control.StatusReply:
    """Returns the system's status as the leader sees it.

    Raises:
        ControlError: `unreachable` or `refused`.
    """
    try:
        return _run_client_action(
            settings, lambda client: client.status(STATUS_TIMEOUT_S)
        )
    except ControlError as exc:
        if exc.reason != "unknown_outcome":
            raise
        # A status query changes nothing, so its outcome cannot be unknown.
        raise ControlError("unreachable", str(exc)) from exc


def form(settings: Settings) -> None:
    """Forms the first group from the members of the settings, once.

    Raises:
        ControlError: A member is not blank or does not respond.
    """
    _run_client_action(settings, lambda client: client.form(settings.members))


def _resolve_request_id(request_id: str, order: Order) -> str:
    if not request_id:
        return create_request_id(order)
    check_request_id(request_id, order)
    return request_id


def _submit(settings: Settings, command: object):
    result = _run_client_action(
        settings, lambda client: client.submit(command, ORDER_TIMEOUT_S)
    )
    if isinstance(result, RequestIdReused):
        raise ControlError("refused", "the request id belongs to another order")
    return result


def _run_client_action(
    settings: Settings,
    action: Callable[[control.ControlClient], Awaitable[object]],
):
    return anyio.run(_run_client_action_async, settings, action)


async def _run_client_action_async(settings, action):
    client = control.create_control_client(
        settings.members, settings.credential.encode(), Clock()
    )
    failure = None
    async with client:
        # Raised outside the block, since the client's task group would wrap
        # it in an exception group.
        try:
            return await action(client)
        except ControlError as exc:
            failure = exc
    raise failure
