"""The partitions section of the state dump, limited in size."""

from __future__ import annotations

from itertools import islice
from typing import Any

from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_record import Holder
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._replica import Replica
from bramleylead.process.partitions._replica import ReplicaServer

MAX_LISTED = 256
"""Maximum number of items listed per section; the counts include all items."""


def dump_partitions(table: PartitionTable, replica_server: ReplicaServer) -> dict[str, Any]:
    """Return the partitions that a node owns and those whose second copy it holds."""
    owned = sorted(table.owned.values(), key=lambda each: each.number)
    replicas = sorted(replica_server.replicas.values(), key=lambda each: each.number)
    programs = [program for each in owned for program in each.state.programs.values()]
    return {
        "owned": len(owned),
        "second_copies": len(replicas),
        "programs": len(programs),
        "programs_ended": sum(1 for program in programs if program.ended),
        "owned_partitions": [_dump_owned(each) for each in islice(owned, MAX_LISTED)],
        "second_copy_partitions": [_dump_replica(each) for each in islice(replicas, MAX_LISTED)],
        "links": {
            address: {"up": link.up, "partitions": len(link.partitions)}
            for address, link in islice(sorted(table.links.items()), MAX_LISTED)
        },
    }


def _dump_owned(partition: OwnedPartition) -> dict[str, Any]:
    return {
        "partition": partition.number,
        "epoch": partition.epoch,
        "mode": partition.mode.value,
        "broken_because": partition.break_reason,
        "second": _node_name(partition.record.second),
        "may_act": partition.has_valid_lease(),
        "appends_waiting": partition.pending_count,
        "solo_entries": partition.solo_entries,
        "sequence": partition.copy.sequence,
        "flushed": partition.copy.tail.flushed,
        "incarnation": partition.state.incarnation,
        "programs": len(partition.state.programs),
    }


def _dump_replica(replica: Replica) -> dict[str, Any]:
    return {
        "partition": replica.number,
        "epoch": replica.epoch,
        "owner": replica.owner,
        "sealed": replica.sealed,
        "sequence": replica.copy.sequence,
    }


def _node_name(holder: Holder | None) -> str | None:
    return None if holder is None else holder.node
