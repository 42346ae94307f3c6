"""The conformance tests of each store, and tests of its own features."""

from __future__ import annotations

import tempfile
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
from result import Ok

from bramleylead.node_settings import StoreSettings
from bramleylead.platform import HttpStore
from bramleylead.platform import MemoryStore
from bramleylead.platform import ObjectStore
from bramleylead.platform import StoreErrorKind
from bramleylead.platform import VmEntry
from bramleylead.platform import open_folder
from bramleylead.platform import open_store
from bramleylead.platform import store_kind
from bramleylead.platform._memory import KEPT_DELETIONS
from bramleylead.standins import run_virtual
from bramleylead.standins import serve_objects
from testing.platform._conformance import Conformance

VM = VmEntry("n1", "10.0.0.1:7000", "r1", "d1", leaving=True)

ANSWER_TIMEOUT_S = 2.0
"""Long enough for a call to be sent on a machine that stalls; one not sent has no effect."""


class MemoryStoreTest(Conformance, unittest.TestCase):
    @asynccontextmanager
    async def open(self) -> AsyncIterator[ObjectStore]:
        yield MemoryStore()

    def test_a_watch_that_may_have_missed_a_deletion_must_restart(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            await store.put("kept", b"")
            first = (await store.get("kept")).ok_value.revision
            for number in range(KEPT_DELETIONS + 1):
                store.put_now(f"{number}", b"")
                store.delete_now(f"{number}")
            refused = await store.watch("", after_revision=first, timeout_s=0)
            self.assertEqual(refused.err_value.kind, StoreErrorKind.NOT_FOUND)
            restarted = (await store.watch("kept", after_revision=0, timeout_s=0)).ok_value
            self.assertEqual([change.key for change in restarted.changes], ["kept"])
            self.assertEqual(restarted.revision, store.revision)

        run_virtual(main, seed=1)


class FolderStoreTest(Conformance, unittest.TestCase):
    @asynccontextmanager
    async def open(self) -> AsyncIterator[ObjectStore]:
        with tempfile.TemporaryDirectory() as folder:
            async with open_folder(Path(folder)) as store:
                yield store

    def test_objects_and_vms_survive_a_restart(self) -> None:
        async def main(folder: Path) -> None:
            async with open_folder(folder) as store:
                await store.put("a/1", b"1")
                await store.put("a/1", b"2")
                await store.put("a/2", b"")
                await store.set_vm(VM)
                before = (await store.watch("a/", after_revision=0, timeout_s=0)).ok_value
                await store.delete("a/2")
            async with open_folder(folder) as store:
                found = (await store.get("a/1")).ok_value
                self.assertEqual((found.value, found.version), (b"2", 2))
                self.assertEqual((await store.vms()).ok_value, [VM])
                page = await store.watch("a/", after_revision=before.revision, timeout_s=0)
                reported = [(change.key, change.value) for change in page.ok_value.changes]
                self.assertEqual(reported, [("a/2", None)])

        self._run_in_folder(main)

    def test_a_partially_written_file_is_dropped_at_start(self) -> None:
        async def main(folder: Path) -> None:
            async with open_folder(folder) as store:
                await store.put("a", b"1")
            (folder / "objects" / "ka.partial").write_bytes(b"half")
            async with open_folder(folder) as store:
                self.assertEqual((await store.get("a")).ok_value.value, b"1")

        self._run_in_folder(main)

    def test_the_error_names_a_damaged_file(self) -> None:
        async def main(folder: Path) -> None:
            async with open_folder(folder) as store:
                await store.put("a", b"1")
            (folder / "objects" / "ka").write_bytes(b"\xc1")
            with self.assertRaisesRegex(ValueError, "objects/ka: damaged"):
                async with open_folder(folder):
                    pass

        self._run_in_folder(main)

    def test_a_second_process_can_not_open_the_folder(self) -> None:
        async def main(folder: Path) -> None:
            async with open_folder(folder):
                with self.assertRaisesRegex(ValueError, "another process"):
                    async with open_folder(folder):
                        pass
            async with open_folder(folder):
                pass

        self._run_in_folder(main)

    def _run_in_folder(self, main: Any) -> None:
        with tempfile.TemporaryDirectory() as folder:
            anyio.run(main, Path(folder))


class HttpStoreTest(Conformance, unittest.TestCase):
    @asynccontextmanager
    async def open(self) -> AsyncIterator[ObjectStore]:
        inner = MemoryStore()
        inner.set_vm(VM)
        async with (
            serve_objects(inner, "127.0.0.1:0") as address,
            HttpStore(f"http://{address}") as store,
        ):
            yield store

    def test_the_list_of_vms_is_read(self) -> None:
        async def body(store: Any) -> None:
            self.assertEqual((await store.vms()).ok_value, [VM])

        self.run_on_store(body)

    def test_a_refused_connection_had_no_effect(self) -> None:
        async def main() -> None:
            async with HttpStore("http://127.0.0.1:9") as store:
                for result in (await store.put("a", b""), await store.get("a")):
                    self.assertEqual(result.err_value.kind, StoreErrorKind.UNAVAILABLE)

        anyio.run(main)

    def _error_kinds(self, answer: bytes) -> tuple[StoreErrorKind, StoreErrorKind]:
        """Return the error kinds of a read and of a write that receive this answer."""

        async def handler(stream: SocketStream) -> None:
            async with stream:
                data = b""
                while b"\r\n\r\n" not in data:
                    data += await stream.receive()
                await stream.send(answer)
                if not answer:
                    await anyio.sleep_forever()

        async def main() -> Any:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, handler)
                async with HttpStore(f"http://127.0.0.1:{port}") as store:
                    read = await store.get("a", timeout_s=ANSWER_TIMEOUT_S)
                    write = await store.put("a", b"", timeout_s=ANSWER_TIMEOUT_S)
                tasks.cancel_scope.cancel()
            await listener.aclose()
            return read.err_value.kind, write.err_value.kind

        return anyio.run(main)

    def test_an_answer_that_can_not_be_decoded_is_the_failure_of_its_call(self) -> None:
        deep = b"[" * 100_000 + b"]" * 100_000
        for body in (deep, b"9" * 4_901, b'{"version": 1e999}', b'{"version": "\xff"}'):
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
            with self.subTest(body[:20]):
                kinds = (StoreErrorKind.UNAVAILABLE, StoreErrorKind.UNKNOWN)
                self.assertEqual(self._error_kinds(head + body), kinds)

    def test_a_lost_reply_to_a_write_is_unknown(self) -> None:
        kinds = StoreErrorKind
        answers = (
            b"",
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{",
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        )
        for answer in answers:
            with self.subTest(answer):
                self.assertEqual(self._error_kinds(answer), (kinds.UNAVAILABLE, kinds.UNKNOWN))

    def test_an_answer_that_reports_no_effect_is_not_unknown(self) -> None:
        kinds = StoreErrorKind
        answers = (
            (b"HTTP/1.1 503 No\r\nx-effect: none\r\ncontent-length: 0\r\n\r\n", kinds.UNAVAILABLE),
            (b"HTTP/1.1 412 No\r\ncontent-length: 0\r\n\r\n", kinds.CONFLICT),
            (b"HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n", kinds.NOT_FOUND),
        )
        for answer, kind in answers:
            with self.subTest(answer):
                self.assertEqual(self._error_kinds(answer), (kind, kind))


class OpenStoreTest(unittest.TestCase):
    def test_each_kind_is_opened_by_the_settings(self) -> None:
        async def main(folder: str) -> None:
            async with open_store(StoreSettings(kind="folder", location=folder)) as store:
                self.assertEqual(await store.put("a", b""), Ok(1))
            async with open_store(StoreSettings()) as store:
                self.assertEqual(await store.put("a", b""), Ok(1))
            async with serve_objects(MemoryStore(), "127.0.0.1:0") as address:
                settings = StoreSettings(kind="http", location=f"http://{address}")
                async with open_store(settings) as store:
                    self.assertEqual(await store.put("a", b""), Ok(1))

        with tempfile.TemporaryDirectory() as folder:
            anyio.run(main, folder)

    def test_the_error_names_an_invalid_location(self) -> None:
        async def main(settings: StoreSettings) -> None:
            async with open_store(settings):
                pass

        for kind in ("folder", "http"):
            with self.assertRaisesRegex(ValueError, "store.location"):
                anyio.run(main, StoreSettings(kind=kind))

    def test_a_kind_can_not_be_registered_twice(self) -> None:
        with self.assertRaisesRegex(ValueError, "memory is registered already"):
            store_kind("memory")(lambda settings: None)  # type: ignore[arg-type,return-value]


if __name__ == "__main__":
    unittest.main()
