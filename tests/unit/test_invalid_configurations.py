"""Check configurations with numbers that no operator means."""

import copy
import json
import math
import random
from collections.abc import Iterator
from dataclasses import fields, is_dataclass
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.exceptions import DeclarationError
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.platform.configuration_codec import (
    decode_adapter_version,
    decode_configuration,
)
from tests.lib.odd_values import FIELD_VALUES
from tests.lib.routing_builders import platform_configuration

_SHARES = [{"service": "plain", "weight": 1}, {"service": "language", "weight": 2.5}]


def _slots_of(data: Any) -> Iterator[tuple[Any, Any]]:
    """Return each value in a document by its container and its key or index."""
    items = data.items() if isinstance(data, dict) else enumerate(data)
    for key, value in items:
        yield data, key
        if isinstance(value, dict | list):
            yield from _slots_of(value)


def _numbers_in(value: object) -> Iterator[float]:
    """Return all numbers in a decoded configuration."""
    if isinstance(value, int | float):
        yield value
    elif isinstance(value, tuple):
        for item in value:
            yield from _numbers_in(item)
    elif isinstance(value, dict):
        yield from _numbers_in(tuple(value.values()))
    elif is_dataclass(value):
        for item in fields(value):
            # Only streams have a stall timeout; that of others is infinite.
            if item.name != "caller_idle_timeout":
                yield from _numbers_in(getattr(value, item.name))


def check_configuration(decoded: RoutingConfiguration) -> None:
    """Check that requests can be routed and decided on with a configuration."""
    for number in _numbers_in(decoded):
        assert math.isfinite(float(number)) and number >= 0
    for route in decoded.routes:
        weights = [item.weight for item in route.services]
        random.Random(1).choices(route.services, weights)


@given(place=st.integers(0, 10**6), value=FIELD_VALUES, has_shares=st.booleans())
def test_no_value_in_a_configuration_ends_requests(
    place: int, value: object, has_shares: bool
) -> None:
    # A weight of NaN, or weights of zero, ended each request of their route.
    data = json.loads(platform_configuration())
    if has_shares:
        data["routes"][0]["weightedServices"] = copy.deepcopy(_SHARES)
    slots = list(_slots_of(data))
    container, key = slots[place % len(slots)]
    if isinstance(value, bytes):
        value = value.decode("latin-1")
    container[key] = value
    try:
        decoded = decode_configuration(json.dumps(data).encode())
    except DeclarationError:
        return
    check_configuration(decoded)


@pytest.mark.parametrize(
    "weights", [[0, 0], [-1, 2], [math.nan, 1], [math.inf, 1], [10**400, 1]]
)
def test_a_route_whose_services_cannot_be_drawn_is_left_out(
    weights: list[float],
) -> None:
    data = json.loads(platform_configuration())
    data["routes"].append({**data["routes"][0], "name": "other"})
    data["routes"][0]["weightedServices"] = [
        {"service": "plain", "weight": weight} for weight in weights
    ]
    decoded = decode_configuration(json.dumps(data).encode())
    assert [route.name for route in decoded.routes] == ["other"]


@pytest.mark.parametrize("version", [-1, 10**400, 2**63, 1e300])
def test_an_impossible_adapter_version_is_refused(version: float) -> None:
    value = json.dumps({"model": "m", "adapter": "a1", "version": version})
    with pytest.raises(DeclarationError):
        decode_adapter_version(value.encode())
