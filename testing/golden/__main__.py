"""Checks or rewrites the golden files: ``python -m testing.golden [--write]`` (``make golden``)."""

from __future__ import annotations

import sys

from testing.golden._sessions import SESSIONS
from testing.golden._sessions import SESSIONS_FOLDER
from testing.golden._sessions import path_of


def main(arguments: list[str]) -> int:
    """Run every session; write its record, or report whether it differs from its file."""
    if arguments not in ([], ["--write"]):
        print("usage: python -m testing.golden [--write]", file=sys.stderr)
        return 2
    differing = 0
    SESSIONS_FOLDER.mkdir(exist_ok=True)
    for name, session in SESSIONS.items():
        path = path_of(name)
        record = session.text().encode()
        same = path.exists() and path.read_bytes() == record
        differing += not same
        if arguments:
            path.write_bytes(record)
        print(f"{path.name}: {'same' if same else 'written' if arguments else 'differs'}")
    return 0 if arguments or not differing else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
