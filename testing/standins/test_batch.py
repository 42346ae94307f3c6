"""The batch under random arrivals, cancels and hangs: one step at a time or many, all the same."""

from __future__ import annotations

import unittest
from typing import NamedTuple

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bramleylead.standins._batch import Batch
from bramleylead.standins._batch import Sequence
from testing.standins._trial import EXACT

FAR_S = 1e9
SMALL = EXACT.model_copy(
    update={"max_batch": 3, "step_tokens": 64, "kv_tokens": 2000, "step_context_token_ms": 0.01}
)


class Act(NamedTuple):
    after_ms: int
    kind: str
    prompt: int
    output: int


acts = st.lists(
    st.builds(
        Act,
        st.integers(0, 400),
        st.sampled_from(("add", "add", "add", "remove", "stop", "resume")),
        st.integers(1, 400),
        st.integers(1, 60),
    ),
    max_size=25,
)


class _Owner:
    def __init__(self, kv_tokens: int) -> None:
        self._kv_tokens = kv_tokens
        self.ended: dict[str, float] = {}

    def may_admit(self, sequence: Sequence, reserved_tokens: int) -> bool:
        return reserved_tokens + sequence.reserve_tokens <= self._kv_tokens

    def admitted(self, sequence: Sequence, at_s: float) -> None:
        sequence.prefill_left = sequence.prompt_tokens

    def progressed(self, sequence: Sequence, at_s: float) -> None:
        if sequence.ended:
            self.ended[sequence.call] = at_s


def play(script: list[Act], *, chunk_tokens: int, step_by_step: bool) -> dict[str, float]:
    """Run a script to its end and return when each sequence ended."""
    owner = _Owner(SMALL.kv_tokens)
    batch = Batch(SMALL.model_copy(update={"chunk_tokens": chunk_tokens}), owner)
    sequences: list[Sequence] = []
    now = 0.0
    for act in script:
        until = now + act.after_ms / 1000
        while step_by_step and batch.next_event_s < until:
            batch.advance(batch.next_event_s)
        now = until
        batch.advance(now)
        if act.kind == "add":
            name = f"{len(sequences)}"
            reserve = act.prompt + act.output
            sequences.append(Sequence(name, act.prompt, act.output, reserve, now))
            batch.add(sequences[-1], now)
        elif act.kind == "remove" and sequences:
            batch.remove(sequences[act.prompt % len(sequences)], now)
        elif act.kind == "stop":
            batch.stop(now)
        elif act.kind == "resume":
            batch.resume(now)
    batch.resume(now)
    while batch.next_event_s < FAR_S:
        batch.advance(batch.next_event_s)
    left = (batch.reserved_tokens, batch.running, batch.waiting, batch._context)
    assert left == (0, 0, 0, 0), left
    return owner.ended


class BatchPropertyTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(acts)
    def test_grouping_changes_no_end_and_nothing_is_left_over(self, script: list[Act]) -> None:
        singly = play(script, chunk_tokens=1, step_by_step=True)
        grouped = play(script, chunk_tokens=10_000, step_by_step=False)
        self.assertEqual(set(singly), set(grouped))
        for call, ended_s in singly.items():
            self.assertAlmostEqual(ended_s, grouped[call], places=6)


if __name__ == "__main__":
    unittest.main()
