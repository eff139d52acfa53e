"""Registry of numbered log events; `docs/EVENTS.md` is generated from it.

The hundreds group the events: 1xx process, 2xx member and replication, 3xx
router lease and control, 4xx endpoints, 5xx requests, 6xx links and
credentials, 7xx operators' orders. A number is never used again for another
event, since operators filter their logs by number.
"""

import enum

import attrs


class Level(enum.IntEnum):
    """Severity; the values are those of the standard library's levels."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


@attrs.frozen
class Event:
    """A kind of log line.

    Attributes:
        number: Number in the catalogue.
        name: Name by which code logs the event.
        level: Severity.
        text: What happened, as a whole sentence for people.
    """

    number: int
    name: str
    level: Level
    text: str


GROUPS = {
    1: "Process",
    2: "Member and replication",
    3: "Router lease and control",
    4: "Endpoints",
    5: "Requests",
    6: "Links and credentials",
    7: "Operators' orders",
}

_D, _I, _W, _E = Level.DEBUG, Level.INFO, Level.WARNING, Level.ERROR

ALL_EVENTS = (
    Event(101, "started", _I, "The process serves on its port."),
    Event(102, "stopped", _I, "The process ended in order."),
    Event(103, "drain_started", _I, "A graceful shutdown began."),
    Event(104, "drain_ended", _I, "A graceful shutdown ended."),
    Event(105, "settings_reloaded", _I, "Changed settings are in use."),
    Event(106, "settings_refused", _E, "Changed settings are faulty."),
    Event(107, "lines_left_out", _W, "Log lines did not fit and are counted."),
    Event(
        108, "process_was_stopped", _W, "The process did not run for a time."
    ),
    Event(201, "leader_started", _I, "This member became the leader."),
    Event(202, "leader_stopped", _W, "This member is no longer the leader."),
    Event(203, "journal_failed", _E, "The journal failed; the process ends."),
    Event(210, "journal_full", _E, "The disk is full; the member waits."),
    Event(204, "group_formed", _I, "The first group of members was formed."),
    Event(205, "peer_message_refused", _W, "A member's message is malformed."),
    Event(206, "group_not_found", _W, "No group was formed or joined yet."),
    Event(207, "members_changed", _I, "The list of members changed."),
    Event(208, "proposal_failed", _W, "A change did not enter the log."),
    Event(209, "endpoint_status", _I, "The status of an endpoint changed."),
    Event(301, "lease_granted", _I, "The router holds a lease again."),
    Event(302, "lease_expired", _W, "The lease ended; no new work starts."),
    Event(303, "lease_renewal_failed", _W, "A renewal got no grant."),
    Event(306, "grant_older", _E, "The group answers with an older state."),
    Event(304, "rules_applied", _I, "A version of the rules is in use."),
    Event(305, "rules_unreadable", _E, "The accepted rules do not parse here."),
    Event(307, "deployment_applied", _I, "A configuration is in use here."),
    Event(414, "load_not_confirmed", _W, "A runner told no new weights."),
    Event(415, "weights_wanted", _I, "A router learned of named weights."),
    Event(416, "feed_found", _I, "A runner or store tells its events."),
    Event(413, "endpoint_known", _I, "A router took over an endpoint."),
    Event(406, "feed_lost", _W, "The feed of a runner or store broke."),
    Event(409, "orders_taken", _I, "This router may give orders now."),
    Event(410, "orders_not_taken", _W, "The right to give orders was refused."),
    Event(411, "load_ordered", _I, "A runner was told to load weights."),
    Event(412, "order_failed", _W, "A runner did not confirm an order."),
    Event(501, "request_refused", _D, "A request was refused."),
    Event(502, "attempt_failed", _W, "An attempt at an endpoint failed."),
    Event(504, "stream_failed", _W, "A stream ended without its end mark."),
    Event(506, "request_failed", _E, "A request failed by a fault in here."),
    Event(507, "outcome_unknown", _W, "It is unknown whether a call was run."),
    Event(508, "request_malformed", _I, "A request could not be read."),
    Event(509, "request_refused_early", _I, "A request was not routed."),
    Event(510, "attempt_ended", _I, "An attempt brought no answer."),
    Event(514, "request_sent", _I, "A request was sent to an endpoint."),
    Event(511, "request_given_up", _I, "A request is not tried again."),
    Event(512, "request_answered", _I, "A request got its answer."),
    Event(513, "stream_ended", _I, "A stream ended."),
    Event(515, "caller_left", _I, "The caller left before the end."),
    Event(601, "link_refused", _W, "A peer holds another credential."),
    Event(707, "control_call", _I, "A call to the control address ended."),
    Event(602, "link_message_refused", _W, "A message could not be decoded."),
    Event(701, "rules_accepted", _I, "A rule file was accepted."),
    Event(702, "rules_conflict", _W, "A rule file has an old base version."),
    Event(705, "deployment_accepted", _I, "A configuration was accepted."),
    Event(706, "weights_named", _I, "A weights version was named."),
    Event(703, "endpoint_retired", _I, "An operator retired an endpoint."),
    Event(704, "endpoint_restored", _I, "An operator announced an endpoint."),
)


def _index(events: tuple[Event, ...]) -> dict[str, Event]:
    """Indexes events by name; refuses duplicates and unknown groups."""
    if len({event.number for event in events}) != len(events):
        raise ValueError("two events have one number")
    by_name = {event.name: event for event in events}
    if len(by_name) != len(events):
        raise ValueError("two events have one name")
    if any(event.number // 100 not in GROUPS for event in events):
        raise ValueError("an event is in no group")
    return by_name


EVENTS = _index(ALL_EVENTS)
