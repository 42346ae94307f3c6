"""``bramleylead explain``: tells what became of one request, from logs."""

from __future__ import annotations

import sys
from contextlib import ExitStack
from pathlib import Path

from absl import flags

from bramleylead.cli._exit import ExitCode
from bramleylead.cli._registry import command
from bramleylead.cli._story import read_lines
from bramleylead.cli._story import tell


@command(
    "explain",
    usage="REQUEST-ID FILE...",
    summary="Tells what became of a request, from the logs of several processes.",
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Read the files and print the story."""
    if len(words) < 2:
        print("explain: name a request's id and one file or more", file=sys.stderr)
        return ExitCode.USAGE
    request, *names = words
    try:
        with ExitStack() as stack:
            files = [
                (name, stack.enter_context(Path(name).open(errors="replace"))) for name in names
            ]
            found = read_lines(files)
    except OSError as error:
        print(f"explain: {error.filename}: {error.strerror}", file=sys.stderr)
        return ExitCode.INVALID
    for line in tell(found, request):
        print(line)
    return ExitCode.OK
