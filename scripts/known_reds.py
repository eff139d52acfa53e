"""Names of the scenarios that KNOWN-RED.txt lists."""

import pathlib

KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
PREFIX = "test:"


def known_red_names() -> set[str]:
    """Returns the scenario names on the 'test:' lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(PREFIX).strip()
        for line in lines
        if line.startswith(PREFIX)
    }
