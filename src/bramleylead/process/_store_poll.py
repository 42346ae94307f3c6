"""Asks peers whether the store answers them: tells an outage from being cut off from it."""

from __future__ import annotations

import random
from collections.abc import Sequence

import anyio
from result import Ok

from bramleylead.connection import PeerClient
from bramleylead.process._members import Member
from bramleylead.process._membership_messages import StoreAsked
from bramleylead.process._membership_messages import StoreHeard
from bramleylead.process._rendezvous import watchers

ASKED_PER_DATA_CENTRE = 1
ASKED_AT_HOME = 1
ASK_TIMEOUT_S = 1.5


async def poll_peers(
    peers: PeerClient, own: Member, others: Sequence[Member], rng: random.Random
) -> bool | None:
    """Return whether the store answers peers; ``None`` when no peer that knows could be asked."""
    heard: list[bool] = []

    async def ask(member: Member) -> None:
        answer = await peers.request(member.address, StoreAsked(), timeout_s=ASK_TIMEOUT_S)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, StoreHeard):
            ok = answer.ok_value.ok
            if ok is not None:
                heard.append(ok)

    async with anyio.create_task_group() as tasks:
        for member in chosen_peers(own, others, rng):
            tasks.start_soon(ask, member)
    return any(heard) if heard else None


def chosen_peers(own: Member, others: Sequence[Member], rng: random.Random) -> list[Member]:
    """Choose one watcher of each other data centre, and one peer of the own.

    Watchers know from their own calls, so that asking them costs the store nothing. Two are drawn
    from, or a dead first one would hide its data centre.
    """
    centres = sorted({member.data_centre for member in others} - {own.data_centre})
    chosen = []
    for centre in centres:
        near = watchers(others, centre, 2)
        chosen += rng.sample(near, min(ASKED_PER_DATA_CENTRE, len(near)))
    home = [member for member in others if member.data_centre == own.data_centre]
    chosen += rng.sample(home, min(ASKED_AT_HOME, len(home)))
    return chosen
