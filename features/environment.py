"""Ends what a scenario left running."""


def before_scenario(context, scenario):
    """Gives each scenario an empty list of things to close."""
    context.closing = []


def after_scenario(context, scenario):
    """Closes in reverse order of opening."""
    for close in reversed(context.closing):
        close()
