"""Check that the log says when a host reaches no server."""

import asyncio
import logging
import random

import pytest

from gooseberrydeal._internal.lab.free_port import free_address
from gooseberrydeal._internal.models.ids import DomainName, ServerId
from gooseberrydeal._internal.operations.router.reachability import ReachabilityProber
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from tests.lib.routing_builders import configuration, server_entry


def test_the_log_says_when_a_host_reaches_no_server_and_when_one_is_back(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def run() -> None:
        address = free_address()
        servers = ServerTable(asyncio.get_running_loop().time)
        servers.configure(configuration())
        servers.put(server_entry("e-1", address=address))
        prober = ReachabilityProber(
            servers, DomainName("d1"), lambda *_: None, random.Random(1)
        )
        record = servers.get(ServerId("e-1"))
        assert record is not None
        prober.mark_unreachable(record)
        assert prober.is_isolated
        host, port = address.rsplit(":", 1)
        server = await asyncio.start_server(
            lambda _, writer: writer.close(), host, int(port)
        )
        while prober.is_isolated:
            await asyncio.sleep(0.01)
        record.pool.close()
        server.close()

    with caplog.at_level(logging.WARNING):
        asyncio.run(asyncio.wait_for(run(), 10.0))
    assert [entry.getMessage() for entry in caplog.records] == [
        "this host reaches none of 1 servers",
        "this host reaches servers again",
    ]
