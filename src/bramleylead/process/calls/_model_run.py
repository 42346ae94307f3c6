"""Runs model calls by streaming an engine's answer into the call's buffer."""

from __future__ import annotations

from typing import final

import anyio
from result import Err

from bramleylead.backends import EngineChunk
from bramleylead.backends import GenerateCall
from bramleylead.backends import Message
from bramleylead.process.calls._admission import estimate_tokens
from bramleylead.process.calls._attempt_result import AttemptOutcome
from bramleylead.process.calls._attempt_result import AttemptResult
from bramleylead.process.calls._attempt_result import attempt_result_from_error
from bramleylead.process.calls._run import CallRun
from bramleylead.process.calls._run import token_cost
from bramleylead.request import AnswerBuffer
from bramleylead.scheduling import Slot
from bramleylead.scheduling import SlotRequest

EXPECTED_OUTPUT_TOKENS = 200
FIRST_TOKEN_TIMEOUT_FACTOR = 3
"""The first token gets a longer timeout: the engine's queue and the prefill of a long history come
before it.
"""
TOKEN_COUNT_MARGIN = 2
"""The engine's tokenizer may count up to this many times the estimate."""


@final
class ModelRun(CallRun):
    """A model call. It is repeatable: a new attempt must generate the same answer again."""

    def max_cost(self) -> int:
        """Price of the whole prompt and the longest answer."""
        call = self._call
        prompt_tokens = TOKEN_COUNT_MARGIN * self._estimated_prompt_tokens()
        return token_cost(prompt_tokens + self._max_output_tokens(), call.kind.token_price)

    def cost(self, result: AttemptResult) -> int:
        """Price of the prompt and the generated tokens."""
        tokens = result.prompt_tokens + result.output_tokens
        return token_cost(tokens, self._call.kind.token_price)

    def slot_request(self) -> SlotRequest:
        """Describe the slot that the call needs on an engine that serves the model."""
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
            prompt_tokens=self._estimated_prompt_tokens(),
            expected_output_tokens=min(self._max_output_tokens(), EXPECTED_OUTPUT_TOKENS),
            attained=call.program.attained,
            cached=dict(call.program.caches),
            waited_s=anyio.current_time() - call.started_at,
            deadline_s=call.seconds_left,
            avoid=tuple(call.avoided_endpoints),
        )

    async def run_attempt(self, slot: Slot, attempt_number: int) -> AttemptResult:
        """Stream the answer until it ends, makes no progress in time or the deadline passes."""
        endpoint = self._parts.tickets.config.endpoints.get(slot.granted.endpoint)
        if endpoint is None:
            return AttemptResult(
                AttemptOutcome.NOT_RUN, f"endpoint {slot.granted.endpoint} was removed"
            )
        engine = self._parts.backends.engine(slot.granted.endpoint, endpoint)
        progress_s = self._parts.settings.requests.stream_progress_s
        writer = _ChunkWriter(self._call.buffer)
        with anyio.CancelScope() as scope:
            writer.start_timeout(scope, progress_s, self._call.deadline_at)
            async with engine.generate(self._generate_call(attempt_number)) as chunks:
                async for item in chunks:
                    if isinstance(item, Err):
                        return writer.failed(attempt_result_from_error(item.err_value))
                    if not writer.write(item.ok_value):
                        detail = "the engine's answer differs from the part already sent"
                        return writer.failed(AttemptResult(AttemptOutcome.FAILED, detail))
                    if item.ok_value.finish:
                        return writer.done(item.ok_value.finish)
        if scope.cancelled_caught:
            detail = "the engine made no progress in time or the caller's deadline passed"
            return writer.failed(AttemptResult(AttemptOutcome.UNKNOWN, detail))
        return writer.failed(
            AttemptResult(AttemptOutcome.UNKNOWN, "the engine's stream ended early")
        )

    def _generate_call(self, attempt_number: int) -> GenerateCall:
        call = self._call
        messages = tuple(Message(role, content) for role, content in self._conversation_messages())
        return GenerateCall(
            call=f"{call.name}/{call.log.epoch}.{attempt_number}",
            program=call.program.program,
            model=call.request.target,
            messages=messages,
            max_tokens=self._max_output_tokens(),
            fence=call.log.epoch,
        )

    def _estimated_prompt_tokens(self) -> int:
        """Add the last engine's token count of the history and an estimate of the new messages."""
        return self._call.program.context_tokens + estimate_tokens(self._call.messages)

    def _conversation_messages(self) -> list[tuple[str, str]]:
        history = self._call.program.messages[: self._call.history_length]
        return [*history, *self._call.messages]

    def _max_output_tokens(self) -> int:
        call = self._call
        return min(
            call.request.max_tokens or call.kind.max_output_tokens, call.kind.max_output_tokens
        )


class _ChunkWriter:
    """Writes an engine's chunks to the buffer, counts tokens and extends the progress timeout."""

    def __init__(self, buffer: AnswerBuffer) -> None:
        self._buffer = buffer
        self._started = anyio.current_time()
        self._offset = 0
        self._first_token_s = 0.0
        self._prompt_tokens = 0
        self._cached_tokens = 0
        self._output_tokens = 0

    def start_timeout(
        self, scope: anyio.CancelScope, progress_s: float, deadline_at: float
    ) -> None:
        self._scope = scope
        self._progress_s = progress_s
        self._deadline_at = deadline_at
        self._extend_timeout(FIRST_TOKEN_TIMEOUT_FACTOR * progress_s)

    def write(self, chunk: EngineChunk) -> bool:
        self._extend_timeout(self._progress_s)
        if self._output_tokens == 0 and chunk.tokens:
            self._first_token_s = anyio.current_time() - self._started
        self._prompt_tokens = chunk.prompt_tokens or self._prompt_tokens
        self._cached_tokens = chunk.cached_tokens or self._cached_tokens
        self._output_tokens += chunk.tokens
        matches = self._buffer.write(self._offset, chunk.text, chunk.tokens)
        self._offset += len(chunk.text)
        return matches

    def done(self, finish: str) -> AttemptResult:
        return self._with_token_counts(AttemptResult(AttemptOutcome.DONE, finish=finish))

    def failed(self, result: AttemptResult) -> AttemptResult:
        if result.outcome is AttemptOutcome.NOT_RUN and self._output_tokens:
            result = result._replace(outcome=AttemptOutcome.FAILED)
        return self._with_token_counts(result)

    def _with_token_counts(self, result: AttemptResult) -> AttemptResult:
        return result._replace(
            prompt_tokens=self._prompt_tokens,
            cached_tokens=self._cached_tokens,
            output_tokens=self._output_tokens,
            first_token_s=self._first_token_s,
        )

    def _extend_timeout(self, seconds: float) -> None:
        timeout_at = anyio.current_time() + seconds
        self._scope.deadline = min(timeout_at, self._deadline_at)
