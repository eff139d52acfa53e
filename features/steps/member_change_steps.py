"""Steps for members that are replaced by new ones."""

import random

from behave import given, then, when

from features.joining_group import (
    JOIN_INTERVAL_S,
    JoiningGroup,
    lose_two_leaders,
    replace_in_series,
)
from features.member_faults import run_member_faults
from knapweedarch.models import MemberChangeKind

# Seeds by hand whose schedules ended a group.
FOUND_SEEDS = (2357,)


@given("{count:d} members whose leader has led for {seconds:f} s")
def members_with_old_leader(context, count, seconds):
    context.group = group = JoiningGroup(count, seed=1)
    group.wait_for_leader()
    group.run(seconds)
    group.changes.clear()
    context.entries_before = group.member_entries()


@given("{rate:d} entries a second")
def steady_load(context, rate):
    context.group.entries_per_s = rate
    context.group.step_s = 0.005  # Shorter than any round trip.


@given(
    "{count:d} entries of {size:d} bytes, and a snapshot each {interval:d}"
    " entries"
)
def large_state(context, count, size, interval):
    group = context.group
    for number in range(count):
        group.propose(b"%02d" % number + b"x" * size)
        group.run(0.05)
    group.compact_interval = interval


def following_member(group):
    leader = group.leader().name
    voters = [m.name for m in group.member_list() if m.voter]
    return next(name for name in voters if name != leader)


@when("a following member is replaced after {seconds:f} s")
def replace_follower(context, seconds):
    group = context.group
    (context.new,) = group.replace([following_member(group)], seconds)


@when(
    "a following member is replaced, and the new one is cut off as a learner"
    " for {seconds:f} s"
)
def cut_off_learner(context, seconds):
    group = context.group
    (name,) = group.replace([following_member(group)], 0.5)
    replica = group.nodes[name].replica
    group.run_until(lambda: not replica.blank, 4.0)
    group.isolate(name)
    group.run(seconds)
    group.heal()


@when("a following member is replaced by one that is {delay:f} s away")
def replace_by_remote(context, delay):
    group = context.group
    group.slow_delay = (delay / 2, delay)
    group.remove(following_member(group))
    group.run(0.5)
    context.new = group.add_new()
    group.slow = {context.new}


def listed_followers(group):
    """Returns the names of the following members in the order of the list."""
    leader = group.leader()
    return [m.name for m in leader.replica.members if m.name != leader.name]


@when("the last of the following members is removed")
def remove_last_listed(context):
    context.removed = listed_followers(context.group)[-1]
    context.group.remove(context.removed)


@when("a new member joins as the first of them has paused for {seconds:f} s")
def join_during_pause(context, seconds):
    group = context.group
    context.paused = listed_followers(group)[0]
    group.freeze(context.paused, seconds + 0.3)
    group.run(seconds)
    group.add_new()


def request_join(group, name, identity):
    """Asks the leader to add a member, as a process would that is not there."""
    leader = group.lease_holder()
    leader.replica.note_join(
        *(name, identity, "127.0.0.1", 1), leader.clock(group.now)
    )


@when("requests to join as it and as a new one name the identity of a voter")
def request_known_identity(context):
    group = context.group
    identity = group.nodes[following_member(group)].disk.identity
    request_join(group, context.new, identity)
    group.run(0.5)
    request_join(group, "renamed", identity)


@when("another process asks to join under its name for {seconds:f} s")
def request_live_name(context, seconds):
    group = context.group
    end = group.now + seconds
    while group.now < end:
        request_join(group, context.new, "another")
        group.run(JOIN_INTERVAL_S)


@when("it loses its disk and is back after {seconds:f} s")
def lose_disk_of_new(context, seconds):
    context.group.lose_disk(context.new)
    context.group.run(seconds)
    context.group.start(context.new)


@when("a following member is removed, and a new one starts")
def swap_follower(context):
    context.removed = following_member(context.group)
    context.group.remove(context.removed)
    context.group.add_new()


