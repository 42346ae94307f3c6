"""The format of a segment file: records, each with its length and a checksum."""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from pathlib import Path

import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import MessageError
from bramleylead.connection import decode
from bramleylead.connection import encode
from bramleylead.ledger._records import KeptTurn
from bramleylead.ledger._records import Record
from bramleylead.ledger._records import Spending

HEADER_BYTES = 8

log = structlog.get_logger()


def frame_record(record: Record) -> bytes:
    """Return the bytes of a record in a segment."""
    body = encode(record)
    return len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body


def read_segment(path: Path) -> Iterator[Record]:
    """Yield the readable records of a file, up to the first one torn by a power loss."""
    data = path.read_bytes()
    offset = 0
    while offset + HEADER_BYTES <= len(data):
        length = int.from_bytes(data[offset : offset + 4], "big")
        checksum = int.from_bytes(data[offset + 4 : offset + 8], "big")
        body = data[offset + HEADER_BYTES : offset + HEADER_BYTES + length]
        # Zeros are what a torn write may leave; their checksum is right.
        if not length or len(body) < length or zlib.crc32(body) != checksum:
            break
        record = _decode_record(body)
        if isinstance(record, Err):
            log.error("record_unreadable", file=path.name, at=offset, reason=record.err_value)
        else:
            yield record.ok_value
        offset += HEADER_BYTES + length
    if offset < len(data):
        log.warning("segment_torn", file=path.name, whole_bytes=offset, bytes=len(data))


def _decode_record(body: bytes) -> Result[Record, str]:
    try:
        record = decode(body)
    except MessageError as error:
        return Err(str(error))
    if isinstance(record, KeptTurn | Spending):
        return Ok(record)
    return Err(f"a {type(record).__name__}")
