"""A small model of the ledger's quorum and changes of members, for exhaustive state exploration.

All steps may occur in any order. A node that takes no step is silent, frozen, cut off or killed,
and comes back when it takes one; a change that takes none is one whose store is away. The counts
are those of ``LedgerView``. ``Rules`` can switch off single mechanisms.

What can only put a record on more disks, or make a node refuse an epoch earlier, is left out:
copies in the background, retries of an entry, changes given up half-way, and more members that
synchronise than are required. Each record's fate is independent of the others.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import cache
from itertools import combinations

from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from testing.ledger.quorum_state import Change
from testing.ledger.quorum_state import Entry
from testing.ledger.quorum_state import Explored
from testing.ledger.quorum_state import Limits
from testing.ledger.quorum_state import Node
from testing.ledger.quorum_state import Rules
from testing.ledger.quorum_state import State

TURN_UNKNOWN = "an acknowledged turn is reported as unknown"
SUM_TOO_SMALL = "a sum lacks an acknowledged settlement"


def explore(rules: Rules, limits: Limits) -> Explored:
    """Visit every reachable state; without a violation, all of them have been visited."""
    start = _initial_state(limits)
    before: dict[State, State | None] = {start: None}
    waiting = [start]
    while waiting:
        state = waiting.pop()
        for after in _successors(state, rules, limits):
            checked = _observe(after, rules, limits)
            if checked in before:
                continue
            before[checked] = state
            if checked.violation:
                return Explored(len(before), checked.violation, _path(checked, before))
            waiting.append(checked)
    return Explored(len(before), "", ())


def _path(state: State, before: dict[State, State | None]) -> tuple[State, ...]:
    path = []
    at: State | None = state
    while at is not None:
        path.append(at)
        at = before[at]
    return tuple(reversed(path))


def _initial_state(limits: Limits) -> State:
    first = LedgerView(1, tuple(_listed(at, 0) for at in range(limits.members)))
    nodes = tuple(Node(1) for _ in range(limits.nodes))
    return State((first,), nodes, (Entry(),) * limits.records)


@cache
def _listed(at: int, disk: int) -> LedgerMember:
    return LedgerMember(str(at), "", str(disk))


def _members(state: State, epoch: int) -> list[int]:
    """Return the nodes of a view that still have the listed disk."""
    listed = state.views[epoch - 1].members
    return [at for at, node in enumerate(state.nodes) if _listed(at, node.disk) in listed]


def _successors(state: State, rules: Rules, limits: Limits) -> Iterator[State]:
    for number, entry in enumerate(state.entries):
        if not entry.is_acked:
            yield from _step_entry(state, number, entry, rules, limits)
    for at in range(len(state.nodes)):
        yield from _step_adopt(state, at)
        yield from _step_wipe(state, at, rules, limits)
    if state.change is not None:
        yield from _step_change(state, state.change, rules)
    elif len(state.views) <= limits.changes:
        yield from _start_join(state, rules, limits)
        yield from _start_removal(state, rules, limits)
        view = state.views[-1]
        if (rules.settled_holder_joins and _all_must_acknowledge(view, limits)) or (
            rules.settled_members_count and view.may_remove_silent(limits.losses)
        ):
            yield from _step_settle(state, rules)


def _with_node(state: State, at: int, node: Node) -> State:
    return state._replace(nodes=(*state.nodes[:at], node, *state.nodes[at + 1 :]))


def _with_entry(state: State, number: int, entry: Entry) -> State:
    entries = (*state.entries[:number], entry, *state.entries[number + 1 :])
    return state._replace(entries=entries)


def _step_entry(
    state: State, number: int, entry: Entry, rules: Rules, limits: Limits
) -> Iterator[State]:
    views = [state.views[entry.epoch - 1]] if entry.epoch else state.views
    for view in views:
        if len(view.members) > limits.losses:
            yield from _step_write(state, number, entry._replace(epoch=view.epoch), rules, limits)


def _step_write(
    state: State, number: int, entry: Entry, rules: Rules, limits: Limits
) -> Iterator[State]:
    may_write = {
        at
        for at in _members(state, entry.epoch)
        if state.nodes[at].epoch == entry.epoch and at not in entry.writing | entry.acks
    }
    if rules.second_epoch_check:
        written = may_write
    else:
        written = entry.writing
        for at in may_write:
            yield _with_entry(state, number, entry._replace(writing=entry.writing | {at}))
    for at in written:
        node = state.nodes[at]
        acks = entry.acks | {at}
        kept = entry._replace(writing=entry.writing - {at}, acks=acks)
        if len(acks) >= state.views[entry.epoch - 1].acks_needed(limits.losses):
            kept = Entry(is_acked=True)
        on_disk = _with_node(state, at, node._replace(records=node.records | {number}))
        yield _with_entry(on_disk, number, kept)


def _step_adopt(state: State, at: int) -> Iterator[State]:
    node = state.nodes[at]
    for view in state.views[node.epoch :]:
        if _listed(at, node.disk) in view.members:
            yield _with_node(state, at, node.at_epoch(view.epoch))


def _step_settle(state: State, rules: Rules) -> Iterator[State]:
    """Let one node of the latest epoch settle; a change is made on the word of one node only."""
    latest = len(state.views)
    members = _members(state, latest)
    settling = [at for at in members if state.nodes[at].settled]
    for at in settling or members:
        node = state.nodes[at]
        for source in members:
            has_adopted = state.nodes[source].epoch == latest or not rules.settled_sources_adopted
            if source != at and node.epoch == latest and has_adopted:
                settled = node._replace(settled=node.settled | {source})
                yield _copy(_with_node(state, at, settled), at, source)


def _step_wipe(state: State, at: int, rules: Rules, limits: Limits) -> Iterator[State]:
    node = state.nodes[at]
    if state.wipes >= limits.wipes or at not in _members(state, len(state.views)):
        return
    wiped = _with_node(state, at, Node(0, disk=node.disk + 1))
    entries = tuple(each._replace(writing=each.writing - {at}) for each in state.entries)
    change = state.change
    if change is not None and change.initiator == at:
        change = None
    yield wiped._replace(entries=entries, change=change, wipes=state.wipes + 1)


def _start_join(state: State, rules: Rules, limits: Limits) -> Iterator[State]:
    view = state.views[-1]
    required = view.syncs_before_join(limits.losses) if rules.full_sync_before_join else 1
    if rules.one_holder_joins and view.acks_needed(limits.losses) == len(view.members):
        required = 1
    for joiner in range(len(state.nodes)):
        if view.member(str(joiner)) is None:
            for live in _live_sets(_members(state, view.epoch), required):
                yield state._replace(change=Change(joiner, joiner, joins=True, live=live))
            if rules.settled_holder_joins:
                yield from _join_by_settled(state, joiner, limits)


def _all_must_acknowledge(view: LedgerView, limits: Limits) -> bool:
    return view.acks_needed(limits.losses) == len(view.members)


def _join_by_settled(state: State, joiner: int, limits: Limits) -> Iterator[State]:
    view = state.views[-1]
    if not _all_must_acknowledge(view, limits):
        return
    for at in _members(state, view.epoch):
        others = {int(member.node) for member in view.members} - {at}
        if state.nodes[at].epoch == view.epoch and others <= state.nodes[at].settled:
            yield state._replace(change=Change(joiner, joiner, joins=True, live=(at,)))


def _start_removal(state: State, rules: Rules, limits: Limits) -> Iterator[State]:
    view = state.views[-1]
    members = _members(state, view.epoch)
    for member in view.members:
        subject = int(member.node)
        others = [at for at in members if at != subject]
        if rules.removal_covers_former_epochs:
            lost = len(view.members) - 1 - len(others) if subject not in members else 0
            required = view.syncs_before_removal(limits.losses, lost=lost)
        else:
            required = view.syncs_before_retirement(limits.losses)
        for live in _live_sets(others, required):
            if subject not in members:
                yield state._replace(change=Change(subject, subject, joins=False, live=live))
            elif view.may_remove_silent(limits.losses):
                yield state._replace(change=Change(live[0], subject, joins=False, live=live))
        if rules.settled_members_count and view.may_remove_silent(limits.losses):
            yield from _remove_by_settled(state, subject, others, required, limits)
        if subject in members and state.leaves < limits.leaves:
            yield from _leave(state, subject, others, rules, limits)


def _remove_by_settled(
    state: State, subject: int, others: list[int], required: int, limits: Limits
) -> Iterator[State]:
    view = state.views[-1]
    for live in _live_sets(others, view.syncs_before_retirement(limits.losses)):
        for initiator in live:
            node = state.nodes[initiator]
            if node.epoch == view.epoch and len(node.settled.union(live)) >= required:
                yield state._replace(change=Change(initiator, subject, joins=False, live=live))


def _leave(
    state: State, subject: int, others: list[int], rules: Rules, limits: Limits
) -> Iterator[State]:
    view = state.views[-1]
    node = state.nodes[subject]
    adopted = _with_node(state, subject, node.at_epoch(view.epoch))
    sources = (subject,) if rules.leaver_is_source else ()
    for live in _live_sets(others, view.syncs_before_retirement(limits.losses)):
        change = Change(subject, subject, joins=False, live=live, also_from=sources)
        yield adopted._replace(change=change, leaves=state.leaves + 1)


def _live_sets(members: list[int], required: int) -> Iterator[tuple[int, ...]]:
    yield from combinations(members, required)


def _step_change(state: State, change: Change, rules: Rules) -> Iterator[State]:
    view = state.views[-1]
    copies = _copies(change, rules)
    members = _members(state, view.epoch)
    if change.step < len(copies):
        at, source = copies[change.step]
        if rules.sources_checked and source != at and source not in members:
            yield state._replace(change=None)
            return
        copied = _copy(state, at, source) if rules.members_copy else state
        node = copied.nodes[at]
        caught_up = _with_node(copied, at, node.at_epoch(view.epoch))
        yield caught_up._replace(change=change._replace(step=change.step + 1))
    elif rules.disk_checked_after_copies and change.joins and not change.is_checked:
        has_all = all(at in members for at in change.live)
        checked = change._replace(is_checked=True) if has_all else None
        yield state._replace(change=checked)
    else:
        subject = _listed(change.subject, state.nodes[change.subject].disk)
        after = view.with_member(subject) if change.joins else view.without(subject.node)
        nodes = tuple(node._replace(settled=frozenset()) for node in state.nodes)
        yield state._replace(views=(*state.views, after), nodes=nodes, change=None)


def _copies(change: Change, rules: Rules) -> list[tuple[int, int]]:
    """Return which node copies from which one, in order; one without a source only adopts."""
    copies = []
    for at in change.live * (2 if rules.second_pass else 1):
        sources = [source for source in change.live + change.also_from if source != at]
        copies += [(at, source) for source in sources or [at]]
    if change.joins:
        copies += [(change.subject, source) for source in change.live]
    return copies


def _copy(state: State, at: int, source: int) -> State:
    node = state.nodes[at]
    records = node.records | state.nodes[source].records
    return _with_node(state, at, node._replace(records=records))


def _observe(state: State, rules: Rules, limits: Limits) -> State:
    """Add which members now lack acknowledged records, and whether that may mislead a caller."""
    entries = []
    violation = ""
    for number, entry in enumerate(state.entries):
        if entry.is_acked:
            entry = entry._replace(absent=_absent(state, number, entry))
            violation = violation or _violation(state, entry, rules, limits)
        entries.append(entry)
    return state._replace(entries=tuple(entries), violation=violation)


def _absent(state: State, number: int, entry: Entry) -> tuple[frozenset[int], ...]:
    absent = list(entry.absent)
    absent += [frozenset()] * (len(state.views) - len(absent))
    for at, node in enumerate(state.nodes):
        if not node.epoch or number in node.records:
            continue
        if _listed(at, node.disk) in state.views[node.epoch - 1].members:
            absent[node.epoch - 1] |= {at}
    return tuple(absent)


def _violation(state: State, entry: Entry, rules: Rules, limits: Limits) -> str:
    for view, absent in zip(state.views, entry.absent, strict=True):
        acks = view.acks_needed(limits.losses)
        needed = view.absences_needed(limits.losses)
        if not rules.absences_of_former_epochs:
            needed = len(view.members) - acks + 1
        if len(absent) >= needed:
            return TURN_UNKNOWN
        if len(absent) >= acks:
            return SUM_TOO_SMALL
    return ""
