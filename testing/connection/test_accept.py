"""Servers whose listeners or connections fail."""

from __future__ import annotations

import errno
import socket
import unittest
import unittest.mock
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import anyio
from anyio.abc import ByteStream
from structlog.testing import capture_logs

from bramleylead.connection import TcpNetwork
from bramleylead.connection import _accept
from bramleylead.connection import _error_log
from bramleylead.connection._free_ports import find_free_port
from bramleylead.connection._listener import open_listener
from bramleylead.connection._listener import split_address
from bramleylead.http._server import HttpServer
from bramleylead.supervision import supervise_server
from testing.connection.test_listener import wait_for_event
from testing.connection.test_tcp_options import answer_empty

LIMIT_S = 20.0
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.EPERM,
    errno.EINTR,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
)


class FailingListener(socket.socket):
    """A listener whose ``accept`` fails with errors of the system before it succeeds."""

    errors: list[int] = []

    def accept(self) -> tuple[socket.socket, Any]:
        if self.errors:
            number = self.errors.pop(0)
            raise OSError(number, "refused")
        return super().accept()


async def answer(stream: ByteStream) -> None:
    await stream.receive()
    await stream.send(b"answered")


async def ask(address: str) -> bytes:
    with anyio.fail_after(LIMIT_S):
        async with await anyio.connect_tcp(*split_address(address)) as stream:
            await stream.send(REQUEST)
            return await stream.receive()


def run_servers(body: Callable[[str], Awaitable[None]], serve_stream: Any = answer) -> list[Any]:
    """Run a test body against a server of nodes, then against one of callers."""

    async def main() -> None:
        for serve in (
            lambda **status: TcpNetwork().serve("127.0.0.1:0", serve_stream, **status),
            lambda **status: HttpServer(answer_empty).serve("127.0.0.1:0", **status),
        ):
            async with anyio.create_task_group() as tasks:
                await body(await tasks.start(serve))
                tasks.cancel_scope.cancel()

    with capture_logs() as lines:
        anyio.run(main)
    return lines


class AcceptTest(unittest.TestCase):
    # Guards against a server, and with it a process, that ends at the first failure of accept.
    def test_accept_goes_on_after_every_error(self) -> None:
        async def open_failing(address: str, prepare: Any) -> socket.socket:
            opened = await open_listener(address, prepare)
            listener = FailingListener(fileno=opened.detach())
            listener.errors = list(ERRORS)
            listeners.append(listener)
            return listener

        async def body(address: str) -> None:
            self.assertTrue(await ask(address))
            self.assertEqual(listeners[-1].errors, [])

        listeners: list[FailingListener] = []
        with (
            unittest.mock.patch.object(_accept, "open_listener", open_failing),
            unittest.mock.patch.object(_accept, "MAX_PAUSE_S", 0.01),
        ):
            lines = run_servers(body)
        kinds = [line["kind"] for line in lines if line["event"] == "accept_failed"]
        self.assertEqual(kinds, [errno.errorcode[number] for number in ERRORS] * 2)

    def test_repeated_errors_are_logged_once_an_interval(self) -> None:
        async def open_failing(address: str, prepare: Any) -> socket.socket:
            opened = await open_listener(address, prepare)
            listener = FailingListener(fileno=opened.detach())
            listener.errors = [errno.EMFILE] * 50
            return listener

        async def body(address: str) -> None:
            self.assertTrue(await ask(address))

        with (
            unittest.mock.patch.object(_accept, "open_listener", open_failing),
            unittest.mock.patch.object(_accept, "MAX_PAUSE_S", 0.01),
            unittest.mock.patch.object(_error_log, "LOG_INTERVAL_S", LIMIT_S),
        ):
            lines = run_servers(body)
        self.assertEqual(len([line for line in lines if line["event"] == "accept_failed"]), 2)

    def test_a_listener_that_is_broken_is_opened_again(self) -> None:
        async def open_known(address: str, prepare: Any) -> socket.socket:
            listeners.append(await open_listener(address, prepare))
            return listeners[-1]

        async def body(address: str) -> None:
            self.assertTrue(await ask(address))
            listeners[-1].shutdown(socket.SHUT_RDWR)
            with anyio.fail_after(LIMIT_S):
                while True:
                    try:
                        await ask(address)
                    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                        await anyio.sleep(0.05)
                    else:
                        return

        listeners: list[socket.socket] = []
        with unittest.mock.patch.object(_accept, "open_listener", open_known):
            lines = run_servers(body)
        failed = [line["kind"] for line in lines if line["event"] == "listener_failed"]
        self.assertEqual(failed, ["EINVAL"] * 2)


class RestartTest(unittest.TestCase):
    # Guards against a server of callers that can't be started again after an unexpected error.
    def test_a_server_of_callers_is_started_again(self) -> None:
        run_acceptor = _accept.Acceptor.run
        failures = [ValueError("unexpected")]

        async def run(self: Any, start_task: Any) -> None:
            if failures:
                raise failures.pop()
            await run_acceptor(self, start_task)

        async def main() -> None:
            server = HttpServer(answer_empty, waits_for_address=True)
            address = f"127.0.0.1:{find_free_port('127.0.0.1')}"
            async with anyio.create_task_group() as tasks:
                await tasks.start(supervise_server, "callers", server.serve, address)
                await wait_for_event(lines, "task_failed")
                with anyio.fail_after(LIMIT_S):
                    while True:
                        with suppress(OSError):
                            self.assertTrue(await ask(address))
                            break
                        await anyio.sleep(0.05)
                server.stop(grace_s=1.0)
                await server.closed.wait()

        with unittest.mock.patch.object(_accept.Acceptor, "run", run), capture_logs() as lines:
            anyio.run(main)


class ConnectionTest(unittest.TestCase):
    # Guards against an unexpected error of one connection that ends the server, and the process.
    def test_an_unexpected_error_ends_its_connection_only(self) -> None:
        errors: list[Exception] = [RecursionError("deep"), ValueError("odd"), OSError("reset")]

        async def fail(stream: ByteStream) -> None:
            if errors:
                raise errors.pop()
            await answer(stream)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(TcpNetwork().serve, "127.0.0.1:0", fail)
                for _ in range(len(errors)):
                    with self.assertRaises((anyio.EndOfStream, anyio.BrokenResourceError)):
                        await ask(address)
                self.assertEqual(await ask(address), b"answered")
                tasks.cancel_scope.cancel()

        with capture_logs() as lines:
            anyio.run(main)
        reasons = [line["reason"] for line in lines if line["event"] == "connection_failed"]
        self.assertEqual(reasons, ["ValueError: odd", "RecursionError: deep"])

    def test_a_connection_that_is_reset_before_its_set_up_is_closed(self) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(TcpNetwork().serve, "127.0.0.1:0", answer)
                with (
                    unittest.mock.patch.object(socket.socket, "getpeername", side_effect=OSError),
                    self.assertRaises((anyio.EndOfStream, anyio.BrokenResourceError)),
                ):
                    await ask(address)
                self.assertEqual(await ask(address), b"answered")
                tasks.cancel_scope.cancel()

        with capture_logs() as lines:
            anyio.run(main)
        self.assertEqual([line["event"] for line in lines], ["accept_failed"])


if __name__ == "__main__":
    unittest.main()
