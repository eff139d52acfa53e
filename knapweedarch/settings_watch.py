"""Reloads a settings file that changes while the process runs."""

import signal
from collections.abc import Callable
from typing import TypeVar

import anyio

from knapweedarch.exceptions import SettingsError
from knapweedarch.logs import log

POLL_INTERVAL_S = 1.0

_T = TypeVar("_T")


async def watch_settings(
    read: Callable[[], _T], apply: Callable[[_T], None], current: _T
) -> None:
    """Applies changed settings until cancelled.

    The file is read now, at SIGHUP and every `POLL_INTERVAL_S` seconds, because
    it may change without a signal. Invalid settings leave the previous ones in
    force.

    Args:
        read: Reads the settings; raises `SettingsError` if they are invalid.
        apply: Called with settings that differ from the previous ones.
        current: The settings in force. The file may have changed since they
            were read, as a process may wait long for space on its disk.
    """
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        while True:
            current = _apply_changes(read, apply, current)
            with anyio.move_on_after(POLL_INTERVAL_S):
                async for _ in signals:
                    break


def _apply_changes(
    read: Callable[[], _T], apply: Callable[[_T], None], current: _T
) -> _T:
    """Applies the settings if they have changed; returns those in force."""
    try:
        loaded = read()
    except SettingsError as exc:
        log("settings_refused", faults=exc.faults)
        return current
    if loaded != current:
        apply(loaded)
        log("settings_reloaded")
    return loaded
