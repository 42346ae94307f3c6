"""Tests that packing a partition's state loses nothing and stores no text twice."""

from __future__ import annotations

import unittest

from bramleylead.process.journal._entries import CallFinished
from bramleylead.process.journal._entries import CallIntended
from bramleylead.process.journal._entries import Entry
from bramleylead.process.journal._entries import ProgramOpened
from bramleylead.process.journal._state import PartitionState
from bramleylead.process.journal._state_codec import pack_state
from bramleylead.process.journal._state_codec import unpack_state
from bramleylead.request import CallKind


def call(number: int, kind: CallKind, status: str) -> list[Entry]:
    """Return the entries of one call; without a status the call has no ``CallFinished``."""
    messages = (("user", f"question {number}"),) if kind is CallKind.MODEL else ()
    intended = CallIntended(
        "p", number, "", f"d{number}", kind, "m", True, "fees", 5, messages, 1.0, "e1"
    )
    if not status:
        return [intended]
    answer = f"answer {number} " * 20
    finished = CallFinished("p", number, status, answer, None, "stop", 9, 3, 4, "e1", 4, 2.0)
    return [intended, finished]


def state_after(*calls: list[Entry]) -> PartitionState:
    state = PartitionState()
    state.apply(ProgramOpened("p", "school", "tutoring", "", 0.0))
    for entries in calls:
        for entry in entries:
            state.apply(entry)
    return state


class SnapshotTest(unittest.TestCase):
    def test_conversation_is_restored_for_calls_of_every_status(self) -> None:
        state = state_after(
            call(1, CallKind.MODEL, "done"),
            call(2, CallKind.TOOL, "done"),
            call(3, CallKind.MODEL, "failed"),
            call(3, CallKind.MODEL, "done"),
            call(4, CallKind.MODEL, "unknown"),
            call(5, CallKind.MODEL, ""),
        )
        restored = unpack_state(pack_state(state))
        self.assertEqual(restored.programs, state.programs)
        self.assertEqual(len(restored.programs["p"].messages), 4)
        self.assertEqual(pack_state(restored), pack_state(state))

    def test_text_is_packed_and_held_once(self) -> None:
        """Regression: states held each text twice, in the call and in the conversation."""
        state = state_after(call(1, CallKind.MODEL, "done"))
        packed = pack_state(state)
        program = unpack_state(packed).programs["p"]
        self.assertEqual(packed.count(program.calls[1].answer.encode()), 1)
        self.assertIs(program.messages[1][1], program.calls[1].answer)
        self.assertIs(program.messages[0], program.calls[1].messages[0])

    def test_conversation_that_differs_from_calls_is_packed(self) -> None:
        state = state_after(call(1, CallKind.MODEL, "done"))
        state.programs["p"].messages.insert(0, ("system", "from elsewhere"))
        restored = unpack_state(pack_state(state))
        self.assertEqual(restored.programs, state.programs)
