"""Settings, clients and metrics shared by the partition modules of a node."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple
from typing import final

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Registry

from bramleylead.connection import PeerClient
from bramleylead.fleet._members import MemberList
from bramleylead.node_settings import NodeSettings
from bramleylead.platform._store import ObjectStore
from bramleylead.process.partitions._partition_record import Holder
from bramleylead.promises import Promises

CLOCK_RATE_MARGIN = 0.01  # largest difference in clock rate between two VMs that leases tolerate


@final
class PartitionMetrics:
    """Metrics of partition ownership and of the journal."""

    def __init__(self, registry: Registry) -> None:
        self.events = Counter(
            "bramleylead_partition_events_total",
            "Changes of ownership and pairing, by kind of event.",
            registry=registry,
        )
        self.held = Gauge(
            "bramleylead_partitions_held",
            "Partitions held, by role (owner, second).",
            registry=registry,
        )
        self.journal_writes = Counter(
            "bramleylead_journal_writes_total",
            "Journal objects written to the store, by kind.",
            registry=registry,
        )
        self.entries = Counter(
            "bramleylead_journal_entries_total",
            "Journal entries by outcome (both, solo, solo_lost, not_durable).",
            registry=registry,
        )

    def event(self, kind: str) -> None:
        """Count one event."""
        self.events.inc({"event": kind})


class PartitionContext(NamedTuple):
    """The node's settings, clients and identity.

    :param boot: identity of this process; differs after each start.
    :param wall_clock: wall-clock time in seconds, for records that operators read.
    """

    settings: NodeSettings
    store: ObjectStore
    client: PeerClient
    members: MemberList
    promises: Promises
    metrics: PartitionMetrics
    boot: str
    wall_clock: Callable[[], float]

    @property
    def holder(self) -> Holder:
        """The node and its process as recorded in partition objects."""
        return Holder(node=self.settings.node, address=self.settings.peer_address, boot=self.boot)
