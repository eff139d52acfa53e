"""Ends what a scenario left running."""

import logging


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
