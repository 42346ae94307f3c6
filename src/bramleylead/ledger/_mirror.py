"""What a node of the ledger has seen of the platform's store, for the gateways.

A watch of the store is priced, and each change wakes every watcher. So the few nodes of the ledger
watch it, and the many gateways ask them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import final

import anyio

from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.connection import message
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.platform._objects import ObjectChange
from bramleylead.platform._objects import PlatformObject

NOTHING_SEEN = -1
LOST_AFTER_S = 0.6
"""A single call that failed is no reason for the gateways to turn elsewhere."""
HISTORY_CHANGES = 2_000


@message(179)
class AskMirror(NamedTuple):
    """Asks for the changes of a kind of objects; answered by :class:`Mirrored`.

    :param seen: the store's revision up to which the asker knows the objects, or
        ``NOTHING_SEEN``. It may be beyond the last change that the node was told of.
    :param whole: asks for all objects instead of the changes.
    :param wait_s: how long the answer may wait for a change.
    """

    kind: str
    seen: int
    whole: bool
    wait_s: float


@message(180)
class MirroredObject(NamedTuple):
    """One object as the store had it, or, if ``removed``, as it was before it went."""

    name: str
    value: Any
    status: Any
    revision: int
    deleting: bool
    removed: bool


@message(181)
class Mirrored(NamedTuple):
    """Changes of a kind of objects in their order, or all its objects if ``whole``.

    :param as_of: the store's revision of the last answer that the node got.
    :param trouble_s: for how long the node's calls to the store have gone well; negative if none
        has failed.
    """

    whole: bool
    objects: tuple[MirroredObject, ...]
    as_of: int
    trouble_s: float


class _Change(NamedTuple):
    """A change, and the revision as of which the store told it."""

    change: ObjectChange
    as_of: int


@final
class MirroredKind:
    """The objects of one kind, and their latest changes."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._objects: dict[str, PlatformObject] = {}
        self._changes: deque[_Change] = deque(maxlen=HISTORY_CHANGES)
        self._as_of = NOTHING_SEEN
        self._history_from = NOTHING_SEEN
        self._failing_since: float | None = None
        self._trouble_at: float | None = None
        self._news = anyio.Event()

    @property
    def is_current(self) -> bool:
        """Whether the objects were read, and the store has answered lately."""
        if self._as_of == NOTHING_SEEN:
            return False
        since = self._failing_since
        return since is None or anyio.current_time() - since < LOST_AFTER_S

    def take_all(self, objects: Sequence[PlatformObject], *, as_of: int) -> None:
        """Take in the whole list; changes from before it are not known."""
        self._objects = {found.name: found for found in objects}
        self._changes.clear()
        self._history_from = as_of
        self._note_answer(as_of)

    def take(self, changes: Sequence[ObjectChange], *, as_of: int) -> None:
        """Take in changes."""
        for change in changes:
            self._take(change, as_of)
        self._note_answer(as_of)

    def note_trouble(self) -> None:
        """Take in that a call to the store failed."""
        now = anyio.current_time()
        self._trouble_at = now
        if self._failing_since is None:
            self._failing_since = now
        self._tell()

    async def answer(self, request: AskMirror) -> Mirrored | Failure:
        """Return what has changed since a revision, once there is something."""
        with anyio.move_on_after(request.wait_s):
            while self.is_current and not self._has_news(request):
                await self._news.wait()
        whole = request.whole or request.seen < self._history_from
        if not self.is_current or (whole and self._as_of < request.seen):
            detail = f"{self.kind}: known as of {self._as_of}, asked for {request.seen}"
            return Failure(ErrorKind.NOT_CURRENT, detail)
        told = self._whole() if whole else self._since(request.seen)
        return Mirrored(whole, tuple(told), self._as_of, self._trouble_s())

    def _has_news(self, request: AskMirror) -> bool:
        if request.whole:
            return self._as_of >= request.seen
        if request.seen < self._history_from:
            return True
        return bool(self._changes) and self._changes[-1].as_of > request.seen

    def _whole(self) -> Iterable[MirroredObject]:
        return (_mirrored(found, removed=False) for found in self._objects.values())

    def _since(self, revision: int) -> Iterable[MirroredObject]:
        return (
            _mirrored(told.change.changed, removed=told.change.removed)
            for told in self._changes
            if told.as_of > revision
        )

    def _take(self, change: ObjectChange, as_of: int) -> None:
        if len(self._changes) == HISTORY_CHANGES:
            self._history_from = self._changes[0].as_of
        self._changes.append(_Change(change, as_of))
        if change.removed:
            self._objects.pop(change.changed.name, None)
        else:
            self._objects[change.changed.name] = change.changed

    def _note_answer(self, as_of: int) -> None:
        self._as_of = as_of
        self._failing_since = None
        self._tell()

    def _trouble_s(self) -> float:
        return -1.0 if self._trouble_at is None else anyio.current_time() - self._trouble_at

    def _tell(self) -> None:
        self._news.set()
        self._news = anyio.Event()


@final
class Mirror:
    """Serves some kinds of objects to gateways."""

    def __init__(self, kinds: Iterable[str]) -> None:
        self.kinds = {kind: MirroredKind(kind) for kind in kinds}

    def serve_on(self, server: PeerServer) -> None:
        """Register the handler of the gateways' question."""
        server.handle(AskMirror, self._ask)

    async def _ask(self, request: AskMirror, reply: Reply) -> None:
        mirrored = self.kinds.get(request.kind)
        if mirrored is None:
            detail = f"kind {request.kind!r} is not read here, only {sorted(self.kinds)}"
            await reply.fail(Failure(ErrorKind.MALFORMED, detail))
            return
        answer = await mirrored.answer(request)
        if isinstance(answer, Failure):
            await reply.fail(answer)
        else:
            await reply.send(answer)


def _mirrored(found: PlatformObject, *, removed: bool) -> MirroredObject:
    return MirroredObject(*found, removed)


def unmirrored(found: MirroredObject) -> ObjectChange:
    """Return the change of an object that a node told of."""
    *fields, removed = found
    return ObjectChange(PlatformObject(*fields), removed)
