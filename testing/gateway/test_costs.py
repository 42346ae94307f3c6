"""Counts what a kept turn, a plain call and an idle second make the processes do, and bounds it.

Processor time can't be bounded in a test, what takes it can: callbacks of the event loop, tasks,
messages between nodes and their bytes. Each process runs under a launcher that counts these.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import anyio

from bramleylead.bench._processor_site import BenchSite
from bramleylead.bench._processor_site import bench_site
from bramleylead.connection._http_client import HttpClient

COUNTING = """
import asyncio.base_events, asyncio.events, collections, json, os, sys, threading, time
from bramleylead.connection._frames import FrameStream
counts = collections.Counter()

def counted(cls, name, method):
    def call(self, *words, **options):
        counts[name] += 1
        return method(self, *words, **options)
    setattr(cls, method.__name__, call)

counted(asyncio.events.Handle, "callbacks", asyncio.events.Handle.__init__)
counted(asyncio.base_events.BaseEventLoop, "tasks", asyncio.base_events.BaseEventLoop.create_task)
send_nowait = FrameStream.send_nowait

def send_counted(self, frame, **options):
    size = send_nowait(self, frame, **options)
    counts["messages"] += 1
    counts["bytes"] += size
    return size

FrameStream.send_nowait = send_counted
file = sys.argv[-1].partition("=")[2] + ".counts"

def write():
    while True:
        with open(file + ".new", "w") as stream:
            json.dump({**counts, "modules": list(sys.modules)}, stream)
        os.replace(file + ".new", file)
        time.sleep(0.05)

