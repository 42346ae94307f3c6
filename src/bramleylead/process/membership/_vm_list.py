"""Cached list of the platform's VMs: it seeds membership but never decides who is alive."""

from __future__ import annotations

import random
from collections.abc import Set
from typing import final

import anyio
from result import Ok

from bramleylead.platform import VmEntry
from bramleylead.process._store_health import ObservedStore

EMPTY_LIST_RETRY_S = 0.5


@final
class VmList:
    """Refreshes the list periodically; during a store outage the last list is kept."""

    def __init__(self, store: ObservedStore, rng: random.Random, *, interval_s: float) -> None:
        self._store = store
        self._rng = rng
        self._interval_s = interval_s
        self._entries: dict[str, VmEntry] = {}
        self._added_data_centres: set[str] = set()

    async def run(self) -> None:
        """Read the list at each interval until cancelled."""
        while True:
            result = await self._store.vms()
            if isinstance(result, Ok):
                self._entries = {vm.node: vm for vm in result.ok_value}
                self._added_data_centres = set()
            interval_s = self._interval_s if self._entries else EMPTY_LIST_RETRY_S
            await anyio.sleep(interval_s * self._rng.uniform(0.9, 1.1))

    def others(self, own_node: str) -> list[VmEntry]:
        """Return the listed VMs except this node's own."""
        return [vm for vm in self._entries.values() if vm.node != own_node]

    def add_data_centres(self, names: Set[str]) -> None:
        """Keep these data centres until the next refresh, even if all their members die."""
        self._added_data_centres |= names

    @property
    def data_centres(self) -> set[str]:
        """The data centres of listed VMs, and those added since the last refresh."""
        return self._added_data_centres | {vm.data_centre for vm in self._entries.values()}
