"""How product code gets the client of an endpoint, with client kinds registered by decorator."""

from __future__ import annotations

from typing import Protocol

from bramleylead.backends._types import Engine
from bramleylead.backends._types import Service
from bramleylead.version import Endpoint


class BackendFactory(Protocol):
    """Makes the client of an endpoint; asking twice for the same one gives the same client."""

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