threading.Thread(target=write, daemon=True).start()
from bramleylead.cli import main
sys.exit(main(sys.argv))
"""
COUNTS_WRITTEN_S = 0.5
"""The counts are written every 0.05 s, on a busy machine later."""
SETTLE_S = 3.0
IDLE_S = 4.0
REQUESTS = 40
NOT_IMPORTED = ("pydantic", "trio", "matplotlib", "bramleylead.standins", "bramleylead.scheduling")
NOT_LOADED = (
    "annotated_types",
    "argparse",
    "bramleylead.bench",
    "bramleylead.process",
    "bramleylead.request",
    "bramleylead.scheduling",
    "bramleylead.standins",
    "bramleylead.trials",
    "bramleylead.version",
    "concurrent.futures.process",
    "email.message",
    "email.parser",
    "http.client",
    "http.server",
    "matplotlib",
    "multiprocessing.pool",
    "numpy",
    "pydantic",
    "pydantic_core",
    "unittest",
    "urllib.request",
    "uvicorn.lifespan.on",
    "uvicorn.loops",
    "uvicorn.protocols.websockets",
)
"""What no role has loaded when it is ready. Where trio is installed, httpcore imports it."""
NOT_LOADED_BY_LEDGER = ("bramleylead.gateway",)


class Counts(NamedTuple):
    """What a process did: the gateway, or all nodes of the ledger together."""

    callbacks: float
    tasks: float
    messages: float
    bytes: float


class Spent(NamedTuple):
    """What was counted in a span of time."""

    span_s: float
    gateway: Counts
    ledgers: Counts


def _read(site: BenchSite, role: str) -> Counts:
    found = [
        json.loads(Path(f"{node.settings_file}.counts").read_text())
        for node in site.nodes
        if node.role == role
    ]
    return Counts(*(sum(each.get(field, 0) for each in found) for field in Counts._fields))


def _read_modules(settings_file: Path) -> set[str]:
    return set(json.loads(Path(f"{settings_file}.counts").read_text())["modules"])


async def _count(site: BenchSite, work: Callable[[], Awaitable[None]]) -> Spent:
    await anyio.sleep(COUNTS_WRITTEN_S)
    began_at = anyio.current_time()
    before = _read(site, "gateway"), _read(site, "ledger")
    await work()
    await anyio.sleep(COUNTS_WRITTEN_S)
    after = _read(site, "gateway"), _read(site, "ledger")
    gateway, ledgers = (
        Counts(*(new - old for new, old in zip(late, early, strict=True)))
        for early, late in zip(before, after, strict=True)
    )
    return Spent(anyio.current_time() - began_at, gateway, ledgers)


def _each(spent: Counts, count: float, idle: Counts, share: float) -> Counts:
    """Return what one unit of work takes beyond what the process does when idle."""
    pairs = zip(spent, idle, strict=True)
    return Counts(*((all_ - share * at_rest) / count for all_, at_rest in pairs))


BOUNDS = {
    ("idle", "gateway"): Counts(callbacks=90, tasks=5, messages=6, bytes=300),
    ("idle", "ledgers"): Counts(callbacks=720, tasks=70, messages=90, bytes=4_000),
    ("turn", "gateway"): Counts(callbacks=96, tasks=8, messages=8, bytes=5_000),
    ("turn", "ledgers"): Counts(callbacks=105, tasks=12, messages=20, bytes=3_500),
    ("call", "gateway"): Counts(callbacks=19, tasks=3, messages=1, bytes=100),
    ("call", "ledgers"): Counts(callbacks=20, tasks=3, messages=3, bytes=300),
}
"""By what is done and by whom, all nodes of the ledger together."""


class CostsTest(unittest.TestCase):
    def check(self, name: str, counted: Counts, bound: Counts) -> None:
        for field, value, most in zip(Counts._fields, counted, bound, strict=True):
            with self.subTest(f"{name}: {field}"):
                self.assertLessEqual(value, most)

    # Guards against work that is added to each request, message or second unnoticed. The bounds
    # are about a third above what was counted.
    def test_turns_calls_and_idle_seconds_take_no_more_than_bounded(self) -> None:
        async def main() -> tuple[Spent, Spent, Spent]:
            with tempfile.TemporaryDirectory() as folder:
                async with bench_site(Path(folder), (), ("-c", COUNTING)) as site:
                    await site.wait_durable()
                    await anyio.sleep(SETTLE_S)
                    idle = await _count(site, lambda: anyio.sleep(IDLE_S))
                    async with HttpClient(site.gateway.http) as client:
                        await site.turns(client, 1)
                        turns = await _count(site, lambda: site.turns(client, REQUESTS))
                        calls = await _count(site, lambda: site.plain_calls(client, REQUESTS))
                    return idle, turns, calls

        idle, turns, calls = anyio.run(main)
        for role in ("gateway", "ledgers"):
            at_rest = getattr(idle, role)
            second = Counts(*(value / idle.span_s for value in at_rest))
            self.check(f"idle second, {role}", second, BOUNDS["idle", role])
            for name, spent in (("turn", turns), ("call", calls)):
                share = spent.span_s / idle.span_s
                each = _each(getattr(spent, role), REQUESTS, at_rest, share)
                self.check(f"{name}, {role}", each, BOUNDS[name, role])

    # Guards against a start that becomes slower by an import of what the role does not use.
    def test_roles_that_are_ready_have_loaded_nothing_that_they_do_not_need(self) -> None:
        async def main() -> dict[str, set[str]]:
            with tempfile.TemporaryDirectory() as folder:
                async with bench_site(Path(folder), (), ("-c", COUNTING)) as site:
                    await site.wait_durable()
                    await anyio.sleep(COUNTS_WRITTEN_S)
                    return {node.role: _read_modules(node.settings_file) for node in site.nodes}

        loaded = anyio.run(main)
        for role, modules in loaded.items():
            with self.subTest(role):
                self.assertIn(f"bramleylead.{role}._run", modules)
                self.assertEqual(modules & set(NOT_LOADED), set())
        self.assertEqual(loaded["ledger"] & set(NOT_LOADED_BY_LEDGER), set())

    # Guards against a start that becomes slower: pydantic's import and models took a fifth of it.
    def test_roles_import_nothing_that_they_do_not_need(self) -> None:
        for role in ("gateway", "ledger"):
            code = f"import sys, bramleylead.cli.commands.{role}; print(*sys.modules)"
            command = [sys.executable, "-c", code]
            found = subprocess.run(command, capture_output=True, text=True, check=True)
            with self.subTest(role):
                self.assertEqual(set(found.stdout.split()) & set(NOT_IMPORTED), set())
