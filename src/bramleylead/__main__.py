"""Lets ``python -m bramleylead`` run the command line."""

from __future__ import annotations

import sys

from bramleylead.cli import main

if __name__ == "__main__":
    sys.exit(main(sys.argv))
