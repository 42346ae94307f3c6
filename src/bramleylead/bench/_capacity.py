"""``bramleylead bench capacity``: the slopes from which docs/CAPACITY.md works out the target.

Each quantity is measured at several sizes in this process, and a line with ``extrapolated`` gives
what the slope makes of it at 410 nodes. Processor time of virtual-time runs includes the stand-ins
and is an upper bound. Memory is what the interpreter keeps allocated. The baseline of a size is
the same quantity at the smallest size; the baseline of an extrapolated line is the target of a
node.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterator

import structlog
from absl import flags

from bramleylead.bench import Figure
from bramleylead.bench import bench
from bramleylead.bench._capacity_pair import measure_append
from bramleylead.bench._capacity_state import CHARACTERS_A_TOKEN
from bramleylead.bench._capacity_state import COPIES
from bramleylead.bench._capacity_state import Shape
from bramleylead.bench._capacity_state import call_request
from bramleylead.bench._capacity_state import fill
from bramleylead.bench._capacity_state import memory_bytes
from bramleylead.bench._capacity_state import opened
from bramleylead.bench._capacity_state import turn
from bramleylead.bench._capacity_steps import admission_us
from bramleylead.bench._capacity_steps import buffer_us
from bramleylead.bench._capacity_steps import chunk
from bramleylead.bench._capacity_steps import codec_cost
from bramleylead.bench._capacity_steps import grant_cost
from bramleylead.bench._capacity_steps import pass_us
from bramleylead.bench._capacity_steps import reservation_us
from bramleylead.bench._capacity_store import measure_store_calls
from bramleylead.process.calls._garbage_collection import ENDED_RETENTION_S
from bramleylead.process.calls._garbage_collection import PASS_INTERVAL_S
from bramleylead.process.journal._state_codec import pack_state
from bramleylead.process.journal._state_codec import unpack_state

TARGET_NODES = 410
TARGET_PROGRAMS = 84_000
TARGET_TURNS = 65
TARGET_TOKENS = 250_000
TARGET_CALLS_PER_S = 5_000
MB = 1e6
US = 1e6
MS = 1e3
MEMORY_LIMIT_MB = 128.0
CPU_LIMIT_CORES = 0.013
PROGRAMS = (100, 200)
TURNS = (0, 16, 65)
TURN_TOKENS = (100, 400)
HISTORIES = (2_500, 25_000, 250_000)
ADMITTED_TURNS = (1, 16, 65)
APPENDS = 400
TOKENS_A_TURN = 100
PARTITIONS = (48, 1_024)
STORE_PROGRAMS = (40, 160)

Figures = Iterator[Figure]


@bench("capacity")
def run_capacity(words: list[str]) -> int:
    """Print the slopes of every role and what they make at the target."""
    values = flags.FlagValues()
    names = list(MEASURES)
    flags.DEFINE_list("only", names, "Which of them to measure.", flag_values=values)
    values(["bench capacity", *words])
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    for name in values.only:
        for figure in MEASURES[name]():
            print(_line(figure), flush=True)
    return 0


def _line(figure: Figure) -> str:
    plain = json.loads(figure.to_json())
    if figure.name.endswith(".target"):
        plain |= {"nodes": TARGET_NODES, "extrapolated": True}
    return json.dumps(plain)


def measure_memory() -> Figures:
    """Measure what programs, turns and text keep allocated in each kind of copy."""
    for copy in COPIES:
        yield from _memory_of(copy)


def _memory_of(copy: str) -> Figures:
    build = COPIES[copy]

    def size(shape: Shape) -> int:
        return memory_bytes(lambda: build(shape))

    few, many = (size(Shape(programs, 0, 0)) for programs in PROGRAMS)
    a_program = (many - few) / (PROGRAMS[1] - PROGRAMS[0])
    yield Figure(f"capacity.memory_program_bytes.{copy}", a_program, "bytes")
    by_turns = [size(Shape(PROGRAMS[0], turns, TURN_TOKENS[0])) for turns in TURNS]
    for at in (1, 2):
        added = (by_turns[at] - by_turns[0]) / PROGRAMS[0] / TURNS[at]
        name = f"capacity.memory_turn_bytes.{copy}.t{TURNS[at]}"
        yield Figure(name, added, "bytes", TURN_TOKENS[0] * CHARACTERS_A_TOKEN)
    shapes = [Shape(PROGRAMS[0], TURNS[1], tokens) for tokens in TURN_TOKENS]
    small, large = (size(shape) for shape in shapes)
    a_byte = (large - small) / (shapes[1].text_bytes - shapes[0].text_bytes)
    yield Figure(f"capacity.memory_a_text_byte.{copy}", a_byte, "bytes", 1.0)
    turn_text_bytes = a_byte * TURN_TOKENS[0] * CHARACTERS_A_TOKEN
    a_turn = (small - few) / PROGRAMS[0] / TURNS[1] - turn_text_bytes
    yield Figure(f"capacity.memory_turn_without_text_bytes.{copy}", a_turn, "bytes")
    records = a_program + TARGET_TURNS * a_turn
    longest = records + a_byte * TARGET_TOKENS * CHARACTERS_A_TOKEN
    for label, a_whole in (("records", records), ("longest", longest)):
        node_mb = a_whole * TARGET_PROGRAMS / TARGET_NODES / MB
        name = f"capacity.memory_mb_a_node.{copy}.{label}.target"
        yield Figure(name, node_mb, "MB", MEMORY_LIMIT_MB)


def measure_snapshots() -> Figures:
    """Measure how a snapshot of one program grows with its history."""
    first: float | None = None
    for tokens in HISTORIES:
        state = fill(Shape(1, TARGET_TURNS, tokens // TARGET_TURNS))
        rounds = max(3, 2_000_000 // tokens // 4)
        started = time.process_time()
        for _ in range(rounds):
            packed = pack_state(state)
        packed_ms = (time.process_time() - started) / rounds * MS
        started = time.process_time()
        for _ in range(rounds):
            unpack_state(packed)
        unpacked_ms = (time.process_time() - started) / rounds * MS
        first = first or packed_ms
        text_bytes = tokens * CHARACTERS_A_TOKEN
        label = f"h{tokens}"
        yield Figure(f"capacity.snapshot_bytes.{label}", len(packed), "bytes", text_bytes)
        yield Figure(f"capacity.snapshot_pack_ms.{label}", packed_ms, "ms", first)
        yield Figure(f"capacity.snapshot_unpack_ms.{label}", unpacked_ms, "ms", packed_ms)


def measure_appends() -> Figures:
    """Measure appends through both copies by number of entries, and the bytes of a call."""
    empty = measure_append(0, APPENDS, TOKENS_A_TURN)
    yield Figure("capacity.append_cpu_us.e0", empty.cpu_us, "us")
    yield Figure("capacity.append_bytes.e0", empty.bytes, "bytes")
    for entries in (2, 16):
        cost = measure_append(entries, APPENDS, TOKENS_A_TURN)
        yield Figure(f"capacity.append_cpu_us.e{entries}", cost.cpu_us, "us", empty.cpu_us)
        yield Figure(f"capacity.append_bytes.e{entries}", cost.bytes, "bytes", empty.bytes)
        yield Figure(f"capacity.append_sends.e{entries}", cost.sends, "sends", empty.sends)
    an_entry = (cost.cpu_us - empty.cpu_us) / entries
    yield Figure("capacity.entry_cpu_us", an_entry, "us", empty.cpu_us)
    a_call_us = 2 * (empty.cpu_us + an_entry)
    cores = a_call_us * TARGET_CALLS_PER_S / TARGET_NODES / US
    yield Figure("capacity.append_cores_a_node.target", cores, "cores", CPU_LIMIT_CORES)


def measure_admission() -> Figures:
    """Measure admission by turns, with the whole history in the request and without."""
    tokens = TARGET_TOKENS // TARGET_TURNS
    for whole, mode in ((False, "append"), (True, "whole")):
        first: float | None = None
        for turns in ADMITTED_TURNS:
            spent_us = admission_us(turns, tokens, 50, whole_history=whole)
            first = first or spent_us
            yield Figure(f"capacity.admission_us.{mode}.t{turns}", spent_us, "us", first)
        cores = spent_us * TARGET_CALLS_PER_S / TARGET_NODES / US
        name = f"capacity.admission_cores_a_node.{mode}.longest.target"
        yield Figure(name, cores, "cores", CPU_LIMIT_CORES)


def measure_passes() -> Figures:
    """Measure the ender's pass by calls of a program, live and ended."""
    ended_kept = TARGET_CALLS_PER_S / TARGET_TURNS * ENDED_RETENTION_S
    for label, kept in (("live", TARGET_PROGRAMS), ("ended", ended_kept)):
        for turns in (1, TARGET_TURNS):
            spent_us = pass_us(Shape(300, turns, 4), ended=label == "ended")
            yield Figure(f"capacity.pass_us.{label}.t{turns}", spent_us, "us")
        cores = spent_us * kept / TARGET_NODES / PASS_INTERVAL_S / US
        yield Figure(f"capacity.pass_cores_a_node.{label}.target", cores, "cores", CPU_LIMIT_CORES)


