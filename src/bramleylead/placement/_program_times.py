"""Since when programs run and until when they should have finished, as one gateway has seen it.

Callers send the time that is left with each request. How long the program had in all is known only
where its first request arrived, so a program that began at another gateway never counts as late.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple
from typing import final

MAX_PROGRAMS = 4_096
"""Programs that are remembered; the one used longest ago is dropped first."""
VALUE_FACTOR = 2.0
"""A program that ends within this multiple of its time still has some value."""


class _Times(NamedTuple):
    began_at: float
    planned_s: float


@final
class ProgramTimes:
    """The times of the programs that began at one gateway."""

    def __init__(self) -> None:
        self._times: OrderedDict[tuple[str, str], _Times] = OrderedDict()

    def __len__(self) -> int:
        return len(self._times)

    def record_begin(
        self, customer: str, program: str, finish_s: float | None, *, now: float
    ) -> None:
        """Record a request of a program that has run no turn, unless an earlier one is known."""
        if not program or finish_s is None or finish_s <= 0:
            return
        self._times.setdefault((customer, program), _Times(now, finish_s))
        if len(self._times) > MAX_PROGRAMS:
            self._times.popitem(last=False)

    def value_left_s(self, customer: str, program: str, *, now: float) -> float:
        """Return how long a program's end still has a value; negative once it has none.

        Infinite if it isn't known when the program began.
        """
        key = (customer, program)
        times = self._times.get(key)
        if times is None:
            return float("inf")
        self._times.move_to_end(key)
        return times.began_at + VALUE_FACTOR * times.planned_s - now
