"""Steps for the replicated log."""

import pathlib
import random
import time

import attrs
from behave import given, then, when

from features.checked_group import CheckedGroup
from features.replication_faults import (
    OUTCOMES,
    VARIANTS,
    change_until_applied,
    fill_disks,
    random_schedule,
    run_schedule,
)
from knapweedarch.exceptions import (
    MembershipError,
    NotLeaderError,
    ReplicaError,
)
from knapweedarch.replica import Member

# Close to the longest time that may pass between two ticks.
COARSE_STEP_S = 0.045


@given("3 replicas")
def three_replicas(context):
    compacting_replicas(context, 0)


@given("5 replicas")
def five_replicas(context):
    context.group = CheckedGroup("abcde", seed=1)
    context.group.wait_for_leader()


@when("all replicas crash and start again within {spread:f} s")
def restart_all(context, spread):
    restart(context, list(context.group.nodes), spread)


@when(
    "all replicas but the leading one crash and start again within {spread:f} s"
)
def restart_all_but_leader(context, spread):
    context.leader, *others = context.group.wait_for_leader()
    # The isolated leader continues to rely on its lease.
    context.group.isolate(context.leader)
    restart(context, others, spread)


def restart(context, names, spread):
    for name in names:
        context.group.crash(name)
    for name in names:
        context.group.start(name)
        context.group.run(spread / len(names))


@then("a replica holds the leader lease within {limit:f} s of the last start")
def lease_is_held(context, limit):
    context.group.run_until(context.group.lease_holder, limit)


@then(
    "no other replica holds the leader lease within {limit:f} s of the last"
    " start"
)
def no_other_lease_holder(context, limit):
    end = context.group.now + limit
    while context.group.now < end:
        context.group.step()
        holder = context.group.lease_holder()
        assert holder is None or holder.name == context.leader, holder.name


@given("3 replicas that compact every {count:d} log entries")
def compacting_replicas(context, count):
    context.group = CheckedGroup(seed=1)
    context.group.compact_interval = count
    context.group.wait_for_leader()


@given(
    "{loss:d}% of the replicas' messages are lost and {duplicated:d}% are"
    " duplicated"
)
def set_message_loss(context, loss, duplicated):
    context.group.record_message_sizes = True
    context.group.loss, context.group.duplication = loss / 100, duplicated / 100


@when("{count:d} log entries are proposed over {seconds:f} s")
def propose(context, count, seconds):
    propose_entries_of_size(context, count, 8, seconds)


