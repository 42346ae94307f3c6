"""A fake tool service: hangs, refusals, lost replies, and a ledger of its effects.

It does not deduplicate: what a node sends twice takes effect twice, and the ledger shows it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from typing import Annotated
from typing import Any
from typing import NamedTuple
from typing import final

import anyio
import xxhash
from pydantic import Field
from result import Err
from result import Ok
from result import Result

from bramleylead.backends import BackendError
from bramleylead.backends import BackendErrorKind
from bramleylead.backends import ServiceCall
from bramleylead.standins._engine_ledger import CallName
from bramleylead.standins._engine_ledger import split_call
from bramleylead.standins._link import Link
from bramleylead.standins._link import connect
from bramleylead.validation import Strict

Rate = Annotated[float, Field(ge=0, le=1)]


class ToolModel(Strict):
    """How one tool behaves. Rates are shares of its calls.

    :param repeatable: whether a second effect of one call does no harm.
    :param hang_rate: calls that never get an answer; half of them have acted.
    :param lose_reply_rate: calls that act, and whose reply is lost.
    :param refuse_rate: calls answered as not run.
    :param fail_rate: calls that act in part and answer that they failed.
    """

    duration_s: Annotated[float, Field(ge=0)] = 0.2
    spread_s: Annotated[float, Field(ge=0)] = 0.2
    repeatable: bool = False
    hang_rate: Rate = 0.0
    lose_reply_rate: Rate = 0.0
    refuse_rate: Rate = 0.0
    fail_rate: Rate = 0.0


@dataclass(slots=True)
class ServiceLedger:
    """What the services of a trial have done.

    :param effects: times that each call ``program/number`` took effect.
    :param tools: the tool of each call that took effect.
    """

    received: int = 0
    refused: int = 0
    stale_refused: int = 0
    stale_run: int = 0
    lost_replies: int = 0
    hung: int = 0
    latest_after_leaving_s: float = 0.0
    effects: dict[str, int] = field(default_factory=dict)
    effects_by_number: dict[CallName, int] = field(default_factory=dict)
    tools: dict[str, str] = field(default_factory=dict)
    harmless: set[str] = field(default_factory=set)

    def act(self, call: ServiceCall, *, repeatable: bool) -> None:
        """Count one effect."""
        self.effects[call.call] = self.effects.get(call.call, 0) + 1
        name = split_call(call.call)
        self.effects_by_number[name] = self.effects_by_number.get(name, 0) + 1
        self.tools[call.call] = call.tool
        if repeatable:
            self.harmless.add(call.call)

    @property
    def duplicate_effects(self) -> int:
        """Effects beyond the first of calls that may not be repeated."""
        return sum(
            count - 1
            for call, count in self.effects.items()
            if count > 1 and call not in self.harmless
        )


class Outcome(NamedTuple):
    """What a call leads to: an answer after a time, or none if ``answer`` is ``None``."""

    answer: Result[Any, BackendError] | None
    after_s: float


@final
class FakeService:
    """One plain service of a trial."""

    def __init__(
        self,
        name: str,
        tools: dict[str, ToolModel],
        *,
        rng: random.Random,
        ledger: ServiceLedger | None = None,
        checks_fence: bool = False,
    ) -> None:
        self.name = name
        self.tools = tools
        self.ledger = ServiceLedger() if ledger is None else ledger
        self.checks_fence = checks_fence
        self.crashed = False
        self.hung = False
        self.leaving_since_s = float("inf")
        self._rng = rng
        self._fences: dict[str, int] = {}

    def receive(self, call: ServiceCall) -> Outcome:
        """Take in a call: act, or not, and say what is answered when."""
        self.ledger.received += 1
        self._note_leaving()
        tool = self.tools.get(call.tool)
        if tool is None:
            return self._refuse(f"no tool {call.tool}; tools are {sorted(self.tools)}")
        stale = self._check_fence(call)
        if stale is not None:
            return Outcome(Err(stale), 0.0)
        after_s = tool.duration_s + self._rng.random() * tool.spread_s
        return self._run(call, tool, after_s)

    def crash(self) -> None:
        """Refuse connections and drop open calls until :meth:`restart`."""
        self.crashed = True

    def restart(self) -> None:
        """Come back."""
        self.crashed = False
        self.hung = False

    def leave(self) -> None:
        """Begin to leave: calls that still come are noted in the ledger."""
        self.leaving_since_s = anyio.current_time()

    def _run(self, call: ServiceCall, tool: ToolModel, after_s: float) -> Outcome:
        if self._rng.random() < tool.refuse_rate:
            return self._refuse("busy")
        if self.hung or self._rng.random() < tool.hang_rate:
            self.ledger.hung += 1
            if self._rng.random() < 0.5:
                self.ledger.act(call, repeatable=tool.repeatable)
            return Outcome(None, after_s)
        self.ledger.act(call, repeatable=tool.repeatable)
        if self._rng.random() < tool.lose_reply_rate:
            self.ledger.lost_replies += 1
            return Outcome(None, after_s)
        if self._rng.random() < tool.fail_rate:
            detail = f"{self.name}: {call.tool} failed half-way"
            return Outcome(Err(BackendError(BackendErrorKind.FAILED, detail)), after_s)
        return Outcome(Ok(answer_of(call)), after_s)

    def _refuse(self, detail: str) -> Outcome:
        self.ledger.refused += 1
        error = BackendError(BackendErrorKind.REFUSED, f"{self.name}: {detail}", 1.0)
        return Outcome(Err(error), 0.0)

    def _check_fence(self, call: ServiceCall) -> BackendError | None:
        program = split_call(call.call).program
        highest = self._fences.get(program, 0)
        if call.fence >= highest:
            self._fences[program] = call.fence
            return None
        if not self.checks_fence:
            self.ledger.stale_run += 1
            return None
        self.ledger.stale_refused += 1
        detail = f"{self.name}: fence {call.fence} of {program} is below {highest}"
        return BackendError(BackendErrorKind.STALE_FENCE, detail)

    def _note_leaving(self) -> None:
        late_s = anyio.current_time() - self.leaving_since_s
        self.ledger.latest_after_leaving_s = max(self.ledger.latest_after_leaving_s, late_s)


def answer_of(call: ServiceCall) -> dict[str, Any]:
    """Return the answer of a tool: a function of the call, so that a mix-up shows."""
    text = repr((call.call, call.tool, sorted(call.arguments.items())))
    return {
        "call": call.call,
        "tool": call.tool,
        "reference": xxhash.xxh64_hexdigest(text.encode()),
    }


@final
class ServiceView:
    """A fake service as one node reaches it, over a fresh connection for each call."""

    def __init__(self, service: FakeService, link: Link) -> None:
        self.target = service
        self.link = link

    async def invoke(self, call: ServiceCall, *, timeout_s: float) -> Result[Any, BackendError]:
        """Run a call; after the timeout it may have run or run still."""
        sent = anyio.Event()
        with anyio.move_on_after(timeout_s):
            return await self._invoke(call, sent)
        kind = BackendErrorKind.LOST if sent.is_set() else BackendErrorKind.NOT_SENT
        detail = f"{self.target.name}: no answer within {timeout_s:g} s"
        return Err(BackendError(kind, detail))

    async def _invoke(self, call: ServiceCall, sent: anyio.Event) -> Result[Any, BackendError]:
        error = await connect(self.link, self.target)
        if error is not None:
            return Err(error)
        sent.set()
        outcome: Outcome | None = None
        try:
            await self.link.there_and_back()
        finally:
            # Bytes that have left arrive even if their sender no longer waits.
            if not self.target.crashed and not self.link.cut:
                outcome = self.target.receive(call)
        if self.link.cut:
            await anyio.sleep_forever()
        if outcome is None:
            return Err(BackendError(BackendErrorKind.LOST, f"{self.target.name}: broke"))
        return await self._reply(outcome)

    async def _reply(self, outcome: Outcome) -> Result[Any, BackendError]:
        await anyio.sleep(outcome.after_s)
        if self.target.crashed:
            return Err(BackendError(BackendErrorKind.LOST, f"{self.target.name}: broke"))
        if outcome.answer is None or not self.link.passes:
            await anyio.sleep_forever()
        await self.link.gate()
        assert outcome.answer is not None
        return outcome.answer
