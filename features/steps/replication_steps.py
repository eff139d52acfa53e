"""Steps for the replicated log."""

import time

import attrs
from behave import given, then, when

from features.replication_faults import (
    SCHEDULES,
    VARIANTS,
    elected,
    random_schedule,
)
from features.replication_net import BrokenInvariantError, Net
from knapweedarch.exceptions import (
    MembershipError,
    NotLeaderError,
    ReplicaError,
)
from knapweedarch.replica import Member

RUNS_OF_A_SCHEDULE = 5


@given("3 replicas")
def three_members(context):
    context.net = Net(seed=1)


@given("3 replicas that compact each {count:d} log entries")
def compacting(context, count):
    context.net = Net(seed=2)
    context.net.compact_each = count


@given("3 replicas {variant}")
def variant_members(context, variant):
    context.variant = VARIANTS[variant]


@given("{loss:d}% of the replicas' messages are lost and {twice:d}% come twice")
def bad_network(context, loss, twice):
    context.net.measures = True
    context.net.loss, context.net.duplication = loss / 100, twice / 100


@when("{count:d} log entries are proposed over {seconds:f} s")
def propose(context, count, seconds):
    propose_sized(context, count, 8, seconds)


@when("{count:d} log entries of {size:d} bytes are proposed over {seconds:f} s")
def propose_sized(context, count, size, seconds):
    net = context.net
    net.run_until(net.lease_holder, 5.0)
    for number in range(count):
        net.propose(f"{number:08}".encode() * (size // 8))
        net.run(seconds / count)


@then("every replica has applied {count:d} log entries")
def all_applied(context, count):
    nodes = context.net.nodes.values()
    context.net.run_until(
        lambda: all(len(n.state) == count for n in nodes), 8.0
    )
    assert all(n.state == context.net.nodes["a"].state for n in nodes)


@then("no replica's message was larger than {size:d} bytes")
def largest(context, size):
    assert 0 < context.net.largest_message <= size


@when("the leading replica crashes")
def leader_crashes(context):
    context.leader = elected(context.net)[0]
    context.net.crash(context.leader)


@when("the leading replica is frozen for {seconds:f} s")
def leader_frozen(context, seconds):
    context.leader = elected(context.net)[0]
    context.net.freeze(context.leader, seconds)


@when("the leading replica is isolated")
def leader_isolated(context):
    context.leader = elected(context.net)[0]
    context.net.isolate(context.leader)


@when("a following replica is isolated")
def follower_isolated(context):
    context.net.isolate(elected(context.net)[1])


@when("the replicas' network heals")
def heals(context):
    context.net.heal()
    context.net.compact_each = 0


def other_leads(net, leader):
    holder = net.lease_holder()
    return holder is not None and holder.name != leader


@then("another replica holds the leader lease within {limit:f} s")
def other_holds(context, limit):
    net = context.net
    net.run_until(lambda: other_leads(net, context.leader), limit)


@then(
    "another replica holds the leader lease within {limit:f} s"
    " in {wanted:d} of {runs:d} runs"
)
def other_holds_often(context, limit, wanted, runs):
    times = []
    for seed in range(runs):
        net = Net(seed=seed)
        leader = elected(net)[0]
        net.crash(leader)
        times.append(
            net.run_until(lambda n=net, m=leader: other_leads(n, m), 10.0)
        )
    in_time = sum(t <= limit for t in times)
    assert in_time >= wanted, (in_time, sorted(times)[-10:])


@then("after {seconds:f} s only one replica says that it leads")
def one_leads(context, seconds):
    context.net.run(seconds)
    leading = [n for n in context.net.running() if n.replica.leader_since]
    assert len(leading) == 1


@then("it says that it does not lead the log within {limit:f} s")
def gives_up(context, limit):
    replica = context.net.nodes[context.leader].replica
    context.net.run_until(lambda: replica.leader_since is None, limit)


@when("a following replica is asked to append an entry")
def ask_follower(context):
    context.leader, follower, _ = elected(context.net)
    try:
        context.net.nodes[follower].replica.propose(b"x", 200.0)
    except NotLeaderError as exc:
        context.error = exc


@then("it refuses and names the leading replica")
def refused(context):
    assert context.error.leader == context.leader


@when("a following replica loses its disk")
def follower_loses_disk(context):
    follower = elected(context.net)[1]
    context.net.lose_disk(follower)
    context.net.start(follower)


@when("a following replica runs on another disk until it is a learner")
def disk_exchanged(context):
    net = context.net
    leader, follower, _ = elected(net)
    disk = net.nodes[follower].disk
    net.lose_disk(follower)
    net.start(follower)
    net.run_until(lambda: len(net.nodes[leader].replica.members) == 4, 5.0)
    net.crash(follower)
    net.nodes[follower].disk = disk
    net.start(follower)


@when("the leading replica loses its disk")
def leader_loses_disk(context):
    leader = elected(context.net)[0]
    context.net.lose_disk(leader)
    context.net.start(leader)


@then(
    "all {count:d} replicas are voters under their present identities"
    " within {limit:f} s"
)
def all_voters(context, count, limit):
    assert len(context.net.nodes) == count
    context.net.run_until(context.net.repaired, limit)


@when("a process with another identity uses the name of a live follower")
def name_taken(context):
    leader, follower, _ = elected(context.net)
    context.replica = context.net.nodes[leader].replica
    context.members = context.replica.members
    context.replica.note_peer(follower, "0" * 16, "127.0.0.1", 9)


@then("after {seconds:f} s the member list is unchanged")
def list_unchanged(context, seconds):
    context.net.run(seconds)
    assert context.replica.members == context.members


@when("a fourth replica is proposed")
def fourth_member(context):
    net = context.net
    learner = net.add("d")
    leader = net.lease_holder()
    members = (*leader.replica.members, learner)
    leader.replica.propose_members(members, leader.clock(net.now))


@when("the leading replica removes itself from the list")
def removes_itself(context):
    net = context.net
    context.leader = elected(net)[0]
    node = net.nodes[context.leader]
    members = tuple(m for m in node.replica.members if m.name != node.name)
    node.replica.propose_members(members, node.clock(net.now))


def refuses_members(net, members):
    node = net.lease_holder()
    try:
        node.replica.propose_members(members, node.clock(net.now))
    except MembershipError:
        return True
    return False


@then("the leading replica refuses to remove two voters at once")
def refuses_two(context):
    elected(context.net)
    members = context.net.lease_holder().replica.members
    assert refuses_members(context.net, members[:1])


@then("the leading replica refuses a new voter that was not a learner")
def refuses_voter(context):
    members = context.net.lease_holder().replica.members
    voter = Member("d", "d" * 16, "127.0.0.1", 1, True)
    assert refuses_members(context.net, (*members, voter))


@then(
    "the leading replica refuses a second change before the first is committed"
)
def refuses_second(context):
    members = context.net.lease_holder().replica.members
    moved = (attrs.evolve(members[0], port=2), *members[1:])
    assert not refuses_members(context.net, moved)
    assert refuses_members(context.net, members)


@then("no replica holds the leader lease for {seconds:f} s")
def nobody_leads(context, seconds):
    end = context.net.now + seconds
    while context.net.now < end:
        context.net.step()
        assert context.net.lease_holder() is None


def refuses_entry(net, data):
    try:
        net.propose(data)
    except ReplicaError:
        return True
    return False


@then("a log entry of {size:d} bytes is refused")
def too_large(context, size):
    elected(context.net)
    assert refuses_entry(context.net, b"x" * size)


@then(
    "the leading replica refuses more than {count:d} log entries"
    " that are not committed"
)
def too_many(context, count):
    assert not any(refuses_entry(context.net, b"x") for _ in range(count))
    assert refuses_entry(context.net, b"x")


@when("the replicas meet this: {schedule}")
def run_schedule(context, schedule):
    context.outcomes = []
    for seed in range(RUNS_OF_A_SCHEDULE):
        net = Net(seed=seed, **context.variant)
        try:
            SCHEDULES[schedule](net)
            led = net.lease_holder() is not None
            context.outcomes.append(f"{net.elections} terms, led: {led}")
        except BrokenInvariantError as exc:
            context.outcomes.append(str(exc))


def any_outcome(context, text):
    assert any(text in o for o in context.outcomes), context.outcomes


def all_outcomes(context, text):
    assert all(text in o for o in context.outcomes), context.outcomes


@then("no promise is broken")
def kept(context):
    all_outcomes(context, "terms")


@then("one replica led all the time")
def one_term(context):
    all_outcomes(context, "1 terms, led: True")


@then("the leading replica was deposed")
def deposed(context):
    assert not any(o.startswith("1 ") for o in context.outcomes)


@then("two leader leases overlap")
def overlap(context):
    any_outcome(context, "two leader leases")


@then("a committed entry is lost")
def lost(context):
    all_outcomes(context, "new leader lacks")


@then("the group elects a new leader")
def service(context):
    all_outcomes(context, "led: True")


@then("the group elects no new leader")
def no_service(context):
    all_outcomes(context, "led: False")


@then(
    "{count:d} seeded fault schedules break no promise within {limit:d} s of"
    " CPU time"
)
def random_schedules(context, count, limit):
    start = time.process_time()
    for seed in range(count):
        random_schedule(seed)
    assert time.process_time() - start < limit
