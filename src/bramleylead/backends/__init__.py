"""Typed clients for model engines and plain services."""

from __future__ import annotations

from bramleylead.backends._factory import BackendFactory
from bramleylead.backends._http_engine import HttpEngine
from bramleylead.backends._http_service import HttpService
from bramleylead.backends._open import HttpBackends
from bramleylead.backends._open import backend_kind
from bramleylead.backends._types import BackendError
from bramleylead.backends._types import BackendErrorKind
from bramleylead.backends._types import CacheEvent
from bramleylead.backends._types import CachePage
from bramleylead.backends._types import Engine
from bramleylead.backends._types import EngineChunk
from bramleylead.backends._types import GenerateCall
from bramleylead.backends._types import LoadReport
from bramleylead.backends._types import Message
from bramleylead.backends._types import Order
from bramleylead.backends._types import OrderKind
from bramleylead.backends._types import Service
from bramleylead.backends._types import ServiceCall

__all__ = [
    "BackendError",
    "BackendErrorKind",
    "BackendFactory",
    "CacheEvent",
    "CachePage",
    "Engine",
    "EngineChunk",
    "GenerateCall",
    "HttpBackends",
    "HttpEngine",
    "HttpService",
    "LoadReport",
    "Message",
    "Order",
    "OrderKind",
    "Service",
    "ServiceCall",
    "backend_kind",
]
