"""Faults of JSON are named one a line: path, value, what is allowed."""

from __future__ import annotations

import unittest
from typing import Annotated

from pydantic import Field
from result import Ok

from bramleylead.validation import Strict
from bramleylead.validation import load_model


class Inner(Strict):
    count: Annotated[int, Field(ge=1, le=9)] = 1
    api_key: Annotated[str, Field(min_length=8)] = "long enough"


class Outer(Strict):
    name: str
    inner: Inner = Inner()
    by_name: dict[str, Inner] = {}
    several: tuple[Inner, ...] = ()


def faults(text: str | bytes) -> list[str]:
    return [str(fault) for fault in load_model(Outer, text).err_value]


class FaultTest(unittest.TestCase):
    def test_good_json_is_loaded(self) -> None:
        loaded = load_model(Outer, '{"name": "a", "several": [{"count": 2}]}')
        self.assertEqual(loaded, Ok(Outer(name="a", several=(Inner(count=2),))))

    def test_every_fault_is_named_in_one_go(self) -> None:
        found = faults('{"inner": {"count": 10}, "by_name": {"x": {"count": "2"}}, "nam": 1}')
        self.assertEqual(
            found,
            [
                "name: missing: must be given",
                "inner.count: 10: must be less than or equal to 9",
                'by_name.x.count: "2": must be a valid integer',
                "nam: 1: unknown key, allowed are name, inner, by_name, several",
            ],
        )

    def test_unknown_keys_deep_inside_name_the_keys_allowed_there(self) -> None:
        for text in (
            '{"name": "a", "by_name": {"x": {"cuont": 1}}}',
            '{"name": "a", "several": [{"cuont": 1}]}',
            '{"name": "a", "inner": {"cuont": 1}}',
        ):
            self.assertIn("cuont: 1: unknown key, allowed are count, api_key", faults(text)[0])

    def test_secrets_are_not_shown(self) -> None:
        (fault,) = faults('{"name": "a", "inner": {"api_key": "hush"}}')
        self.assertEqual(fault, "inner.api_key: (hidden): must have at least 8 characters")

    def test_long_values_are_cut(self) -> None:
        (fault,) = faults('{"name": ' + str(["x" * 500]).replace("'", '"') + "}")
        self.assertLess(len(fault), 120)

    def test_syntax_is_placed(self) -> None:
        self.assertTrue(faults('{\n  "name": }')[0].startswith("line 2 column 11: "))
        self.assertIn("occurs twice", faults('{"name": "a", "name": "b"}')[0])
        self.assertIn("NaN", faults('{"name": NaN}')[0])
        self.assertIn("UTF-8", faults(b'{"name": "\xff"}')[0])


if __name__ == "__main__":
    unittest.main()
