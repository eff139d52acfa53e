"""Steps for the command-line tool with an in-memory control state."""

import contextlib
import io
import json
import pathlib
import re
import shutil
import tempfile

from behave import given, then, when

from knapweedarch import api, cli
from knapweedarch.control import StatusReply
from knapweedarch.exceptions import ControlError
from knapweedarch.models import Endpoint, EndpointKind
from knapweedarch.state import (
    COMMANDS,
    RESULTS,
    Announce,
    ControlState,
    PutRules,
)


class FakeControlClient:
    """Replaces the control client; can lose responses."""

    def __init__(self):
        self.state = ControlState()
        self.reachable = True
        self.lose_next_answer = False
        self.lost_answer_error = ControlError(
            "unknown_outcome", "no control member answered"
        )

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        return None

    async def submit(self, command, timeout_s):
        """Applies a command to the in-memory state."""
        self.raise_if_unreachable()
        result = RESULTS.decode(self.state.apply(COMMANDS.encode(command)))
        self.raise_if_answer_lost()
        return result

    async def status(self, timeout_s):
        """Returns the status of the in-memory state."""
        self.raise_if_unreachable()
        self.raise_if_answer_lost()
        state = self.state
        return StatusReply(
            *("member-1", 1, 9, state.rules_version, state.rules_text),
            *(tuple(state.endpoints.values()), (), ("router-1",), 0, 0),
        )

    async def form(self, members):
        """Does nothing."""
        self.raise_if_unreachable()

    def raise_if_unreachable(self):
        """Raises the error of an unreachable control group."""
        if not self.reachable:
            raise ControlError("unreachable", "no control member answered")

    def raise_if_answer_lost(self):
        """Raises the error of a lost response, once."""
        if self.lose_next_answer:
            self.lose_next_answer = False
            raise self.lost_answer_error


@given('members with the rules "{text}" in version 1')
def create_members(context, text):
    context.client = FakeControlClient()
    context.first_rules = f"{text}\n"
    apply_rules(context, 0, context.first_rules)
    context.tool_folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, context.tool_folder)
    context.file = context.tool_folder / "test.rules"
    context.tool_settings = context.tool_folder / "tool.json5"
    context.tool_settings.write_text(
        "{credential: 'x-credential-0123456789',"
        " members: [{name: 'member-1', host: '127.0.0.1', port: 1}]}"
    )
    create = api.control.create_control_client
    api.control.create_control_client = lambda *arguments: context.client
    context.add_cleanup(setattr, api.control, "create_control_client", create)


def apply_rules(context, base, text):
    command = PutRules(f"other-{base}", base, text)
    context.client.state.apply(COMMANDS.encode(command))


@given('a rule file with "{text}"')
@when('the rule file is replaced by "{text}"')
def write_rule_file(context, text):
    context.file.write_text(text.replace('" and "', "\n") + "\n")


@given("the members cannot be reached")
def make_members_unreachable(context):
    context.client.reachable = False


@given("the next answer is lost")
def lose_answer(context):
    context.client.lose_next_answer = True


@given("the next answer is lost by a fault in the tool")
def fail_tool(context):
    context.client.lose_next_answer = True
    context.client.lost_answer_error = RuntimeError("a fault in the tool")


@given('the members know endpoint "{name}"')
def add_endpoint(context, name):
    endpoint = Endpoint(
        *(name, "i1", "http://127.0.0.1:1", EndpointKind.RUNNER),
        *(("guide",), "w1"),
    )
    context.client.state.apply(COMMANDS.encode(Announce(endpoint)))


@when('another operator applies "{text}"')
def apply_as_other_operator(context, text):
    apply_rules(context, 1, f"{text}\n")


@when('the tool runs "{command}"')
def run_tool(context, command):
    names = {
        "FILE": str(context.file),
        "SETTINGS": str(context.tool_settings),
        "LAST": getattr(context, "request_id", ""),
    }
    arguments = [names.get(word, word) for word in command.split()]
    # A byte that is not UTF-8 reaches the tool as a lone surrogate.
    arguments = [word.replace(r"\udcff", "\udcff") for word in arguments]
    if "--settings" not in arguments and arguments[0] not in (
        *("check", "check-settings", "frobnicate"),
    ):
        arguments += ["--settings", str(context.tool_settings)]
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            context.exit_code = cli.run(arguments)
        except SystemExit as exc:
            context.exit_code = exc.code
    context.out = out.getvalue().replace(str(context.file), "FILE")
    context.err = err.getvalue().replace(str(context.file), "FILE")
    if found := re.search(r"request id ([0-9a-f]+-[0-9a-f]+)\n", context.err):
        context.request_id = found[1]


def check_exit_code(context, code):
    seen = (context.exit_code, context.out, context.err)
    assert context.exit_code == code, seen


@then('it exits with {code:d} and prints "{text}"')
def check_exit_and_output(context, code, text):
    check_exit_code(context, code)
    assert text in context.out, (context.out, context.err)


@then('it exits with {code:d} and warns "{text}"')
def check_exit_and_warning(context, code, text):
    check_exit_code(context, code)
    assert text in context.err, (context.out, context.err)


@then('it prints "{text}"')
def check_output(context, text):
    assert text in context.out, context.out


@then('it warns "{text}"')
def check_warning(context, text):
    assert text in context.err, context.err


@then("its output is the rule file of version 1")
def check_output_is_rules(context):
    check_exit_code(context, 0)
    assert context.out == context.first_rules, context.out


@then('it exits with {code:d} and its output is JSON with "{key}"')
def check_exit_and_json(context, code, key):
    check_exit_code(context, code)
    assert key in json.loads(context.out), context.out


@then("the members hold version {version:d}")
def check_rules_version(context, version):
    assert context.client.state.rules_version == version
