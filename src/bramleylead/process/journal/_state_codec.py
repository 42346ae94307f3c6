"""Serialization of a partition's state, and digests that both copies must agree on.

A conversation normally consists of the messages of its finished model calls. The packed state then
omits it, and unpacking rebuilds it from the calls, so that the conversation and the calls share
their texts as they do in the owner's state.
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
    """Return the journal entry that :func:`pack_entry` packed."""
    return decode(data)


def extend_digest(digest: int, packed: bytes) -> int:
    """Return the digest of a journal after appending one packed entry."""
    return xxhash.xxh64_intdigest(packed, seed=digest)


def pack_state(state: PartitionState) -> bytes:
    """Return a state as bytes; equal states give equal bytes."""
    programs = [_pack_program(state.programs[name]) for name in sorted(state.programs)]
    grants = [[name, *_field_values(state.grants[name])] for name in sorted(state.grants)]
    return msgpack.packb([state.incarnation, programs, grants])


def unpack_state(data: bytes) -> PartitionState:
    """Return the state that :func:`pack_state` packed."""
    incarnation, programs, grants = msgpack.unpackb(data, strict_map_key=False)
    state = PartitionState()
    state.incarnation = incarnation
    for program_fields in programs:
        program = _unpack_program(program_fields)
        state.programs[program.program] = program
    for name, *values in grants:
        state.grants[name] = GrantState(*values)
    return state


def state_digest(packed: bytes) -> int:
    """Return the digest of a packed state."""
    return xxhash.xxh64_intdigest(packed)


def _field_values(item: Any) -> list[Any]:
    return [getattr(item, each.name) for each in fields(item)]


def _pack_program(program: ProgramState) -> dict[str, Any]:
    program_fields = {each.name: getattr(program, each.name) for each in fields(program)}
    program_fields["calls"] = [
        _field_values(program.calls[number]) for number in sorted(program.calls)
    ]
    program_fields["caches"] = sorted(program.caches.items())
    if _conversation_messages(program.calls) == program.messages:
        program_fields["messages"] = None
    return program_fields


def _unpack_program(program_fields: dict[str, Any]) -> ProgramState:
    calls = [_unpack_call(values) for values in program_fields["calls"]]
    program_fields["calls"] = {call.number: call for call in calls}
    program_fields["caches"] = dict(program_fields["caches"])
    if program_fields["messages"] is None:
        program_fields["messages"] = _conversation_messages(program_fields["calls"])
    else:
        program_fields["messages"] = [tuple(each) for each in program_fields["messages"]]
    return ProgramState(**program_fields)


def _conversation_messages(calls: dict[int, CallRecord]) -> list[tuple[str, str]]:
    """Return the messages of the finished model calls, in order."""
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
