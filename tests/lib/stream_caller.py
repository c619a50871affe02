"""Send streams to hosts, and take them up at other hosts when they break off."""

import asyncio
import random
import re
from dataclasses import dataclass, field

from tests.lib.crash_cluster import CALLER_HOST, CrashCluster

_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")
_TIMEOUT_SECONDS = 5.0


@dataclass(slots=True)
class StreamCaller:
    """Receive one stream in several attempts, each at a host of its own.

    ``begun_as`` is the id of the attempt that brought the first event, ``last_request``
    that of the last attempt.
    """

    cluster: CrashCluster
    path: str = "/resumable/a"
    versions: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    begun_as: str = ""
    last_request: str = ""
    last_event: int = 0

    @property
    def is_mixed(self) -> bool:
        """Return whether events of two software versions were received."""
        return len(set(self.versions)) > 1

    async def attempt(self, host: str, *, names_first: bool = True) -> bool:
        """Send the stream's request to a host; return whether events were received."""
        request_id = self.last_request = f"{random.getrandbits(64):016x}"
        lines = [
            f"POST {self.path} HTTP/1.1",
            f"Host: {CALLER_HOST}",
            f"X-Request-Id: {request_id}",
            "X-Deadline-Ms: 3000",
            "Content-Length: 16",
            "Connection: close",
        ]
        if self.last_event:
            lines.append(f"Last-Event-Id: {self.last_event}")
        if self.last_event and names_first:
            lines.append(f"Resumes: {self.begun_as}")
        try:
            address = self.cluster.address_of(host)
            reader, writer = await asyncio.open_connection(*address)
        except ConnectionError:
            self.statuses.append(0)
            return False
        data = b""
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            writer.write(f"{id(self):016x}"[-16:].encode())
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                while chunk := await reader.read(65_536):
                    data += chunk
        except (ConnectionError, TimeoutError):
            pass
        finally:
            writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        self.statuses.append(int(head.split()[1]) if head else 0)
        self.bodies.append(body)
        events = _EVENT.findall(body)
        if events and not self.begun_as:
            self.begun_as = request_id
        self.versions += [version.decode() for _, version in events]
        if events:
            self.last_event = int(events[-1][0])
        return bool(events)
