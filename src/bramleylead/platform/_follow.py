"""Follows a kind of objects in the platform's store: lists them once, then watches."""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.platform._objects import ObjectChange
from bramleylead.platform._objects import PlatformObject
from bramleylead.platform._objects import PlatformStore
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind

WATCH_S = 25.0
FIRST_PAUSE_S = 0.15
LONGEST_PAUSE_S = 0.8

log = structlog.get_logger()


class Follower(Protocol):
    """Takes in the objects of one kind."""

    kind: str

    def take_all(self, objects: Sequence[PlatformObject]) -> None:
        """Take in the whole list."""
        ...

    def take(self, change: ObjectChange) -> None:
        """Take in one change."""
        ...


class _Pause:
    """How long to wait before the next call after failures in a row."""

    def __init__(self) -> None:
        self._failures = 0

    def clear(self) -> None:
        self._failures = 0

    async def wait(self) -> None:
        longest_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self._failures)
        self._failures += 1
        await anyio.sleep(longest_s * random.uniform(0.5, 1.0))


async def follow(store: PlatformStore, follower: Follower, on_trouble: Callable[[], None]) -> None:
    """Keep a follower up to date until cancelled.

    :param on_trouble: called whenever the store does not answer.
    """
    pause = _Pause()
    revision: int | None = None
    is_lost = False
    while True:
        if revision is None:
            step = await _list(store, follower)
        else:
            step = await _watch(store, follower, revision)
        if isinstance(step, Ok):
            if is_lost:
                log.info("store_regained", kind=follower.kind, revision=step.ok_value)
            is_lost = False
            revision = step.ok_value
            pause.clear()
            continue
        error = step.err_value
        if error.kind is StoreErrorKind.NOT_FOUND and revision is not None:
            log.info("history_gone", kind=follower.kind, revision=revision)
            revision = None
            continue
        on_trouble()
        if not is_lost:
            log.warning("store_lost", kind=follower.kind, revision=revision, reason=error.detail)
        is_lost = True
        await pause.wait()


async def _list(store: PlatformStore, follower: Follower) -> Result[int, StoreError]:
    objects: list[PlatformObject] = []
    after = ""
    while True:
        listed = await store.list(follower.kind, after=after)
        if isinstance(listed, Err):
            return listed
        page = listed.ok_value
        objects += page.objects
        if not page.more or not page.objects:
            follower.take_all(objects)
            return Ok(page.as_of)
        after = page.objects[-1].name


async def _watch(
    store: PlatformStore, follower: Follower, revision: int
) -> Result[int, StoreError]:
    watched = await store.watch(follower.kind, after=revision, wait_s=WATCH_S)
    if isinstance(watched, Err):
        return watched
    for change in watched.ok_value.changes:
        follower.take(change)
    return Ok(watched.ok_value.as_of)
