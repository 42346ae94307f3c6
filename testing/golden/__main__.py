"""Shows or rewrites the golden files: ``python -m testing.golden [--write]`` (``make golden``)."""

from __future__ import annotations

import sys

from testing.golden._sessions import FOLDER
from testing.golden._sessions import SESSIONS
from testing.golden._sessions import path_of


def main(words: list[str]) -> int:
    """Run every session; write its record, or say which differ from their files."""
    if words not in ([], ["--write"]):
        print("usage: python -m testing.golden [--write]", file=sys.stderr)
        return 2
    differing = 0
    FOLDER.mkdir(exist_ok=True)
    for name, session in SESSIONS.items():
        path = path_of(name)
        record = session.text().encode()
        same = path.exists() and path.read_bytes() == record
        differing += not same
        if words:
            path.write_bytes(record)
        print(f"{path.name}: {'same' if same else 'written' if words else 'differs'}")
    return 0 if words or not differing else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
