"""Budgets by escrow: a partition spends only what the store has granted it.

The object ``budgets/<name>`` holds, for each partition, all units ever granted to it and all ever
returned by it. A grant is in the store before the journal knows it, and a return is in the journal
before the store knows it; both totals only grow, so a step that was cut short is finished by
comparing the two. The sum of what is granted and not returned never exceeds the limit, and each
partition never spends more than it was granted.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import NamedTuple
from typing import TypedDict
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.platform import ObjectStore
from bramleylead.platform import StoreErrorKind
from bramleylead.process.journal._entries import GrantAdded
from bramleylead.process.journal._entries import GrantForfeited
from bramleylead.process.journal._entries import GrantReturning
from bramleylead.process.journal._log import PartitionLog
from bramleylead.promises import Promise
from bramleylead.promises import Promises
from bramleylead.version import Config

SHARE_OF_REST = 4
"""A grant is at most the rest of the budget divided by this and by the partitions."""
RETURN_IDLE_AFTER_S = 60.0
WRITE_TRIES = 6
RETRY_WAIT_S = 0.05

log = structlog.get_logger()


class Share(TypedDict):
    """One partition's line in a budget object, in budget units ever granted and ever returned."""

    granted: int
    returned: int
    incarnation: int


class _Book(NamedTuple):
    """A budget object as read: version 0 when absent."""

    version: int
    shares: dict[str, Share]

    @property
    def out(self) -> int:
        """Units that are granted and not returned."""
        return sum(share["granted"] - share["returned"] for share in self.shares.values())


