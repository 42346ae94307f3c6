"""The sums of served cost that nodes share with gateways."""

from __future__ import annotations

from bramleylead.fair_shares import DecayedSum
from bramleylead.fair_shares import ServedShares

__all__ = ["DecayedSum", "ServedShares"]
