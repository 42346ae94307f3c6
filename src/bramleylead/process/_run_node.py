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

from bramleylead._signal_receiver import SignalReceiver
from bramleylead._signals import STOP_SIGNALS
from bramleylead._signals import SignalInbox
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


async def run_node(settings: NodeSettings, signals: SignalInbox) -> bool:
    """Run a node until a signal ends it; return whether it stopped gracefully.

    SIGTERM and SIGINT stop it gracefully, and a second one ends it immediately. SIGUSR1 writes the
    state dump to standard output as one line of JSON. SIGHUP is logged.

    :raises OSError: if an address can't be bound.
    :raises ValueError: if the store's location can't be used.
    """
    settings = with_free_ports(settings)
    metrics = Metrics()
    handler = _SignalHandler(settings.node, signals)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(handler.run, tasks)
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
            handler.served = served
            await handler.ended.wait()
        tasks.cancel_scope.cancel()
    return handler.is_graceful


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
    """Handles the signals of a node's process.

    :ivar served: the node, once it has started; until then a signal to stop gives the start up.
    :ivar ended: set when the node has stopped, or is to end at once.
    """

    def __init__(self, node: str, signals: SignalInbox) -> None:
        self._node = node
        self._signals = signals
        self._stop_scope = anyio.CancelScope()
        self._is_stopping = False
        self.served: ServedNode | None = None
        self.is_graceful = False
        self.ended = anyio.Event()

    async def run(self, tasks: TaskGroup) -> None:
        """Handle signals until cancelled.

        :param tasks: runs what a signal asks for, and the start, which is cancelled with it.
        """
        with SignalReceiver(self._signals) as received:
            async for number in received:
                if number in STOP_SIGNALS:
                    self._on_stop_signal(tasks)
                elif number is signal.SIGHUP:
                    log.info("hangup_ignored", node=self._node)
                elif self.served is not None:
                    tasks.start_soon(self._write_dump, self.served)

    def _on_stop_signal(self, tasks: TaskGroup) -> None:
        if self.served is None:
            log.info("node_start_given_up", node=self._node)
            self.is_graceful = True
            tasks.cancel_scope.cancel()
        elif self._is_stopping:
            log.warning("node_ended_at_once", node=self._node)
            self._stop_scope.cancel()
        else:
            self._is_stopping = True
            tasks.start_soon(self._stop, self.served)

    async def _stop(self, served: ServedNode) -> None:
        with self._stop_scope:
            await served.stop()
            self.is_graceful = True
        self.ended.set()

    async def _write_dump(self, served: ServedNode) -> None:
        """Write the dump in a worker thread, so that a slow reader can't block the node."""
        line = dump_line(served.node.dump())
        await anyio.to_thread.run_sync(_write, line, abandon_on_cancel=True)


def _write(line: str) -> None:
    sys.stdout.write(line)
    sys.stdout.flush()
