"""Steps for reports of usage through a member, without network."""

import random

from behave import given, then, when

from knapweedarch.control_messages import CONTROL
from knapweedarch.customer_usage import CustomerUsage
from knapweedarch.member_relay import FLUSH_INTERVAL_S, MemberRelay
from knapweedarch.metrics import create_metrics
from knapweedarch.relay_messages import (
    ACCEPTED_MESSAGES,
    Subscribe,
    Subscribed,
)
from knapweedarch.timers import ManualClock, Timers
from knapweedarch.usage_messages import (
    OFFERED_TOTAL,
    UsageReport,
    unpack_usage,
    usage_digest,
)

REPORT_STEPS = 5
POOL = 9


class RecordingLink:
    """A link that keeps the reports of usage that are sent on it."""

    peer = "test"

    def __init__(self) -> None:
        self.reports: list[UsageReport] = []
        self.bytes = 0
        self.is_closed = False

    def send(self, message: object) -> None:
        """Encodes and keeps a message."""
        self.send_encoded(CONTROL.encode(message))

    def send_encoded(self, message: bytes) -> None:
        """Keeps a message if it is a report of usage."""
        decoded = CONTROL.decode(message)
        if isinstance(decoded, UsageReport):
            self.reports.append(decoded)
            self.bytes += len(message)

    def close(self) -> None:
        """Records that the link is closed."""
        self.is_closed = True


@given("a member with {routers:d} routers, of which one is of an older build")
def given_member(context, routers):
    context.clock = ManualClock()
    context.timers = Timers(context.clock)
    context.relay = MemberRelay(
        *("m0", "z0", context.clock, create_metrics(None, 0, "m0"), None)
    )
    context.relay.start(None, context.timers)
    context.links = [RecordingLink() for _ in range(routers)]
    context.old_router = context.links[-1]
    for number, link in enumerate(context.links):
        accepts = () if link is context.old_router else ACCEPTED_MESSAGES
        context.relay.handle(
            link, Subscribe(f"router-{number}", "z0", accepts=accepts)
        )


@given("a further member that takes reports of usage, and an older one")
def given_members(context):
    context.new_member, context.old_member = RecordingLink(), RecordingLink()
    for name, link, accepts in (
        ("m1", context.new_member, ACCEPTED_MESSAGES),
        ("m2", context.old_member, ()),
    ):
        context.relay.subscribe_to(name, link)
        context.relay.handle(link, Subscribed(name, "z1", accepts=accepts))


@when(
    "the routers report the usage of {customers:d} customers for {seconds:d} s"
)
def report_usage(context, customers, seconds):
    rng, context.seconds, context.reported = random.Random(2), seconds, 0
    digests = [usage_digest("customer", n) for n in range(customers)]
    usages = [CustomerUsage() for _ in context.links[:-1]]
    # One more flush interval passes the last reports on.
    for step in range(round(seconds / FLUSH_INTERVAL_S) + 2 * REPORT_STEPS):
        now = context.clock.time
        is_over = step >= round(seconds / FLUSH_INTERVAL_S)
        for number, usage in enumerate(usages):
            if is_over:
                break
            usage.record_offered(POOL, rng.choice(digests), 6_400, now)
            context.reported += 6_400
            if step % REPORT_STEPS == REPORT_STEPS - 1:
                context.relay.handle(context.links[number], usage.take_report())
        context.clock.time += FLUSH_INTERVAL_S
        context.timers.fire()


@then(
    "each router that takes it receives at most {most:d} bytes of usage a"
    " second"
)
def check_bytes(context, most):
    received = [link.bytes / context.seconds for link in context.links[:-1]]
    assert min(received) > 0 and max(received) <= most, received


@then("the older router and the older member receive none")
def check_older(context):
    assert not context.old_router.reports
    assert not context.old_member.reports


@then("the other member receives what the routers reported")
def check_member(context):
    total = sum(
        entry.work
        for report in context.new_member.reports
        for entry in unpack_usage(report.packed)
        if entry.customer == OFFERED_TOTAL
    )
    # Large work is rounded to 1 in 8,192.
    assert abs(total / context.reported - 1) < 1 / 8_192, (
        total,
        context.reported,
    )


@when("a router sends a malformed report of usage")
def send_malformed(context):
    context.relay.handle(context.links[0], UsageReport(b"\x00" * 11))


@then("its link is closed")
def check_closed(context):
    assert context.links[0].is_closed
