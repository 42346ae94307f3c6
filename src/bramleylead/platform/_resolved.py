"""Conditional writes that find out their outcome if the reply is lost.

A reply can be lost after the write took effect. Each write therefore carries its writer's name and
a new token, and an unknown outcome is resolved by reading the object. All attempts of one write
have the same version condition, so at most one of them takes effect, however late they arrive.
"""

from __future__ import annotations

import secrets
from typing import NamedTuple

import anyio
import msgpack
from result import Err
from result import Ok
from result import Result

from bramleylead.platform._store import ObjectStore
from bramleylead.platform._store import StoredObject
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind

ATTEMPTS = 4
RETRY_DELAY_S = 0.1
TOKEN_BYTES = 8

_NO_ANSWER = (StoreErrorKind.UNKNOWN, StoreErrorKind.UNAVAILABLE)


class Stamped(NamedTuple):
    """A value stored by :func:`write_resolved`: the body, its writer and the write's token."""

    writer: str
    token: str
    body: bytes

    def pack(self) -> bytes:
        """Return the value to store."""
        return msgpack.packb(list(self))

    @classmethod
    def parse(cls, value: bytes) -> Stamped:
        """Read a stored value.

        :raises ValueError: if :func:`write_resolved` did not write it.
        """
        try:
            writer, token, body = msgpack.unpackb(value)
        except (TypeError, ValueError, msgpack.UnpackException) as error:
            raise ValueError(f"not a stamped value: {error}") from error
        if not isinstance(writer, str) or not isinstance(token, str) or type(body) is not bytes:
            raise ValueError("not a stamped value: fields must be text, text, bytes")
        return cls(writer, token, body)


async def write_resolved(
    store: ObjectStore,
    key: str,
    body: bytes,
    *,
    expected: int,
    writer: str,
    timeout_s: float = 2.0,
    attempts: int = ATTEMPTS,
) -> Result[int, StoreError]:
    """Write a stamped body if the object's version is ``expected``; return the new version.

    ``CONFLICT`` and ``UNAVAILABLE`` mean that this write did not and will not take effect;
    ``UNKNOWN`` that it may have, or may still while the version is ``expected``.

    :raises ValueError: if ``expected`` is not a version; unconditional writes can't be resolved.
    """
    if expected < 0:
        raise ValueError(f"{key}: expected must be a version, not {expected}")
    write = _Write(store, key, expected, Stamped(writer, new_token(), body), timeout_s)
    return await write.run(attempts)


def new_token() -> str:
    """Return a token that is unique to one write."""
    return secrets.token_hex(TOKEN_BYTES)


class _Write:
    """One write with all its attempts."""

    def __init__(
        self, store: ObjectStore, key: str, expected: int, stamped: Stamped, timeout_s: float
    ) -> None:
        self._store = store
        self._key = key
        self._expected = expected
        self._stamped = stamped
        self._timeout_s = timeout_s
        self._may_be_in_flight = False

    async def run(self, attempts: int) -> Result[int, StoreError]:
        value = self._stamped.pack()
        detail = ""
        for attempt in range(attempts):
            if attempt > 0:
                await anyio.sleep(RETRY_DELAY_S * attempt)
            written = await self._store.put(
                self._key, value, expected=self._expected, timeout_s=self._timeout_s
            )
            if isinstance(written, Ok):
                return written
            detail = written.err_value.detail
            if written.err_value.kind is StoreErrorKind.UNKNOWN:
                self._may_be_in_flight = True
            elif not self._may_be_in_flight:
                return written
            resolved = await self._resolve()
            if resolved is not None:
                return resolved
        return Err(StoreError(StoreErrorKind.UNKNOWN, f"{self._key}: unresolved: {detail}"))

    async def _resolve(self) -> Result[int, StoreError] | None:
        """Read the object to resolve the outcome; ``None`` if another attempt is needed."""
        read = await self._store.get(self._key, timeout_s=self._timeout_s)
        if isinstance(read, Ok):
            return self._outcome_from(read.ok_value)
        if read.err_value.kind in _NO_ANSWER or self._expected == 0:
            return None
        return self._unknown("the object has been deleted")

    def _outcome_from(self, found: StoredObject) -> Result[int, StoreError] | None:
        if self._is_ours(found):
            return Ok(found.version)
        if found.version == self._expected:
            return None
        if found.version == self._expected + 1:
            detail = f"{self._key}: another writer wrote version {found.version}"
            return Err(StoreError(StoreErrorKind.CONFLICT, detail))
        return self._unknown(f"version {found.version} is by another writer")

    def _is_ours(self, found: StoredObject) -> bool:
        try:
            stamped = Stamped.parse(found.value)
        except ValueError:
            return False
        return (stamped.writer, stamped.token) == (self._stamped.writer, self._stamped.token)

    def _unknown(self, reason: str) -> Err[StoreError]:
        return Err(StoreError(StoreErrorKind.UNKNOWN, f"{self._key}: unresolved: {reason}"))
