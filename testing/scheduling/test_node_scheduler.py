"""Tests for nodes that request slots from each other, with rendezvous hashing of pools."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from contextlib import AsyncExitStack
from typing import Any

import anyio
from aioprometheus import Registry
from result import Err
from result import Ok

from bramleylead.backends import Engine
from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.errors import ErrorKind
from bramleylead.fleet._members import Member
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.promises import Promises
from bramleylead.scheduling import NodeScheduler
from bramleylead.standins import FakeNetwork
from bramleylead.standins import run_virtual
from bramleylead.version import Config
from testing.scheduling._support import endpoint
from testing.scheduling._support import slot_finished
from testing.scheduling._support import slot_request

KEY = "a shared key of the cluster"


class Members:
    """A member list that a test can change."""

    def __init__(self, name: str, members: list[Member]) -> None:
        self.self_name = name
        self.list = members

    def alive(self) -> Sequence[Member]:
        return self.list


class ReplaceableConfig:
    """A configuration that a test can replace."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.changed = anyio.Event()

    def replace(self, config: Config) -> None:
        self.config = config
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_changed(self, after_number: int) -> None:
        if self.config.number <= after_number:
            await self.changed.wait()


class SilentBackends:
    """Backends whose engines never answer."""

    def engine(self, name: str, endpoint: Any) -> Engine:
        return _SilentEngine()  # type: ignore[return-value]


class _SilentEngine:
    async def load(self) -> Any:
        await anyio.sleep_forever()


class Fleet:
    """Two nodes in two regions, one pool in each."""

    def __init__(self) -> None:
        self.network = FakeNetwork({f"10.0.0.{n}": (f"r{n}", f"d{n}") for n in (1, 2)})
        self.members = [
            Member(f"n{n}", f"10.0.0.{n}:7000", f"10.0.0.{n}:8000", f"r{n}", f"d{n}")
            for n in (1, 2)
        ]
        pools = {
            f"e{n}": endpoint(n, region=f"r{n}", data_centre=f"d{n}", max_calls=1) for n in (1, 2)
        }
        self.config = ReplaceableConfig(Config(number=1, endpoints=pools))
        self.nodes: list[NodeScheduler] = []
        self.metrics = Metrics()

    async def start(self, stack: AsyncExitStack, tasks: Any) -> None:
        for member in self.members:
            host = member.address.partition(":")[0]
            server = PeerServer(node=member.node, cluster_key=KEY)
            await tasks.start(self.network.view(host).serve, member.address, server.serve_stream)
            client = PeerClient(self.network.view(host), node=member.node, cluster_key=KEY)
            await stack.enter_async_context(client)
            node = NodeScheduler(
                _settings(member),
                client=client,
                server=server,
                config=self.config,  # type: ignore[arg-type]
                members=Members(member.node, list(self.members)),  # type: ignore[arg-type]
                backends=SilentBackends(),  # type: ignore[arg-type]
                promises=Promises(Registry()),
                metrics=self.metrics,
            )
            self.nodes.append(await stack.enter_async_context(node))


def _settings(member: Member) -> NodeSettings:
    return NodeSettings(
        node=member.node,
        region=member.region,
        data_centre=member.data_centre,
        peer_address=member.address,
        http_address=member.http_address,
        cluster_key=KEY,
        operator_key_sha256="0" * 64,
    )


def _run(body: Any) -> Any:
    async def main() -> Any:
        fleet = Fleet()
        async with anyio.create_task_group() as tasks:
            async with AsyncExitStack() as stack:
                await fleet.start(stack, tasks)
                result = await body(fleet)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(main, seed=1)


async def _endpoint_of(node: NodeScheduler, **changes: Any) -> str:
    async with node.slot(slot_request("p1", **changes)) as result:
        if isinstance(result, Err):
            return result.err_value.kind
        slot = result.ok_value
        slot.finish(slot_finished(slot.granted.endpoint))
        return slot.granted.endpoint


class NodeSchedulerTest(unittest.TestCase):
    def test_a_call_runs_in_its_home_region(self) -> None:
        async def body(fleet: Fleet) -> list[str]:
            local_endpoint = await _endpoint_of(fleet.nodes[0], home_region="r1")
            return [local_endpoint, await _endpoint_of(fleet.nodes[0], home_region="r2")]

        self.assertEqual(_run(body), ["e1", "e2"])

    def test_a_refused_call_is_tried_once_in_another_region(self) -> None:
        async def body(fleet: Fleet) -> str:
            async with fleet.nodes[0].slot(slot_request("first", prompt_tokens=0)):
                return await _endpoint_of(
                    fleet.nodes[0], waited_s=0.0, deadline_s=0.2, prompt_tokens=0
                )

        self.assertEqual(_run(body), "e2")

    def test_a_call_runs_elsewhere_when_its_dispatcher_is_unreachable(self) -> None:
        async def body(fleet: Fleet) -> str:
            fleet.network.cut("10.0.0.1", "10.0.0.2")
            return await _endpoint_of(fleet.nodes[0], home_region="r2")

        self.assertEqual(_run(body), "e1")

    def test_a_removed_endpoint_gets_no_new_calls(self) -> None:
        async def body(fleet: Fleet) -> list[str]:
            before = await _endpoint_of(fleet.nodes[0])
            remaining = {"e2": fleet.config.config.endpoints["e2"]}
            fleet.config.replace(Config(number=2, endpoints=remaining))
            return [before, await _endpoint_of(fleet.nodes[0])]

        self.assertEqual(_run(body), ["e1", "e2"])

    def test_the_gauges_show_slots_in_use(self) -> None:
        async def body(fleet: Fleet) -> str:
            async with fleet.nodes[0].slot(slot_request("p1")):
                await anyio.sleep(2.5)
                return fleet.metrics.render()[0].decode()

        self.assertIn('bramleylead_slots_used{endpoint="e1"} 1', _run(body))

    def test_a_call_for_an_unknown_model_fails(self) -> None:
        async def body(fleet: Fleet) -> str:
            return await _endpoint_of(fleet.nodes[0], serves="other")

        self.assertEqual(_run(body), ErrorKind.UNKNOWN_TARGET)

    def test_explain_includes_decisions_of_the_owner_and_the_dispatcher(self) -> None:
        async def body(fleet: Fleet) -> list[str]:
            async with fleet.nodes[0].slot(slot_request("p1")) as result:
                assert isinstance(result, Ok)
            return [decision.action for decision in fleet.nodes[0].explain("p1/1")]

        self.assertEqual(_run(body), ["asked", "granted"])


if __name__ == "__main__":
    unittest.main()
