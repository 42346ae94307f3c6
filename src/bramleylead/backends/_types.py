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
    """How a call to an endpoint can fail, told by what may have happened there."""

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
    """One model call as an engine gets it.

    :param call: ``program/number/attempt``, unique an attempt; names the stream for cancel and
        resume.
    :param program: whose cached prefix this is.
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
    """Some generated text.

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
    """An engine's own report; ``age_s`` is how far it lags.

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
    """A program's prefix stored or evicted; sequence numbers show gaps.

    :param tokens: what is held of the program after the event; 0 when ``stored`` is false.
    """

    sequence: int
    program: str
    tokens: int
    stored: bool


class CachePage(NamedTuple):
    """Cache events since a sequence number, or what the engine holds now when ``complete``.

    :param next_sequence: number of the next event; if it is lower than the caller's own, the
        engine has restarted and holds nothing of what the caller knew.
    """

    next_sequence: int
    events: tuple[CacheEvent, ...]
    complete: bool


class OrderKind(StrEnum):
    """Orders that an engine takes."""

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
    """One model engine."""

    def generate(
        self, call: GenerateCall
    ) -> AbstractAsyncContextManager[AsyncIterator[Result[EngineChunk, BackendError]]]:
        """Run a call; leaving the context early cancels it. An ``Err`` is the last item."""
        ...

    async def release(self, program: str) -> Result[int, BackendError]:
        """Free the cache of a program; returns the tokens freed (0 when none was held)."""
        ...

    async def export_kv(self, program: str) -> Result[bytes, BackendError]:
        """Copy out a program's cache as an opaque block."""
        ...

    async def import_kv(self, program: str, block: bytes) -> Result[int, BackendError]:
        """Copy in a program's cache; returns the tokens it now holds."""
        ...

    async def load(self) -> Result[LoadReport, BackendError]:
        """Read the load report, which lags."""
        ...

    async def cache_events(self, *, after: int) -> Result[CachePage, BackendError]:
        """Read cache events after a sequence number; they come late and with gaps."""
        ...

    async def cache_contents(self) -> Result[CachePage, BackendError]:
        """Read what the cache holds now, for the sweep that finds leaks."""
        ...

    async def order(self, order: Order) -> Result[None, BackendError]:
        """Give an order to load something or to change role."""
        ...


class ServiceCall(NamedTuple):
    """One call of a plain service.

    :param call: ``program/number``, the idempotency key that the service sees.
    :param arguments: a JSON object.
    """

    call: str
    tool: str
    arguments: dict[str, Any]
    fence: int


class Service(Protocol):
    """One plain service."""

    async def invoke(self, call: ServiceCall, *, timeout_s: float) -> Result[Any, BackendError]:
        """Run a call and return its JSON answer."""
        ...
