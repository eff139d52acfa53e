"""Registry of numbered log events; `docs/EVENTS.md` is generated from it.

The hundreds digit gives the group: 1xx process, 2xx member and replication,
3xx router lease and control, 4xx endpoints, 5xx requests, 6xx links and
credentials, 7xx operators' orders. Numbers are never reused, since operators
filter their logs by number.
"""

import enum

import attrs


class Level(enum.IntEnum):
    """Severity, with the values of the standard `logging` module."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


@attrs.frozen
class Event:
    """A registered log event.

    Attributes:
        number: Unique number; the hundreds digit is the group.
        name: Name that is passed to `logs.log`.
        level: Severity.
        text: Human-readable description, as a full sentence.
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
    Event(101, "started", _I, "The process accepts connections."),
    Event(102, "stopped", _I, "The process shut down cleanly."),
    Event(103, "drain_started", _I, "A graceful shutdown began."),
    Event(104, "drain_ended", _I, "A graceful shutdown finished."),
    Event(105, "settings_reloaded", _I, "Changed settings were applied."),
    Event(106, "settings_refused", _E, "Changed settings are invalid."),
    Event(
        107,
        "lines_left_out",
        _W,
        "Log lines were dropped and counted.",
    ),
    Event(108, "process_was_stopped", _W, "The process was paused for a time."),
    Event(201, "leader_started", _I, "This member became the leader."),
    Event(202, "leader_stopped", _W, "This member is no longer the leader."),
    Event(
        203,
        "journal_failed",
        _E,
        "A journal operation failed; the process exits.",
    ),
    Event(
        210, "journal_full", _E, "The disk is full; the member waits for space."
    ),
    Event(214, "journal_has_space", _I, "The disk of the journal has space."),
    Event(
        215,
        "journal_files_kept",
        _W,
        "Unused files of the journal could not be removed; tried again later.",
    ),
    Event(
        216,
        "snapshot_left_out",
        _W,
        "There is no space for a snapshot; the log grows until the next one.",
    ),
    Event(
        109,
        "process_failed",
        _E,
        "An unexpected error ended the process; the reason is its traceback.",
    ),
    Event(
        211,
        "replica_failed",
        _E,
        "The replicated log is inconsistent; the process exits.",
    ),
    Event(212, "relay_subscribed", _I, "A router or member subscribed here."),
    Event(204, "group_formed", _I, "The first group of members was formed."),
    Event(
        205, "peer_message_refused", _W, "A message from a member is malformed."
    ),
    Event(
        206, "group_not_found", _W, "No group has been formed or joined yet."
    ),
    Event(207, "members_changed", _I, "The list of members changed."),
    Event(
        217,
        "member_change",
        _I,
        "The leader adds, removes or promotes a member.",
    ),
    Event(
        226,
        "vote_not_released",
        _W,
        "A member that stops did not learn whether a spare one votes now.",
    ),
    Event(218, "join_asked", _I, "A member asked this leader to join."),
    Event(
        219,
        "leader_missing",
        _W,
        "This member has known no leader for some seconds.",
    ),
    Event(
        220,
        "group_handed_on",
        _I,
        "A member of the first group was told of it after an interruption.",
    ),
    Event(
        221,
        "group_refused",
        _W,
        "A member of the first group does not take part in it.",
    ),
    Event(208, "proposal_failed", _W, "A change was not appended to the log."),
    Event(209, "endpoint_status", _I, "The status of an endpoint changed."),
    Event(301, "lease_granted", _I, "The router acquired a lease."),
    Event(302, "lease_expired", _W, "The lease expired; no new work starts."),
    Event(303, "lease_renewal_failed", _W, "A lease renewal was not granted."),
    Event(306, "grant_older", _E, "The control group returned an older state."),
    Event(304, "rules_applied", _I, "A version of the rules was applied."),
    Event(
        305, "rules_unreadable", _E, "The accepted rules cannot be parsed here."
    ),
    Event(308, "relay_found", _I, "A member relays loads and cached parts."),
    Event(309, "relay_not_reached", _W, "A member did not relay anything."),
    Event(
        310,
        "origins_not_found",
        _W,
        "Members did not say at which software streams began.",
    ),
    Event(
        317,
        "endpoint_brittle",
        _I,
        "A brittle endpoint had no room and rests.",
    ),
    Event(311, "paths_lost", _W, "A router reaches no endpoint itself."),
    Event(312, "paths_back", _I, "A router reaches endpoints itself again."),
    Event(313, "path_not_found", _I, "A probe did not reach an endpoint."),
    Event(314, "peers_not_found", _W, "No router with paths was named."),
    Event(315, "tunnel_not_opened", _W, "Another router was not reached."),
    Event(316, "tunnel_not_written", _I, "An endpoint took no more bytes."),
    Event(307, "deployment_applied", _I, "A configuration was applied here."),
    Event(
        414, "load_not_confirmed", _W, "A runner did not report new weights."
    ),
    Event(
        415,
        "weights_wanted",
        _I,
        "A router received the weights versions that runners must load.",
    ),
    Event(
        416, "feed_found", _I, "The event feed of a runner or store responds."
    ),
    Event(
        417,
        "feed_failed",
        _E,
        "An unexpected error ended a feed, which is read anew.",
    ),
    Event(
        418,
        "feed_events_malformed",
        _W,
        "Events of a feed could not be read and were left out.",
    ),
    Event(
        419,
        "endpoints_slow",
        _I,
        "Endpoints take longer than usual, as learnt from their answers.",
    ),
    Event(
        420,
        "heartbeat_ignored",
        _W,
        "A heartbeat is late, or names no service or model; it is ignored.",
    ),
    Event(413, "endpoint_known", _I, "A router added or updated an endpoint."),
    Event(406, "feed_lost", _W, "The event feed of a runner or store failed."),
    Event(
        409,
        "orders_taken",
        _I,
        "This router acquired the right to send orders.",
    ),
    Event(410, "orders_not_taken", _W, "The right to send orders was refused."),
    Event(411, "load_ordered", _I, "A runner was ordered to load weights."),
    Event(412, "order_failed", _W, "A runner did not confirm an order."),
    Event(501, "request_refused", _D, "A request was refused."),
    Event(502, "attempt_failed", _W, "An attempt at an endpoint failed."),
    Event(504, "stream_failed", _W, "A stream ended without its end marker."),
    Event(
        506, "request_failed", _E, "A request failed with an internal error."
    ),
    Event(
        507, "outcome_unknown", _W, "It is unknown whether a call was executed."
    ),
    Event(508, "request_malformed", _I, "A request could not be parsed."),
    Event(
        541,
        "request_header_malformed",
        _I,
        "Numbers in headers of a request cannot be read and say nothing.",
    ),
    Event(
        509,
        "request_refused_early",
        _I,
        "A request was refused before it was routed.",
    ),
    Event(
        522,
        "request_over_quota",
        _I,
        "A request was refused because of the quota of its customer.",
    ),
    Event(
        320,
        "quota_member_silent",
        _W,
        "The member did not answer for quotas; another one is asked.",
    ),
    Event(
        321,
        "quota_member_not_reached",
        _W,
        "Another member could not be asked for quotas.",
    ),
    Event(
        222,
        "quota_part_changed",
        _I,
        "The part of the quotas that this member may mint has changed.",
    ),
    Event(
        516,
        "request_not_admitted",
        _I,
        "A request would have waited too long at every runner.",
    ),
    Event(
        517,
        "part_held",
        _W,
        "Requests with a part of prompts are held back: it crashes runners.",
    ),
    Event(
        518,
        "endpoint_limit",
        _I,
        "An endpoint began or ceased to name a limit of requests a second.",
    ),
    Event(
        519,
        "endpoint_waits",
        _I,
        "An endpoint said that it leaves, or wants no requests for a time.",
    ),
    Event(
        520,
        "endpoint_statement_malformed",
        _W,
        "An endpoint says something of itself that cannot be read.",
    ),
    Event(
        319,
        "endpoint_replaced",
        _I,
        "An endpoint had started again before this router heard of it.",
    ),
    Event(
        521,
        "answer_given_up",
        _W,
        "The longest answer was given up, as all took too much memory.",
    ),
    Event(
        523,
        "room_refused",
        _I,
        "A request was refused as the runners have no room for it in time.",
    ),
    Event(510, "attempt_ended", _I, "An attempt ended without a response."),
    Event(
        540,
        "silence_borne",
        _I,
        "An endpoint is silent for long, and no other may go on now.",
    ),
    Event(514, "request_sent", _I, "A request was sent to an endpoint."),
    Event(511, "request_given_up", _I, "A request is not retried."),
    Event(512, "request_answered", _I, "A request was answered."),
    Event(513, "stream_ended", _I, "A stream ended."),
    Event(515, "caller_left", _I, "The caller disconnected before the end."),
    Event(
        530,
        "request_dropped",
        _W,
        "A request that was read whole ended without a whole answer.",
    ),
    Event(
        531,
        "request_incomplete",
        _I,
        "A connection ended within a request, which was not read whole.",
    ),
    Event(
        532,
        "late_bytes_dropped",
        _I,
        "Bytes that came after the end of a connection were not read.",
    ),
    Event(
        533,
        "connection_failed",
        _E,
        "An unexpected error ended a caller's connection; the reason is its"
        " traceback.",
    ),
    Event(
        550,
        "caller_evicted",
        _W,
        "A caller's request was given up, as callers hold too much memory.",
    ),
    Event(
        551,
        "caller_ended",
        _W,
        "A caller's connection was ended: it sends or reads too slowly, or it"
        " stood still and another caller needs the connection.",
    ),
    Event(552, "accept_failed", _E, "No connection could be accepted."),
    Event(
        553,
        "task_failed",
        _E,
        "An unexpected error ended a task of one request or connection; the"
        " reason is its traceback.",
    ),
    Event(601, "link_refused", _W, "The credential of a peer does not match."),
    Event(707, "control_call", _I, "A call to the control address finished."),
    Event(602, "link_message_refused", _W, "A message could not be decoded."),
    Event(
        603,
        "link_handler_failed",
        _E,
        "An unexpected error closed a link; the reason is its traceback.",
    ),
    Event(604, "link_failed", _D, "No link to a member could be opened."),
    Event(605, "link_lost", _W, "A link did not accept a message."),
    Event(
        606,
        "relay_message_refused",
        _W,
        "Relayed news of sources is malformed.",
    ),
    Event(701, "rules_accepted", _I, "A rule file was accepted."),
    Event(
        702, "rules_conflict", _W, "A rule file has an outdated base version."
    ),
    Event(705, "deployment_accepted", _I, "A configuration was accepted."),
    Event(
        706,
        "weights_named",
        _I,
        "A weights version that runners of a model must load was named.",
    ),
    Event(703, "endpoint_retired", _I, "An operator retired an endpoint."),
    Event(704, "endpoint_restored", _I, "An operator announced an endpoint."),
)


def _index(events: tuple[Event, ...]) -> dict[str, Event]:
    """Indexes events by name; rejects duplicates and unknown groups."""
    if len({event.number for event in events}) != len(events):
        raise ValueError("two events have the same number")
    by_name = {event.name: event for event in events}
    if len(by_name) != len(events):
        raise ValueError("two events have the same name")
    if any(event.number // 100 not in GROUPS for event in events):
        raise ValueError("the number of an event belongs to no group")
    return by_name


EVENTS = _index(ALL_EVENTS)
