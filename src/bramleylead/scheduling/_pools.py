"""Engine pools: up to 16 endpoints that serve the same thing in one data centre."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from bramleylead.version import Endpoint

MAX_POOL_ENDPOINTS = 16


class PoolKey(NamedTuple):
    """Names a pool; ``part`` counts the pools of one model in one data centre."""

    serves: str
    region: str
    data_centre: str
    part: int

    def __str__(self) -> str:
        return f"{self.serves}@{self.region}/{self.data_centre}#{self.part}"


def pools_of(endpoints: Mapping[str, Endpoint]) -> dict[PoolKey, dict[str, Endpoint]]:
    """Group the configured endpoints into pools of nearly equal size."""
    groups: dict[tuple[str, str, str], list[str]] = {}
    for name in sorted(endpoints):
        endpoint = endpoints[name]
        place = (endpoint.serves, endpoint.region, endpoint.data_centre)
        groups.setdefault(place, []).append(name)
    pools: dict[PoolKey, dict[str, Endpoint]] = {}
    for place, names in groups.items():
        parts = -(-len(names) // MAX_POOL_ENDPOINTS)
        for part in range(parts):
            chosen = names[part::parts]
            pools[PoolKey(*place, part)] = {name: endpoints[name] for name in chosen}
    return pools
