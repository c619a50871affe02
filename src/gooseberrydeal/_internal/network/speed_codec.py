"""Encode and decode what hosts observed of the speed of engines.

Fields that are missing, malformed or out of range are treated as not sent, so that one
host's mistake never costs the rest of a report.
"""

from typing import Any, Final

from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from gooseberrydeal._internal.models.routing.speed_observation import SpeedObservation

# More observations of one engine in one report are ignored.
_MAX_OBSERVATIONS: Final = 16
# Ranges of an observation's fields, in the order of the class: tokens, microseconds,
# requests, and three times microseconds.
_OBSERVATION_RANGES: Final = (
    range(10_000_001),
    range(60_000_001),
    range(100_001),
    range(10_000_001),
    range(10_000_001),
    range(20_000_001),
)
# Ranges of an engine's figures: 100 to 1,000,000 prompt tokens/s in nanoseconds for
# each, steps of 0.1 ms to 2 s in microseconds, up to 0.1 s for each request in
# nanoseconds, and 64 to 65,536 prompt tokens in a step.
_SPEED_RANGES: Final = (
    range(1_000, 10_000_001),
    range(100, 2_000_001),
    range(100_000_001),
    range(64, 65_537),
)


def observation_fields(items: tuple[SpeedObservation, ...]) -> list[Any]:
    """Return observations as lists of integers, times in microseconds."""
    return [
        [
            item.prompt_tokens,
            round(item.wait_seconds * 1e6),
            item.requests,
            round(item.step_seconds * 1e6),
            round(item.longest_step_seconds * 1e6),
            round(item.longest_pair_seconds * 1e6),
        ]
        for item in items
    ]


def parse_observations(fields: list[Any]) -> tuple[SpeedObservation, ...]:
    """Return the valid ones of the observations, the first of ``fields`` if any."""
    if not fields or not isinstance(fields[0], list):
        return ()
    found = []
    for item in fields[0][:_MAX_OBSERVATIONS]:
        numbers = _in_ranges(item, _OBSERVATION_RANGES)
        if numbers is not None:
            tokens, wait, requests, *steps = numbers
            step, longest, pair = (number / 1e6 for number in steps)
            found.append(
                SpeedObservation(tokens, wait / 1e6, requests, step, longest, pair)
            )
    return tuple(found)


def speed_fields(speed: EngineSpeed) -> list[Any]:
    """Return the speed of an engine as integers."""
    return [
        round(speed.seconds_per_prompt_token * 1e9),
        round(speed.step_seconds * 1e6),
        round(speed.step_seconds_per_request * 1e9),
        round(speed.step_tokens),
    ]


def parse_speed(fields: list[Any]) -> EngineSpeed | None:
    """Return a speed, the first of ``fields``, or ``None`` unless it is plausible."""
    numbers = _in_ranges(fields[0], _SPEED_RANGES) if fields else None
    if numbers is None:
        return None
    prompt_token, step, slope, step_tokens = numbers
    return EngineSpeed(prompt_token / 1e9, step / 1e6, slope / 1e9, float(step_tokens))


def _in_ranges(value: object, ranges: tuple[range, ...]) -> list[int] | None:
    """Return the first fields of a list, ``None`` unless each is within its range."""
    if not isinstance(value, list) or len(value) < len(ranges):
        return None
    numbers = value[: len(ranges)]
    # A bool is an int, but no number that a host sends here.
    are_valid = all(
        type(number) is int and number in allowed
        for number, allowed in zip(numbers, ranges, strict=True)
    )
    return numbers if are_valid else None
