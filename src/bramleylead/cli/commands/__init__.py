"""One module a command, named like it; importing a module registers its command."""

from __future__ import annotations
