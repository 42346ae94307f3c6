"""The object API as one node reaches it in a trial: delays, outages, lost replies, stale lists."""

from __future__ import annotations

import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import TypeVar
from typing import final

import anyio
from result import Err
from result import Result

from bramleylead.platform import MemoryStore
from bramleylead.platform import StoredObject
from bramleylead.platform import StoreError
from bramleylead.platform import StoreErrorKind
from bramleylead.platform import VmEntry
from bramleylead.platform import WatchPage
from bramleylead.platform._store import ANY_VERSION
from bramleylead.standins._network import FakeNetwork

LEAST_DELAY_S = 0.002
MEAN_EXTRA_DELAY_S = 0.003
REFUSED_DELAY_S = 0.001
WATCH_REPLY_SLACK_S = 2.0

_T = TypeVar("_T")


@dataclass(slots=True)
class StoreFaults:
    """The faults of the object API in one trial, shared by the views of all nodes.

    :param outage: refuse every call at once.
    :param hang: take every call and never answer; nothing has an effect.
    :param slow_s: added to the delay of each call, in seconds.
    :param lose_reply_rate: share of writes that take effect and are not answered.
    :param watch_delay_s: how late watch pages come.
    :param vm_lag_s: how late changes show in the list of VMs.
    :param cut_hosts: nodes that can't reach the object API.
    """

    outage: bool = False
    hang: bool = False
    slow_s: float = 0.0
    lose_reply_rate: float = 0.0
    watch_delay_s: float = 0.0
    vm_lag_s: float = 0.0
    cut_hosts: set[str] = field(default_factory=set)
    lost_replies: int = 0
    _pending_vms: list[tuple[float, Callable[[], None]]] = field(default_factory=list)
    _late_writes: list[tuple[float, Callable[[], object]]] = field(default_factory=list)

    def set_vm(self, inner: MemoryStore, entry: VmEntry) -> None:
        """Add or replace a line of the list of VMs, which shows after the lag."""
        self._later(lambda: inner.set_vm(entry))

    def remove_vm(self, inner: MemoryStore, node: str) -> None:
        """Drop a line of the list of VMs, which shows after the lag."""
        self._later(lambda: inner.remove_vm(node))

    def show_vms(self) -> None:
        """Bring the list of VMs to where it is after the lag."""
        now = anyio.current_time()
        while self._pending_vms and self._pending_vms[0][0] <= now:
            self._pending_vms.pop(0)[1]()

    def write_late(self, due_s: float, act: Callable[[], object]) -> None:
        """Let a write whose sender gave up take effect when it arrives."""
        self._late_writes.append((due_s, act))

    def settle_late_writes(self) -> None:
        """Do the late writes that have arrived by now."""
        if not self._late_writes:
            return
        now = anyio.current_time()
        arrived = sorted(
            (late for late in self._late_writes if late[0] <= now), key=lambda late: late[0]
        )
        self._late_writes = [late for late in self._late_writes if late[0] > now]
        for _, act in arrived:
            act()

    def _later(self, change: Callable[[], None]) -> None:
        self._pending_vms.append((anyio.current_time() + self.vm_lag_s, change))


