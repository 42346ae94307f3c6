"""Turn history: loads the chain before a turn, and stores a turn before its response ends."""

from __future__ import annotations

from collections import OrderedDict
from typing import final

import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.ledger._client import LedgerClient
from bramleylead.ledger._entries import customer_of
from bramleylead.ledger._records import KeptTurn

MAX_CACHE_BYTES = 12_000_000

log = structlog.get_logger()


@final
class TurnHistory:
    """The turns in the ledger, with a cache of those that this gateway has seen."""

    def __init__(self, ledger: LedgerClient) -> None:
        self._ledger = ledger
        self._cache: OrderedDict[str, KeptTurn] = OrderedDict()
        self._cached_bytes = 0

    async def find_history(
        self, request: str, previous: str, *, program: str = "", owner: str | None = None
    ) -> Result[bytes, Failure]:
        """Return the inputs and outputs of a turn's chain, oldest first.

        :param program: the program of the request.
        :param owner: whose turn it must be; ``None`` if turns belong to nobody.
        """
        chain = await self._find_chain(request, previous)
        if isinstance(chain, Err):
            return chain
        if owner is not None:
            refusal = _check_owner(chain.ok_value[-1], program, owner)
            if refusal is not None:
                return Err(refusal)
        return Ok(_concatenate(chain.ok_value))

    async def _find_chain(self, request: str, previous: str) -> Result[list[KeptTurn], Failure]:
        cached = self._cached_chain(previous)
        if cached is not None:
            log.info(
                "turn_found",
                request=request,
                previous=previous,
                turns=len(cached),
                source="memory",
            )
            return Ok(cached)
        result = await self._ledger.find_chain(previous)
        if isinstance(result, Err):
            log.info(
                "turn_not_found",
                request=request,
                previous=previous,
                kind=result.err_value.kind,
                reason=result.err_value.detail,
            )
            return result
        for turn in result.ok_value:
            self._cache_turn(turn)
        log.info(
            "turn_found",
            request=request,
            previous=previous,
            turns=len(result.ok_value),
            source="ledger",
        )
        return result

    async def save(self, turn: KeptTurn) -> Result[None, Failure]:
        """Store a turn; on success it is as durable as the ledger."""
        result = await self._ledger.keep(turn)
        if isinstance(result, Err):
            log.warning(
                "turn_not_kept",
                request=turn.turn,
                program=turn.program,
                reason=result.err_value.detail,
            )
            return result
        self._cache_turn(turn)
        log.info(
            "turn_kept",
            request=turn.turn,
            program=turn.program,
            previous=turn.previous,
            tokens=turn.tokens,
            bytes=len(turn.new_input) + len(turn.event_data),
        )
        return result

    def _cached_chain(self, name: str) -> list[KeptTurn] | None:
        chain = []
        while name:
            turn = self._cache.get(name)
            if turn is None:
                return None
            self._cache.move_to_end(name)
            chain.append(turn)
            name = turn.previous
        return chain[::-1]

    def _cache_turn(self, turn: KeptTurn) -> None:
        if turn.turn in self._cache:
            return
        self._cache[turn.turn] = turn
        self._cached_bytes += _size(turn)
        while self._cached_bytes > MAX_CACHE_BYTES:
            _, evicted = self._cache.popitem(last=False)
            self._cached_bytes -= _size(evicted)


def _check_owner(turn: KeptTurn, program: str, owner: str) -> Failure | None:
    """Return a failure if a turn is another customer's, or may be.

    The first gives nothing away: it is the same as for a turn that doesn't exist. Records of
    earlier versions name no customer, so only their own program may continue them.
    """
    known_owner = customer_of(turn.entry)
    if known_owner == owner or (not known_owner and turn.program == program):
        return None
    if known_owner:
        return Failure(ErrorKind.UNKNOWN_TURN, f"turn {turn.turn} is not stored")
    detail = f"turn {turn.turn}: its record does not say whose it is"
    return Failure(ErrorKind.NOT_CURRENT, detail)


def _concatenate(chain: list[KeptTurn]) -> bytes:
    return b"".join(turn.new_input + turn.event_data for turn in chain)


def _size(turn: KeptTurn) -> int:
    return len(turn.new_input) + len(turn.event_data)
