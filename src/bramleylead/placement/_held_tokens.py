"""The memory that requests occupy at each replica, in tokens.

Answers bursts of long histories: a replica whose requests, waiting ones included, exceed its memory
crashes. A request occupies its prompt and its maximum output from when it is sent until it ends.
Prompt parts that several requests share occupy memory once; the last part belongs to one request.

Gateways report what their requests occupy as counters in their load reports. Ledger nodes of any
version add these up: the tokens of requests themselves, and for each shared part, the requests that
use it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from functools import lru_cache
from hashlib import blake2b
from typing import final

from bramleylead.placement._fleet_table import COUNTER_SEPARATOR
from bramleylead.placement._prompt import Prompt

KNOWN_FOR_S = 2.0
"""Reports of other gateways count for this time; most requests have ended by then, and a request
that is refused for an old report could have run."""
OWN_MARK = "t"
PART_MARK = "p"
DIGEST_BYTES = 4
MAX_DIGESTS = 4_096
MAX_PROMPTS = 64
"""Prompts whose parts are remembered: one is checked against the memory of every replica."""
MAX_DIGITS = 15


class _Held:
    """What some gateways' requests occupy at one replica.

    :ivar own: tokens that belong to single requests.
    :ivar parts: for each shared part, how many requests use it; a part's key tells its tokens.
    """

    def __init__(self) -> None:
        self.own = 0
        self.parts: Counter[str] = Counter()


@final
class HeldTokens:
    """The tokens that the requests of this gateway and of others occupy at replicas."""

    def __init__(self) -> None:
        self._own: dict[str, _Held] = {}
        self._others: dict[str, _Held] = {}
        self._others_as_of = float("-inf")

    def start_request(self, name: str, prompt: Prompt) -> None:
        """Count a request sent to a replica."""
        held = self._own.setdefault(name, _Held())
        held.own += _own_tokens(prompt)
        held.parts.update(_shared_parts(prompt))

    def end_request(self, name: str, prompt: Prompt) -> None:
        """Count the end of a request."""
        held = self._own.get(name)
        if held is None:
            return
        held.own -= _own_tokens(prompt)
        for key in _shared_parts(prompt):
            held.parts[key] -= 1
            if held.parts[key] <= 0:
                del held.parts[key]
        if held.own <= 0 and not held.parts:
            del self._own[name]

    def record_counters(self, counters: Mapping[str, int], *, now: float) -> None:
        """Record what the requests of all other gateways occupy."""
        self._others = {}
        self._others_as_of = now
        for key, count in counters.items():
            name, separator, rest = key.partition(COUNTER_SEPARATOR)
            if not separator or count <= 0:
                continue
            if rest == OWN_MARK:
                self._others.setdefault(name, _Held()).own += count
            elif rest.startswith(PART_MARK):
                self._others.setdefault(name, _Held()).parts[rest[1:]] += count

    def counters(self) -> dict[str, int]:
        """Return what this gateway's requests occupy, for its load report."""
        found: dict[str, int] = {}
        for name, held in self._own.items():
            if held.own > 0:
                found[f"{name}{COUNTER_SEPARATOR}{OWN_MARK}"] = held.own
            for key, requests in held.parts.items():
                found[f"{name}{COUNTER_SEPARATOR}{PART_MARK}{key}"] = requests
        return found

    def held(self, name: str, *, now: float) -> int:
        """Return the tokens occupied at a replica, as far as they are known."""
        return self.held_with(name, Prompt(()), now=now)

    def held_with(self, name: str, prompt: Prompt, *, now: float) -> int:
        """Return the tokens that would be occupied at a replica with one more request."""
        tokens = _own_tokens(prompt)
        parts = set(_shared_parts(prompt))
        own = self._own.get(name)
        others = self._others.get(name) if now - self._others_as_of < KNOWN_FOR_S else None
        for held in (own, others):
            if held is not None:
                tokens += held.own
                parts.update(held.parts)
        return tokens + sum(map(_tokens_of, parts))

    def forget(self, name: str) -> None:
        """Drop the state of a removed replica."""
        self._own.pop(name, None)
        self._others.pop(name, None)

    def known_replicas(self) -> set[str]:
        """Return the replicas at which this gateway's requests occupy memory."""
        return set(self._own)


def _own_tokens(prompt: Prompt) -> int:
    """Return the tokens of a request that it shares with no other one."""
    shared = sum(tokens for _, tokens in prompt.parts[:-1])
    return max(0, prompt.tokens - shared)


@lru_cache(maxsize=MAX_PROMPTS)
def _shared_parts(prompt: Prompt) -> tuple[str, ...]:
    """Return the keys of the parts of a prompt that other requests may share.

    Requests without figures have none, so that they occupy nothing.
    """
    if not prompt.tokens:
        return ()
    shared = [(part, tokens) for part, tokens in prompt.parts[:-1] if tokens > 0]
    return tuple(f"{_digest(part)}.{tokens}" for part, tokens in shared)


@lru_cache(maxsize=MAX_DIGESTS)
def _digest(part: str) -> str:
    return blake2b(part.encode(errors="replace"), digest_size=DIGEST_BYTES).hexdigest()


@lru_cache(maxsize=MAX_DIGESTS)
def _tokens_of(key: str) -> int:
    """Return the tokens of a shared part; 0 if another gateway sent an invalid key."""
    tokens = key.rpartition(".")[2]
    is_valid = tokens.isascii() and tokens.isdigit() and len(tokens) <= MAX_DIGITS
    return int(tokens) if is_valid else 0
