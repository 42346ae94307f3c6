"""Endpoint pools: up to 16 endpoints of one data centre that serve the same model or service."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from bramleylead.version import Endpoint

MAX_POOL_ENDPOINTS = 16


class PoolKey(NamedTuple):
    """Identifies a pool; ``shard`` numbers the pools of one model or service in one data centre."""

    serves: str
    region: str
    data_centre: str
    shard: int

    def __str__(self) -> str:
        return f"{self.serves}@{self.region}/{self.data_centre}#{self.shard}"


def pools_of(endpoints: Mapping[str, Endpoint]) -> dict[PoolKey, dict[str, Endpoint]]:
    """Group the configured endpoints into pools of nearly equal size."""
    groups: dict[tuple[str, str, str], list[str]] = {}
    for name in sorted(endpoints):
        endpoint = endpoints[name]
        location = (endpoint.serves, endpoint.region, endpoint.data_centre)
        groups.setdefault(location, []).append(name)
    pools: dict[PoolKey, dict[str, Endpoint]] = {}
    for location, names in groups.items():
        shard_count = -(-len(names) // MAX_POOL_ENDPOINTS)
        for shard in range(shard_count):
            members = names[shard::shard_count]
            pools[PoolKey(*location, shard)] = {name: endpoints[name] for name in members}
    return pools
