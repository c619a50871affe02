"""Check numbers that other processes send against the range that makes sense."""

import math


def integer_in(value: object, lowest: int, highest: int) -> int:
    """Return an integer of the range.

    Raises ``TypeError`` for other types and ``ValueError`` beyond the range. The error
    does not hold the value, which may have thousands of digits.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{type(value).__name__} is not an integer")
    if not lowest <= value <= highest:
        raise ValueError(f"integer is not in the range {lowest} to {highest}")
    return value


def number_in(value: object, lowest: float, highest: float) -> float:
    """Return a finite number of the range; raise as :func:`integer_in` otherwise."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{type(value).__name__} is not a number")
    if not lowest <= value <= highest or math.isinf(value):
        raise ValueError(f"number is not in the range {lowest:g} to {highest:g}")
    return float(value)
