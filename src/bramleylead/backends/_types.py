"""The typed interfaces of model engines and plain services."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from enum import StrEnum
from typing import Any
from typing import NamedTuple
from typing import Protocol

from result import Result


class BackendErrorKind(StrEnum):
    """How a call to an endpoint failed, by whether the endpoint may have run it."""

    NOT_SENT = "not_sent"
    """No byte of the call can have reached the endpoint."""
    REFUSED = "refused"
    """The endpoint answered that it did not run the call."""
    STALE_FENCE = "stale_fence"
    """The endpoint refused an old fencing number."""
    LOST = "lost"
    """The connection or the deadline ended after the call was sent: it may have run."""
    FAILED = "failed"
    """The endpoint answered that the call ran and failed."""


class BackendError(NamedTuple):
    """A failed call to an endpoint."""

    kind: BackendErrorKind
    detail: str
    retry_after_s: float = 0.0


class Message(NamedTuple):
    """One message of a conversation, as chat-completions clients send it."""

    role: str
    content: str


class GenerateCall(NamedTuple):
    """One model call as sent to an engine.

    :param call: ``program/number/attempt``, unique for each attempt; identifies the stream for
        cancel and resume.
    :param program: program to which the cached prefix belongs.
    :param messages: the whole conversation, oldest first.
    :param resume_from: tokens already received; the engine continues after them.
    :param fence: fencing number of the sender.
    """

    call: str
    program: str
    model: str
    messages: tuple[Message, ...]
    max_tokens: int
    fence: int
    resume_from: int = 0


class EngineChunk(NamedTuple):
    """A piece of generated text.

    :param tokens: number of tokens in ``text``.
    :param cached_tokens: prompt tokens found in the engine's cache (set on the first chunk).
    :param prompt_tokens: length of the prompt (set on the first chunk).
    :param finish: ``""`` while running, else ``"stop"`` or ``"length"``.
    """

    text: str
    tokens: int
    cached_tokens: int = 0
    prompt_tokens: int = 0
    finish: str = ""


class LoadReport(NamedTuple):
    """The load that an engine reports; ``age_s`` is the age of the report.

    :param running: calls in the batch.
    :param waiting: calls admitted but not started.
    :param kv_used_tokens: tokens held in cache memory, of ``kv_total_tokens``.
    """

    running: int
    waiting: int
    kv_used_tokens: int
    kv_total_tokens: int
    age_s: float


class CacheEvent(NamedTuple):
    """A program's prefix was stored or evicted; a gap in the sequence numbers means lost events.

    :param tokens: tokens of the program in the cache after the event; 0 if ``stored`` is false.
    """

    sequence: int
    program: str
    tokens: int
    stored: bool


class CachePage(NamedTuple):
    """Cache events since a sequence number, or the full cache contents if ``complete``.

    :param next_sequence: number of the next event; if it is lower than the one that the caller
        expects, the engine has restarted with an empty cache.
    """

    next_sequence: int
    events: tuple[CacheEvent, ...]
    complete: bool


class OrderKind(StrEnum):
    """Orders that an engine accepts."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


class Order(NamedTuple):
    """An order to an engine; some engines refuse an old ``fence``, others ignore it."""

    kind: OrderKind
    name: str
    fence: int


class Engine(Protocol):
    """Client of one model engine."""

    def generate(
        self, call: GenerateCall
    ) -> AbstractAsyncContextManager[AsyncIterator[Result[EngineChunk, BackendError]]]:
        """Run a call; leaving the context early cancels it. An ``Err`` is the last item."""
        ...

    async def release(self, program: str) -> Result[int, BackendError]:
        """Free a program's cached prefix; returns the number of tokens freed, possibly 0."""
        ...

    async def export_kv(self, program: str) -> Result[bytes, BackendError]:
        """Export the KV cache of a program as an opaque block."""
        ...

    async def import_kv(self, program: str, block: bytes) -> Result[int, BackendError]:
        """Import the KV cache of a program; returns its number of cached tokens."""
        ...

    async def load(self) -> Result[LoadReport, BackendError]:
        """Read the load report, which may be out of date."""
        ...

    async def cache_events(self, *, after: int) -> Result[CachePage, BackendError]:
        """Read cache events after a sequence number; they may be delayed or missing."""
        ...

    async def cache_contents(self) -> Result[CachePage, BackendError]:
        """Read the current contents of the cache, to find entries that were never released."""
        ...

    async def order(self, order: Order) -> Result[None, BackendError]:
        """Send an order to load something or to change role."""
        ...


class ServiceCall(NamedTuple):
    """One call of a plain service.

    :param call: ``program/number``, sent to the service as the idempotency key.
    :param arguments: a JSON object.
    """

    call: str
    tool: str
    arguments: dict[str, Any]
    fence: int


class Service(Protocol):
    """Client of one plain service."""

    async def invoke(self, call: ServiceCall, *, timeout_s: float) -> Result[Any, BackendError]:
        """Run a call and return its JSON answer."""
        ...
