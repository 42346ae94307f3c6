"""The sessions that have golden files, registered by a decorator."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any
from typing import NamedTuple

import anyio

from bramleylead.trials._deployments import MODEL
from bramleylead.trials._deployments import Deployment
from bramleylead.trials._deployments import aspenhold
from bramleylead.trials._deployments import ratsakool
from bramleylead.trials._fleet import tool_models
from testing.golden._recorder import Recorder
from testing.golden._recorder import Session
from testing.golden._recorder import record

SESSIONS_FOLDER = Path(__file__).resolve().parent / "sessions"
MORNING_S = 20 * 3600.0
"""When the nodes start again, regardless of how long stopping them took."""
PROPAGATION_S = 3.0
MORNING_WARM_UP_S = 30.0


class GoldenSession(NamedTuple):
    """A session and the deployment that it runs on."""

    deployment: Callable[[], Deployment]
    run: Session

    def text(self) -> str:
        """Run the session and return its record."""
        return record(self.deployment(), self.run)


SESSIONS: dict[str, GoldenSession] = {}


def golden_session(name: str, deployment: Callable[[], Deployment]) -> Callable[[Session], Session]:
    """Register a session under the name of its golden file."""

    def register(session: Session) -> Session:
        SESSIONS[name] = GoldenSession(deployment, session)
        return session

    return register


def path_of(name: str) -> Path:
    """Return the path of a session's golden file."""
    return SESSIONS_FOLDER / f"{name}.txt"


def _chat(text: str, *earlier: dict[str, str], stream: bool = False) -> dict[str, Any]:
    messages = [*earlier, {"role": "user", "content": text}]
    return {"model": MODEL, "messages": messages, "stream": stream, "max_tokens": 40}


@golden_session("tutoring", aspenhold)
async def _tutoring(recorder: Recorder) -> None:
    """Run a tutoring program: streamed and whole answers, a tool call, a sub-agent, a resume."""

    async def send(node: str, method: str, target: str, body: Any = None, **headers: str) -> Any:
        return await recorder.caller(node, "lakeland", method, target, body, **headers)

    program = {"program": "tutor-1", "kind": "tutoring"}
    await send("node-0", "POST", "/v1/programs", program)
    await send("node-0", "POST", "/v1/programs", program)
    chat = "/v1/chat/completions"
    first = _chat("What is a bore cut?", stream=True)
    await send("node-1", "POST", chat, first, Bramleylead_Program="tutor-1", Bramleylead_Call="1")
    read = "/v1/programs/tutor-1?history=1"
    history = json.loads((await send("node-2", "GET", read)).body)["messages"]
    await send(
        "node-3",
        "POST",
        "/v1/programs/tutor-1/tools/look_up_record",
        {"candidate": "Ann"},
        Bramleylead_Call="2",
    )
    second = _chat("And when is it used?", *history)
    await send("node-4", "POST", chat, second, Bramleylead_Program="tutor-1", Bramleylead_Call="3")
    await send("node-5", "GET", "/v1/programs/tutor-1/calls/1/answer?offset=150")
    child = {"program": "tutor-1-quiz", "kind": "tutoring", "parent": "tutor-1"}
    await send("node-0", "POST", "/v1/programs", child)
    quiz = _chat("Three questions on kickback")
    await send("node-1", "POST", chat, quiz, Bramleylead_Program="tutor-1-quiz")
    await send("node-2", "POST", chat, _chat("Too early"), Bramleylead_Program="tutor-1")
    await recorder.caller("node-3", "chinook", "GET", "/v1/programs/tutor-1")
    await send("node-3", "DELETE", "/v1/programs/tutor-1")
    await anyio.sleep(PROPAGATION_S)
    await send("node-4", "GET", "/v1/programs/tutor-1-quiz")


@golden_session("coaching-two-days", ratsakool)
async def _coaching(recorder: Recorder) -> None:
    """Run a coaching program that continues the next day; every node is stopped overnight."""

    async def turn(node: str, text: str) -> None:
        await recorder.caller(
            node,
            "tartu-yard",
            "POST",
            "/v1/chat/completions",
            _chat(text),
            Bramleylead_Program="coach-1",
            Bramleylead_History="append",
            Bramleylead_Kind="coaching",
        )

    await turn("node-0", "My horse leans on the left rein")
    await turn("node-3", "And in canter too")
    recorder.note("evening: every node stops gracefully, one after the other")
    fleet = recorder.fleet
    for name in sorted(fleet.hosts):
        await fleet.stop(name)
    await anyio.sleep_until(MORNING_S)
    recorder.note("next day: every node starts")
    for name in sorted(fleet.hosts):
        await fleet.start_node(name)
    await anyio.sleep_until(MORNING_S + MORNING_WARM_UP_S)
    await turn("node-5", "What did we say about the canter?")
    target = "/v1/programs/coach-1?history=1"
    await recorder.caller("node-1", "tartu-yard", "GET", target)
    await recorder.caller("node-2", "tartu-yard", "DELETE", "/v1/programs/coach-1")


