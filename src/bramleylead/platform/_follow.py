"""Keeps a follower up to date with a kind of objects: lists them once, then watches them."""

from __future__ import annotations

import random
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Protocol
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.platform._objects import ChangePage
from bramleylead.platform._objects import ObjectChange
from bramleylead.platform._objects import ObjectPage
from bramleylead.platform._objects import PlatformObject
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind

WATCH_TIMEOUT_S = 15.0
"""Bounds how long a watch that died without a visible error goes unnoticed."""
COALESCE_DELAY_S = 0.4
"""Delay before the next watch after a change, so that one call returns several changes in a row."""
INITIAL_BACKOFF_S = 0.15
MAX_BACKOFF_S = 0.8

log = structlog.get_logger()


class ObjectSource(Protocol):
    """A source of objects: the platform's store, or nodes that mirror it."""

    async def list(self, kind: str, *, after: str = "") -> Result[ObjectPage, StoreError]:
        """Read a page of the objects of a kind, those after a name."""
        ...

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ChangePage, StoreError]:
        """Wait for changes of a kind after a revision; ``NOT_FOUND`` if they are not all known."""
        ...


class ConfirmingSource(ObjectSource, Protocol):
    """A source that knows up to which time it has reported every change."""

    def confirmed_at(self, kind: str) -> float:
        """Return the event loop's time up to which all changes of a kind were reported.

        ``-inf`` if the kind has not been read yet.
        """
        ...


class Follower(Protocol):
    """Maintains state that is derived from the objects of one kind."""

    kind: str

    def replace_all(self, objects: Sequence[PlatformObject], *, as_of: int) -> None:
        """Replace the state by the complete list as of a revision."""
        ...

    def apply_changes(self, changes: Sequence[ObjectChange], *, as_of: int) -> None:
        """Apply the changes up to a revision, in order; there may be none."""
        ...

    def note_failure(self) -> None:
        """Record that a call failed, so that the state is stale until the next list or changes."""
        ...


def object_ages(source: ConfirmingSource, kinds: Iterable[str]) -> dict[str, float]:
    """Return metrics that give, for each kind that was read, the age of what is known in s."""
    now = anyio.current_time()
    ages = {kind: now - source.confirmed_at(kind) for kind in kinds}
    return {f"{kind}_age_s": round(age, 3) for kind, age in ages.items() if age < float("inf")}


@final
class SharedFollower:
    """Passes everything about one kind to several followers, so that it is read only once."""

    def __init__(self, *followers: Follower) -> None:
        self.kind = followers[0].kind
        self._followers = followers

    def replace_all(self, objects: Sequence[PlatformObject], *, as_of: int) -> None:
        """Pass on the complete list."""
        for follower in self._followers:
            follower.replace_all(objects, as_of=as_of)

    def apply_changes(self, changes: Sequence[ObjectChange], *, as_of: int) -> None:
        """Pass on changes."""
        for follower in self._followers:
            follower.apply_changes(changes, as_of=as_of)

    def note_failure(self) -> None:
        """Pass on a failure."""
        for follower in self._followers:
            follower.note_failure()


class _Backoff:
    """Exponential backoff with jitter after consecutive failures."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        self._failures = 0

    async def wait(self) -> None:
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self._failures)
        self._failures += 1
        await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))


async def follow(source: ObjectSource, follower: Follower, rng: random.Random) -> None:
    """Keep a follower up to date until cancelled.

    :param rng: spreads the repetitions of calls that fail.
    """
    backoff = _Backoff(rng)
    revision: int | None = None
    is_failing = False
    while True:
        if revision is None:
            outcome = await _list(source, follower)
        else:
            outcome = await _watch(source, follower, revision)
        if isinstance(outcome, Ok):
            if is_failing:
                log.info("store_regained", kind=follower.kind, revision=outcome.ok_value)
            is_failing = False
            revision = outcome.ok_value
            backoff.reset()
            continue
        error = outcome.err_value
        if error.kind is StoreErrorKind.NOT_FOUND and revision is not None:
            log.info("history_gone", kind=follower.kind, revision=revision)
            revision = None
            continue
        follower.note_failure()
        if not is_failing:
            log.warning("store_lost", kind=follower.kind, revision=revision, reason=error.detail)
        is_failing = True
        await backoff.wait()


async def _list(source: ObjectSource, follower: Follower) -> Result[int, StoreError]:
    """List all objects, and return the revision from which to watch for changes.

    That is the revision of the first page: an object of it may change while the others are read.
    Changes that a later page shows already are then applied once more, which has no effect.
    """
    objects: dict[str, PlatformObject] = {}
    as_of: int | None = None
    after = ""
    while True:
        listed = await source.list(follower.kind, after=after)
        if isinstance(listed, Err):
            return listed
        page = listed.ok_value
        known = len(objects)
        objects.update((found.name, found) for found in page.objects)
        as_of = page.as_of if as_of is None else as_of
        if not page.more:
            follower.replace_all(list(objects.values()), as_of=as_of)
            return Ok(as_of)
        if len(objects) == known:
            detail = f"{follower.kind}: the page after {after!r} has no other name to continue from"
            return Err(StoreError(StoreErrorKind.UNKNOWN, detail))
        after = page.objects[-1].name


async def _watch(
    source: ObjectSource, follower: Follower, revision: int
) -> Result[int, StoreError]:
    watched = await source.watch(follower.kind, after=revision, wait_s=WATCH_TIMEOUT_S)
    if isinstance(watched, Err):
        return watched
    page = watched.ok_value
    follower.apply_changes(page.changes, as_of=page.as_of)
    if page.changes:
        await anyio.sleep(COALESCE_DELAY_S)
    return Ok(page.as_of)
