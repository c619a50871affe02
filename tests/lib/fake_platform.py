"""Simulate the host list, the weight store and plain servers in memory."""

import asyncio

from gooseberrydeal._internal.exceptions import (
    HostListError,
    ServerBrokenError,
    ServerUnreachableError,
)
from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.listed_host import ListedHost
from gooseberrydeal._internal.models.plain_answer import PlainAnswer


class FakeHostList:
    """List hosts; ``hosts`` maps each address to its state."""

    def __init__(self) -> None:
        self.hosts: dict[str, str] = {}
        self.is_down = False

    async def read(self) -> tuple[ListedHost, ...]:
        if self.is_down:
            raise HostListError("host list is down")
        return tuple(
            ListedHost(address, state == "leaving")
            for address, state in self.hosts.items()
        )


class FakeWeightStore:
    """Hold every path but the missing ones."""

    def __init__(self) -> None:
        self.missing_paths: set[str] = set()

    async def exists(self, path: str) -> bool | None:
        return path not in self.missing_paths


class FakePlainServer:
    """Record the body of each request that ran.

    The next ``lost_answers`` requests run but their answers are lost; requests are not
    run while ``is_down`` is set.
    """

    def __init__(self) -> None:
        self.runs: list[bytes] = []
        self.lost_answers = 0
        self.is_down = False
        self.delay_seconds = 0.01

    async def call(
        self,
        operation: str,
        request_id: RequestId,
        content_type: str,
        body: bytes,
        *,
        repeatable: bool,
    ) -> PlainAnswer:
        if self.is_down:
            raise ServerUnreachableError("server is down")
        self.runs.append(body)
        await asyncio.sleep(self.delay_seconds)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            raise ServerBrokenError("answer lost")
        return PlainAnswer(200, "application/json", b'{"booked":' + body + b"}")

    async def ready(self) -> bool:
        return not self.is_down

    async def close(self) -> None:
        return
