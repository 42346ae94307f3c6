"""One run of the policy bench: the product's dispatchers and choosers over fake engines."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any
from typing import final

import anyio
import xxhash
from aioprometheus import Registry
from anyio.abc import TaskGroup
from result import Err

from bramleylead.backends import GenerateCall
from bramleylead.backends import Message
from bramleylead.bench._cache_bound import PrefixUse
from bramleylead.bench._engine_reports import EngineBackends
from bramleylead.bench._policy_program import FIRST_EXPECTED_OUTPUT
from bramleylead.bench._policy_program import TrialOwner
from bramleylead.bench._policy_program import TrialProgram
from bramleylead.bench._policy_result import CallOutcome
from bramleylead.bench._policy_result import ProgramOutcome
from bramleylead.bench._policy_result import TrialResult
from bramleylead.bench._workload import Arrival
from bramleylead.bench._workload import Script
from bramleylead.bench._workload import Turn
from bramleylead.bench._workload import Workload
from bramleylead.bench._workload import alone_s
from bramleylead.errors import Failure
from bramleylead.node_settings import SchedulingSettings
from bramleylead.promises import Promises
from bramleylead.scheduling import ChooserParameters
from bramleylead.scheduling import Dispatcher
from bramleylead.scheduling import PoolChooser
from bramleylead.scheduling import PoolKey
from bramleylead.scheduling import SlotFinished
from bramleylead.scheduling import SlotRequest
from bramleylead.scheduling import pools_of
from bramleylead.scheduling._default_policy import DefaultParameters
from bramleylead.scheduling._policy import policy_parameters
from bramleylead.scheduling._reports import ReportReader
from bramleylead.standins import FakeEngine
from bramleylead.standins import run_virtual
from bramleylead.standins._network import BETWEEN_REGIONS_S
from bramleylead.standins._network import SAME_DATA_CENTRE_S
from bramleylead.version import Endpoint
from bramleylead.version import EndpointKind

MODEL = "assistant"
OWNERS = 6
MAX_TOKENS = 512
ATTEMPTS = 3
TEXT_BYTES_PER_TOKEN = 5


class _GaveUp(Exception):  # noqa: N818 - the caller's decision, not an error of the product
    """The caller gives the program up."""


@final
class Trial:
    """One policy under one load."""

    def __init__(
        self,
        workload: Workload,
        settings: SchedulingSettings,
        arrivals: Sequence[Arrival],
        *,
        seed: int,
    ) -> None:
        assert workload.engine is not None
        self._workload = workload
        self._arrivals = arrivals
        self.result = TrialResult()
        self._promises = Promises(Registry())
        self._settings = settings
        self._endpoints = _endpoints(workload)
        self._regions = {name: end.region for name, end in self._endpoints.items()}
        self._engines = {
            name: FakeEngine(
                name,
                workload.engine,
                rng=random.Random(f"{seed}/{name}"),
                ledger=self.result.ledger,
            )
            for name in self._endpoints
        }
        self._pools = pools_of(self._endpoints)
        self._owners = [self._owner(number, seed) for number in range(OWNERS)]
        self.dispatchers: dict[PoolKey, Dispatcher] = {}

    async def run(self) -> TrialResult:
        """Run all programs to their ends."""
        async with anyio.create_task_group() as background:
            self._start(background)
            async with anyio.create_task_group() as programs:
                for at_s, script in self._arrivals:
                    await anyio.sleep(at_s - anyio.current_time())
                    programs.start_soon(self._run_root, script)
            self.result.ended_s = anyio.current_time()
            background.cancel_scope.cancel()
        self.result.violations = len(self._promises.violations)
        return self.result

    def _start(self, background: TaskGroup) -> None:
        for engine in self._engines.values():
            background.start_soon(engine.run)
        for key, endpoints in self._pools.items():
            dispatcher = Dispatcher(str(key), self._settings, promises=self._promises)
            dispatcher.set_endpoints(endpoints)
            self.dispatchers[key] = dispatcher
            backends: Any = EngineBackends(self._engines)
            reader = ReportReader(dispatcher, backends)
            reader.set_endpoints(endpoints)
            background.start_soon(reader.run)

    def _owner(self, number: int, seed: int) -> TrialOwner:
        regions = list(self._workload.regions)
        parameters = policy_parameters(self._settings)
        known = isinstance(parameters, DefaultParameters)
        pools = parameters.pools if known else ChooserParameters()
        rng = random.Random(f"{seed}/owner/{number}")
        chooser = PoolChooser(self._settings.policy, pools, rng=rng)
        chooser.set_pools(self._pools)
        return TrialOwner(f"n{number}", regions[number % len(regions)], chooser)

    async def _run_root(self, script: Script) -> None:
        now = anyio.current_time()
        assert self._workload.engine is not None
        outcome = ProgramOutcome(
            script.kind, script.branch, now, alone_s(script, self._workload.engine)
        )
        self.result.programs.append(outcome)
        try:
            await self._run_program(script, None)
            outcome.ok = True
        except* _GaveUp as errors:
            outcome.failure = str(errors.exceptions[0])
        outcome.ended_s = anyio.current_time()
        thought_s = sum(turn.think_s for turn in script.turns)
        outcome.latency_s = outcome.ended_s - now - thought_s

    async def _run_program(self, script: Script, root: TrialProgram | None) -> None:
        hashed = xxhash.xxh64_intdigest(script.name.encode())
        program = TrialProgram(script, self._owners[hashed % OWNERS], root)
        try:
            for turn in script.turns:
                await self._run_turn(program, turn)
        finally:
            self._release(program)

    async def _run_turn(self, program: TrialProgram, turn: Turn) -> None:
        await self._call(program, turn)
        if turn.sub_agents:
            async with anyio.create_task_group() as agents:
                for script in turn.sub_agents:
                    agents.start_soon(self._run_program, script, program.top)
        if turn.tool_s + turn.think_s > 0:
            await anyio.sleep(turn.tool_s + turn.think_s)

    async def _call(self, program: TrialProgram, turn: Turn) -> None:
        program.number += 1
        name = f"{program.script.name}/{program.number}"
        content = f"[tokens={turn.new_tokens}][output={turn.output_tokens}]{name}"
        program.messages = (*program.messages, Message("user", content))
        program.prompt_tokens += turn.new_tokens
        started_s = anyio.current_time()
        for attempt in range(ATTEMPTS):
            failure = await self._attempt(program, f"{name}/{attempt}", started_s)
            if failure is None:
                program.owner.retries.succeeded()
                return
            self.result.refused += 1
            if attempt + 1 == ATTEMPTS or not program.owner.retries.allow():
                raise _GaveUp(failure.detail)
            await anyio.sleep(max(0.1, failure.retry_after_s))

    async def _attempt(self, program: TrialProgram, name: str, started_s: float) -> Failure | None:
        owner = program.owner
        request = self._request(program, name, started_s)
        if request.deadline_s <= 0:
            raise _GaveUp("deadline")
        choice = owner.chooser.choose(request, anyio.current_time())
        assert choice is not None, "every pool serves the model"
        way_s = _delay_s(owner.region, choice.key.region)
        await anyio.sleep(way_s)
        dispatcher = self.dispatchers[choice.key]
        async with dispatcher.slot(request) as result:
            owner.chooser.update_load(dispatcher.pool_load(), anyio.current_time())
            if isinstance(result, Err):
                return result.err_value
            slot = result.ok_value
            left_s = started_s + self._workload.call_deadline_s - anyio.current_time()
            report = None
            with anyio.move_on_after(left_s):
                report = await self._generate(program, name, slot.granted.endpoint, started_s)
            if report is None:
                raise _GaveUp("deadline")
            slot.finish(report)
        return None

    def _request(self, program: TrialProgram, name: str, started_s: float) -> SlotRequest:
        script, owner = program.script, program.owner
        now = anyio.current_time()
        return SlotRequest(
            call=name,
            program=script.name,
            branch=script.branch,
            serves=MODEL,
            region=owner.region,
            data_centre=owner.region,
            home_region=script.home_region,
            weight=1.0,
            prompt_tokens=program.prompt_tokens,
            expected_output_tokens=int(
                owner.expected_output.get(script.kind, FIRST_EXPECTED_OUTPUT)
            ),
            attained=program.top.attained,
            cached=dict(program.caches),
            waited_s=now - started_s,
            deadline_s=started_s + self._workload.call_deadline_s - now,
        )

    async def _generate(
        self, program: TrialProgram, name: str, endpoint: str, called_s: float
    ) -> SlotFinished | None:
        engine = self._engines[endpoint]
        way_s = _delay_s(program.owner.region, self._regions[endpoint])
        sent_s = anyio.current_time()
        await anyio.sleep(2 * way_s)
        call = GenerateCall(name, program.script.name, MODEL, program.messages, MAX_TOKENS, 1)
        opened = engine.open(call)
        if isinstance(opened, Err):
            raise _GaveUp(opened.err_value.detail)
        stream = opened.ok_value
        try:
            while (chunk := stream.take(0, first=True)) is None:
                await stream.wait_changed()
            first_at_s = anyio.current_time()
            while not chunk.finish:
                await stream.wait_changed()
                whole = stream.take(0, first=True)
                chunk = chunk if whole is None else whole
        finally:
            engine.close(stream)
        self._answered(program, endpoint, chunk.text, chunk.tokens, chunk.cached_tokens)
        now = anyio.current_time()
        gap_s = (now - first_at_s) / max(1, chunk.tokens - 1)
        self.result.calls.append(CallOutcome(now, first_at_s - called_s, gap_s))
        return SlotFinished(
            endpoint=endpoint,
            ok=True,
            first_token_s=first_at_s - sent_s,
            duration_s=now - sent_s,
            prompt_tokens=chunk.prompt_tokens,
            cached_tokens=chunk.cached_tokens,
            output_tokens=chunk.tokens,
        )

    def _answered(
        self, program: TrialProgram, endpoint: str, text: str, tokens: int, cached: int
    ) -> None:
        prompt = program.prompt_tokens
        if self._regions[endpoint] != program.owner.region:
            self.result.cross_region_bytes += (prompt + tokens) * TEXT_BYTES_PER_TOKEN
        program.messages = (*program.messages, Message("assistant", text))
        program.prompt_tokens += tokens
        program.caches[endpoint] = program.prompt_tokens
        name, now = program.script.name, anyio.current_time()
        use = PrefixUse(now, name, program.computed_tokens, program.prompt_tokens)
        self.result.uses.append(use)
        program.computed_tokens = program.prompt_tokens
        program.top.attained += prompt - cached + tokens
        program.owner.learn_output(program.script.kind, tokens)

    def _release(self, program: TrialProgram) -> None:
        for endpoint in program.caches:
            self._engines[endpoint].release(program.script.name)


def _endpoints(workload: Workload) -> dict[str, Endpoint]:
    assert workload.engine is not None
    found = {}
    for region in workload.regions:
        for number in range(workload.engines_per_region):
            found[f"{region}-{number}"] = Endpoint(
                kind=EndpointKind.ENGINE,
                address=f"10.1.{len(found)}.1:8000",
                serves=MODEL,
                region=region,
                data_centre=region,
                max_calls=workload.engine.max_batch,
            )
    return found


def _delay_s(first: str, second: str) -> float:
    if first != second:
        return BETWEEN_REGIONS_S
    return SAME_DATA_CENTRE_S


def run_trial(
    workload: Workload,
    settings: SchedulingSettings,
    arrivals: Sequence[Arrival],
    *,
    seed: int,
) -> TrialResult:
    """Run one trial in virtual time."""
    trial = Trial(workload, settings, arrivals, seed=seed)
    return run_virtual(trial.run, seed=seed)
