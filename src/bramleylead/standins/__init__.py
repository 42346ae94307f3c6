"""Small stand-ins at the product's interfaces, shared by tests, demo and benches."""

from __future__ import annotations

from bramleylead.standins._network import FakeNetwork
from bramleylead.standins._virtual import run_virtual

__all__ = ["FakeNetwork", "run_virtual"]
