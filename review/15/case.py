"""Requests reach a replica that has been gone for over drain-ms, if a watch was cut off before."""

from __future__ import annotations

import asyncio
from pathlib import Path

from site3 import Message
from site3 import Record
from site3 import Replica
from site3 import Site
from site3 import configuration
from site3 import plain_route
from site3 import plain_service
from site3 import run_case

HERE = Path(__file__).resolve().parent
DRAIN_S = 2.5
CUT_BEFORE_S = 0.3
"""From the cut of the watches until the entry of the replica is removed."""
SERVES_ON_S = 2.9
"""From the removal until the replica exits: drain-ms, and a little longer."""
SENDS_FOR_S = 4.0
INTERVAL_S = 0.03


async def case(record: Record, trouble: bool) -> bool:
    """Remove a replica's entry; return whether a request reached it later than it may."""
    site = Site(record, gateways=["sask-a"], ledgers=["sask-a", "manitoba-a", "alberta-a"])
    removed_at = float("inf")
    late: list[str] = []

    def note_run(replica: Replica, request: str, message: Message) -> None:
        after_s = record.now() - removed_at
        if replica.name == "i-1" and after_s > DRAIN_S:
            record.add("late", request=request, after_removal_s=round(after_s, 3))
            late.append(request)

    site.on_run = note_run
    try:
        route = plain_route("charge", "/charge/", "unsafe", "records", attempts=1)
        replicas = [(f"i-{number}", "records", "sask-a", 0.2, 0) for number in (1, 2)]
        await site.open(configuration(7, [route], [plain_service("records")]), replicas)
        await asyncio.sleep(5.0)
        if trouble:
            for writer, kind in list(site.store.watching.items()):
                record.add("watch_cut_off", kind=kind)
                writer.transport.abort()
        await asyncio.sleep(CUT_BEFORE_S)
        site.store.remove("servers", "i-1")
        removed_at = record.now()
        record.add("entry_removed", replica="i-1")
        calls = []
        while record.now() - removed_at < SENDS_FOR_S:
            calls.append(
                asyncio.create_task(site.call(site.gateways[0], "POST", "/charge/x", body=b"1"))
            )
            if record.now() - removed_at > SERVES_ON_S and site.replicas["i-1"].serving:
                record.add("replica_exits", replica="i-1")
                site.replicas["i-1"].exit()
            await asyncio.sleep(INTERVAL_S)
        answers = await asyncio.gather(*calls)
    finally:
        site.close()
    statuses = [answer.status for _, answer in answers]
    record.add(
        "judged", late=len(late), sent=len(statuses), not_served=len(statuses) - statuses.count(200)
    )
    return bool(late)


run_case(HERE, case)
