"""Send requests as the platform's clients do."""

import asyncio
import random
import time
from dataclasses import dataclass

from record import Record


@dataclass
class Reply:
    """Hold what a client got; the status is 0 without a whole response."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one response; one that is not whole has the status 0."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.split("\r\n")
        pairs = [line.partition(":") for line in rest if ":" in line]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Reply(int(first.split()[1]), headers, body)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Reply(0, {}, b"")


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return an encoded request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address: str, request: bytes, seconds: float) -> Reply:
    """Send one request on a new connection and return the reply."""
    ip, port = address.split(":")
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                writer.write(request)
                return await read_reply(reader)
            finally:
                writer.close()
    except (TimeoutError, OSError):
        return Reply(0, {}, b"")


class AdapterTraffic:
    """Ask for many adapters at all machines, as fast as a rate says."""

    def __init__(
        self, addresses: list[str], host: str, prefix: str, model: str, adapters: int,
        per_second: float, record: Record, seed: int = 1,
    ) -> None:
        self._addresses = addresses
        self._host = host
        self._prefix = prefix
        self._model = model
        self._adapters = adapters
        self._per_second = per_second
        self._record = record
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent = 0
        self.statuses: dict[int, int] = {}

    async def run(self) -> None:
        next_at = time.monotonic()
        while True:
            next_at += 1 / self._per_second
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            task = asyncio.create_task(self._call())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call(self) -> None:
        self.sent += 1
        name = f"q{self.sent}"
        adapter = f"a{self._rng.randint(1, self._adapters)}"
        request = encode_request("POST", f"{self._prefix}x", {
            "Host": self._host, "X-Request-Id": name,
            "X-Model": f"{self._model}/{adapter}", "X-Token-Counts": "400,12",
            "X-Prompt-Prefix": f"{self.sent:x}:400", "X-Deadline-Ms": "8000",
            "Connection": "close",
        })
        address = self._rng.choice(self._addresses)
        reply = await call(address, request, 9.0)
        self.statuses[reply.status] = self.statuses.get(reply.status, 0) + 1
        self._record.note(f"client: {name} for {adapter} at {address}: {reply.status}")
