"""Read settings from JSON with comments."""

from pathlib import Path
from typing import TypeVar

import json5
from pydantic import BaseModel, ValidationError

from gooseberrydeal._internal.exceptions import SettingsError

_Model = TypeVar("_Model", bound=BaseModel)


def load_settings(path: Path, model: type[_Model]) -> _Model:
    """Return checked settings, or raise :class:`SettingsError`."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    try:
        value = json5.loads(text)
    except ValueError as error:
        raise SettingsError(f"{path}: not JSON with comments: {error}") from error
    try:
        return model.model_validate(value)
    except ValidationError as error:
        raise SettingsError(_explained(path, error)) from error


def _explained(path: Path, error: ValidationError) -> str:
    lines = []
    for problem in error.errors():
        place = ".".join(str(part) for part in problem["loc"]) or "(whole file)"
        lines.append(f"{path}: {place}: {_advice(problem['type'], problem['msg'])}")
    return "\n".join(lines)


def _advice(kind: str, message: str) -> str:
    if kind == "extra_forbidden":
        return "unknown key; remove it or correct its spelling"
    if kind == "missing":
        return "missing; this key is required"
    return message.removeprefix("Value error, ")
