"""Runs a ledger node until it receives a stop signal."""

from __future__ import annotations

import random
import signal
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import final

import anyio
import structlog
from result import Err

from bramleylead._signal_receiver import complete_unless_stopped
from bramleylead._signal_receiver import serve_until_stopped
from bramleylead._signals import SignalInbox
from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import TcpNetwork
from bramleylead.connection._room import MONITORING_SHARE
from bramleylead.http._server import HttpServer
from bramleylead.ledger._disk_loading import load_node
from bramleylead.ledger._disk_loading import open_disk
from bramleylead.ledger._last_run import RunRecord
from bramleylead.ledger._load_sharing import LoadSharing
from bramleylead.ledger._member_list import StoredMemberList
from bramleylead.ledger._membership import Membership
from bramleylead.ledger._mirror import Mirror
from bramleylead.ledger._node import LedgerNode
from bramleylead.ledger._node_objects import NodeObjects
from bramleylead.ledger._relay_table import RelayTable
from bramleylead.ledger._traffic_shares import TrafficShares
from bramleylead.platform import _names as names
from bramleylead.platform._follow import Follower
from bramleylead.platform._follow import SharedFollower
from bramleylead.platform._follow import follow
from bramleylead.platform._follow import object_ages
from bramleylead.platform._monitored_store import MonitoredStore
from bramleylead.platform._objects import ObjectChange
from bramleylead.platform._objects import PlatformObject
from bramleylead.platform._objects import PlatformStore
from bramleylead.site_metrics import SiteMetrics
from bramleylead.site_settings import LedgerSettings
from bramleylead.supervision import supervise
from bramleylead.supervision import supervise_server

EXPIRE_INTERVAL_S = 10.0
RETIRE_RETRY_S = 0.3
GATEWAY_KINDS = (names.CONFIGURATION_KIND, names.REPLICA_KIND)
MIRRORED_KINDS = (*GATEWAY_KINDS, names.RETIREMENT_KIND)
DRAIN_TIMEOUT_S = 1.0
SILENT_AFTER_S = 1

log = structlog.get_logger()


@final
class RetirementFollower:
    """Detects the operator's request to retire this VM."""

    kind = names.RETIREMENT_KIND

    def __init__(self, node: str) -> None:
        self._node = node
        self.requested = anyio.Event()

    def replace_all(self, objects: Sequence[PlatformObject], *, as_of: int) -> None:
        """Check a complete list of requests."""
        for found in objects:
            self._check_request(found)

    def apply_changes(self, changes: Sequence[ObjectChange], *, as_of: int) -> None:
        """Check changed requests."""
        for change in changes:
            if not change.removed:
                self._check_request(change.object)

    def note_failure(self) -> None:
        """Do nothing: a request that was read remains in force, and the failure is logged."""

    def _check_request(self, found: PlatformObject) -> None:
        if found.name == self._node and not self.requested.is_set():
            log.info("retirement_wanted", node=self._node, revision=found.revision)
            self.requested.set()


