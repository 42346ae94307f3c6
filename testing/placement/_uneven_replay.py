"""A replay whose replicas change speed, and have a limited memory."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from math import floor

import anyio

from bramleylead.placement._prompt import Prompt
from bramleylead.placement._replica_selector import Candidate
from bramleylead.placement._replica_speed import ReplicaSpeed
from testing.placement._replay import SHARED_TOKENS
from testing.placement._replay import FakeEngine
from testing.placement._replay import FakeGateway
from testing.placement._replay import Load
from testing.placement._replay import Replay

PHASE_S = 0.6
MIN_STEP_S = 0.001
SLOW_SHARE = 1 / 7
SLOW_FACTOR = 2.5
LASTING_FACTOR = 1.3
OUTPUT_TOKENS = 400
KNOWN_AFTER_S = 0.05
"""Messages take 4 ms; within this time a gateway knows what has ended."""
MAX_RECORDED = 64


class Knowledge(StrEnum):
    """What the gateways know of the replicas' speed."""

    NOTHING = "nothing"
    FIGURES = "figures"
    ALL = "all"


class UnevenEngine(FakeEngine):
    """A replica that is slow by turns or for good, and records what its requests occupy."""

    def __init__(self, name: str, slots: int, *, changes_speed: bool) -> None:
        super().__init__(name, slots)
        self._number = int(name[1:])
        self._offset_s = PHASE_S * random.Random(self._number).random()
        self._changes_speed = changes_speed
        self.requests: list[Prompt] = []
        self.most_held_tokens = 0
        self.memory_tokens = 0
        self.overfull = 0
        self._held: deque[tuple[float, int]] = deque(maxlen=MAX_RECORDED)

    @property
    def slowdown(self) -> float:
        """How long work takes now, relative to the usual time."""
        if not self._changes_speed:
            return 1.0
        lasting = LASTING_FACTOR if self._number % 3 == 0 else 1.0
        phase = floor((anyio.current_time() + self._offset_s) / PHASE_S)
        is_slow = random.Random(f"{self._number} {phase}").random() < SLOW_SHARE
        return lasting * (SLOW_FACTOR if is_slow else 1.0)

    async def work(self, usual_s: float) -> None:
        while usual_s > 0.0:
            slowdown = self.slowdown
            phase_left_s = PHASE_S - (anyio.current_time() + self._offset_s) % PHASE_S
            span_s = min(phase_left_s + MIN_STEP_S, usual_s * slowdown)
            await anyio.sleep(span_s)
            usual_s -= span_s / slowdown

    async def run(
        self, prompt: Prompt, known_parts: set[str], on_head: Callable[[], None] = lambda: None
    ) -> None:
        self.requests.append(prompt)
        self._record_held()
        try:
            await super().run(prompt, known_parts, on_head)
        finally:
            self._record_held()
            self.requests.remove(prompt)

    @property
    def held_lately(self) -> int:
        """The most that requests occupied within the time in which gateways learn of it."""
        since = anyio.current_time() - KNOWN_AFTER_S
        return max([self.held_tokens, *(held for at, held in self._held if at >= since)])

    def _record_held(self) -> None:
        self.overfull += self.held_tokens > self.memory_tokens
        self._held.append((anyio.current_time(), self.held_tokens))
        self.most_held_tokens = max(self.most_held_tokens, self.held_tokens)

    @property
    def held_tokens(self) -> int:
        """The memory occupied by requests; shared parts occupy it once."""
        shared = {part for prompt in self.requests for part in prompt.parts[:-1]}
        own = sum(
            prompt.tokens - sum(tokens for _, tokens in prompt.parts[:-1])
            for prompt in self.requests
        )
        return own + sum(tokens for _, tokens in shared)


class KnownSpeed(ReplicaSpeed):  # type: ignore[misc]
    """Knows each replica's speed at once."""

    def __init__(self, engines: dict[str, FakeEngine]) -> None:
        super().__init__()
        self._engines = engines

    def expected(self, name: str, *, now: float) -> float:
        engine = self._engines[name]
        assert isinstance(engine, UnevenEngine)
        return engine.slowdown


class UnevenReplay(Replay):
    """A replay of uneven replicas.

    :param memory_tokens: of each replica.
    :param history_turns: that each program has run before its first turn.
    :param checks_room: whether the gateways send requests only where they fit.
    """

    def __init__(
        self,
        load: Load,
        *,
        knowledge: Knowledge = Knowledge.NOTHING,
        changes_speed: bool = False,
        memory_tokens: int = 10_000_000,
        history_turns: int = 0,
        checks_room: bool = True,
    ) -> None:
        self._changes_speed = changes_speed
        self._knowledge = knowledge
        self._checks_room = checks_room
        self._history_turns = history_turns
        self._gateway_rng = random.Random(1)
        self.needless_refusals = 0
        self.no_room = 0
        super().__init__(load)
        self.memory_tokens = memory_tokens
        for engine in self.uneven_engines():
            engine.memory_tokens = memory_tokens
        self.candidates = [
            candidate._replace(cache_tokens=memory_tokens) for candidate in self.candidates
        ]
        if knowledge is Knowledge.ALL:
            for gateway in self.gateways:
                gateway.selector.speed = KnownSpeed(self.engines)

    @property
    def most_held_tokens(self) -> int:
        """The most that requests occupied at any replica."""
        return max(engine.most_held_tokens for engine in self.uneven_engines())

    def make_engine(self, name: str) -> FakeEngine:
        return UnevenEngine(name, self.load.slots, changes_speed=self._changes_speed)

    def record_head(self, gateway: FakeGateway, engine: FakeEngine) -> None:
        if self._knowledge is Knowledge.FIGURES:
            assert isinstance(engine, UnevenEngine)
            gateway.selector.speed.record(engine.name, engine.slowdown, now=anyio.current_time())

    def gateway_for(self, number: int) -> FakeGateway:
        # Of its own generator, so that the same programs start whatever the gateways decide.
        return self._gateway_rng.choice(self.gateways)

    def turn_prompt(self, shared: str, number: int, turn: int) -> Prompt:
        prompt = super().turn_prompt(shared, number, turn + self._history_turns)
        tokens = sum(tokens for _, tokens in prompt.parts) + OUTPUT_TOKENS
        return prompt._replace(tokens=tokens)

    def choose(self, gateway: FakeGateway, prompt: Prompt, *, under_way: bool) -> Candidate | None:
        candidates = self.candidates
        if self._checks_room:
            candidates = gateway.selector.with_room(candidates, prompt, under_way=under_way)
        chosen = gateway.selector.choose(candidates, prompt)
        if chosen is None:
            self.no_room += 1
            needed = prompt.tokens - SHARED_TOKENS
            self.needless_refusals += any(
                engine.held_lately + needed <= self.memory_tokens
                for engine in self.uneven_engines()
            )
        return chosen

    def uneven_engines(self) -> list[UnevenEngine]:
        """Return the replicas."""
        return [engine for engine in self.engines.values() if isinstance(engine, UnevenEngine)]
