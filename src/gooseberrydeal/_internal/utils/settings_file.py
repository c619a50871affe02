"""Load settings files, which are JSON with comments (JSON5)."""

from pathlib import Path
from typing import TypeVar

import json5
from pydantic import BaseModel, ValidationError

from gooseberrydeal._internal.exceptions import SettingsError

_Model = TypeVar("_Model", bound=BaseModel)


def load_settings(path: Path, model: type[_Model]) -> _Model:
    """Load and validate a settings file.

    Raises :class:`SettingsError` with a line for each problem.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    try:
        value = json5.loads(text)
    except ValueError as error:
        raise SettingsError(
            f"{path}: not JSON with comments (JSON5): {error}"
        ) from error
    try:
        return model.model_validate(value)
    except ValidationError as error:
        raise SettingsError(_describe_problems(path, error)) from error


def _describe_problems(path: Path, error: ValidationError) -> str:
    lines = []
    for problem in error.errors():
        location = ".".join(str(part) for part in problem["loc"]) or "(whole file)"
        lines.append(
            f"{path}: {location}: {_describe_problem(problem['type'], problem['msg'])}"
        )
    return "\n".join(lines)


def _describe_problem(kind: str, message: str) -> str:
    if kind == "extra_forbidden":
        return "unknown key; remove it or correct its spelling"
    if kind == "missing":
        return "missing; add this key, it is required"
    return message.removeprefix("Value error, ")
