"""Which prompt parts each replica is assumed to have cached."""

from __future__ import annotations

from collections import OrderedDict
from typing import final

from bramleylead.placement._prompt import Prompt

MAX_KNOWN_PARTS = 512
"""Prompt parts that are remembered of one replica."""


@final
class PromptCaches:
    """The prompt parts that replicas have cached, as far as one node knows."""

    def __init__(self) -> None:
        self._caches: dict[str, OrderedDict[str, int]] = {}

    def fill(self, name: str, prompt: Prompt, *, max_tokens: int) -> None:
        """Assume that a prompt is cached, and that the parts unused for longest are evicted."""
        cache = self._caches.setdefault(name, OrderedDict())
        for part, tokens in prompt.parts:
            self.remember(name, part, tokens)
        cached_tokens = sum(cache.values())
        while cached_tokens > max_tokens and len(cache) > 1:
            cached_tokens -= cache.popitem(last=False)[1]

    def remember(self, name: str, part: str, tokens: int) -> None:
        """Assume that a replica has a prompt part cached."""
        cache = self._caches.setdefault(name, OrderedDict())
        cache[part] = tokens
        cache.move_to_end(part)
        if len(cache) > MAX_KNOWN_PARTS:
            cache.popitem(last=False)

    def uncached_tokens(self, name: str, prompt: Prompt) -> int:
        """Return the tokens from the first uncached part on, which the replica has to process."""
        cache = self._caches.get(name, OrderedDict())
        uncached = False
        total = 0
        for part, tokens in prompt.parts:
            uncached = uncached or part not in cache
            total += tokens if uncached else max(0, tokens - cache[part])
        return total

    def has_parts(self, name: str) -> bool:
        """Return whether any prompt part is known to be cached at a replica."""
        return bool(self._caches.get(name))

    def known_parts(self, name: str) -> int:
        """Return how many parts are remembered of a replica."""
        return len(self._caches.get(name, ()))

    def forget(self, name: str) -> None:
        """Drop the state of a removed replica."""
        self._caches.pop(name, None)

    def known_replicas(self) -> set[str]:
        """Return the replicas that have recorded state."""
        return set(self._caches)
