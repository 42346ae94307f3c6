"""Checks that a text is one JSON document of bounded numbers, and words its faults.

Needs no model: what reads settings or bodies into one builds on this.
"""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from bramleylead.json_input import MAX_INTEGER
from bramleylead.json_input import MIN_INTEGER

SHOWN_VALUE_CHARACTERS = 60
MAX_INTEGER_DIGITS = 20
SECRET_WORDS = ("key", "secret", "token_value", "password")
HIDDEN = "(hidden)"
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
ADDRESS_PATTERN = r"^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$"


class Fault(NamedTuple):
    """One thing that is wrong in a file or a body."""

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value}: {self.allowed}"


def check_document(text: str | bytes) -> Fault | None:
    """Return the fault of a text that is not one JSON document, such as one that is cut off."""
    try:
        json.loads(text)
    except (json.JSONDecodeError, UnicodeDecodeError) as error:
        return _document_fault(error)
    except (RecursionError, ValueError):
        pass
    return None


def show_value(value: Any) -> str:
    """Return a value as short JSON."""
    text = json.dumps(value, ensure_ascii=False, default=str)
    if len(text) <= SHOWN_VALUE_CHARACTERS:
        return text
    return text[: SHOWN_VALUE_CHARACTERS - 3] + "..."


def show_field(location: Sequence[int | str], value: Any) -> str:
    """Return the value of a field as short JSON, unless its name says that it is secret."""
    if location and any(word in str(location[-1]).lower() for word in SECRET_WORDS):
        return HIDDEN
    return show_value(value)


def check_syntax(text: str | bytes) -> Fault | None:
    """Return the fault of a text that is no JSON document, or has repeated keys or long numbers."""
    try:
        json.loads(
            text,
            object_pairs_hook=_unique_keys,
            parse_constant=_refuse_constant,
            parse_int=_check_integer,
            parse_float=_check_float,
        )
    except (json.JSONDecodeError, UnicodeDecodeError) as error:
        return _document_fault(error)
    except RecursionError:
        return Fault("(document)", "nested too deeply", "must be one JSON document")
    except _DuplicateKeyError as error:
        return Fault("(document)", str(error), "each key may occur once in an object")
    except _NumberError as error:
        return Fault("(document)", str(error), "must be a number of 64 bits")
    except ValueError as error:
        return Fault("(document)", str(error), "must be one JSON document")
    return None


def _document_fault(error: json.JSONDecodeError | UnicodeDecodeError) -> Fault:
    if isinstance(error, UnicodeDecodeError):
        return Fault(f"byte {error.start}", "not UTF-8", "must be UTF-8")
    place = f"line {error.lineno} column {error.colno}"
    return Fault(place, error.msg, "must be one JSON document")


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) == len(pairs):
        return found
    names = [name for name, _ in pairs]
    repeated = next(name for name in names if names.count(name) > 1)
    raise _DuplicateKeyError(f"key {show_value(repeated)} occurs twice")


def _check_integer(digits: str) -> int:
    """Return an integer that a message between nodes can carry."""
    if len(digits) > MAX_INTEGER_DIGITS or not MIN_INTEGER <= int(digits) <= MAX_INTEGER:
        raise _NumberError(digits[:SHOWN_VALUE_CHARACTERS])
    return int(digits)


def _check_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise _NumberError(text[:SHOWN_VALUE_CHARACTERS])
    return number


def _refuse_constant(name: str) -> Any:
    raise ValueError(f"{name} is no JSON number")


class _DuplicateKeyError(ValueError):
    pass


class _NumberError(ValueError):
    pass
