"""The format of a segment file: records, each with its length and a checksum."""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from pathlib import Path

import structlog

from bramleylead.connection import MessageError
from bramleylead.connection import decode
from bramleylead.connection import encode
from bramleylead.ledger._records import Record

HEADER_BYTES = 8

log = structlog.get_logger()


def frame_record(record: Record) -> bytes:
    """Return the bytes of a record in a segment."""
    body = encode(record)
    return len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body


def read_segment(path: Path) -> Iterator[Record]:
    """Yield the intact records of a file, up to the first one torn by a power loss."""
    data = path.read_bytes()
    offset = 0
    while offset + HEADER_BYTES <= len(data):
        length = int.from_bytes(data[offset : offset + 4], "big")
        checksum = int.from_bytes(data[offset + 4 : offset + 8], "big")
        body = data[offset + HEADER_BYTES : offset + HEADER_BYTES + length]
        if len(body) < length or zlib.crc32(body) != checksum:
            break
        try:
            yield decode(body)
        except MessageError as error:
            log.error("record_unreadable", file=path.name, at=offset, reason=str(error))
            break
        offset += HEADER_BYTES + length
    if offset < len(data):
        log.warning("segment_torn", file=path.name, whole_bytes=offset, bytes=len(data))
