"""A rate-limited store of model weights, from which engines load."""

from __future__ import annotations

from typing import final

from result import Err
from result import Ok
from result import Result

from bramleylead.backends import BackendError
from bramleylead.backends import BackendErrorKind


@final
class FakeWeightStore:
    """Serves a few loads at once and refuses more, with the time after which to come back.

    :param load_s: how long one load takes.
    """

    def __init__(self, *, loads_at_once: int = 2, load_s: float = 60.0) -> None:
        self._loads_at_once = loads_at_once
        self._load_s = load_s
        self._ends_s: list[float] = []
        self.loads = 0
        self.refused = 0

    def begin(self, name: str, now: float) -> Result[float, BackendError]:
        """Begin a load; returns the time at which it ends."""
        self._ends_s = [end for end in self._ends_s if end > now]
        if len(self._ends_s) >= self._loads_at_once:
            self.refused += 1
            wait = min(self._ends_s) - now
            detail = f"{name}: the weight store serves {self._loads_at_once} loads at once"
            return Err(BackendError(BackendErrorKind.REFUSED, detail, wait))
        self.loads += 1
        self._ends_s.append(now + self._load_s)
        return Ok(now + self._load_s)
