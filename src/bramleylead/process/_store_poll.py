"""Asks peers whether the store answers them: tells an outage from being cut off from it."""

from __future__ import annotations

from collections.abc import Sequence
from collections.abc import Set

import anyio
from result import Ok

from bramleylead.connection import PeerClient
from bramleylead.process._members import Member
from bramleylead.process._membership_messages import StoreAsked
from bramleylead.process._membership_messages import StoreHeard
from bramleylead.process._rendezvous import watchers

ASKED_PER_DATA_CENTRE = 2
ASK_TIMEOUT_S = 1.2


async def poll_peers(
    peers: PeerClient, own: Member, others: Sequence[Member], data_centres: Set[str]
) -> bool | None:
    """Return whether the store answers peers; ``None`` when too few know.

    An outage is one that more than half of the data centres see, this node's own among them: a
    region that is cut off from the store and from the other region must not take that for an
    outage, and two halves can't both be more than half.
    """
    heard: dict[str, list[bool]] = {}

    async def ask(member: Member) -> None:
        answer = await peers.request(member.address, StoreAsked(), timeout_s=ASK_TIMEOUT_S)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, StoreHeard):
            ok = answer.ok_value.ok
            if ok is not None:
                heard.setdefault(member.data_centre, []).append(ok)

    async with anyio.create_task_group() as tasks:
        for member in chosen_peers(others):
            tasks.start_soon(ask, member)
    if any(ok for answers in heard.values() for ok in answers):
        return True
    if not heard or 2 * len(set(heard) | {own.data_centre}) <= len(data_centres):
        return None
    return False


def chosen_peers(others: Sequence[Member]) -> list[Member]:
    """Choose the watchers of each data centre, who know without a call of their own."""
    chosen = []
    for centre in sorted({member.data_centre for member in others}):
        chosen += watchers(others, centre, ASKED_PER_DATA_CENTRE)
    return chosen
