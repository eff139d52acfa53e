"""Steps for customer quotas in virtual time."""

import json
import math

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as given_data
from hypothesis import strategies as st

from adapter.configuration import read_deployment
from adapter.headers import PlatformDialect
from features.quota_world import QuotaWorld
from knapweedarch.exceptions import DocumentError
from knapweedarch.http_messages import Request
from knapweedarch.quota_messages import (
    QuotaAsk,
    QuotaDemand,
    QuotaGrant,
    QuotaShare,
    WeightRun,
)
from knapweedarch.quota_mint import QuotaMint
from knapweedarch.quota_rights import MintingRights
from knapweedarch.quota_shares import Decision, QuotaShares
from knapweedarch.quotas import (
    Quota,
    QuotaBounds,
    create_plan,
    customer_digest,
    request_weight,
)

BOUNDS = QuotaBounds(8.0, 0.1, 11_000.0)
# The quota is measured after the start, at which buckets are empty.
WARM_S = 5.0
START_S = 0.5
NAME = "huts"


def read_weights(text):
    return [float(part) for part in text.split(",")]


def create_choice(world, pattern):
    """Returns the function that chooses the proxy of a request."""
    count = len(world.proxies)
    return {
        "even": lambda time: world.random.randrange(count),
        "moving": lambda time: int(time) * 7 % count,
        "single": lambda time: 0,
    }[pattern]


def heaviest(world):
    return max(outcome.weight for outcome in world.outcomes)


def check_bound(world):
    assert world.largest_window() <= world.bound(), world.largest_window()


def check_used(world, begin, end):
    """Checks the use of the quota; one request may fall beyond the end."""
    rate = world.quotas[NAME].rate_per_s
    used = world.allowed(begin, end) + heaviest(world)
    assert used >= 0.97 * rate * (end - begin), used / rate / (end - begin)


@given(
    "{proxies:d} proxies, {members:d} members and a quota of {rate:d} tokens a"
    " second"
)
def create_world(context, proxies, members, rate):
    context.shape = (proxies, members)
    context.quota = Quota(float(rate))
    context.world = QuotaWorld(context.quota, BOUNDS, proxies, members)


@given("a burst of {burst:d} tokens")
def add_burst(context, burst):
    quota = Quota(context.quota.rate_per_s, float(burst))
    context.quota = quota
    context.world = QuotaWorld(quota, BOUNDS, *context.shape)


@when(
    "{factor:d} times the quota is requested for {seconds:d} s, {pattern}, in"
    " requests of {weights} tokens"
)
def request_over(context, factor, seconds, pattern, weights):
    world, rate = context.world, context.quota.rate_per_s
    context.seconds = seconds
    choose = create_choice(world, pattern)
    world.demand(START_S, seconds, factor * rate, read_weights(weights), choose)
    world.run(seconds)


@then("no window exceeds the bound")
def check_windows(context):
    check_bound(context.world)


@then("at least 0.97 of the quota is used")
def check_use(context):
    check_used(context.world, WARM_S, context.seconds)


@then("no proxy sends more than {count:d} questions a second")
def check_questions(context, count):
    most = max(context.world.asks.values())
    assert most <= count * context.seconds, most


@when(
    "{factor:g} of the quota is requested, {pattern}, in requests of {weights}"
    " tokens, with a pause of {pause:d} s"
)
def request_with_pause(context, factor, pattern, weights, pause):
    world, rate = context.world, context.quota.rate_per_s
    choose = create_choice(world, pattern)
    fits = (0.95 * rate, context.quota.burst)
    # The buckets fill once before.
    for begin in (2.0, 14.0 + pause):
        world.demand(
            *(begin, begin + 12.0, factor * rate),
            *(read_weights(weights), choose, fits),
        )
    world.run(27.0 + pause)


@then("no request is refused")
def check_none_refused(context):
    outcomes = context.world.outcomes
    bad = [o for o in outcomes if o.decision is not Decision.ALLOWED]
    assert outcomes
    assert not bad, (len(bad), len(outcomes), bad[0])