@when("the leader hands over each {interval:f} s for {seconds:f} s")
def hand_over_repeatedly(context, interval, seconds):
    group = context.group
    end = group.now + seconds
    while group.now < end:
        group.run(interval)
        for node in group.running():
            group.transfer_leadership(node.name)


@then("the removed member does not vote")
def check_removed(context):
    votes = {m.name for m in context.group.member_list() if m.voter}
    assert context.removed not in votes, votes


@when("a following member is cut off for {seconds:f} s and replaced")
def replace_cut_off(context, seconds):
    group = context.group
    context.cut_off = following_member(group)
    new = group.add_new()
    for other in group.nodes.keys() - {context.cut_off}:
        group.block_link(context.cut_off, other)
    group.run(seconds)
    votes = {m.name for m in group.member_list() if m.voter}
    assert new in votes and context.cut_off not in votes, votes
    group.heal()


@then(
    "the group has {count:d} voters, and the one that was cut off is a learner"
)
def check_rejoined(context, count):
    members = context.group.member_list()
    assert sum(m.voter for m in members) == count, members
    learners = [m.name for m in members if not m.voter]
    assert learners == [context.cut_off], learners


@when("it is cut off for {seconds:f} s together with a following member")
def cut_off_with_follower(context, seconds):
    group = context.group
    for name in (context.new, following_member(group)):
        group.isolate(name)
    group.run(seconds)
    group.heal()
    group.run(3.0)


@when("a following member restarts")
def restart_follower(context):
    context.restarted = following_member(context.group)
    context.group.crash(context.restarted)
    context.group.start(context.restarted)


@then("it knows no group before it hears from a leader")
def check_no_group(context):
    replica = context.group.nodes[context.restarted].replica
    assert not replica.knows_group
    context.group.run(0.5)
    assert replica.knows_group


@when("a following member is removed")
def remove_follower(context):
    context.group.remove(following_member(context.group))


@when("{count:d} members that are gone are in the list as learners")
def list_gone_learners(context, count):
    group = context.group
    for number in range(count):
        request_join(group, f"gone {number}", f"identity {number}")
    group.run(1.0)
    assert len(group.member_list()) == 5 + count


@when("{count:d} spare members join")
def join_spares(context, count):
    for _ in range(count):
        context.group.add_new()


@when("a following member says that it stops")
def say_stop(context):
    group = context.group
    context.stopping = following_member(group)
    leader = group.leader()
    identity = group.nodes[context.stopping].disk.identity
    leader.replica.note_leave(identity, leader.clock(group.now))


@then("the spare member votes in its place within {limit:f} s")
def check_spare_votes(context, limit):
    group = context.group

    def spare_votes():
        replica = group.leader().replica
        voters = {m.name for m in replica.members if m.voter}
        takes_over = context.new in voters and context.stopping not in voters
        return takes_over and not replica.members_pending

    group.run_until(spare_votes, limit)


@when("the member that said so and two others are lost")
def lose_stopped_and_two(context):
    group = context.group
    kept = {context.new, context.stopping, group.leader().name}
    others = [name for name in group.nodes if name not in kept]
    for name in (context.stopping, *others[:2]):
        group.remove(name)


@when("a spare member joins")
def join_spare(context):
    context.new = context.group.add_new()
    context.group.run(1.0)


@when("all links take {seconds:f} s")
def delay_links(context, seconds):
    context.group.delay = (0.9 * seconds, seconds)


@when("the leader stands still {times:d} times for {low:f} to {high:f} s")
def pause_leader(context, times, low, high):
    group = context.group
    for _ in range(times):
        pause_s = group.random.uniform(low, high)
        group.freeze(group.leader().name, pause_s)
        group.run(pause_s + 3.0)


@when(
    "a following member is replaced, and the new one first answers"
    " {seconds:f} s after it was added"
)
def replace_by_late(context, seconds):
    group = context.group
    (context.new,) = group.replace([following_member(group)], 0.5)
    group.run_until(lambda: is_listed(group, context.new), 4.0)
    group.freeze(context.new, seconds)


def is_listed(group, name):
    return any(m.name == name for m in group.leader().replica.members)


