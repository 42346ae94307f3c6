"""Workloads of the policy bench: programs drawn from the parameters of a JSON file.

A program is drawn whole before a run, so that every policy meets the same programs. The engine's
constants in ``workloads/engine.json`` stand for one L40S accelerator of 48 GB that serves a model
of 8 billion parameters in 16 bits: 16 GB of weights read a step at 0.86 TB/s, 16 GFLOP a token at
about 160 TFLOP/s, 131 kB of cache a token in the 28 GB that are left free, 2.5 GB/s between VMs.
"""

from __future__ import annotations

import math
import random
from pathlib import Path
from typing import Annotated
from typing import NamedTuple

from pydantic import Field

from bramleylead.standins import EngineModelSettings
from bramleylead.validation import Strict

WORKLOADS = Path(__file__).parent / "workloads"


class Spread(Strict):
    """A log-normal spread, cut off above."""

    median: Annotated[float, Field(gt=0)]
    sigma: Annotated[float, Field(ge=0)]
    most: Annotated[float, Field(gt=0)]

    def draw(self, rng: random.Random) -> float:
        """Return one value."""
        return min(self.most, self.median * math.exp(self.sigma * rng.gauss(0.0, 1.0)))

    def draw_count(self, rng: random.Random) -> int:
        """Return one value as a whole number, at least 1."""
        return max(1, round(self.draw(rng)))


class PauseModel(Strict):
    """How often a pause comes after a turn, and how long it is, in seconds."""

    share: Annotated[float, Field(ge=0, le=1)]
    pause_s: Spread


class SubAgentModel(Strict):
    """How often a program starts sub-agents once, and what they do."""

    share: Annotated[float, Field(ge=0, le=1)]
    count: Spread
    prompt_tokens: Spread
    turns: Spread


class KindModel(Strict):
    """One kind of program.

    :param prompt_tokens: first prompt, with the history that the program comes with.
    :param turn_tokens: new prompt tokens a turn.
    :param think: pauses of the user, which are no part of the program's latency.
    :param returns: how often the user comes back to the finished program, once.
    """

    share: Annotated[float, Field(ge=0)]
    prompt_tokens: Spread
    turns: Spread
    turn_tokens: Spread
    output_tokens: Spread
    tools: dict[str, PauseModel] = {}
    think: PauseModel | None = None
    returns: PauseModel | None = None
    sub_agents: SubAgentModel | None = None


class Workload(Strict):
    """One user's workload.

    :param regions: share of the programs a region; one data centre each.
    :param call_deadline_s: how long a caller waits for one call; then it gives the program up.
    :param capacity_per_s: found by a whole run; ``--quick`` uses it, its windows are too short
        to find one.
    :param window_s: programs arrive, and are counted, for so long.
    """

    user: str
    regions: dict[str, float]
    branches_per_region: Annotated[int, Field(ge=1)]
    engines_per_region: Annotated[int, Field(ge=1, le=16)]
    call_deadline_s: Annotated[float, Field(gt=0)]
    window_s: Annotated[float, Field(gt=0)]
    kinds: dict[str, KindModel]
    capacity_per_s: float = 0.0
    engine: EngineModelSettings | None = None

    def branches(self) -> list[tuple[str, str]]:
        """Return ``(branch, home region)`` of all branches."""
        return [
            (f"{region}-{number}", region)
            for region in self.regions
            for number in range(self.branches_per_region)
        ]

    def branch_shares(self) -> list[float]:
        """Return each branch's share of the programs."""
        total = sum(self.regions.values()) * self.branches_per_region
        return [self.regions[region] / total for _, region in self.branches()]


class Turn(NamedTuple):
    """One model call and the pauses after it."""

    new_tokens: int
    output_tokens: int
    tool: str = ""
    tool_s: float = 0.0
    think_s: float = 0.0
    sub_agents: tuple[Script, ...] = ()


class Script(NamedTuple):
    """Everything that one program will do. ``turns[0].new_tokens`` is its first prompt."""

    name: str
    kind: str
    branch: str
    home_region: str
    turns: tuple[Turn, ...]


class Arrival(NamedTuple):
    """A program and when it comes."""

    at_s: float
    script: Script


def load_workload(path: Path) -> Workload:
    """Read a workload file, with the default engine unless it names its own.

    :raises ValueError: if the file is not valid.
    """
    workload = Workload.model_validate_json(path.read_text())
    if workload.engine is not None:
        return workload
    engine = EngineModelSettings.model_validate_json((WORKLOADS / "engine.json").read_text())
    return workload.model_copy(update={"engine": engine})


