"""Tests of budget escrow under lost replies, owner changes, lowered limits and recoveries."""

from __future__ import annotations

import json
import unittest
from typing import Any

import anyio
from result import Err
from result import Ok

from bramleylead.errors import ErrorKind
from bramleylead.platform import StoreError
from bramleylead.platform import StoreErrorKind
from bramleylead.process.budgets._budget import BudgetEscrow
from bramleylead.process.journal._entries import CallFinished
from bramleylead.process.journal._entries import CallIntended
from bramleylead.process.journal._entries import ProgramOpened
from bramleylead.process.journal._entries import RolledBack
from bramleylead.promises import Promise
from bramleylead.request import CallKind
from bramleylead.version import Budget
from testing.process.support import CONFIG
from testing.process.support import Bench
from testing.process.support import LocalLog
from testing.process.support import run_with_owner


def _set_limit(bench: Bench, units: int) -> None:
    bench.tickets.config = CONFIG._replace(budgets={"fees": Budget(limit=units)})


def _escrow(bench: Bench, node: str = "n2") -> BudgetEscrow:
    return BudgetEscrow(
        bench.store, lambda: bench.tickets.config, bench.promises, node=node, partitions=48
    )


async def _outstanding(bench: Bench) -> int:
    body = json.loads((await bench.store.get("budgets/fees")).ok_value.value)
    return sum(item["granted"] - item["returned"] for item in body["shares"].values())


async def _spend(escrow: BudgetEscrow, log: LocalLog, units: int, number: int = 1) -> Any:
    reserved = await escrow.reserve(log, "fees", units)
    if isinstance(reserved, Err):
        return reserved
    if "p" not in log.state.programs:
        await log.append(ProgramOpened("p", "school", "tutoring", "", 0.0))
    await log.append(
        CallIntended("p", number, "", "d", CallKind.TOOL, "issue", False, "fees", units, (), 0.0)
    )
    escrow.confirm_reservation(log, "fees", units)
    await log.append(CallFinished("p", number, "done", "", None, "", 0, 0, 0, "s1", units, 0.0))
    return Ok(None)


async def _return_async(result: Any) -> Any:
    return result