async def run_ledger(
    settings: LedgerSettings, path: Path, metrics: SiteMetrics, signals: SignalInbox
) -> signal.Signals:
    """Run a ledger node until SIGTERM or SIGINT; return which one.

    :param path: the settings file, named in the log on SIGHUP.
    :raises OSError: if an address can't be used. A port that is in use is waited for.
    """
    rng = random.Random(settings.random_seed)
    network = TcpNetwork(keepalive_idle_s=SILENT_AFTER_S, waits_for_address=True)
    address = settings.peer_address
    server = PeerServer(node=settings.node, cluster_key=settings.cluster_key)
    async with (
        PlatformStore(settings.store.address) as store,
        PeerClient(network, node=settings.node, cluster_key=settings.cluster_key) as peers,
        RunRecord(Path(settings.data_folder)) as run_record,
        anyio.create_task_group() as tasks,
    ):
        metrics_server = HttpServer(metrics.app, waits_for_address=True, share=MONITORING_SHARE)
        serve_metrics = partial(metrics_server.serve, settings.metrics_address)
        tasks.start_soon(supervise, "metrics", serve_metrics)
        opened = await complete_unless_stopped(
            signals, partial(open_disk, Path(settings.data_folder))
        )
        if isinstance(opened, Err):
            log.info("ledger_stopped", node=settings.node)
            tasks.cancel_scope.cancel()
            return opened.err_value
        disk = opened.ok_value
        await run_record.begin()
        node = LedgerNode(
            node=settings.node,
            address=address,
            disk=disk,
            peers=peers,
            data_centre=settings.data_centre,
        )
        node.register_handlers(server)
        shares = TrafficShares()
        load_sharing = LoadSharing(node, peers, shares)
        load_sharing.register_handlers(server)
        monitored_store = MonitoredStore(store)
        objects = NodeObjects(node, monitored_store, peers, rng)
        relays = RelayTable(rng)
        relays.register_handlers(server)
        mirror = Mirror(
            MIRRORED_KINDS,
            objects,
            shares,
            node.crashes,
            relays,
            ledger_epoch=lambda: node.view.epoch,
        )
        mirror.register_handlers(server)
        metrics.describe(
            lambda: {**node.gauges(), **object_ages(objects, MIRRORED_KINDS)}, node.dump
        )
        membership = Membership(
            node,
            StoredMemberList(store),
            peers,
            losses=settings.losses,
            rng=rng,
            regions=settings.data_centres,
        )
        retirement = RetirementFollower(settings.node)

        async def start() -> None:
            await load_node(node)
            tasks.start_soon(supervise, "writer", node.run_writer)
            await tasks.start(
                supervise_server, "nodes", network.serve, address, server.serve_stream
            )
            tasks.start_soon(supervise, "load_sharing", load_sharing.run)
            tasks.start_soon(supervise, "expiry", partial(_run_expiry, node))
            tasks.start_soon(supervise, "store_probes", monitored_store.run)
            for kind in GATEWAY_KINDS:
                run = partial(_follow_as_member, node, objects, mirror.kinds[kind], rng)
                tasks.start_soon(supervise, f"follow_{kind}", run)
            retirements = SharedFollower(mirror.kinds[names.RETIREMENT_KIND], retirement)
            run = partial(follow, objects, retirements, rng)
            tasks.start_soon(supervise, f"follow_{names.RETIREMENT_KIND}", run)
            run = partial(_run_membership, membership, retirement, store, settings.node)
            tasks.start_soon(supervise, "membership", run)
            log.info("ledger_serving", node=settings.node, address=address, disk=disk.name)

        number = await serve_until_stopped(
            signals,
            start,
            on_settings_changed=lambda: log.info(
                "settings_changed", node=settings.node, file=str(path)
            ),
        )
        log.info("ledger_stopping", node=settings.node)
        await server.drain(timeout_s=DRAIN_TIMEOUT_S)
        tasks.cancel_scope.cancel()
    log.info("ledger_stopped", node=settings.node)
    return number


async def _follow_as_member(
    node: LedgerNode, objects: NodeObjects, follower: Follower, rng: random.Random
) -> None:
    """Follow a kind of objects for the gateways, which query members only."""
    while not node.is_member:
        await node.view_changed.wait()
    await follow(objects, follower, rng)


async def _run_membership(
    membership: Membership, retirement: RetirementFollower, store: PlatformStore, node: str
) -> None:
    """Maintain the membership; leave the ledger once the operator requests the retirement."""

    async def report_completed() -> bool:
        status = {"state": names.STATE_COMPLETED}
        return (await store.set_status(names.RETIREMENT_KIND, node, status)).is_ok()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(membership.run)
        await retirement.requested.wait()
        await store.set_status(names.RETIREMENT_KIND, node, {"state": names.STATE_RUNNING})
        await _retry_until_done(membership.leave)
        await _retry_until_done(report_completed)
        log.info("retirement_completed", node=node)


async def _retry_until_done(action: Callable[[], Awaitable[bool]]) -> None:
    """Repeat an action until it returns true."""
    while True:
        if await action():
            return
        await anyio.sleep(RETIRE_RETRY_S)


async def _run_expiry(node: LedgerNode) -> None:
    while True:
        await anyio.sleep(EXPIRE_INTERVAL_S)
        await node.expire()
