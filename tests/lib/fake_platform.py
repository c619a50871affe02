"""Stand for the smaller parts of the platform."""

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
    """Return the listed hosts, by address."""

    def __init__(self) -> None:
        self.hosts: dict[str, str] = {}
        self.is_down = False

    async def read(self) -> tuple[ListedHost, ...]:
        if self.is_down:
            raise HostListError("down")
        return tuple(ListedHost(a, s == "leaving") for a, s in self.hosts.items())


class FakeWeights:
    """Know which paths are missing."""

    def __init__(self) -> None:
        self.missing: set[str] = set()

    async def exists(self, path: str) -> bool | None:
        return path not in self.missing


class FakePlainServer:
    """Count what was run; lose answers or connections on request."""

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
            raise ServerUnreachableError("down")
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
