"""Continuous batching, computed from event to event instead of from token to token.

All running sequences gain one token a step, so sequences only differ in the step at which
something happens to them (next chunk, end). Between two such steps the time of each step grows
linearly with the context, which makes the end of any step a closed formula.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol
from typing import final

from bramleylead.standins._engine_settings import EngineModelSettings

MS_PER_S = 1000.0


@dataclass(slots=True, eq=False)
class Sequence:
    """One call in the engine.

    :param prefill_left: prompt tokens still to compute.
    :param last_step: value of the batch's step counter when the last token is out.
    """

    call: str
    prompt_tokens: int
    output_tokens: int
    reserve_tokens: int
    arrived_s: float
    prefill_left: int = 0
    first_step: int = -1
    last_step: int = -1
    ended: bool = False
    generated: int = 0
    first_token_s: float = 0.0
    ended_s: float = 0.0


class BatchOwner(Protocol):
    """What the batch tells the engine that it belongs to."""

    def may_admit(self, sequence: Sequence, reserved_tokens: int) -> bool:
        """Whether memory allows one more sequence."""
        ...

    def admitted(self, sequence: Sequence, at_s: float) -> None:
        """Set ``prefill_left`` of a sequence that begins now."""
        ...

    def progressed(self, sequence: Sequence, at_s: float) -> None:
        """Take in that a chunk of tokens is out; ``ended`` is set with the last."""
        ...


@dataclass(slots=True)
class _Phase:
    """A run of equal steps: each computes ``prefill`` prompt tokens beside the running ones."""

    start_s: float
    steps: int
    first_step_s: float
    growth_s: float
    packed: list[tuple[Sequence, int]] = field(default_factory=list)

    def duration_s(self, steps: int) -> float:
        return steps * self.first_step_s + self.growth_s * steps * (steps - 1) / 2

    @property
    def end_s(self) -> float:
        return self.start_s + self.duration_s(self.steps)

    def steps_begun(self, now: float) -> int:
        """Return how many steps have begun by ``now``, at least one."""
        passed = now - self.start_s
        if self.growth_s <= 0:
            begun = passed / self.first_step_s
        else:
            half = self.first_step_s - self.growth_s / 2
            root = math.sqrt(half * half + 2 * self.growth_s * max(0.0, passed))
            begun = (root - half) / self.growth_s
        return max(1, math.ceil(begun - 1e-9))


@final
class Batch:
    """The sequences of one engine: waiting, in prefill, and running."""

    def __init__(self, settings: EngineModelSettings, owner: BatchOwner) -> None:
        self._settings = settings
        self._owner = owner
        self._waiting: deque[Sequence] = deque()
        self._prefill: deque[Sequence] = deque()
        self._events: list[tuple[int, int, Sequence]] = []
        self._serial = 0
        self._step = 0
        self._running = 0
        self._context = 0
        self._phase: _Phase | None = None
        self._stopped = False
        self.reserved_tokens = 0
        self.slow_factor = 1.0

    @property
    def running(self) -> int:
        """Sequences in the batch."""
        return self._running + len(self._prefill)

    @property
    def waiting(self) -> int:
        """Sequences not yet admitted."""
        return len(self._waiting)

    @property
    def next_event_s(self) -> float:
        """When :meth:`advance` has something to do; infinite when idle."""
        return math.inf if self._phase is None else self._phase.end_s

    def generated_by(self, sequence: Sequence, now: float) -> int:
        """Return the tokens that a sequence has out at a step's end."""
        if sequence.first_step < 0:
            return 0
        return min(sequence.output_tokens, self._step - sequence.first_step + 1)

    def add(self, sequence: Sequence, now: float) -> bool:
        """Queue a sequence; returns whether :attr:`next_event_s` changed."""
        self.advance(now)
        self._waiting.append(sequence)
        if self._phase is None:
            self._begin_phase(now)
            return True
        if len(self._waiting) > 1 or not self._may_admit(sequence):
            return False
        return self._shorten(now)

    def remove(self, sequence: Sequence, now: float) -> None:
        """Take a sequence out, wherever it is."""
        if sequence.ended:
            return
        self.advance(now)
        if sequence.ended:
            return
        sequence.ended = True
        if sequence in self._waiting:
            self._waiting.remove(sequence)
            return
        if sequence in self._prefill:
            self._prefill.remove(sequence)
            self.reserved_tokens -= sequence.reserve_tokens
        else:
            self._leave(sequence)
        self._shorten(now)

    def stop(self, now: float) -> None:
        """Do no further steps, as a hung engine does; :meth:`resume` goes on."""
        self.advance(now)
        self._complete_begun(now)
        self._phase = None
        self._stopped = True

    def resume(self, now: float) -> None:
        """Go on after :meth:`stop`."""
        self._stopped = False
        if self._phase is None:
            self._begin_phase(now)

    def clear(self) -> list[Sequence]:
        """Drop all sequences, as a crash does, and return them."""
        dropped = [*self._waiting, *self._prefill]
        dropped += [sequence for _, _, sequence in self._events if not sequence.ended]
        for sequence in dropped:
            sequence.ended = True
        self._waiting.clear()
        self._prefill.clear()
        self._events.clear()
        self._running = self._context = self.reserved_tokens = 0
        self._phase = None
        return dropped

    def advance(self, now: float) -> None:
        """Do everything that has happened by ``now``."""
        while self._phase is not None and self._phase.end_s <= now:
            end_s = self._phase.end_s
            self._complete(self._phase)
            self._begin_phase(end_s)

    def _begin_phase(self, now: float) -> None:
        self._phase = None
        if self._stopped:
            return
        self._admit(now)
        if self._running == 0 and not self._prefill:
            return
        self._drop_stale_events()
        room = max(1, self._settings.step_tokens - self._running)
        if not self._prefill:
            self._phase = self._plan(now, self._steps_to_event(), [])
        elif self._prefill[0].prefill_left > room:
            steps = min((self._prefill[0].prefill_left - 1) // room, self._steps_to_event())
            self._phase = self._plan(now, steps, [(self._prefill[0], room)])
        else:
            self._phase = self._plan(now, 1, self._pack(room))

    def _plan(self, now: float, steps: int, packed: list[tuple[Sequence, int]]) -> _Phase:
        settings = self._settings
        step_ms = settings.step_base_ms + settings.step_sequence_ms * self._running
        step_ms += settings.step_context_token_ms * self._context
        growth_ms = settings.step_context_token_ms * self._running
        for sequence, tokens in packed:
            before = sequence.prompt_tokens - sequence.prefill_left
            step_ms += settings.prefill_token_ms * tokens
            step_ms += settings.prefill_context_ms * tokens * before
            growth_ms += settings.prefill_context_ms * tokens * tokens
        scale = self.slow_factor / MS_PER_S
        return _Phase(now, max(1, steps), step_ms * scale, growth_ms * scale, packed)

    def _pack(self, room: int) -> list[tuple[Sequence, int]]:
        packed = []
        for sequence in self._prefill:
            if room <= 0:
                break
            tokens = min(room, sequence.prefill_left)
            packed.append((sequence, tokens))
            room -= tokens
        return packed

    def _steps_to_event(self) -> int:
        if not self._events:
            return 1_000_000_000
        return max(1, self._events[0][0] - self._step)

    def _drop_stale_events(self) -> None:
        while self._events and self._events[0][2].ended:
            heapq.heappop(self._events)

    def _complete(self, phase: _Phase) -> None:
        end_s = phase.end_s
        self._step += phase.steps
        self._context += phase.steps * self._running
        for sequence, tokens in phase.packed:
            if sequence.ended:
                continue
            done = min(sequence.prefill_left, tokens * phase.steps)
            sequence.prefill_left -= done
            if sequence.prefill_left == 0:
                self._prefill.remove(sequence)
                self._start_running(sequence, end_s)
        self._tell_events(end_s)

    def _start_running(self, sequence: Sequence, now: float) -> None:
        sequence.first_step = self._step
        sequence.last_step = self._step + sequence.output_tokens - 1
        sequence.first_token_s = now
        self._running += 1
        self._context += sequence.prompt_tokens + 1
        self._push(sequence, self._step)

    def _push(self, sequence: Sequence, step: int) -> None:
        self._serial += 1
        heapq.heappush(self._events, (step, self._serial, sequence))

    def _tell_events(self, now: float) -> None:
        while self._events and self._events[0][0] <= self._step:
            sequence = heapq.heappop(self._events)[2]
            if sequence.ended:
                continue
            sequence.generated = self._step - sequence.first_step + 1
            if self._step >= sequence.last_step:
                sequence.ended = True
                sequence.ended_s = now
                self._leave(sequence)
            else:
                next_step = self._step + self._settings.chunk_tokens
                self._push(sequence, min(sequence.last_step, next_step))
            self._owner.progressed(sequence, now)

    def _leave(self, sequence: Sequence) -> None:
        self._running -= 1
        out = min(sequence.output_tokens, self._step - sequence.first_step + 1)
        self._context -= sequence.prompt_tokens + out
        self.reserved_tokens -= sequence.reserve_tokens

    def _may_admit(self, sequence: Sequence) -> bool:
        if self.running >= self._settings.max_batch:
            return False
        return self._owner.may_admit(sequence, self.reserved_tokens)

    def _admit(self, now: float) -> None:
        while self._waiting and self._may_admit(self._waiting[0]):
            sequence = self._waiting.popleft()
            self.reserved_tokens += sequence.reserve_tokens
            self._owner.admitted(sequence, now)
            sequence.prefill_left = max(1, sequence.prefill_left)
            self._prefill.append(sequence)

    def _shorten(self, now: float) -> bool:
        """End the phase with the step that is going on; returns whether that changed it."""
        phase = self._phase
        if phase is None:
            return False
        begun = phase.steps_begun(now)
        if begun >= phase.steps:
            return False
        phase.steps = begun
        return True

    def _complete_begun(self, now: float) -> None:
        """Count the steps done so far and plan the rest anew."""
        phase = self._phase
        if phase is None:
            return
        done = phase.steps_begun(now) - 1
        if done < 1:
            return
        phase.steps = done
        end_s = phase.end_s
        self._complete(phase)
        self._begin_phase(end_s)
