"""One gateway, one ledger node, and the stand-ins around them."""

from __future__ import annotations

import random
from contextlib import AsyncExitStack
from pathlib import Path
from typing import final

import anyio

from bramleylead.connection._http_client import HttpClient
from bramleylead.platform import _names as names
from bramleylead.platform._encode import write_configuration
from bramleylead.platform._encode import write_replica
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Configuration
from bramleylead.platform._types import EngineSpec
from bramleylead.platform._types import Limits
from bramleylead.platform._types import Replica
from bramleylead.platform._types import Route
from bramleylead.platform._types import Service
from bramleylead.platform._types import Share
from bramleylead.standins._platform_store import PlatformStoreStandIn
from bramleylead.trials.fuzz._raw import serve_raw
from bramleylead.trials.fuzz._stand_ins import OddReplica
from bramleylead.trials.fuzz._stand_ins import OddStore
from bramleylead.trials.site._callers import HOST_NAME
from bramleylead.trials.site._judge import EVENT_TOKENS
from bramleylead.trials.site._judge import Judge
from bramleylead.trials.site._processes import Node
from bramleylead.trials.site._replica import SoakReplica

START_PATIENCE_S = 40.0
READY_TIMEOUT_S = 0.5
POLL_S = 0.1
DESCRIPTORS = 1_024
SOUND_REPLICAS = 2
ODD_REPLICAS = 2
SLOTS = 64
MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_384
ROUTE_TIMEOUT_S = 3.0


@final
class FuzzSite:
    """The processes under test, with sound replicas and odd ones, each a service of its own."""

    def __init__(self, folder: Path, rng: random.Random) -> None:
        self.judge = Judge()
        self.gateway = Node("gateway", "gateway", folder, rng, losses=0, descriptors=DESCRIPTORS)
        self.ledger = Node("ledger", "ledger", folder, rng, losses=0, descriptors=DESCRIPTORS)
        self.odd = [OddReplica(f"odd-{number}") for number in range(ODD_REPLICAS)]
        self._sound = [
            SoakReplica(f"sound-{number}", "sound", self.judge, rng)
            for number in range(SOUND_REPLICAS)
        ]
        self._objects = PlatformStoreStandIn()
        self.store = OddStore(self._objects)

    @property
    def nodes(self) -> tuple[Node, Node]:
        """The processes under test."""
        return (self.gateway, self.ledger)

    async def open(self, stack: AsyncExitStack) -> None:
        """Start everything and wait until the gateway takes callers.

        :raises TimeoutError: if it does not.
        """
        for replica in self._sound:
            await replica.start(stack)
            self._list(replica.entry(leaving=False))
        for odd in self.odd:
            address = await stack.enter_async_context(serve_raw(odd.answer))
            self._list(Replica(odd.name, "odd", address, "d", False, SLOTS))
        made = write_configuration(_configuration())
        self._objects.put(names.CONFIGURATION_KIND, names.CONFIGURATION_NAME, made)
        store = await stack.enter_async_context(serve_raw(self.store.answer))
        for node in (self.ledger, self.gateway):
            await node.open(store, stack)
        with anyio.fail_after(START_PATIENCE_S):
            await self._wait_ready()

    async def _wait_ready(self) -> None:
        async with HttpClient(self.gateway.ready) as client:
            while True:
                got = await client.request("GET", names.READY_PATH, timeout_s=READY_TIMEOUT_S)
                if got.is_ok() and got.ok_value.status == 200:
                    return
                await anyio.sleep(POLL_S)

    def _list(self, replica: Replica) -> None:
        self._objects.put(names.REPLICA_KIND, replica.name, write_replica(replica))


def _configuration() -> Configuration:
    engine = EngineSpec(slots=SLOTS, cache_tokens=100_000, tokens_per_event=EVENT_TOKENS)
    services = {name: Service(name, 500, engine) for name in ("sound", "odd")}
    routes = tuple(
        _route(f"{prefix}{kind}", kind_of, service)
        for prefix, service in (("", "sound"), ("odd-", "odd"))
        for kind, kind_of in (
            ("turns", CallKind.STREAM),
            ("safe", CallKind.SAFE),
            ("unsafe", CallKind.UNSAFE),
        )
    )
    limits = Limits(MAX_HEADER_BYTES, MAX_BODY_BYTES, header_timeout_s=3.0, idle_timeout_s=15.0)
    return Configuration(1, routes, services, limits)


def _route(name: str, kind: CallKind, service: str) -> Route:
    return Route(
        name=name,
        host=HOST_NAME,
        path_prefix=f"/{name}/",
        kind=kind,
        shares=(Share(service, 1.0),),
        max_attempts=2,
        timeout_s=ROUTE_TIMEOUT_S,
        target_latency_s=0.5,
        priority=0,
        retains_turns=kind is CallKind.STREAM,
        turn_retention_s=60.0,
        resumable=False,
    )
