"""Recognises a request that comes again under another id, whole or as part of a longer one."""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

from bramleylead.gateway._replica_connection import Headers

DIGEST_BYTES = 16
CALLER_HEADERS = ("host", "authorization")
"""Headers that belong to the target of a request or to its caller, and not to one attempt."""
BEGINNING_BYTES = 256


class Fingerprint(NamedTuple):
    """Digests of a request's target, caller and body, without what differs by attempt.

    :param whole: of the whole body that the caller sent, without the history that a gateway adds.
    :param beginning: of the first bytes of the body. A conversation that the caller sends whole
        with each turn begins alike every time.
    """

    whole: bytes
    beginning: bytes


def fingerprint_of(method: str, target: str, headers: Headers, body: bytes) -> Fingerprint:
    """Return the fingerprint of a request.

    :param headers: the caller's headers, names in lower case.
    """
    own = [value for name, value in headers if name in CALLER_HEADERS]
    context = "\n".join((method, target, *own)).encode("latin-1", "replace")
    return Fingerprint(
        _digest(b"whole", body, context),
        _digest(b"beginning", body[:BEGINNING_BYTES], context),
    )


def _digest(kind: bytes, body: bytes, context: bytes) -> bytes:
    digest = blake2b(body, digest_size=DIGEST_BYTES, person=kind)
    digest.update(b"\n" + context)
    return digest.digest()
