"""Constants of the fake engine, readable from JSON.

The defaults stand for one node with eight H100 accelerators of 80 GB that serves a dense model of
70 billion parameters in 16 bits with grouped-query attention (Llama 3 70B class): 140 GB of
weights read a step at about 19 TB/s, 140 GFLOP a token at about 3.5 PFLOP/s, 328 kB of cache a
token in the 436 GB that the weights leave free.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from bramleylead.validation import Strict

DEFAULT_MODEL = "assistant"


class EngineModelSettings(Strict):
    """How a fake engine spends time and memory. Times in milliseconds where the name says so.

    :param step_base_ms: reading the weights once, and the collectives.
    :param step_sequence_ms: arithmetic of one more running sequence.
    :param step_context_token_ms: reading the cache of one token of context.
    :param prefill_token_ms: arithmetic of one uncached prompt token.
    :param prefill_context_ms: attention of one prompt token to one token before it.
    :param step_tokens: most tokens computed in one step, prefill chunks and running sequences.
    :param max_batch: most sequences admitted at once.
    :param kv_tokens: cache memory, in tokens.
    :param kv_token_bytes: size of one token's cache when it is exported.
    :param kv_bytes_per_s: how fast an exported cache travels within a region.
    :param kv_between_regions_bytes_per_s: the same between regions.
    :param chunk_tokens: tokens that a client gets at once after the first token.
    :param report_lag_s: age of a load report at least.
    :param report_interval_s: time between two load reports.
    :param event_delay_s: cache events come up to this late.
    :param event_loss: share of cache events that are lost.
    :param release_loss: share of releases that are lost on the way.
    :param resume_window_s: how long a call without a reader goes on.
    """

    step_base_ms: Annotated[float, Field(gt=0)] = 12.0
    step_sequence_ms: Annotated[float, Field(ge=0)] = 0.04
    step_context_token_ms: Annotated[float, Field(ge=0)] = 0.0000174
    prefill_token_ms: Annotated[float, Field(ge=0)] = 0.04
    prefill_context_ms: Annotated[float, Field(ge=0)] = 0.00000075
    step_tokens: Annotated[int, Field(ge=2)] = 512
    max_batch: Annotated[int, Field(ge=1)] = 256
    kv_tokens: Annotated[int, Field(ge=1)] = 1_300_000
    kv_token_bytes: Annotated[int, Field(ge=1)] = 327_680
    kv_bytes_per_s: Annotated[float, Field(gt=0)] = 2.5e9
    kv_between_regions_bytes_per_s: Annotated[float, Field(gt=0)] = 0.3e9
    chunk_tokens: Annotated[int, Field(ge=1)] = 32
    report_lag_s: Annotated[float, Field(ge=0)] = 0.5
    report_interval_s: Annotated[float, Field(gt=0)] = 1.0
    event_delay_s: Annotated[float, Field(ge=0)] = 1.0
    event_loss: Annotated[float, Field(ge=0, lt=1)] = 0.01
    release_loss: Annotated[float, Field(ge=0, lt=1)] = 0.0
    resume_window_s: Annotated[float, Field(gt=0)] = 30.0
    models: tuple[str, ...] = (DEFAULT_MODEL,)
    checks_fence: bool = False
