"""Read and write configuration documents."""

import json
from collections.abc import Iterable
from typing import Any, Final

from pydantic import ValidationError

from gooseberrydeal._internal.exceptions import DeclarationError
from gooseberrydeal._internal.models.entries import ENTRY_ADAPTER, Entry, key_of
from gooseberrydeal._internal.policy.declaration_check import find_problems

_FORMAT_VERSION: Final = 1


def document_text(name: str, entries: Iterable[Entry]) -> str:
    """Return a configuration as canonical JSON, with its entries sorted by key."""
    ordered = sorted(entries, key=key_of)
    value = {
        "format": _FORMAT_VERSION,
        "deployment": name,
        "entries": [entry.model_dump(mode="json") for entry in ordered],
    }
    return json.dumps(value, sort_keys=True, indent=1, ensure_ascii=False) + "\n"


def read_document(text: str) -> list[Entry]:
    """Parse and validate a configuration document; return its entries.

    Raises :class:`DeclarationError` with all problems. If the text is not a document
    of the supported format, only that is reported.
    """
    raw = _parse_raw_entries(text)
    entries: list[Entry] = []
    problems: list[str] = []
    for index, value in enumerate(raw):
        try:
            entries.append(ENTRY_ADAPTER.validate_python(value))
        except ValidationError as error:
            problems += _describe_problems(index, value, error)
    problems += find_problems(entries)
    if problems:
        raise DeclarationError(problems)
    return entries


def _parse_raw_entries(text: str) -> list[Any]:
    try:
        value = json.loads(text)
    except ValueError as error:
        raise DeclarationError([f"not JSON: {error}"]) from error
    if not isinstance(value, dict) or value.get("format") != _FORMAT_VERSION:
        raise DeclarationError(
            [f"format: must be {_FORMAT_VERSION}; use the output of Deployment.text()"]
        )
    raw = value.get("entries")
    if not isinstance(raw, list):
        raise DeclarationError(["entries: must be a list"])
    return raw


def _describe_problems(index: int, value: object, error: ValidationError) -> list[str]:
    name = f"entries.{index}"
    if isinstance(value, dict) and "kind" in value:
        name = f"{value['kind']}/{value.get('name', '?')}"
    lines = []
    for problem in error.errors():
        location = ".".join(str(part) for part in problem["loc"][1:])
        text = problem["msg"]
        if problem["type"] == "extra_forbidden":
            text = "unknown key; remove it or correct its spelling"
        lines.append(f"{name}: {location}: {text}" if location else f"{name}: {text}")
    return lines
