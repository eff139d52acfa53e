"""Finds one request in the logs of many processes and tells how it ended."""

import datetime
import json
from collections.abc import Iterable, Iterator, Sequence

import attrs

# Changes of an endpoint up to this long before the request may explain it.
CONTEXT_S = 10.0
# Lines by which a process tells what it believes of itself.
PROCESS_EVENTS = frozenset(
    (
        *("started", "stopped", "drain_started", "process_was_stopped"),
        *("lease_granted", "lease_expired", "lease_renewal_failed"),
        *("deployment_applied", "lines_left_out"),
    )
)

_REFUSAL_TEXTS = {
    "deadline": "its time was over before an endpoint answered",
    "no_capacity": "no endpoint of its service was in use",
    "retries_exhausted": (
        "every endpoint it was sent to refused it or took no connection"
    ),
    "lease_expired": "the router held no lease",
    "control_unavailable": "the router knew no configuration yet",
    "outcome_unknown": (
        "it may have run at an endpoint that did not answer, so it was not "
        "sent again"
    ),
    "unknown_path": "no route of the configuration matches it",
    "unknown_key": "no customer of the configuration holds its key",
}
_FAILURE_TEXTS = {
    "connect_refused": "took no connection",
    "connection_closed": "closed the connection",
    "answer_timeout": "did not answer in time",
    "first_token_timeout": "sent no first event in time",
    "stream_silent": "fell silent within the stream",
    "endpoint_refused": "refused it as not run",
    "wrong_incarnation": "had been replaced by another instance",
    "endpoint_error": "failed",
}


@attrs.frozen
class LogLine:
    """A line of a log.

    Attributes:
        at: When it was written, in seconds since 1970 on its process's clock.
        source: Process or file that it is from.
        event: Name of the event.
        fields: What was known of the case.
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
    """What the logs tell of a request.

    Attributes:
        lines: Lines of the request, in order.
        context: Lines of what its process and its endpoints were like.
        conclusion: Where it ended and why, in one sentence.
    """

    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    conclusion: str


def read_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Reads a log; other lines in it are skipped.

    Args:
        source: Name for lines that have nothing before their JSON text.
        lines: The lines; a collector may have put a name before each.
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
    """Puts the lines of a request in order and tells how it ended.

    Args:
        request_id: Id that the caller gave the request.
        lines: Lines of all logs.
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
    """Returns what is told of the request's process and endpoints."""
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
    """Tells whether a line is about the endpoints or the own process.

    What other routers took over of an endpoint does not matter here.
    """
    if line.text("endpoint") in endpoints:
        return same_process or line.event != "endpoint_known"
    return same_process and line.event in PROCESS_EVENTS


def _process_name(source: str) -> str:
    """Name of the process in what a collector put before a line."""
    return source.split()[-1]


def _describe_end(request_lines: Sequence[LogLine]) -> str:
    ends = [x for x in request_lines if x.event in _FINAL_EVENTS]
    if not ends:
        return (
            "its end is not told: the process ended first, or lines were left "
            f"out; {_describe_last_attempt(request_lines)}"
        )
    end = ends[-1]
    where = f"at {_process_name(end.source)}"
    match end.event:
        case "request_refused_early":
            why = _describe_refusal(end.text("reason"))
            return f"refused {where} with {end.text('status')}: {why}"
        case "caller_left":
            return (
                f"the caller left {where}; "
                f"{_describe_last_attempt(request_lines)}"
            )
        case "stream_ended":
            return _describe_stream(request_lines, end, where)
    return _describe_answer(request_lines, end, where)


_FINAL_EVENTS = frozenset(
    ("request_refused_early", "caller_left", "stream_ended", "request_answered")
)


def _describe_answer(
    request_lines: Sequence[LogLine], end: LogLine, where: str
) -> str:
    status, duration_ms = end.text("status"), end.text("ms")
    given_up = [x for x in request_lines if x.event == "request_given_up"]
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
        return f"a whole stream of {events} events {where} in {duration_ms} ms"
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
        return f"it was at endpoint {sent[-1].text('endpoint')}"
    return "it was sent to no endpoint"
