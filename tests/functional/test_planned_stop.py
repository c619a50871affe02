"""Check over real sockets that a planned stop cuts off nothing that it took."""

import asyncio
from dataclasses import replace

from tests.lib.crash_cluster import CrashCluster

_GRACE_SECONDS = 4.0
_SERVICE_SECONDS = 1.5
_STOPPED = "host-0"


async def _call(cluster: CrashCluster, number: int) -> tuple[bytes, int]:
    """Return the body and the status, 0 if there was no response to it."""
    body = b"call %d" % number
    try:
        return body, (await cluster.call(_STOPPED, body, "/once/a"))[0]
    except OSError:
        return body, 0


def test_requests_that_come_late_in_the_grace_are_refused_or_served_not_cut() -> None:
    async def run() -> None:
        async with CrashCluster(hosts=2, servers=4) as cluster:
            for server in cluster.servers:
                server.service_seconds = _SERVICE_SECONDS
            # The host learns how long its requests take.
            assert (await _call(cluster, 0))[1] == 200
            node = cluster.nodes.pop(_STOPPED)
            bounds = replace(node._settings.bounds, grace=_GRACE_SECONDS)
            node.apply(replace(node._settings, bounds=bounds))
            stop = asyncio.create_task(node.stop())
            calls = []
            for number in range(1, 40):
                calls.append(asyncio.create_task(_call(cluster, number)))
                await asyncio.sleep(0.1)
            results = [await call for call in calls]
            assert await stop == 0
            arrived = {body for s in cluster.servers for body, _ in s.arrivals}
            cut = [body for body, status in results if not status and body in arrived]
            assert cut == []
            assert {200, 503} <= {status for _, status in results}
            refused = {body for body, status in results if status == 503}
            assert not refused & arrived

    asyncio.run(asyncio.wait_for(run(), 60.0))
