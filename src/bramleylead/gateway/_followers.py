"""Takes the configuration and the list of replicas from the platform's store into a directory."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

import structlog

from bramleylead.gateway._directory import Directory
from bramleylead.gateway._types import Replica
from bramleylead.platform import _names as names
from bramleylead.platform._decode import UnreadableError
from bramleylead.platform._decode import read_configuration
from bramleylead.platform._decode import read_replica
from bramleylead.platform._objects import ObjectChange
from bramleylead.platform._objects import PlatformObject

log = structlog.get_logger()


@final
class ConfigurationFollower:
    """Puts each new configuration in force."""

    kind = names.CONFIGURATION_KIND

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def take_all(self, objects: Sequence[PlatformObject], *, as_of: int) -> None:
        """Take in the whole list."""
        for found in objects:
            self._take(found)

    def take(self, changes: Sequence[ObjectChange], *, as_of: int) -> None:
        """Take in changes in their order."""
        for change in changes:
            if not change.removed:
                self._take(change.changed)

    def note_trouble(self) -> None:
        """Take in that the store did not answer."""
        self._directory.note_trouble()

    def _take(self, found: PlatformObject) -> None:
        if found.name != names.CONFIGURATION_NAME:
            return
        try:
            configuration = read_configuration(found.value)
        except UnreadableError as error:
            log.error("configuration_unreadable", revision=found.revision, reason=str(error))
            return
        self._directory.adopt(configuration, source=f"store at {found.revision}")


@final
class ReplicaFollower:
    """Keeps the list of replicas."""

    kind = names.REPLICA_KIND

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def take_all(self, objects: Sequence[PlatformObject], *, as_of: int) -> None:
        """Take in the whole list."""
        read = [self._read(found) for found in objects]
        self._directory.replace_all([replica for replica in read if replica is not None])

    def take(self, changes: Sequence[ObjectChange], *, as_of: int) -> None:
        """Take in changes in their order."""
        for change in changes:
            replica = None if change.removed else self._read(change.changed)
            if replica is not None:
                self._directory.put(replica)
            else:
                self._directory.remove(change.changed.name)

    def note_trouble(self) -> None:
        """Take in that the store did not answer."""
        self._directory.note_trouble()

    def _read(self, found: PlatformObject) -> Replica | None:
        try:
            return read_replica(found.name, found.value)
        except UnreadableError as error:
            log.warning("replica_unreadable", replica=found.name, reason=str(error))
            return None
