"""Random programs under random faults: the ledgers agree with what callers saw, and repeat."""

from __future__ import annotations

import random
import unittest
from typing import Any

import anyio
from result import Ok

from bramleylead.backends import BackendErrorKind
from bramleylead.backends import Message
from bramleylead.standins import EngineModelSettings
from bramleylead.standins import ToolModel
from testing.standins._trial import ENGINE
from testing.standins._trial import NODE
from testing.standins._trial import OTHER_NODE
from testing.standins._trial import Trial
from testing.standins._trial import ask
from testing.standins._trial import collect
from testing.standins._trial import issue
from testing.standins._trial import run_trial

PROGRAMS = 20
TURNS = 5
FAULTS = 40
ATTEMPTS = 60
SETTINGS = EngineModelSettings(kv_tokens=20_000, max_batch=8, release_loss=0.2)
TOOL = ToolModel(hang_rate=0.05, lose_reply_rate=0.1, refuse_rate=0.1, fail_rate=0.05)


class _Seen:
    """What the callers saw."""

    def __init__(self) -> None:
        self.whole = 0
        self.tokens = 0
        self.tool_ok: set[str] = set()
        self.tool_not_run: set[str] = set()
        self.kinds: dict[str, int] = {}

    def note(self, kind: BackendErrorKind) -> None:
        self.kinds[kind.value] = self.kinds.get(kind.value, 0) + 1


async def _strike(trial: Trial, rng: random.Random) -> None:
    """Bring one fault after another, each healed after a while."""
    host = rng.choice((NODE, OTHER_NODE))
    fault = rng.randrange(6)
    if fault == 0:
        trial.engine.crash()
    elif fault == 1:
        trial.engine.hang()
    elif fault == 2:
        trial.engine.slow(5.0)
    elif fault == 3:
        trial.network.freeze(host)
    elif fault == 4:
        trial.network.cut(host, "10.0.1.1")
    else:
        trial.endpoints.silence(host, ENGINE)
    await anyio.sleep(rng.random() * 8)
    trial.engine.slow(1.0)
    if trial.engine.crashed:
        trial.engine.restart()
    elif trial.engine.hung:
        trial.engine.unhang()
    trial.network.thaw(host)
    trial.network.heal(host, "10.0.1.1")
    await anyio.sleep(rng.random() * 3)


async def _run_program(trial: Trial, index: int, seen: _Seen, rng: random.Random) -> None:
    host = rng.choice((NODE, OTHER_NODE))
    engine, service = trial.engine_from(host), trial.service_from(host)
    messages: tuple[Message, ...] = ()
    for turn in range(1, TURNS + 1):
        content = f"[tokens={rng.randint(20, 800)}] {index} [output={rng.randint(1, 120)}]"
        messages += (Message("user", content),)
        for attempt in range(1, ATTEMPTS + 1):
            call = ask(f"p{index}/{turn}/{attempt}", max_tokens=200)._replace(messages=messages)
            text, chunks, error = await collect(engine, call)
            if error is None:
                break
            seen.note(error.kind)
            await anyio.sleep(0.5 + rng.random())
        assert error is None, error
        seen.whole += 1
        seen.tokens += sum(chunk.tokens for chunk in chunks)
        messages += (Message("assistant", text),)
        name = f"p{index}/{100 + turn}"
        answer = await service.invoke(issue(name), timeout_s=5)
        if isinstance(answer, Ok):
            seen.tool_ok.add(name)
        elif answer.err_value.kind in (BackendErrorKind.NOT_SENT, BackendErrorKind.REFUSED):
            seen.tool_not_run.add(name)
    await engine.release(f"p{index}")


def run_random(seed: int) -> Any:
    async def body(trial: Trial) -> Any:
        seen = _Seen()
        rng = random.Random(seed)

        async def strike_all() -> None:
            for _ in range(FAULTS):
                await _strike(trial, rng)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(strike_all)
            for index in range(PROGRAMS):
                tasks.start_soon(
                    _run_program, trial, index, seen, random.Random(seed * 100 + index)
                )
        await anyio.sleep(60)
        load = trial.engine.load_now()
        return seen, trial.endpoints.engine_ledger, trial.service.ledger, load

    return run_trial(body, seed=seed, settings=SETTINGS, tool=TOOL)


class RandomTrialTest(unittest.TestCase):
    def test_the_ledgers_agree_with_the_callers(self) -> None:
        for seed in range(4):
            with self.subTest(seed):
                seen, engines, services, load = run_random(seed)
                self.assertEqual(seen.whole, PROGRAMS * TURNS)
                self.assertGreaterEqual(engines.finished, seen.whole)
                self.assertGreaterEqual(engines.output_tokens, seen.tokens)
                self.assertEqual((engines.diverged, engines.out_of_order), (0, 0))
                self.assertEqual((load.running, load.waiting), (0, 0))
                self.assertLessEqual(load.kv_used_tokens, SETTINGS.kv_tokens)
                self.assertEqual(seen.tool_ok - set(services.effects), set())
                self.assertEqual(seen.tool_not_run & set(services.effects), set())
                self.assertEqual(services.duplicate_effects, 0)
                self.assertGreater(sum(seen.kinds.values()), 0)

    def test_the_same_seed_gives_the_same_run(self) -> None:
        first, second = run_random(7), run_random(7)
        self.assertEqual(vars(first[0]), vars(second[0]))
        self.assertEqual(first[1:], second[1:])


if __name__ == "__main__":
    unittest.main()
