"""What every process of the system does at its start and end."""

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
    """Ends the process with all faults of its settings."""
    print("\n".join(exc.faults), file=sys.stderr)
    sys.exit(EXIT_SETTINGS)


def run_process(
    run: Callable[..., Awaitable[None]], *arguments: object
) -> None:
    """Runs a role to its end; a failed journal ends the process."""
    try:
        anyio.run(run, *arguments)
    except* (JournalError, ReplicaError) as group:
        # A member that goes on after either could answer with what it lost.
        log("journal_failed", reason=str(group.exceptions[0]))
        sys.exit(EXIT_JOURNAL)


async def stop_on_signal(member: Member, scope: anyio.CancelScope) -> None:
    """Stops a member; everything it answered is already synced."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            await member.prepare_stop()
            log("stopped")
            scope.cancel()
            return
