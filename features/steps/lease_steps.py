"""Steps for router leases."""

from behave import given, then, when

from knapweedarch.leases import Lease, LeaseTable


@given("a lease table of a leader elected at {at:f} s")
def new_table(context, at):
    context.leases = LeaseTable(at)


@then("index {index:d} is not in force at {at:f} s")
def not_in_force(context, index, at):
    assert not context.leases.in_force(index, at)


@then("index {index:d} is in force at {at:f} s")
def in_force(context, index, at):
    assert context.leases.in_force(index, at)


@given("a router that sent a renewal at {at:f} s")
def renewal_sent(context, at):
    context.lease, context.requested_at = Lease(), at


@when("the grant of {duration:f} s arrives at {at:f} s")
def grant_arrives(context, duration, at):
    context.lease.granted(context.requested_at, duration, at)


@then("the router holds its lease at {at:f} s")
def holds(context, at):
    assert context.lease.holds(at)


@then("the router does not hold its lease at {at:f} s")
def does_not_hold(context, at):
    assert not context.lease.holds(at)
