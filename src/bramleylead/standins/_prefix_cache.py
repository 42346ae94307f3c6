"""The fake engine's cache of prompt prefixes: one a program, least recently used goes first."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections import deque
from collections.abc import Sequence
from typing import NamedTuple
from typing import final

from bramleylead.backends import CacheEvent
from bramleylead.backends import CachePage
from bramleylead.backends import Message
from bramleylead.standins._answer import shared_prefix_tokens

KEPT_EVENTS = 20_000


class CachedPrefix(NamedTuple):
    """What the cache holds of one program: its first ``tokens`` tokens of ``messages``."""

    messages: tuple[Message, ...]
    tokens: int


class _LateEvent(NamedTuple):
    due_s: float
    event: CacheEvent


@final
class PrefixCache:
    """Prefixes in order of use, and the events that tell of them late and with gaps."""

    def __init__(self, *, event_delay_s: float, event_loss: float, rng: random.Random) -> None:
        self._event_delay_s = event_delay_s
        self._event_loss = event_loss
        self._rng = rng
        self._held: OrderedDict[str, CachedPrefix] = OrderedDict()
        self._pins: dict[str, int] = {}
        self._events: deque[_LateEvent] = deque(maxlen=KEPT_EVENTS)
        self._sequence = 0
        self._last_due_s = 0.0
        self.idle_tokens = 0
        self.evicted_tokens = 0

    def hit(self, program: str, messages: Sequence[Message]) -> int:
        """Return how many tokens of a prompt are held, and mark them as just used."""
        held = self._held.get(program)
        if held is None:
            return 0
        self._held.move_to_end(program)
        return min(held.tokens, shared_prefix_tokens(held.messages, messages))

    def held(self, program: str) -> CachedPrefix | None:
        """Return what is held of a program."""
        return self._held.get(program)

    def by_program(self) -> dict[str, int]:
        """Return the tokens held by program."""
        return {program: prefix.tokens for program, prefix in self._held.items()}

    def pin(self, program: str) -> None:
        """Keep a program's prefix while a call runs on it; the call's own memory covers it."""
        pins = self._pins.get(program, 0)
        if pins == 0:
            self.idle_tokens -= self._tokens(program)
        self._pins[program] = pins + 1

    def unpin(self, program: str) -> None:
        """Undo one :meth:`pin`."""
        pins = self._pins.get(program, 0)
        if pins > 1:
            self._pins[program] = pins - 1
        elif pins == 1:
            del self._pins[program]
            self.idle_tokens += self._tokens(program)

    def store(self, program: str, prefix: CachedPrefix, now: float) -> None:
        """Take in a prefix as the most recently used one."""
        if program not in self._pins:
            self.idle_tokens += prefix.tokens - self._tokens(program)
        self._held[program] = prefix
        self._held.move_to_end(program)
        self._tell(program, prefix.tokens, now)

    def release(self, program: str, now: float) -> int:
        """Free what is held of a program and return its tokens."""
        held = self._held.get(program)
        if held is None:
            return 0
        if program not in self._pins:
            self.idle_tokens -= held.tokens
        del self._held[program]
        self._tell(program, 0, now)
        return held.tokens

    def shrink(self, limit_tokens: int, now: float) -> None:
        """Evict from the least recently used program's end until the limit holds."""
        if self.idle_tokens <= limit_tokens:
            return
        for program in list(self._held):
            if program not in self._pins:
                self._cut(program, self.idle_tokens - max(0, limit_tokens), now)
            if self.idle_tokens <= limit_tokens:
                return

    def clear(self) -> None:
        """Lose everything without a word, as a crash does; the sequence begins anew."""
        self._held.clear()
        self._pins.clear()
        self._events.clear()
        self._sequence = 0
        self._last_due_s = 0.0
        self.idle_tokens = 0

    def _cut(self, program: str, excess: int, now: float) -> None:
        held = self._held[program]
        cut = min(held.tokens, excess)
        self.idle_tokens -= cut
        self.evicted_tokens += cut
        left = held.tokens - cut
        if left == 0:
            del self._held[program]
        else:
            self._held[program] = held._replace(tokens=left)
        self._tell(program, left, now)

    def _tokens(self, program: str) -> int:
        held = self._held.get(program)
        return 0 if held is None else held.tokens

    def events_after(self, after: int, now: float) -> CachePage:
        """Return the events after a sequence number that have come out by now."""
        found: list[CacheEvent] = []
        for late in reversed(self._events):
            if late.event.sequence <= after:
                break
            if late.due_s <= now:
                found.append(late.event)
        found.reverse()
        last = found[-1].sequence if found else min(after, self._sequence)
        return CachePage(last + 1, tuple(found), complete=False)

    def contents(self) -> CachePage:
        """Return what is held now as if each prefix had just been stored."""
        events = tuple(
            CacheEvent(self._sequence, program, prefix.tokens, stored=True)
            for program, prefix in self._held.items()
        )
        return CachePage(self._sequence + 1, events, complete=True)

    def _tell(self, program: str, tokens: int, now: float) -> None:
        self._sequence += 1
        if self._event_loss and self._rng.random() < self._event_loss:
            return
        delay = self._rng.random() * self._event_delay_s if self._event_delay_s else 0.0
        self._last_due_s = max(self._last_due_s, now + delay)
        event = CacheEvent(self._sequence, program, tokens, stored=tokens > 0)
        self._events.append(_LateEvent(self._last_due_s, event))
