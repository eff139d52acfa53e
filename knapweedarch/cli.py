"""Command-line tool for operators.

Exit codes: 0 done; 1 refused, in conflict or, for `explain`, not found; 2
invalid usage or an invalid file; 3 the members are unreachable and nothing was
changed; 4 the outcome is unknown, and the order must be resent under the same
request id.
"""

import ipaddress
import pathlib
import sys
import traceback
import urllib.parse
from collections.abc import Callable
from typing import Literal

import attrs
import defopt

from knapweedarch import api, reports, rule_files
from knapweedarch.control import StatusReply
from knapweedarch.exceptions import (
    ControlError,
    KnapweedarchError,
    RequestIdError,
    RuleError,
    SettingsError,
)
from knapweedarch.explain import LogLine, read_lines
from knapweedarch.explain import explain as explain_request
from knapweedarch.models import Endpoint, EndpointKind, EndpointStatus
from knapweedarch.rules import diff_rules, parse_rules
from knapweedarch.state import (
    EndpointAccepted,
    EndpointUnknown,
    RulesAccepted,
    RulesConflict,
    TableFull,
)

DEFAULT_SETTINGS = pathlib.Path("/etc/knapweedarch/tool.json5")
EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN = 4
MAX_VERSION = 2**63 - 1
MAX_ARGUMENT_CHARACTERS = 128
INTERRUPTED_TEXT = (
    "the command was interrupted; if it sent an order, the outcome is unknown: "
    "resend with the same request id"
)


class UsageError(KnapweedarchError):
    """An argument is invalid.

    Attributes:
        faults: One text per fault.
    """

    def __init__(self, *faults: str):
        self.faults = list(faults)
        super().__init__("; ".join(faults))


