"""Deterministic answers of the fake engine: a pure function of the conversation.

A message may carry ``[tokens=N]`` to count as N tokens without being that long, and the last one
``[output=N]`` to ask for an answer of N tokens.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from functools import lru_cache
from typing import NamedTuple

import xxhash

from bramleylead.backends import Message

CHARS_PER_TOKEN = 5
MARKED_TOKENS = re.compile(r"\[tokens=(\d+)\]")
MARKED_OUTPUT = re.compile(r"\[output=(\d+)\]")
LEAST_OUTPUT_TOKENS = 40
OUTPUT_SPREAD_TOKENS = 120
BLOCK_TOKENS = 16
CACHED_MESSAGES = 16_384
DIGEST_FACTOR = 0x9E3779B97F4A7C15
DIGEST_MASK = 0xFFFFFFFFFFFFFFFF


@lru_cache(maxsize=CACHED_MESSAGES)
def count_tokens(content: str) -> int:
    """Return how many tokens a message counts as; an answer counts as the tokens it was."""
    marked = MARKED_TOKENS.search(content)
    if marked is not None:
        return int(marked.group(1))
    return max(1, -(-len(content) // CHARS_PER_TOKEN))


def count_prompt(messages: Sequence[Message]) -> int:
    """Return the length of a conversation in tokens."""
    return sum(count_tokens(message.content) for message in messages)


@lru_cache(maxsize=CACHED_MESSAGES)
def _digest(role: str, content: str) -> int:
    return xxhash.xxh64_intdigest(f"{role}\0{content}".encode())


class Answer(NamedTuple):
    """The whole answer to one conversation; ``digest`` is 4 hex digits that show a mix-up."""

    digest: str
    tokens: int
    finish: str

    def text(self, start: int, end: int) -> str:
        """Return the tokens from ``start`` up to ``end``, each five characters long.

        Every sixteenth token tells its own place, the others repeat the digest.
        """
        first_block = start // BLOCK_TOKENS
        rest = f" {self.digest}" * (BLOCK_TOKENS - 1)
        blocks = range(first_block, -(-end // BLOCK_TOKENS))
        whole = "".join(f" {block & 0xFFFF:04x}{rest}" for block in blocks)
        skipped = first_block * BLOCK_TOKENS
        return whole[(start - skipped) * CHARS_PER_TOKEN : (end - skipped) * CHARS_PER_TOKEN]


def answer_to(messages: Sequence[Message], max_tokens: int) -> Answer:
    """Return the answer that every engine gives to this conversation."""
    digest = 0
    for message in messages:
        digest = (digest * DIGEST_FACTOR ^ _digest(message.role, message.content)) & DIGEST_MASK
    wanted = LEAST_OUTPUT_TOKENS + digest % OUTPUT_SPREAD_TOKENS
    marked = MARKED_OUTPUT.search(messages[-1].content) if messages else None
    if marked is not None:
        wanted = max(1, int(marked.group(1)))
    finish = "stop" if wanted <= max_tokens else "length"
    return Answer(f"{digest & 0xFFFF:04x}", min(wanted, max_tokens), finish)


def shared_prefix_tokens(first: Sequence[Message], second: Sequence[Message]) -> int:
    """Return the tokens of the messages that two conversations begin with alike."""
    shared = 0
    for mine, other in zip(first, second, strict=False):
        if mine != other:
            break
        shared += count_tokens(mine.content)
    return shared
