"""Trials of the whole system over stand-ins: fleet, callers, faults and judge."""

from __future__ import annotations
