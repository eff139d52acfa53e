"""Steps for orders to runners."""

import attrs
from behave import given, then, when

from knapweedarch.leases import Lease
from knapweedarch.models import Endpoint, EndpointKind, ModelRule, Rules
from knapweedarch.orders import Entitlement, Rollout

# Duration of a weights load, in steps of 0.5 s.
LOAD_STEPS = 3


def runner(number, version="w1", checks=False):
    """Returns a runner endpoint."""
    return Endpoint(
        *(f"r{number}", f"i{number}", "http://127.0.0.1:1"),
        *(EndpointKind.RUNNER, ("guide",), version),
        checks_fencing=checks,
    )


@given(
    "a router whose lease runs until {until:f} s and that has been entitled to"
    " order since {at:f} s"
)
def entitled_router(context, until, at):
    context.lease = Lease(until, 1)
    context.entitlement = Entitlement()
    context.entitlement.record_grant(7, 1, at)


@when("the lease lapses and is granted again at {at:f} s")
def lease_lapses(context, at):
    context.lease.granted(at - 0.1, 2.0, at)


@when("the lease is renewed without a lapse until {until:f} s")
def lease_renewed(context, until):
    now = context.lease.until - 0.5
    while context.lease.until < until:
        context.lease.granted(now, 2.0, now + 0.1)
        now += 0.5


@then("it may order a runner that checks fencing numbers at {at:f} s")
def may_order(context, at):
    assert allowed(context, True, at)


@then("it may order a runner that ignores fencing numbers at {at:f} s")
def may_order_ignoring(context, at):
    assert allowed(context, False, at)


@then("it may not order a runner that ignores fencing numbers at {at:f} s")
def may_not_order_ignoring(context, at):
    assert not allowed(context, False, at)


@then("it may not order any runner at {at:f} s")
def may_not_order(context, at):
    assert not allowed(context, True, at)
    assert not allowed(context, False, at)


def allowed(context, checks, at):
    """Returns whether the router may send an order to a runner."""
    endpoint = runner(1, checks=checks)
    return context.entitlement.may_order(endpoint, context.lease, at)


@given("{count:d} runners on w1 and rules that name w2")
def runners_on_w1(context, count):
    context.runners = {f"r{n}": runner(n) for n in range(count)}
    context.rules = Rules(models=(ModelRule("guide", "w2"),))


@then("the roll-out ends with at most {max_loading:d} runners loading at once")
def roll_out_ends(context, max_loading):
    rollout, loading, most_loading, now = Rollout(), {}, 0, 0.0
    for step in range(10 * LOAD_STEPS * len(context.runners)):
        now = step * 0.5
        for endpoint_id, done_at in list(loading.items()):
            if done_at <= step:
                del loading[endpoint_id]
                context.runners[endpoint_id] = attrs.evolve(
                    context.runners[endpoint_id], weights_version="w2"
                )
        endpoints = list(context.runners.values())
        for order in rollout.next_orders(context.rules, endpoints, now):
            assert order.endpoint.id not in loading
            loading[order.endpoint.id] = step + LOAD_STEPS
        most_loading = max(most_loading, len(loading))
        if not rollout.is_needed(context.rules, endpoints):
            break
    assert not rollout.is_needed(context.rules, endpoints)
    assert 0 < most_loading <= max_loading, most_loading
