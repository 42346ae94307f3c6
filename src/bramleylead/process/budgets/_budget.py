"""Budget escrow: a partition spends only units that the store has granted to it.

The object ``budgets/<name>`` holds, for each partition, the totals of units ever granted to it and
ever returned by it. A grant is written to the store before the journal, and a return is written to
the journal before the store. Both totals only grow, so an interrupted grant or return is completed
by comparing journal and store. The sum of units granted and not returned never exceeds the limit,
and no partition spends more than it was granted.
"""

from __future__ import annotations

import json
from collections.abc import Callable
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
from bramleylead.process.budgets._budget_object import BudgetObject
from bramleylead.process.budgets._budget_object import Share
from bramleylead.process.budgets._budget_object import object_key
from bramleylead.process.budgets._budget_object import parse_object
from bramleylead.process.budgets._budget_object import partition_share
from bramleylead.process.journal._entries import GrantAdded
from bramleylead.process.journal._entries import GrantForfeited
from bramleylead.process.journal._entries import GrantReturning
from bramleylead.process.journal._partition_log import PartitionLog
from bramleylead.promises import Promise
from bramleylead.promises import Promises
from bramleylead.version import Config

GRANT_DIVISOR = 4
"""A grant is the remaining budget divided by this and by the number of partitions, or the units
that are needed if they are more.
"""
RETURN_IDLE_AFTER_S = 60.0
MAX_WRITE_ATTEMPTS = 6
RETRY_DELAY_S = 0.05

log = structlog.get_logger()


