"""Snapshots of a partition's state as bytes, and digests that both copies must agree on.

A conversation is what its finished model calls add up to, so a snapshot leaves it out, and a copy
that is read from one shares its texts between conversation and calls, as its owner does.
"""

from __future__ import annotations

from dataclasses import fields
from typing import Any

import msgpack
import xxhash

from bramleylead.connection import decode
from bramleylead.connection import encode
from bramleylead.process.journal._entries import Entry
from bramleylead.process.journal._state import CallRecord
from bramleylead.process.journal._state import CallStatus
from bramleylead.process.journal._state import GrantState
from bramleylead.process.journal._state import PartitionState
from bramleylead.process.journal._state import ProgramState
from bramleylead.request import CallKind

EMPTY_DIGEST = 0


def pack_entry(entry: Entry) -> bytes:
    """Return one journal entry as bytes."""
    return encode(entry)


def unpack_entry(data: bytes) -> Entry:
    """Return the journal entry that the bytes stand for."""
    return decode(data)


def extend_digest(digest: int, packed: bytes) -> int:
    """Return the digest of a journal that is one entry longer."""
    return xxhash.xxh64_intdigest(packed, seed=digest)


def pack_state(state: PartitionState) -> bytes:
    """Return a whole state as bytes; equal states give equal bytes."""
    programs = [_pack_program(state.programs[name]) for name in sorted(state.programs)]
    grants = [[name, *_values(state.grants[name])] for name in sorted(state.grants)]
    return msgpack.packb([state.incarnation, programs, grants])


def unpack_state(data: bytes) -> PartitionState:
    """Return the state that :func:`pack_state` packed."""
    incarnation, programs, grants = msgpack.unpackb(data, strict_map_key=False)
    state = PartitionState()
    state.incarnation = incarnation
    for plain in programs:
        program = _unpack_program(plain)
        state.programs[program.program] = program
    for name, *values in grants:
        state.grants[name] = GrantState(*values)
    return state


def state_digest(packed: bytes) -> int:
    """Return the digest of a packed state."""
    return xxhash.xxh64_intdigest(packed)


def _values(item: Any) -> list[Any]:
    return [getattr(item, each.name) for each in fields(item)]


def _pack_program(program: ProgramState) -> dict[str, Any]:
    plain = {each.name: getattr(program, each.name) for each in fields(program)}
    plain["calls"] = [_values(program.calls[number]) for number in sorted(program.calls)]
    plain["caches"] = sorted(program.caches.items())
    if _conversation(program.calls) == program.messages:
        plain["messages"] = None
    return plain


def _unpack_program(plain: dict[str, Any]) -> ProgramState:
    calls = [_unpack_call(values) for values in plain["calls"]]
    plain["calls"] = {call.number: call for call in calls}
    plain["caches"] = dict(plain["caches"])
    if plain["messages"] is None:
        plain["messages"] = _conversation(plain["calls"])
    else:
        plain["messages"] = [tuple(each) for each in plain["messages"]]
    return ProgramState(**plain)


def _conversation(calls: dict[int, CallRecord]) -> list[tuple[str, str]]:
    """Return the messages that the finished model calls add up to."""
    messages: list[tuple[str, str]] = []
    for number in sorted(calls):
        call = calls[number]
        if call.call_kind is CallKind.MODEL and call.status is CallStatus.DONE:
            messages += [*call.messages, ("assistant", call.answer)]
    return messages


def _unpack_call(values: list[Any]) -> CallRecord:
    call = CallRecord(*values)
    call.call_kind = CallKind(call.call_kind)
    call.status = CallStatus(call.status)
    call.messages = tuple(tuple(each) for each in call.messages)
    return call
