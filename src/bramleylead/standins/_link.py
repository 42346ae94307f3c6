"""The way from a node to an endpoint on the fake network: delay, cuts, freezes, silence, kills."""

from __future__ import annotations

from typing import Protocol
from typing import final

import anyio

from bramleylead.backends import BackendError
from bramleylead.backends import BackendErrorKind
from bramleylead.standins._network import FakeNetwork

CONNECT_TIMEOUT_S = 1.0
WARM_CONNECTION_S = 5.0


@final
class Link:
    """The connections of one node to one endpoint.

    The delays of both directions are waited for before a call arrives, which saves a timer for
    each chunk that comes back.
    """

    def __init__(self, network: FakeNetwork, host: str, endpoint_host: str) -> None:
        self._network = network
        self._host = host
        self._endpoint_host = endpoint_host
        self._kills = network.kills(host)
        self._warm_until_s = 0.0
        self._warm_silent = False
        self.silences = 0
        self.bytes_between_regions = 0

    @property
    def crosses_regions(self) -> bool:
        """Whether what passes here is billed."""
        network = self._network
        return network.region(self._host) != network.region(self._endpoint_host)

    @property
    def passes(self) -> bool:
        """Whether what either side sends now gets through."""
        return not self.killed and not self.cut

    @property
    def cut(self) -> bool:
        """Whether the network lets nothing through between the two."""
        return self._network.is_cut(self._host, self._endpoint_host)

    @property
    def frozen(self) -> bool:
        """Whether the node is frozen, so that nothing leaves it now."""
        return self._network.is_frozen(self._host)

    @property
    def killed(self) -> bool:
        """Whether the node of this link was killed; nothing of it passes any more."""
        return self._network.kills(self._host) != self._kills

    @property
    def kept_is_dead(self) -> bool:
        """Whether a connection is kept open on which nothing gets through any more."""
        kept = anyio.current_time() < self._warm_until_s
        return kept and (self._warm_silent or not self.passes)

    def silence(self) -> None:
        """Make the open connections go silent for good; new ones work."""
        self.silences += 1
        self._warm_silent = True

    def close_kept(self) -> None:
        """Use a fresh connection next."""
        self._warm_until_s = 0.0
        self._warm_silent = False

    async def gate(self) -> None:
        """Wait while the node is frozen, and for ever once it was killed."""
        await self._network.pass_gate(self._host)
        if self.killed:
            await anyio.sleep_forever()

    async def there_and_back(self) -> None:
        """Wait for the delay of both directions."""
        await anyio.sleep(2 * self._network.delay_s(self._host, self._endpoint_host))

    def used(self) -> None:
        """Take in that a connection just worked and is kept open."""
        if anyio.current_time() >= self._warm_until_s:
            self._warm_silent = False
        self._warm_until_s = anyio.current_time() + WARM_CONNECTION_S

    def bill(self, size: int) -> None:
        """Count bytes that crossed regions."""
        if self.crosses_regions:
            self.bytes_between_regions += size


class Target(Protocol):
    """An endpoint at the far end of a link."""

    name: str
    crashed: bool


async def connect(link: Link, target: Target) -> BackendError | None:
    """Open a fresh connection; returns the error if that fails."""
    await link.gate()
    if not link.passes:
        await anyio.sleep(CONNECT_TIMEOUT_S)
        return BackendError(BackendErrorKind.NOT_SENT, f"{target.name}: no answer to connect")
    if target.crashed:
        await link.there_and_back()
        return BackendError(BackendErrorKind.NOT_SENT, f"{target.name}: connection refused")
    return None


async def reach(link: Link, target: Target, *, lost_after_s: float) -> BackendError | None:
    """Send a request over a kept connection or a fresh one; returns the error if it is lost.

    :param lost_after_s: how long the sender waits when nothing comes back.
    """
    await link.gate()
    if link.kept_is_dead:
        link.close_kept()
        await anyio.sleep(lost_after_s)
        return BackendError(BackendErrorKind.LOST, f"{target.name}: the connection went silent")
    error = await connect(link, target)
    if error is not None:
        return error
    await link.there_and_back()
    if target.crashed:
        return BackendError(BackendErrorKind.LOST, f"{target.name}: the connection broke")
    if not link.passes:
        await anyio.sleep(lost_after_s)
        return BackendError(BackendErrorKind.LOST, f"{target.name}: the connection went silent")
    link.used()
    return None
