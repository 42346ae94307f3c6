"""JSON formats of answers: chat completions for model calls, plain values for tool calls."""

from __future__ import annotations

from typing import Any
from typing import final

from bramleylead.http._responses import CallRef
from bramleylead.request._messages import AnswerEnd


@final
class ChatFormat:
    """Formats an answer as a chat completion or as chat-completion chunks.

    :param model: the model's name as the caller sent it; empty when an answer is resumed.
    :param created_s: Unix time in seconds.
    """

    def __init__(self, call_ref: CallRef, *, model: str, created_s: int) -> None:
        self._call_ref = call_ref
        self._model = model
        self._created_s = created_s

    def whole_answer(self, text: str, end: AnswerEnd) -> dict[str, Any]:
        """Return the whole chat completion."""
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": end.finish}
        return {**self._common_fields("chat.completion"), "choices": [choice], "usage": _usage(end)}

    def text_chunk(self, text: str) -> dict[str, Any]:
        """Return a chunk with text."""
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
        return {**self._common_fields("chat.completion.chunk"), "choices": [choice]}

    def final_chunk(self, end: AnswerEnd) -> dict[str, Any]:
        """Return the chunk that ends the stream."""
        choice = {"index": 0, "delta": {}, "finish_reason": end.finish}
        document = {**self._common_fields("chat.completion.chunk"), "choices": [choice]}
        if end.value is not None:
            document["value"] = end.value
        return {**document, "usage": _usage(end)}

    def _common_fields(self, kind: str) -> dict[str, Any]:
        return {
            "id": f"chatcmpl-{self._call_ref.program}",
            "object": kind,
            "created": self._created_s,
            "model": self._model,
        }


@final
class ToolFormat:
    """Formats the value that a tool returned."""

    def whole_answer(self, text: str, end: AnswerEnd) -> dict[str, Any]:
        """Return the value and any text that the tool streamed."""
        return {"object": "tool.result", "value": end.value, "text": text}

    def text_chunk(self, text: str) -> dict[str, Any]:
        """Return text that the tool streamed."""
        return {"object": "tool.result.chunk", "text": text}

    def final_chunk(self, end: AnswerEnd) -> dict[str, Any]:
        """Return the document with the value, which ends the stream."""
        return {"object": "tool.result", "value": end.value}


def _usage(end: AnswerEnd) -> dict[str, Any]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.output_tokens,
        "total_tokens": end.prompt_tokens + end.output_tokens,
        "prompt_tokens_details": {"cached_tokens": end.cached_tokens},
    }
