"""The interface through which the rest of the package gets the client of an endpoint."""

from __future__ import annotations

from typing import Protocol

from bramleylead.backends._types import Engine
from bramleylead.backends._types import Service
from bramleylead.version import Endpoint


class BackendFactory(Protocol):
    """Creates clients of endpoints; the same endpoint always gets the same client."""

    def engine(self, name: str, endpoint: Endpoint) -> Engine:
        """Return the client of a model engine.

        :raises ValueError: if the endpoint is not an engine.
        """
        ...

    def service(self, name: str, endpoint: Endpoint) -> Service:
        """Return the client of a plain service.

        :raises ValueError: if the endpoint is not a plain service.
        """
        ...