@final
class BudgetEscrow:
    """Reserves budget units for calls in the partitions that this node owns.

    :param partitions: number of partitions, which determines the size of a grant.
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
        self._reconciled_limits: dict[tuple[int, str, int], int] = {}
        self._pending: dict[tuple[int, str], int] = {}
        self._last_used_s: dict[tuple[int, str], float] = {}
        self.refusals = 0
        self.store_calls = 0

    async def reserve(
        self, partition: PartitionLog, budget: str, units: int
    ) -> Result[None, Failure]:
        """Reserve units until :meth:`confirm_reservation` or :meth:`cancel_reservation`.

        On ``Err`` no units are reserved.
        """
        key = (partition.number, budget)
        self._last_used_s[key] = anyio.current_time()
        while True:
            reconciled = await self._ensure_reconciled(partition, budget)
            if isinstance(reconciled, Err):
                return reconciled
            if self._free_units(partition, budget) >= units:
                self._pending[key] = self._pending.get(key, 0) + units
                return Ok(None)
            added = await self._request_grant(partition, budget, units)
            if isinstance(added, Err):
                return added

    async def prefetch_grant(self, partition: PartitionLog, budget: str) -> None:
        """Get a grant before a program's first call, so that the call can run in a store outage."""
        if self._free_units(partition, budget) <= 0:
            reserved = await self.reserve(partition, budget, 1)
            if isinstance(reserved, Ok):
                self.cancel_reservation(partition, budget, 1)

    def confirm_reservation(self, partition: PartitionLog, budget: str, units: int) -> None:
        """Remove a reservation from the pending ones after it has been journaled."""
        self.cancel_reservation(partition, budget, units)
        grant = partition.state.grant(budget)
        self._promises.check(
            Promise.BUDGET,
            grant.free >= 0,
            f"budget {budget}, partition {partition.number}: grant exceeded by {-grant.free} units",
        )

    def cancel_reservation(self, partition: PartitionLog, budget: str, units: int) -> None:
        """Cancel a reservation that has not been journaled."""
        self._pending[(partition.number, budget)] -= units

    async def return_idle_grants(self, partition: PartitionLog) -> None:
        """Return units that a partition has not used for a while, unless the store is unavailable.

        A return is journaled first, and no new grant could replace it during a store outage.
        """
        now = anyio.current_time()
        for budget, grant in list(partition.state.grants.items()):
            key = (partition.number, budget)
            idle_s = now - self._last_used_s.setdefault(key, now)
            if idle_s < RETURN_IDLE_AFTER_S or grant.free <= 0 or self._pending.get(key):
                continue
            if isinstance(await self._read(budget), Err):
                return
            await self._return_free(partition, budget)

    def dump(self) -> dict[str, int]:
        """Return counters for the state dump."""
        return {"refusals": self.refusals, "store_calls": self.store_calls}

    def _free_units(self, partition: PartitionLog, budget: str) -> int:
        pending = self._pending.get((partition.number, budget), 0)
        return partition.state.grant(budget).free - pending

    async def _ensure_reconciled(
        self, partition: PartitionLog, budget: str
    ) -> Result[None, Failure]:
        """Reconcile journal and store once per epoch and whenever the limit is lowered."""
        entry = self._config().budgets.get(budget)
        if entry is None:
            return Err(Failure(ErrorKind.BUDGET_EXHAUSTED, f"budget {budget} does not exist"))
        key = (partition.number, budget, partition.epoch)
        reconciled_limit = self._reconciled_limits.get(key)
        if reconciled_limit is not None and entry.limit >= reconciled_limit:
            return Ok(None)
        async with self._budget_lock(budget):
            reconciled = await self._reconcile(partition, budget, entry.limit)
        if isinstance(reconciled, Ok):
            self._reconciled_limits[key] = entry.limit
        elif self._can_spend_journaled_grant(partition, budget, entry.limit):
            return Ok(None)
        return reconciled

    def _can_spend_journaled_grant(self, partition: PartitionLog, budget: str, limit: int) -> bool:
        """Whether the journaled grant may be spent without reading the store.

        This requires that the limit has not been lowered since the grant and that no recovery has
        lost journal entries since.
        """
        grant = partition.state.grant(budget)
        nothing_lost = partition.state.incarnation == grant.incarnation
        return nothing_lost and 0 < grant.limit <= limit and grant.free > 0

    async def _reconcile(
        self, partition: PartitionLog, budget: str, limit: int
    ) -> Result[None, Failure]:
        read = await self._read(budget)
        if isinstance(read, Err):
            return read
        budget_object = read.ok_value
        share = partition_share(budget_object, partition.number)
        journaled = await self._journal_grant(partition, budget, share, limit)
        if isinstance(journaled, Err):
            return journaled
        if budget_object.outstanding > limit and self._free_units(partition, budget) > 0:
            return await self._return_free_locked(partition, budget)
        return await self._store_returns(partition, budget)

    async def _journal_grant(
        self, partition: PartitionLog, budget: str, share: Share, limit: int
    ) -> Result[None, Failure]:
        """Journal the store's grant and the limit, or forfeit the grant after a lossy recovery."""
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

    async def _request_grant(
        self, partition: PartitionLog, budget: str, units: int
    ) -> Result[None, Failure]:
        """Write a grant to the store and then to the journal, so that ``units`` are free."""
        async with self._budget_lock(budget):
            if self._free_units(partition, budget) >= units:
                return Ok(None)
            missing = units - self._free_units(partition, budget)
            granted = await self._update(
                budget,
                lambda budget_object: self._with_grant(budget_object, partition, budget, missing),
            )
            if isinstance(granted, Err):
                return granted
            total = granted.ok_value[str(partition.number)]["granted"]
            limit = self._config().budgets[budget].limit
            return (await partition.append(GrantAdded(budget, total, limit))).map(lambda _: None)

    def _with_grant(
        self, budget_object: BudgetObject, partition: PartitionLog, budget: str, missing: int
    ) -> Result[dict[str, Share], Failure]:
        """Add a grant, less what an earlier attempt granted in the store but did not journal."""
        limit = self._config().budgets[budget].limit
        share = partition_share(budget_object, partition.number)
        missing -= share["granted"] - partition.state.grant(budget).granted
        if missing <= 0:
            return Ok(budget_object.shares)
        available = limit - budget_object.outstanding
        if available < missing:
            self.refusals += 1
            detail = (
                f"budget {budget}: {missing} units are needed, {max(0, available)} can be granted"
            )
            return Err(Failure(ErrorKind.BUDGET_EXHAUSTED, detail))
        grant_units = max(missing, available // (GRANT_DIVISOR * self._partitions))
        share["granted"] += grant_units
        share["incarnation"] = partition.state.incarnation
        return Ok({**budget_object.shares, str(partition.number): share})

    async def _return_free(self, partition: PartitionLog, budget: str) -> None:
        async with self._budget_lock(budget):
            await self._return_free_locked(partition, budget)

    async def _return_free_locked(
        self, partition: PartitionLog, budget: str
    ) -> Result[None, Failure]:
        free = self._free_units(partition, budget)
        if free > 0:
            journaled = await self._journal_return(partition, budget, free)
            if isinstance(journaled, Err):
                return journaled
        return await self._store_returns(partition, budget)

    async def _journal_return(
        self, partition: PartitionLog, budget: str, units: int
    ) -> Result[bool, Failure]:
        """Journal a return; the units count as pending meanwhile, so no call can reserve them."""
        key = (partition.number, budget)
        self._pending[key] = self._pending.get(key, 0) + units
        try:
            return await partition.append(GrantReturning(budget, units))
        finally:
            self._pending[key] -= units

    async def _store_returns(self, partition: PartitionLog, budget: str) -> Result[None, Failure]:
        """Write the journaled returns to the store."""

        def with_returns(budget_object: BudgetObject) -> Result[dict[str, Share], Failure]:
            share = partition_share(budget_object, partition.number)
            share["returned"] = max(share["returned"], partition.state.grant(budget).returned)
            share["incarnation"] = max(share["incarnation"], partition.state.incarnation)
            return Ok({**budget_object.shares, str(partition.number): share})

        return (await self._update(budget, with_returns)).map(lambda _: None)

    async def _update(
        self, budget: str, change: Callable[[BudgetObject], Result[dict[str, Share], Failure]]
    ) -> Result[dict[str, Share], Failure]:
        """Update the budget object by compare-and-set.

        After an unknown outcome the object is read again and the change is computed from its new
        content. A grant that did take effect is then recognized and not made a second time.
        """
        for attempt in range(MAX_WRITE_ATTEMPTS):
            read = await self._read(budget)
            if isinstance(read, Err):
                return read
            budget_object = read.ok_value
            changed = change(budget_object)
            if isinstance(changed, Err):
                return changed
            if changed.ok_value == budget_object.shares:
                return changed
            body = json.dumps({"writer": self._node, "shares": changed.ok_value}).encode()
            self.store_calls += 1
            written = await self._store.put(
                object_key(budget), body, expected=budget_object.version
            )
            if isinstance(written, Ok):
                return changed
            if written.err_value.kind is StoreErrorKind.UNAVAILABLE:
                break
            await anyio.sleep(RETRY_DELAY_S * (attempt + 1))
        detail = f"budget {budget}: could not write the change to the store"
        return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))

    async def _read(self, budget: str) -> Result[BudgetObject, Failure]:
        self.store_calls += 1
        found = await self._store.get(object_key(budget))
        if isinstance(found, Ok):
            return parse_object(budget, found.ok_value)
        if found.err_value.kind is StoreErrorKind.NOT_FOUND:
            return Ok(BudgetObject(0, {}))
        return Err(Failure(ErrorKind.STORE_UNAVAILABLE, found.err_value.detail))

    def _budget_lock(self, budget: str) -> anyio.Lock:
        return self._locks.setdefault(budget, anyio.Lock())
