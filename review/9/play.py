"""The store is silent for a moment; 4 s later a route is moved to another service."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import stage as s  # noqa: E402

ZONES = {"z1": "r1", "z2": "r2", "z3": "r3"}
SERVICES = {"old-app": False, "new-app": False}
SILENT_S = 0.1
LAG_S = 3.0


async def play(stage: s.Stage) -> bool:
    """Return whether the old service ran what was sent too long after the move."""
    record, store = stage.record, stage.store
    store.lag_s = LAG_S
    old = await stage.add_replica(s.Replica("i-old", "old-app", record))
    await stage.add_replica(s.Replica("i-new", "new-app", record))
    idle = s.route("/idle/", "old-app", "safe")
    stage.configure([s.route("/issue/", "old-app", "unsafe")], SERVICES)
    for zone in ZONES:
        stage.add("ledger", f"storage-{zone}", zone)
    gateways = [stage.add("gateway", f"front-{zone}", zone) for zone in ZONES]
    await stage.until_ready(gateways, 3)

    ended = asyncio.Event()
    sent_at: dict[str, float] = {}

    async def client(gateway: s.Process) -> None:
        while not ended.is_set():
            name = f"{len(sent_at) + 1:016x}"
            sent_at[name] = record.now()
            headers = {"Bramleylead-Request-Id": name, "Bramleylead-Deadline-Ms": "3000"}
            answered = await s.call(gateway.http, "POST", "/issue/x", headers, b"{}", timeout_s=3.5)
            sent = f"sent {sent_at[name]:.3f}"
            record.line("client", gateway.node, name, sent, "answered", answered.status)
            await asyncio.sleep(0.02)

    async with asyncio.TaskGroup() as tasks:
        for gateway in gateways:
            tasks.create_task(client(gateway))
        await asyncio.sleep(4.0)
        stage.configure([s.route("/issue/", "old-app", "unsafe"), idle], SERVICES)
        await asyncio.sleep(1.0)
        if stage.trouble:
            record.line(f"store: silent for {SILENT_S} s")
            store.silence(SILENT_S)
        # Then the store has been stable for longer than stable-window-ms, and all are in touch.
        await asyncio.sleep(SILENT_S + s.STABLE_WINDOW_S + 0.9)
        stage.configure([s.route("/issue/", "new-app", "unsafe"), idle], SERVICES)
        moved_at = record.now()
        await asyncio.sleep(7.0)
        ended.set()
    ran = [sent_at[each.request] for each in old.ran]
    late = [sent for sent in ran if sent > moved_at + s.CONFIG_APPLY_S]
    record.line(
        f"sent later than {s.CONFIG_APPLY_S} s after the acknowledgement, run by the old service:",
        f"{len(late)}; the last was sent {max(ran) - moved_at:.3f} s after it",
    )
    return bool(late)


s.run(HERE, ZONES, play)
