"""The platform's list of VMs as this node last read it: a seed for membership, never a verdict."""

from __future__ import annotations

import random
from collections.abc import Set
from typing import final

import anyio
from result import Ok

from bramleylead.platform import VmEntry
from bramleylead.process._store_health import ObservedStore

EMPTY_RETRY_S = 0.5


@final
class VmList:
    """Reads the list again and again; during an outage the last one read stays."""

    def __init__(self, store: ObservedStore, rng: random.Random, *, interval_s: float) -> None:
        self._store = store
        self._rng = rng
        self._interval_s = interval_s
        self._entries: dict[str, VmEntry] = {}
        self._centres_noted: set[str] = set()

    async def run(self) -> None:
        """Read the list at each interval until cancelled."""
        while True:
            found = await self._store.vms()
            if isinstance(found, Ok):
                self._entries = {vm.node: vm for vm in found.ok_value}
                self._centres_noted = set()
            interval_s = self._interval_s if self._entries else EMPTY_RETRY_S
            await anyio.sleep(interval_s * self._rng.uniform(0.9, 1.1))

    def others(self, own: str) -> list[VmEntry]:
        """Return the listed VMs but this node's."""
        return [vm for vm in self._entries.values() if vm.node != own]

    def note_data_centres(self, names: Set[str]) -> None:
        """Remember data centres until the list is read again, though their members may die."""
        self._centres_noted |= names

    @property
    def data_centres(self) -> set[str]:
        """The data centres of listed VMs, and those noted since the list was read."""
        return self._centres_noted | {vm.data_centre for vm in self._entries.values()}
