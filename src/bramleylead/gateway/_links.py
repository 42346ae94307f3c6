"""Kept connections to replicas: which one a request takes, and which one is closed."""

from __future__ import annotations

from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import Network
from bramleylead.gateway._types import Replica
from bramleylead.gateway._upstream import Upstream

CONNECT_TIMEOUT_S = 0.4
"""Shorter than the second after which a lost opening packet is sent again: another replica is
reached sooner."""
UNTOLD_KEEP_S = 4.0
KEEP_MARGIN_S = 1.0
"""A kept connection is left this long before its replica says that it closes it: a request that
crosses the close may have run, and an unsafe one can't be sent again."""

log = structlog.get_logger()


@final
class Links:
    """The kept connections of one gateway, by replica."""

    def __init__(self, network: Network, *, id_header: str) -> None:
        self._network = network
        self._id_header = id_header
        self._idle: dict[str, list[Upstream]] = {}
        self.opened = 0

    async def take(self, replica: Replica) -> Result[Upstream, str]:
        """Return a quiet kept connection, or a new one; an ``Err`` means that nothing was sent."""
        kept = self._idle.get(replica.name, [])
        while kept:
            link = kept.pop()
            if anyio.current_time() < link.keep_until and link.is_quiet():
                return Ok(link)
            await link.aclose()
        return await self._connect(replica)

    async def give_back(self, replica: Replica, link: Upstream, keep_s: float | None) -> None:
        """Keep a connection for the next request if it is in order, or close it."""
        if not link.reusable or replica.name not in self._idle:
            await link.aclose()
            return
        told_s = UNTOLD_KEEP_S if keep_s is None else keep_s - KEEP_MARGIN_S
        link.keep_until = anyio.current_time() + told_s
        self._idle[replica.name].append(link)

    async def keep_only(self, names: set[str]) -> None:
        """Close the connections to replicas that are no longer used."""
        for name in [name for name in self._idle if name not in names]:
            for link in self._idle.pop(name):
                await link.aclose()

    async def close_old(self) -> None:
        """Close kept connections that have been idle for as long as they may be."""
        now = anyio.current_time()
        for kept in self._idle.values():
            old = [link for link in kept if link.keep_until <= now]
            kept[:] = [link for link in kept if link.keep_until > now]
            for link in old:
                await link.aclose()

    async def _connect(self, replica: Replica) -> Result[Upstream, str]:
        self._idle.setdefault(replica.name, [])
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._network.connect(replica.address)
        except (OSError, TimeoutError) as error:
            detail = f"{replica.address}: can't connect: {type(error).__name__}: {error}"
            return Err(detail)
        self.opened += 1
        return Ok(Upstream(stream, id_header=self._id_header))
