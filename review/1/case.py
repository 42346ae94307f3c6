"""RECOVER, LOST: a node that lost its disk never copies large turns, so the next loss is final."""

from __future__ import annotations

import os

import anyio
from deployment import BROKEN
from deployment import HELD
from deployment import NOT_RUN
from deployment import TROUBLE
from deployment import Deployment
from deployment import Node
from deployment import Record
from deployment import ask
from deployment import opened_deployment
from deployment import output_of
from deployment import route
from deployment import run_case
from deployment import turn_headers

INPUT_BYTES = (100_000,) * 4 if os.environ.get("SMALL") else (900_000, 3_200_000, 900_000)
"""Each is less than ``max-body-bytes``. SMALL=1 is a control with turns of ordinary size."""
DOWN_S = 2.0
CATCH_UP_S = 4.8
RECOVERY_S = 12.0
BETWEEN_S = 20.0
TRIES = 10


async def lose_disk(record: Record, site: Deployment, node: Node) -> None:
    """Kill a node of the ledger, wipe its disk and start it again."""
    record.write(f"{node.name} is killed and loses its disk; members {site.members()}")
    await node.kill()
    node.wipe()
    await anyio.sleep(DOWN_S)
    node.start()
    record.write(f"{node.name} is back with an empty disk")


async def count_served(record: Record, site: Deployment, when: str) -> int:
    """Send first turns to both routes of both gateways; return how many were answered whole."""
    served = 0
    for number in range(TRIES):
        gateway = site.gateways[number % 2]
        request = f"fresh-{when}-{number}"
        path = ("/turns/a", "/assist/a")[number // 2 % 2]
        got = await ask(gateway.http, path, request, body=b"new", headers=turn_headers(request))
        record.write(f"sent {request} to {path} at {gateway.name}: {got.status}, {got.body[:99]!r}")
        served += got.status == 200 and got.whole
        await anyio.sleep(0.3)
    return served


async def case(record: Record) -> int:
    """Keep some turns, then let two nodes of the ledger lose their disks one after the other."""
    async with opened_deployment() as site:
        routes = [
            route("turns", "streaming", "lm-pool", retained=True, **{"retention-s": 60.0}),
            route("assist", "streaming", "lm-pool", resumable=True),
        ]
        await site.start(routes)
        await site.add_replicas("lm-pool", 4, work_s=0.002)
        await site.wait_ready()
        kept = []
        for number, size in enumerate(INPUT_BYTES):
            request = f"turn{number}"
            given = f"input {number};".encode().ljust(size, b".")
            got = await ask(
                site.gateways[0].http,
                "/turns/a",
                request,
                body=given,
                headers=turn_headers(f"p{number}"),
            )
            record.write(f"sent {request} of {size} bytes: {got.status}, whole {got.whole}")
            if got.status != 200 or not got.whole:
                return NOT_RUN
            kept.append((request, given + output_of(f"p{number}")))
        before = await count_served(record, site, "before")
        if TROUBLE:
            await lose_disk(record, site, site.ledgers[0])
            await anyio.sleep(BETWEEN_S)
            record.write(f"members {BETWEEN_S} s after it was back: {site.members()}")
            await lose_disk(record, site, site.ledgers[1])
            await anyio.sleep(RECOVERY_S + 1.0)
            record.write(f"members {RECOVERY_S + 1.0} s after it was back: {site.members()}")
        after = await count_served(record, site, "after")
        found = 0
        for number, (previous, chain) in enumerate(kept):
            request = f"next{number}"
            got = await ask(
                site.gateways[1].http,
                "/turns/a",
                request,
                body=b"go on",
                headers=turn_headers(f"p{number}", previous),
            )
            ran = [run for run in site.runs if run.request == request]
            found += bool(ran) and ran[0].body == chain + b"go on"
            record.write(
                f"sent {request} after {previous}: {got.status}, runs {len(ran)}, {got.body[:99]!r}"
            )
        record.write(f"first turns served: {before} of {TRIES} before, {after} after")
        record.write(f"kept turns found: {found} of {len(kept)}")
        if before < TRIES / 2:
            return NOT_RUN
        return BROKEN if after < TRIES / 4 else HELD


run_case(case, __file__)
