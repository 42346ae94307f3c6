"""Weighted rendezvous hashing over members: a change of one member moves only its share.

Each member scores every key by a hash of both (Thaler and Ravishankar 1998); the highest score
owns the key. A weight ``w`` enters as ``-w / ln(u)`` with ``u`` uniform in (0, 1), which gives each
member a share in proportion to its weight.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Sequence

import xxhash

from bramleylead.process.membership._members import Member

HASH_SPAN = 2.0**64


def _one(_: Member) -> float:
    return 1.0


def score(key: str, node: str, weight: float = 1.0) -> float:
    """Return the score of a node for a key; the highest wins."""
    if weight <= 0:
        return 0.0
    uniform = (xxhash.xxh64_intdigest(f"{key}\0{node}".encode()) + 0.5) / HASH_SPAN
    uniform = min(max(uniform, 2**-64), 1.0 - 2**-53)
    return -weight / math.log(uniform)


def ranked(
    key: str, members: Sequence[Member], *, weight: Callable[[Member], float] = _one
) -> list[Member]:
    """Return the members from the highest score to the lowest."""
    return sorted(
        members,
        key=lambda member: (score(key, member.node, weight(member)), member.node),
        reverse=True,
    )


def owners(partition: int, members: Sequence[Member]) -> list[Member]:
    """Rank the members as owners of a program partition; the first should own it."""
    return ranked(f"partition/{partition}", members)


def owner_and_second(
    partition: int, members: Sequence[Member]
) -> tuple[Member | None, Member | None]:
    """Return the best owner, and the best second copy.

    The second copy is in another data centre where there is one, of the same region if it can be,
    so that it shares no power and its link is short.
    """
    ranking = owners(partition, members)
    if not ranking:
        return None, None
    return ranking[0], second_copy(partition, ranking[0], members)


def second_copy(partition: int, owner: Member, members: Sequence[Member]) -> Member | None:
    """Return the best second copy beside a given owner."""
    others = [member for member in members if member.node != owner.node]
    return next(iter(_by_distance_class(owners(partition, others), owner)), None)


def _by_distance_class(ranking: list[Member], owner: Member) -> list[Member]:
    def preference(member: Member) -> int:
        if member.data_centre == owner.data_centre:
            return 2
        return 0 if member.region == owner.region else 1

    return sorted(ranking, key=preference)


def pool_dispatcher(
    pool: str, region: str, data_centre: str, members: Sequence[Member]
) -> Member | None:
    """Return the dispatcher of an engine pool: a node of its data centre, else of its region."""
    near = [member for member in members if member.data_centre == data_centre]
    if not near:
        near = [member for member in members if member.region == region]
    ranking = ranked(f"pool/{region}/{data_centre}/{pool}", near or members)
    return next(iter(ranking), None)


def watchers(members: Sequence[Member], data_centre: str, count: int) -> list[Member]:
    """Return the members of a data centre that watch the store for the others."""
    near = [member for member in members if member.data_centre == data_centre]
    return ranked(f"watch/{data_centre}", near)[:count]
