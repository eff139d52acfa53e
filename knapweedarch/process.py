"""Startup, signal handling and exit codes of the daemon processes."""

import signal
import sys
from collections.abc import Awaitable, Callable
from typing import NoReturn

import anyio

from knapweedarch.exceptions import JournalError, ReplicaError, SettingsError
from knapweedarch.logs import log
from knapweedarch.member import Member

EXIT_SETTINGS = 2
EXIT_JOURNAL = 3


def exit_with_settings_errors(exc: SettingsError) -> NoReturn:
    """Prints all faults of the settings and exits the process."""
    print("\n".join(exc.faults), file=sys.stderr)
    sys.exit(EXIT_SETTINGS)


def run_process(
    run: Callable[..., Awaitable[None]], *arguments: object
) -> None:
    """Runs a role until it ends.

    Exits with `EXIT_JOURNAL` if the journal or the replicated log fails.
    """
    try:
        anyio.run(run, *arguments)
    except* (JournalError, ReplicaError) as group:
        # A member that continued after either error could answer with data that
        # it did not store.
        log("journal_failed", reason=str(group.exceptions[0]))
        sys.exit(EXIT_JOURNAL)


async def stop_on_signal(member: Member, scope: anyio.CancelScope) -> None:
    """Stops a member at SIGTERM or SIGINT.

    All data that the member has acknowledged is already synced to disk.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            await member.prepare_stop()
            log("stopped")
            scope.cancel()
            return
