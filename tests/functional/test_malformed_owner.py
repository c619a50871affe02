"""Check what hosts do about an owner record that cannot be read."""

import asyncio

import pytest

from gooseberrydeal._internal.operations.router.metadata_view import OWNER_PREFIX
from tests.lib.owner_world import (
    HANDOVER_GAP_SECONDS,
    SERVER,
    OwnerHost,
    new_engine,
    new_store_data,
    report_demand,
)
from tests.lib.virtual_loop import run_virtual


@pytest.mark.parametrize("record", [b"", b"\xff", b"{}", b"[1]", b"null"])
def test_an_engine_with_a_malformed_owner_record_gets_an_owner(record: bytes) -> None:
    async def scenario() -> None:
        data, engine = new_store_data(), new_engine()
        data.write(OWNER_PREFIX + SERVER, record, None)
        host = OwnerHost("h1", data, engine).start()
        started_at = asyncio.get_running_loop().time()
        await report_demand([host], 30.0, first=0)
        assert host.is_owner
        # The record may have been that of a host that still sends orders.
        assert engine.log[0][0] - started_at > HANDOVER_GAP_SECONDS

    run_virtual(scenario())
