"""Explores larger state spaces of the quorum model, by hand.

``python -m testing.ledger.quorum_deep``
"""

from __future__ import annotations

from testing.ledger.quorum_model import explore
from testing.ledger.quorum_state import Limits
from testing.ledger.quorum_state import Rules

DEEP = (
    Limits(),
    Limits(wipes=1, leaves=0),
    Limits(members=2, changes=3, leaves=0),
    Limits(wipes=1),
    Limits(members=2, changes=3),
    Limits(nodes=5),
    Limits(members=3, nodes=5, losses=2),
    Limits(members=2, records=3),
    Limits(members=4, leaves=2),
    Limits(members=4, leaves=2, wipes=1),
    Limits(members=4, nodes=5, losses=2),
)


def main() -> None:
    """Print what each exploration finds, with the steps to a violation."""
    for limits in DEEP:
        explored = explore(Rules(), limits)
        found = explored.violation or "sound"
        print(f"{explored.state_count} states, {limits}: {found}", flush=True)
        for state in explored.path:
            print(f"  {state}")


if __name__ == "__main__":
    main()
