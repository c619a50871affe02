"""Read and write the printed form of a configuration."""

import json
from collections.abc import Iterable
from typing import Any, Final

from pydantic import ValidationError

from gooseberrydeal._internal.exceptions import DeclarationError
from gooseberrydeal._internal.models.entries import ENTRY_ADAPTER, Entry, key_of
from gooseberrydeal._internal.policy.declaration_check import find_problems

_FORMAT: Final = 1


def document_text(name: str, entries: Iterable[Entry]) -> str:
    """Return the one text of a configuration, its entries sorted by key."""
    ordered = sorted(entries, key=key_of)
    value = {
        "format": _FORMAT,
        "deployment": name,
        "entries": [entry.model_dump(mode="json") for entry in ordered],
    }
    return json.dumps(value, sort_keys=True, indent=1, ensure_ascii=False) + "\n"


def read_document(text: str) -> list[Entry]:
    """Return the entries of a printed configuration.

    Raises :class:`DeclarationError` with every problem at once.
    """
    raw = _raw_entries(text)
    entries: list[Entry] = []
    problems: list[str] = []
    for index, value in enumerate(raw):
        try:
            entries.append(ENTRY_ADAPTER.validate_python(value))
        except ValidationError as error:
            problems += _explained(index, value, error)
    problems += find_problems(entries)
    if problems:
        raise DeclarationError(problems)
    return entries


def _raw_entries(text: str) -> list[Any]:
    try:
        value = json.loads(text)
    except ValueError as error:
        raise DeclarationError([f"not JSON: {error}"]) from error
    if not isinstance(value, dict) or value.get("format") != _FORMAT:
        raise DeclarationError(
            [f"format: must be {_FORMAT}; print the file with gooseberrydeal"]
        )
    raw = value.get("entries")
    if not isinstance(raw, list):
        raise DeclarationError(["entries: must be a list"])
    return raw


def _explained(index: int, value: object, error: ValidationError) -> list[str]:
    name = f"entries.{index}"
    if isinstance(value, dict) and "kind" in value:
        name = f"{value['kind']}/{value.get('name', '?')}"
    lines = []
    for problem in error.errors():
        place = ".".join(str(part) for part in problem["loc"][1:])
        text = problem["msg"]
        if problem["type"] == "extra_forbidden":
            text = "unknown key; remove it or correct its spelling"
        lines.append(f"{name}: {place}: {text}" if place else f"{name}: {text}")
    return lines
