"""Snapshots of a partition's state: nothing is lost, and no text is held twice."""

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
    """Return the entries of one call, without the end if there is no status."""
    messages = (("user", f"question {number}"),) if kind is CallKind.MODEL else ()
    intended = CallIntended(
        "p", number, "", f"d{number}", kind, "m", True, "fees", 5, messages, 1.0, "e1"
    )
    if not status:
        return [intended]
    answer = f"answer {number} " * 20
    ended = CallFinished("p", number, status, answer, None, "stop", 9, 3, 4, "e1", 4, 2.0)
    return [intended, ended]


def state_of(*calls: list[Entry]) -> PartitionState:
    state = PartitionState()
    state.apply(ProgramOpened("p", "school", "tutoring", "", 0.0))
    for entries in calls:
        for entry in entries:
            state.apply(entry)
    return state


class SnapshotTest(unittest.TestCase):
    def test_the_conversation_comes_back_whatever_became_of_the_calls(self) -> None:
        state = state_of(
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

    def test_a_text_is_packed_and_held_once(self) -> None:
        """A snapshot held each text in its call and in the conversation, and so did its reader."""
        state = state_of(call(1, CallKind.MODEL, "done"))
        packed = pack_state(state)
        program = unpack_state(packed).programs["p"]
        self.assertEqual(packed.count(program.calls[1].answer.encode()), 1)
        self.assertIs(program.messages[1][1], program.calls[1].answer)
        self.assertIs(program.messages[0], program.calls[1].messages[0])

    def test_a_conversation_that_the_calls_do_not_add_up_to_is_kept(self) -> None:
        state = state_of(call(1, CallKind.MODEL, "done"))
        state.programs["p"].messages.insert(0, ("system", "from elsewhere"))
        restored = unpack_state(pack_state(state))
        self.assertEqual(restored.programs, state.programs)
