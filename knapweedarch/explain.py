"""Finds one request in the logs of many processes and tells how it ended."""

import datetime
import json
from collections.abc import Iterable, Iterator, Sequence

import attrs

# Changes of an endpoint up to this long before the request may explain it.
BEFORE_S = 10.0
# Lines by which a process tells what it believes of itself.
OWN_STATE = frozenset(
    (
        *("started", "stopped", "drain_started", "process_was_stopped"),
        *("lease_granted", "lease_expired", "lease_renewal_failed"),
        *("deployment_applied", "lines_left_out"),
    )
)

_REFUSALS = {
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
_ATTEMPTS = {
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
    known = sorted(lines, key=lambda line: line.at)
    own = tuple(x for x in known if x.text("request") == request_id)
    if not own:
        return Explanation((), (), f"no line names request {request_id}")
    return Explanation(own, _context(own, known), _conclude(own))


def _context(
    own: Sequence[LogLine], known: Sequence[LogLine]
) -> tuple[LogLine, ...]:
    """Returns what is told of the request's process and endpoints."""
    endpoints = {x.text("endpoint") for x in own} - {""}
    sources = {_process(x.source) for x in own}
    since, until = own[0].at - BEFORE_S, own[-1].at
    return tuple(
        x
        for x in known
        if since <= x.at <= until
        and not x.text("request")
        and _tells(x, endpoints, _process(x.source) in sources)
    )


def _tells(line: LogLine, endpoints: set[str], own: bool) -> bool:
    """Tells whether a line is about the endpoints or the own process.

    What other routers took over of an endpoint does not matter here.
    """
    if line.text("endpoint") in endpoints:
        return own or line.event != "endpoint_known"
    return own and line.event in OWN_STATE


def _process(source: str) -> str:
    """Name of the process in what a collector put before a line."""
    return source.split()[-1]


def _conclude(own: Sequence[LogLine]) -> str:
    ends = [x for x in own if x.event in _ENDS]
    if not ends:
        return (
            "its end is not told: the process ended first, or lines were left "
            f"out; {_last_attempt(own)}"
        )
    end = ends[-1]
    where = f"at {_process(end.source)}"
    match end.event:
        case "request_refused_early":
            why = _why(end.text("reason"))
            return f"refused {where} with {end.text('status')}: {why}"
        case "caller_left":
            return f"the caller left {where}; {_last_attempt(own)}"
        case "stream_ended":
            return _conclude_stream(own, end, where)
    return _conclude_answer(own, end, where)


_ENDS = frozenset(
    ("request_refused_early", "caller_left", "stream_ended", "request_answered")
)


def _conclude_answer(own: Sequence[LogLine], end: LogLine, where: str) -> str:
    status, taken = end.text("status"), end.text("ms")
    given_up = [x for x in own if x.event == "request_given_up"]
    reasons = [x.text("reason") for x in given_up if x.text("status") != "0"]
    if reasons:
        why = _why(reasons[-1])
        return f"given up {where} with {status}: {why}; {_last_attempt(own)}"
    tried = end.fields.get("tried") or ["?"]
    by = f"by {tried[-1]} with {status} after {taken} ms"
    if status >= "500":
        return f"failed {where}: answered {by}"
    return f"answered {where} {by}"


def _conclude_stream(own: Sequence[LogLine], end: LogLine, where: str) -> str:
    events, taken = end.text("events"), end.text("ms")
    if end.text("outcome") == "answered":
        return f"a whole stream of {events} events {where} in {taken} ms"
    if end.text("outcome") == "broken_off":
        return (
            f"the stream broke off {where} after {events} events; "
            f"{_last_attempt(own)}"
        )
    return _conclude_answer(own, end, where)


def _why(reason: str) -> str:
    return _REFUSALS.get(reason, reason)


def _last_attempt(own: Sequence[LogLine]) -> str:
    failed = [x for x in own if x.event == "attempt_ended"]
    if failed:
        last = failed[-1]
        what = _ATTEMPTS.get(last.text("reason"), last.text("reason"))
        return f"endpoint {last.text('endpoint')} {what}"
    sent = [x for x in own if x.event == "request_sent"]
    if sent:
        return f"it was at endpoint {sent[-1].text('endpoint')}"
    return "it was sent to no endpoint"
