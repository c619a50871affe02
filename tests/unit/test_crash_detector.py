"""Check which probes and registrations after a lost connection show a crash."""

from dataclasses import replace

import pytest

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.crash_id import CrashId
from gooseberrydeal._internal.operations.router.crash_detector import CrashDetector
from gooseberrydeal._internal.operations.router.probe_result import ProbeResult
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from tests.lib.crash_world import identity
from tests.lib.routing_builders import PLAIN, configuration, server_entry

_SERVER = ServerId("p-0")


class _World:
    def __init__(self) -> None:
        self.now = 100.0
        self.crashes: list[tuple[CrashId, int]] = []
        self.servers = ServerTable(lambda: self.now)
        self.servers.configure(configuration())
        self.entry = server_entry(_SERVER, service=PLAIN, started_at=1)
        self.servers.put(self.entry)
        self.detector = CrashDetector(
            self.servers,
            lambda crash, requests: self.crashes.append((crash, len(requests))),
            lambda: self.now,
        )
        self.servers.add_start_listener(self.detector.server_started)

    @property
    def record(self) -> ServerRecord:
        record = self.servers.get(_SERVER)
        assert record is not None
        return record

    def lose(self, *bodies: bytes) -> None:
        for body in bodies or (b"x",):
            self.detector.connection_lost(self.record, identity(body))

    def probe(self, result: ProbeResult) -> None:
        self.detector.probed(self.record, result)


def test_all_requests_at_the_server_are_reported_with_one_crash() -> None:
    world = _World()
    world.lose(b"1", b"2")
    world.probe(ProbeResult.NOT_LISTENING)
    world.now += 0.2
    world.lose(b"3")
    crash = CrashId(_SERVER, 1, 1)
    assert world.crashes == [(crash, 2), (crash, 1)]


def test_each_crash_of_a_server_has_its_own_number() -> None:
    world = _World()
    for _ in range(2):
        world.lose()
        world.probe(ProbeResult.NOT_LISTENING)
        world.now += 5.0
    assert [crash.number for crash, _ in world.crashes] == [1, 2]


@pytest.mark.parametrize("result", [ProbeResult.CONNECTED, ProbeResult.SILENT])
def test_a_server_that_accepts_connections_or_is_silent_has_not_crashed(
    result: ProbeResult,
) -> None:
    world = _World()
    world.lose()
    world.probe(result)
    assert not world.crashes


def test_a_connection_lost_long_before_is_not_part_of_the_crash() -> None:
    world = _World()
    world.lose(b"1")
    world.probe(ProbeResult.SILENT)
    world.now += 5.0
    world.lose(b"2")
    world.probe(ProbeResult.NOT_LISTENING)
    assert world.crashes == [(CrashId(_SERVER, 1, 1), 1)]


def test_a_restart_behind_a_cut_link_is_a_crash() -> None:
    world = _World()
    world.lose()
    world.probe(ProbeResult.SILENT)
    world.now += 5.0
    world.servers.put(replace(world.entry, started_at=2))
    assert world.crashes == [(CrashId(_SERVER, 1, 1), 1)]


def test_a_restart_some_time_after_a_mere_reset_is_no_crash() -> None:
    world = _World()
    world.lose()
    world.probe(ProbeResult.CONNECTED)
    world.now += 5.0
    world.servers.put(replace(world.entry, started_at=2))
    assert not world.crashes


def test_another_service_at_the_address_of_a_released_server_is_no_crash() -> None:
    world = _World()
    world.lose()
    world.probe(ProbeResult.CONNECTED)
    world.servers.remove(_SERVER)
    world.now += 5.0
    world.servers.put(replace(world.entry, id=ServerId("i-9"), started_at=9))
    assert not world.crashes
