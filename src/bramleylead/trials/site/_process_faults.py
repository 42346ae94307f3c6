"""Faults that aim at the process itself: signals at any moment, ports in use, used up descriptors.

A process may neither end by itself under any of them nor stay unready after them.
"""

from __future__ import annotations

import errno
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import anyio
import structlog

from bramleylead.connection._tcp import split_address
from bramleylead.trials.site._faults import Faults
from bramleylead.trials.site._faults import act
from bramleylead.trials.site._plan import Fault
from bramleylead.trials.site._plan import FaultKind
from bramleylead.trials.site._processes import DESCRIPTORS
from bramleylead.trials.site._processes import Node
from bramleylead.trials.site._proxy import HOST

SIGNAL_INTERVAL_S = 0.04
EXCESS_CONNECTIONS = 40
LEDGER_KINDS = (
    FaultKind.SIGNALS_TO_LEDGER,
    FaultKind.PORT_IN_USE_LEDGER,
    FaultKind.DESCRIPTORS_LEDGER,
)
NESTED_DEPTH = 700
ODD_SPECIFICATIONS = ("nested", "no port", "a list")

log = structlog.get_logger()


@act(FaultKind.SIGNALS_TO_GATEWAY, FaultKind.SIGNALS_TO_LEDGER)
async def _signals(faults: Faults, fault: Fault) -> None:
    """Send SIGHUP in series while a process runs, stops and starts."""
    node = _node(faults, fault)
    async with faults.alone(node.name):
        _unsettle(faults, node, fault.for_s)
        await node.handles(signal.SIGHUP)
        await _hang_up(node, fault.for_s / 3)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_hang_up, node, fault.for_s)
            code = await node.stop()
        if code:
            detail = f"stop under SIGHUP: code {code}: {node.last_lines()}"
            faults.site.judge.ended(node.name, detail)
        faults.site.judge.restarted(node.name)
        await node.start()
        await node.handles(signal.SIGHUP)
        await _hang_up(node, fault.for_s)
        _unsettle(faults, node, 0.0)


@act(FaultKind.PORT_IN_USE_GATEWAY, FaultKind.PORT_IN_USE_LEDGER)
async def _port_in_use(faults: Faults, fault: Fault) -> None:
    """Start a process while one of its ports is the local port of an outgoing connection."""
    node = _node(faults, fault)
    async with faults.alone(node.name):
        _unsettle(faults, node, fault.for_s)
        await node.kill()
        faults.site.judge.restarted(node.name)
        with _held_port(node, fault.target) as port:
            log.info("port_held", node=node.name, port=port)
            await node.start()
            await anyio.sleep(fault.for_s)
        _unsettle(faults, node, 0.0)


@act(FaultKind.DESCRIPTORS_GATEWAY, FaultKind.DESCRIPTORS_LEDGER)
async def _descriptors(faults: Faults, fault: Fault) -> None:
    """Hold more idle connections to one of a process's ports than it has descriptors."""
    node = _node(faults, fault)
    async with faults.alone(node.name):
        _unsettle(faults, node, fault.for_s)
        with _idle_connections(node.addresses[fault.target % len(node.addresses)]):
            await anyio.sleep(fault.for_s)
        _unsettle(faults, node, 0.0)


@act(FaultKind.ODD_ENTRY)
async def _odd_entry(faults: Faults, fault: Fault) -> None:
    """List an entry of another writer that names no usable replica."""
    how = ODD_SPECIFICATIONS[fault.target % len(ODD_SPECIFICATIONS)]
    async with faults.alone("odd entry"):
        with faults.site.odd_entry(how, _odd_specification(how)):
            await anyio.sleep(fault.for_s)


def _odd_specification(how: str) -> object:
    if how == "nested":
        nested: dict[str, object] = {}
        for _ in range(NESTED_DEPTH):
            nested = {"state": nested}
        return nested
    if how == "no port":
        return {"state": "ready", "service": "models", "address": f"{HOST}:73807395", "zone": "d"}
    return [1, 2, 3]


def _node(faults: Faults, fault: Fault) -> Node:
    return faults.ledger(fault) if fault.kind in LEDGER_KINDS else faults.gateway(fault)


def _unsettle(faults: Faults, node: Node, for_s: float) -> None:
    is_ledger = node.role == "ledger"
    faults.unsettle(faults.site.gateways if is_ledger else [node], for_s)


async def _hang_up(node: Node, for_s: float) -> None:
    until = anyio.current_time() + for_s
    while anyio.current_time() < until and node.is_running:
        node.send_signal(signal.SIGHUP)
        await anyio.sleep(SIGNAL_INTERVAL_S)


@contextmanager
def _held_port(node: Node, first: int) -> Iterator[int | None]:
    """Connect from one of a node's ports; ``None`` if closed connections still use all of them.

    The socket is bound without SO_REUSEADDR, as are those whose port the kernel selects.
    """
    addresses = node.addresses
    with socket.create_server((HOST, 0)) as listener, socket.socket() as outgoing:
        for number in range(len(addresses)):
            address = addresses[(first + number) % len(addresses)]
            try:
                outgoing.bind(split_address(address))
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                continue
            outgoing.connect(listener.getsockname())
            yield split_address(address)[1]
            return
        yield None


@contextmanager
def _idle_connections(address: str) -> Iterator[None]:
    """Hold idle connections to an address, as far as it takes them."""
    held: list[socket.socket] = []
    try:
        for _ in range(DESCRIPTORS + EXCESS_CONNECTIONS):
            idle = socket.socket()
            held.append(idle)
            idle.setblocking(False)
            idle.connect_ex(split_address(address))
        yield
    finally:
        for idle in held:
            idle.close()
