"""Writes with a lost reply are resolved by reading; calls stay within the rate limit."""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
from result import Err
from result import Ok

from bramleylead.platform import LimitedStore
from bramleylead.platform import MemoryStore
from bramleylead.platform import Stamped
from bramleylead.platform import StoreError
from bramleylead.platform import StoreErrorKind
from bramleylead.platform import write_resolved
from bramleylead.standins import FakeNetwork
from bramleylead.standins import FaultyStore
from bramleylead.standins import StoreFaults
from bramleylead.standins import run_virtual

Body = Callable[[MemoryStore, FaultyStore], Awaitable[Any]]


def run_faulty(body: Body, *, seed: int = 1) -> Any:
    async def main() -> Any:
        inner = MemoryStore()
        network = FakeNetwork({"a": ("r", "d")})
        store = FaultyStore(
            inner, host="a", network=network, rng=random.Random(seed), faults=StoreFaults()
        )
        return await body(inner, store)

    return run_virtual(main, seed=seed)


class _ScriptedStore:
    """A store whose next writes take effect or not, and are answered or not, as scripted."""

    def __init__(self, inner: MemoryStore, *script: tuple[bool, bool]) -> None:
        self._inner = inner
        self._script = list(script)
        self.after_put: Callable[[], None] = lambda: None

    async def put(self, key: str, value: bytes, *, expected: int, timeout_s: float) -> Any:
        takes_effect, is_answered = self._script.pop(0) if self._script else (True, True)
        written = self._inner.put_now(key, value, expected=expected) if takes_effect else None
        self.after_put()
        if is_answered and written is not None:
            return written
        return Err(StoreError(StoreErrorKind.UNKNOWN, "no reply"))

    async def get(self, key: str, *, timeout_s: float) -> Any:
        return await self._inner.get(key)


async def write(store: Any, body: bytes, *, expected: int = 0, writer: str = "a") -> Any:
    return await write_resolved(store, "k", body, expected=expected, writer=writer)


