"""The faults of ``bramleylead bench recovery``, registered by a decorator."""

from __future__ import annotations

import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import anyio

from bramleylead.trials._faults import endpoint_at
from bramleylead.trials._fleet import Fleet

PAUSE_S = 30.0
DATA_CENTRE_BACK_AFTER_S = 60.0
LAST_PROGRAMS_BEFORE_END_S = 60.0

FaultAct = Callable[[Fleet, random.Random], Awaitable[None]]


class RecoveryFault(NamedTuple):
    """A fault as it is measured.

    :param act: brings the fault about, and may undo it later.
    :param second_wave_s: when as many programs start once more, after the first; 0 for never.
    """

    act: FaultAct
    second_wave_s: float = 0.0


FAULTS: dict[str, Callable[[float], RecoveryFault]] = {}
"""Makers of faults by name; each is given how long the store is to be out, in seconds."""


def _fault(name: str) -> Callable[[FaultAct], FaultAct]:
    def register(act: FaultAct) -> FaultAct:
        FAULTS[name] = lambda _: RecoveryFault(act)
        return act

    return register


@_fault("kill")
async def _kill(fleet: Fleet, rng: random.Random) -> None:
    """Lose a VM without a word."""
    await fleet.kill(rng.choice(sorted(fleet.hosts)))


@_fault("stop")
async def _stop(fleet: Fleet, rng: random.Random) -> None:
    """Stop a VM as planned."""
    await fleet.stop(rng.choice(sorted(fleet.hosts)))


@_fault("pause")
async def _pause(fleet: Fleet, rng: random.Random) -> None:
    """Freeze a VM and let it go on."""
    name = rng.choice(sorted(fleet.hosts))
    fleet.freeze(name)
    await anyio.sleep(PAUSE_S)
    fleet.thaw(name)


@_fault("data_centre")
async def _data_centre(fleet: Fleet, rng: random.Random) -> None:
    """Lose the VMs and endpoints of a data centre."""
    lost = rng.choice(fleet.deployment.places).data_centre
    endpoints = fleet.deployment.ticket.endpoints.values()
    addresses = [item.address for item in endpoints if item.data_centre == lost]
    for address in addresses:
        endpoint_at(fleet, address).crash()
    for name, host in sorted(fleet.hosts.items()):
        if host.settings.data_centre == lost:
            await fleet.kill(name)
    await anyio.sleep(DATA_CENTRE_BACK_AFTER_S)
    for address in addresses:
        endpoint_at(fleet, address).restart()


def _store_down(length_s: float) -> RecoveryFault:
    """Take the object API away for a time; programs also start shortly before it is back."""

    async def act(fleet: Fleet, _: random.Random) -> None:
        fleet.faults.outage = True
        await anyio.sleep(length_s)
        fleet.faults.outage = False

    return RecoveryFault(act, second_wave_s=max(0.0, length_s - LAST_PROGRAMS_BEFORE_END_S))


FAULTS["store_down"] = _store_down
