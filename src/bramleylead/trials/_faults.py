"""Faults of a trial, registered by a decorator; each runs, lasts, and is undone."""

from __future__ import annotations

import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
from typing import final

import anyio

from bramleylead.standins import FakeEngine
from bramleylead.standins import FakeService
from bramleylead.trials._fleet import Fleet
from bramleylead.trials._fleet import tool_models
from bramleylead.trials._tickets import change_endpoint
from bramleylead.trials._tickets import race_tickets

FaultMaker = Callable[[Fleet, random.Random], Awaitable[None]]

_faults: dict[str, FaultMaker] = {}
REPLACED_AFTER_S = (5.0, 60.0)
RESTORE_TRIES = 50
RESTORE_RETRY_S = 5.0


class FaultSettings(NamedTuple):
    """How dense faults come.

    :param at_once: most faults that overlap.
    :param gap_s: mean time between two faults' beginnings.
    :param kinds: names of the faults that may come; empty for all.
    """

    at_once: int
    gap_s: float
    kinds: tuple[str, ...] = ()


def fault(name: str) -> Callable[[FaultMaker], FaultMaker]:
    """Register a kind of fault."""

    def register(maker: FaultMaker) -> FaultMaker:
        _faults[name] = maker
        return maker

    return register


def fault_names() -> Sequence[str]:
    """Return the kinds of fault, sorted."""
    return sorted(_faults)


@final
class FaultInjector:
    """Brings about random faults until told to stop; every fault is undone."""

    def __init__(self, fleet: Fleet, settings: FaultSettings, rng: random.Random) -> None:
        self._fleet = fleet
        self._settings = settings
        self._rng = rng
        self._active = 0
        self.counts: dict[str, int] = {}

    async def run(self, duration_s: float) -> None:
        """Inject faults for a time, then wait until all are undone."""
        end = anyio.current_time() + duration_s
        kinds = self._settings.kinds or tuple(fault_names())
        async with anyio.create_task_group() as tasks:
            while True:
                next_s = anyio.current_time() + self._rng.expovariate(1 / self._settings.gap_s)
                await anyio.sleep_until(min(next_s, end))
                if next_s >= end:
                    break
                if self._active < self._settings.at_once:
                    tasks.start_soon(self._inject, self._rng.choice(kinds))

    async def _inject(self, kind: str) -> None:
        self._active += 1
        self.counts[kind] = self.counts.get(kind, 0) + 1
        rng = random.Random(self._rng.getrandbits(64))
        try:
            await _faults[kind](self._fleet, rng)
        finally:
            self._active -= 1


def _running(fleet: Fleet) -> list[str]:
    return [
        name
        for name, host in sorted(fleet.hosts.items())
        if host.running and not host.frozen and not host.stopping
    ]


def _pick(fleet: Fleet, rng: random.Random) -> str | None:
    names = _running(fleet)
    return rng.choice(names) if len(names) > 1 else None


@fault("kill_vm")
async def _kill_vm(fleet: Fleet, rng: random.Random) -> None:
    """Lose a VM without a word; another one comes up at its address later."""
    name = _pick(fleet, rng)
    if name is None:
        return
    await fleet.kill(name)
    await anyio.sleep(rng.uniform(*REPLACED_AFTER_S))
    await fleet.start_node(name)


@fault("restart_vm")
async def _restart_vm(fleet: Fleet, rng: random.Random) -> None:
    """Stop a VM as planned and start it again."""
    name = _pick(fleet, rng)
    if name is None:
        return
    await fleet.stop(name)
    await anyio.sleep(rng.uniform(1.0, 20.0))
    await fleet.start_node(name)


@fault("pause_vm")
async def _pause_vm(fleet: Fleet, rng: random.Random) -> None:
    """Freeze a VM for a while; it goes on as if nothing had happened."""
    name = _pick(fleet, rng)
    if name is None:
        return
    node = fleet.hosts[name].node
    fleet.freeze(name)
    await anyio.sleep(rng.uniform(0.5, 40.0))
    if fleet.hosts[name].node is node:
        fleet.thaw(name)


