"""A fake model engine: continuous batching, a prefix cache, lagging reports, and its faults.

This is the engine itself; nodes reach it through an :class:`~._engine_view.EngineView`.
"""

from __future__ import annotations

import math
import random
from collections import deque
from typing import final

import anyio
from anyio.abc import TaskStatus
from result import Err
from result import Ok
from result import Result

from bramleylead.backends import BackendError
from bramleylead.backends import BackendErrorKind
from bramleylead.backends import CachePage
from bramleylead.backends import GenerateCall
from bramleylead.backends import LoadReport
from bramleylead.backends import Message
from bramleylead.backends import Order
from bramleylead.backends import OrderKind
from bramleylead.standins._answer import answer_to
from bramleylead.standins._answer import count_prompt
from bramleylead.standins._batch import Batch
from bramleylead.standins._batch import Sequence
from bramleylead.standins._engine_ledger import EngineLedger
from bramleylead.standins._engine_settings import EngineModelSettings
from bramleylead.standins._engine_stream import EngineStream
from bramleylead.standins._engine_stream import KvBlock
from bramleylead.standins._load_history import LoadHistory
from bramleylead.standins._prefix_cache import CachedPrefix
from bramleylead.standins._prefix_cache import PrefixCache
from bramleylead.standins._weights import FakeWeightStore


