"""DRAIN: after an outage of the store a replica that leaves gets requests for too long."""

from __future__ import annotations

import time

import anyio
from deployment import BROKEN
from deployment import DRAIN_S
from deployment import HELD
from deployment import HOST_NAME
from deployment import NOT_RUN
from deployment import STABLE_WINDOW_S
from deployment import TROUBLE
from deployment import Node
from deployment import Record
from deployment import Replica
from deployment import ask
from deployment import opened_deployment
from deployment import route
from deployment import run_case

from bramleylead.connection._http_client import HttpClient

REPLICAS = 16
LEAVING = 2
"""An eighth of the replicas; the site file has scale_in with a share of 0.13."""
LEAVE_GAP_S = 0.02
OUTAGE_S = 2.0
CLIENTS_PER_GATEWAY = 8
PACE_S = 0.004
AFTER_S = 4.0


async def send_lookups(node: Node, name: str, answers: dict[str, int]) -> None:
    """Send one lookup after the other on a kept connection."""
    number = 0
    async with HttpClient(node.http) as client:
        while True:
            number += 1
            request = f"{name}.{number}"
            got = await ask(
                node.http,
                "/lookup/a",
                request,
                method="GET",
                deadline_s=1.2,
                client=client,
            )
            answers[request] = got.status
            await anyio.sleep(PACE_S)


async def case(record: Record) -> int:
    """Let the store fail and recover; once it is stable, take two replicas away."""
    async with opened_deployment() as site:
        await site.start([route("lookup", "safe", "cert-app", **{"timeout-ms": 1200})])
        replicas = await site.add_replicas("cert-app", REPLICAS, work_s=0.004, slots=6)
        await site.wait_ready()
        answers: dict[str, int] = {}
        record.write(f"lookups for {HOST_NAME} begin at both gateways")
        async with anyio.create_task_group() as tasks:
            for node in site.gateways:
                for number in range(CLIENTS_PER_GATEWAY):
                    tasks.start_soon(send_lookups, node, f"{node.name}.{number}", answers)
            await anyio.sleep(2.0)
            if TROUBLE:
                record.write(f"the store answers 503 for {OUTAGE_S} s")
                site.store.out = True
                await anyio.sleep(OUTAGE_S)
                site.store.out = False
                record.write("the store answers again")
            await anyio.sleep(STABLE_WINDOW_S + 0.1)
            acknowledged: dict[str, float] = {}
            for replica in replicas[:LEAVING]:
                site.store.remove("servers", replica.name)
                acknowledged[replica.name] = time.monotonic()
                record.write(f"the entry of {replica.name} is removed; it serves on")
                await anyio.sleep(LEAVE_GAP_S)
            await anyio.sleep(AFTER_S)
            tasks.cancel_scope.cancel()
        return judge(record, site.runs, replicas, acknowledged, answers)


def judge(
    record: Record,
    runs: list,
    replicas: list[Replica],
    acknowledged: dict[str, float],
    answers: dict[str, int],
) -> int:
    """Count the requests that reached a replica later than ``drain-ms`` after it was gone."""
    served = sum(status == 200 for status in answers.values())
    record.write(
        f"{served} of {len(answers)} lookups answered with 200; {len(runs)} runs; those late:"
    )
    late = 0
    for replica in replicas[:LEAVING]:
        ages = []
        for run in runs:
            if run.replica != replica.name:
                continue
            age = run.at - acknowledged[replica.name]
            ages.append(age)
            if age > 0:
                status = answers.get(run.request, "nothing yet")
                record.write(f"{run.request} ran at {replica.name} {age:.3f} s after: {status}")
        after = [age for age in ages if age > 0]
        too_late = [round(age, 3) for age in after if age > DRAIN_S]
        late += len(too_late)
        last = max(after, default=0.0)
        record.write(
            f"{replica.name}: {len(after)} requests after it was gone, the last {last:.3f} s later;"
            f" later than {DRAIN_S} s: {too_late}"
        )
    if served < 0.9 * len(answers):
        return NOT_RUN
    return BROKEN if late else HELD


run_case(case, __file__)
