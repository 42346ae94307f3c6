"""What lives for a process: the node and its parts."""

from __future__ import annotations
