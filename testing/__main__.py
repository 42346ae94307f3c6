"""Runs every test: ``python -m testing [PATTERN]``."""

from __future__ import annotations

import sys

from testing.runner import main

if __name__ == "__main__":
    sys.exit(main(sys.argv))
