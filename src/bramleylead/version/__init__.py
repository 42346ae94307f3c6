"""What lives for a version: change tickets and the configuration that they add up to."""

from __future__ import annotations

from bramleylead.version._config import Config
from bramleylead.version._config import apply_ticket
from bramleylead.version._schema import Branch
from bramleylead.version._schema import Budget
from bramleylead.version._schema import Endpoint
from bramleylead.version._schema import EndpointKind
from bramleylead.version._schema import ProgramKind
from bramleylead.version._schema import Ticket
from bramleylead.version._schema import Tool
from bramleylead.version._validation import check_ticket
from bramleylead.version._validation import parse_ticket
from bramleylead.version._validation import validate_ticket

__all__ = [
    "Branch",
    "Budget",
    "Config",
    "Endpoint",
    "EndpointKind",
    "ProgramKind",
    "Ticket",
    "Tool",
    "apply_ticket",
    "check_ticket",
    "parse_ticket",
    "validate_ticket",
]