def draw_arrivals(
    workload: Workload, rate_per_s: float, *, seed: int, flood: float = 1.0
) -> list[Arrival]:
    """Return the programs of one window; ``flood`` multiplies the first branch's rate.

    Each branch draws from its own generator, so that a flood changes no other branch's programs.
    """
    arrivals: list[Arrival] = []
    shares = workload.branch_shares()
    for number, (branch, region) in enumerate(workload.branches()):
        rate = rate_per_s * shares[number] * (flood if number == 0 else 1.0)
        rng = random.Random(f"{seed}/{branch}")
        arrivals += _branch_arrivals(workload, branch, region, rate, rng)
    return sorted(arrivals)


def _branch_arrivals(
    workload: Workload, branch: str, region: str, rate: float, rng: random.Random
) -> list[Arrival]:
    arrivals: list[Arrival] = []
    gaps = random.Random(rng.random())
    at_s = gaps.expovariate(rate)
    while at_s < workload.window_s:
        name = f"{branch}-{len(arrivals)}"
        arrivals.append(Arrival(at_s, _draw_program(workload, name, branch, region, rng)))
        at_s += gaps.expovariate(rate)
    return arrivals


def _draw_program(
    workload: Workload, name: str, branch: str, region: str, rng: random.Random
) -> Script:
    kinds = list(workload.kinds)
    weights = [workload.kinds[kind].share for kind in kinds]
    kind = rng.choices(kinds, weights)[0]
    model = workload.kinds[kind]
    turns = _draw_turns(model, model.turns.draw_count(rng), rng)
    if model.sub_agents is not None and rng.random() < model.sub_agents.share:
        place = rng.randrange(len(turns))
        agents = _draw_sub_agents(model, model.sub_agents, name, kind, branch, region, rng)
        turns[place] = turns[place]._replace(sub_agents=agents)
    if model.returns is not None and rng.random() < model.returns.share:
        away_s = model.returns.pause_s.draw(rng)
        turns[-1] = turns[-1]._replace(think_s=away_s, tool="return")
        turns += _draw_turns(model, model.turns.draw_count(rng), rng)
    first = turns[0]
    turns[0] = first._replace(new_tokens=model.prompt_tokens.draw_count(rng) + first.new_tokens)
    return Script(name, kind, branch, region, tuple(turns))


def _draw_turns(model: KindModel, count: int, rng: random.Random) -> list[Turn]:
    turns = []
    for number in range(count):
        last = number == count - 1
        tool, tool_s = _draw_tool(model, rng)
        think_s = _draw_pause(model.think, rng)
        turns.append(
            Turn(
                new_tokens=model.turn_tokens.draw_count(rng),
                output_tokens=model.output_tokens.draw_count(rng),
                tool="" if last else tool,
                tool_s=0.0 if last else tool_s,
                think_s=0.0 if last else think_s,
            )
        )
    return turns


def _draw_tool(model: KindModel, rng: random.Random) -> tuple[str, float]:
    drawn = rng.random()
    for name, tool in model.tools.items():
        drawn -= tool.share
        if drawn < 0:
            return name, tool.pause_s.draw(rng)
    return "", 0.0


def _draw_pause(model: PauseModel | None, rng: random.Random) -> float:
    if model is None or rng.random() >= model.share:
        return 0.0
    return model.pause_s.draw(rng)


def _draw_sub_agents(
    model: KindModel,
    agents: SubAgentModel,
    parent: str,
    kind: str,
    branch: str,
    region: str,
    rng: random.Random,
) -> tuple[Script, ...]:
    scripts = []
    for number in range(agents.count.draw_count(rng)):
        turns = _draw_turns(model, agents.turns.draw_count(rng), rng)
        turns = [turn._replace(think_s=0.0) for turn in turns]
        prompt = agents.prompt_tokens.draw_count(rng)
        turns[0] = turns[0]._replace(new_tokens=prompt + turns[0].new_tokens)
        name = f"{parent}.{number}"
        scripts.append(Script(name, f"{kind}/sub", branch, region, tuple(turns)))
    return tuple(scripts)


def alone_s(script: Script, engine: EngineModelSettings) -> float:
    """Return the latency of a program with every engine idle and its whole prefix cached.

    No schedule can do better, so that this is also the lower bound beside a latency.
    """
    total_s = 0.0
    context = 0
    for turn in script.turns:
        context += turn.new_tokens
        total_s += _prefill_s(turn.new_tokens, context, engine)
        total_s += _decode_s(turn.output_tokens, context, engine)
        context += turn.output_tokens
        total_s += max((alone_s(agent, engine) for agent in turn.sub_agents), default=0.0)
        total_s += turn.tool_s
    return total_s


def _prefill_s(tokens: int, context: int, engine: EngineModelSettings) -> float:
    steps = -(-tokens // engine.step_tokens)
    return (steps * engine.step_base_ms + tokens * engine.prefill_token_ms) / 1000.0


def _decode_s(tokens: int, context: int, engine: EngineModelSettings) -> float:
    step_ms = engine.step_base_ms + engine.step_sequence_ms
    step_ms += engine.step_context_token_ms * (context + tokens / 2)
    return max(0, tokens - 1) * step_ms / 1000.0
