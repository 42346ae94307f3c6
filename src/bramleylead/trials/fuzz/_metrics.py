"""Requests to the ports for metrics and readiness: valid ones, and ones broken in one place."""

from __future__ import annotations

import random

from bramleylead.trials.fuzz._breaking import ODD_TEXTS
from bramleylead.trials.fuzz._breaking import damage
from bramleylead.trials.fuzz._breaking import split
from bramleylead.trials.fuzz._callers import ODD_CHUNKS
from bramleylead.trials.fuzz._callers import ODD_LINES
from bramleylead.trials.fuzz._cases import Case
from bramleylead.trials.fuzz._cases import TargetKind

ROLES = ("gateway", "ledger", "ready")
PATHS = ("/metrics", "/dump", "/api/readiness", "/", "/%ff", "/metrics?a=%zz", "*")
METHODS = ("GET", "POST", "HEAD", "OPTIONS", "DELETE", "CONNECT", "X" * 300)
HEADERS = ("accept", "accept-encoding", "content-length", "host", "connection", "range", "upgrade")


class MetricsCases:
    """Draws the cases of the ports that monitoring and the balancer use.

    :param rng: draws all of them.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def draw(self) -> Case:
        """Return the next case."""
        rng = self._rng
        start = f"{rng.choice(METHODS)} {rng.choice(PATHS)} HTTP/1.1\r\nhost: a\r\n".encode()
        header = f"{rng.choice(HEADERS)}: {rng.choice(ODD_TEXTS)}\r\n".encode("latin-1")
        chunked = b"transfer-encoding: chunked\r\n\r\n" + rng.choice(ODD_CHUNKS)
        name, data = rng.choice(
            (
                ("header", start + header + b"\r\n"),
                ("line", start + rng.choice(ODD_LINES) + b"\r\n"),
                ("chunks", start + chunked),
                ("joined", (start + b"\r\n") * rng.randrange(2, 30)),
                ("damaged", damage(start + header + b"\r\n", rng)),
                ("noise", rng.randbytes(rng.randrange(1, 300))),
            )
        )
        return Case(TargetKind.METRICS, rng.choice(ROLES), name, split(data, rng))
