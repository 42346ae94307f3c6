"""Reads JSON into strict models and words each fault as one line: path, value, what is allowed."""

from __future__ import annotations

import types
import typing
from collections.abc import Sequence
from typing import Annotated
from typing import Any
from typing import TypeVar

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError
from pydantic_core import ErrorDetails
from result import Err
from result import Ok
from result import Result

from bramleylead.json_documents import ADDRESS_PATTERN
from bramleylead.json_documents import NAME_PATTERN
from bramleylead.json_documents import Fault
from bramleylead.json_documents import check_syntax
from bramleylead.json_documents import show_field

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Address = Annotated[str, Field(pattern=ADDRESS_PATTERN)]

_Model = TypeVar("_Model", bound=BaseModel)


class Strict(BaseModel):
    """Base of every model read from a file: unknown keys and loose types are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


def load_model(model: type[_Model], text: str | bytes) -> Result[_Model, tuple[Fault, ...]]:
    """Read JSON into a model; an ``Err`` holds every fault found."""
    syntax = check_syntax(text)
    if syntax is not None:
        return Err((syntax,))
    try:
        return Ok(model.model_validate_json(text))
    except ValidationError as error:
        details = error.errors(include_url=False)
        return Err(tuple(_to_fault(model, detail) for detail in details))


def _to_fault(model: type[BaseModel], detail: ErrorDetails) -> Fault:
    location = detail["loc"]
    path = ".".join(str(part) for part in location) or "(document)"
    missing = detail["type"] == "missing"
    value = "missing" if missing else show_field(location, detail["input"])
    return Fault(path, value, _allowed(model, detail))


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
