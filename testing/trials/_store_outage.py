"""What callers are told while the store is out, slow or flapping, and copies are lost."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Any
from typing import NamedTuple

import anyio
from result import Err

from bramleylead.errors import Failure
from bramleylead.process._node import Node
from bramleylead.process.partitions._partition_hash import partition_of
from bramleylead.request import AnswerEnd
from bramleylead.request import CallKind
from bramleylead.request import CallRequest
from bramleylead.request import EndProgram
from bramleylead.request import OpenProgram
from bramleylead.request import ReadProgram
from bramleylead.standins import run_virtual
from bramleylead.trials._deployments import MODEL
from bramleylead.trials._deployments import aspenhold
from bramleylead.trials._fleet import Fleet
from bramleylead.trials._fleet import running_fleet
from bramleylead.version import Ticket

BRANCH = "lakeland"
KIND = "assessment"
SEED = 3
WARM_UP_S = 30.0
SETTLE_S = 10.0
DEADLINE_S = 5.0
SLOW_S = 0.3
FLAP_S = 3.0

STORES = ("out", "slow", "flapping")
LOSSES = ("none", "second copy", "owner")
REQUESTS = (
    "model call",
    "tool call that may be repeated",
    "tool call that may not",
    "model call, first since it was opened",
    "tool call that may not, in the same program",
    "open a program",
    "read a program",
    "end a program",
    "submit a ticket",
)


class Cell(NamedTuple):
    """One place in the table."""

    request: str
    store: str
    loss: str


def walk() -> dict[Cell, str]:
    """Try every request under every combination and return what each was told."""
    found: dict[Cell, str] = {}
    for store in STORES:
        for loss in LOSSES:
            told = run_virtual(lambda store=store, loss=loss: _try_all(store, loss), seed=SEED)
            found.update({Cell(name, store, loss): told[name] for name in REQUESTS})
    return found


async def _try_all(store: str, loss: str) -> dict[str, str]:
    async with running_fleet(aspenhold(), seed=SEED) as fleet:
        await anyio.sleep(WARM_UP_S)
        owner, second, program, fresh = _choose_programs(fleet)
        count = fleet.hosts[owner].settings.partitions.count
        new = _program_in(partition_of(program, count), fleet, prefix="new")
        entry = _entry(fleet, owner, second)
        for name in (program, fresh):
            opened = await entry.open_program(OpenProgram(BRANCH, name, KIND))
            assert not isinstance(opened, Err), opened
        warm = await _call(entry, program, CallKind.TOOL, "charge_fee")
        assert warm == "done", warm
        async with _faulty_store(fleet, store):
            if loss != "none":
                await fleet.kill(owner if loss == "owner" else second)
            await anyio.sleep(SETTLE_S)
            return await _ask_all(entry, program, fresh, new)


async def _ask_all(entry: Node, program: str, fresh: str, new: str) -> dict[str, str]:
    body = Ticket(number=2, author="operator").model_dump_json().encode()
    asks: tuple[Callable[[], Awaitable[str]], ...] = (
        lambda: _call(entry, program, CallKind.MODEL, MODEL),
        lambda: _call(entry, program, CallKind.TOOL, "look_up_record"),
        lambda: _call(entry, program, CallKind.TOOL, "charge_fee"),
        lambda: _call(entry, fresh, CallKind.MODEL, MODEL),
        lambda: _call(entry, fresh, CallKind.TOOL, "charge_fee"),
        lambda: _told(entry.open_program(OpenProgram(BRANCH, new, KIND))),
        lambda: _told(entry.read_program(ReadProgram(BRANCH, program, True))),
        lambda: _told(entry.end_program(EndProgram(BRANCH, program))),
        lambda: _told(entry.submit_ticket(body)),
    )
    return {name: await ask() for name, ask in zip(REQUESTS, asks, strict=True)}


async def _call(entry: Node, program: str, call_kind: CallKind, target: str) -> str:
    model = call_kind is CallKind.MODEL
    request = CallRequest(
        branch=BRANCH,
        program=program,
        number=0,
        incarnation=0,
        key="",
        call_kind=call_kind,
        target=target,
        messages=(("user", "a question"),) if model else (),
        whole_history=False,
        arguments={},
        max_tokens=40,
        deadline_s=DEADLINE_S,
    )
    last: Any = None
    async with entry.call(request) as items:
        async for item in items:
            last = item
    if isinstance(last, AnswerEnd):
        return "done" if last.durable else "done, not durable"
    return _worded(last)


async def _told(answer: Awaitable[Any]) -> str:
    result = await answer
    return _worded(result.err_value) if isinstance(result, Err) else "done"


def _worded(failure: Failure) -> str:
    return f"{failure.kind.value} ({failure.answer.ran.value})"


@asynccontextmanager
async def _faulty_store(fleet: Fleet, store: str) -> AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        if store == "out":
            fleet.faults.outage = True
        elif store == "slow":
            fleet.faults.slow_s = SLOW_S
        else:
            tasks.start_soon(_flap, fleet)
        yield
        tasks.cancel_scope.cancel()


async def _flap(fleet: Fleet) -> None:
    while True:
        fleet.faults.outage = not fleet.faults.outage
        await anyio.sleep(FLAP_S)


def _choose_programs(fleet: Fleet) -> tuple[str, str, str, str]:
    """Return owner, second copy's node, and two programs of different partitions of that pair."""
    pairs: dict[tuple[str, str], list[int]] = {}
    for name, host in sorted(fleet.hosts.items()):
        assert host.node is not None
        for number, owned in sorted(host.node._components.partitions.table.owned.items()):
            if owned.record.second is not None:
                pairs.setdefault((name, owned.record.second.node), []).append(number)
    owner, second = next(pair for pair, numbers in sorted(pairs.items()) if len(numbers) > 1)
    first, other = (_program_in(number, fleet) for number in pairs[owner, second][:2])
    return owner, second, first, other


def _program_in(partition: int, fleet: Fleet, *, prefix: str = "exam") -> str:
    count = fleet.hosts["node-0"].settings.partitions.count
    names = (f"{prefix}-{number}" for number in range(10_000))
    return next(name for name in names if partition_of(name, count) == partition)


def _entry(fleet: Fleet, owner: str, second: str) -> Node:
    """Return a node that is neither."""
    name = next(name for name in sorted(fleet.hosts) if name not in (owner, second))
    node = fleet.hosts[name].node
    assert node is not None
    return node