@when("three of them stop, the leader among them")
def stop_majority(context):
    group = context.group
    leader = group.leader().name
    others = [name for name in group.nodes if name != leader]
    for name in (leader, *others[:2]):
        group.crash(name)


@when(
    "the leader and another member stop, and a third one after it has answered"
)
def stop_one_after_another(context):
    group = context.group
    leader = group.leader().name
    other, third, *_ = (name for name in group.nodes if name != leader)
    group.crash(leader)
    group.crash(other)
    left = [n for n in group.running() if n.name != third]
    group.run_until(
        lambda: any(
            third in n.replica.election_report().answered for n in left
        ),
        4.0,
    )
    group.crash(third)
    context.third = third


@when("{seconds:f} s pass")
def pass_time(context, seconds):
    context.group.run(seconds)


@then("all members are voters within {limit:f} s")
def check_all_voters(context, limit):
    context.group.run_until(context.group.membership_repaired, limit)


@then("the new member was added {count:d} time")
def check_added(context, count):
    added = [
        change
        for change in context.group.changes
        if change.kind is MemberChangeKind.JOINING_ADDED
        and change.member.name == context.new
    ]
    assert len(added) == count, f"{len(added)} times"


@then("the list of members has changed {count:d} times")
def check_member_entries(context, count):
    context.group.run(1.0)
    changed = context.group.member_entries() - context.entries_before
    assert changed == count, f"{changed} changes"


@then(
    "in {runs:d} runs of {rounds:d} rounds all members are voters within 4.0 s"
    " of each start"
)
def check_series(context, runs, rounds):
    for seed in range(runs):
        group = JoiningGroup(5, seed)
        group.wait_for_leader()
        group.run(22.0)
        try:
            replace_in_series(group, rounds, 2, random.Random(seed))
        except AssertionError as exc:
            raise AssertionError(f"seed {seed}: {exc}") from exc


@then(
    "in {runs:d} runs no lost leader votes {limit:f} s after the start of the"
    " new member"
)
def check_lost_leaders(context, runs, limit):
    for seed in range(runs):
        group = JoiningGroup(5, seed)
        group.wait_for_leader()
        group.run(20.0)
        try:
            lost, started_at = lose_two_leaders(group, random.Random(seed))
            group.run(started_at + limit - group.now)
            votes = [m.name for m in group.member_list() if m.voter]
            assert lost not in votes, f"{lost} votes"
        except AssertionError as exc:
            raise AssertionError(f"seed {seed}: {exc}") from exc


@then("the removed member does not vote, and the paused one does")
def check_longest_absent(context):
    check_removed(context)
    votes = {m.name for m in context.group.member_list() if m.voter}
    assert context.paused in votes, votes


@then("{runs:d} seeded schedules of member faults keep the group whole")
def check_member_faults(context, runs):
    for seed in (*range(runs), *FOUND_SEEDS):
        run_member_faults(seed)


@then("the changes were {kinds}")
def check_changes(context, kinds):
    told = [change.kind.value for change in context.group.changes]
    assert told == kinds.split(", "), told


@then(
    "a member that is left tells that {answered:d} of {count:d} voters answer"
)
def check_election_report(context, answered, count):
    (node, *_) = context.group.running()
    report = node.replica.election_report()
    assert len(report.voters) == count, report
    # Its own vote is no answer of another voter.
    assert len(report.answered) + 1 == answered, report


@then("no member that is left tells that the third one answers")
def check_forgotten_answer(context):
    for node in context.group.running():
        report = node.replica.election_report()
        assert context.third not in report.answered, report


@when("it and a following member answer {low:f} to {high:f} s late")
def slow_down_two(context, low, high):
    group = context.group
    spare = next(m.name for m in group.leader().replica.members if not m.voter)
    group.slow_delay = (low / 2, high / 2)
    group.slow = {spare, following_member(group)}


@then("the list of members has changed at most {count:d} times")
def check_few_member_entries(context, count):
    changed = context.group.member_entries() - context.entries_before
    assert changed <= count, f"{changed} changes"