@then("half of the requests wait less than {limit:g} s")
def check_waits(context, limit):
    waits = sorted(outcome.waited_s for outcome in context.world.outcomes)
    assert waits[len(waits) // 2] < limit, waits[len(waits) // 2]


@when("{factor:g} of the quota is requested while {fault} for {seconds:d} s")
def request_under_fault(context, factor, fault, seconds):
    world, rate = context.world, context.quota.rate_per_s
    choose = create_choice(world, "even")
    fits = (0.95 * factor * rate, context.quota.burst / 2)
    world.demand(2.0, 20.0, factor * rate, [90.0, 900.0], choose, fits)
    match fault:
        case "there is no leader":
            world.at(8.0, setattr, world, "has_leader", False)
            world.at(8.0 + seconds, setattr, world, "has_leader", True)
        case "a member is frozen":
            until = 8.0 + seconds
            world.at(8.0, setattr, world.members[2], "frozen_until", until)
    world.run(21.0)


@when(
    "twice the quota is requested for {seconds:d} s and there is no leader from"
    " {begin:d} s to {end:d} s"
)
def request_without_leader(context, seconds, begin, end):
    world, rate = context.world, context.quota.rate_per_s
    choose = create_choice(world, "even")
    world.demand(START_S, seconds, 2 * rate, [90.0, 900.0], choose)
    world.at(begin, setattr, world, "has_leader", False)
    world.at(end, setattr, world, "has_leader", True)
    world.run(seconds)


@then("from {begin:g} s to {end:g} s every request gets 503")
def check_unavailable(context, begin, end):
    decisions = {
        o.decision for o in context.world.outcomes if begin <= o.at < end
    }
    assert decisions == {Decision.UNAVAILABLE}, decisions


@then("from {begin:g} s to {end:g} s requests are allowed")
def check_allowed(context, begin, end):
    assert context.world.allowed(begin, end) > 0


@then("from {begin:d} s to {end:d} s at least 0.97 of the quota is used")
def check_use_between(context, begin, end):
    check_used(context.world, begin, end)


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                *("lose", "cut", "cut proxy", "freeze proxy", "freeze member"),
                *("restart proxy", "restart member", "restart all", "join"),
                *("replace", "no leader"),
            )
        ),
        st.floats(1.0, 14.0),
        st.floats(0.01, 4.0),
        st.integers(0, 1_000),
    ),
    min_size=1,
    max_size=8,
)


def inject(world, kind, seconds, number):
    """Lets a fault happen now, for a time where it lasts."""
    proxy = world.proxies[number % len(world.proxies)]
    member = world.members[number % len(world.members)]
    end = world.now + seconds
    match kind:
        case "lose":
            world.loss = 0.3
            world.at(end, setattr, world, "loss", 0.0)
        case "cut":
            other = (member.number + 1) % len(world.members)
            pair = frozenset((member.number, other))
            world.cut_members.add(pair)
            world.at(end, world.cut_members.discard, pair)
        case "cut proxy":
            proxy.is_cut = True
            world.at(end, setattr, proxy, "is_cut", False)
        case "freeze proxy":
            proxy.frozen_until = end
        case "freeze member":
            member.frozen_until = end
        case "restart proxy":
            world.restart_proxy(proxy.number)
        case "restart member":
            world.restart_member(member.number)
        case "restart all":
            restart_all(world)
        case "join":
            world.add_proxy()
        case "replace" if len(world.members) == len(world.voters):
            world.replace_member(member.number)
        case "no leader":
            world.has_leader = False
            world.at(end, setattr, world, "has_leader", True)


def restart_all(world):
    for member in list(world.members):
        world.restart_member(member.number)
    for proxy in list(world.proxies):
        world.restart_proxy(proxy.number)


