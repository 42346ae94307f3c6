"""Applies the configuration and the list of replicas from the platform's store to a directory."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

import structlog

from bramleylead.gateway._directory import Directory
from bramleylead.platform import _names as names
from bramleylead.platform._decode import UnreadableError
from bramleylead.platform._decode import read_configuration
from bramleylead.platform._decode import read_replica
from bramleylead.platform._objects import ObjectChange
from bramleylead.platform._objects import PlatformObject
from bramleylead.platform._types import Replica

log = structlog.get_logger()


@final
class ConfigurationFollower:
    """Puts each newer configuration in force."""

    kind = names.CONFIGURATION_KIND

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def replace_all(self, objects: Sequence[PlatformObject], *, as_of: int) -> None:
        """Apply the full list."""
        for stored in objects:
            self._apply(stored)

    def apply_changes(self, changes: Sequence[ObjectChange], *, as_of: int) -> None:
        """Apply changes in order."""
        for change in changes:
            if not change.removed:
                self._apply(change.object)

    def note_failure(self) -> None:
        """Record that the store did not answer."""
        self._directory.record_store_failure()

    def _apply(self, stored: PlatformObject) -> None:
        if stored.name != names.CONFIGURATION_NAME:
            return
        try:
            configuration = read_configuration(stored.value)
        except UnreadableError as error:
            log.error("configuration_unreadable", revision=stored.revision, reason=str(error))
            return
        self._directory.apply_configuration(configuration, source=f"store at {stored.revision}")


@final
class ReplicaFollower:
    """Keeps the list of replicas up to date."""

    kind = names.REPLICA_KIND

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def replace_all(self, objects: Sequence[PlatformObject], *, as_of: int) -> None:
        """Apply the full list."""
        parsed = [self._parse(stored) for stored in objects]
        self._directory.replace_replicas([replica for replica in parsed if replica is not None])

    def apply_changes(self, changes: Sequence[ObjectChange], *, as_of: int) -> None:
        """Apply changes in order."""
        for change in changes:
            replica = None if change.removed else self._parse(change.object)
            if replica is not None:
                self._directory.put_replica(replica)
            else:
                self._directory.remove_replica(change.object.name)

    def note_failure(self) -> None:
        """Record that the store did not answer."""
        self._directory.record_store_failure()

    def _parse(self, stored: PlatformObject) -> Replica | None:
        try:
            return read_replica(stored.name, stored.value)
        except UnreadableError as error:
            log.warning("replica_unreadable", replica=stored.name, reason=str(error))
            return None
