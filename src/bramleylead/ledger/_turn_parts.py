"""Splits a large turn into records that fit into one message each.

The parts of a turn are kept turns that continue each other, and the turn continues the last of
them. Joined in the order of the chain, their inputs and outputs are those of the whole turn. So
nodes, disks and gateways of any version store, copy and read them like other turns.
"""

from __future__ import annotations

from bramleylead.ledger._records import KeptTurn

MAX_PART_BYTES = 1_000_000
PART_SEPARATOR = "\n"
"""No header value contains it, so no caller can name a part as a previous turn."""


def split_turn(turn: KeptTurn) -> list[KeptTurn]:
    """Return a turn, or its parts in the order in which they must be stored; the turn is last."""
    if len(turn.new_input) + len(turn.event_data) <= MAX_PART_BYTES:
        return [turn]
    content = turn.new_input + turn.event_data
    cuts = range(0, len(content), MAX_PART_BYTES)
    *pieces, last_piece = [content[cut : cut + MAX_PART_BYTES] for cut in cuts]
    parts = []
    previous = turn.previous
    for number, piece in enumerate(pieces):
        name = f"{turn.turn}{PART_SEPARATOR}{number}"
        parts.append(
            KeptTurn(name, previous, turn.program, "", 0, turn.keep_s, piece, event_data=b"")
        )
        previous = name
    return [*parts, turn._replace(previous=previous, new_input=last_piece, event_data=b"")]
