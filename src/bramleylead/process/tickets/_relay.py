"""Shapes in which one node's news reaches the others of its data centre.

A shape says to whom a node passes on what began at a root. Shapes are registered by name, so that
``bramleylead bench control`` can compare them.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

from bramleylead.process.membership._members import Member
from bramleylead.process.partitions._rendezvous import rank_members

SEND_S = 0.0002
LINK_IN_DATA_CENTRE_S = 0.0005
LINK_IN_REGION_S = 0.0015
LINK_BETWEEN_REGIONS_S = 0.008

_Place = tuple[str, str]


class Relay(Protocol):
    """One shape over one set of members."""

    def children(self, root: str, node: str) -> Sequence[Member]:
        """Return the members to which a node passes on what began at a root."""
        ...


RelayFactory = Callable[[Sequence[Member], int, random.Random], Relay]
_factories: dict[str, RelayFactory] = {}


def relay(name: str) -> Callable[[RelayFactory], RelayFactory]:
    """Register a shape under a name.

    :raises ValueError: if the name is taken.
    """

    def register(factory: RelayFactory) -> RelayFactory:
        if name in _factories:
            raise ValueError(f"relay {name!r} is registered already")
        _factories[name] = factory
        return factory

    return register


def relay_names() -> list[str]:
    """Return the names of all shapes."""
    return sorted(_factories)


def make_relay(name: str, members: Sequence[Member], fanout: int, rng: random.Random) -> Relay:
    """Build a shape over members.

    :raises ValueError: if no shape has this name.
    """
    if name not in _factories:
        raise ValueError(f"no relay {name!r}; there are {', '.join(relay_names())}")
    return _factories[name](members, fanout, rng)


def _order(root: str, members: Sequence[Member]) -> list[Member]:
    """Return the root and then the others, in an order that differs from root to root."""
    first = [member for member in members if member.node == root]
    rest = [member for member in members if member.node != root]
    return first + rank_members(f"relay/{root}", rest)


@relay("tree")
class KAryTree:
    """A complete k-ary tree, drawn by rendezvous order, so that a lost member moves few others."""

    def __init__(self, members: Sequence[Member], fanout: int, rng: random.Random) -> None:
        self._members = members
        self._fanout = fanout
        self._orders: dict[str, tuple[list[Member], dict[str, int]]] = {}

    def children(self, root: str, node: str) -> Sequence[Member]:
        """Return the next ``fanout`` members below the node's place."""
        if root not in self._orders:
            order = _order(root, self._members)
            self._orders[root] = (order, {m.node: i for i, m in enumerate(order)})
        order, places = self._orders[root]
        if node not in places or not order or order[0].node != root:
            return ()
        first = self._fanout * places[node] + 1
        return order[first : first + self._fanout]


@relay("random")
class RandomPush:
    """Each node passes on to ``fanout`` members drawn anew each time."""

    def __init__(self, members: Sequence[Member], fanout: int, rng: random.Random) -> None:
        self._members = members
        self._fanout = fanout
        self._rng = rng

    def children(self, root: str, node: str) -> Sequence[Member]:
        """Return a fresh random draw."""
        others = [m for m in self._members if m.node not in (root, node)]
        return self._rng.sample(others, min(self._fanout, len(others)))


@relay("lrf")
class LargestReadyFirst:
    """The tree of least delay where sending to each child takes the sender time.

    "Largest ready time first" of Brosh, Levin and Shavitt (2007), section VI, for links that obey
    the triangle inequality: the member whose earliest delivery is latest is joined first, to the
    node that can deliver to it earliest. Members of one place are equal in it, so that each step
    looks at places only.
    """

    def __init__(self, members: Sequence[Member], fanout: int, rng: random.Random) -> None:
        self._members = members
        self._trees: dict[str, dict[str, list[Member]]] = {}

    def children(self, root: str, node: str) -> Sequence[Member]:
        """Return the node's children in the root's tree."""
        if root not in self._trees:
            self._trees[root] = _build_lrf(_order(root, self._members), root)
        return self._trees[root].get(node, ())


def _build_lrf(order: list[Member], root: str) -> dict[str, list[Member]]:
    if not order or order[0].node != root:
        return {}
    tree: dict[str, list[Member]] = {member.node: [] for member in order}
    waiting: dict[_Place, deque[Member]] = {}
    for member in order[1:]:
        waiting.setdefault(_place(member), deque()).append(member)
    ready: dict[_Place, list[tuple[float, str]]] = {_place(order[0]): [(0.0, root)]}
    while waiting:
        due_s, place, source = max(_earliest(place, ready) for place in waiting)
        member = waiting[place].popleft()
        if not waiting[place]:
            del waiting[place]
        free_s, parent = heapq.heappop(ready[source])
        heapq.heappush(ready[source], (free_s + SEND_S, parent))
        heapq.heappush(ready.setdefault(place, []), (due_s, member.node))
        tree[parent].append(member)
    return tree


def _earliest(
    place: _Place, ready: dict[_Place, list[tuple[float, str]]]
) -> tuple[float, _Place, _Place]:
    """Return when a member of a place can have the message, and from a node of which place."""
    due_s, source = min(
        (nodes[0][0] + SEND_S + _link_s(source, place), source) for source, nodes in ready.items()
    )
    return due_s, place, source


def _place(member: Member) -> _Place:
    return member.region, member.data_centre


def _link_s(first: _Place, second: _Place) -> float:
    if first[0] != second[0]:
        return LINK_BETWEEN_REGIONS_S
    return LINK_IN_DATA_CENTRE_S if first == second else LINK_IN_REGION_S
