"""Bad input to real nodes over real sockets gets the documented errors, and no call hangs."""

from __future__ import annotations

import json
import random
import unittest
from pathlib import Path
from typing import Any
from typing import NamedTuple

import anyio
import httpcore

from bramleylead.backends import Message
from bramleylead.connection._events import EventReader
from bramleylead.connection._tcp import split_address
from bramleylead.node_settings import RequestSettings
from bramleylead.node_settings import StoreSettings
from bramleylead.platform import MemoryStore
from bramleylead.standins import answer_to
from bramleylead.standins import serve_objects
from bramleylead.trials._demo import demo_engine
from bramleylead.trials._example import Example
from bramleylead.trials._example import load_example
from bramleylead.trials._live import LiveFleet
from bramleylead.trials._live import live_fleet

EXAMPLES = Path(__file__).parents[2] / "examples"
TEST_LIMIT_S = 60.0
LIMITS = RequestSettings(max_body_bytes=10_000, body_timeout_s=0.3)
BRANCH, OTHER_BRANCH = "chinook", "northern"
LONG = "How do I sharpen a chain? [output=600]"
CHAT = "/v1/chat/completions"


class Response(NamedTuple):
    """One answer."""

    status: int
    json: Any

    @property
    def kind(self) -> str:
        """The error kind; empty on success."""
        return self.json.get("error", {}).get("error_kind", "")


class Session:
    """Requests of one branch to one node, each over its own connection."""

    def __init__(self, address: str, key: str) -> None:
        self.address = address
        self.key = key

    async def send(self, method: str, path: str, body: bytes = b"", **headers: str) -> Response:
        """Send one request and read its JSON."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        async with httpcore.AsyncConnectionPool() as pool:
            answered = await pool.request(
                method,
                f"http://{self.address}{path}",
                headers={"authorization": f"Bearer {self.key}", **named},
                content=body,
            )
        return Response(answered.status, json.loads(answered.content))

    async def open(self, program: str, kind: str = "tutoring") -> Response:
        """Open a program, waiting until its partition has an owner."""
        body = json.dumps({"program": program, "kind": kind}).encode()
        while True:
            response = await self.send("POST", "/v1/programs", body)
            if response.status != 503:
                return response

    async def call(self, program: str, number: int, text: str) -> Response:
        """Make a model call."""
        return await self.send(
            "POST",
            CHAT,
            chat(text),
            bramleylead_program=program,
            bramleylead_call=str(number),
            bramleylead_history="append",
        )

    def raw(self, program: str, length: int) -> bytes:
        """Return the head of a streamed call with a body of this length."""
        return (
            f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {self.key}\r\n"
            f"Bramleylead-Program: {program}\r\nContent-Length: {length}\r\n\r\n"
        ).encode()


def chat(text: str, **more: Any) -> bytes:
    """Return the body of a model call."""
    body = {"model": "assistant", "messages": [{"role": "user", "content": text}], **more}
    return json.dumps(body).encode()


def text_of(events: list[bytes]) -> str:
    """Return the text in the events of an answer."""
    parts = [json.loads(event) for event in events if event != b"[DONE]"]
    return "".join(part["choices"][0]["delta"].get("content", "") for part in parts)


async def _disconnect_during_answer(session: Session) -> str:
    """Read the first text of an answer, then close the connection."""
    body = chat(LONG, stream=True)
    reader = EventReader()
    async with await anyio.connect_tcp(*split_address(session.address)) as stream:
        await stream.send(session.raw("p-away", len(body)) + body)
        events: list[bytes] = []
        while not events:
            events = reader.feed_data(await stream.receive())
    return text_of(events)


async def _resume(session: Session, offset: int) -> str:
    path = f"/v1/programs/p-away/calls/1/answer?offset={offset}"
    async with httpcore.AsyncConnectionPool() as pool:
        answered = await pool.request(
            "GET",
            f"http://{session.address}{path}",
            headers={"authorization": f"Bearer {session.key}"},
        )
    return text_of(EventReader().feed_data(answered.content))


async def _send_slowly(session: Session) -> Response:
    """Send half of a body and wait for the node's body timeout."""
    async with await anyio.connect_tcp(*split_address(session.address)) as stream:
        await stream.send(session.raw("p-1", 100) + b'{"model": ')
        found = b""
        try:
            while True:
                found += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            head, _, body = found.partition(b"\r\n\r\n")
    return Response(int(head.split()[1]), json.loads(body))


async def _race(session: Session, *texts: str) -> list[Response]:
    """Send several concurrent requests with the same call number."""
    found: list[Response] = []

    async def one(text: str) -> None:
        found.append(await session.call("p-race", 1, text))

    async with anyio.create_task_group() as tasks:
        for text in texts:
            tasks.start_soon(one, text)
    return found


