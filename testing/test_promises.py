"""Each promise is broken on purpose, and the counter that operators watch sees it."""

from __future__ import annotations

import re
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.http._responses import CallRef
from bramleylead.metrics import Metrics
from bramleylead.process.calls._garbage_collection import ProgramGarbageCollector
from bramleylead.process.journal._entries import CacheHeld
from bramleylead.process.journal._entries import CallIntended
from bramleylead.process.journal._entries import ProgramOpened
from bramleylead.process.tickets._applied_tickets import AppliedTickets
from bramleylead.promises import Promise
from bramleylead.promises import PromiseBroken
from bramleylead.promises import Promises
from bramleylead.request import AnswerChunk
from bramleylead.request import CallKind
from bramleylead.request._answer_assembler import AnswerAssembler
from bramleylead.standins import run_virtual
from bramleylead.trials._caller import Caller
from bramleylead.trials._deployments import aspenhold
from bramleylead.trials._fleet import running_fleet
from bramleylead.trials._program_plan import Plan
from bramleylead.trials._program_plan import model_step
from testing.process.support import Bench
from testing.process.support import LocalLog
from testing.process.support import run_with_owner

COUNTER = re.compile(r'^bramleylead_invariant_violations_total\{promise="(\w+)"\} (\d+)', re.M)


def broken(metrics: Metrics) -> dict[str, int]:
    """Return the promises whose counter is not 0, from the page that operators scrape."""
    page = metrics.render("text/plain")[0].decode()
    return {name: int(count) for name, count in COUNTER.findall(page) if int(count)}


def broken_by(body: Any) -> dict[str, int]:
    """Run a body with an owner, let a refusal to act through, and return what is counted."""
    benches: list[Bench] = []

    async def keep(bench: Bench) -> None:
        benches.append(bench)
        await body(bench)

    try:
        run_with_owner(keep)
    except (PromiseBroken, BaseExceptionGroup) as error:
        if not isinstance(error, PromiseBroken) and error.subgroup(PromiseBroken) is None:
            raise
    return broken(benches[0].metrics)


def before_slot(bench: Bench, act: Any) -> None:
    """Do something between a call's admission and its send."""
    granting = bench.scheduler.slot

    @asynccontextmanager
    async def slot(request: Any) -> AsyncIterator[Any]:
        async with granting(request) as granted:
            act()
            yield granted

    bench.scheduler.slot = slot


class PromiseTest(unittest.TestCase):
    def test_every_promise_is_on_the_page_from_the_start(self) -> None:
        metrics = Metrics()
        Promises(metrics.registry)
        names = {name for name, _ in COUNTER.findall(metrics.render("text/plain")[0].decode())}
        self.assertEqual(names, {promise.value for promise in Promise})

    def test_a_call_that_would_run_after_a_later_one(self) -> None:
        async def body(bench: Bench) -> None:
            await bench.open()

            def skip() -> None:
                bench.directory.only.state.programs["p1"].last_number = 5

            before_slot(bench, skip)
            await bench.call()

        self.assertEqual(broken_by(body), {"call_order": 1})

    def test_a_history_that_grew_during_a_call(self) -> None:
        async def body(bench: Bench) -> None:
            await bench.open()

            def grow() -> None:
                bench.directory.only.state.programs["p1"].messages.append(("user", "other"))

            before_slot(bench, grow)
            await bench.call()

        self.assertEqual(broken_by(body).get("history"), 1)

    def test_spending_past_a_grant(self) -> None:
        async def body(bench: Bench) -> None:
            log = LocalLog(0)
            await log.append(ProgramOpened("p", "school", "tutoring", "", 0.0))
            entry = CallIntended("p", 1, "", "d", CallKind.TOOL, "issue", False, "fees", 5, (), 0.0)
            await log.append(entry)
            bench.escrow._pending[(0, "fees")] = 5
            bench.escrow.confirm_reservation(log, "fees", 5)

        self.assertEqual(broken_by(body), {"budget": 1})

    def test_forgetting_a_program_whose_cache_is_held(self) -> None:
        async def body(bench: Bench) -> None:
            await bench.open()
            log = bench.directory.only
            await log.append(CacheHeld("p1", "e1", 100))
            router: Any = None
            ender = ProgramGarbageCollector(bench.parts, bench.owner, router, lambda: [log])
            await ender._forget(log, log.state.programs["p1"])

        self.assertEqual(broken_by(body), {"engine_memory": 1})

    def test_a_gap_in_an_answer(self) -> None:
        async def body(bench: Bench) -> None:
            assembler = AnswerAssembler(bench.promises, CallRef("p1", 1))
            assembler.add(AnswerChunk(0, "Hel", 1))
            assembler.add(AnswerChunk(4, "o", 1))

        self.assertEqual(broken_by(body), {"whole_answer": 1})

    def test_a_refusal_after_text_came(self) -> None:
        async def body(bench: Bench) -> None:
            assembler = AnswerAssembler(bench.promises, CallRef("p1", 1))
            assembler.add(AnswerChunk(0, "Hel", 1))
            assembler.add(Failure(ErrorKind.OVERLOADED, "too late"))

        self.assertEqual(broken_by(body), {"not_run": 1})

    def test_sending_a_call_twice_that_may_not_be_repeated(self) -> None:
        async def body(bench: Bench) -> None:
            await bench.open()
            original = type(bench.owner)._prepare

            def forgetful(*arguments: Any) -> Any:
                call = original(bench.owner, *arguments)
                call.sent = True
                return call

            bench.owner._prepare = forgetful
            await bench.tool("issue")

        self.assertEqual(broken_by(body), {"at_most_once": 1})

    def test_sending_to_an_endpoint_that_is_leaving(self) -> None:
        async def body(bench: Bench) -> None:
            await bench.open()
            config = bench.tickets.config
            leaving = {
                name: endpoint.model_copy(update={"leaving": True})
                for name, endpoint in config.endpoints.items()
            }
            bench.tickets.config = config._replace(endpoints=leaving)
            await bench.call()

        self.assertEqual(broken_by(body), {"leaving_endpoint": 1})

    def test_a_planned_stop_that_cuts_an_answer_off(self) -> None:
        async def main() -> dict[str, int]:
            deployment = aspenhold()
            nodes = {
                name: settings.model_copy(update={"stop_grace_s": 0.2})
                for name, settings in deployment.nodes.items()
            }
            async with running_fleet(deployment._replace(nodes=nodes), seed=1) as fleet:
                await anyio.sleep(40.0)
                steps = (model_step("long [output=200]", 0.0),)
                plan = Plan("program", "lakeland", "tutoring", steps)
                caller = Caller(fleet, plan, fleet.rng)
                only = fleet.hosts["node-0"]
                fleet.ready = lambda: [only]
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(caller.run)
                    await anyio.sleep(0.3)
                    node = only.node
                    assert node is not None
                    await node.stop()
                    tasks.cancel_scope.cancel()
                return broken(node.metrics)

        self.assertEqual(run_virtual(main, seed=1), {"graceful_stop": 1})

    def test_two_tickets_under_one_number(self) -> None:
        metrics = Metrics()
        applied = AppliedTickets(Promises(metrics.registry))
        applied.learn(2, b'{"number": 2, "author": "one"}')
        applied.learn(2, b'{"number": 2, "author": "other"}')
        self.assertEqual(broken(metrics), {"tickets": 1})