@fault("cut_nodes")
async def _cut_nodes(fleet: Fleet, rng: random.Random) -> None:
    """Let nothing pass between two nodes."""
    first, second = rng.sample(sorted(fleet.hosts), 2)
    ips = fleet.hosts[first].ip, fleet.hosts[second].ip
    fleet.network.cut(*ips)
    await anyio.sleep(rng.uniform(2.0, 60.0))
    fleet.network.heal(*ips)


@fault("silence_streams")
async def _silence_streams(fleet: Fleet, rng: random.Random) -> None:
    """Make the open streams between two nodes go silent for good; new ones work."""
    first, second = rng.sample(sorted(fleet.hosts), 2)
    fleet.network.silence(fleet.hosts[first].ip, fleet.hosts[second].ip)
    await anyio.sleep(1.0)


@fault("cut_regions")
async def _cut_regions(fleet: Fleet, rng: random.Random) -> None:
    """Let nothing pass between the nodes of two regions."""
    here, there = rng.sample([place.region for place in fleet.deployment.places], 2)
    pairs = [
        (a.ip, b.ip)
        for a in fleet.hosts.values()
        for b in fleet.hosts.values()
        if (a.settings.region, b.settings.region) == (here, there)
    ]
    for pair in pairs:
        fleet.network.cut(*pair)
    await anyio.sleep(rng.uniform(2.0, 60.0))
    for pair in pairs:
        fleet.network.heal(*pair)


@fault("lose_data_centre")
async def _lose_data_centre(fleet: Fleet, rng: random.Random) -> None:
    """Lose every VM and endpoint of a data centre for a while."""
    place = rng.choice(fleet.deployment.places)
    names = [n for n in _running(fleet) if fleet.hosts[n].settings.region == place.region]
    if len(names) == len(_running(fleet)):
        return
    endpoints = fleet.deployment.ticket.endpoints.values()
    addresses = [item.address for item in endpoints if item.data_centre == place.data_centre]
    for name in names:
        await fleet.kill(name)
    for address in addresses:
        endpoint_at(fleet, address).crash()
    await anyio.sleep(rng.uniform(20.0, 120.0))
    for address in addresses:
        endpoint_at(fleet, address).restart()
    for name in names:
        await fleet.start_node(name)


@fault("store_outage")
async def _store_outage(fleet: Fleet, rng: random.Random) -> None:
    """Take the object API away."""
    fleet.faults.outage = True
    await anyio.sleep(rng.uniform(5.0, 300.0))
    fleet.faults.outage = False


@fault("store_hang")
async def _store_hang(fleet: Fleet, rng: random.Random) -> None:
    """Let the object API take calls and never answer."""
    fleet.faults.hang = True
    await anyio.sleep(rng.uniform(2.0, 60.0))
    fleet.faults.hang = False


@fault("store_slow")
async def _store_slow(fleet: Fleet, rng: random.Random) -> None:
    """Slow the object API down."""
    fleet.faults.slow_s = rng.uniform(0.1, 3.0)
    await anyio.sleep(rng.uniform(5.0, 120.0))
    fleet.faults.slow_s = 0.0


@fault("store_lost_replies")
async def _store_lost_replies(fleet: Fleet, rng: random.Random) -> None:
    """Lose replies of writes that took effect."""
    fleet.faults.lose_reply_rate = rng.uniform(0.1, 0.9)
    await anyio.sleep(rng.uniform(5.0, 120.0))
    fleet.faults.lose_reply_rate = 0.0


@fault("store_late_watches")
async def _store_late_watches(fleet: Fleet, rng: random.Random) -> None:
    """Deliver watch pages late."""
    fleet.faults.watch_delay_s = rng.uniform(0.5, 5.0)
    await anyio.sleep(rng.uniform(5.0, 120.0))
    fleet.faults.watch_delay_s = 0.0


@fault("store_cut")
async def _store_cut(fleet: Fleet, rng: random.Random) -> None:
    """Cut one node off from the object API."""
    ip = fleet.hosts[rng.choice(sorted(fleet.hosts))].ip
    fleet.faults.cut_hosts.add(ip)
    await anyio.sleep(rng.uniform(5.0, 120.0))
    fleet.faults.cut_hosts.discard(ip)


