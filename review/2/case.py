"""LOST: a gateway that does not hold a long chain in memory can't get it from the ledger."""

from __future__ import annotations

import anyio
from deployment import BROKEN
from deployment import HELD
from deployment import NOT_RUN
from deployment import STABLE_WINDOW_S
from deployment import TROUBLE
from deployment import Record
from deployment import ask
from deployment import opened_deployment
from deployment import output_of
from deployment import route
from deployment import run_case
from deployment import turn_headers

INPUT_BYTES = 100_000
"""The largest input of a turn in the site file."""
TURNS = 45
"""Programs have up to 65 turns."""
TRIES = 8
TRIES_THAT_BREAK = 5
DOWN_S = 2.0


async def case(record: Record) -> int:
    """Grow a chain through one gateway, kill that gateway, and continue the chain."""
    async with opened_deployment() as site:
        routes = [route("turns", "streaming", "lm-pool", retained=True, **{"retention-s": 60.0})]
        await site.start(routes)
        await site.add_replicas("lm-pool", 4, work_s=0.002)
        await site.wait_ready()
        first, second = site.gateways
        previous, chain = "", b""
        for number in range(TURNS):
            request = f"turn{number}"
            given = f"input {number};".encode().ljust(INPUT_BYTES, b".")
            got = await ask(
                first.http, "/turns/a", request, body=given, headers=turn_headers("p1", previous)
            )
            record.write(f"sent {request} to {first.name}: {got.status}, whole {got.whole}")
            if got.status != 200 or not got.whole:
                return NOT_RUN
            chain += given + output_of("p1")
            previous = request
        record.write(f"the chain has {len(chain)} bytes in {TURNS} turns, all answered whole")
        gateway = first
        if TROUBLE:
            record.write(f"kill {first.name}; clients go on at {second.name}")
            await first.kill()
            await anyio.sleep(DOWN_S)
            first.start()
            gateway = second
            await anyio.sleep(STABLE_WINDOW_S + 2.0)
        refused = served_first_turns = reached = 0
        for number in range(TRIES):
            fresh = f"fresh{number}"
            other = await ask(
                gateway.http, "/turns/a", fresh, body=b"new", headers=turn_headers(f"q{number}")
            )
            served_first_turns += other.status == 200 and other.whole
            request = f"next{number}"
            got = await ask(
                gateway.http,
                "/turns/a",
                request,
                body=b"go on",
                headers=turn_headers("p1", previous),
            )
            ran = [run for run in site.runs if run.request == request]
            record.write(
                f"sent {request} after {previous} to {gateway.name}: {got.status}, "
                f"runs {len(ran)}, {got.body[:150]!r}; first turn {fresh}: {other.status}"
            )
            reached += bool(ran)
            refused += not ran
            if ran and ran[0].body != chain + b"go on":
                record.write("the replica got another body than the chain")
            await anyio.sleep(0.4)
        record.write(
            f"{refused} of {TRIES} tries reached no replica; {served_first_turns} first turns did"
        )
        if served_first_turns < 0.9 * TRIES:
            return NOT_RUN
        return BROKEN if not reached and refused >= TRIES_THAT_BREAK else HELD


run_case(case, __file__)
