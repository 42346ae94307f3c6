"""Runs model calls: streams an engine's answer into the call's buffer."""

from __future__ import annotations

from typing import final

import anyio
from result import Err

from bramleylead.backends import EngineChunk
from bramleylead.backends import GenerateCall
from bramleylead.backends import Message
from bramleylead.process.calls._admission import estimate_tokens
from bramleylead.process.calls._run import Attempt
from bramleylead.process.calls._run import CallRun
from bramleylead.process.calls._run import Next
from bramleylead.process.calls._run import attempt_of_error
from bramleylead.process.calls._run import token_cost
from bramleylead.request import AnswerBuffer
from bramleylead.scheduling import Slot
from bramleylead.scheduling import SlotRequest

EXPECTED_OUTPUT_TOKENS = 200
FIRST_TOKEN_FACTOR = 3
"""Prefill of a long history, and the engine's own queue, come before the first token."""
MARGIN = 2
"""The engine's tokenizer may count up to this many times the estimate."""


@final
class ModelRun(CallRun):
    """A model call; it may be repeated, and starting over writes the same answer again."""

    def worst_cost(self) -> int:
        """Price of the whole prompt and the longest answer, for each attempt that may be made."""
        call = self._call
        prompt = MARGIN * self._prompt_tokens()
        return token_cost(prompt + self._max_output(), call.kind.token_price)

    def cost(self, attempt: Attempt) -> int:
        """Price of the prompt and the tokens that were generated."""
        tokens = attempt.prompt_tokens + attempt.output_tokens
        return token_cost(tokens, self._call.kind.token_price)

    def slot_request(self) -> SlotRequest:
        """Ask for a slot on an engine that serves the model."""
        call, settings = self._call, self._parts.settings
        return SlotRequest(
            call=call.name,
            program=call.program.program,
            branch=call.program.branch,
            serves=call.request.target,
            region=settings.region,
            data_centre=settings.data_centre,
            home_region=call.branch.home_region,
            weight=call.branch.weight,
            prompt_tokens=self._prompt_tokens(),
            expected_output=min(self._max_output(), EXPECTED_OUTPUT_TOKENS),
            attained=call.program.attained,
            cached=dict(call.program.caches),
            waited_s=anyio.current_time() - call.started_at,
            deadline_s=call.seconds_left,
            avoid=tuple(call.avoid),
        )

    async def attempt(self, slot: Slot, attempt: int) -> Attempt:
        """Stream the answer, giving up when it stops making progress or the deadline passes."""
        endpoint = self._parts.tickets.config.endpoints.get(slot.granted.endpoint)
        if endpoint is None:
            return Attempt(Next.NOT_RUN, f"endpoint {slot.granted.endpoint} was removed")
        engine = self._parts.backends.engine(slot.granted.endpoint, endpoint)
        progress_s = self._parts.settings.requests.stream_progress_s
        follower = _Follower(self._call.buffer)
        with anyio.CancelScope() as scope:
            follower.watch(scope, progress_s, self._call.deadline_at)
            async with engine.generate(self._generate_call(attempt)) as chunks:
                async for item in chunks:
                    if isinstance(item, Err):
                        return follower.failed(attempt_of_error(item.err_value))
                    if not follower.take(item.ok_value):
                        detail = "the engine's answer differs from the part that was sent before"
                        return follower.failed(Attempt(Next.FAILED, detail))
                    if item.ok_value.finish:
                        return follower.done(item.ok_value.finish)
        if scope.cancelled_caught:
            detail = "the engine made no progress in time, or the caller's deadline passed"
            return follower.failed(Attempt(Next.UNKNOWN, detail))
        return follower.failed(Attempt(Next.UNKNOWN, "the engine's stream ended early"))

    def _generate_call(self, attempt: int) -> GenerateCall:
        call = self._call
        messages = tuple(Message(role, content) for role, content in self._conversation())
        return GenerateCall(
            call=f"{call.name}/{call.log.epoch}.{attempt}",
            program=call.program.program,
            model=call.request.target,
            messages=messages,
            max_tokens=self._max_output(),
            fence=call.log.epoch,
        )

    def _prompt_tokens(self) -> int:
        """Estimate the prompt: what the last engine counted, and the new messages."""
        return self._call.program.context_tokens + estimate_tokens(self._call.messages)

    def _conversation(self) -> list[tuple[str, str]]:
        history = self._call.program.messages[: self._call.history_length]
        return [*history, *self._call.messages]

    def _max_output(self) -> int:
        call = self._call
        return min(
            call.request.max_tokens or call.kind.max_output_tokens, call.kind.max_output_tokens
        )


class _Follower:
    """Takes an engine's chunks into the buffer and counts them."""

    def __init__(self, buffer: AnswerBuffer) -> None:
        self._buffer = buffer
        self._started = anyio.current_time()
        self._offset = 0
        self._first_token_s = 0.0
        self._prompt_tokens = 0
        self._cached_tokens = 0
        self._output_tokens = 0

    def watch(self, scope: anyio.CancelScope, progress_s: float, deadline_at: float) -> None:
        self._scope = scope
        self._progress_s = progress_s
        self._deadline_at = deadline_at
        self._extend(FIRST_TOKEN_FACTOR * progress_s)

    def take(self, chunk: EngineChunk) -> bool:
        self._extend(self._progress_s)
        if self._output_tokens == 0 and chunk.tokens:
            self._first_token_s = anyio.current_time() - self._started
        self._prompt_tokens = chunk.prompt_tokens or self._prompt_tokens
        self._cached_tokens = chunk.cached_tokens or self._cached_tokens
        self._output_tokens += chunk.tokens
        agrees = self._buffer.write(self._offset, chunk.text, chunk.tokens)
        self._offset += len(chunk.text)
        return agrees

    def done(self, finish: str) -> Attempt:
        return self._counted(Attempt(Next.DONE, finish=finish))

    def failed(self, attempt: Attempt) -> Attempt:
        if attempt.next is Next.NOT_RUN and self._output_tokens:
            attempt = attempt._replace(next=Next.FAILED)
        return self._counted(attempt)

    def _counted(self, attempt: Attempt) -> Attempt:
        return attempt._replace(
            prompt_tokens=self._prompt_tokens,
            cached_tokens=self._cached_tokens,
            output_tokens=self._output_tokens,
            first_token_s=self._first_token_s,
        )

    def _extend(self, seconds: float) -> None:
        due = anyio.current_time() + seconds
        self._scope.deadline = min(due, self._deadline_at)
