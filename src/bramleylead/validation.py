"""Reads JSON into strict models and words each fault as one line: path, value, what is allowed."""

from __future__ import annotations

import json
import math
import types
import typing
from collections.abc import Sequence
from typing import Annotated
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError
from pydantic_core import ErrorDetails
from result import Err
from result import Ok
from result import Result

from bramleylead.json_input import MAX_INTEGER
from bramleylead.json_input import MIN_INTEGER

SHOWN_VALUE_CHARACTERS = 60
MAX_INTEGER_DIGITS = 20
SECRET_WORDS = ("key", "secret", "token_value", "password")
HIDDEN = "(hidden)"

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Address = Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$")]

_Model = TypeVar("_Model", bound=BaseModel)


class Strict(BaseModel):
    """Base of every model read from a file: unknown keys and loose types are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class Fault(NamedTuple):
    """One thing that is wrong in a file or a body."""

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value}: {self.allowed}"


def load_model(model: type[_Model], text: str | bytes) -> Result[_Model, tuple[Fault, ...]]:
    """Read JSON into a model; an ``Err`` holds every fault found."""
    syntax = _check_syntax(text)
    if syntax is not None:
        return Err((syntax,))
    try:
        return Ok(model.model_validate_json(text))
    except ValidationError as error:
        details = error.errors(include_url=False)
        return Err(tuple(_to_fault(model, detail) for detail in details))


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


class _DuplicateKeyError(ValueError):
    pass


class _NumberError(ValueError):
    pass


def _check_syntax(text: str | bytes) -> Fault | None:
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


def _to_fault(model: type[BaseModel], detail: ErrorDetails) -> Fault:
    location = detail["loc"]
    path = ".".join(str(part) for part in location) or "(document)"
    return Fault(path, _shown(location, detail), _allowed(model, detail))


def _shown(location: Sequence[int | str], detail: ErrorDetails) -> str:
    if detail["type"] == "missing":
        return "missing"
    if location and any(word in str(location[-1]).lower() for word in SECRET_WORDS):
        return HIDDEN
    return show_value(detail["input"])


def _allowed(model: type[BaseModel], detail: ErrorDetails) -> str:
    if detail["type"] == "extra_forbidden":
        keys = _keys_at(model, detail["loc"][:-1])
        return f"unknown key, allowed are {', '.join(keys)}" if keys else "unknown key"
    if detail["type"] == "missing":
        return "must be given"
    return _reword(detail["msg"])


def _reword(message: str) -> str:
    for old, new in (
        ("Input should be", "must be"),
        ("String should", "must"),
        ("Value error, ", ""),
        ("Object should", "must"),
    ):
        if message.startswith(old):
            return new + message[len(old) :]
    return message


def _keys_at(model: type[BaseModel], location: Sequence[int | str]) -> list[str]:
    """Return the keys of the model at a location, or none when no model is there."""
    found: Any = model
    for part in location:
        found = _step(found, part)
        if found is None:
            return []
    return list(found.model_fields) if _is_model(found) else []


def _step(found: Any, part: int | str) -> Any:
    if _is_model(found):
        info = found.model_fields.get(str(part))
        return None if info is None else _without_none(info.annotation)
    arguments = [item for item in typing.get_args(found) if item is not Ellipsis]
    return _without_none(arguments[-1]) if arguments else None


def _without_none(annotation: Any) -> Any:
    if typing.get_origin(annotation) not in (typing.Union, types.UnionType):
        return annotation
    kept = [item for item in typing.get_args(annotation) if item is not type(None)]
    return kept[0] if kept else None


def _is_model(found: Any) -> bool:
    return isinstance(found, type) and issubclass(found, BaseModel)
