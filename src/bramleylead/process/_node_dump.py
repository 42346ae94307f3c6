"""What a node's components know, for the state dump and for the explanation of a call."""

from __future__ import annotations

import math
from typing import Any

from bramleylead.node_settings import NodeSettings
from bramleylead.process._node_components import NodeComponents
from bramleylead.process.partitions._partition_hash import partition_of
from bramleylead.process.tickets._tickets import TicketLog


def dump_components(components: NodeComponents) -> dict[str, Any]:
    """Return the components' state as JSON-serializable values, without secrets."""
    return {
        "tickets": _dump_tickets(components.tickets),
        "members": [member._asdict() for member in components.membership.members()],
        "partitions": components.partitions.dump(),
        "calls": components.owner.dump(),
        "budgets": components.escrow.dump(),
        "scheduling": components.scheduler.dump(),
        "releases": {
            "asked": components.ender.releases,
            "failed": components.ender.releases_failed,
            "leaks_released": components.sweep.leaks_released,
        },
    }


def explain_call(
    components: NodeComponents, settings: NodeSettings, program: str, number: int
) -> dict[str, Any]:
    """Return what a node knows about a call and its scheduling decisions."""
    partition = partition_of(program, settings.partitions.count)
    here = components.partitions.log(partition) is not None
    decisions = components.scheduler.explain(f"{program}/{number}")
    return {
        "call": f"{program}/{number}",
        "node": settings.node,
        "partition": partition,
        "owned_here": here,
        "owner_address": components.partitions.owner_address(partition),
        "record": components.owner.describe_call(program, number) if here else None,
        "decisions": [decision._asdict() for decision in decisions],
    }


def _dump_tickets(tickets: TicketLog) -> dict[str, Any]:
    applied = tickets.applied
    age_s = tickets.age_s
    return {
        "number": applied.number,
        "current": tickets.is_current(),
        "proof_age_s": round(age_s, 3) if math.isfinite(age_s) else None,
        "waiting": applied.waiting,
        "stuck": applied.stuck,
    }