@then("no window exceeds the bound whatever happens in {examples:d} examples")
def check_any_fault(context, examples):
    proxies, members = context.shape

    @settings(
        max_examples=examples,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_data(FAULTS, st.sampled_from(("even", "moving", "single")))
    def check(faults, pattern):
        world = QuotaWorld(context.quota, BOUNDS, proxies, members)
        choose = create_choice(world, pattern)
        rate = 5 * context.quota.rate_per_s
        world.demand(START_S, 20.0, rate, [90.0, 900.0, 4_000.0], choose)
        for kind, at, seconds, number in faults:
            world.at(at, inject, world, kind, seconds, number)
        world.run(21.0)
        check_bound(world)

    check()


@when(
    "{rate:d} tokens a second are requested and the quota is {lowered:d} a"
    " second from {at:d} s on"
)
def lower_quota(context, rate, lowered, at):
    world = context.world
    world.demand(
        *(START_S, 30.0, float(rate), [90.0, 900.0]),
        create_choice(world, "even"),
    )
    world.at(at, world.set_quota, Quota(float(lowered)))
    world.run(30.0)


@then(
    "windows that begin after {at:d} s keep within the bound of {rate:d} a"
    " second"
)
def check_lowered(context, at, rate):
    world = context.world
    world.outcomes = [o for o in world.outcomes if o.at >= at]
    check_bound(world)
    assert world.allowed(at + 8, 30.0) >= 0.97 * rate * (22 - at)


@when("half of the quota is requested and members learn of it {late:g} s late")
def learn_late(context, late):
    world, rate = context.world, context.quota.rate_per_s
    for member in world.members:
        member.mint.set_quotas({}, 0.0)
        world.at(1.0 + late, member.mint.set_quotas, world.quotas, 1.0 + late)
    choose = create_choice(world, "even")
    world.demand(1.0, 5.0, rate / 2, [100.0], choose)
    world.run(6.0)


@when(
    "{factor:d} times the quota is requested for {seconds:d} s and a member is"
    " replaced at {at:d} s"
)
def replace_member(context, factor, seconds, at):
    world, rate = context.world, context.quota.rate_per_s
    choose = create_choice(world, "even")
    world.demand(START_S, seconds, factor * rate, [90.0, 900.0], choose)
    world.at(at, world.replace_member, 1)
    # The proxies leave the old member at last.
    world.at(at + 12, move_proxies, world, 1, 0)
    world.run(seconds)


def move_proxies(world, old, new):
    for proxy in world.proxies:
        if proxy.member == old:
            proxy.member = new


@when(
    "twice the quota is requested for {seconds:d} s and all processes restart"
    " at {at:d} s"
)
def restart_everything(context, seconds, at):
    world, rate = context.world, context.quota.rate_per_s
    choose = create_choice(world, "even")
    world.demand(START_S, seconds, 2 * rate, [90.0, 900.0], choose)
    world.at(at, restart_all, world)
    world.run(seconds)


@given("a proxy with quotas of {count:d} customers")
def create_shares(context, count):
    context.names = [f"customer-{i}" for i in range(count)]
    context.shares = QuotaShares(BOUNDS)
    context.shares.set_quotas(dict.fromkeys(context.names, Quota(100.0)))


@then("it has no questions")
def check_no_questions(context):
    assert not context.shares.has_questions
    assert context.shares.take_ask(1.0) is None


@when("requests of {count:d} customers arrive within 20 ms")
def request_of_many(context, count):
    for place, name in enumerate(context.names[:count]):
        context.shares.spend(name, 1.0, 1.0 + place * 0.0001)


@then("its questions hold at most {most:d} customers each")
def check_question_sizes(context, most):
    sizes = []
    while ask := context.shares.take_ask(1.02):
        sizes.append(len(ask.demands))
    assert max(sizes) <= most and sum(sizes) == 100, sizes


def create_single(context):
    context.shares = QuotaShares(BOUNDS)
    context.shares.set_quotas({NAME: Quota(1_000.0)})
    context.tickets = []


def spend(context, now, weight=100.0):
    ticket = context.shares.spend(NAME, weight, now)
    context.tickets.append(ticket)
    return ticket


def grant(context, number, tokens, now):
    share = QuotaShare(customer_digest(NAME), tokens)
    context.shares.receive(QuotaGrant(number, (share,)), now)


@given("a proxy with {tokens:d} tokens of one customer")
def create_proxy_with_tokens(context, tokens):
    create_single(context)
    ticket = spend(context, 0.0, 1.0)
    ask = context.shares.take_ask(0.0)
    grant(context, ask.number, tokens + 1.0, 0.01)
    assert ticket.decision is Decision.ALLOWED


@then(
    "{count:d} requests of {weight:d} tokens are allowed at once and the sixth"
    " waits"
)
def check_local_tokens(context, count, weight):
    decisions = [
        spend(context, 0.02, float(weight)).decision for _ in range(count + 1)
    ]
    assert decisions == [Decision.ALLOWED] * count + [Decision.WAITING]


@given("a proxy at which {count:d} requests of {weight:d} tokens wait")
def create_waiting(context, count, weight):
    create_single(context)
    for _ in range(count):
        spend(context, 0.0, float(weight))
    context.ask = context.shares.take_ask(0.0)


@when("the first leaves and {tokens:d} tokens are granted")
def leave_and_grant(context, tokens):
    context.shares.cancel(context.tickets[0], 0.005)
    grant(context, context.ask.number, float(tokens), 0.01)


@then("the two others are allowed and no tokens are left")
def check_others_allowed(context):
    others = [ticket.decision for ticket in context.tickets[1:]]
    assert others == [Decision.ALLOWED] * 2, others
    assert spend(context, 0.02, 1.0).decision is Decision.WAITING


@when("a request of {weight:d} tokens is allowed and refunded")
def refund_at_once(context, weight):
    ticket = spend(context, 0.02, float(weight))
    assert ticket.decision is Decision.ALLOWED
    context.shares.refund(ticket, 0.03)
    context.shares.refund(ticket, 0.03)


@then("another request of {weight:d} tokens is allowed")
def check_another(context, weight):
    ticket = spend(context, 0.04, float(weight))
    assert ticket.decision is Decision.ALLOWED


@when("that is refunded {seconds:d} s later")
def refund_late(context, seconds):
    context.shares.refund(context.tickets[-1], 0.04 + seconds)


@then("the next request of {weight:d} tokens waits")
def check_next_waits(context, weight):
    assert spend(context, 3.0, float(weight)).decision is Decision.WAITING


@when("{tokens:d} tokens are granted twice")
def grant_twice(context, tokens):
    grant(context, context.ask.number, float(tokens), 0.01)
    grant(context, context.ask.number, float(tokens), 0.01)


@when("{tokens:d} tokens are granted under an unknown number")
def grant_unknown(context, tokens):
    grant(context, context.ask.number + 7, float(tokens), 0.01)


@then("{tokens:d} tokens are left")
def check_tokens_left(context, tokens):
    ticket = spend(context, 0.02, float(tokens))
    assert ticket.decision is Decision.ALLOWED
    assert spend(context, 0.02, 1.0).decision is Decision.WAITING
    context.shares.refund(ticket, 0.02)
    for waiting in context.tickets[-1:]:
        context.shares.cancel(waiting, 0.02)


@when("{tokens:d} tokens are granted {late:g} s after the question")
def grant_late(context, tokens, late):
    grant(context, context.ask.number, float(tokens), late)


@then("a request of {weight:d} tokens is allowed {late:g} s after the question")
def check_allowed_late(context, weight, late):
    assert spend(context, late, float(weight)).decision is Decision.ALLOWED


@then("a request of {weight:d} tokens waits {late:g} s after the question")
def check_waits_late(context, weight, late):
    assert spend(context, late, float(weight)).decision is Decision.WAITING


@when("{tokens:d} tokens are granted {late:g} s after the next question")
def grant_after_next(context, tokens, late):
    ask = context.shares.take_ask(1.0)
    grant(context, ask.number, float(tokens), 1.0 + late)


@then("a request of {weight:d} tokens waits {late:g} s after that question")
def check_waits_after_next(context, weight, late):
    ticket = spend(context, 1.0 + late, float(weight))
    assert ticket.decision is Decision.WAITING


@then("from {begin:g} s to {end:g} s at most {most:d} tokens are allowed")
def check_most_allowed(context, begin, end, most):
    allowed = context.world.allowed(begin, end)
    assert allowed <= most, allowed


@given(
    "the quota {rate:g} a second with burst {burst:g}, window {window:g}, over"
    " {over:g} and slack {slack:g}"
)
def create_quota_plan(context, rate, burst, window, over, slack):
    context.quota = Quota(rate, burst)
    context.bounds = QuotaBounds(window, over, slack)
    context.quota_plan = create_plan(context.quota, context.bounds)


@then("its depth is at least 1 and its windows keep within the bound")
def check_plan(context):
    plan, quota, bounds = context.quota_plan, context.quota, context.bounds
    lifetime_s = plan.share_s + plan.loan_s
    most = plan.rate_per_s * (bounds.window_s + lifetime_s) + plan.deepest
    normal = quota.rate_per_s * bounds.window_s + quota.burst
    assert plan.depth >= 1 and plan.depth_for(1e9) <= plan.deepest
    assert lifetime_s <= 1.0
    assert most <= normal * (1 + bounds.over) + bounds.slack + 1e-6, most


@then("a member refuses infinite, negative and undefined weights")
def check_malformed(context):
    mint = QuotaMint(BOUNDS)
    mint.set_quotas({NAME: Quota(100.0)}, 0.0)
    digest = customer_digest(NAME)
    for weight in (math.inf, -1.0, math.nan):
        demand = QuotaDemand(digest, (WeightRun(weight, 1),))
        try:
            mint.receive_ask("proxy", QuotaAsk(1, (demand,)), 0.0)
        except ValueError:
            continue
        raise AssertionError(f"{weight} is taken")
    assert not mint.take_grants()


def read_voters(text):
    return frozenset() if text == "none" else frozenset(text.split(","))


@given("a member that has known the voters {before}")
def create_rights(context, before):
    context.rights = MintingRights("a")
    context.rights.note_group(read_voters(before), 0.0)


@when("it learns of the voters {after}")
def learn_voters(context, after):
    context.rights.note_group(read_voters(after), 100.0)
    context.rights.note_leader(100.0)


@then("it mints {at_once:g} at once and {later:g} after 6 s")
def check_rights(context, at_once, later):
    now = context.rights.current(100.0).fraction
    assert abs(now - at_once) < 0.001, now
    context.rights.note_leader(106.1)
    now = context.rights.current(106.1).fraction
    assert abs(now - later) < 0.001, now


@then("it mints nothing {seconds:d} s after it has last heard from a leader")
def check_no_rights(context, seconds):
    assert context.rights.current(106.1 + seconds).fraction == 0.0


def read_customer(text):
    """Reads a configuration whose only customer has these fields."""
    customer = f'{{"name": "{NAME}", "apiKeys": ["k"], {text[1:]}'
    if text == "{}":
        customer = f'{{"name": "{NAME}", "apiKeys": ["k"]}}'
    body = (
        '{"version": 1, "routes": [], "services": [], '
        f'"tenants": [{customer}]}}'
    )
    return read_deployment(body.encode())


@given("a customer whose quota is {text}")
def set_quota_text(context, text):
    context.quota_text = text


@given("a customer with a rate of {count:d} digits")
def set_long_rate(context, count):
    context.quota_text = json.dumps({"ratePerS": 10 ** (count - 1)})


@then("the configuration is refused and the fault names {field}")
def check_refused_field(context, field):
    try:
        read_customer(context.quota_text)
    except DocumentError as exc:
        assert field in str(exc), exc
        return
    raise AssertionError("the configuration is accepted")


@then("a request of {tokens} tokens weighs {weight}")
def check_weight(context, tokens, weight):
    quota = read_customer(context.quota_text).customers[0].quota
    if weight == "none":
        assert quota is None, quota
        return
    named = None if tokens == "none" else int(tokens)
    assert request_weight(quota, named) == float(weight)


@then("the header {header} names {tokens} tokens")
def check_header(context, header, tokens):
    headers = [(b"x-knapweedarch-token-count", header.encode())]
    if header == "none":
        headers = []
    req = Request(
        method=b"POST",
        target=b"/x",
        headers=tuple(headers),
        body=b"",
        began_at=0.0,
    )
    found = PlatformDialect().read_options(req).tokens
    assert found == (None if tokens == "none" else int(tokens)), found