def measure_budgets() -> Figures:
    """Measure a covered reservation, and a grant by the number of partitions."""
    yield Figure("capacity.reservation_us", reservation_us(5_000), "us")
    for partitions in PARTITIONS:
        spent_us, calls, size = grant_cost(partitions)
        label = f"p{partitions}"
        yield Figure(f"capacity.grant_us.{label}", spent_us, "us")
        yield Figure(f"capacity.grant_store_calls.{label}", calls, "calls")
        yield Figure(f"capacity.budget_object_bytes.{label}", size, "bytes")


def measure_messages() -> Figures:
    """Measure packing and reading of the messages of a call, and a token in the buffer."""
    tokens = TARGET_TOKENS // TARGET_TURNS
    state = fill(Shape(1, TARGET_TURNS - 1, tokens))
    samples = {
        "opened": opened(1),
        "intended": turn(1, 1, TOKENS_A_TURN)[0],
        "finished": turn(1, 1, TOKENS_A_TURN)[1],
        "request_append": call_request(state, 0, tokens=TOKENS_A_TURN, whole_history=False),
        "request_whole_longest": call_request(state, 0, tokens=tokens, whole_history=True),
        "chunk_1_token": chunk(1),
        "chunk_32_tokens": chunk(32),
    }
    for name, sample in samples.items():
        spent_us, size = codec_cost(sample, 200)
        yield Figure(f"capacity.codec_us.{name}", spent_us, "us")
        yield Figure(f"capacity.codec_bytes.{name}", size, "bytes")
    short_us, long_us = buffer_us(200), buffer_us(8_000)
    yield Figure("capacity.buffer_token_us.n200", short_us, "us")
    yield Figure("capacity.buffer_token_us.n8000", long_us, "us", short_us)


def measure_store() -> Figures:
    """Count the store calls of 6 nodes by kind, at rest and by program."""
    for programs in STORE_PROGRAMS:
        calls = measure_store_calls(programs)
        for name, rate in sorted(calls.at_rest.items()):
            yield Figure(f"capacity.store_at_rest.{name}", rate, "calls/s")
        for name, count in sorted(calls.a_program.items()):
            yield Figure(f"capacity.store_a_program.{name}.n{programs}", count, "calls")


MEASURES = {
    "memory": measure_memory,
    "snapshots": measure_snapshots,
    "appends": measure_appends,
    "admission": measure_admission,
    "passes": measure_passes,
    "budgets": measure_budgets,
    "messages": measure_messages,
    "store": measure_store,
}
