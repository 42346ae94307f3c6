"""A small model of ownership and of one non-repeatable call, for exhaustive state exploration.

It has three nodes, one partition, and one call with its retry. Messages, writes and pauses may
occur in any order; a node that takes no step is paused. Time is modelled in one place only: a
second copy seals once the owner's act lease has expired. The timing argument in
docs/design/ownership.md justifies this. ``Rules`` can switch off single mechanisms.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

NO_NODE = -1
NOTHING, INTENDED, DONE, UNKNOWN = range(4)


class Rules(NamedTuple):
    """Switches for the protocol mechanisms and for fencing at the endpoint."""

    seal: bool = True
    intent: bool = True
    may_act: bool = True
    unseal_only_when_nothing_written: bool = True
    commit_excludes_resume: bool = True
    snapshot_must_be_current: bool = True
    endpoint_checks_fence: bool = False


class Limits(NamedTuple):
    """Bounds on the explored state space."""

    crashes: int = 1
    requests: int = 2
    lost_writes: int = 1
    last_epoch: int = 3


class Record(NamedTuple):
    """The partition object; ``writer`` is unique per write."""

    owner: int
    second: int
    epoch: int
    writer: int


class Replica(NamedTuple):
    """A second copy, and whether it is sealed."""

    epoch: int
    owner: int
    copy: int
    sealed: bool = False


class Node(NamedTuple):
    """One node.

    :param epoch: epoch at which the node considers itself the owner, 0 if it does not.
    :param mode: ``paired``, ``repairing`` or ``taking`` (sealed, not yet owner).
    :param lease: whether the node holds the act lease.
    :param call: progress of the call: ``idle``, ``begin``, ``appending``, ``ready`` or ``sent``.
    :param target: node on which a second copy for the next epoch is installed.
    :param installed: the installed copy.
    :param write: a write of the partition object whose outcome is unknown.
    """

    up: bool = True
    epoch: int = 0
    second: int = NO_NODE
    mode: str = ""
    lease: bool = False
    copy: int = NOTHING
    call: str = "idle"
    target: int = NO_NODE
    installed: int = NOTHING
    write: Record | None = None
    replica: Replica | None = None


class Order(NamedTuple):
    """An order in flight to the endpoint."""

    sender: int
    epoch: int


class State(NamedTuple):
    """A state of the model."""

    nodes: tuple[Node, ...]
    record: Record
    writes_in_flight: tuple[tuple[int, Record], ...] = ()
    """Writes in flight, each with the epoch that it expects."""
    append: tuple[int, int, int, int] | None = None
    """An append in flight: sender, receiver, epoch, value."""
    ack: tuple[int, int, int, bool] | None = None
    """An acknowledgement in flight: receiver, epoch, value, and whether it still grants a lease."""
    orders: tuple[Order, ...] = ()
    executed: int = 0
    fence: int = 0
    acked: int = NOTHING
    declared: bool = False
    requests: int = 0
    crashes: int = 0
    lost_writes: int = 0
    violation: str = ""


def initial_state() -> State:
    """Return the state with node 0 as owner and node 1 as its second copy."""
    owner = Node(epoch=1, second=1, mode="paired", lease=True)
    second = Node(replica=Replica(1, 0, NOTHING))
    return State((owner, second, Node()), Record(0, 1, 1, 0))


def explore(rules: Rules, limits: Limits) -> tuple[int, str]:
    """Visit every reachable state; return their number and the first violation, if any.

    Without a violation, every reachable state has been visited.
    """
    start = initial_state()
    seen = {start}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        if state.violation:
            return len(seen), state.violation
        for next_epoch in map(canonical, successors(state, rules, limits)):
            if next_epoch not in seen:
                seen.add(next_epoch)
                queue.append(next_epoch)
    return len(seen), ""


def canonical(state: State) -> State:
    """Remove parts without any further effect, so that equivalent states are visited once."""
    nodes = tuple(_canonical_node(node) for node in state.nodes)
    writes_in_flight = tuple(
        sorted(each for each in state.writes_in_flight if each[0] == state.record.epoch)
    )
    append, ack = state.append, state.ack
    if append is not None:
        replica = nodes[append[1]].replica
        if replica is None or (replica.epoch, replica.owner) != (append[2], append[0]):
            append = None
    if ack is not None and nodes[ack[0]].epoch != ack[1]:
        ack = None
    return state._replace(
        nodes=nodes,
        writes_in_flight=writes_in_flight,
        append=append,
        ack=ack,
        orders=tuple(sorted(state.orders)),
    )


def _canonical_node(node: Node) -> Node:
    if node.up and not node.epoch and not node.mode:
        return Node(replica=node.replica)
    return node


def successors(state: State, rules: Rules, limits: Limits) -> Iterator[State]:
    """Yield every state that is reachable in one step."""
    yield from _deliver_order(state, rules)
    yield from _deliver_write(state)
    yield from _deliver_message(state, rules)
    for at, node in enumerate(state.nodes):
        if not node.up:
            continue
        yield from _step_crash(state, at, limits)
        yield from _step_second_copy(state, at, rules)
        if node.epoch:
            yield from _start_request(state, at, limits)
            yield from _step_call(state, at, rules)
            yield from _step_repair(state, at, rules)
        if node.mode in ("repairing", "taking"):
            yield from _step_commit(state, at, rules, limits)


def _with_node(state: State, at: int, **changes: object) -> State:
    nodes = list(state.nodes)
    nodes[at] = nodes[at]._replace(**changes)
    return state._replace(nodes=tuple(nodes))


def _step_crash(state: State, at: int, limits: Limits) -> Iterator[State]:
    if state.crashes < limits.crashes:
        nodes = list(state.nodes)
        nodes[at] = Node(up=False)
        yield state._replace(nodes=tuple(nodes), crashes=state.crashes + 1)


def _deliver_order(state: State, rules: Rules) -> Iterator[State]:
    for at, order in enumerate(state.orders):
        without = state._replace(orders=state.orders[:at] + state.orders[at + 1 :])
        yield without
        if rules.endpoint_checks_fence and order.epoch < state.fence:
            continue
        ran = without._replace(executed=state.executed + 1, fence=max(state.fence, order.epoch))
        yield ran._replace(violation="the call ran twice" if ran.executed > 1 else "")


def _deliver_write(state: State) -> Iterator[State]:
    for at, (expected, record) in enumerate(state.writes_in_flight):
        without = state._replace(
            writes_in_flight=state.writes_in_flight[:at] + state.writes_in_flight[at + 1 :]
        )
        yield without
        if state.record.epoch == expected:
            yield without._replace(record=record)


def _deliver_message(state: State, rules: Rules) -> Iterator[State]:
    if state.append is not None:
        sender, receiver, epoch, value = state.append
        yield state._replace(append=None)
        replica = state.nodes[receiver].replica
        accepts = replica is not None and replica.epoch == epoch and replica.owner == sender
        if state.nodes[receiver].up and accepts and not (replica.sealed and rules.seal):
            appended = _with_node(state, receiver, replica=replica._replace(copy=value))
            yield appended._replace(append=None, ack=(sender, epoch, value, True))
    if state.ack is not None:
        sender, epoch, value, fresh = state.ack
        yield state._replace(ack=None)
        node = state.nodes[sender]
        if node.up and node.epoch == epoch and node.mode == "paired":
            call = "ready" if node.call == "appending" and value == INTENDED else node.call
            call = "idle" if value in (DONE, UNKNOWN) else call
            lease = fresh or node.lease
            confirmed = _with_node(state, sender, copy=value, call=call, lease=lease)
            declared = state.declared or value == UNKNOWN
            yield confirmed._replace(ack=None, acked=max(state.acked, value), declared=declared)


def _step_second_copy(state: State, at: int, rules: Rules) -> Iterator[State]:
    node = state.nodes[at]
    replica = node.replica
    if replica is None or node.epoch:
        return
    owner = state.nodes[replica.owner]
    holds_lease = owner.up and owner.lease and owner.epoch == replica.epoch
    if not replica.sealed and not holds_lease:
        ack = None if state.ack is None else (*state.ack[:3], False)
        sealed = _with_node(state, at, replica=replica._replace(sealed=True))
        yield sealed._replace(ack=ack)
    if replica.sealed and node.mode == "":
        entitled = state.record.second == at and state.record.owner == replica.owner
        if entitled and state.record.epoch in (replica.epoch, replica.epoch - 1):
            yield _with_node(state, at, mode="taking", copy=replica.copy)
        else:
            yield _with_node(state, at, replica=None)
        # The store did not answer the read, so the copy is unsealed.
        yield _with_node(state, at, replica=replica._replace(sealed=False))


def _start_request(state: State, at: int, limits: Limits) -> Iterator[State]:
    node = state.nodes[at]
    if state.requests < limits.requests and node.mode == "paired" and node.call == "idle":
        if node.copy in (DONE, UNKNOWN):
            return
        if node.copy == NOTHING:
            started_call = _with_node(state, at, call="begin")
            yield started_call._replace(requests=state.requests + 1)


def _step_call(state: State, at: int, rules: Rules) -> Iterator[State]:
    node = state.nodes[at]
    if node.lease:
        yield _with_node(state, at, lease=False)
    channel_free = state.append is None and state.ack is None
    if node.call == "begin":
        if not rules.intent:
            yield _with_node(state, at, call="ready")
        elif channel_free and node.mode == "paired":
            sent = _with_node(state, at, call="appending")
            yield sent._replace(append=(at, node.second, node.epoch, INTENDED))
    if node.call == "appending":
        # The append timed out; the caller is told that the call did not run.
        yield _with_node(state, at, call="idle", mode="repairing", lease=False)
    if node.call == "ready" and (node.lease or not rules.may_act):
        # The check is the last step before the send; no step of another node occurs in between.
        violation = "an act began after its outcome was declared" if state.declared else ""
        sent = _with_node(state, at, call="sent")
        yield sent._replace(orders=(*state.orders, Order(at, node.epoch)), violation=violation)
    if node.call == "sent" and state.executed and channel_free and node.mode == "paired":
        yield state._replace(append=(at, node.second, node.epoch, DONE))
    interrupted = node.copy == INTENDED and node.call in ("idle", "sent")
    if interrupted and channel_free and node.mode == "paired":
        yield state._replace(append=(at, node.second, node.epoch, UNKNOWN))


def _step_repair(state: State, at: int, rules: Rules) -> Iterator[State]:
    node = state.nodes[at]
    if node.mode == "paired":
        yield _with_node(state, at, mode="repairing", lease=False)
    if node.mode != "repairing":
        return
    second = state.nodes[node.second]
    replica = second.replica
    resume_excluded = node.write is not None and rules.commit_excludes_resume
    same_epoch = replica is not None and (replica.epoch, replica.owner) == (node.epoch, at)
    copies_match = same_epoch and not replica.sealed and replica.copy == node.copy
    if second.up and copies_match and not resume_excluded and state.append is None:
        yield _with_node(state, at, mode="paired", lease=True)._replace(ack=None)


def _step_commit(state: State, at: int, rules: Rules, limits: Limits) -> Iterator[State]:
    node = state.nodes[at]
    epoch = node.epoch or node.replica.epoch
    next_epoch = state.record.epoch + 1
    write_succeeded = node.write is not None and state.record == node.write
    if write_succeeded:
        yield _begin_epoch(state, at, node.write)
        return
    may_write = (node.epoch and state.record.owner == at and state.record.epoch == epoch) or (
        node.mode == "taking" and state.record.second == at and state.record.epoch <= epoch
    )
    if not may_write:
        yield _with_node(
            state, at, epoch=0, mode="", lease=False, call="idle", replica=None, write=None
        )
        return
    if next_epoch > limits.last_epoch:
        return
    if node.write is None:
        for target in range(len(state.nodes)):
            yield from _install(state, at, target, next_epoch)
    if node.target == NO_NODE:
        return
    if rules.snapshot_must_be_current and node.installed != node.copy:
        return
    record = node.write or Record(at, node.target, next_epoch, at + 10 * state.lost_writes)
    if record.epoch == next_epoch:
        yield _begin_epoch(state._replace(record=record), at, record)
    if node.write is None and state.lost_writes < limits.lost_writes:
        lost = state._replace(
            writes_in_flight=(*state.writes_in_flight, (state.record.epoch, record)),
            lost_writes=state.lost_writes + 1,
        )
        yield _with_node(lost, at, write=record)
        yield _with_node(
            lost._replace(writes_in_flight=state.writes_in_flight, record=record), at, write=record
        )
    if node.mode == "taking" and (node.write is None or not rules.unseal_only_when_nothing_written):
        unsealed = node.replica._replace(sealed=False)
        yield _with_node(state, at, mode="", target=NO_NODE, write=None, replica=unsealed)


def _install(state: State, at: int, target: int, epoch: int) -> Iterator[State]:
    target_node = state.nodes[target]
    if target == at or not target_node.up or target_node.epoch or target_node.mode:
        return
    present_replica = target_node.replica
    copy = state.nodes[at].copy
    if present_replica is not None and target == state.nodes[at].second:
        return
    if present_replica is not None and present_replica.epoch >= epoch:
        reinstall = (present_replica.epoch, present_replica.owner) == (
            epoch,
            at,
        ) and present_replica.copy < copy
        if not reinstall or present_replica.sealed:
            return
    prepared = _with_node(state, target, replica=Replica(epoch, at, copy))
    yield _with_node(prepared, at, target=target, installed=copy)


def _begin_epoch(state: State, at: int, record: Record) -> State:
    """Become the owner at a new epoch; every acknowledged entry must be present."""
    node = state.nodes[at]
    violation = "an acknowledged entry is lost" if state.acked > node.copy else ""
    copy = state.nodes[record.second].replica
    # A copy seals only after the lease, which starts at the snapshot request, has expired.
    lease = copy is not None and copy.epoch == record.epoch and not copy.sealed
    started = _with_node(
        state,
        at,
        epoch=record.epoch,
        second=record.second,
        mode="paired",
        lease=lease,
        target=NO_NODE,
        write=None,
        replica=None,
    )
    return started._replace(violation=violation)
