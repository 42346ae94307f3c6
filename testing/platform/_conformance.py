"""Tests that every implementation of the object store must pass."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Any
from typing import Protocol

import anyio
from result import Ok

from bramleylead.platform import ObjectStore
from bramleylead.platform import StoreErrorKind

Body = Callable[[Any], Awaitable[Any]]


class _Case(Protocol):
    def assertEqual(self, first: Any, second: Any) -> None: ...  # noqa: N802
    def assertGreater(self, first: Any, second: Any) -> None: ...  # noqa: N802
    def open(self) -> AbstractAsyncContextManager[ObjectStore]: ...


class Conformance:
    """Mixin of a test case whose ``open`` opens one kind of store."""

    def run_on_store(self: Any, body: Body) -> Any:
        async def main() -> Any:
            async with self.open() as store:
                return await body(store)

        return anyio.run(main)

    def test_an_object_is_read_as_it_was_written(self: Any) -> None:
        async def body(store: Any) -> None:
            value = bytes(range(256))
            self.assertEqual(await store.put("a/1", value, expected=0), Ok(1))
            found = (await store.get("a/1")).ok_value
            self.assertEqual((found.key, found.value, found.version), ("a/1", value, 1))

        self.run_on_store(body)

    def test_a_missing_object_is_not_found(self: Any) -> None:
        async def body(store: Any) -> None:
            for result in (await store.get("a"), await store.delete("a")):
                self.assertEqual(result.err_value.kind, StoreErrorKind.NOT_FOUND)

        self.run_on_store(body)

    def test_a_write_with_an_old_version_changes_nothing(self: Any) -> None:
        async def body(store: Any) -> None:
            await store.put("a", b"1", expected=0)
            self.assertEqual(await store.put("a", b"2", expected=1), Ok(2))
            for expected in (0, 1, 3):
                old = await store.put("a", b"3", expected=expected)
                self.assertEqual(old.err_value.kind, StoreErrorKind.CONFLICT)
            old = await store.delete("a", expected=1)
            self.assertEqual(old.err_value.kind, StoreErrorKind.CONFLICT)
            self.assertEqual((await store.get("a")).ok_value.value, b"2")

        self.run_on_store(body)

    def test_one_of_many_writers_wins(self: Any) -> None:
        async def body(store: Any) -> None:
            outcomes = []

            async def write(number: int) -> None:
                outcomes.append(await store.put("a", b"%d" % number, expected=0))

            async with anyio.create_task_group() as tasks:
                for number in range(10):
                    tasks.start_soon(write, number)
            self.assertEqual(outcomes.count(Ok(1)), 1)

        self.run_on_store(body)

    def test_a_value_over_the_limit_is_refused(self: Any) -> None:
        async def body(store: Any) -> None:
            large = await store.put("a", bytes(1_000_001))
            self.assertEqual(large.err_value.kind, StoreErrorKind.TOO_LARGE)
            self.assertEqual(await store.put("a", bytes(1_000_000)), Ok(1))

        self.run_on_store(body)

    def test_lists_are_in_key_order_and_paged(self: Any) -> None:
        async def body(store: Any) -> None:
            for key in ("b/2", "a/1", "b/1", "b/3", "c"):
                await store.put(key, b"")
            first = (await store.list("b/", limit=2)).ok_value
            rest = (await store.list("b/", after="b/2")).ok_value
            self.assertEqual([found.key for found in first], ["b/1", "b/2"])
            self.assertEqual([found.key for found in rest], ["b/3"])
            self.assertEqual(len((await store.list("")).ok_value), 5)

        self.run_on_store(body)

    def test_keys_may_contain_any_character(self: Any) -> None:
        async def body(store: Any) -> None:
            for key in ("a b", "ä/ö?&=#%", "..", "a/../b", "x+y"):
                await store.put(key, key.encode())
                self.assertEqual((await store.get(key)).ok_value.value, key.encode())

        self.run_on_store(body)

    def test_a_watch_reports_changes_and_deletions_in_order(self: Any) -> None:
        async def body(store: Any) -> None:
            await store.put("a/1", b"1")
            await store.put("other", b"")
            await store.put("a/2", b"2")
            await store.delete("a/1")
            page = (await store.watch("a/", after_revision=0, timeout_s=0.0)).ok_value
            reported = [(change.key, change.value) for change in page.changes]
            self.assertEqual(reported, [("a/2", b"2"), ("a/1", None)])
            again = await store.watch("a/", after_revision=page.revision, timeout_s=0.01)
            self.assertEqual(again.ok_value.changes, ())

        self.run_on_store(body)

    def test_a_pending_watch_returns_on_a_change(self: Any) -> None:
        async def body(store: Any) -> None:
            pages = []

            async def watch() -> None:
                pages.append(await store.watch("a/", after_revision=0, timeout_s=30.0))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                await anyio.wait_all_tasks_blocked()
                await store.put("b/1", b"")
                await store.put("a/1", b"")
            self.assertEqual([change.key for change in pages[0].ok_value.changes], ["a/1"])

        self.run_on_store(body)

    def test_a_watch_from_an_old_revision_misses_nothing(self: Any) -> None:
        async def body(store: Any) -> None:
            await store.put("a/1", b"")
            first = (await store.get("a/1")).ok_value.revision
            for _ in range(30):
                await store.put("busy", b"")
            await store.put("a/2", b"")
            page = (await store.watch("a/", after_revision=first, timeout_s=0.0)).ok_value
            self.assertEqual([change.key for change in page.changes], ["a/2"])

        self.run_on_store(body)
