"""Send requests as the platform's clients do, and write the configuration."""

import asyncio
import itertools
import json
from collections.abc import Callable
from dataclasses import dataclass

from http_messages import read_body, read_head

MODEL = "model-a"
CALLERS_HOST = "shop.example"
_NUMBERS = itertools.count(1)


@dataclass
class Answer:
    """Hold what a client got; the status is 0 if there was no answer."""

    request_id: str
    status: int
    is_whole: bool
    body: bytes = b""


def configuration(adapter_slots: int = 17, *, has_models: bool = True) -> bytes:
    """Return a configuration with a plain service, and mostly a model service."""
    engine = {
        "slots": 128,
        "kvCapacity": 150_000,
        "stride": 2,
        "models": [
            {
                "name": MODEL,
                "weightsMb": 16_100.0,
                "loadS": 0.6,
                "adapters": 3000,
                "adapterMb": 40.0,
            }
        ],
        "weightsMb": 17_000.0,
        "adapterSlots": adapter_slots,
        "loadsPerS": 9.0,
    }

    def route(name: str, kind: str, service: str, **fields: object) -> dict:
        return {
            "name": name,
            "host": CALLERS_HOST,
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 10_000,
            "targetLatencyMs": 800,
            "priority": 0,
            "service": service,
            "maxAttempts": 2,
            **fields,
        }

    ask = route("ask", "streaming", "models", maxAttempts=1, sticky=True, gapAimMs=400)
    models = {
        "name": "models",
        "healthPath": "/health",
        "maxConnections": 620,
        "engine": engine,
    }
    return json.dumps(
        {
            "version": 3,
            "routes": [
                *([ask] if has_models else []),
                route("book", "unsafe", "desk", targetLatencyMs=200),
                route("look", "safe", "desk", targetLatencyMs=200),
            ],
            "services": [
                *([models] if has_models else []),
                {"name": "desk", "healthPath": "/health", "maxConnections": 110},
            ],
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 4_194_304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15_000,
            },
        }
    ).encode()


def next_id() -> str:
    """Return the id of another request."""
    return f"{next(_NUMBERS):016x}"


def encode(
    request_id: str, route: str, adapter: str = "", deadline_ms: int = 10_000
) -> bytes:
    """Return an encoded request of a route."""
    method = "GET" if route == "look" else "POST"
    lines = [
        f"{method} /{route}/x HTTP/1.1",
        f"Host: {CALLERS_HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if adapter:
        lines += [f"X-Model: {MODEL}/{adapter}", "X-Token-Counts: 400,60"]
    if method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def call(
    address: str, route: str, adapter: str = "", deadline_ms: int = 10_000
) -> Answer:
    """Send one request on a new connection and return its answer."""
    request_id = next_id()
    host, _, port = address.partition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return Answer(request_id, 0, False)
    try:
        writer.write(encode(request_id, route, adapter, deadline_ms))
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            head = await read_head(reader)
            if head is None:
                return Answer(request_id, 0, False)
            body, is_whole = await read_body(reader, head)
        return Answer(request_id, head.status, is_whole, body)
    except (OSError, TimeoutError):
        return Answer(request_id, 0, False)
    finally:
        writer.close()


async def send_forever(
    addresses: Callable[[], list[str]],
    route: str,
    adapters: int,
    per_second: float,
    on_answer: Callable[[Answer], None],
) -> None:
    """Send requests for one adapter after the other to one router after the other."""
    tasks: set[asyncio.Task[None]] = set()

    async def one(address: str, adapter: str) -> None:
        on_answer(await call(address, route, adapter))

    for number in itertools.count():
        targets = addresses()
        if targets:
            adapter = f"a{number % adapters + 1}" if adapters else ""
            task = asyncio.create_task(one(targets[number % len(targets)], adapter))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / per_second)
