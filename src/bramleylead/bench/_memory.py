"""Memory of a gateway and a ledger node under the largest permitted inputs, many at once."""

from __future__ import annotations

import random
import tempfile
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
from absl import flags

from bramleylead.bench import Figure
from bramleylead.bench import bench
from bramleylead.platform import _names as names
from bramleylead.trials.fuzz._flow import SoundFlow
from bramleylead.trials.fuzz._site import FuzzSite
from bramleylead.trials.site._callers import HOST_NAME
from bramleylead.trials.site._callers import Got
from bramleylead.trials.site._callers import send_once

BYTES_PER_MB = 1_000_000
BODY_BYTES = 1_000_000
ANSWER_BYTES = 7_900_000
TURN_BYTES = 900_000
TURNS = 8
SLOW_S = 1.0


class _Load:
    """The callers of one run; ``served`` and ``refused`` count what they got."""

    def __init__(self, site: FuzzSite) -> None:
        self._site = site
        self.served = 0
        self.refused = 0

    async def send_body(self, number: int) -> None:
        """Send a body of the largest permitted size to a slow replica."""
        for replica in self._site.odd:
            replica.delay_s = SLOW_S
        await self._ask("/odd-unsafe/x", f"body-{number}", b"x" * BODY_BYTES)

    async def take_answer(self, number: int) -> None:
        """Have a replica answer with nearly the largest permitted size."""
        request = f"answer-{number}"
        head = (
            f"HTTP/1.1 200 OK\r\n{names.REQUEST_ID}: {request}\r\n{names.SERVER_STAMP}: s\r\n"
            f"content-length: {ANSWER_BYTES}\r\n\r\n"
        )
        for replica in self._site.odd:
            replica.script(request, (head.encode(), b"x" * ANSWER_BYTES))
        await self._ask("/odd-unsafe/x", request, b"x")

    async def send_chain(self, number: int) -> None:
        """Send a chain of large turns."""
        previous = ""
        for turn in range(TURNS):
            request = f"chain-{number}-{turn}"
            got = await self._ask("/odd-turns/x", request, b"x" * TURN_BYTES, previous)
            if got.status != 200 or not got.whole:
                return
            previous = request

    async def _ask(self, path: str, request: str, body: bytes, previous: str = "") -> Got:
        headers = {
            "host": HOST_NAME,
            names.REQUEST_ID: request,
            names.DEADLINE_MS: "8000",
            names.PROGRAM_ID: request,
            names.TOKEN_BUDGET: "100000",
            names.TOKEN_USAGE: "100,50",
            **({names.PREVIOUS_TURN: previous} if previous else {}),
        }
        got = await send_once(self._site.gateway.http, path, body, headers)
        self.served += got.status == 200 and got.whole
        self.refused += got.status == 503
        return got


KINDS: dict[str, Callable[[_Load, int], Awaitable[None]]] = {
    "bodies": _Load.send_body,
    "answers": _Load.take_answer,
    "chains": _Load.send_chain,
}


@bench("memory")
def run_memory(words: list[str]) -> int:
    """Print the most memory that each process had, beside what it had before."""
    values = flags.FlagValues()
    flags.DEFINE_enum("kind", "bodies", list(KINDS), "What is large.", flag_values=values)
    flags.DEFINE_integer("callers", 60, "At once.", lower_bound=1, flag_values=values)
    values(["bench memory", *words])
    for figure in anyio.run(_measure, values.kind, values.callers):
        print(figure.to_json())
    return 0


async def _measure(kind: str, callers: int) -> list[Figure]:
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        site = FuzzSite(Path(folder), random.Random("memory"))
        await site.open(stack)
        await SoundFlow(site.gateway, site.judge).wait_served()
        before = {node.name: node.resident_bytes(peak=True) for node in site.nodes}
        load = _Load(site)
        async with anyio.create_task_group() as tasks:
            for number in range(callers):
                tasks.start_soon(KINDS[kind], load, number)
        figures = [
            Figure(
                f"{kind}_{node.name}_peak",
                node.resident_bytes(peak=True) / BYTES_PER_MB,
                "MB",
                before[node.name] / BYTES_PER_MB,
            )
            for node in site.nodes
        ]
        figures.append(Figure(f"{kind}_served", load.served, "requests"))
        return [*figures, Figure(f"{kind}_refused", load.refused, "requests")]
