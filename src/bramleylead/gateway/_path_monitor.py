"""Finds out whether this gateway has lost its paths to the replicas, and when it has them back.

Requests that wait while nothing arrives from any replica are the first sign, long before the kernel
gives up their connections. A new connection then tells a slow replica from a lost path.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import final

import anyio
import structlog

from bramleylead.gateway._connection_pool import ConnectionPool
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._relay_messages import Reach
from bramleylead.gateway._relays import Relays
from bramleylead.placement._replica_paths import ReplicaPaths
from bramleylead.platform._types import Replica

CHECK_INTERVAL_S = 0.1
SILENCE_S = 0.4
"""Requests have waited for this long, and no replica has sent anything to any of them."""
SILENCE_WHILE_LOST_S = 1.0
"""Replicas may still answer on open connections while new ones fail, and be slow."""
PROBES = 2
"""Further replicas that are probed if the first one can't be reached."""
PROBE_PAUSE_S = 1.0
"""Time without probes after a replica has been reached; it was only slow."""
RECOVERY_PROBE_INTERVAL_S = 0.25
RELAY_LIST_LIFETIME_S = 1.0

log = structlog.get_logger()


@final
class PathMonitor:
    """Watches the direct connections of one gateway.

    :param on_lost: called with the replicas that could not be reached for this reason.
    """

    def __init__(
        self,
        directory: Directory,
        pool: ConnectionPool,
        paths: ReplicaPaths,
        relays: Relays,
        *,
        on_lost: Callable[[Sequence[str]], None],
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._paths = paths
        self._relays = relays
        self._on_lost = on_lost
        self._probe_at = float("-inf")
        self._next_probe = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self) -> None:
        """Look at the connections once, and probe replicas if needed."""
        now = anyio.current_time()
        if self._paths.is_lost:
            await self._abandon_silent(SILENCE_WHILE_LOST_S)
            if now >= self._probe_at:
                self._probe_at = now + RECOVERY_PROBE_INTERVAL_S
                await self._probe_for_recovery()
                await self._relays.refresh(max_age_s=RELAY_LIST_LIFETIME_S)
        elif self._paths.is_suspect(now=now):
            await self._ask_another_gateway(self._paths.unreached(now=now))
        elif now >= self._probe_at and now - self._paths.heard_at >= SILENCE_S:
            await self._probe_silent()

    async def _probe_silent(self) -> None:
        """Probe a replica that requests wait for, and others if it can't be reached."""
        waiting = self._pool.waiting_replicas(for_s=SILENCE_S)
        if not waiting:
            return
        first, *others = waiting
        if await self._pool.probe(first) is Reach.REACHED:
            self._probe_at = anyio.current_time() + PROBE_PAUSE_S
            return
        names = {replica.name for replica in waiting}
        listed = [replica for replica in self._directory.usable() if replica.name not in names]
        async with anyio.create_task_group() as tasks:
            for replica in [*others, *listed][:PROBES]:
                tasks.start_soon(self._pool.probe, replica)

    async def _ask_another_gateway(self, unreached: Sequence[str]) -> None:
        """Find out whether the replicas that can't be reached from here are reached elsewhere."""
        replica = self._directory.find(unreached[-1])
        if replica is None:
            self._paths.forget([unreached[-1]])
            return
        confirmation = await self._relays.check(replica)
        now = anyio.current_time()
        if confirmation is None:
            return
        if confirmation.reach is not Reach.REACHED:
            self._paths.record_unreached_elsewhere(replica.name)
            return
        self._paths.record_lost(confirmed_by=confirmation.relay, replica=replica.name, now=now)
        self._on_lost(unreached)
        await self._abandon_silent(SILENCE_S)

    async def _abandon_silent(self, silence_s: float) -> None:
        """Give up what waits on direct connections if none of them brings anything."""
        if anyio.current_time() - self._paths.heard_at < silence_s:
            return
        if not self._pool.waiting_replicas(for_s=silence_s) and not self._pool.has_any_idle:
            return
        given_up = await self._pool.abandon_silent(for_s=silence_s)
        if given_up:
            log.info("silent_requests_given_up", requests=given_up)

    async def _probe_for_recovery(self) -> None:
        """Try to reach one replica after the other."""
        replicas: Sequence[Replica] = self._directory.usable()
        if not replicas:
            return
        self._next_probe += 1
        await self._pool.probe(replicas[self._next_probe % len(replicas)])
