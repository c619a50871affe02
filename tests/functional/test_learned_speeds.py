"""Check how hosts share, log and export what they learn of servers' speeds."""

import asyncio
import logging

import pytest

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from gooseberrydeal._internal.models.routing.speed_observation import SpeedObservation
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.speeds.speed_gauges import (
    export_speeds,
)
from gooseberrydeal._internal.operations.router.speeds.speed_log import SpeedLog
from tests.lib.relay_scripts import request_id_line, run_relay
from tests.lib.relay_world import Caller, RelayHarness
from tests.lib.routing_builders import (
    PLAIN,
    configuration,
    engine_status,
    server_entry,
)
from tests.lib.scripted_server import ReceivedRequest, Script, response

SPEED = EngineSpeed(1 / 38_400, 0.00523, 0.0, 1_024.0)
SEEN = SpeedObservation(650, 0.025, 3, 0.00523, 0.008, 0.014)


def host(now: list[float], engines: int = 4) -> ServerTable:
    servers = ServerTable(lambda: now[0])
    servers.configure(configuration())
    for number in range(engines):
        servers.put(server_entry(f"i-{number}"))
    return servers


def test_an_owners_figures_are_used_until_the_engine_starts_again() -> None:
    now = [10.0]
    servers = host(now)
    for number in range(3):
        servers.apply_status(engine_status(f"i-{number}", speed=SPEED))
    known, other = (servers.get(ServerId(name)) for name in ("i-0", "i-3"))
    assert known is not None
    assert other is not None
    now[0] += 1.0
    assert known.speed.current(now[0]) == SPEED
    # A server of which nothing is known has the median of its service.
    found = other.speed.current(now[0])
    assert found.step_seconds == pytest.approx(SPEED.step_seconds)
    known.speed.apply_owner(EngineSpeed(1 / 19_200, 0.01046, 0.0, 1_024.0), now[0])
    servers.put(server_entry("i-0", started_at=2))
    restarted = known.speed.current(now[0] + 1.0)
    assert restarted.step_seconds == pytest.approx(SPEED.step_seconds, rel=0.5)
    assert restarted.step_seconds < 0.01046


def test_observations_go_into_one_report_each() -> None:
    now = [10.0]
    record = host(now).get(ServerId("i-0"))
    assert record is not None
    record.speed.observe(SEEN, now[0])
    assert record.usage(now[0]).observations == (SEEN,)
    assert record.usage(now[0]).observations == ()


def test_speeds_are_logged_when_learned_and_after_large_changes(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    log = SpeedLog(ServerId("i-0"))
    for second in range(600):
        slow = EngineSpeed(1 / 19_200, 0.01046, 0.0, 1_024.0)
        log.note(slow if second % 2 else SPEED, float(second))
    lines = [record.getMessage() for record in caplog.records]
    assert lines[0] == (
        "engine speed: step 5.23 ms, 38400 prompt tokens/s, longest step 32 ms"
    )
    assert 2 <= len(lines) <= 20


def test_gauges_show_the_speed_of_a_service() -> None:
    now = [10.0]
    servers, metrics = host(now), RouterMetrics()
    record = servers.get(ServerId("i-0"))
    assert record is not None
    record.speed.observe(SEEN, now[0])
    export_speeds(servers, metrics)
    text = metrics.render().decode()
    assert 'gooseberry_router_service_speed{figure="step_seconds"' in text


async def _stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"{request_id_line(request)}"
    )
    writer.write(f"{head}\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
    for number in range(1, 6):
        event = f"id: {number}\ndata: e{number}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.01)
    writer.write(b"0\r\n\r\n")


def test_a_stream_that_is_relayed_yields_an_observation() -> None:
    # Without it, nothing of the above learns anything in a running host.
    found: list[SpeedObservation] = []

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send("/stream/a")
        await caller.read_response()
        record = harness.servers.get(ServerId("e-0"))
        assert record is not None
        for _ in range(100):
            found.extend(record.speed.take_unreported())
            await asyncio.sleep(0.01)

    run_relay(scenario, engines=[_stream])
    assert len(found) == 1
    assert 0.0 < found[0].step_seconds <= found[0].longest_step_seconds
    assert found[0].longest_pair_seconds > found[0].longest_step_seconds


async def _refuse(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response(b"", "503 Service Unavailable"))


async def _answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response())


@pytest.mark.parametrize(("script", "count"), [(_answer, 1), (_refuse, 0)])
def test_plain_responses_are_timed_but_not_refusals(script: Script, count: int) -> None:
    # A server that turns all requests away at once would look like the fastest.
    found: list[int] = []

    async def scenario(harness: RelayHarness, caller: Caller) -> None:
        caller.send("/safe/x")
        await caller.read_response()
        found.append(harness.servers.speeds[PLAIN].plain.responses)

    run_relay(scenario, plain=[script])
    assert found == [count]