@final
class BudgetEscrow:
    """Reserves units for calls of the partitions that this node owns.

    :param partitions: number of partitions, for the size of a grant.
    """

    def __init__(
        self,
        store: ObjectStore,
        config: Callable[[], Config],
        promises: Promises,
        *,
        node: str,
        partitions: int,
    ) -> None:
        self._store = store
        self._config = config
        self._promises = promises
        self._node = node
        self._partitions = partitions
        self._locks: dict[str, anyio.Lock] = {}
        self._checked: dict[tuple[int, str, int], int] = {}
        self._pending: dict[tuple[int, str], int] = {}
        self._last_used_s: dict[tuple[int, str], float] = {}
        self.refusals = 0
        self.store_calls = 0

    async def reserve(
        self, partition: PartitionLog, budget: str, units: int
    ) -> Result[None, Failure]:
        """Set units aside until :meth:`reserved` or :meth:`cancel`; on ``Err`` none are."""
        key = (partition.number, budget)
        self._last_used_s[key] = anyio.current_time()
        while True:
            ready = await self._ready(partition, budget)
            if isinstance(ready, Err):
                return ready
            if self._free(partition, budget) >= units:
                self._pending[key] = self._pending.get(key, 0) + units
                return Ok(None)
            added = await self._fetch(partition, budget, units)
            if isinstance(added, Err):
                return added

    async def prefetch(self, partition: PartitionLog, budget: str) -> None:
        """Get a first grant ahead of a program's first call, so that it can run in an outage."""
        if self._free(partition, budget) <= 0:
            reserved = await self.reserve(partition, budget, 1)
            if isinstance(reserved, Ok):
                self.cancel(partition, budget, 1)

    def reserved(self, partition: PartitionLog, budget: str, units: int) -> None:
        """Take in that the journal holds the reservation, so it is no longer pending here."""
        self.cancel(partition, budget, units)
        grant = partition.state.grant(budget)
        self._promises.check(
            Promise.BUDGET,
            grant.free >= 0,
            f"budget {budget}, partition {partition.number}: {-grant.free} units over its grant",
        )

    def cancel(self, partition: PartitionLog, budget: str, units: int) -> None:
        """Drop a reservation that the journal does not hold."""
        self._pending[(partition.number, budget)] -= units

    async def return_idle(self, partition: PartitionLog) -> None:
        """Give back what a partition has not used for a while, unless the store is out.

        What the journal gave up could not be fetched again before the store is back.
        """
        now = anyio.current_time()
        for budget, grant in list(partition.state.grants.items()):
            key = (partition.number, budget)
            idle_s = now - self._last_used_s.setdefault(key, now)
            if idle_s < RETURN_IDLE_AFTER_S or grant.free <= 0 or self._pending.get(key):
                continue
            if isinstance(await self._read(budget), Err):
                return
            await self._give_back(partition, budget)

    def dump(self) -> dict[str, int]:
        """Return counters for the state dump."""
        return {"refusals": self.refusals, "store_calls": self.store_calls}

    def _free(self, partition: PartitionLog, budget: str) -> int:
        pending = self._pending.get((partition.number, budget), 0)
        return partition.state.grant(budget).free - pending

    async def _ready(self, partition: PartitionLog, budget: str) -> Result[None, Failure]:
        """Compare journal and store once an epoch and whenever the limit went down."""
        entry = self._config().budgets.get(budget)
        if entry is None:
            return Err(Failure(ErrorKind.BUDGET_EXHAUSTED, f"budget {budget} does not exist"))
        key = (partition.number, budget, partition.epoch)
        checked_at = self._checked.get(key)
        if checked_at is not None and entry.limit >= checked_at:
            return Ok(None)
        async with self._lock(budget):
            reconciled = await self._reconcile(partition, budget, entry.limit)
        if isinstance(reconciled, Ok):
            self._checked[key] = entry.limit
        elif self._covered(partition, budget, entry.limit):
            return Ok(None)
        return reconciled

    def _covered(self, partition: PartitionLog, budget: str, limit: int) -> bool:
        """Whether the journal's own grant may be spent without asking the store.

        It was granted under a limit that has not gone down since, and nothing of it was lost.
        """
        grant = partition.state.grant(budget)
        whole = partition.state.incarnation == grant.incarnation
        return whole and 0 < grant.limit <= limit and grant.free > 0

    async def _reconcile(
        self, partition: PartitionLog, budget: str, limit: int
    ) -> Result[None, Failure]:
        read = await self._read(budget)
        if isinstance(read, Err):
            return read
        book = read.ok_value
        share = _share(book, partition.number)
        taken = await self._take_in(partition, budget, share, limit)
        if isinstance(taken, Err):
            return taken
        if book.out > limit and self._free(partition, budget) > 0:
            return await self._give_back_locked(partition, budget)
        return await self._settle_store(partition, budget)

    async def _take_in(
        self, partition: PartitionLog, budget: str, share: Share, limit: int
    ) -> Result[None, Failure]:
        """Bring the journal up to what the store says was granted."""
        grant = partition.state.grant(budget)
        if partition.state.incarnation > max(share["incarnation"], grant.incarnation):
            forfeited = GrantForfeited(
                budget, share["granted"], share["returned"], partition.state.incarnation
            )
            return (await partition.append(forfeited)).map(lambda _: None)
        if share["granted"] > grant.granted or grant.limit > limit:
            return (await partition.append(GrantAdded(budget, share["granted"], limit))).map(
                lambda _: None
            )
        return Ok(None)

    async def _fetch(
        self, partition: PartitionLog, budget: str, units: int
    ) -> Result[None, Failure]:
        """Get a grant of at least ``units`` into the store, then into the journal."""
        async with self._lock(budget):
            if self._free(partition, budget) >= units:
                return Ok(None)
            missing = units - self._free(partition, budget)
            granted = await self._update(
                budget, lambda book: self._with_grant(book, partition, budget, missing)
            )
            if isinstance(granted, Err):
                return granted
            total = granted.ok_value[str(partition.number)]["granted"]
            limit = self._config().budgets[budget].limit
            return (await partition.append(GrantAdded(budget, total, limit))).map(lambda _: None)

    def _with_grant(
        self, book: _Book, partition: PartitionLog, budget: str, missing: int
    ) -> Result[dict[str, Share], Failure]:
        """Add a grant, less what an earlier try put into the store and the journal has not seen."""
        limit = self._config().budgets[budget].limit
        share = _share(book, partition.number)
        missing -= share["granted"] - partition.state.grant(budget).granted
        if missing <= 0:
            return Ok(book.shares)
        rest = limit - book.out
        if rest < missing:
            self.refusals += 1
            detail = f"budget {budget}: {missing} units are needed, {max(0, rest)} can be granted"
            return Err(Failure(ErrorKind.BUDGET_EXHAUSTED, detail))
        size = max(missing, rest // (SHARE_OF_REST * self._partitions))
        share["granted"] += size
        share["incarnation"] = partition.state.incarnation
        return Ok({**book.shares, str(partition.number): share})

    async def _give_back(self, partition: PartitionLog, budget: str) -> None:
        async with self._lock(budget):
            await self._give_back_locked(partition, budget)

    async def _give_back_locked(
        self, partition: PartitionLog, budget: str
    ) -> Result[None, Failure]:
        free = self._free(partition, budget)
        if free > 0:
            journaled = await self._journal_return(partition, budget, free)
            if isinstance(journaled, Err):
                return journaled
        return await self._settle_store(partition, budget)

    async def _journal_return(
        self, partition: PartitionLog, budget: str, units: int
    ) -> Result[bool, Failure]:
        """Journal a return; while that takes time, no call can reserve the same units."""
        key = (partition.number, budget)
        self._pending[key] = self._pending.get(key, 0) + units
        try:
            return await partition.append(GrantReturning(budget, units))
        finally:
            self._pending[key] -= units

    async def _settle_store(self, partition: PartitionLog, budget: str) -> Result[None, Failure]:
        """Bring the store up to what the journal says was returned."""

        def settled(book: _Book) -> Result[dict[str, Share], Failure]:
            share = _share(book, partition.number)
            share["returned"] = max(share["returned"], partition.state.grant(budget).returned)
            share["incarnation"] = max(share["incarnation"], partition.state.incarnation)
            return Ok({**book.shares, str(partition.number): share})

        return (await self._update(budget, settled)).map(lambda _: None)

    async def _update(
        self, budget: str, change: Callable[[_Book], Result[dict[str, Share], Failure]]
    ) -> Result[dict[str, Share], Failure]:
        """Change the budget object by compare-and-set.

        An unknown outcome is resolved by reading again: the change is computed from what the store
        holds then, so a grant that did take effect is only taken in, never granted twice without
        the store knowing.
        """
        for attempt in range(WRITE_TRIES):
            read = await self._read(budget)
            if isinstance(read, Err):
                return read
            book = read.ok_value
            changed = change(book)
            if isinstance(changed, Err):
                return changed
            if changed.ok_value == book.shares:
                return changed
            body = json.dumps({"writer": self._node, "shares": changed.ok_value}).encode()
            self.store_calls += 1
            written = await self._store.put(_key(budget), body, expected=book.version)
            if isinstance(written, Ok):
                return changed
            if written.err_value.kind is StoreErrorKind.UNAVAILABLE:
                break
            await anyio.sleep(RETRY_WAIT_S * (attempt + 1))
        detail = f"budget {budget}: the store did not take the change"
        return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))

    async def _read(self, budget: str) -> Result[_Book, Failure]:
        self.store_calls += 1
        found = await self._store.get(_key(budget))
        if isinstance(found, Ok):
            shares = json.loads(found.ok_value.value)["shares"]
            return Ok(_Book(found.ok_value.version, shares))
        if found.err_value.kind is StoreErrorKind.NOT_FOUND:
            return Ok(_Book(0, {}))
        return Err(Failure(ErrorKind.STORE_UNAVAILABLE, found.err_value.detail))

    def _lock(self, budget: str) -> anyio.Lock:
        return self._locks.setdefault(budget, anyio.Lock())


def _key(budget: str) -> str:
    return f"budgets/{budget}"


def _share(book: _Book, partition: int) -> Share:
    found = book.shares.get(str(partition))
    if found is None:
        return Share(granted=0, returned=0, incarnation=0)
    return Share(**found)
