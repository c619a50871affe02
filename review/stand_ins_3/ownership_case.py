"""Run a case about the owners of engines, and check the orders that engines get."""

import asyncio
import os
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from client import AdapterTraffic
from deployment import CALLER_HOST, MODEL, PREFIX, Deployment
from holders import broken_turns
from record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
_ADAPTERS = 150
_REQUESTS_PER_SECOND = 80.0
_LIMIT_SECONDS = 112.0
# The engines must have got so many orders for the case to say something.
_MIN_ORDERS = 50

Scenario = Callable[[Deployment, bool], Awaitable[None]]


def has_trouble() -> bool:
    """Return whether the case brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    path: Path,
    scenario: Scenario,
    routers: int,
    engines: int,
    *,
    joins_later: bool = False,
) -> None:
    """Run a scenario under load, and exit with its result.

    If ``joins_later``, the scenario starts the last router.
    """
    record = Record(path / "record.txt")
    try:
        result = asyncio.run(
            _run(
                scenario,
                Deployment(record, routers, engines, joins_later=joins_later),
            )
        )
    except Exception as error:  # noqa: BLE001
        record.note(f"the case could not run: {error!r}")
        result = NOT_RUN
    record.note(f"result: {result}")
    record.close()
    sys.exit(result)


async def _run(scenario: Scenario, deployment: Deployment) -> int:
    record = deployment.record
    traffic = None
    try:
        if not await deployment.start():
            record.note("not all routers became ready")
            return NOT_RUN
        traffic = AdapterTraffic(
            deployment.fronts, CALLER_HOST, PREFIX, MODEL, _ADAPTERS,
            _REQUESTS_PER_SECOND, record,
        )
        load = asyncio.create_task(traffic.run())
        async with asyncio.timeout(_LIMIT_SECONDS):
            await scenario(deployment, has_trouble())
        load.cancel()
        await traffic.stop()
        return _judge(deployment, traffic)
    finally:
        await deployment.stop()


def _judge(deployment: Deployment, traffic: AdapterTraffic) -> int:
    record = deployment.record
    orders = sum(len(engine.orders) for engine in deployment.engines)
    record.note(f"replies by status: {traffic.statuses}; orders: {orders}")
    found = [text for engine in deployment.engines for text in broken_turns(engine)]
    for text in found:
        record.note(f"ONE is broken: {text}")
        print(f"ONE is broken: {text}")
    if found:
        return BROKEN
    if orders < _MIN_ORDERS or not traffic.statuses.get(200):
        return NOT_RUN
    print(f"ONE held: {orders} orders")
    return HELD


def has_broken_turns(deployment: Deployment) -> bool:
    """Return whether the rule was broken so far."""
    return any(broken_turns(engine) for engine in deployment.engines)


async def wait_until(condition: Callable[[], bool], seconds: float) -> bool:
    """Return whether a condition holds within a time."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= until:
            return False
        await asyncio.sleep(0.02)
    return True
