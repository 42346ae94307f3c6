"""What may be left of a folder after a power loss, at each step of what was done in it."""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import ExitStack
from itertools import compress
from itertools import product
from pathlib import Path
from types import TracebackType
from typing import Any
from typing import NamedTuple
from typing import Self
from unittest import mock


class _NameChange(NamedTuple):
    """A file's name that is not synced yet: it is now ``name``, or gone."""

    name: str | None
    former_name: str | None
    file: int


class _File:
    def __init__(self, content: bytes = b"") -> None:
        self.synced = content
        self.written = content

    def contents(self) -> list[bytes]:
        """Return what may be read after a power loss: later writes are lost, kept or torn."""
        torn = self.written[: (len(self.synced) + len(self.written)) // 2]
        return list(dict.fromkeys((self.synced, self.written, torn)))


class RecordedFolder:
    """Watches the calls that change a folder, and keeps what survives without power.

    Each name that was created, renamed or removed since the folder's last sync is kept or lost
    independently, that of a synced file as well.

    :param acknowledged: what the test has been told to survive from now on.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.acknowledged: Any = None
        self._remains: dict[Any, None] = {}
        self._files: dict[int, _File] = {}
        self._durable: dict[str, int] = {}
        self._changes: list[_NameChange] = []
        self._handles: dict[int, int | None] = {}
        self._patches = ExitStack()
        for path in folder.iterdir():
            file = self._durable[path.name] = len(self._files)
            self._files[file] = _File(path.read_bytes())
        self._names = dict(self._durable)

    def __enter__(self) -> Self:
        for owner, name, watch in (
            (os, "open", self._opened),
            (os, "write", self._wrote),
            (os, "fsync", self._synced),
            (os, "fdatasync", self._synced),
            (Path, "rename", self._renamed),
            (Path, "unlink", self._unlinked),
        ):
            watched = self._watched(getattr(owner, name), watch)
            self._patches.enter_context(mock.patch.object(owner, name, watched))
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._patches.close()

    def remains(self) -> Iterator[tuple[Any, dict[str, bytes]]]:
        """Yield what was acknowledged at a step, and the files that may be left of it."""
        for acknowledged, files in self._remains:
            yield acknowledged, dict(files)

    def _watched(self, call: Any, watch: Any) -> Any:
        def called(*arguments: Any, **options: Any) -> Any:
            result = call(*arguments, **options)
            watch(result, *arguments)
            self._fail_power()
            return result

        return called

    def _fail_power(self) -> None:
        """Note each folder that may be left if the power fails now."""
        for kept in product((False, True), repeat=len(self._changes)):
            names = dict(self._durable)
            for change in compress(self._changes, kept):
                _apply(change, names)
            contents = [self._files[file].contents() for file in names.values()]
            for chosen in product(*contents):
                files = frozenset(zip(names, chosen, strict=True))
                self._remains[self.acknowledged, files] = None

    def _opened(self, handle: int, path: Any, flags: int, *rest: Any) -> None:
        name = Path(path).name
        if Path(path) == self.folder:
            self._handles[handle] = None
            return
        if not flags & os.O_CREAT or Path(path).parent != self.folder:
            return
        if name not in self._names:
            file = len(self._files)
            self._files[file] = _File()
            self._change(_NameChange(name, None, file))
        self._handles[handle] = self._names[name]
        if flags & os.O_TRUNC:
            self._files[self._names[name]].written = b""

    def _wrote(self, count: int, handle: int, data: Any) -> None:
        file = self._handles.get(handle)
        if file is not None:
            self._files[file].written += bytes(data[:count])

    def _synced(self, result: None, handle: int) -> None:
        if handle not in self._handles:
            return
        file = self._handles[handle]
        if file is None:
            self._durable = dict(self._names)
            self._changes.clear()
        else:
            self._files[file].synced = self._files[file].written

    def _renamed(self, result: Any, path: Path, target: Path) -> None:
        self._change(_NameChange(Path(target).name, path.name, self._names[path.name]))

    def _unlinked(self, result: None, path: Path) -> None:
        if path.name in self._names:
            self._change(_NameChange(None, path.name, self._names[path.name]))

    def _change(self, change: _NameChange) -> None:
        self._changes.append(change)
        _apply(change, self._names)


def _apply(change: _NameChange, names: dict[str, int]) -> None:
    if change.former_name is not None:
        names.pop(change.former_name, None)
    if change.name is not None:
        names[change.name] = change.file
