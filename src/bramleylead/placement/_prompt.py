"""What a request needs of a replica's memory, and what of it the replica may have cached."""

from __future__ import annotations

from typing import NamedTuple


class Prompt(NamedTuple):
    """What a replica may have cached of a request.

    :param parts: the parts of its prompt in order, with their numbers of tokens.
    :param affinity: the object that it concerns; a replica that handled it recently is faster.
    :param tokens: the whole prompt and the maximum output; 0 if the caller doesn't specify them.
    """

    parts: tuple[tuple[str, int], ...]
    affinity: str = ""
    tokens: int = 0