@final
class FaultyStore:
    """One node's view of the object API of a trial."""

    def __init__(
        self,
        inner: MemoryStore,
        *,
        host: str,
        network: FakeNetwork,
        rng: random.Random,
        faults: StoreFaults | None = None,
    ) -> None:
        self._inner = inner
        self._host = host
        self._network = network
        self._rng = rng
        self._kills = network.kills(host)
        self.faults = StoreFaults() if faults is None else faults
        self.calls: dict[str, int] = {}

    async def get(self, key: str, *, timeout_s: float = 2.0) -> Result[StoredObject, StoreError]:
        """Read one object."""
        return await self._read("get", timeout_s, lambda: self._inner.get(key))

    async def put(
        self, key: str, value: bytes, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[int, StoreError]:
        """Write one object if its version is ``expected``."""
        return await self._write(
            "put", timeout_s, lambda: self._inner.put_now(key, value, expected=expected)
        )

    async def delete(
        self, key: str, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[None, StoreError]:
        """Delete one object if its version is ``expected``."""
        return await self._write(
            "delete", timeout_s, lambda: self._inner.delete_now(key, expected=expected)
        )

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 500, timeout_s: float = 2.0
    ) -> Result[Sequence[StoredObject], StoreError]:
        """Read up to ``limit`` objects under ``prefix``."""
        return await self._read(
            "list", timeout_s, lambda: self._inner.list(prefix, after=after, limit=limit)
        )

    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> Result[WatchPage, StoreError]:
        """Wait for changes under ``prefix``; pages may come late."""

        async def act() -> Result[WatchPage, StoreError]:
            page = await self._inner.watch(
                prefix, after_revision=after_revision, timeout_s=timeout_s
            )
            await anyio.sleep(self.faults.watch_delay_s)
            return page

        return await self._read("watch", timeout_s + WATCH_REPLY_SLACK_S, act)

    async def vms(self, *, timeout_s: float = 2.0) -> Result[Sequence[VmEntry], StoreError]:
        """Read the list of VMs, which lags."""
        self.faults.show_vms()
        return await self._read("vms", timeout_s, self._inner.vms)

    async def _read(
        self, kind: str, timeout_s: float, act: Callable[[], Awaitable[Result[_T, StoreError]]]
    ) -> Result[_T, StoreError]:
        with anyio.move_on_after(timeout_s):
            error = await self._reach(kind)
            if error is not None:
                return Err(error)
            self.faults.settle_late_writes()
            answer = await act()
            await self._come_back()
            return answer
        return Err(StoreError(StoreErrorKind.UNAVAILABLE, f"{kind}: no reply in {timeout_s:g} s"))

    async def _write(
        self, kind: str, timeout_s: float, act: Callable[[], Result[_T, StoreError]]
    ) -> Result[_T, StoreError]:
        with anyio.move_on_after(timeout_s):
            error = await self._depart(kind)
            if error is not None:
                return Err(error)
            answer = await self._send(act)
            if self._rng.random() < self.faults.lose_reply_rate:
                self.faults.lost_replies += 1
                await anyio.sleep_forever()
            await self._come_back()
            return answer
        return Err(StoreError(StoreErrorKind.UNKNOWN, f"{kind}: no reply in {timeout_s:g} s"))

    async def _send(self, act: Callable[[], Result[_T, StoreError]]) -> Result[_T, StoreError]:
        """Send a write; once it has left it takes effect even if the sender gives up."""
        due_s = anyio.current_time() + self._delay_s()
        arrived = False
        try:
            await anyio.sleep_until(due_s)
            arrived = True
        finally:
            if not arrived:
                self.faults.write_late(due_s, act)
        self.faults.settle_late_writes()
        return act()

    async def _reach(self, kind: str) -> StoreError | None:
        error = await self._depart(kind)
        if error is None:
            await anyio.sleep(self._delay_s())
        return error

    async def _depart(self, kind: str) -> StoreError | None:
        self.calls[kind] = self.calls.get(kind, 0) + 1
        await self._gate()
        if self.faults.hang or self._host in self.faults.cut_hosts:
            await anyio.sleep_forever()
        if self.faults.outage:
            await anyio.sleep(REFUSED_DELAY_S)
            return StoreError(StoreErrorKind.UNAVAILABLE, f"{kind}: connection refused")
        return None

    async def _come_back(self) -> None:
        if self.faults.outage or self.faults.hang or self._host in self.faults.cut_hosts:
            await anyio.sleep_forever()
        await self._gate()

    async def _gate(self) -> None:
        await self._network.pass_gate(self._host)
        if self._network.kills(self._host) != self._kills:
            await anyio.sleep_forever()

    def _delay_s(self) -> float:
        extra = self._rng.expovariate(1 / MEAN_EXTRA_DELAY_S)
        return LEAST_DELAY_S + extra + self.faults.slow_s
