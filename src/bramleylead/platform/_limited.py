"""Limits the rate of one node's calls of the object API, and counts them by kind."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import TypeVar
from typing import final

import anyio
from aioprometheus import Counter
from aioprometheus import Registry
from result import Err
from result import Result

from bramleylead.platform._store import ANY_VERSION
from bramleylead.platform._store import ObjectStore
from bramleylead.platform._store import StoredObject
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind
from bramleylead.platform._store import VmEntry
from bramleylead.platform._store import WatchPage

BURST_S = 1.0
MIN_TIMEOUT_S = 0.001

_T = TypeVar("_T")


@final
class LimitedStore:
    """An object store behind a rate limit.

    Every call counts as one, also a watch, however long it waits. A call that would have to wait
    longer than its timeout is not sent.

    :param calls_per_s: the sustained rate; bursts of up to one second's calls are not delayed.
    :ivar calls: calls sent so far, by kind.
    """

    def __init__(
        self, inner: ObjectStore, *, calls_per_s: float, registry: Registry | None = None
    ) -> None:
        self._inner = inner
        self._interval_s = 1 / calls_per_s
        self._burst_s = max(BURST_S, self._interval_s)
        self._bucket_full_at_s = float("-inf")
        self.calls: dict[str, int] = {}
        self.errors: dict[StoreErrorKind, int] = {}
        self.held_back = 0
        registry = Registry() if registry is None else registry
        self._calls_counter = Counter(
            "bramleylead_store_sent_total", "Calls of the object API by kind.", registry=registry
        )
        self._errors_counter = Counter(
            "bramleylead_store_errors_total", "Failed calls by kind of error.", registry=registry
        )
        self._held_back_counter = Counter(
            "bramleylead_store_held_back_total", "Calls over the rate, not sent.", registry=registry
        )

    async def get(self, key: str, *, timeout_s: float = 2.0) -> Result[StoredObject, StoreError]:
        """Read one object."""
        return await self._call("get", timeout_s, lambda t: self._inner.get(key, timeout_s=t))

    async def put(
        self, key: str, value: bytes, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[int, StoreError]:
        """Write one object if its version is ``expected``."""
        return await self._call(
            "put",
            timeout_s,
            lambda t: self._inner.put(key, value, expected=expected, timeout_s=t),
        )

    async def delete(
        self, key: str, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[None, StoreError]:
        """Delete one object if its version is ``expected``."""
        return await self._call(
            "delete", timeout_s, lambda t: self._inner.delete(key, expected=expected, timeout_s=t)
        )

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 500, timeout_s: float = 2.0
    ) -> Result[Sequence[StoredObject], StoreError]:
        """Read up to ``limit`` objects under ``prefix``."""
        return await self._call(
            "list",
            timeout_s,
            lambda t: self._inner.list(prefix, after=after, limit=limit, timeout_s=t),
        )

    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> Result[WatchPage, StoreError]:
        """Wait for changes under ``prefix``."""
        return await self._call(
            "watch",
            timeout_s,
            lambda t: self._inner.watch(prefix, after_revision=after_revision, timeout_s=t),
        )

    async def vms(self, *, timeout_s: float = 2.0) -> Result[Sequence[VmEntry], StoreError]:
        """Read the platform's list of VMs."""
        return await self._call("vms", timeout_s, lambda t: self._inner.vms(timeout_s=t))

    async def _call(
        self,
        kind: str,
        timeout_s: float,
        send: Callable[[float], Awaitable[Result[_T, StoreError]]],
    ) -> Result[_T, StoreError]:
        wait_s = self._take_token(timeout_s)
        if wait_s is None:
            self.held_back += 1
            self._held_back_counter.inc({"kind": kind})
            detail = (
                f"{kind}: over {1 / self._interval_s:g} calls/s, not sent within {timeout_s:g} s"
            )
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, detail))
        if wait_s > 0:
            await anyio.sleep(wait_s)
        self.calls[kind] = self.calls.get(kind, 0) + 1
        self._calls_counter.inc({"kind": kind})
        answer = await send(max(MIN_TIMEOUT_S, timeout_s - max(0.0, wait_s)))
        if isinstance(answer, Err):
            error = answer.err_value.kind
            self.errors[error] = self.errors.get(error, 0) + 1
            self._errors_counter.inc({"kind": kind, "error": error.value})
        return answer

    def _take_token(self, timeout_s: float) -> float | None:
        """Take a token from the bucket and return the wait for it; ``None`` if that is too long."""
        now = anyio.current_time()
        bucket_full_at_s = max(self._bucket_full_at_s, now) + self._interval_s
        wait_s = bucket_full_at_s - now - self._burst_s
        if wait_s >= timeout_s:
            return None
        self._bucket_full_at_s = bucket_full_at_s
        return wait_s
