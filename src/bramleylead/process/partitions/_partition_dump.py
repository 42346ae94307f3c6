"""What a state dump says about a node's partitions, bounded."""

from __future__ import annotations

from itertools import islice
from typing import Any

from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_record import Holder
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._replica import Replica
from bramleylead.process.partitions._replica import ReplicaKeeper

SHOWN = 256
"""Most partitions of each kind that are shown one by one; the counts tell of all."""


def dump_partitions(table: PartitionTable, keeper: ReplicaKeeper) -> dict[str, Any]:
    """Return the partitions that a node owns and those whose second copy it keeps."""
    owned = sorted(table.owned.values(), key=lambda each: each.number)
    replicas = sorted(keeper.replicas.values(), key=lambda each: each.number)
    programs = [program for each in owned for program in each.state.programs.values()]
    return {
        "owned": len(owned),
        "second_copies": len(replicas),
        "programs": len(programs),
        "programs_ended": sum(1 for program in programs if program.ended),
        "owned_partitions": [_owned(each) for each in islice(owned, SHOWN)],
        "second_copy_partitions": [_replica(each) for each in islice(replicas, SHOWN)],
        "links": {
            address: {"up": link.up, "partitions": len(link.partitions)}
            for address, link in islice(sorted(table.links.items()), SHOWN)
        },
    }


def _owned(partition: OwnedPartition) -> dict[str, Any]:
    return {
        "partition": partition.number,
        "epoch": partition.epoch,
        "mode": partition.mode.value,
        "broken_because": partition.broken_because,
        "second": _name(partition.record.second),
        "may_act": partition.may_act(),
        "appends_waiting": partition.waiting,
        "solo_entries": partition.solo_entries,
        "sequence": partition.copy.sequence,
        "flushed": partition.copy.tail.flushed,
        "incarnation": partition.state.incarnation,
        "programs": len(partition.state.programs),
    }


def _replica(replica: Replica) -> dict[str, Any]:
    return {
        "partition": replica.number,
        "epoch": replica.epoch,
        "owner": replica.owner,
        "sealed": replica.sealed,
        "sequence": replica.copy.sequence,
    }


def _name(holder: Holder | None) -> str | None:
    return None if holder is None else holder.node
