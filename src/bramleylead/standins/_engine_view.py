"""A fake engine as one node reaches it: the product's ``Engine`` interface over a link."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import TypeVar
from typing import final

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.backends import BackendError
from bramleylead.backends import BackendErrorKind
from bramleylead.backends import CachePage
from bramleylead.backends import EngineChunk
from bramleylead.backends import GenerateCall
from bramleylead.backends import LoadReport
from bramleylead.backends import Order
from bramleylead.standins._answer import CHARS_PER_TOKEN
from bramleylead.standins._engine import FakeEngine
from bramleylead.standins._engine_stream import EngineStream
from bramleylead.standins._engine_stream import KvBlock
from bramleylead.standins._link import Link
from bramleylead.standins._link import reach

CONTROL_TIMEOUT_S = 2.0
RESUME_ANSWER_S = 2.0

_T = TypeVar("_T")


@final
class EngineView:
    """One node's client of one fake engine.

    :param progress_s: silence after which a fresh connection takes over a stream.
    """

    def __init__(self, engine: FakeEngine, link: Link, *, progress_s: float) -> None:
        self.target = engine
        self.link = link
        self.progress_s = progress_s

    @asynccontextmanager
    async def generate(
        self, call: GenerateCall
    ) -> AsyncIterator[AsyncIterator[Result[EngineChunk, BackendError]]]:
        """Run a call; leaving the context early cancels it."""
        reader = _Reader(self, call)
        try:
            yield reader
        finally:
            reader.close()

    async def release(self, program: str) -> Result[int, BackendError]:
        """Free the cache of a program, unless the request gets lost."""
        engine = self.target

        def act() -> Result[int, BackendError]:
            return Ok(engine.release(program))

        if engine.rng.random() < engine.settings.release_loss:
            engine.ledger.lost_releases += 1
            await self._control(lambda: Ok(0))
            await anyio.sleep(CONTROL_TIMEOUT_S)
            return Err(self._lost("no answer"))
        return await self._control(act)

    async def export_kv(self, program: str) -> Result[bytes, BackendError]:
        """Copy out a program's cache, at the speed of the link."""
        exported = await self._control(lambda: self.target.export_kv(program))
        if isinstance(exported, Ok):
            await self._carry(exported.ok_value)
        return exported

    async def import_kv(self, program: str, block: bytes) -> Result[int, BackendError]:
        """Copy in a program's cache, at the speed of the link."""
        await self._carry(block)
        return await self._control(lambda: self.target.import_kv(program, block))

    async def load(self) -> Result[LoadReport, BackendError]:
        """Read the lagging load report."""
        return await self._control(lambda: Ok(self.target.load()))

    async def cache_events(self, *, after: int) -> Result[CachePage, BackendError]:
        """Read late cache events."""
        return await self._control(lambda: Ok(self.target.cache_events(after)))

    async def cache_contents(self) -> Result[CachePage, BackendError]:
        """Read what the cache holds now."""
        return await self._control(lambda: Ok(self.target.cache.contents()))

    async def order(self, order: Order) -> Result[None, BackendError]:
        """Give an order and wait until it is carried out."""
        taken = await self._control(lambda: self.target.order(order))
        if isinstance(taken, Err):
            return taken
        await anyio.sleep_until(taken.ok_value)
        await self.link.gate()
        return Ok(None)

    async def _control(
        self, act: Callable[[], Result[_T, BackendError]]
    ) -> Result[_T, BackendError]:
        error = await reach(self.link, self.target, lost_after_s=CONTROL_TIMEOUT_S)
        if error is not None:
            return Err(error)
        if self.target.hung:
            await anyio.sleep(CONTROL_TIMEOUT_S)
            return Err(self._lost("no answer"))
        answer = act()
        await self.link.gate()
        return answer

    async def _carry(self, block: bytes) -> None:
        try:
            size = KvBlock.parse(block).size_bytes
        except ValueError:
            size = len(block)
        self.link.bill(size)
        settings = self.target.settings
        crosses = self.link.crosses_regions
        speed = settings.kv_between_regions_bytes_per_s if crosses else settings.kv_bytes_per_s
        await anyio.sleep(size / speed)

    def _lost(self, what: str) -> BackendError:
        return BackendError(BackendErrorKind.LOST, f"{self.target.name}: {what}")


