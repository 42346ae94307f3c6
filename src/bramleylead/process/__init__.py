"""The node and the components that run in its process."""

from __future__ import annotations
