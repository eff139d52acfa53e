"""Behave hooks: sets up scenarios and cleans up after them."""

import logging
import pathlib
import sys

# The folders `platform` and `scripts` are not packages; this makes the package
# of the adapter and the modules of the scripts importable.
ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "platform"), str(ROOT / "scripts")]


def before_all(context):
    """Suppresses the log line of httpx for each HTTP request."""
    logging.getLogger("httpx").setLevel(logging.WARNING)


def before_scenario(context, scenario):
    """Gives each scenario an empty list of cleanup functions.

    The scenario's name is written to the file that `current_scenario` names,
    so that a run which is killed tells where it was.
    """
    context.closing = []
    path = context.config.userdata.get("current_scenario")
    if path:
        pathlib.Path(path).write_text(scenario.name)


def after_scenario(context, scenario):
    """Calls the cleanup functions in reverse order."""
    for close in reversed(context.closing):
        close()
