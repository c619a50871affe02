"""Define the type of a decoded JSON object, and read JSON from others."""

import json
from typing import Any, Final

JsonObject = dict[str, Any]

# What reading a document of unknown content may raise: a syntax error, a missing field,
# a value of another type, an infinite number, or values nested too deeply.
DECODE_ERRORS: Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)

# Python refuses to convert integers with more digits than about four thousand.
_MAX_INTEGER_LENGTH: Final = 1_000


def parse_integer(text: str) -> float:
    """Return an integer of a JSON document; an infinite number for a very long one.

    Without this, one long number makes a whole document unreadable.
    """
    return int(text) if len(text) <= _MAX_INTEGER_LENGTH else float(text)


def decode_list(data: bytes) -> list[Any]:
    """Return a decoded JSON array; raise one of ``DECODE_ERRORS`` otherwise."""
    value = json.loads(data)
    if not isinstance(value, list):
        raise TypeError(f"{type(value).__name__} is not a list")
    return value
