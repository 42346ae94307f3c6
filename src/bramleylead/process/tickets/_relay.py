"""Relay topologies that distribute a push from one node to the others of its data centre.

A topology determines the members to which a node forwards a push that started at a root. Topologies
are registered by name, so that ``bramleylead bench control`` can compare them.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

from bramleylead.fleet._members import Member
from bramleylead.fleet._rendezvous import rank_members

SEND_S = 0.0002
LINK_IN_DATA_CENTRE_S = 0.0005
LINK_IN_REGION_S = 0.0015
LINK_BETWEEN_REGIONS_S = 0.008

_Location = tuple[str, str]


class Relay(Protocol):
    """A topology over a set of members."""

    def children(self, root: str, node: str) -> Sequence[Member]:
        """Return the members to which ``node`` forwards a push that started at ``root``."""
        ...


RelayFactory = Callable[[Sequence[Member], int, random.Random], Relay]
_factories: dict[str, RelayFactory] = {}


def relay(name: str) -> Callable[[RelayFactory], RelayFactory]:
    """Register a topology under a name.

    :raises ValueError: if the name is taken.
    """

    def register(factory: RelayFactory) -> RelayFactory:
        if name in _factories:
            raise ValueError(f"relay {name!r} is already registered")
        _factories[name] = factory
        return factory

    return register


def relay_names() -> list[str]:
    """Return the names of all registered topologies."""
    return sorted(_factories)


def make_relay(name: str, members: Sequence[Member], fanout: int, rng: random.Random) -> Relay:
    """Build a topology over members.

    :raises ValueError: if no topology has this name.
    """
    if name not in _factories:
        raise ValueError(f"unknown relay {name!r}; known relays: {', '.join(relay_names())}")
    return _factories[name](members, fanout, rng)


def _relay_order(root: str, members: Sequence[Member]) -> list[Member]:
    """Return the root, then the other members in an order that differs from root to root."""
    first = [member for member in members if member.node == root]
    others = [member for member in members if member.node != root]
    return first + rank_members(f"relay/{root}", others)


@relay("tree")
class KAryTree:
    """A complete k-ary tree over the members in rendezvous order.

    With that order, a lost member changes the position of few others.
    """

    def __init__(self, members: Sequence[Member], fanout: int, rng: random.Random) -> None:
        self._members = members
        self._fanout = fanout
        self._orders: dict[str, tuple[list[Member], dict[str, int]]] = {}

    def children(self, root: str, node: str) -> Sequence[Member]:
        """Return the node's children in the tree, at most ``fanout`` members."""
        if root not in self._orders:
            order = _relay_order(root, self._members)
            self._orders[root] = (order, {m.node: i for i, m in enumerate(order)})
        order, positions = self._orders[root]
        if node not in positions or not order or order[0].node != root:
            return ()
        first = self._fanout * positions[node] + 1
        return order[first : first + self._fanout]


@relay("random")
class RandomPush:
    """Forwards to ``fanout`` members, newly chosen at random for each push."""

    def __init__(self, members: Sequence[Member], fanout: int, rng: random.Random) -> None:
        self._members = members
        self._fanout = fanout
        self._rng = rng

    def children(self, root: str, node: str) -> Sequence[Member]:
        """Return a new random sample of members."""
        others = [m for m in self._members if m.node not in (root, node)]
        return self._rng.sample(others, min(self._fanout, len(others)))


@relay("lrf")
class LargestReadyFirst:
    """A tree of least delay, given that a sender needs time for each child it sends to.

    Implements "largest ready time first" of Brosh, Levin and Shavitt (2007), section VI, for links
    that obey the triangle inequality. Each step adds the member whose earliest delivery is latest,
    as a child of the node that can deliver to it earliest. All members of a location are
    equivalent, so each step compares locations only.
    """

    def __init__(self, members: Sequence[Member], fanout: int, rng: random.Random) -> None:
        self._members = members
        self._trees: dict[str, dict[str, list[Member]]] = {}

    def children(self, root: str, node: str) -> Sequence[Member]:
        """Return the node's children in the root's tree."""
        if root not in self._trees:
            self._trees[root] = _build_lrf(_relay_order(root, self._members), root)
        return self._trees[root].get(node, ())


def _build_lrf(order: list[Member], root: str) -> dict[str, list[Member]]:
    if not order or order[0].node != root:
        return {}
    tree: dict[str, list[Member]] = {member.node: [] for member in order}
    waiting: dict[_Location, deque[Member]] = {}
    for member in order[1:]:
        waiting.setdefault(_location(member), deque()).append(member)
    ready: dict[_Location, list[tuple[float, str]]] = {_location(order[0]): [(0.0, root)]}
    while waiting:
        due_s, location, source = max(_earliest_delivery(location, ready) for location in waiting)
        member = waiting[location].popleft()
        if not waiting[location]:
            del waiting[location]
        free_s, parent = heapq.heappop(ready[source])
        heapq.heappush(ready[source], (free_s + SEND_S, parent))
        heapq.heappush(ready.setdefault(location, []), (due_s, member.node))
        tree[parent].append(member)
    return tree


def _earliest_delivery(
    location: _Location, ready: dict[_Location, list[tuple[float, str]]]
) -> tuple[float, _Location, _Location]:
    """Return the earliest delivery time to a location, that location and the source location."""
    due_s, source = min(
        (nodes[0][0] + SEND_S + _link_s(source, location), source)
        for source, nodes in ready.items()
    )
    return due_s, location, source


def _location(member: Member) -> _Location:
    return member.region, member.data_centre


def _link_s(first: _Location, second: _Location) -> float:
    if first[0] != second[0]:
        return LINK_BETWEEN_REGIONS_S
    return LINK_IN_DATA_CENTRE_S if first == second else LINK_IN_REGION_S
