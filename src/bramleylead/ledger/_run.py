"""Runs a ledger node until it receives a stop signal."""

from __future__ import annotations

import random
import signal
from functools import partial
from pathlib import Path

import anyio
import structlog
from result import Err

from bramleylead._signal_receiver import complete_unless_stopped
from bramleylead._signal_receiver import serve_until_stopped
from bramleylead._signals import SignalInbox
from bramleylead.connection import PeerClient
from bramleylead.connection import TcpNetwork
from bramleylead.connection._connection_limit import MONITORING_SHARE
from bramleylead.http._server import HttpServer
from bramleylead.ledger._disk_loading import open_disk
from bramleylead.ledger._last_run import RunRecord
from bramleylead.ledger._service import LedgerService
from bramleylead.platform._objects import PlatformStore
from bramleylead.site_metrics import SiteMetrics
from bramleylead.site_settings import LedgerSettings
from bramleylead.supervision import supervise

SILENT_AFTER_S = 1

log = structlog.get_logger()


async def run_ledger(
    settings: LedgerSettings, path: Path, metrics: SiteMetrics, signals: SignalInbox
) -> signal.Signals:
    """Run a ledger node until SIGTERM or SIGINT; return which one.

    :param path: the settings file, named in the log on SIGHUP.
    :raises OSError: if an address can't be used. A port that is in use is waited for.
    """
    network = TcpNetwork(keepalive_idle_s=SILENT_AFTER_S, waits_for_address=True)
    folder = Path(settings.data_folder)
    async with (
        PlatformStore(settings.store.address) as store,
        PeerClient(network, node=settings.node, cluster_key=settings.cluster_key) as peers,
        RunRecord(folder) as run_record,
        anyio.create_task_group() as tasks,
    ):
        metrics_server = HttpServer(metrics.app, waits_for_address=True, share=MONITORING_SHARE)
        serve_metrics = partial(metrics_server.serve, settings.metrics_address)
        tasks.start_soon(supervise, "metrics", serve_metrics)
        opened = await complete_unless_stopped(signals, partial(open_disk, folder))
        if isinstance(opened, Err):
            number = opened.err_value
        else:
            await run_record.begin()
            service = LedgerService(
                settings,
                disk=opened.ok_value,
                network=network,
                store=store,
                peers=peers,
                tasks=tasks,
                metrics=metrics,
                rng=random.Random(settings.random_seed),
            )
            number = await serve_until_stopped(
                signals,
                service.start,
                on_settings_changed=lambda: log.info(
                    "settings_changed", node=settings.node, file=str(path)
                ),
            )
            await service.stop()
        tasks.cancel_scope.cancel()
    log.info("ledger_stopped", node=settings.node)
    return number