class SpendTest(unittest.TestCase):
    def test_a_budget_object_that_can_not_be_decoded_is_no_budget_to_spend(self) -> None:
        share = b'{"shares": {"0": %s}}'
        bodies = (b"", b"[]", b"[" * 50_000, b'{"shares": []}', share % b"7", share % b'{"x": 1}')

        async def body(bench: Bench) -> Any:
            _set_limit(bench, 100)
            for odd in bodies:
                await bench.store.put("budgets/fees", odd)
                reserved = await _escrow(bench).reserve(LocalLog(0), "fees", 10)
                self.assertEqual(reserved.err_value.kind, ErrorKind.STORE_UNAVAILABLE, odd[:30])

        run_with_owner(body)

    def test_partitions_together_spend_at_most_the_limit(self) -> None:
        async def body(bench: Bench) -> Any:
            _set_limit(bench, 100)
            logs = [LocalLog(number) for number in range(4)]
            spent: list[int] = []

            async def spender(log: LocalLog) -> None:
                escrow = _escrow(bench, f"n{log.number}")
                for number in range(1, 20):
                    if isinstance(await _spend(escrow, log, 7, number), Ok):
                        spent.append(7)

            async with anyio.create_task_group() as tasks:
                for log in logs:
                    tasks.start_soon(spender, log)
            return sum(spent), await _outstanding(bench)

        spent, outstanding = run_with_owner(body)
        self.assertLessEqual(spent, 100)
        self.assertGreater(spent, 100 - 4 * 7)
        self.assertLessEqual(outstanding, 100)

    def test_grant_with_lost_reply_is_not_granted_twice(self) -> None:
        async def body(bench: Bench) -> Any:
            _set_limit(bench, 10)
            log, escrow = LocalLog(0), _escrow(bench)
            put = bench.store.put
            replies_to_lose = [True, True]

            async def put_losing_replies(*arguments: Any, **options: Any) -> Any:
                result = await put(*arguments, **options)
                if replies_to_lose and b'"granted": 10' in arguments[1]:
                    replies_to_lose.pop()
                    return Err(StoreError(StoreErrorKind.UNKNOWN, "no reply"))
                return result

            bench.store.put = put_losing_replies
            return (
                await _spend(escrow, log, 10),
                log.state.grants["fees"],
                await _outstanding(bench),
            )

        result, grant, outstanding = run_with_owner(body)
        self.assertIsInstance(result, Ok)
        self.assertEqual((grant.granted, grant.spent, outstanding), (10, 10, 10))

    def test_new_owner_journals_grant_missing_from_journal(self) -> None:
        async def body(bench: Bench) -> Any:
            _set_limit(bench, 10)
            log = LocalLog(0)
            append = log.append
            log.fail = False

            async def fail_append(*entries: Any) -> Any:
                log.fail = True
                return await append(*entries)

            log.append = fail_append
            first = await _escrow(bench).reserve(log, "fees", 10)
            log.append, log.fail, log.epoch = append, False, 2
            return first, await _spend(_escrow(bench, "n3"), log, 10), await _outstanding(bench)

        first, second, outstanding = run_with_owner(body)
        self.assertEqual(first.err_value.kind, ErrorKind.NOT_DURABLE)
        self.assertIsInstance(second, Ok)
        self.assertEqual(outstanding, 10)

    def test_lowered_limit_returns_unspent_units(self) -> None:
        async def body(bench: Bench) -> Any:
            _set_limit(bench, 48 * 4 * 100)
            log, escrow = LocalLog(0), _escrow(bench)
            await _spend(escrow, log, 1, 1)
            _set_limit(bench, 50)
            refused = await _spend(escrow, log, 60, 2)
            return refused, await _outstanding(bench), log.state.grants["fees"]

        refused, outstanding, grant = run_with_owner(body)
        self.assertEqual(refused.err_value.kind, ErrorKind.BUDGET_EXHAUSTED)
        self.assertLessEqual(outstanding, 50)
        self.assertEqual(grant.spent, 1)

    def test_grant_counts_as_spent_after_lossy_recovery(self) -> None:
        async def body(bench: Bench) -> Any:
            _set_limit(bench, 10)
            log = LocalLog(0)
            await _spend(_escrow(bench), log, 6)
            recovered = LocalLog(0)
            recovered.epoch = 2
            await recovered.append(RolledBack(2))
            return await _spend(_escrow(bench, "n3"), recovered, 6), await _outstanding(bench)

        result, outstanding = run_with_owner(body)
        self.assertEqual(result.err_value.kind, ErrorKind.BUDGET_EXHAUSTED)
        self.assertGreaterEqual(outstanding, 6)

    def test_idle_grant_is_returned(self) -> None:
        async def body(bench: Bench) -> Any:
            log, escrow = LocalLog(0), _escrow(bench)
            await _spend(escrow, log, 5)
            before = await _outstanding(bench)
            await anyio.sleep(120)
            await escrow.return_idle_grants(log)
            return before, await _outstanding(bench)

        before, after = run_with_owner(body)
        self.assertGreater(before, 5)
        self.assertEqual(after, 5)

    def test_idle_grant_is_kept_during_store_outage(self) -> None:
        """Regression: the grant was journaled as returned; later calls waited for the store."""

        async def body(bench: Bench) -> Any:
            log, escrow = LocalLog(0), _escrow(bench)
            await _spend(escrow, log, 5)
            free = log.state.grants["fees"].free
            outage = StoreError(StoreErrorKind.UNAVAILABLE, "out")
            bench.store.get = lambda *_, **__: _return_async(Err(outage))
            await anyio.sleep(120)
            await escrow.return_idle_grants(log)
            spent = await _spend(escrow, log, 5, number=2)
            return free, log.state.grants["fees"].free, spent

        free, left, spent = run_with_owner(body)
        self.assertEqual(spent, Ok(None))
        self.assertEqual(left, free - 5)

    def test_units_being_returned_can_not_be_reserved(self) -> None:
        """Regression: a call reserved units while their return was still being journaled."""

        async def body(bench: Bench) -> Any:
            log, escrow = LocalLog(0), _escrow(bench)
            await _spend(escrow, log, 5)
            free = log.state.grants["fees"].free
            await anyio.sleep(120)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(escrow.return_idle_grants, log)
                await anyio.sleep(0.0005)
                await _spend(escrow, log, free, 2)
            return bench.promises.violations, log.state.grants["fees"].free

        violations, free = run_with_owner(body)
        self.assertEqual(violations, [])
        self.assertGreaterEqual(free, 0)

    def test_spending_more_than_the_grant_is_detected(self) -> None:
        async def body(bench: Bench) -> Any:
            log = LocalLog(0)
            await log.append(ProgramOpened("p", "school", "tutoring", "", 0.0))
            entry = CallIntended("p", 1, "", "d", CallKind.TOOL, "issue", False, "fees", 5, (), 0.0)
            await log.append(entry)
            bench.escrow._pending[(0, "fees")] = 5
            bench.escrow.confirm_reservation(log, "fees", 5)
            return [violation.promise for violation in bench.promises.violations]

        self.assertEqual(run_with_owner(body), [Promise.BUDGET])


if __name__ == "__main__":
    unittest.main()