@golden_session("issuance-retried", aspenhold)
async def _issuance(recorder: Recorder) -> None:
    """Issue a certificate only once although the caller, and then the owner, loses the reply."""

    async def issue(node: str, program: str, *, disconnect_after_s: float | None = None) -> None:
        await recorder.caller(
            node,
            "parkland",
            "POST",
            f"/v1/programs/{program}/tools/issue_certificate",
            {"candidate": program},
            disconnect_after_s=disconnect_after_s,
            Idempotency_Key=f"certificate of {program}",
            Bramleylead_Call="1",
            Bramleylead_Deadline_S="10",
        )

    for program in ("exam-1", "exam-2"):
        body = {"program": program, "kind": "assessment"}
        await recorder.caller("node-0", "parkland", "POST", "/v1/programs", body)
    await issue("node-1", "exam-1", disconnect_after_s=0.1)
    await issue("node-2", "exam-1")
    await issue("node-4", "exam-1")
    recorder.note("the records' replies are lost from now on")
    for service in recorder.fleet.endpoints.services.values():
        normal = tool_models(recorder.fleet.deployment, "records")
        lost = {"lose_reply_rate": 1.0}
        service.tools = {name: tool.model_copy(update=lost) for name, tool in normal.items()}
    await issue("node-1", "exam-2")
    await issue("node-2", "exam-2")
    await recorder.caller("node-3", "parkland", "GET", "/v1/programs/exam-2?history=1")
    _note_effects(recorder)


@golden_session("booking-over-budget", ratsakool)
async def _booking(recorder: Recorder) -> None:
    """Have a booking refused for its budget, then repeat it after a ticket raised the budget."""

    async def tool(node: str, name: str, number: int) -> None:
        await recorder.caller(
            node,
            "haapsalu-yard",
            "POST",
            f"/v1/programs/booking-1/tools/{name}",
            {"pony": "Muri"},
            Bramleylead_Call=str(number),
        )

    await recorder.operator("node-0", "POST", "/v1/tickets", _budget_ticket(2, limit=25))
    await anyio.sleep(PROPAGATION_S)
    body = {"program": "booking-1", "kind": "booking"}
    await recorder.caller("node-1", "haapsalu-yard", "POST", "/v1/programs", body)
    await tool("node-2", "charge_deposit", 1)
    await tool("node-3", "place_booking", 2)
    _note_effects(recorder)
    await recorder.operator("node-4", "POST", "/v1/tickets", _budget_ticket(3, limit=40))
    await anyio.sleep(PROPAGATION_S)
    await tool("node-5", "place_booking", 2)
    await recorder.caller("node-0", "haapsalu-yard", "GET", "/v1/programs/booking-1?history=1")
    _note_effects(recorder)


HEAD_START_S = 0.03


@golden_session("ticket-race", ratsakool)
async def _ticket_race(recorder: Recorder) -> None:
    """Two operators submit different tickets under one number; the loser takes the next one."""
    answers: dict[str, int] = {}

    async def submit(node: str, number: int, limit: int) -> None:
        ticket = _budget_ticket(number, limit=limit, author=f"operator at {node}")
        answers[node] = (await recorder.operator(node, "POST", "/v1/tickets", ticket)).status

    limits = {"node-0": 5_000, "node-3": 6_000}
    async with anyio.create_task_group() as tasks:
        for node, limit in limits.items():
            tasks.start_soon(submit, node, 2, limit)
            # Makes the winner independent of the store's random delays.
            await anyio.sleep(HEAD_START_S)
    loser = max(limits, key=lambda node: answers[node])
    winner = min(limits, key=lambda node: answers[node])
    await submit(loser, 3, limits[loser])
    recorder.note("the winner repeats its ticket, its answer having been lost")
    await submit(winner, 2, limits[winner])
    await anyio.sleep(PROPAGATION_S)
    status = await recorder.unrecorded("node-5", "/v1/tickets/3/status")
    nodes = ", ".join(sorted(item["node"] for item in status["nodes"]))
    recorder.note(f"ticket 3 is {status['state']} on {nodes}; missing: {status['missing']}")
    await recorder.operator("node-4", "GET", "/v1/tickets/2")
    await recorder.operator("node-2", "GET", "/v1/tickets")
    refused = _budget_ticket(4, limit=-1)
    await recorder.operator("node-1", "POST", "/v1/tickets", refused)


def _budget_ticket(number: int, *, limit: int, author: str = "operator") -> dict[str, Any]:
    budgets = {"haapsalu-yard-budget": {"limit": limit}}
    return {"number": number, "author": author, "budgets": budgets}


def _note_effects(recorder: Recorder) -> None:
    """Record the effects that the services list in their ledger."""
    ledger = recorder.fleet.endpoints.service_ledger
    for call, count in sorted(ledger.effects.items()):
        recorder.note(f"effect of {call} ({ledger.tools[call]}): {count}")
