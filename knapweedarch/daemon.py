"""Entry point of the daemon, which runs one role per process."""

# Imported first, because it records when the process started.
import knapweedarch.process_start  # noqa: F401 isort: skip

import pathlib

import anyio
import defopt

from knapweedarch import member, router
from knapweedarch.exceptions import SettingsError
from knapweedarch.logs import log, setup_logging
from knapweedarch.metrics import Metrics, create_metrics
from knapweedarch.metrics_server import serve_metrics
from knapweedarch.process import (
    exit_with_settings_errors,
    run_process,
    stop_on_signal,
)
from knapweedarch.settings import (
    MemberSettings,
    RouterSettings,
    ToolSettings,
    load_settings,
)
from knapweedarch.timers import Clock


def serve(*, settings: pathlib.Path) -> None:
    """Runs one role until the process receives a stop signal.

    Args:
        settings: Settings file in JSON5 format.
    """
    try:
        loaded = load_settings(settings)
        if isinstance(loaded, ToolSettings):
            raise SettingsError(["role: 'tool' is not a role of the daemon"])
    except SettingsError as exc:
        exit_with_settings_errors(exc)
    setup_logging(loaded.log_level)
    run_process(run, loaded)


async def run(settings: MemberSettings | RouterSettings) -> None:
    """Runs the role given by the settings.

    Raises:
        JournalError: The journal of a member failed; the member has stopped
            answering requests.
    """
    clock = Clock()
    metrics = _create_metrics(settings)
    match settings:
        case MemberSettings():
            daemon = await member.open_member(settings, clock, metrics)
        case RouterSettings():
            daemon = router.create_router(settings, clock, metrics)
    async with anyio.create_task_group() as group:
        if isinstance(daemon, member.Member):
            group.start_soon(stop_on_signal, daemon, group.cancel_scope)
        port = await group.start(_run_role, daemon, group.cancel_scope)
        if settings.metrics is not None:
            await group.start(serve_metrics, metrics, settings.metrics, clock)
        log("started", role=settings.role, name=settings.name, port=port)
        # The parent process reads this line to learn the port that the kernel
        # chose.
        print(f"ready {port}", flush=True)


async def _run_role(
    daemon: member.Member | router.Router,
    scope: anyio.CancelScope,
    *,
    task_status=anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs a role, then cancels the other tasks of the process."""
    await daemon.run(task_status=task_status)
    scope.cancel()


def _create_metrics(settings: MemberSettings | RouterSettings) -> Metrics:
    address = settings.statsd
    if address is None:
        return create_metrics(None, 0, settings.name)
    return create_metrics(address.host, address.port, settings.name)


def main() -> None:
    """Parses the command line and runs the daemon."""
    defopt.run(serve, cli_options="all")


if __name__ == "__main__":
    main()
