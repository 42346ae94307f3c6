"""Reads and validates a node's settings file; a node does not start with invalid settings."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from urllib.parse import urlsplit

from result import Err
from result import Ok
from result import Result

from bramleylead.json_documents import Fault
from bramleylead.json_documents import show_value
from bramleylead.node_settings import NodeSettings
from bramleylead.node_settings import StoreSettings
from bramleylead.request import key_matches
from bramleylead.validation import load_model
from bramleylead.version._addresses import address_fault

Faults = tuple[Fault, ...]


def load_settings(path: Path) -> Result[NodeSettings, Faults]:
    """Read and check a settings file; an ``Err`` holds every fault found."""
    try:
        text = path.read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        return Err((Fault("(file)", str(path), f"must be a readable file: {reason}"),))
    return parse_settings(text)


def parse_settings(text: str | bytes) -> Result[NodeSettings, Faults]:
    """Read and check settings; an ``Err`` holds every fault found."""
    loaded = load_model(NodeSettings, text)
    if isinstance(loaded, Err):
        return loaded
    faults = tuple(_check(loaded.ok_value))
    return Err(faults) if faults else Ok(loaded.ok_value)


def check_together(nodes: dict[str, NodeSettings]) -> Faults:
    """Return conflicts between the settings of nodes of one deployment, given by file name."""
    faults: list[Fault] = []
    taken: dict[str, str] = {}
    for file, settings in nodes.items():
        claims = (
            ("node", settings.node),
            ("peer_address", settings.peer_address),
            ("http_address", settings.http_address),
        )
        for field, value in claims:
            if value in taken:
                faults.append(Fault(f"{file}: {field}", value, f"{taken[value]} has it already"))
            elif not value.endswith(":0"):
                taken[value] = f"{file}: {field}"
    faults += _check_shared(nodes)
    return tuple(faults)


def _check_shared(nodes: dict[str, NodeSettings]) -> Iterator[Fault]:
    """Yield the settings that differ but must be the same on all nodes of a deployment."""
    files = list(nodes)
    for file in files[1:]:
        first, other = nodes[files[0]], nodes[file]
        if other.cluster_key != first.cluster_key:
            yield Fault(f"{file}: cluster_key", "(hidden)", f"must be the one in {files[0]}")
        if other.partitions.count != first.partitions.count:
            count = first.partitions.count
            shown = show_value(other.partitions.count)
            yield Fault(f"{file}: partitions.count", shown, f"must be {count} as in {files[0]}")


def _check(settings: NodeSettings) -> Iterator[Fault]:
    yield from _check_addresses(settings)
    yield from _check_store(settings.store)
    yield from _check_times(settings)
    if key_matches(settings.cluster_key, settings.operator_key_sha256):
        allowed = "must differ from the operators' key"
        yield Fault("cluster_key", "(hidden)", allowed)


def _check_addresses(settings: NodeSettings) -> Iterator[Fault]:
    for field in ("peer_address", "http_address"):
        address = getattr(settings, field)
        allowed = address_fault(address, any_port=True)
        if allowed:
            yield Fault(field, show_value(address), allowed)
    same = settings.peer_address == settings.http_address
    if same and not settings.peer_address.endswith(":0"):
        shown = show_value(settings.http_address)
        yield Fault("http_address", shown, "must differ from peer_address")


def _check_store(store: StoreSettings) -> Iterator[Fault]:
    shown = show_value(store.location)
    if store.kind == "folder" and not store.location:
        yield Fault("store.location", shown, "must name a folder when store.kind is folder")
    if store.kind == "memory" and store.location:
        yield Fault("store.location", shown, "must be left out when store.kind is memory")
    if store.kind == "http":
        url = urlsplit(store.location)
        if url.scheme != "http" or address_fault(url.netloc if ":" in url.netloc else ":0"):
            yield Fault("store.location", shown, "must be http://IP:PORT when store.kind is http")


def _check_times(settings: NodeSettings) -> Iterator[Fault]:
    parts, members, tickets = settings.partitions, settings.membership, settings.tickets
    if parts.takeover_after_s <= 2 * parts.heartbeat_s:
        allowed = f"must exceed twice partitions.heartbeat_s, {2 * parts.heartbeat_s:g}"
        yield Fault("partitions.takeover_after_s", show_value(parts.takeover_after_s), allowed)
    if members.probe_timeout_s > members.probe_interval_s:
        allowed = f"must be at most membership.probe_interval_s, {members.probe_interval_s:g}"
        yield Fault("membership.probe_timeout_s", show_value(members.probe_timeout_s), allowed)
    if tickets.watch_s >= tickets.current_within_s:
        allowed = f"must be less than tickets.current_within_s, {tickets.current_within_s:g}"
        yield Fault("tickets.watch_s", show_value(tickets.watch_s), allowed)