def check(
    file: pathlib.Path,
    *,
    settings: pathlib.Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Check a rule file and print all its faults.

    Args:
        file: Rule file.
        settings: Ignored; accepted because diff and apply have this option.
        json: Print one JSON document.
    """
    text = rule_files.read_rules_text(file)
    reports.print_checked(file, parse_rules(text), json)
    return EXIT_DONE


def check_settings(file: pathlib.Path, *, json: bool = False) -> int:
    """Check a settings file of any role and print all its faults.

    Args:
        file: Settings file.
        json: Print one JSON document.
    """
    reports.print_settings(file, api.load(file).role, json)
    return EXIT_DONE


def diff(
    file: pathlib.Path,
    *,
    settings: pathlib.Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Compare a rule file with the rules in force and record their version.

    Args:
        file: Rule file.
        settings: Settings file with members and credential.
        json: Print one JSON document.
    """
    text = rule_files.read_rules_text(file)
    reply = api.status(api.load(settings))
    changes = diff_rules(parse_rules(reply.rules_text), parse_rules(text))
    base_written = rule_files.write_base_version(file, reply.rules_version)
    same_text = text == reply.rules_text
    reports.print_diff(reply.rules_version, changes, same_text, json)
    if not base_written:
        reports.warn(f"cannot write {file}.base; give --base to apply")
    return EXIT_DONE


def apply(
    file: pathlib.Path,
    *,
    base: int | None = None,
    request_id: str = "",
    settings: pathlib.Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Put a rule file in force at every router.

    Args:
        file: Rule file.
        base: Version that the file is based on; by default the version
            recorded by the last diff or apply of this file, or 0 if there is
            none.
        request_id: Id of an earlier order, to resend it.
        settings: Settings file with members and credential.
        json: Print one JSON document.
    """
    text = rule_files.read_rules_text(file)
    if base is None:
        base = rule_files.read_base_version(file)
    if not 0 <= base <= MAX_VERSION:
        raise UsageError(f"--base: {base}; allowed: 0 to {MAX_VERSION}")
    loaded = api.load(settings)
    request_id = _print_request_id(request_id, api.apply_order(text, base))
    match api.apply(loaded, file, base, request_id):
        case RulesAccepted(version=version):
            return reports.print_done(
                json, "accepted", request_id, version=version
            )
        case RulesConflict(version=version):
            return reports.print_refused(
                json,
                f"conflict: the file is based on version {base}, but version "
                f"{version} is in force; run diff and merge",
                request_id,
                version=version,
            )
    raise AssertionError("unexpected result")


def list_all(
    *,
    rules: bool = False,
    settings: pathlib.Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """List the endpoints, or print the rule file in force.

    Args:
        rules: Print the rule file as it was applied, and nothing else.
        settings: Settings file with members and credential.
        json: Print one JSON document with endpoints and rule file.
    """
    reply = api.status(api.load(settings))
    if rules and not json:
        sys.stdout.write(reply.rules_text)
    else:
        reports.print_list(reply, json)
    return EXIT_DONE


def announce(
    endpoint_id: str,
    *,
    url: str = "",
    kind: Literal["runner", "service"] | None = None,
    serves: str = "",
    weights_version: str = "",
    data_centre: str = "",
    incarnation: str = "",
    request_id: str = "",
    settings: pathlib.Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Announce an endpoint, ending its retirement.

    The options are required only for an unknown endpoint.

    Args:
        endpoint_id: Name of the endpoint.
        url: Base URL with an IP address.
        kind: Runner or service.
        serves: Models of a runner, separated by commas, or the service.
        weights_version: Version of the weights that a runner has loaded.
        data_centre: Data centre of the endpoint.
        incarnation: Incarnation that the endpoint sends in its responses.
        request_id: Id of an earlier order, to resend it.
        settings: Settings file with members and credential.
        json: Print one JSON document.
    """
    options = {
        "url": url,
        "kind": EndpointKind(kind) if kind else None,
        "serves": tuple(filter(None, serves.split(","))),
        "weights_version": weights_version,
        "data_centre": data_centre,
        "incarnation": incarnation,
    }
    options = {key: value for key, value in options.items() if value}
    _check_texts(endpoint_id, *map(str, options.values()))
    if url and not _is_url(url):
        raise UsageError(
            f"--url: {url!r}; allowed: http://, an IP address and a port"
        )
    loaded = api.load(settings)
    order = api.announce_order(endpoint_id, repr(sorted(options.items())))
    request_id = _print_request_id(request_id, order)
    endpoint = _build_endpoint(api.status(loaded), endpoint_id, options)
    if endpoint is None:
        return reports.print_refused(
            json,
            f"endpoint {endpoint_id!r} is not known; give at least --url, "
            "--kind, --serves and --incarnation",
            request_id,
        )
    return _report_endpoint(
        json,
        endpoint_id,
        request_id,
        api.announce(loaded, endpoint, request_id),
    )


def _check_texts(*texts: str) -> None:
    """Rejects texts that no endpoint can have, such as malformed UTF-8."""
    for text in texts:
        if not text.isprintable() or len(text) > MAX_ARGUMENT_CHARACTERS:
            raise UsageError(
                f"{text[:MAX_ARGUMENT_CHARACTERS]!r}; allowed: up to "
                f"{MAX_ARGUMENT_CHARACTERS} printable characters"
            )


def _is_url(text: str) -> bool:
    """Returns whether a text is an http URL with an IP address and a port."""
    try:
        parts = urllib.parse.urlsplit(text)
        ipaddress.ip_address(parts.hostname or "")
        return (
            parts.scheme == "http"
            and parts.port is not None
            and not parts.query
        )
    except ValueError:
        return False


def _build_endpoint(
    reply: StatusReply, endpoint_id: str, options: dict
) -> Endpoint | None:
    """Returns the endpoint to announce, or None if options are missing."""
    for entry in reply.endpoints:
        if entry.endpoint.id == endpoint_id:
            return attrs.evolve(
                entry.endpoint, status=EndpointStatus.ACTIVE, **options
            )
    if not {"url", "kind", "serves", "incarnation"} <= options.keys():
        return None
    return Endpoint(id=endpoint_id, **options)


def retire(
    endpoint_id: str,
    *,
    request_id: str = "",
    settings: pathlib.Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Retire an endpoint until it is announced with this tool again.

    Args:
        endpoint_id: Name of the endpoint.
        request_id: Id of an earlier order, to resend it.
        settings: Settings file with members and credential.
        json: Print one JSON document.
    """
    _check_texts(endpoint_id)
    loaded = api.load(settings)
    request_id = _print_request_id(request_id, api.retire_order(endpoint_id))
    return _report_endpoint(
        json,
        endpoint_id,
        request_id,
        api.retire(loaded, endpoint_id, request_id),
    )


def _report_endpoint(
    json: bool, endpoint_id: str, request_id: str, result: object
) -> int:
    match result:
        case EndpointAccepted(status=status):
            return reports.print_done(
                json, f"{endpoint_id} is {status.value}", request_id
            )
        case EndpointUnknown():
            text = f"endpoint {endpoint_id!r} is not known"
        case TableFull():
            text = "the table of endpoints is full"
        case _:
            raise AssertionError(f"unexpected result: {result}")
    return reports.print_refused(json, text, request_id)


def status(
    *, settings: pathlib.Path = DEFAULT_SETTINGS, json: bool = False
) -> int:
    """Print the leader, members, routers and table sizes.

    Args:
        settings: Settings file with members and credential.
        json: Print one JSON document.
    """
    reports.print_status(api.status(api.load(settings)), json)
    return EXIT_DONE


def form(
    *, settings: pathlib.Path = DEFAULT_SETTINGS, json: bool = False
) -> int:
    """Form the first group from the members of the settings, once.

    Args:
        settings: Settings file with members and credential.
        json: Print one JSON document.
    """
    loaded = api.load(settings)
    api.form(loaded)
    names = ", ".join(member.name for member in loaded.members)
    return reports.print_done(json, f"formed: {names}", "")


def explain(request_id: str, *files: pathlib.Path, json: bool = False) -> int:
    """Find a request in the logs of all processes and explain how it ended.

    Args:
        request_id: Id that the caller gave the request.
        files: Log files; text before the JSON document of a line is printed
            as the source of the line.
        json: Print one JSON document.
    """
    if not files:
        raise UsageError("files: give at least one log")
    lines: list[LogLine] = []
    for file in files:
        try:
            with open(file, errors="replace") as log:
                lines += read_lines(file.stem, log)
        except OSError as exc:
            raise UsageError(f"{file}: {exc.strerror}") from exc
    return reports.print_explanation(explain_request(request_id, lines), json)


COMMANDS: dict[str, Callable[..., int]] = {
    "check": check,
    "diff": diff,
    "apply": apply,
    "list": list_all,
    "announce": announce,
    "retire": retire,
    "status": status,
    "form": form,
    "check-settings": check_settings,
    "explain": explain,
}


def _print_request_id(request_id: str, order: api.Order) -> str:
    """Returns the checked id or a new one, and prints it.

    The operator needs the id for a resend if the command is interrupted after
    the order was sent.
    """
    if request_id:
        api.check_request_id(request_id, order)
    else:
        request_id = api.create_request_id(order)
    reports.warn(f"request id {request_id}")
    return request_id


def run(arguments: list[str]) -> int:
    """Runs one command; returns the exit code.

    Raises:
        SystemExit: The arguments cannot be parsed, or ask for help.
    """
    json = "--json" in arguments
    try:
        return defopt.run(
            COMMANDS, argv=arguments, short={}, no_negated_flags=True
        )
    except (RuleError, SettingsError, UsageError) as exc:
        return reports.print_faults(json, exc.faults, EXIT_USAGE)
    except RequestIdError as exc:
        return reports.print_faults(json, [str(exc)], EXIT_USAGE)
    except ControlError as exc:
        return _report_control_error(json, exc)
    except KeyboardInterrupt:
        return reports.print_faults(json, [INTERRUPTED_TEXT], EXIT_UNKNOWN)
    except Exception:
        # An unhandled exception would exit with code 1, which means that
        # nothing was done.
        traceback.print_exc()
        return reports.print_faults(json, [INTERRUPTED_TEXT], EXIT_UNKNOWN)


def _report_control_error(json: bool, exc: ControlError) -> int:
    codes = {"refused": EXIT_REFUSED, "unreachable": EXIT_UNREACHABLE}
    exit_code = codes.get(exc.reason, EXIT_UNKNOWN)
    text = str(exc)
    if exit_code == EXIT_UNKNOWN:
        text += "; the outcome is unknown: resend with the same request id"
    return reports.print_faults(json, [text], exit_code)


def main() -> None:
    """Runs the command of `sys.argv` and exits with its code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
