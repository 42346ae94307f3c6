"""Reads a settings file that may be replaced while it is read."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from bramleylead._signals import SignalInbox
from bramleylead.json_documents import check_document

RETRY_S = 0.2
MAX_RETRIES = 10


class SettingsText(NamedTuple):
    """What a file held.

    :param trouble: why it could not be read, or is not one JSON document.
    """

    text: bytes
    trouble: str | None


def read_settings(
    file: Path,
    signals: SignalInbox,
    *,
    report: Callable[[str], None],
    sleep: Callable[[float], None] = time.sleep,
) -> SettingsText:
    """Read a file; again for two seconds while it is missing, empty or not one JSON document.

    :param signals: a signal to stop that waits there ends the tries.
    :param report: gets a line for each retry.
    """
    found = _read(file)
    for _ in range(MAX_RETRIES):
        if found.trouble is None or signals.stop_signal is not None:
            break
        report(f"{file}: {found.trouble}: read again in {RETRY_S:g} s")
        sleep(RETRY_S)
        found = _read(file)
    return found


def _read(file: Path) -> SettingsText:
    try:
        text = file.read_bytes()
    except OSError as error:
        return SettingsText(b"", error.strerror or str(error))
    fault = check_document(text)
    return SettingsText(text, None if fault is None else str(fault))
