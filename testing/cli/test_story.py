"""The story of a request is told from the lines of several processes."""

from __future__ import annotations

import json
import unittest

from bramleylead.cli._story import read_lines
from bramleylead.cli._story import tell


def line(second: float, event: str, *, node: str = "g1", **fields: object) -> str:
    timestamp = f"2026-10-05T11:06:{second:09.6f}Z"
    return json.dumps({**fields, "event": event, "node": node, "timestamp": timestamp}) + "\n"


OWN = [
    line(10.0, "request_accepted", request="q1", program="p1", configuration=4),
    line(10.001, "replica_chosen", request="q1", program="p1", replica="i-1", among=3),
    line(10.5, "refused", request="q1", program="p1", kind="overloaded", took_s=0.5),
]
OTHERS = [
    line(9.0, "store_lost", reason="no answer"),
    line(9.0, "store_lost", node="g2", reason="of another process"),
    line(9.5, "answered", node="g2", request="q0", program="p1", status=200),
    line(9.5, "answered", node="g2", request="q9", program="p9", status=200),
]


def story(*texts: list[str]) -> str:
    named = [(f"log{number}", text) for number, text in enumerate(texts)]
    return "\n".join(tell(read_lines(named), "q1"))


class StoryTest(unittest.TestCase):
    def test_lines_of_several_files_are_put_in_order(self) -> None:
        told = story(OWN[::-1], OTHERS)
        events = ["store_lost", "request_accepted", "replica_chosen", "refused", "answered"]
        places = [told.index(event) for event in events]
        self.assertEqual(places, sorted(places))
        self.assertIn("+0.500 s", told)

    def test_only_the_processes_that_held_it_and_its_program_are_told(self) -> None:
        told = story(OWN, OTHERS)
        self.assertNotIn("of another process", told)
        self.assertIn("request=q0", told)
        self.assertNotIn("q9", told)

    def test_lines_that_can_t_be_read_are_counted(self) -> None:
        damaged = [OWN[0], OWN[1][: len(OWN[1]) // 2] + "\n", OWN[2]]
        self.assertIn("log0: 1 lines could not be read", story(damaged))

    def test_lines_that_can_t_be_decoded_are_counted(self) -> None:
        deep = OWN[0].replace('"p1"', "[" * 50_000 + "]" * 50_000)
        digits = OWN[0].replace('"p1"', "9" * 4_901)
        self.assertIn("log0: 2 lines could not be read", story([*OWN, deep, digits]))

    def test_what_stands_before_a_line_is_passed_over(self) -> None:
        self.assertIn("refused", story([f"  0.27 g1 {text}" for text in OWN]))

    def test_a_request_without_an_end_is_said_to_have_none(self) -> None:
        self.assertIn("the lines end before the request does", story(OWN[:2]))
        self.assertNotIn("the lines end", story(OWN))

    def test_an_unknown_request_is_said_to_be_unknown(self) -> None:
        self.assertIn("no line names it", story(OTHERS))
