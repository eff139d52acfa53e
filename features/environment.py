"""Behave hooks: sets up scenarios and cleans up after them."""

import logging
import pathlib
import sys

# The folder `platform` is not a package; this makes the adapter's package
# importable.
ADAPTER = pathlib.Path(__file__).resolve().parent.parent / "platform"
sys.path.insert(0, str(ADAPTER))


def before_all(context):
    """Suppresses the log line of httpx for each HTTP request."""
    logging.getLogger("httpx").setLevel(logging.WARNING)


def before_scenario(context, scenario):
    """Gives each scenario an empty list of cleanup functions."""
    context.closing = []


def after_scenario(context, scenario):
    """Calls the cleanup functions in reverse order."""
    for close in reversed(context.closing):
        close()
