"""The proxy before a replica or the store of a soak."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.connection._tcp import split_address
from bramleylead.trials.site._proxy import HOST
from bramleylead.trials.site._proxy import Proxy
from testing.gateway.test_follow import wait_until

CONNECTIONS = 3


class ProxyTest(unittest.TestCase):
    # Guards against a soak that ends with "bad file descriptor": a connection had ended by itself
    # while the proxy was resetting another one.
    def test_connections_that_have_ended_are_not_reset(self) -> None:
        async def main() -> None:
            async with await anyio.create_tcp_listener(local_host=HOST) as listener:
                port = listener.extra(anyio.abc.SocketAttribute.local_port)
                proxy = Proxy(f"{HOST}:{port}")
                async with proxy.run(), anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, _hold)
                    callers = [
                        await anyio.connect_tcp(*split_address(proxy.address))
                        for _ in range(CONNECTIONS)
                    ]
                    await wait_until(lambda: len(proxy._streams) == CONNECTIONS)
                    ended = next(iter(proxy._streams))
                    await ended.aclose()
                    await proxy.reset()
                    for caller in callers:
                        await caller.aclose()
                    tasks.cancel_scope.cancel()

        anyio.run(main)


async def _hold(stream: anyio.abc.SocketStream) -> None:
    async with stream:
        await anyio.sleep_forever()
