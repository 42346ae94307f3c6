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
        return not self.killed and not self._network.is_cut(self._host, self._endpoint_host)

    @property
    def killed(self) -> bool:
        """Whether the node of this link was killed; nothing of it passes any more."""
        return self._network.kills(self._host) != self._kills

    @property
    def warm(self) -> bool:
        """Whether a kept connection is open, on which bytes go out although the way is cut."""
        return anyio.current_time() < self._warm_until_s

    def silence(self) -> None:
        """Make the open connections go silent for good; new ones work."""
        self.silences += 1

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
        self._warm_until_s = anyio.current_time() + WARM_CONNECTION_S

    def bill(self, size: int) -> None:
        """Count bytes that crossed regions."""
        if self.crosses_regions:
            self.bytes_between_regions += size


class Target(Protocol):
    """An endpoint at the far end of a link."""

    name: str
    crashed: bool


async def depart(link: Link, target: Target, *, lost_after_s: float) -> BackendError | None:
    """Connect to an endpoint; returns the error if no byte gets there.

    :param lost_after_s: how long a sender waits on a kept connection that has gone dead.
    """
    await link.gate()
    if not link.passes and link.warm:
        await anyio.sleep(lost_after_s)
        return BackendError(BackendErrorKind.LOST, f"{target.name}: the connection went silent")
    if not link.passes:
        await anyio.sleep(CONNECT_TIMEOUT_S)
        return BackendError(BackendErrorKind.NOT_SENT, f"{target.name}: no answer to connect")
    if target.crashed:
        await link.there_and_back()
        return BackendError(BackendErrorKind.NOT_SENT, f"{target.name}: connection refused")
    return None


async def reach(link: Link, target: Target, *, lost_after_s: float) -> BackendError | None:
    """Send something that may be lost on the way without harm; returns the error if it is."""
    error = await depart(link, target, lost_after_s=lost_after_s)
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