class WriteResolvedTest(unittest.TestCase):
    def test_a_write_that_took_effect_without_reply_succeeds(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore) -> None:
            scripted = _ScriptedStore(inner, (True, False))
            self.assertEqual(await write(scripted, b"x"), Ok(1))
            self.assertEqual(inner.revision, 1)

        run_faulty(body)

    def test_a_lost_write_is_sent_again_with_the_same_condition(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore) -> None:
            scripted = _ScriptedStore(inner, (False, False))
            self.assertEqual(await write(scripted, b"x"), Ok(1))

        run_faulty(body)

    def test_a_change_by_another_writer_is_a_conflict(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore) -> None:
            other = Stamped("b", "t", b"other").pack()
            scripted = _ScriptedStore(inner, (False, False))
            scripted.after_put = lambda: inner.put_now("k", other)
            lost = await write(scripted, b"x")
            self.assertEqual(lost.err_value.kind, StoreErrorKind.CONFLICT)
            self.assertEqual((await inner.get("k")).ok_value.value, other)

        run_faulty(body)

    def test_a_write_that_may_have_been_overwritten_stays_unknown(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore) -> None:
            other = Stamped("b", "t", b"other").pack()
            scripted = _ScriptedStore(inner, (True, False))
            scripted.after_put = lambda: inner.put_now("k", other)
            lost = await write(scripted, b"x")
            self.assertEqual(lost.err_value.kind, StoreErrorKind.UNKNOWN)

        run_faulty(body)

    def test_a_deleted_object_leaves_the_outcome_unknown(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore) -> None:
            await inner.put("k", b"")
            scripted = _ScriptedStore(inner, (True, False))
            scripted.after_put = lambda: inner.delete_now("k")
            lost = await write(scripted, b"x", expected=1)
            self.assertEqual(lost.err_value.kind, StoreErrorKind.UNKNOWN)

        run_faulty(body)

    def test_an_outage_from_the_start_had_no_effect(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore) -> None:
            store.faults.outage = True
            refused = await write(store, b"x")
            self.assertEqual(refused.err_value.kind, StoreErrorKind.UNAVAILABLE)

        run_faulty(body)

    def test_a_lost_reply_followed_by_an_outage_is_unknown(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore) -> None:
            store.faults.lose_reply_rate = 1.0
            async with anyio.create_task_group() as tasks:

                async def fail_later() -> None:
                    await anyio.sleep(1)
                    store.faults.outage = True

                tasks.start_soon(fail_later)
                lost = await write(store, b"x")
            self.assertEqual(lost.err_value.kind, StoreErrorKind.UNKNOWN)
            self.assertEqual(Stamped.parse((await inner.get("k")).ok_value.value).body, b"x")

        run_faulty(body)

    def test_a_late_first_attempt_and_its_retry_take_effect_once(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore) -> None:
            store.faults.slow_s = 3.0
            async with anyio.create_task_group() as tasks:

                async def heal_later() -> None:
                    await anyio.sleep(1)
                    store.faults.slow_s = 0.0

                tasks.start_soon(heal_later)
                written = await write(store, b"x")
            await anyio.sleep(10)
            await store.get("k")
            self.assertEqual(written, Ok(1))
            self.assertEqual((await inner.get("k")).ok_value.version, 1)

        run_faulty(body)

    def test_the_number_of_successes_matches_the_version_under_random_faults(self) -> None:
        """Guards against writes that take effect twice, or after they were reported as failed."""

        async def body(inner: MemoryStore, store: FaultyStore) -> None:
            store.faults.lose_reply_rate = 0.3
            counts = {"a": 0, "b": 0}
            unknown = 0

            async def add(writer: str) -> None:
                nonlocal unknown
                for _ in range(30):
                    found = await inner.get("k")
                    known = isinstance(found, Ok)
                    version = found.ok_value.version if known else 0
                    outcome = await write(store, b"", expected=version, writer=writer)
                    if isinstance(outcome, Ok):
                        counts[writer] += 1
                    elif outcome.err_value.kind is StoreErrorKind.UNKNOWN:
                        unknown += 1

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(add, "a")
                tasks.start_soon(add, "b")
            version = (await inner.get("k")).ok_value.version
            self.assertGreaterEqual(version, sum(counts.values()))
            self.assertLessEqual(version, sum(counts.values()) + unknown)
            self.assertGreater(store.faults.lost_replies, 5)

        for seed in range(5):
            with self.subTest(seed):
                run_faulty(body, seed=seed)

    def test_a_write_without_a_condition_is_rejected(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore) -> None:
            with self.assertRaises(ValueError):
                await write(store, b"", expected=-1)

        run_faulty(body)

    def test_a_value_that_is_not_stamped_is_rejected(self) -> None:
        for value in (b"", b"text", b"\x93\x01\x02\x03", b"\xc1"):
            with self.assertRaises(ValueError):
                Stamped.parse(value)


class LimitedStoreTest(unittest.TestCase):
    def test_calls_over_the_rate_wait(self) -> None:
        async def main() -> None:
            store = LimitedStore(MemoryStore(), calls_per_s=10)
            for _ in range(30):
                await store.get("k", timeout_s=60)
            self.assertAlmostEqual(anyio.current_time() - started[0], 2.0, delta=0.2)
            self.assertEqual(store.calls, {"get": 30})

        started = [0.0]

        async def timed() -> None:
            started[0] = anyio.current_time()
            await main()

        run_virtual(timed, seed=1)

    def test_a_call_that_would_wait_too_long_is_not_sent(self) -> None:
        async def main() -> None:
            inner = MemoryStore()
            store = LimitedStore(inner, calls_per_s=1)
            await store.put("k", b"")
            refused = await store.put("k", b"", timeout_s=0.5)
            self.assertEqual(refused.err_value.kind, StoreErrorKind.UNAVAILABLE)
            self.assertEqual((inner.writes, store.held_back), (1, 1))

        run_virtual(main, seed=1)

    def test_a_pending_watch_counts_as_one_call(self) -> None:
        async def main() -> None:
            store = LimitedStore(MemoryStore(), calls_per_s=10)
            await store.watch("", after_revision=0, timeout_s=100)
            self.assertEqual(store.calls, {"watch": 1})

        run_virtual(main, seed=1)


if __name__ == "__main__":
    unittest.main()
