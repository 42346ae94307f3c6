"""Kept turns: found with their chain, and kept before the end of the answer is sent."""

from __future__ import annotations

from collections import OrderedDict
from typing import final

import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import Failure
from bramleylead.ledger._client import LedgerClient
from bramleylead.ledger._records import KeptTurn

CACHE_BYTES = 12_000_000

log = structlog.get_logger()


@final
class KeptTurns:
    """The turns of one gateway's callers; those that it has seen are at hand."""

    def __init__(self, ledger: LedgerClient) -> None:
        self._ledger = ledger
        self._cache: OrderedDict[str, KeptTurn] = OrderedDict()
        self._bytes = 0

    async def history(self, request: str, previous: str) -> Result[bytes, Failure]:
        """Return the inputs and outputs of a turn's chain, oldest first."""
        at_hand = self._chain_at_hand(previous)
        if at_hand is not None:
            log.info(
                "turn_found",
                request=request,
                previous=previous,
                turns=len(at_hand),
                source="memory",
            )
            return Ok(_joined(at_hand))
        found = await self._ledger.find_chain(previous)
        if isinstance(found, Err):
            log.info(
                "turn_not_found",
                request=request,
                previous=previous,
                kind=found.err_value.kind,
                reason=found.err_value.detail,
            )
            return found
        for turn in found.ok_value:
            self._remember(turn)
        log.info(
            "turn_found",
            request=request,
            previous=previous,
            turns=len(found.ok_value),
            source="ledger",
        )
        return Ok(_joined(found.ok_value))

    async def keep(self, turn: KeptTurn) -> Result[None, Failure]:
        """Keep a turn; once this returns it survives what the ledger survives."""
        kept = await self._ledger.keep(turn)
        if isinstance(kept, Err):
            log.warning(
                "turn_not_kept",
                request=turn.turn,
                program=turn.program,
                reason=kept.err_value.detail,
            )
            return kept
        self._remember(turn)
        log.info(
            "turn_kept",
            request=turn.turn,
            program=turn.program,
            previous=turn.previous,
            tokens=turn.tokens,
            bytes=len(turn.given) + len(turn.made),
        )
        return kept

    def _chain_at_hand(self, name: str) -> list[KeptTurn] | None:
        chain = []
        while name:
            turn = self._cache.get(name)
            if turn is None:
                return None
            self._cache.move_to_end(name)
            chain.append(turn)
            name = turn.previous
        return chain[::-1]

    def _remember(self, turn: KeptTurn) -> None:
        if turn.turn in self._cache:
            return
        self._cache[turn.turn] = turn
        self._bytes += _size(turn)
        while self._bytes > CACHE_BYTES:
            _, dropped = self._cache.popitem(last=False)
            self._bytes -= _size(dropped)


def _joined(chain: list[KeptTurn]) -> bytes:
    return b"".join(turn.given + turn.made for turn in chain)


def _size(turn: KeptTurn) -> int:
    return len(turn.given) + len(turn.made)