async def _send_bad_input(fleet: LiveFleet, example: Example) -> dict[str, Any]:
    address = next(iter(fleet.hosts.values())).settings.http_address
    session = Session(address, example.keys[BRANCH])
    other = Session(address, example.keys[OTHER_BRANCH])
    nobody = Session(address, "a key of no branch")
    for program in ("p-1", "p-away", "p-race"):
        await session.open(program)
    found: dict[str, Any] = {
        "malformed": await session.send("POST", CHAT, b'{"model": ', bramleylead_program="p-1"),
        "huge": await session.send("POST", CHAT, chat("x" * 20_000), bramleylead_program="p-1"),
        "slow": await _send_slowly(session),
        "ahead": await session.call("p-1", 5, "too early"),
        "foreign": await other.call("p-1", 1, "not mine"),
        "foreign read": await other.send("GET", "/v1/programs/p-1"),
        "unknown key": await nobody.open("p-2"),
        "unknown kind": await session.open("p-2", kind="juggling"),
        "unknown program": await session.call("p-none", 1, "who"),
        "unknown tool": await session.send("POST", "/v1/programs/p-1/tools/juggle", b"{}"),
        "race": await _race(session, "one", "another"),
        "first": await _disconnect_during_answer(session),
    }
    found["rest"] = await _resume(session, len(found["first"]))
    found["after"] = [await session.call(name, 1, "go on") for name in ("p-1",)]
    found["after"].append(await session.call("p-away", 2, "go on"))
    found["after"].append(await session.call("p-race", 2, "go on"))
    nodes = [host.served.node for host in fleet.hosts.values() if host.served is not None]
    found["calls left"] = [call for node in nodes for call in node.dump()["calls"]]
    found["violations"] = [item for node in nodes for item in node.promises.violations]
    return found


def run_bad_input() -> dict[str, Any]:
    """Send all bad input to two nodes of an example."""

    async def main() -> dict[str, Any]:
        store = MemoryStore()
        with anyio.fail_after(TEST_LIMIT_S):
            async with serve_objects(store, "127.0.0.1:0") as objects:
                settings = StoreSettings(kind="http", location=f"http://{objects}")
                example = load_example(EXAMPLES / "aspenhold", nodes=2, engines=1, store=settings)
                for name, node in example.deployment.nodes.items():
                    limited = node.model_copy(update={"requests": LIMITS})
                    example.deployment.nodes[name] = limited
                running = live_fleet(example, store, engine=demo_engine(), rng=random.Random(1))
                async with running as fleet:
                    return await _send_bad_input(fleet, example)

    return anyio.run(main, backend="asyncio")


class RealNodeTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.found = run_bad_input()

    def refused(self, name: str, status: int, kind: str) -> None:
        response = self.found[name]
        self.assertEqual((response.status, response.kind), (status, kind), response.json)
        self.assertEqual(response.json["error"]["ran"], "not run")

    def test_malformed_json(self) -> None:
        self.refused("malformed", 400, "malformed")

    def test_a_huge_body(self) -> None:
        self.refused("huge", 413, "too_large")

    def test_a_slow_sender(self) -> None:
        self.refused("slow", 504, "deadline_exceeded")

    def test_a_call_out_of_order(self) -> None:
        self.refused("ahead", 409, "out_of_order")

    def test_another_branchs_program(self) -> None:
        self.refused("foreign", 403, "forbidden")
        self.refused("foreign read", 403, "forbidden")

    def test_unknown_branch_kind_program_and_tool(self) -> None:
        self.refused("unknown key", 401, "unauthenticated")
        self.refused("unknown kind", 404, "unknown_target")
        self.refused("unknown program", 404, "unknown_program")
        self.refused("unknown tool", 404, "unknown_target")

    def test_of_two_callers_racing_for_one_number_one_wins(self) -> None:
        kinds = sorted(response.kind for response in self.found["race"])
        self.assertEqual(kinds, ["", "duplicate_mismatch"])

    def test_a_caller_that_disconnected_resumes_from_its_offset(self) -> None:
        whole = answer_to([Message("user", LONG)], 800)
        self.assertLess(0, len(self.found["first"]))
        self.assertLess(len(self.found["first"]), len(whole.text(0, whole.tokens)))
        self.assertEqual(self.found["first"] + self.found["rest"], whole.text(0, whole.tokens))

    def test_later_calls_succeed_and_no_promise_is_broken(self) -> None:
        self.assertEqual([response.status for response in self.found["after"]], [200, 200, 200])
        self.assertEqual(self.found["calls left"], [])
        self.assertEqual(self.found["violations"], [])


if __name__ == "__main__":
    unittest.main()
