"""Saves the outputs of a replica; waits while the disk is full."""

import contextlib
from collections.abc import Callable

import anyio

from knapweedarch.exceptions import JournalFullError
from knapweedarch.journal import Journal
from knapweedarch.logs import log
from knapweedarch.metrics import Metrics
from knapweedarch.replica import Output
from knapweedarch.timers import Clock

DISK_SPACE_RETRY_S = 0.5


class JournalWriter:
    """Writes the journal of a running member.

    Args:
        journal: The journal.
        clock: Time source.
        metrics: Metrics of the process.
        on_full: Called when a wait for space begins.
    """

    def __init__(
        self,
        journal: Journal,
        clock: Clock,
        metrics: Metrics,
        on_full: Callable[[], None],
    ):
        self._journal = journal
        self._clock = clock
        self._metrics = metrics
        self._on_full = on_full

    async def save(self, output: Output) -> bool:
        """Saves an output, at once or when the disk has space.

        Returns:
            Whether it was saved at once.

        Raises:
            JournalError: The journal failed for another reason.
        """
        try:
            self._save(output)
        except JournalFullError as exc:
            await self._wait_for_space(output, str(exc))
            return False
        return True

    def _save(self, output: Output) -> None:
        if output.needs_sync:
            began_at = self._clock.now()
            self._journal.save(output)
            self._metrics.timing("journal.save", self._clock.now() - began_at)

    async def _wait_for_space(self, output: Output, reason: str) -> None:
        began_at = self._clock.now()
        log("journal_full", reason=reason)
        self._metrics.count("journal.full")
        self._metrics.gauge("journal.waits_for_space", 1)
        self._on_full()
        await self._retry(output)
        self._metrics.gauge("journal.waits_for_space", 0)
        log("journal_has_space", waited_s=self._clock.now() - began_at)

    async def _retry(self, output: Output) -> None:
        while True:
            await anyio.sleep(DISK_SPACE_RETRY_S)
            # The disk is still full at most of the attempts.
            with contextlib.suppress(JournalFullError):
                self._save(output)
                return
