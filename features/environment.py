"""Ends what a scenario left running."""

import logging
import pathlib
import sys

# The adapter's package lies in a folder that is no package itself.
ADAPTER = pathlib.Path(__file__).resolve().parent.parent / "platform"
sys.path.insert(0, str(ADAPTER))


def before_all(context):
    """Keeps one line per HTTP request out of the reports."""
    logging.getLogger("httpx").setLevel(logging.WARNING)


def before_scenario(context, scenario):
    """Gives each scenario an empty list of things to close."""
    context.closing = []


def after_scenario(context, scenario):
    """Closes in reverse order of opening."""
    for close in reversed(context.closing):
        close()
