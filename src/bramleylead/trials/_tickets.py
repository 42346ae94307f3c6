"""Operators of a trial: they submit tickets, alone or against each other."""

from __future__ import annotations

import random
from typing import Any

import anyio
from result import Ok
from result import Result

from bramleylead.errors import Failure
from bramleylead.promises import Promise
from bramleylead.promises import Violation
from bramleylead.request import TicketAccepted
from bramleylead.trials._fleet import Fleet
from bramleylead.trials._fleet import Host
from bramleylead.version import Endpoint
from bramleylead.version import Ticket

TRIES = 8
TRY_TIMEOUT_S = 15.0
RETRY_S = 2.0


async def change_endpoint(fleet: Fleet, name: str, endpoint: Endpoint) -> bool:
    """Submit a ticket with an endpoint's new state under the next free number."""
    for _ in range(TRIES):
        host = await _any_host(fleet)
        if host is None or host.node is None:
            return False
        number = host.node.config.number + 1
        ticket = Ticket(number=number, author="operator", endpoints={name: endpoint})
        result = await _submit(host, ticket)
        if isinstance(result, Ok):
            return True
        await anyio.sleep(RETRY_S)
    return False


async def race_tickets(fleet: Fleet, rng: random.Random) -> None:
    """Submit two different tickets under one number at two nodes: one at most may win."""
    hosts = fleet.ready()
    if len(hosts) < 2:
        return
    pair = rng.sample(hosts, 2)
    number = max(host.node.config.number for host in pair if host.node is not None) + 1
    results: list[Result[TicketAccepted, Failure] | None] = [None, None]

    async def submit(place: int, host: Host) -> None:
        note = f"race {rng.getrandbits(32):08x}"
        ticket = Ticket(number=number, author=f"operator {place}", note=note)
        results[place] = await _submit(host, ticket)

    async with anyio.create_task_group() as tasks:
        for place, host in enumerate(pair):
            tasks.start_soon(submit, place, host)
    won = [result for result in results if isinstance(result, Ok)]
    if len(won) > 1:
        detail = f"ticket {number} was accepted from two operators"
        fleet.violations.append(Violation(Promise.TICKETS, detail))


async def _submit(host: Host, ticket: Ticket) -> Result[Any, Failure] | None:
    node = host.node
    if node is None:
        return None
    with anyio.move_on_after(TRY_TIMEOUT_S):
        return await node.submit_ticket(ticket.model_dump_json().encode())
    return None


async def _any_host(fleet: Fleet) -> Host | None:
    ready = fleet.ready()
    return fleet.rng.choice(ready) if ready else None
