"""Steps for rule files."""

import random

from behave import given, then, when

from knapweedarch.exceptions import RuleError
from knapweedarch.rules import (
    diff_rules,
    format_rules,
    parse_rules,
    parse_steps,
)

DIGESTS = {"DIGEST_A": "a" * 64, "DIGEST_B": "b" * 64}
VALID = (
    f"customer a key=sha256:{'a' * 64} class=batch rate=5  # asked by A\n"
    "model guide version=w7 first_token=0.67  # asked by T: why\n"
    "service booking once=/deposits,/bookings timeout=5  # asked by H\n"
)


def expand_digests(text):
    for name, digest in DIGESTS.items():
        text = text.replace(name, digest)
    return text


def collect_faults(text):
    try:
        parse_rules(text, "test.rules")
    except RuleError as exc:
        return exc.faults
    return []


@given("the rule file")
def set_rule_file(context):
    context.rule_text = expand_digests(context.text)


@given("the newer rule file")
def set_newer_rule_file(context):
    context.newer_text = expand_digests(context.text)


@given("a rule file whose comment in line 1 holds U+2028 and U+000C in line 2")
def set_file_with_separators(context):
    context.rule_text = "# \u2028\n# \x0c\nbad  # asked by A\n"


@given("a rule file with CR LF line ends")
def set_file_with_crlf(context):
    context.rule_text = VALID.replace("\n", "\r\n")


@given("a rule file with {number:d} lines")
def set_file_with_lines(context, number):
    context.rule_text = "".join(
        f"model m{i}  # asked by T\n" for i in range(number)
    )


@given("a rule file with {number:d} bytes")
def set_file_with_bytes(context, number):
    context.rule_text = "#" + "é" * ((number - 1) // 2)


@given("a rule file with a line of {number:d} characters")
def set_file_with_long_line(context, number):
    context.rule_text = "#" * number


@given("{number:d} damaged rule files from seed {seed:d}")
def create_damaged_files(context, number, seed):
    rng = random.Random(seed)
    context.damaged = []
    for _ in range(number):
        characters = list(VALID)
        for _ in range(rng.randint(1, 4)):
            at = rng.randrange(len(characters))
            new = rng.choice(["", "=", "#", " ", ",", "\n", "é", "\x00", "9"])
            characters[at : at + rng.randint(0, 8)] = new
        context.damaged.append("".join(characters))


@then("the rules are accepted")
def check_rules_accepted(context):
    assert collect_faults(context.rule_text) == [], collect_faults(
        context.rule_text
    )[:5]
    context.rules = parse_rules(context.rule_text)


@then("the rules are refused with exactly")
def check_exact_faults(context):
    found = collect_faults(context.rule_text)
    assert found == context.text.split("\n"), "\n".join(found)


@then('the rules are refused with messages that omit "{text}"')
def check_value_not_repeated(context, text):
    found = collect_faults(context.rule_text)
    assert found and text not in "\n".join(found), found


@then(
    'customer "{name}" has priority {priority}, rate {rate:f}, '
    'concurrent {concurrent:d}, share {share:f} and models "{models}"'
)
def check_customer(context, name, priority, rate, concurrent, share, models):
    (rule,) = (c for c in context.rules.customers if c.name == name)
    seen = (rule.priority.name, rule.rate, rule.concurrent, rule.share)
    assert seen == (priority, rate, concurrent, share), rule
    assert rule.models == tuple(models.split(",")), rule
    assert rule.key_digest == DIGESTS["DIGEST_A"], rule


@then(
    'model "{name}" has version "{version}", first token {bound:f} s '
    'and was asked by "{asked_by}"'
)
def check_model(context, name, version, bound, asked_by):
    (rule,) = (m for m in context.rules.models if m.name == name)
    seen = (rule.version, rule.first_token_s, rule.asked_by)
    assert seen == (version, bound, asked_by), rule


@then('service "{name}" has once "{once}" and timeout {timeout:f} s')
def check_service(context, name, once, timeout):
    (rule,) = (s for s in context.rules.services if s.name == name)
    assert (",".join(rule.once), rule.timeout_s) == (once, timeout), rule


@then("formatting the rules gives a file with the same rules")
def check_format_round_trip(context):
    assert parse_rules(format_rules(context.rules)) == context.rules


@then("the differences are")
def check_differences(context):
    changes = diff_rules(
        parse_rules(context.rule_text), parse_rules(context.newer_text)
    )
    found = [
        (
            *(c.change.value, c.kind, c.name),
            ", ".join(f"{f.field} {f.old} > {f.new}" for f in c.fields).strip(),
        )
        for c in changes
    ]
    assert found == [tuple(row) for row in context.table], found


@then("each is refused at a place in it, or keeps its rules when formatted")
def check_damaged_files(context):
    refused = 0
    for text in context.damaged:
        if not (faults := collect_faults(text)):
            rules = parse_rules(text)
            assert parse_rules(format_rules(rules)) == rules, text
            continue
        refused += 1
        lines = text.split("\n")
        for fault in faults:
            _, line, column, _ = fault.split(":", 3)
            assert 1 <= int(line) <= len(lines), (fault, text)
            length = len(lines[int(line) - 1])
            assert 1 <= int(column) <= length + 1, (fault, text)
    # Both outcomes must occur, or the generated files do not test the parser.
    assert 0 < refused < len(context.damaged), refused


@given("a rule file with {count:d} customers")
def set_large_file(context, count):
    context.large_text = "".join(
        f"customer c{n} key=sha256:{n:064x}  # asked by T\n"
        for n in range(count)
    )


@when("it is parsed in steps")
def parse_in_steps(context):
    steps, context.step_count = parse_steps(context.large_text), 0
    while True:
        try:
            next(steps)
        except StopIteration as done:
            context.rules = done.value
            return
        context.step_count += 1


@then(
    "it takes at least {count:d} steps and gives the same rules as in one step"
)
def check_steps_and_rules(context, count):
    assert context.step_count >= count, context.step_count
    assert context.rules == parse_rules(context.large_text)
