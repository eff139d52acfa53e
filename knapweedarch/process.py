"""What every process of the system does at its end."""

import signal

import anyio

from knapweedarch.logs import log
from knapweedarch.member import Member

EXIT_SETTINGS = 2
EXIT_JOURNAL = 3


async def stop_on_signal(stopping: Member, scope: anyio.CancelScope) -> None:
    """Stops a member; everything it answered is already synced."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            await stopping.prepare_stop()
            log("stopped")
            scope.cancel()
            return
