"""Random programs of both users, made by functions that a decorator registers by program kind."""

from __future__ import annotations

import random
from collections.abc import Callable

from bramleylead.trials._deployments import Deployment
from bramleylead.trials._program_plan import Plan
from bramleylead.trials._program_plan import Step
from bramleylead.trials._program_plan import model_step
from bramleylead.trials._program_plan import tool_step

StepMaker = Callable[[random.Random], tuple[Step, ...]]
SHORT_PAUSE_S = 2.0
LONG_PAUSE_S = 20.0
COACHING_RETURN_S = 240.0

_makers: dict[str, StepMaker] = {}


def step_maker(kind: str) -> Callable[[StepMaker], StepMaker]:
    """Register the function that plans programs of one kind."""

    def register(maker: StepMaker) -> StepMaker:
        _makers[kind] = maker
        return maker

    return register


def random_plan(deployment: Deployment, rng: random.Random, serial: int) -> Plan:
    """Plan a random program of a random branch."""
    branch = rng.choice(sorted(deployment.ticket.branches))
    kind = rng.choice(sorted(deployment.ticket.program_kinds))
    program = f"{kind}-{serial}-{rng.getrandbits(24):06x}"
    return Plan(program, branch, kind, _makers[kind](rng))


def with_pauses(plan: Plan, factor: float) -> Plan:
    """Return a plan whose pauses are longer or shorter by a factor."""
    steps = (step._replace(pause_s=factor * step.pause_s) for step in plan.steps)
    return plan._replace(steps=tuple(steps))


@step_maker("assessment")
def _assessment(rng: random.Random) -> tuple[Step, ...]:
    steps = [tool_step("look_up_record", "candidate", 0.0)]
    for number in range(rng.randint(2, 8)):
        text = _text(rng, f"answer {number}", rng.randint(20, 300))
        steps.append(model_step(text, rng.expovariate(1 / SHORT_PAUSE_S)))
    steps.append(tool_step("charge_fee", "assessment", 0.2))
    steps.append(tool_step("issue_certificate", "bucking", 0.2))
    return tuple(steps)


@step_maker("tutoring")
def _tutoring(rng: random.Random) -> tuple[Step, ...]:
    steps = []
    for number in range(rng.randint(3, 15)):
        if rng.random() < 0.2:
            steps.append(tool_step("look_up_record", f"lesson {number}", 0.1))
        text = _text(rng, f"question {number}", rng.randint(10, 200))
        steps.append(model_step(text, rng.expovariate(1 / LONG_PAUSE_S)))
    return tuple(steps)


@step_maker("booking")
def _booking(rng: random.Random) -> tuple[Step, ...]:
    steps = [model_step(_text(rng, "a free pony", 30), 0.0), tool_step("find_slots", "pony", 0.1)]
    for number in range(rng.randint(1, 4)):
        text = _text(rng, f"choice {number}", rng.randint(10, 60))
        steps.append(model_step(text, rng.expovariate(1 / SHORT_PAUSE_S)))
    steps.append(tool_step("charge_deposit", "lesson", 0.1))
    steps.append(tool_step("place_booking", "lesson", 0.1))
    if rng.random() < 0.2:
        steps.append(tool_step("order_farrier", "shoes", 0.1))
    return tuple(steps)


@step_maker("coaching")
def _coaching(rng: random.Random) -> tuple[Step, ...]:
    first = _text(rng, "my horse, my seat and last week's lesson", rng.randint(2_000, 20_000))
    steps = [model_step(first, 0.0)]
    for number in range(rng.randint(3, 12)):
        away = rng.random() < 0.1
        mean_s = COACHING_RETURN_S if away else LONG_PAUSE_S
        text = _text(rng, f"turn {number}", rng.randint(20, 400))
        steps.append(model_step(text, rng.expovariate(1 / mean_s)))
    return tuple(steps)


def _text(rng: random.Random, words: str, tokens: int) -> str:
    """Return a short text that counts as many tokens, with a mark that no other text has."""
    return f"{words} {rng.getrandbits(32):08x} [tokens={tokens}]"
