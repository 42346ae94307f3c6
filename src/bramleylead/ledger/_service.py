"""A ledger node with everything that runs in its process."""

from __future__ import annotations

import random
from functools import partial
from typing import final

import anyio
import structlog
from anyio.abc import TaskGroup

from bramleylead.connection import Network
from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.ledger._customer_usage import CustomerUsage
from bramleylead.ledger._disk import Disk
from bramleylead.ledger._disk_loading import load_node
from bramleylead.ledger._load_sharing import LoadSharing
from bramleylead.ledger._member_list import StoredMemberList
from bramleylead.ledger._membership import Membership
from bramleylead.ledger._mirror import Mirror
from bramleylead.ledger._node import LedgerNode
from bramleylead.ledger._node_objects import NodeObjects
from bramleylead.ledger._quota_owner import QuotaOwner
from bramleylead.ledger._relay_table import RelayTable
from bramleylead.ledger._retirement import RetirementFollower
from bramleylead.ledger._retirement import run_membership
from bramleylead.ledger._traffic_shares import TrafficShares
from bramleylead.platform import _names as names
from bramleylead.platform._follow import Follower
from bramleylead.platform._follow import SharedFollower
from bramleylead.platform._follow import follow
from bramleylead.platform._follow import object_ages
from bramleylead.platform._monitored_store import MonitoredStore
from bramleylead.platform._objects import PlatformStore
from bramleylead.site_metrics import SiteMetrics
from bramleylead.site_settings import LedgerSettings
from bramleylead.supervision import supervise
from bramleylead.supervision import supervise_server

EXPIRE_INTERVAL_S = 10.0
DRAIN_TIMEOUT_S = 1.0
GATEWAY_KINDS = (names.CONFIGURATION_KIND, names.REPLICA_KIND)
MIRRORED_KINDS = (*GATEWAY_KINDS, names.RETIREMENT_KIND)

log = structlog.get_logger()


@final
class LedgerService:
    """One ledger node and its components.

    :param disk: opened already.
    :param tasks: runs the node's servers and tasks until the process stops.
    """

    def __init__(
        self,
        settings: LedgerSettings,
        *,
        disk: Disk,
        network: Network,
        store: PlatformStore,
        peers: PeerClient,
        tasks: TaskGroup,
        metrics: SiteMetrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._disk = disk
        self._network = network
        self._store = store
        self._tasks = tasks
        self._rng = rng
        self._server = PeerServer(node=settings.node, cluster_key=settings.cluster_key)
        self._node = LedgerNode(
            node=settings.node,
            address=settings.peer_address,
            disk=disk,
            peers=peers,
            data_centre=settings.data_centre,
        )
        shares = TrafficShares()
        relays = RelayTable(rng)
        usage = CustomerUsage(now=anyio.current_time())
        self._quota_owner = QuotaOwner(usage, is_member=lambda: self._node.is_member)
        self._load_sharing = LoadSharing(
            self._node, peers, shares, usage, on_rise=lambda: self._mirror.announce_use()
        )
        self._monitored_store = MonitoredStore(store)
        self._objects = NodeObjects(self._node, self._monitored_store, peers, rng)
        self._mirror = Mirror(
            MIRRORED_KINDS,
            self._objects,
            shares,
            self._node.crashes,
            relays,
            ledger_epoch=lambda: self._node.view.epoch,
            usage=usage,
            node=settings.node,
        )
        self._membership = Membership(
            self._node,
            StoredMemberList(store),
            peers,
            losses=settings.losses,
            rng=rng,
            regions=settings.data_centres,
        )
        self._retirement = RetirementFollower(settings.node)
        components = (self._node, self._load_sharing, relays, self._mirror, self._quota_owner)
        for component in components:
            component.register_handlers(self._server)
        metrics.describe(self._gauges, self._node.dump)

    async def start(self) -> None:
        """Load the disk, then start the server and the background tasks.

        :raises OSError: if the address can't be used.
        """
        await load_node(self._node)
        self._tasks.start_soon(supervise, "writer", self._node.run_writer)
        await self._tasks.start(
            supervise_server,
            "nodes",
            self._network.serve,
            self._settings.peer_address,
            self._server.serve_stream,
        )
        self._start_background_tasks()
        log.info(
            "ledger_serving",
            node=self._settings.node,
            address=self._settings.peer_address,
            disk=self._disk.name,
        )

    async def stop(self) -> None:
        """Finish the calls that are running, and take no others."""
        log.info("ledger_stopping", node=self._settings.node)
        await self._server.drain(timeout_s=DRAIN_TIMEOUT_S)

    def _gauges(self) -> dict[str, float]:
        return {
            **self._node.gauges(),
            **self._quota_owner.gauges(),
            **object_ages(self._objects, MIRRORED_KINDS),
        }

    def _start_background_tasks(self) -> None:
        start = partial(self._tasks.start_soon, supervise)
        start("load_sharing", self._load_sharing.run)
        start("expiry", self._run_expiry)
        start("store_probes", self._monitored_store.run)
        for kind in GATEWAY_KINDS:
            start(f"follow_{kind}", partial(self._follow_as_member, self._mirror.kinds[kind]))
        retirements = SharedFollower(self._mirror.kinds[names.RETIREMENT_KIND], self._retirement)
        start(
            f"follow_{names.RETIREMENT_KIND}",
            partial(follow, self._objects, retirements, self._rng),
        )
        start(
            "membership",
            partial(
                run_membership,
                self._membership,
                self._retirement,
                self._store,
                self._settings.node,
            ),
        )

    async def _follow_as_member(self, follower: Follower) -> None:
        """Follow a kind of objects for the gateways, which query members only."""
        while not self._node.is_member:
            await self._node.view_changed.wait()
        await follow(self._objects, follower, self._rng)

    async def _run_expiry(self) -> None:
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_S)
            await self._node.expire()
