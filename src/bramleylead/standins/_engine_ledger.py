"""What the fake engines of one trial have seen: the figures that judge the product."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import NamedTuple

from bramleylead.backends import GenerateCall
from bramleylead.backends import Message
from bramleylead.standins._answer import shared_prefix_tokens


class CallName(NamedTuple):
    """The parts of a call id ``program/number/attempt``."""

    program: str
    number: int


def split_call(call: str) -> CallName:
    """Return program and number of ``program/number`` or ``program/number/attempt``."""
    parts = call.split("/")
    if len(parts) < 2 or not parts[1].isdigit():
        return CallName(call, 0)
    return CallName(parts[0], int(parts[1]))


@dataclass(slots=True)
class EngineLedger:
    """Counts over all engines of a trial.

    :param recomputed_tokens: prompt tokens computed although some engine had computed them before.
    :param aborted_tokens: tokens generated for calls that were cancelled.
    :param diverged: prompts that do not go on from what their program had asked before.
    :param out_of_order: calls that arrived after a later call of their program.
    :param latest_after_leaving_s: how long after an engine began to leave it last got a call.
    """

    calls: int = 0
    finished: int = 0
    cancelled: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    recomputed_tokens: int = 0
    output_tokens: int = 0
    aborted_tokens: int = 0
    diverged: int = 0
    out_of_order: int = 0
    orders_run: int = 0
    stale_orders_run: int = 0
    releases: int = 0
    lost_releases: int = 0
    kv_exported_bytes: int = 0
    latest_after_leaving_s: float = 0.0
    tokens_by_program: dict[str, int] = field(default_factory=dict)
    highest_number: dict[str, int] = field(default_factory=dict)
    computed: dict[str, tuple[Message, ...]] = field(default_factory=dict)

    def arrived(self, call: GenerateCall, *, after_leaving_s: float) -> None:
        """Count a call and check that its program's calls come in order.

        :param after_leaving_s: how long its engine has been leaving; negative if it is not.
        """
        self.calls += 1
        self.latest_after_leaving_s = max(self.latest_after_leaving_s, after_leaving_s)
        number = split_call(call.call).number
        highest = self.highest_number.get(call.program, 0)
        if number < highest:
            self.out_of_order += 1
        self.highest_number[call.program] = max(number, highest)

    def started(self, call: GenerateCall, prompt: int, hit: int) -> None:
        """Count a prompt whose first ``hit`` tokens are cached where it runs."""
        self.prompt_tokens += prompt
        self.cached_tokens += hit
        self._spend(call.program, prompt - hit)
        before = self.computed.get(call.program, ())
        shared = shared_prefix_tokens(before, call.messages)
        self.recomputed_tokens += max(0, shared - hit)
        if before and call.messages[: len(before)] != before[: len(call.messages)]:
            self.diverged += 1

    def ended(self, call: GenerateCall, answer: str, tokens: int) -> None:
        """Count a whole answer."""
        self.finished += 1
        self.output_tokens += tokens
        self._spend(call.program, tokens)
        whole = (*call.messages, Message("assistant", answer))
        if len(whole) >= len(self.computed.get(call.program, ())):
            self.computed[call.program] = whole

    def aborted(self, call: GenerateCall, tokens: int) -> None:
        """Count a call that was cancelled or lost after so many tokens."""
        self.cancelled += 1
        self.aborted_tokens += tokens
        self._spend(call.program, tokens)

    def forget(self, programs: Sequence[str]) -> None:
        """Drop what is kept of programs that have ended, to bound a long trial's memory."""
        for program in programs:
            self.computed.pop(program, None)
            self.highest_number.pop(program, None)
            self.tokens_by_program.pop(program, None)

    def _spend(self, program: str, tokens: int) -> None:
        self.tokens_by_program[program] = self.tokens_by_program.get(program, 0) + tokens
