"""What a frame can cost before its sender has shown that it has the key."""

from __future__ import annotations

import unittest

import anyio
import msgpack

from bramleylead.connection import PeerServer
from bramleylead.connection._frames import LENGTH_BYTES
from bramleylead.standins import FakeNetwork
from bramleylead.standins import run_virtual

ADDRESS = "10.0.0.2:7000"


class CostlyFrameTest(unittest.TestCase):
    # Guards against peers without the key that make a node hold a frame of 4 MB, 256 MB decoded.
    def test_a_large_frame_before_the_handshake_is_refused_by_its_length(self) -> None:
        frame = msgpack.packb([0, 6, [[]] * 100_000])

        async def main() -> int:
            network = FakeNetwork({"10.0.0.1": ("r", "d"), "10.0.0.2": ("r", "d")})
            server = PeerServer(node="b", cluster_key="a shared key of the cluster")
            async with anyio.create_task_group() as tasks:
                await tasks.start(network.view("10.0.0.2").serve, ADDRESS, server.serve_stream)
                stream = await network.view("10.0.0.1").connect(ADDRESS)
                await stream.send(len(frame).to_bytes(LENGTH_BYTES, "big"))
                with self.assertRaises(anyio.EndOfStream):
                    await stream.receive()
                tasks.cancel_scope.cancel()
            return server.bad_frames

        self.assertEqual(run_virtual(main, seed=1), 1)
