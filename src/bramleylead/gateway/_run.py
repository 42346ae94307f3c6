"""Runs a gateway until it receives a signal to stop."""

from __future__ import annotations

import random
import signal
from functools import partial
from pathlib import Path
from typing import Any
from typing import final

import anyio
import structlog
from anyio.abc import TaskGroup

from bramleylead._signal_receiver import serve_until_stopped
from bramleylead._signals import SignalInbox
from bramleylead.connection import Network
from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import TcpNetwork
from bramleylead.connection._connection_limit import MONITORING_SHARE
from bramleylead.gateway._app import GatewayApp
from bramleylead.gateway._app import readiness_app
from bramleylead.gateway._budgets import Budgets
from bramleylead.gateway._connection_pool import ConnectionPool
from bramleylead.gateway._crash_guard import CrashGuard
from bramleylead.gateway._customer_quotas import CustomerQuotas
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._followers import ConfigurationFollower
from bramleylead.gateway._followers import ReplicaFollower
from bramleylead.gateway._load_reporter import LoadReporter
from bramleylead.gateway._path_monitor import PathMonitor
from bramleylead.gateway._plain_calls import PlainCalls
from bramleylead.gateway._relay_server import RelayServer
from bramleylead.gateway._relays import Relays
from bramleylead.gateway._replica_choice import ReplicaChoice
from bramleylead.gateway._replica_connections import ReplicaConnections
from bramleylead.gateway._sender import Sender
from bramleylead.gateway._streams import StreamCalls
from bramleylead.gateway._turn_history import TurnHistory
from bramleylead.http._server import HttpServer
from bramleylead.ledger._client import LedgerClient
from bramleylead.ledger._member_list import StoredMemberList
from bramleylead.ledger._members import view_to_plain
from bramleylead.ledger._mirrored_store import MirroredStore
from bramleylead.ledger._relay_table import RelayGateway
from bramleylead.placement._crash_table import CrashTable
from bramleylead.placement._rate_limits import RateLimits
from bramleylead.placement._replica_paths import ReplicaPaths
from bramleylead.placement._replica_selector import ReplicaSelector
from bramleylead.platform import _names as names
from bramleylead.platform._follow import follow
from bramleylead.platform._follow import object_ages
from bramleylead.platform._monitored_store import MonitoredStore
from bramleylead.platform._objects import PlatformStore
from bramleylead.site_metrics import SiteMetrics
from bramleylead.site_settings import GatewaySettings
from bramleylead.supervision import supervise
from bramleylead.supervision import supervise_server

MAINTENANCE_INTERVAL_S = 1.0
UNREADY_BEFORE_STOP_S = 3.2
"""Time from the stop signal until the server stops accepting requests: the load balancer stops
sending them after two failed checks, one second apart."""
STOP_MARGIN_S = 1.0
PEER_SILENT_AFTER_S = 1
MAX_FIRST_TURN = 1_000
START_PATIENCE_S = 2.0

log = structlog.get_logger()