@final
class FakeEngine:
    """One engine of a trial. :meth:`run` must be running for its calls to go on."""

    def __init__(
        self,
        name: str,
        settings: EngineModelSettings,
        *,
        rng: random.Random,
        ledger: EngineLedger | None = None,
        weights: FakeWeightStore | None = None,
    ) -> None:
        self.name = name
        self.settings = settings
        self.ledger = EngineLedger() if ledger is None else ledger
        self.rng = rng
        self.weights = FakeWeightStore() if weights is None else weights
        self.cache = PrefixCache(
            event_delay_s=settings.event_delay_s, event_loss=settings.event_loss, rng=rng
        )
        self.models: dict[str, float] = dict.fromkeys(settings.models, 0.0)
        self.role = ""
        self.crashed = False
        self.hung = False
        self.leaving_since_s = math.inf
        self.highest_fence = 0
        self._batch = Batch(settings, self)
        self._streams: dict[str, EngineStream] = {}
        self._by_sequence: dict[Sequence, EngineStream] = {}
        self._expiries: deque[tuple[float, EngineStream]] = deque()
        self._awake = anyio.Event()
        self._loads = LoadHistory(
            kv_tokens=settings.kv_tokens,
            lag_s=settings.report_lag_s,
            interval_s=settings.report_interval_s,
        )
        self._wake = anyio.Event()

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Do the engine's steps until cancelled."""
        task_status.started()
        while True:
            now = anyio.current_time()
            self._batch.advance(now)
            self._expire(now)
            due_s = self._batch.next_event_s
            if self._expiries:
                due_s = min(due_s, self._expiries[0][0])
            with anyio.CancelScope(deadline=due_s):
                await self._wake.wait()

    def open(self, call: GenerateCall) -> Result[EngineStream, BackendError]:
        """Start a call, or attach to it if it is running or has just ended."""
        known = self._streams.get(call.call)
        if known is not None:
            known.readers += 1
            return Ok(known)
        refusal = self._refusal(call)
        if refusal:
            return Err(BackendError(BackendErrorKind.REFUSED, f"{self.name}: {refusal}"))
        now = anyio.current_time()
        self.ledger.arrived(call, after_leaving_s=now - self.leaving_since_s)
        stream = self._new_stream(call, now)
        if self._batch.add(stream.sequence, now):
            self._poke()
        self._note_load(now)
        return Ok(stream)

    def detach(self, stream: EngineStream) -> None:
        """Take in that a reader's connection broke; the call goes on for a while."""
        stream.readers -= 1
        if stream.readers <= 0:
            due_s = anyio.current_time() + self.settings.resume_window_s
            self._expiries.append((due_s, stream))
            self._poke()

    def close(self, stream: EngineStream) -> None:
        """Take in that a reader has the whole answer, or no longer wants it: cancel the call."""
        if self._streams.get(stream.call.call) is not stream:
            return
        del self._streams[stream.call.call]
        if not stream.sequence.ended:
            self._abort(stream, anyio.current_time())

    def cancel(self, call: str) -> bool:
        """Cancel a call by its id; returns whether it was here."""
        stream = self._streams.get(call)
        if stream is None:
            return False
        self.close(stream)
        return True

    def load(self) -> LoadReport:
        """Return the load as it was at the last report that has come out."""
        return self._loads.report(anyio.current_time())

    def load_now(self) -> LoadReport:
        """Return the true load, for judges."""
        running, waiting = self._batch.running, self._batch.waiting
        used = self._batch.reserved_tokens + self.cache.idle_tokens
        return LoadReport(running, waiting, used, self.settings.kv_tokens, 0.0)

    def release(self, program: str) -> int:
        """Free a program's cache."""
        self.ledger.releases += 1
        freed = self.cache.release(program, anyio.current_time())
        self._note_load(anyio.current_time())
        return freed

    def export_kv(self, program: str) -> Result[bytes, BackendError]:
        """Return a program's cache as a block."""
        held = self.cache.held(program)
        if held is None:
            detail = f"{self.name}: holds no cache of {program}"
            return Err(BackendError(BackendErrorKind.REFUSED, detail))
        size = held.tokens * self.settings.kv_token_bytes
        self.ledger.kv_exported_bytes += size
        return Ok(KvBlock(program, held.tokens, size, held.messages).pack())

    def import_kv(self, program: str, block: bytes) -> Result[int, BackendError]:
        """Take in a block as a program's cache."""
        try:
            parsed = KvBlock.parse(block)
        except ValueError as error:
            return Err(BackendError(BackendErrorKind.REFUSED, f"{self.name}: {error}"))
        if parsed.program != program:
            detail = f"{self.name}: the block is of {parsed.program}, not of {program}"
            return Err(BackendError(BackendErrorKind.REFUSED, detail))
        self._store(program, CachedPrefix(parsed.messages, parsed.tokens), anyio.current_time())
        held = self.cache.held(program)
        return Ok(0 if held is None else held.tokens)

    def cache_events(self, after: int) -> CachePage:
        """Return late events."""
        return self.cache.events_after(after, anyio.current_time())

    def order(self, order: Order) -> Result[float, BackendError]:
        """Take an order; returns the time at which it is carried out."""
        stale = order.fence < self.highest_fence
        if stale and self.settings.checks_fence:
            detail = f"{self.name}: fence {order.fence} is below {self.highest_fence}"
            return Err(BackendError(BackendErrorKind.STALE_FENCE, detail))
        now = anyio.current_time()
        done_s = now
        if order.kind is OrderKind.CHANGE_ROLE:
            self.role = order.name
        elif self.models.get(order.name) is None:
            begun = self.weights.begin(order.name, now)
            if isinstance(begun, Err):
                return begun
            done_s = begun.ok_value
            self.models[order.name] = done_s
        self.ledger.orders_run += 1
        self.ledger.stale_orders_run += int(stale)
        self.highest_fence = max(self.highest_fence, order.fence)
        return Ok(done_s)

    def leave(self) -> None:
        """Begin to leave: calls that still come are noted in the ledger."""
        self.leaving_since_s = anyio.current_time()

    def crash(self) -> None:
        """Lose everything; connections break, and new ones are refused until :meth:`restart`."""
        self.crashed = True
        self._batch.clear()
        self.cache.clear()
        for stream in self._streams.values():
            if stream.sequence.generated < stream.answer.tokens:
                self.ledger.aborted(stream.call, stream.sequence.generated)
            stream.lost = f"{self.name} crashed"
            stream.wake()
        self._streams.clear()
        self._by_sequence.clear()
        self._expiries.clear()
        self._note_load(anyio.current_time())
        self._poke()

    def restart(self) -> None:
        """Come back empty after a crash."""
        self.crashed = False
        self._wake_up()

    async def wait_awake(self) -> None:
        """Wait while the engine hangs."""
        while self.hung:
            await self._awake.wait()

    def hang(self) -> None:
        """Take connections but do and answer nothing until :meth:`unhang`."""
        self.hung = True
        self._batch.stop(anyio.current_time())
        self._poke()

    def unhang(self) -> None:
        """Go on after :meth:`hang`."""
        self._wake_up()
        self._poke()

    def slow(self, factor: float) -> None:
        """Make each step take ``factor`` times as long; 1 is healthy."""
        self._batch.slow_factor = factor

    def may_admit(self, sequence: Sequence, reserved_tokens: int) -> bool:
        """Whether memory allows one more sequence; held prefixes give way."""
        return reserved_tokens + sequence.reserve_tokens <= self.settings.kv_tokens

    def admitted(self, sequence: Sequence, at_s: float) -> None:
        """Look up the cache for a sequence that begins, and make room."""
        stream = self._by_sequence[sequence]
        call = stream.call
        hit = min(self.cache.hit(call.program, call.messages), sequence.prompt_tokens)
        stream.cached_tokens = hit
        sequence.prefill_left = sequence.prompt_tokens - hit
        self.ledger.started(call, sequence.prompt_tokens, hit)
        self.cache.pin(call.program)
        stream.pinned = True
        self._make_room(at_s)
        self._note_load(at_s)

    def progressed(self, sequence: Sequence, at_s: float) -> None:
        """Pass on a chunk; keep the prefix of a call that ended."""
        stream = self._by_sequence[sequence]
        if sequence.ended:
            self._finish(stream, at_s)
        stream.wake()

    def _finish(self, stream: EngineStream, at_s: float) -> None:
        del self._by_sequence[stream.sequence]
        call = stream.call
        self._unpin(stream)
        text = stream.answer.text(0, stream.answer.tokens)
        self.ledger.ended(call, text, stream.answer.tokens)
        messages = (*call.messages, Message("assistant", text))
        tokens = stream.sequence.prompt_tokens + stream.answer.tokens
        self._store(call.program, CachedPrefix(messages, tokens), at_s)
        if stream.readers <= 0:
            self._expiries.append((at_s + self.settings.resume_window_s, stream))

    def _store(self, program: str, prefix: CachedPrefix, at_s: float) -> None:
        self.cache.store(program, prefix, at_s)
        self._make_room(at_s)
        self._note_load(at_s)

    def _make_room(self, at_s: float) -> None:
        self.cache.shrink(self.settings.kv_tokens - self._batch.reserved_tokens, at_s)

    def _refusal(self, call: GenerateCall) -> str:
        if call.resume_from > 0:
            return f"no call {call.call} to resume"
        ready_s = self.models.get(call.model, math.inf)
        if ready_s > anyio.current_time():
            return f"model {call.model} is not loaded; loaded are {sorted(self.models)}"
        needed = count_prompt(call.messages) + call.max_tokens
        if needed > self.settings.kv_tokens:
            return f"{needed} tokens are needed; memory holds {self.settings.kv_tokens}"
        return ""

    def _new_stream(self, call: GenerateCall, now: float) -> EngineStream:
        answer = answer_to(call.messages, call.max_tokens)
        prompt = count_prompt(call.messages)
        sequence = Sequence(call.call, prompt, answer.tokens, prompt + call.max_tokens, now)
        stream = EngineStream(call, sequence, answer)
        stream.readers = 1
        self._streams[call.call] = stream
        self._by_sequence[sequence] = stream
        return stream

    def _abort(self, stream: EngineStream, now: float) -> None:
        self._batch.remove(stream.sequence, now)
        if self._by_sequence.pop(stream.sequence, None) is not None:
            self.ledger.aborted(stream.call, stream.sequence.generated)
            self._keep_prompt(stream, now)
        self._note_load(now)
        self._poke()

    def _keep_prompt(self, stream: EngineStream, now: float) -> None:
        """Keep as much of a cancelled call's prompt as was computed."""
        if not stream.pinned:
            return
        self._unpin(stream)
        call = stream.call
        computed = stream.sequence.prompt_tokens - stream.sequence.prefill_left
        held = self.cache.held(call.program)
        if held is None or held.tokens < computed:
            self._store(call.program, CachedPrefix(call.messages, computed), now)

    def _unpin(self, stream: EngineStream) -> None:
        self.cache.unpin(stream.call.program)
        stream.pinned = False

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            stream = self._expiries.popleft()[1]
            if stream.readers <= 0:
                self.close(stream)

    def _note_load(self, now: float) -> None:
        used = self._batch.reserved_tokens + self.cache.idle_tokens
        self._loads.note(now, self._batch.running, self._batch.waiting, used)

    def _wake_up(self) -> None:
        self.hung = False
        self._batch.resume(anyio.current_time())
        self._awake.set()
        self._awake = anyio.Event()

    def _poke(self) -> None:
        self._wake.set()
        self._wake = anyio.Event()
