"""Finds one request in the logs of many processes and explains its end."""

import datetime
import json
from collections.abc import Iterable, Iterator, Sequence

import attrs

# Events of the request's processes and endpoints are shown with it from this
# long before its first line.
CONTEXT_S = 10.0
# Events about the state of the process that logs them.
PROCESS_EVENTS = frozenset(
    (
        *("started", "stopped", "drain_started", "process_was_stopped"),
        *("lease_granted", "lease_expired", "lease_renewal_failed"),
        *("deployment_applied", "lines_left_out"),
    )
)

_REFUSAL_TEXTS = {
    "deadline": "its deadline passed before an endpoint answered",
    "no_capacity": "no endpoint of its service was available",
    "retries_exhausted": (
        "every endpoint it was sent to refused the request or the connection"
    ),
    "lease_expired": "the router held no lease",
    "control_unavailable": "the router had no configuration yet",
    "outcome_unknown": (
        "it may have run at an endpoint that did not answer, so it was not "
        "retried"
    ),
    "unknown_path": "no route of the configuration matches it",
    "unknown_key": "no customer of the configuration has its key",
}
_FAILURE_TEXTS = {
    "connect_refused": "refused the connection",
    "connection_closed": "closed the connection",
    "answer_timeout": "did not answer in time",
    "first_token_timeout": "did not send the first event in time",
    "stream_silent": "stopped sending during the stream",
    "endpoint_refused": "refused the request without running it",
    "wrong_incarnation": "had been replaced by another instance",
    "endpoint_error": "failed",
}


@attrs.frozen
class LogLine:
    """A log line.

    Attributes:
        at: Unix time in seconds, by the clock of the process that wrote it.
        source: Text before the JSON document, which ends with the name of the
            process; if there is none, the name of the file.
        event: Name of the event.
        fields: Fields of the event.
    """

    at: float
    source: str
    event: str
    fields: dict[str, object]

    def text(self, name: str) -> str:
        """Returns a field as text; empty if it is missing."""
        value = self.fields.get(name)
        return "" if value is None else str(value)


@attrs.frozen
class Explanation:
    """The logged history of a request.

    Attributes:
        lines: Lines of the request, ordered by time.
        context: Lines about the state of its process and endpoints.
        conclusion: Where and why it ended, in one sentence.
    """

    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    conclusion: str


def read_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Parses a log; lines that are not log events are skipped.

    Args:
        source: Source of lines without a prefix before the JSON document.
        lines: Log lines; a log collector may have added a prefix to each.
    """
    for line in lines:
        prefix, brace, rest = line.partition("{")
        if not brace:
            continue
        try:
            found = json.loads(brace + rest)
            at = datetime.datetime.fromisoformat(found["time"]).timestamp()
            fields = dict(found["fields"])
            event = str(found["event_name"])
        except (ValueError, KeyError, TypeError):
            continue
        yield LogLine(at, " ".join(prefix.split()) or source, event, fields)


def explain(request_id: str, lines: Iterable[LogLine]) -> Explanation:
    """Collects the lines of a request and describes how it ended.

    Args:
        request_id: Id that the caller gave the request.
        lines: Lines of all logs, in any order.
    """
    all_lines = sorted(lines, key=lambda line: line.at)
    request_lines = tuple(
        x for x in all_lines if x.text("request") == request_id
    )
    if not request_lines:
        return Explanation((), (), f"no line names request {request_id}")
    return Explanation(
        request_lines,
        _find_context(request_lines, all_lines),
        _describe_end(request_lines),
    )


def _find_context(
    request_lines: Sequence[LogLine], all_lines: Sequence[LogLine]
) -> tuple[LogLine, ...]:
    """Returns the lines about the request's processes and endpoints."""
    endpoints = {x.text("endpoint") for x in request_lines} - {""}
    sources = {_process_name(x.source) for x in request_lines}
    since, until = request_lines[0].at - CONTEXT_S, request_lines[-1].at
    return tuple(
        x
        for x in all_lines
        if since <= x.at <= until
        and not x.text("request")
        and _is_context(x, endpoints, _process_name(x.source) in sources)
    )


def _is_context(line: LogLine, endpoints: set[str], same_process: bool) -> bool:
    """Returns whether a line is about the endpoints or the same process.

    `endpoint_known` events of other routers are irrelevant to the request.
    """
    if line.text("endpoint") in endpoints:
        return same_process or line.event != "endpoint_known"
    return same_process and line.event in PROCESS_EVENTS


def _process_name(source: str) -> str:
    """Returns the process name, the last word of a collector's prefix."""
    return source.split()[-1]


def _describe_end(request_lines: Sequence[LogLine]) -> str:
    ends = [x for x in request_lines if x.event in _FINAL_EVENTS]
    if not ends:
        return (
            "the logs do not show its end: the process ended first, or lines "
            f"were dropped; {_describe_last_attempt(request_lines)}"
        )
    end = ends[-1]
    where = f"at {_process_name(end.source)}"
    match end.event:
        case "request_refused_early" | "request_over_quota":
            why = _describe_refusal(end.text("reason"))
            return f"refused {where} with {end.text('status')}: {why}"
        case "caller_left":
            return (
                f"the caller disconnected {where}; "
                f"{_describe_last_attempt(request_lines)}"
            )
        case "stream_ended":
            return _describe_stream(request_lines, end, where)
    return _describe_answer(request_lines, end, where)


_FINAL_EVENTS = frozenset(
    (
        *("request_refused_early", "request_over_quota", "caller_left"),
        *("stream_ended", "request_answered"),
    )
)


def _describe_answer(
    request_lines: Sequence[LogLine], end: LogLine, where: str
) -> str:
    status, duration_ms = end.text("status"), end.text("ms")
    given_up = [x for x in request_lines if x.event == "request_given_up"]
    # Status 0 means that a retry was not made, not that the request ended.
    reasons = [x.text("reason") for x in given_up if x.text("status") != "0"]
    if reasons:
        why = _describe_refusal(reasons[-1])
        return (
            f"given up {where} with {status}: {why}; "
            f"{_describe_last_attempt(request_lines)}"
        )
    tried = end.fields.get("tried") or ["?"]
    by = f"by {tried[-1]} with {status} after {duration_ms} ms"
    if status >= "500":
        return f"failed {where}: answered {by}"
    return f"answered {where} {by}"


def _describe_stream(
    request_lines: Sequence[LogLine], end: LogLine, where: str
) -> str:
    events, duration_ms = end.text("events"), end.text("ms")
    if end.text("outcome") == "answered":
        return f"complete stream of {events} events {where} in {duration_ms} ms"
    if end.text("outcome") == "broken_off":
        return (
            f"the stream broke off {where} after {events} events; "
            f"{_describe_last_attempt(request_lines)}"
        )
    return _describe_answer(request_lines, end, where)


def _describe_refusal(reason: str) -> str:
    return _REFUSAL_TEXTS.get(reason, reason)


def _describe_last_attempt(request_lines: Sequence[LogLine]) -> str:
    failed = [x for x in request_lines if x.event == "attempt_ended"]
    if failed:
        last = failed[-1]
        what = _FAILURE_TEXTS.get(last.text("reason"), last.text("reason"))
        return f"endpoint {last.text('endpoint')} {what}"
    sent = [x for x in request_lines if x.event == "request_sent"]
    if sent:
        return f"it had been sent to endpoint {sent[-1].text('endpoint')}"
    return "it was not sent to any endpoint"