@final
class Gateway:
    """One gateway and its components."""

    def __init__(
        self,
        settings: GatewaySettings,
        *,
        network: Network,
        store: PlatformStore,
        peers: PeerClient,
        ledger: LedgerClient,
        tasks: TaskGroup,
        metrics: SiteMetrics,
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._settings = settings
        self._network = network
        self._tasks = tasks
        self._ledger = ledger
        self._paths = ReplicaPaths()
        self._pool = ConnectionPool(network, id_header=names.REQUEST_ID, paths=self._paths)
        relays = Relays(
            peers,
            ledger,
            node=settings.node,
            data_centre=settings.data_centre,
            regions=settings.data_centres,
            rng=rng,
        )
        connections = ReplicaConnections(self._pool, self._paths, relays)
        self._selector = ReplicaSelector(
            first_turn=rng.randrange(MAX_FIRST_TURN), bounds_memory=settings.bounds_memory
        )
        self.directory = Directory()
        self._limits = RateLimits(rng)
        self._crashes = CrashTable(settings.node)
        self._quotas = CustomerQuotas(
            peers,
            ledger,
            gateway=settings.node,
            has_quotas=self.directory.may_have_quotas,
            tasks=tasks,
            rng=rng,
        )
        self._store = MonitoredStore(store)
        self._objects = MirroredStore(
            self._store,
            peers,
            ledger,
            on_store_failure=self.directory.record_store_failure,
            rng=rng,
            gateway=settings.node,
            relay_offer=lambda: self._relay_server.current_offer(),
            traffic=self._limits,
            crashes=self._crashes,
            usage=self._quotas,
            patience_s=START_PATIENCE_S if settings.ledger_seeds else 0.0,
        )
        self.directory.set_source(self._objects)
        reporter = LoadReporter(settings.node, self._selector, send_now=ledger.report_placement)
        ledger.report_load = reporter.report
        guard = CrashGuard(self.directory, connections, self._crashes, report=ledger.report_crash)
        choice = ReplicaChoice(
            self.directory,
            self._selector,
            self._limits,
            guard,
            data_centre=settings.data_centre,
            regions=settings.data_centres,
            rng=rng,
        )
        sender = Sender(
            self.directory,
            connections,
            self._selector,
            reporter,
            self._limits,
            choice,
            self._paths,
            rng,
            use_of=self._quotas.use_of,
        )
        budgets = Budgets(ledger, tasks)
        streams = StreamCalls(sender, budgets, TurnHistory(ledger), guard, self._quotas)
        plain = PlainCalls(sender, guard, self._quotas)
        self.app = GatewayApp(
            self.directory, plain, streams, bounds_responses=settings.bounds_memory
        )
        self._relay_server = RelayServer(
            self.directory,
            self._pool,
            self._paths,
            offer=RelayGateway(settings.node, settings.peer_address, settings.data_centre),
            is_stopping=lambda: self.app.closing,
        )
        self._peer_server = PeerServer(node=settings.node, cluster_key=settings.cluster_key)
        self._relay_server.register_handlers(self._peer_server)
        self._path_monitor = PathMonitor(
            self.directory,
            self._pool,
            self._paths,
            relays,
            on_lost=self._selector.health.forget_failures,
        )
        self._http = HttpServer(self.app, waits_for_address=True)
        self._ready = HttpServer(
            readiness_app(self.is_ready), waits_for_address=True, share=MONITORING_SHARE
        )
        self._metrics = HttpServer(metrics.app, waits_for_address=True, share=MONITORING_SHARE)
        self._takes_callers = False
        self._is_serving = False
        metrics.describe(self._gauges, self._dump)

    def is_ready(self) -> bool:
        """Whether the load balancer may send callers here."""
        return (
            self._is_serving
            and self.directory.is_complete
            and not self.app.closing
            and not self._ledger.is_unavailable
        )

    async def start(self) -> None:
        """Start the background tasks and the servers; return once requests can arrive.

        :raises OSError: if an address can't be used.
        """
        self._start_background_tasks()
        serve_metrics = partial(self._metrics.serve, self._settings.metrics_address)
        self._tasks.start_soon(supervise, "metrics", serve_metrics)
        async with anyio.create_task_group() as starting:
            starting.start_soon(self._serve_callers)
            starting.start_soon(
                self._start_server, "readiness", self._ready.serve, self._settings.ready_address
            )
            starting.start_soon(
                self._start_server,
                "nodes",
                self._network.serve,
                self._settings.peer_address,
                self._peer_server.serve_stream,
            )
        self._is_serving = True
        log.info(
            "gateway_serving",
            node=self._settings.node,
            http_address=self._settings.http_address,
            data_centre=self._settings.data_centre,
        )

    async def _serve_callers(self) -> None:
        await self._start_server("callers", self._http.serve, self._settings.http_address)
        self._takes_callers = True

    async def _start_server(self, name: str, *serve: Any) -> None:
        """Return once a server listens; it serves until the process stops."""
        await self._tasks.start(supervise_server, name, *serve)

    def _start_background_tasks(self) -> None:
        for follower in (ConfigurationFollower(self.directory), ReplicaFollower(self.directory)):
            run = partial(follow, self._objects, follower, self._rng)
            self._tasks.start_soon(supervise, f"follow_{follower.kind}", run)
        self._tasks.start_soon(supervise, "store_probes", self._store.run)
        self._tasks.start_soon(supervise, "maintenance", self._run_maintenance)
        self._tasks.start_soon(supervise, "ledger_probes", self._ledger.run_probes)
        self._tasks.start_soon(supervise, "path_monitor", self._path_monitor.run)

    async def stop(self) -> None:
        """Report unready to the load balancer, finish the requests in flight, and stop."""
        started_at = anyio.current_time()
        log.info("gateway_stopping", node=self._settings.node)
        self.app.closing = True
        stop_at = started_at + self._settings.stop_grace_s - STOP_MARGIN_S
        if self._takes_callers:
            await anyio.sleep(UNREADY_BEFORE_STOP_S)
            self._http.stop(grace_s=stop_at - anyio.current_time())
            await self._http.closed.wait()
        await self._peer_server.drain(timeout_s=max(0.0, stop_at - anyio.current_time()))
        log.info(
            "gateway_stopped",
            node=self._settings.node,
            took_s=round(anyio.current_time() - started_at, 3),
        )

    def _gauges(self) -> dict[str, float]:
        configuration = self.directory.configuration
        return {
            "configuration_version": 0 if configuration is None else configuration.version,
            "replicas": len(self.directory.replica_names()),
            "ledger_epoch": self._ledger.view.epoch,
            "connections_opened": self._pool.opened,
            "requests_running": self.app.in_flight,
            "held_body_bytes": self.app.held_body_bytes,
            "held_response_bytes": self.app.held_response_bytes,
            "suspect_requests": len(self._crashes),
            "replica_paths_lost": self._paths.is_lost,
            "requests_relayed": self._relay_server.running,
            "unreached_replicas": len(self._paths.unreached(now=anyio.current_time())),
            "ready": self.is_ready(),
            "callers_connected": len(self._http.connection_limit),
            "idle_connections_closed": self._http.connection_limit.closed,
            "unproven_connections_closed": self._peer_server.closed_unproven,
            **self._quotas.gauges(),
            **object_ages(self._objects, (names.CONFIGURATION_KIND, names.REPLICA_KIND)),
        }

    def _dump(self) -> dict[str, Any]:
        return {
            "node": self._settings.node,
            "state": self._gauges(),
            "replicas": self.directory.dump(),
            "running": {
                name: self._selector.running(name) for name in self.directory.replica_names()
            },
            "ledger": view_to_plain(self._ledger.view),
        }

    async def _run_maintenance(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            self.directory.drop_expired()
            replica_names = self.directory.replica_names()
            self._selector.forget(self._selector.known_replicas() - replica_names)
            self._limits.forget(self._limits.limited_replicas() - replica_names)
            await self._pool.keep_only(replica_names)
            await self._pool.close_expired()


async def run_gateway(
    settings: GatewaySettings, path: Path, metrics: SiteMetrics, signals: SignalInbox
) -> signal.Signals:
    """Run a gateway until SIGTERM or SIGINT; return which one.

    :param path: the settings file, named in the log on SIGHUP.
    :raises OSError: if an address can't be used. A port that is in use is waited for.
    """
    rng = random.Random(settings.random_seed)
    network = TcpNetwork(keepalive_idle_s=PEER_SILENT_AFTER_S, waits_for_address=True)
    async with (
        PlatformStore(settings.store.address) as store,
        PeerClient(network, node=settings.node, cluster_key=settings.cluster_key) as peers,
        LedgerClient(
            peers,
            StoredMemberList(store).read,
            losses=settings.losses,
            rng=rng,
            data_centre=settings.data_centre,
            regions=settings.data_centres,
            seeds=settings.ledger_seeds,
            patience_s=START_PATIENCE_S if settings.ledger_seeds else 0.0,
        ) as ledger,
        anyio.create_task_group() as tasks,
    ):
        gateway = Gateway(
            settings,
            network=network,
            store=store,
            peers=peers,
            ledger=ledger,
            tasks=tasks,
            metrics=metrics,
            rng=rng,
        )
        number = await serve_until_stopped(
            signals,
            gateway.start,
            on_settings_changed=lambda: log.info(
                "settings_changed", node=settings.node, file=str(path)
            ),
        )
        await gateway.stop()
        tasks.cancel_scope.cancel()
    return number
