"""The options that live sockets have, and how long a lost peer goes unnoticed with them."""

from __future__ import annotations

import errno
import socket
import unittest
from contextlib import suppress
from typing import NamedTuple

import anyio
from anyio.abc import SocketAttribute

from bramleylead.connection import TcpNetwork
from bramleylead.connection._http_client import HttpClient
from bramleylead.gateway._run import PEER_SILENT_AFTER_S
from bramleylead.http._server import HttpServer
from bramleylead.platform._objects import KEEPALIVE_IDLE_S

REPLICA_KNOWN_LOST_S = 3.0
"""Callers of a gateway that lost its replicas must be served again after this time."""
SILENCE_OF_A_SOUND_PEER_S = 2.0
STORE_KNOWN_LOST_S = 5.0
CALLER_KNOWN_LOST_S = 30.0
CLOSED_WITHIN_S = 2.0
UNKNOWN_OPTION = 9_999


class LossTimes(NamedTuple):
    """Seconds until the kernel gives up a connection, as ``getsockopt`` shows its options.

    :param idle_s: of one on which nothing is sent. Linux ignores the number of probes if a user
        timeout is set.
    :param sending_s: of one on which something is sent.
    """

    idle_s: float
    sending_s: float


def loss_times(sock: socket.socket) -> LossTimes:
    def read(option: int) -> int:
        return sock.getsockopt(socket.IPPROTO_TCP, option)

    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
        raise AssertionError("no keepalive probes are sent")
    user_timeout_s = read(socket.TCP_USER_TIMEOUT) / 1000
    if not user_timeout_s:
        raise AssertionError("unacknowledged data is retransmitted for many minutes")
    idle_s, interval_s = read(socket.TCP_KEEPIDLE), read(socket.TCP_KEEPINTVL)
    probed_s = idle_s + interval_s * max(1, -(-(user_timeout_s - idle_s) // interval_s))
    return LossTimes(max(user_timeout_s, probed_s), user_timeout_s)


async def ignore(stream: anyio.abc.ByteStream) -> None:
    await anyio.sleep_forever()


async def answer_empty(scope, receive, send) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b""})


class SocketOptionsTest(unittest.TestCase):
    def assert_within(self, times: LossTimes, limit_s: float) -> None:
        for time_s in times:
            self.assertGreater(time_s, SILENCE_OF_A_SOUND_PEER_S)
            self.assertLessEqual(time_s, limit_s)

    def test_a_connection_to_a_replica_or_peer(self) -> None:
        async def main() -> None:
            network = TcpNetwork(keepalive_idle_s=PEER_SILENT_AFTER_S)
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(network.serve, "127.0.0.1:0", ignore)
                async with await network.connect(address) as stream:
                    times = loss_times(stream.extra(SocketAttribute.raw_socket))
                tasks.cancel_scope.cancel()
            self.assert_within(times, REPLICA_KNOWN_LOST_S)

        anyio.run(main)

    # Guards against a descriptor that stays taken until the error is collected as garbage.
    def test_a_connection_whose_options_are_refused_is_closed_at_once(self) -> None:
        ended = anyio.Event()

        async def wait_for_end(stream: anyio.abc.ByteStream) -> None:
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive()
            ended.set()

        async def main() -> None:
            network = TcpNetwork()
            network._options = [(socket.IPPROTO_TCP, UNKNOWN_OPTION, 1)]
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(network.serve, "127.0.0.1:0", wait_for_end)
                errors: list[OSError] = []
                try:
                    await network.connect(address)
                except OSError as error:
                    errors.append(error)
                self.assertEqual([error.errno for error in errors], [errno.ENOPROTOOPT])
                with anyio.fail_after(CLOSED_WITHIN_S):
                    await ended.wait()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_a_connection_to_the_store(self) -> None:
        async def main() -> None:
            server = HttpServer(answer_empty)
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(server.serve, "127.0.0.1:0")
                async with (
                    HttpClient(address, keepalive_idle_s=KEEPALIVE_IDLE_S) as client,
                    client.stream("GET", "/", timeout_s=5.0) as opened,
                ):
                    times = loss_times(opened.ok_value.network.get_extra_info("socket"))
                server.stop(grace_s=0.1)
            self.assert_within(times, STORE_KNOWN_LOST_S)

        anyio.run(main)

    def test_a_connection_of_a_caller(self) -> None:
        accepted: list[socket.socket] = []

        async def keep_socket(scope, receive, send) -> None:
            accepted.extend(_connections_of(server))
            times.append(loss_times(accepted[0]))
            await answer_empty(scope, receive, send)

        server = HttpServer(keep_socket)
        times: list[LossTimes] = []

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(server.serve, "127.0.0.1:0")
                async with HttpClient(address) as client:
                    await client.request("GET", "/", timeout_s=5.0)
                server.stop(grace_s=0.1)
            self.assert_within(times[0], CALLER_KNOWN_LOST_S)

        anyio.run(main)


def _connections_of(server: HttpServer) -> list[socket.socket]:
    connections = server._server.server_state.connections
    return [connection.transport.get_extra_info("socket") for connection in connections]
