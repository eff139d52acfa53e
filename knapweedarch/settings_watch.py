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
    read: Callable[[], _T], apply: Callable[[_T], None]
) -> None:
    """Applies changed settings until cancelled.

    The file is read again at SIGHUP and every `POLL_INTERVAL_S` seconds,
    because it may change without a signal. Invalid settings leave the previous
    ones in force.

    Args:
        read: Reads the settings; raises `SettingsError` if they are invalid.
        apply: Called with settings that differ from the previous ones.

    Raises:
        SettingsError: The settings are invalid at the start.
    """
    current = read()
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        while True:
            with anyio.move_on_after(POLL_INTERVAL_S):
                async for _ in signals:
                    break
            try:
                loaded = read()
            except SettingsError as exc:
                log("settings_refused", faults=exc.faults)
                continue
            if loaded != current:
                current = loaded
                apply(loaded)
                log("settings_reloaded")