@fault("engine_crash")
async def _engine_crash(fleet: Fleet, rng: random.Random) -> None:
    """Crash an engine; its calls and its cache are gone."""
    engine = fleet.endpoints.engines[rng.choice(sorted(fleet.endpoints.engines))]
    engine.crash()
    await anyio.sleep(rng.uniform(5.0, 60.0))
    engine.restart()


@fault("engine_hang")
async def _engine_hang(fleet: Fleet, rng: random.Random) -> None:
    """Let an engine take calls and make no progress."""
    engine = fleet.endpoints.engines[rng.choice(sorted(fleet.endpoints.engines))]
    engine.hang()
    await anyio.sleep(rng.uniform(5.0, 60.0))
    engine.unhang()


@fault("engine_slow")
async def _engine_slow(fleet: Fleet, rng: random.Random) -> None:
    """Slow an engine down."""
    engine = fleet.endpoints.engines[rng.choice(sorted(fleet.endpoints.engines))]
    engine.slow(rng.uniform(2.0, 20.0))
    await anyio.sleep(rng.uniform(10.0, 120.0))
    engine.slow(1.0)


@fault("service_crash")
async def _service_crash(fleet: Fleet, rng: random.Random) -> None:
    """Crash a plain service; calls under way get no answer."""
    service = fleet.endpoints.services[rng.choice(sorted(fleet.endpoints.services))]
    service.crash()
    await anyio.sleep(rng.uniform(2.0, 40.0))
    service.restart()


@fault("tool_lost_replies")
async def _tool_lost_replies(fleet: Fleet, rng: random.Random) -> None:
    """Let a plain service act and lose replies, hang, refuse and fail."""
    address = rng.choice(sorted(fleet.endpoints.services))
    service = fleet.endpoints.services[address]
    group = next(
        item.serves
        for item in fleet.deployment.ticket.endpoints.values()
        if item.address == address
    )
    normal = tool_models(fleet.deployment, group)
    rates = {"lose_reply_rate": 0.2, "hang_rate": 0.1, "refuse_rate": 0.1, "fail_rate": 0.05}
    service.tools = {name: tool.model_copy(update=rates) for name, tool in normal.items()}
    await anyio.sleep(rng.uniform(5.0, 60.0))
    service.tools = normal


@fault("silence_endpoint")
async def _silence_endpoint(fleet: Fleet, rng: random.Random) -> None:
    """Make a node's open connections to an endpoint go silent; new ones work."""
    ip = fleet.hosts[rng.choice(sorted(fleet.hosts))].ip
    addresses = sorted([*fleet.endpoints.engines, *fleet.endpoints.services])
    fleet.endpoints.silence(ip, rng.choice(addresses))
    await anyio.sleep(1.0)


@fault("operators_race")
async def _operators_race(fleet: Fleet, rng: random.Random) -> None:
    """Let two operators submit different tickets under one number."""
    await race_tickets(fleet, rng)


@fault("endpoint_leaves")
async def _endpoint_leaves(fleet: Fleet, rng: random.Random) -> None:
    """Take an endpoint out by a ticket, and put it back later."""
    name = rng.choice(sorted(fleet.deployment.ticket.endpoints))
    endpoint = fleet.deployment.ticket.endpoints[name]
    if not await change_endpoint(fleet, name, endpoint.model_copy(update={"leaving": True})):
        return
    endpoint_at(fleet, endpoint.address).leave()
    await anyio.sleep(rng.uniform(10.0, 60.0))
    # It is back before the ticket says so: what the ticket allows may come before the reply does.
    endpoint_at(fleet, endpoint.address).leaving_since_s = float("inf")
    for _ in range(RESTORE_TRIES):
        if await change_endpoint(fleet, name, endpoint):
            break
        await anyio.sleep(RESTORE_RETRY_S)


def endpoint_at(fleet: Fleet, address: str) -> FakeEngine | FakeService:
    """Return the endpoint at an address."""
    return fleet.endpoints.engines.get(address) or fleet.endpoints.services[address]
