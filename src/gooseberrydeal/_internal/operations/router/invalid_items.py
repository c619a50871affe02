"""Log items of the metadata store that cannot be read."""

import logging
from collections import OrderedDict
from typing import Final

logger = logging.getLogger(__name__)

_MAX_REMEMBERED_ITEMS: Final = 1_024
_MAX_ERROR_LENGTH: Final = 300


class InvalidItems:
    """Log each invalid item once, and again when what is wrong with it changes."""

    def __init__(self) -> None:
        self._errors: OrderedDict[str, str] = OrderedDict()

    def note_invalid(self, key: str, error: Exception) -> None:
        """Record that an item is invalid."""
        text = str(error)[:_MAX_ERROR_LENGTH]
        if self._errors.get(key) == text:
            return
        self._errors[key] = text
        if len(self._errors) > _MAX_REMEMBERED_ITEMS:
            self._errors.popitem(last=False)
        logger.warning("ignoring invalid metadata item %s: %s", key, text)

    def note_valid(self, key: str) -> None:
        """Record that an item is valid, or gone."""
        self._errors.pop(key, None)
