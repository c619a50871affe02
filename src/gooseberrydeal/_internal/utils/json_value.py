"""Define the type of a decoded JSON object."""

from typing import Any

JsonObject = dict[str, Any]
