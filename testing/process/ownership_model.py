"""A small model of ownership and of one call that may not be repeated, for exhaustive exploration.

Three nodes, one partition, one call and its retry. Every message, write and pause may come in any
order: a node that does not move is a paused node. Time enters in one way only: a second copy seals
once the owner's right to act has lapsed, which the timing argument in docs/design/ownership.md
justifies. ``Rules`` switches the mechanisms off one at a time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

NOBODY = -1
NOTHING, INTENDED, DONE, UNKNOWN = range(4)


class Rules(NamedTuple):
    """Mechanisms of the protocol, and the kind of endpoint."""

    seal: bool = True
    intent: bool = True
    may_act: bool = True
    unseal_only_when_nothing_written: bool = True
    commit_excludes_resume: bool = True
    snapshot_must_be_current: bool = True
    endpoint_checks_fence: bool = False


class Limits(NamedTuple):
    """Bounds of the exploration."""

    crashes: int = 1
    requests: int = 2
    lost_writes: int = 1
    last_epoch: int = 3


class Record(NamedTuple):
    """The partition object; ``writer`` makes each write distinct."""

    owner: int
    second: int
    epoch: int
    writer: int


class Replica(NamedTuple):
    """A second copy and how far it is sealed."""

    epoch: int
    owner: int
    copy: int
    sealed: bool = False


class Node(NamedTuple):
    """One node.

    :param epoch: epoch at which it believes to own the partition, 0 if it does not.
    :param mode: ``paired``, ``repairing`` or ``taking`` (sealed, not yet owner).
    :param lease: whether it may act.
    :param call: what it does with the call: ``idle``, ``appending``, ``ready``, ``checked``,
        ``sent``.
    :param target: second copy installed for the next epoch; ``installed`` is that copy.
    :param write: its partition object whose outcome is not known.
    """

    up: bool = True
    epoch: int = 0
    second: int = NOBODY
    mode: str = ""
    lease: bool = False
    copy: int = NOTHING
    call: str = "idle"
    target: int = NOBODY
    installed: int = NOTHING
    write: Record | None = None
    replica: Replica | None = None


class Order(NamedTuple):
    """An order on its way to the endpoint."""

    sender: int
    epoch: int


class State(NamedTuple):
    """Everything at one moment."""

    nodes: tuple[Node, ...]
    record: Record
    late: tuple[tuple[int, Record], ...] = ()
    """Writes still under way, each with the epoch that it expects."""
    append: tuple[int, int, int, int] | None = None
    """An append under way: sender, receiver, epoch, value."""
    ack: tuple[int, int, int, bool] | None = None
    """An acknowledgement under way: receiver, epoch, value, and whether it still gives a lease."""
    orders: tuple[Order, ...] = ()
    executed: int = 0
    fence: int = 0
    acked: int = NOTHING
    declared: bool = False
    requests: int = 0
    crashes: int = 0
    lost_writes: int = 0
    broken: str = ""


def first_state() -> State:
    """Return the state with node 0 as owner and node 1 as its second copy."""
    owner = Node(epoch=1, second=1, mode="paired", lease=True)
    second = Node(replica=Replica(1, 0, NOTHING))
    return State((owner, second, Node()), Record(0, 1, 1, 0))


def explore(rules: Rules, limits: Limits) -> tuple[int, str]:
    """Visit every reachable state; return their number and the first broken rule, if any.

    It returns early only for a broken rule: without one, no reachable state was left out.
    """
    start = first_state()
    seen = {start}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        if state.broken:
            return len(seen), state.broken
        for following in map(canonical, successors(state, rules, limits)):
            if following not in seen:
                seen.add(following)
                queue.append(following)
    return len(seen), ""


def canonical(state: State) -> State:
    """Drop what can have no effect any more, so that equivalent states are visited once."""
    nodes = tuple(_canonical_node(node) for node in state.nodes)
    late = tuple(sorted(each for each in state.late if each[0] == state.record.epoch))
    append, ack = state.append, state.ack
    if append is not None:
        replica = nodes[append[1]].replica
        if replica is None or (replica.epoch, replica.owner) != (append[2], append[0]):
            append = None
    if ack is not None and nodes[ack[0]].epoch != ack[1]:
        ack = None
    return state._replace(
        nodes=nodes, late=late, append=append, ack=ack, orders=tuple(sorted(state.orders))
    )


def _canonical_node(node: Node) -> Node:
    if node.up and not node.epoch and not node.mode:
        return Node(replica=node.replica)
    return node


def successors(state: State, rules: Rules, limits: Limits) -> Iterator[State]:
    """Return every state that one step leads to."""
    yield from _endpoint(state, rules)
    yield from _late_writes(state)
    yield from _messages(state, rules)
    for at, node in enumerate(state.nodes):
        if not node.up:
            continue
        yield from _crash(state, at, limits)
        yield from _second_copy(state, at, rules)
        if node.epoch:
            yield from _caller(state, at, limits)
            yield from _run_call(state, at, rules)
            yield from _repair(state, at, rules)
        if node.mode in ("repairing", "taking"):
            yield from _commit(state, at, rules, limits)


def _with(state: State, at: int, **changes: object) -> State:
    nodes = list(state.nodes)
    nodes[at] = nodes[at]._replace(**changes)
    return state._replace(nodes=tuple(nodes))


def _crash(state: State, at: int, limits: Limits) -> Iterator[State]:
    if state.crashes < limits.crashes:
        nodes = list(state.nodes)
        nodes[at] = Node(up=False)
        yield state._replace(nodes=tuple(nodes), crashes=state.crashes + 1)


def _endpoint(state: State, rules: Rules) -> Iterator[State]:
    for at, order in enumerate(state.orders):
        rest = state._replace(orders=state.orders[:at] + state.orders[at + 1 :])
        yield rest
        if rules.endpoint_checks_fence and order.epoch < state.fence:
            continue
        ran = rest._replace(executed=state.executed + 1, fence=max(state.fence, order.epoch))
        yield ran._replace(broken="the call ran twice" if ran.executed > 1 else "")


def _late_writes(state: State) -> Iterator[State]:
    for at, (expected, record) in enumerate(state.late):
        rest = state._replace(late=state.late[:at] + state.late[at + 1 :])
        yield rest
        if state.record.epoch == expected:
            yield rest._replace(record=record)


def _messages(state: State, rules: Rules) -> Iterator[State]:
    if state.append is not None:
        sender, receiver, epoch, value = state.append
        yield state._replace(append=None)
        replica = state.nodes[receiver].replica
        accepts = replica is not None and replica.epoch == epoch and replica.owner == sender
        if state.nodes[receiver].up and accepts and not (replica.sealed and rules.seal):
            taken = _with(state, receiver, replica=replica._replace(copy=value))
            yield taken._replace(append=None, ack=(sender, epoch, value, True))
    if state.ack is not None:
        sender, epoch, value, fresh = state.ack
        yield state._replace(ack=None)
        node = state.nodes[sender]
        if node.up and node.epoch == epoch and node.mode == "paired":
            call = "ready" if node.call == "appending" and value == INTENDED else node.call
            call = "idle" if value in (DONE, UNKNOWN) else call
            lease = fresh or node.lease
            confirmed = _with(state, sender, copy=value, call=call, lease=lease)
            declared = state.declared or value == UNKNOWN
            yield confirmed._replace(ack=None, acked=max(state.acked, value), declared=declared)


def _second_copy(state: State, at: int, rules: Rules) -> Iterator[State]:
    node = state.nodes[at]
    replica = node.replica
    if replica is None or node.epoch:
        return
    owner = state.nodes[replica.owner]
    holds_lease = owner.up and owner.lease and owner.epoch == replica.epoch
    if not replica.sealed and not holds_lease:
        ack = None if state.ack is None else (*state.ack[:3], False)
        sealed = _with(state, at, replica=replica._replace(sealed=True))
        yield sealed._replace(ack=ack)
    if replica.sealed and node.mode == "":
        entitled = state.record.second == at and state.record.owner == replica.owner
        if entitled and state.record.epoch in (replica.epoch, replica.epoch - 1):
            yield _with(state, at, mode="taking", copy=replica.copy)
        else:
            yield _with(state, at, replica=None)
        # The store did not answer the read: be a second copy again.
        yield _with(state, at, replica=replica._replace(sealed=False))


def _caller(state: State, at: int, limits: Limits) -> Iterator[State]:
    node = state.nodes[at]
    if state.requests < limits.requests and node.mode == "paired" and node.call == "idle":
        if node.copy in (DONE, UNKNOWN):
            return
        if node.copy == NOTHING:
            started = _with(state, at, call="begin")
            yield started._replace(requests=state.requests + 1)


def _run_call(state: State, at: int, rules: Rules) -> Iterator[State]:
    node = state.nodes[at]
    if node.lease:
        yield _with(state, at, lease=False)
    free = state.append is None and state.ack is None
    if node.call == "begin":
        if not rules.intent:
            yield _with(state, at, call="ready")
        elif free and node.mode == "paired":
            sent = _with(state, at, call="appending")
            yield sent._replace(append=(at, node.second, node.epoch, INTENDED))
    if node.call == "appending":
        # The append timed out: the caller is told that the call did not run.
        yield _with(state, at, call="idle", mode="repairing", lease=False)
    if node.call == "ready" and (node.lease or not rules.may_act):
        # The check is the last step before the send: no other node's step comes in between.
        broken = "an act began after its outcome was declared" if state.declared else ""
        sent = _with(state, at, call="sent")
        yield sent._replace(orders=(*state.orders, Order(at, node.epoch)), broken=broken)
    if node.call == "sent" and state.executed and free and node.mode == "paired":
        yield state._replace(append=(at, node.second, node.epoch, DONE))
    interrupted = node.copy == INTENDED and node.call in ("idle", "sent")
    if interrupted and free and node.mode == "paired":
        yield state._replace(append=(at, node.second, node.epoch, UNKNOWN))


def _repair(state: State, at: int, rules: Rules) -> Iterator[State]:
    node = state.nodes[at]
    if node.mode == "paired":
        yield _with(state, at, mode="repairing", lease=False)
    if node.mode != "repairing":
        return
    second = state.nodes[node.second]
    replica = second.replica
    excluded = node.write is not None and rules.commit_excludes_resume
    same = replica is not None and (replica.epoch, replica.owner) == (node.epoch, at)
    whole = same and not replica.sealed and replica.copy == node.copy
    if second.up and whole and not excluded and state.append is None:
        yield _with(state, at, mode="paired", lease=True)._replace(ack=None)


def _commit(state: State, at: int, rules: Rules, limits: Limits) -> Iterator[State]:
    node = state.nodes[at]
    epoch = node.epoch or node.replica.epoch
    following = state.record.epoch + 1
    ours = node.write is not None and state.record == node.write
    if ours:
        yield _begin(state, at, node.write)
        return
    believed = (node.epoch and state.record.owner == at and state.record.epoch == epoch) or (
        node.mode == "taking" and state.record.second == at and state.record.epoch <= epoch
    )
    if not believed:
        yield _with(state, at, epoch=0, mode="", lease=False, call="idle", replica=None, write=None)
        return
    if following > limits.last_epoch:
        return
    if node.write is None:
        for target in range(len(state.nodes)):
            yield from _install(state, at, target, following)
    if node.target == NOBODY:
        return
    if rules.snapshot_must_be_current and node.installed != node.copy:
        return
    record = node.write or Record(at, node.target, following, at + 10 * state.lost_writes)
    if record.epoch == following:
        yield _begin(state._replace(record=record), at, record)
    if node.write is None and state.lost_writes < limits.lost_writes:
        lost = state._replace(
            late=(*state.late, (state.record.epoch, record)), lost_writes=state.lost_writes + 1
        )
        yield _with(lost, at, write=record)
        yield _with(lost._replace(late=state.late, record=record), at, write=record)
    if node.mode == "taking" and (node.write is None or not rules.unseal_only_when_nothing_written):
        unsealed = node.replica._replace(sealed=False)
        yield _with(state, at, mode="", target=NOBODY, write=None, replica=unsealed)


def _install(state: State, at: int, target: int, epoch: int) -> Iterator[State]:
    there = state.nodes[target]
    if target == at or not there.up or there.epoch or there.mode:
        return
    present = there.replica
    copy = state.nodes[at].copy
    if present is not None and target == state.nodes[at].second:
        return
    if present is not None and present.epoch >= epoch:
        again = (present.epoch, present.owner) == (epoch, at) and present.copy < copy
        if not again or present.sealed:
            return
    prepared = _with(state, target, replica=Replica(epoch, at, copy))
    yield _with(prepared, at, target=target, installed=copy)


def _begin(state: State, at: int, record: Record) -> State:
    """Own the partition at a new epoch; what was acknowledged must be there."""
    node = state.nodes[at]
    broken = "an acknowledged entry is lost" if state.acked > node.copy else ""
    copy = state.nodes[record.second].replica
    # A seal comes only when the lease, which counts from the snapshot's request, has run out.
    lease = copy is not None and copy.epoch == record.epoch and not copy.sealed
    begun = _with(
        state,
        at,
        epoch=record.epoch,
        second=record.second,
        mode="paired",
        lease=lease,
        target=NOBODY,
        write=None,
        replica=None,
    )
    return begun._replace(broken=broken)
