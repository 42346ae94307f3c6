"""Which engine a call runs on, which call runs next, and how full an engine is kept."""

from __future__ import annotations

from bramleylead.scheduling._types import Scheduler
from bramleylead.scheduling._types import Slot
from bramleylead.scheduling._types import SlotFinished
from bramleylead.scheduling._types import SlotGranted
from bramleylead.scheduling._types import SlotRequest

__all__ = ["Scheduler", "Slot", "SlotFinished", "SlotGranted", "SlotRequest"]
