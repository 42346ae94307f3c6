"""Runs a gateway until a signal ends it."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Any
from typing import final

import anyio
import structlog
from anyio.abc import TaskGroup

from bramleylead.connection import Network
from bramleylead.connection import PeerClient
from bramleylead.connection import TcpNetwork
from bramleylead.gateway._app import GatewayApp
from bramleylead.gateway._app import ready_app
from bramleylead.gateway._budgets import Budgets
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._followers import ConfigurationFollower
from bramleylead.gateway._followers import ReplicaFollower
from bramleylead.gateway._kept_turns import KeptTurns
from bramleylead.gateway._links import Links
from bramleylead.gateway._mirrored_store import MirroredStore
from bramleylead.gateway._plain import PlainCalls
from bramleylead.gateway._replica_choice import ReplicaLoads
from bramleylead.gateway._sender import Sender
from bramleylead.gateway._streams import StreamCalls
from bramleylead.ledger._client import LedgerClient
from bramleylead.ledger._member_list import StoredMemberList
from bramleylead.ledger._members import view_to_plain
from bramleylead.platform import _names as names
from bramleylead.platform._follow import follow
from bramleylead.platform._objects import PlatformStore
from bramleylead.platform._pulse import PulsedStore
from bramleylead.request._server import HttpServer
from bramleylead.site_metrics import SiteMetrics
from bramleylead.site_settings import GatewaySettings

UPKEEP_S = 1.0
UNREADY_FOR_S = 3.2
"""From the signal to stop: the balancer needs two refusals, a second apart, to send no more."""
STOP_MARGIN_S = 1.0
SILENT_AFTER_S = 1

log = structlog.get_logger()


@final
class Gateway:
    """One gateway and its parts."""

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
    ) -> None:
        self._settings = settings
        self._tasks = tasks
        self._ledger = ledger
        self._links = Links(network, id_header=names.REQUEST_ID)
        self._loads = ReplicaLoads()
        self.directory = Directory()
        self._store = PulsedStore(store)
        self._objects = MirroredStore(
            self._store, peers, ledger, on_trouble=self.directory.note_trouble
        )
        sender = Sender(
            self.directory,
            self._links,
            self._loads,
            place=settings.data_centre,
            regions=settings.data_centres,
        )
        streams = StreamCalls(sender, Budgets(ledger, tasks), KeptTurns(ledger))
        self.app = GatewayApp(self.directory, PlainCalls(sender), streams)
        self._http = HttpServer(self.app)
        self._ready = HttpServer(ready_app(self.is_ready))
        self._metrics = HttpServer(metrics.app)
        metrics.describe(self._gauges, self._dump)

    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.directory.is_complete and not self.app.closing and not self._ledger.is_out

    async def start(self) -> None:
        """Start serving and following.

        :raises OSError: if an address can't be bound.
        """
        await self._tasks.start(self._http.serve, self._settings.http_address)
        await self._tasks.start(self._ready.serve, self._settings.ready_address)
        await self._tasks.start(self._metrics.serve, self._settings.metrics_address)
        for follower in (ConfigurationFollower(self.directory), ReplicaFollower(self.directory)):
            self._tasks.start_soon(follow, self._objects, follower)
        self._tasks.start_soon(self._store.run)
        self._tasks.start_soon(self._run_upkeep)
        self._tasks.start_soon(self._ledger.run_probes)
        log.info(
            "gateway_serving",
            node=self._settings.node,
            http_address=self._settings.http_address,
            data_centre=self._settings.data_centre,
        )

    async def stop(self) -> None:
        """Leave the balancer, finish what runs, and end."""
        started_at = anyio.current_time()
        log.info("gateway_stopping", node=self._settings.node)
        self.app.closing = True
        await anyio.sleep(UNREADY_FOR_S)
        used_s = anyio.current_time() - started_at
        self._http.stop(grace_s=self._settings.stop_grace_s - used_s - STOP_MARGIN_S)
        await self._http.closed.wait()
        log.info(
            "gateway_stopped",
            node=self._settings.node,
            took_s=round(anyio.current_time() - started_at, 3),
        )

    def _gauges(self) -> dict[str, float]:
        configuration = self.directory.configuration
        return {
            "configuration_version": 0 if configuration is None else configuration.version,
            "replicas": len(self.directory.names()),
            "ledger_epoch": self._ledger.view.epoch,
            "connections_opened": self._links.opened,
            "requests_running": self.app.running,
            "ready": self.is_ready(),
        }

    def _dump(self) -> dict[str, Any]:
        return {
            "node": self._settings.node,
            "state": self._gauges(),
            "replicas": self.directory.dump(),
            "running": {name: self._loads.running(name) for name in self.directory.names()},
            "ledger": view_to_plain(self._ledger.view),
        }

    async def _run_upkeep(self) -> None:
        while True:
            await anyio.sleep(UPKEEP_S)
            self.directory.drop_lapsed()
            names_ = self.directory.names()
            self._loads.forget(self._loads.known() - names_)
            await self._links.keep_only(names_)
            await self._links.close_old()


async def run_gateway(settings: GatewaySettings, path: Path, metrics: SiteMetrics) -> None:
    """Run a gateway until SIGTERM.

    :param path: the settings file, named in the log on SIGHUP.
    :raises OSError: if an address can't be bound.
    """
    network = TcpNetwork(silent_after_s=SILENT_AFTER_S)
    async with (
        PlatformStore(settings.store.address) as store,
        PeerClient(network, node=settings.node, cluster_key=settings.cluster_key) as peers,
        LedgerClient(
            peers,
            StoredMemberList(store).read,
            losses=settings.losses,
            data_centre=settings.data_centre,
            regions=settings.data_centres,
            seeds=settings.ledger_seeds,
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
        )
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            await gateway.start()
            async for number in signals:
                if number is signal.SIGHUP:
                    log.info("settings_changed", node=settings.node, file=str(path))
                    continue
                await gateway.stop()
                break
        tasks.cancel_scope.cancel()
