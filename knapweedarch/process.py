"""Startup, signal handling and exit codes of the daemon processes."""

import gc
import signal
import sys
from collections.abc import Awaitable, Callable, Iterator
from typing import NoReturn

import anyio

from knapweedarch.exceptions import JournalError, ReplicaError, SettingsError
from knapweedarch.logs import log, traceback_text
from knapweedarch.member import Member

EXIT_SETTINGS = 2
EXIT_FAILED = 1
EXIT_JOURNAL = 3


def freeze_start_objects() -> None:
    """Exempts what the start has created from garbage collections.

    Modules and classes live as long as the process. A full collection looks at
    all of them, which takes a process with a tenth of a core a quarter of a
    second, in which its streams pause.
    """
    gc.freeze()


def exit_with_settings_errors(exc: SettingsError) -> NoReturn:
    """Prints all faults of the settings and exits the process."""
    print("\n".join(exc.faults), file=sys.stderr)
    sys.exit(EXIT_SETTINGS)


def run_process(
    run: Callable[..., Awaitable[None]], *arguments: object
) -> None:
    """Runs a role until it ends.

    Exits with `EXIT_JOURNAL` if the journal or the replicated log fails, and
    with `EXIT_FAILED` after any other error.
    """
    try:
        anyio.run(run, *arguments)
    except Exception as exc:
        sys.exit(_log_failure(exc))


def _log_failure(exc: Exception) -> int:
    """Logs each error that ended the process; returns the exit code."""
    code = EXIT_FAILED
    for error in leaf_errors(exc):
        match error:
            # A member that continued after either of these could answer with
            # data that it did not store.
            case JournalError():
                log("journal_failed", reason=str(error))
                code = EXIT_JOURNAL
            case ReplicaError():
                log("replica_failed", reason=str(error))
                code = EXIT_JOURNAL
            case _:
                log("process_failed", reason=traceback_text(error))
    return code


def leaf_errors(exc: BaseException) -> Iterator[BaseException]:
    """Yields the errors in a group of any depth, or the error itself."""
    match exc:
        case BaseExceptionGroup(exceptions=nested):
            for error in nested:
                yield from leaf_errors(error)
        case _:
            yield exc


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