@when("{count:d} log entries of {size:d} bytes are proposed over {seconds:f} s")
def propose_entries_of_size(context, count, size, seconds):
    for number in range(count):
        context.group.propose(f"{number:08}".encode() * (size // 8))
        context.group.run(seconds / count)


@then("every replica has applied {count:d} log entries")
def all_applied(context, count):
    nodes = context.group.nodes.values()
    context.group.run_until(
        lambda: all(len(n.state) == count for n in nodes), 8.0
    )
    assert all(n.state == context.group.nodes["a"].state for n in nodes)


@then("no replica's message was larger than {size:d} bytes")
def check_largest_message(context, size):
    assert 0 < context.group.largest_message <= size


@when("the {role} replica {fault}")
def inject_fault(context, role, fault):
    group = context.group
    leader, follower, _ = group.wait_for_leader()
    name = leader if role == "leading" else follower
    context.leader, node = leader, group.nodes[name]
    match fault:
        case "crashes":
            group.crash(name)
        case "is isolated":
            group.isolate(name)
        case "is frozen for 3 s":
            group.freeze(name, 3.0)
        case "loses its disk":
            group.lose_disk(name)
            group.start(name)
        case "loses synced entries":
            group.crash(name)
            del node.disk.entries[-5:]
            group.start(name)
        case "runs on another disk until it is a learner":
            disk = node.disk
            group.lose_disk(name)
            group.start(name)
            replica = group.nodes[leader].replica
            group.run_until(lambda: len(replica.members) == 4, 5.0)
            group.crash(name)
            node.disk = disk
            group.start(name)
        case "transfers its leadership":
            assert group.transfer_leadership(name)
        case "removes itself from the list":
            members = node.replica.members
            others = tuple(m for m in members if m.name != name)
            node.replica.propose_members(others, node.clock(group.now))
        case _:
            raise AssertionError(f"unknown fault: {fault}")


@when("the replicas' network heals")
def heal_network(context):
    context.group.heal()
    context.group.compact_interval = 0


def wait_for_other(group, leader, limit):
    def other_leads():
        holder = group.lease_holder()
        return holder is not None and holder.name != leader

    return group.run_until(other_leads, limit)


@then("another replica holds the leader lease within {limit:f} s")
def other_takes_lease(context, limit):
    wait_for_other(context.group, context.leader, limit)


@then(
    "after a crash another replica leads within {limit:f} s"
    " in {wanted:d} of {runs:d} runs"
)
def other_usually_takes_lease(context, limit, wanted, runs):
    times = []
    for seed in range(runs):
        group = CheckedGroup(seed=seed)
        leader = group.wait_for_leader()[0]
        group.crash(leader)
        times.append(wait_for_other(group, leader, 10.0))
    assert sum(t <= limit for t in times) >= wanted, sorted(times)[-10:]


@then("after {seconds:f} s only one replica says that it leads")
def only_one_leads(context, seconds):
    context.group.run(seconds)
    leading = [n for n in context.group.running() if n.replica.leader_since]
    assert len(leading) == 1


@then("it says that it does not lead the log within {limit:f} s")
def leader_steps_down(context, limit):
    replica = context.group.nodes[context.leader].replica
    context.group.run_until(lambda: replica.leader_since is None, limit)


@then(
    "all {count:d} replicas are voters under their current identities"
    " within {limit:f} s"
)
def all_voters(context, count, limit):
    assert len(context.group.nodes) == count
    context.group.run_until(context.group.membership_repaired, limit)


@when("a process with another identity uses the name of a live follower")
def impersonate_follower(context):
    leader, follower, _ = context.group.wait_for_leader()
    context.replica = context.group.nodes[leader].replica
    context.members = context.replica.members
    context.replica.note_peer(follower, "0" * 16, "127.0.0.1", 9)


@then("after {seconds:f} s the member list is unchanged")
def members_unchanged(context, seconds):
    context.group.run(seconds)
    assert context.replica.members == context.members


@when("a fourth replica is proposed")
def propose_fourth_replica(context):
    learner = context.group.add("d")
    leader = context.group.lease_holder()
    members = (*leader.replica.members, learner)
    leader.replica.propose_members(members, leader.clock(context.group.now))


@then("a following replica refuses proposals and names the leading one")
def follower_refuses(context):
    leader, follower, _ = context.group.wait_for_leader()
    try:
        context.group.nodes[follower].replica.propose(b"x", 200.0)
    except NotLeaderError as exc:
        assert exc.leader == leader
    else:
        raise AssertionError("the proposal was accepted")


@then("the leading replica refuses {what}")
def leader_refuses(context, what):
    group = context.group
    node = group.lease_holder()
    replica, now = node.replica, node.clock(group.now)
    members = replica.members
    moved = (attrs.evolve(members[0], port=members[0].port + 1), *members[1:])
    stranger = Member("d", "d" * 16, "127.0.0.1", 1, True)
    error = MembershipError
    match what:
        case "to remove two voters at once":
            call, change = replica.propose_members, members[:1]
        case "a new voter that was not a learner":
            call, change = replica.propose_members, (*members, stranger)
        case "a second change before the first commits":
            replica.propose_members(moved, now)
            call, change = replica.propose_members, members
        case "an entry of 7340033 bytes":
            call, change, error = (
                replica.propose,
                b"x" * 7_340_033,
                ReplicaError,
            )
        case "more than 20000 uncommitted entries":
            group.run(1.0)
            for _ in range(20_000):
                replica.propose(b"x", node.clock(group.now))
            call, change, error = replica.propose, b"x", ReplicaError
    try:
        call(change, node.clock(group.now))
    except error:
        return
    raise AssertionError(f"the replica accepted {what}")


@then("no replica holds the leader lease for {seconds:f} s")
def nobody_leads(context, seconds):
    end = context.group.now + seconds
    while context.group.now < end:
        context.group.step()
        assert context.group.lease_holder() is None


@given("the replicas are built {variant}")
def choose_variant(context, variant):
    context.variant = VARIANTS[variant]


@when("the replicas run the fault schedule: {schedule}")
def run_faults(context, schedule):
    context.outcomes = run_schedule(schedule, context.variant)


@then("the outcome of the schedule is: {result}")
def check_outcomes(context, result):
    assert OUTCOMES[result](context.outcomes), context.outcomes


@then(
    "{count:d} seeded fault schedules violate no invariant within {limit:d} s"
    " of CPU time"
)
def random_schedules(context, count, limit):
    start = time.process_time()
    for seed in range(count):
        random_schedule(seed)
    assert time.process_time() - start < limit


@when(
    "their disks are full for some seconds {how} in {runs:d} runs under changes"
)
def run_on_full_disks(context, how, runs):
    context.groups = []
    for seed in range(runs):
        group = CheckedGroup("abcde", seed=seed)
        group.compact_interval = 12
        group.wait_for_leader()
        fill_disks(group, how, random.Random(seed))
        context.groups.append(group)


@then(
    "a change a minute is applied within {limit:f} s for {minutes:d} minutes"
    " in each run"
)
def check_later_changes(context, limit, minutes):
    for group in context.groups:
        group.step_s = COARSE_STEP_S
        for minute in range(minutes):
            change_until_applied(group, f"late {minute}".encode(), limit)
            group.run(60.0)


@then("every replica has applied all changes in the same order")
def check_same_order(context):
    for group in context.groups:
        states = [node.state for node in group.nodes.values()]
        assert all(state == states[0] for state in states)
        assert set(states[0]) == group.applied_at.keys()


@then(
    "in {runs:d} runs with {full:d} full disks of 5, {which}, a change is"
    " applied within {limit:f} s"
)
def check_majority_goes_on(context, runs, full, which, limit):
    for seed in range(runs):
        group = CheckedGroup("abcde", seed=seed)
        leader, *others = group.wait_for_leader()
        names = others if "not of them" in which else [leader, *others]
        for name in names[:full]:
            group.fill_disk(name, 100.0)
        if full == len(group.nodes):
            group.propose(b"early")
            group.run(3.0)
            for name in random.Random(seed).sample(names, 3):
                group.nodes[name].disk_full_until = 0.0
        change_until_applied(group, b"change", limit)


@then('the example in "{page}" runs')
def example_runs(context, page):
    text = pathlib.Path(page).read_text()
    exec(text.split("```python\n")[1].split("```")[0], {})
