"""Disable a guard and verify that a test then fails."""

from collections.abc import Callable
from typing import Any, NamedTuple
from unittest.mock import patch

import pytest

Check = Callable[[], None]


class Guard(NamedTuple):
    """Describe a guard, what disables it, and a test that must fail without it."""

    description: str
    owner: Any
    attribute: str
    replacement: Any
    check: Check


def check_is_detected(guard: Guard) -> None:
    disabled = patch.object(guard.owner, guard.attribute, guard.replacement)
    with disabled, pytest.raises(AssertionError):
        guard.check()
