"""LOST: an entry of another writer ends a gateway's process while a replica is dark."""

from __future__ import annotations

import os

import anyio
from deployment import BROKEN
from deployment import HELD
from deployment import NOT_RUN
from deployment import TROUBLE
from deployment import Answer
from deployment import Record
from deployment import ask
from deployment import opened_deployment
from deployment import poll
from deployment import route
from deployment import run_case
from proxy import DarkProxy

from bramleylead.connection._http_client import HttpClient

REPLICAS = 8
"""One of them goes dark; the site file has srv_crash, dark, with a share of 0.14."""
CLIENTS = 6
WORK_S = 0.6
"""The longest work of ``cert-issue`` in the site file."""
OTHERS_AFTER_S = 0.25
FOREIGN_ENTRY = {
    "service": "backup-agent",
    "address": "127.0.0.1:73807395",
    "zone": "sask-a",
    "version": "7",
    "state": "ready",
}
"""Written by something else: its service is not named, and no port has this number."""
WITH_ENTRY = os.environ.get("ENTRY", "1") != "0"
"""ENTRY=0 is a control: the replica goes dark, but there is no such entry."""
MAX_CLOSED = 3


async def case(record: Record) -> int:
    """Let a replica go dark while others work, beside an entry of another writer."""
    async with opened_deployment() as site:
        await site.start([route("issue", "unsafe", "cert-app", attempts=1)])
        if TROUBLE and WITH_ENTRY:
            site.store.put("servers", "backup-17", FOREIGN_ENTRY)
            record.write(f"another writer's entry: {FOREIGN_ENTRY}")
        proxies = {}
        for replica in await site.add_replicas("cert-app", REPLICAS, work_s=WORK_S, slots=6):
            proxies[replica.name] = DarkProxy(replica.address)
            await proxies[replica.name].start(site.stack)
            entry = replica.entry(address=proxies[replica.name].address)
            site.store.put("servers", replica.name, entry)
        await site.wait_ready()
        gateway = site.gateways[0]
        answers: dict[str, Answer] = {}
        connections = [
            await site.stack.enter_async_context(HttpClient(gateway.http))
            for _ in range(CLIENTS + 1)
        ]

        async def send(number: int, request: str) -> None:
            answers[request] = await ask(
                gateway.http, "/issue/a", request, body=b"x", client=connections[number]
            )

        def ran_at(request: str) -> list[str]:
            return [run.replica for run in site.runs if run.request == request]

        async with anyio.create_task_group() as tasks:
            for number in range(CLIENTS + 1):
                tasks.start_soon(send, number, f"first{number}")
        record.write(f"first requests: {[answer.status for answer in answers.values()]}")
        if any(answer.status != 200 for answer in answers.values()):
            return NOT_RUN
        await anyio.sleep(1.5)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, CLIENTS, "alone")
            with anyio.fail_after(2.0):
                await poll(lambda: bool(ran_at("alone")))
            (dark,) = ran_at("alone")
            if TROUBLE:
                record.write(f"{dark} works on a request and goes dark")
                proxies[dark].go_dark()
            await anyio.sleep(OTHERS_AFTER_S)
            for number in range(CLIENTS):
                tasks.start_soon(send, number, f"second{number}")
        await anyio.sleep(1.0)
        closed = 0
        for request, answer in answers.items():
            at = ran_at(request)
            record.write(f"{request}: ran at {at}, answered {answer.status} {answer.body[:90]!r}")
            closed += bool(at) and at != [dark] and answer.status == 0
        record.write(f"exit code of {gateway.name}: {gateway.exit_code} (None: it runs)")
        for line in [text for text in gateway.log.read_text().splitlines() if "Error:" in text][
            -1:
        ]:
            record.write(f"error in its log: {line.strip()[:200]}")
        record.write(f"{closed} requests at sound replicas ended with a closed connection")
        return BROKEN if closed > MAX_CLOSED else HELD


run_case(case, __file__)
