"""Budgets by escrow under lost replies, changes of owner, lowered limits and recoveries."""

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


def _limit(bench: Bench, units: int) -> None:
    bench.tickets.config = CONFIG._replace(budgets={"fees": Budget(limit=units)})


def _escrow(bench: Bench, node: str = "n2") -> BudgetEscrow:
    return BudgetEscrow(
        bench.store, lambda: bench.tickets.config, bench.promises, node=node, partitions=48
    )


async def _out(bench: Bench) -> int:
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
    escrow.reserved(log, "fees", units)
    await log.append(CallFinished("p", number, "done", "", None, "", 0, 0, 0, "s1", units, 0.0))
    return Ok(None)


async def _answer(result: Any) -> Any:
    return result


class SpendTest(unittest.TestCase):
    def test_partitions_together_never_spend_more_than_the_limit(self) -> None:
        async def body(bench: Bench) -> Any:
            _limit(bench, 100)
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
            return sum(spent), await _out(bench)

        spent, out = run_with_owner(body)
        self.assertLessEqual(spent, 100)
        self.assertGreater(spent, 100 - 4 * 7)
        self.assertLessEqual(out, 100)

    def test_a_grant_whose_reply_was_lost_is_not_granted_twice(self) -> None:
        async def body(bench: Bench) -> Any:
            _limit(bench, 10)
            log, escrow = LocalLog(0), _escrow(bench)
            put = bench.store.put
            lost = [True, True]

            async def losing(*arguments: Any, **options: Any) -> Any:
                result = await put(*arguments, **options)
                if lost and b'"granted": 10' in arguments[1]:
                    lost.pop()
                    return Err(StoreError(StoreErrorKind.UNKNOWN, "no reply"))
                return result

            bench.store.put = losing
            return await _spend(escrow, log, 10), log.state.grants["fees"], await _out(bench)

        result, grant, out = run_with_owner(body)
        self.assertIsInstance(result, Ok)
        self.assertEqual((grant.granted, grant.spent, out), (10, 10, 10))

    def test_a_new_owner_takes_in_a_grant_that_the_journal_lacks(self) -> None:
        async def body(bench: Bench) -> Any:
            _limit(bench, 10)
            log = LocalLog(0)
            append = log.append
            log.fail = False

            async def crash(*entries: Any) -> Any:
                log.fail = True
                return await append(*entries)

            log.append = crash
            first = await _escrow(bench).reserve(log, "fees", 10)
            log.append, log.fail, log.epoch = append, False, 2
            return first, await _spend(_escrow(bench, "n3"), log, 10), await _out(bench)

        first, second, out = run_with_owner(body)
        self.assertEqual(first.err_value.kind, ErrorKind.NOT_DURABLE)
        self.assertIsInstance(second, Ok)
        self.assertEqual(out, 10)

    def test_a_lowered_limit_takes_back_what_was_not_spent(self) -> None:
        async def body(bench: Bench) -> Any:
            _limit(bench, 48 * 4 * 100)
            log, escrow = LocalLog(0), _escrow(bench)
            await _spend(escrow, log, 1, 1)
            _limit(bench, 50)
            refused = await _spend(escrow, log, 60, 2)
            return refused, await _out(bench), log.state.grants["fees"]

        refused, out, grant = run_with_owner(body)
        self.assertEqual(refused.err_value.kind, ErrorKind.BUDGET_EXHAUSTED)
        self.assertLessEqual(out, 50)
        self.assertEqual(grant.spent, 1)

    def test_after_a_lossy_recovery_the_old_grant_counts_as_spent(self) -> None:
        async def body(bench: Bench) -> Any:
            _limit(bench, 10)
            log = LocalLog(0)
            await _spend(_escrow(bench), log, 6)
            recovered = LocalLog(0)
            recovered.epoch = 2
            await recovered.append(RolledBack(2))
            return await _spend(_escrow(bench, "n3"), recovered, 6), await _out(bench)

        result, out = run_with_owner(body)
        self.assertEqual(result.err_value.kind, ErrorKind.BUDGET_EXHAUSTED)
        self.assertGreaterEqual(out, 6)

    def test_idle_grants_return(self) -> None:
        async def body(bench: Bench) -> Any:
            log, escrow = LocalLog(0), _escrow(bench)
            await _spend(escrow, log, 5)
            before = await _out(bench)
            await anyio.sleep(120)
            await escrow.return_idle(log)
            return before, await _out(bench)

        before, after = run_with_owner(body)
        self.assertGreater(before, 5)
        self.assertEqual(after, 5)

    def test_an_idle_grant_is_kept_while_the_store_is_out(self) -> None:
        """Fault: it was journaled as returned, and every later call waited for the store."""

        async def body(bench: Bench) -> Any:
            log, escrow = LocalLog(0), _escrow(bench)
            await _spend(escrow, log, 5)
            free = log.state.grants["fees"].free
            out = StoreError(StoreErrorKind.UNAVAILABLE, "out")
            bench.store.get = lambda *_, **__: _answer(Err(out))
            await anyio.sleep(120)
            await escrow.return_idle(log)
            spent = await _spend(escrow, log, 5, number=2)
            return free, log.state.grants["fees"].free, spent

        free, left, spent = run_with_owner(body)
        self.assertEqual(spent, Ok(None))
        self.assertEqual(left, free - 5)

    def test_units_on_their_way_back_can_not_be_reserved(self) -> None:
        """Fault: a call reserved what a return, not yet journaled, was giving back."""

        async def body(bench: Bench) -> Any:
            log, escrow = LocalLog(0), _escrow(bench)
            await _spend(escrow, log, 5)
            free = log.state.grants["fees"].free
            await anyio.sleep(120)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(escrow.return_idle, log)
                await anyio.sleep(0.0005)
                await _spend(escrow, log, free, 2)
            return bench.promises.violations, log.state.grants["fees"].free

        violations, free = run_with_owner(body)
        self.assertEqual(violations, [])
        self.assertGreaterEqual(free, 0)

    def test_spending_past_the_grant_breaks_the_promise_and_is_seen(self) -> None:
        async def body(bench: Bench) -> Any:
            log = LocalLog(0)
            await log.append(ProgramOpened("p", "school", "tutoring", "", 0.0))
            entry = CallIntended("p", 1, "", "d", CallKind.TOOL, "issue", False, "fees", 5, (), 0.0)
            await log.append(entry)
            bench.escrow._pending[(0, "fees")] = 5
            bench.escrow.reserved(log, "fees", 5)
            return [violation.promise for violation in bench.promises.violations]

        self.assertEqual(run_with_owner(body), [Promise.BUDGET])


if __name__ == "__main__":
    unittest.main()
