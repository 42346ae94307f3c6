"""Weighted rendezvous hashing over members: adding or removing one moves only its share.

The score of a member for a key is a hash of both (Thaler and Ravishankar 1998); the member with
the highest score owns the key. With a weight ``w`` the score is ``-w / ln(u)``, ``u`` uniform in
(0, 1), so that shares are proportional to the weights.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Sequence

import xxhash

from bramleylead.fleet._members import Member

HASH_SPAN = 2.0**64


def _equal_weight(_: Member) -> float:
    return 1.0


def score(key: str, node: str, weight: float = 1.0) -> float:
    """Return the score of a node for a key; the highest score owns the key."""
    if weight <= 0:
        return 0.0
    uniform = (xxhash.xxh64_intdigest(f"{key}\0{node}".encode()) + 0.5) / HASH_SPAN
    uniform = min(max(uniform, 2**-64), 1.0 - 2**-53)
    return -weight / math.log(uniform)


def rank_members(
    key: str, members: Sequence[Member], *, weight: Callable[[Member], float] = _equal_weight
) -> list[Member]:
    """Return the members in descending order of score."""
    return sorted(
        members,
        key=lambda member: (score(key, member.node, weight(member)), member.node),
        reverse=True,
    )


def rank_owners(partition: int, members: Sequence[Member]) -> list[Member]:
    """Rank the members as owners of a partition; the first is the preferred owner."""
    return rank_members(f"partition/{partition}", members)


def preferred_owner_and_second(
    partition: int, members: Sequence[Member]
) -> tuple[Member | None, Member | None]:
    """Return the preferred owner and second copy.

    The second copy is in another data centre if possible, so that the two share no power supply,
    and preferably in the same region for low latency.
    """
    ranking = rank_owners(partition, members)
    if not ranking:
        return None, None
    return ranking[0], choose_second_copy(partition, ranking[0], members)


def choose_second_copy(partition: int, owner: Member, members: Sequence[Member]) -> Member | None:
    """Return the preferred second copy for a given owner."""
    others = [member for member in members if member.node != owner.node]
    return next(iter(_sort_by_distance(rank_owners(partition, others), owner)), None)


def _sort_by_distance(ranking: list[Member], owner: Member) -> list[Member]:
    def distance(member: Member) -> int:
        if member.data_centre == owner.data_centre:
            return 2
        return 0 if member.region == owner.region else 1

    return sorted(ranking, key=distance)


def pool_dispatcher(
    pool: str, region: str, data_centre: str, members: Sequence[Member]
) -> Member | None:
    """Return the dispatcher of an engine pool.

    Nodes in the pool's data centre come first, then nodes in its region, then all others.
    """
    near = [member for member in members if member.data_centre == data_centre]
    if not near:
        near = [member for member in members if member.region == region]
    ranking = rank_members(f"pool/{region}/{data_centre}/{pool}", near or members)
    return next(iter(ranking), None)


def store_watchers(members: Sequence[Member], data_centre: str, count: int) -> list[Member]:
    """Return the members of a data centre that poll the store for the others."""
    near = [member for member in members if member.data_centre == data_centre]
    return rank_members(f"watch/{data_centre}", near)[:count]
