"""Runs one node as a process: its store, sockets, HTTP interface, signals and shutdown."""

from __future__ import annotations

import json
import random
import signal
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from typing import NamedTuple
from typing import final

import anyio
import anyio.to_thread
import structlog
from anyio.abc import TaskGroup
from anyio.abc import TaskStatus

from bramleylead.backends import HttpBackends
from bramleylead.connection import Network
from bramleylead.connection import TcpNetwork
from bramleylead.connection._free_ports import find_free_port
from bramleylead.connection._tcp import split_address
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.platform import ObjectStore
from bramleylead.platform import open_store
from bramleylead.process._node import Node
from bramleylead.request import HttpApp
from bramleylead.request import HttpServer

HTTP_CLOSE_S = 5.0
"""Time to finish sending responses after all calls have ended."""

log = structlog.get_logger()


class ServedNode(NamedTuple):
    """A node and its HTTP listener.

    :param closed: set when the HTTP listener and all its connections are closed.
    """

    node: Node
    http: HttpServer
    closed: anyio.Event

    async def stop(self) -> None:
        """Stop gracefully: drain the node, then finish the running HTTP responses."""
        await self.node.stop()
        self.http.stop(grace_s=HTTP_CLOSE_S)
        await self.closed.wait()

    def kill(self) -> None:
        """Close the HTTP listener and all caller connections immediately."""
        self.http.kill()


@asynccontextmanager
async def serve_node(
    settings: NodeSettings,
    *,
    store: ObjectStore,
    network: Network,
    rng: random.Random,
    metrics: Metrics,
) -> AsyncIterator[ServedNode]:
    """Run a node over real sockets, on the asyncio backend; leaving the context kills it.

    :raises OSError: if an address can't be bound.
    """
    requests = settings.requests
    async with (
        HttpBackends(
            progress_s=requests.stream_progress_s, gather_s=requests.coalesce_s
        ) as backends,
        Node(
            settings,
            network=network,
            store=store,
            backends=backends,
            wall_clock=time.time,
            rng=rng,
            metrics=metrics,
        ) as node,
        anyio.create_task_group() as tasks,
    ):
        http = HttpServer(HttpApp(node, settings.requests))
        closed = anyio.Event()
        await tasks.start(_serve_http, http, settings.http_address, closed)
        try:
            yield ServedNode(node, http, closed)
        finally:
            http.kill()
            tasks.cancel_scope.cancel()


async def _serve_http(
    http: HttpServer,
    address: str,
    closed: anyio.Event,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    try:
        await http.serve(address, task_status=task_status)
    finally:
        closed.set()


async def run_node(settings: NodeSettings) -> bool:
    """Run a node until a signal ends it; return whether it stopped gracefully.

    SIGTERM and SIGINT stop it gracefully, and a second one ends it immediately. SIGUSR1 writes the
    state dump to standard output as one line of JSON.

    :raises OSError: if an address can't be bound.
    :raises ValueError: if the store's location can't be used.
    """
    settings = with_free_ports(settings)
    metrics = Metrics()
    async with (
        open_store(settings.store, registry=metrics.registry) as store,
        serve_node(
            settings,
            store=store,
            network=TcpNetwork(),
            rng=random.SystemRandom(),
            metrics=metrics,
        ) as served,
    ):
        log.info(
            "node_serving",
            node=settings.node,
            http_address=settings.http_address,
            peer_address=settings.peer_address,
        )
        return await _SignalHandler(served).run()


def with_free_ports(settings: NodeSettings) -> NodeSettings:
    """Replace port 0 by a free port in both addresses, since peers need the actual ports."""
    return settings.model_copy(
        update={
            "peer_address": free_address(settings.peer_address),
            "http_address": free_address(settings.http_address),
        }
    )


def free_address(address: str) -> str:
    """Return the address with a free port if its port is 0, else unchanged."""
    host, port = split_address(address)
    if port:
        return address
    return f"{address.rpartition(':')[0]}:{find_free_port(host)}"


def dump_line(state: dict[str, Any]) -> str:
    """Return a state dump as one line."""
    return json.dumps(state, ensure_ascii=False, separators=(",", ":")) + "\n"


@final
class _SignalHandler:
    """Handles the signals of a node's process."""

    def __init__(self, served: ServedNode) -> None:
        self._served = served
        self._stopping = False
        self._graceful = False

    async def run(self) -> bool:
        """Handle signals until the node has stopped; return whether it stopped gracefully."""
        handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
        async with anyio.create_task_group() as tasks:
            with anyio.open_signal_receiver(*handled_signals) as signals:
                async for number in signals:
                    if number is signal.SIGUSR1:
                        tasks.start_soon(self._write_dump)
                    else:
                        self._on_stop_signal(tasks)
        return self._graceful

    def _on_stop_signal(self, tasks: TaskGroup) -> None:
        if self._stopping:
            log.warning("node_ended_at_once", node=self._served.node.settings.node)
            tasks.cancel_scope.cancel()
            return
        self._stopping = True
        tasks.start_soon(self._stop, tasks)

    async def _stop(self, tasks: TaskGroup) -> None:
        await self._served.stop()
        self._graceful = True
        tasks.cancel_scope.cancel()

    async def _write_dump(self) -> None:
        """Write the dump in a worker thread, so that a slow reader can't block the node."""
        line = dump_line(self._served.node.dump())
        await anyio.to_thread.run_sync(_write, line, abandon_on_cancel=True)


def _write(line: str) -> None:
    sys.stdout.write(line)
    sys.stdout.flush()
