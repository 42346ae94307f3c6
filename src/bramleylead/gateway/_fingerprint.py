"""Identifies requests that are the same but for their ids, as when a caller sends one again."""

from __future__ import annotations

from hashlib import blake2b

from bramleylead.gateway._upstream import Headers

FINGERPRINT_BYTES = 16
CALLER_HEADERS = ("host", "authorization")
"""Headers that belong to the target of a request or to its caller, and not to one attempt."""


def fingerprint_of(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Return a digest of a request's target, caller and body, without what differs by attempt.

    :param headers: the caller's headers, names in lower case.
    :param body: the caller's body; a turn's history, which the gateway adds, is not part of it.
    """
    digest = blake2b(body, digest_size=FINGERPRINT_BYTES)
    own = [value for name, value in headers if name in CALLER_HEADERS]
    for text in (method, target, *own):
        digest.update(b"\n" + text.encode("latin-1", "replace"))
    return digest.digest()