class _Reader:
    """Iterates over the chunks of one call, over one connection after another."""

    def __init__(self, view: EngineView, call: GenerateCall) -> None:
        self._view = view
        self._call = call
        self._stream: EngineStream | None = None
        self._silences = 0
        self._dead = False
        self._received = call.resume_from
        self._first = True
        self._done = False

    def __aiter__(self) -> _Reader:
        return self

    async def __anext__(self) -> Result[EngineChunk, BackendError]:
        if self._done:
            raise StopAsyncIteration
        item = await self._next()
        self._done = isinstance(item, Err) or item.ok_value.finish != ""
        if self._done and isinstance(item, Ok):
            self.close()
        return item

    def close(self) -> None:
        """Cancel the call if it is not finished; the cancel is lost where nothing passes."""
        stream, self._stream = self._stream, None
        self._done = True
        if stream is None:
            return
        link = self._view.link
        if link.passes and not link.frozen and not self._view.target.hung:
            self._view.target.close(stream)
        else:
            self._view.target.detach(stream)

    async def _next(self) -> Result[EngineChunk, BackendError]:
        if self._stream is None:
            error = await self._connect(self._view.progress_s)
            if error is not None and error.kind is BackendErrorKind.LOST:
                # Attaching by call id on a fresh connection is safe: the call starts only once.
                error = await self._connect(RESUME_ANSWER_S)
            if error is not None:
                return Err(error)
        while True:
            stream = self._stream
            assert stream is not None
            if stream.lost:
                return Err(BackendError(BackendErrorKind.LOST, stream.lost))
            chunk = None if self._broken() else stream.take(self._received, first=self._first)
            if chunk is not None:
                return Ok(await self._receive(chunk))
            with anyio.move_on_after(self._view.progress_s) as waited:
                await stream.wait_changed()
            if waited.cancelled_caught and (self._broken() or self._view.target.hung):
                error = await self._reconnect(stream)
                if error is not None:
                    return Err(error)

    async def _receive(self, chunk: EngineChunk) -> EngineChunk:
        await self._view.link.gate()
        self._received += chunk.tokens
        self._first = False
        self._view.link.bill(chunk.tokens * CHARS_PER_TOKEN)
        return chunk

    def _broken(self) -> bool:
        """Whether nothing comes through this connection any more; it stays so."""
        link = self._view.link
        self._dead = self._dead or not link.passes or link.silences != self._silences
        return self._dead

    async def _connect(self, lost_after_s: float) -> BackendError | None:
        view = self._view
        silences = view.link.silences
        error = await reach(view.link, view.target, lost_after_s=lost_after_s)
        if error is not None:
            return error
        opened = view.target.open(self._call._replace(resume_from=self._received))
        if isinstance(opened, Err):
            return opened.err_value
        self._stream = opened.ok_value
        self._silences = silences
        self._dead = False
        if self._first:
            view.link.bill(self._stream.sequence.prompt_tokens * CHARS_PER_TOKEN)
        return None

    async def _reconnect(self, stream: EngineStream) -> BackendError | None:
        """Continue on a fresh connection where the old one went silent."""
        view = self._view
        if view.target.hung:
            await anyio.sleep(RESUME_ANSWER_S)
        if view.target.hung:
            return BackendError(BackendErrorKind.LOST, f"{view.target.name}: no progress")
        error = await self._connect(RESUME_ANSWER_S)
        if error is not None:
            return error._replace(kind=BackendErrorKind.LOST)
        view.target.detach(stream)
        return None
