"""Requests wait at an engine that keeps what was closed, as a new version is named."""

import asyncio
import json
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    NOT_RUN,
    Record,
    run_case,
    start_routers,
    wait_ready,
)
from engines import ModelEngine  # noqa: E402
from store import Store  # noqa: E402
from traffic import MODEL, call, configuration  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VERSION_SECONDS = 5.0
QUEUE_SECONDS = 5.5
REQUESTS = 6


async def play(record: Record, folder: Path) -> int:
    store = Store()
    begun: list[tuple[float, dict]] = []

    def on_event(what: str, details: dict) -> None:
        record.write(what, details)
        if what == "run":
            begun.append((record.now(), details))

    # Most engines drop a request when its connection closes; these don't.
    engines = [
        ModelEngine(
            f"i-{n}", "models", "z1", MODEL, 17, on_event, drops_closed=not HAS_TROUBLE
        )
        for n in (1, 2)
    ]
    for engine in engines:
        await engine.open(HOST)
        store.put(f"servers/{engine.name}", engine.entry())
    store.put("op/config", configuration())
    routers = await start_routers(store, ["edge-1", "edge-2"], "z1", folder)

    async def beat() -> None:
        while True:
            await asyncio.sleep(1.2)
            for engine in engines:
                store.put(f"servers/{engine.name}", engine.entry())

    tasks = [asyncio.create_task(work) for work in (store.expire_forever(), beat())]

    async def one(address: str) -> int:
        answer = await call(address, "ask", "a1")
        record.write("answer", {"id": answer.request_id, "status": answer.status})
        return answer.status

    try:
        if not all(await asyncio.gather(*map(wait_ready, routers.values()))):
            return NOT_RUN
        await asyncio.sleep(3.0)
        first = routers["edge-1"]
        if await one(first.front) != 200:
            return NOT_RUN
        await asyncio.sleep(1.0)
        for engine in engines:
            engine.queue_seconds = QUEUE_SECONDS
        calls = []
        for _ in range(REQUESTS):
            calls.append(asyncio.create_task(one(first.front)))
            await asyncio.sleep(0.05)
        for engine in engines:
            engine.queue_seconds = 0.0
        version = {"model": MODEL, "adapter": "a1", "version": 2}
        store.put(f"op/version/{MODEL}.a1", json.dumps(version).encode())
        named_at = record.now()
        record.write("version 2 is acknowledged", version)
        await asyncio.gather(*calls)
        await asyncio.sleep(3.0)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*(router.kill() for router in routers.values()))
    late = [
        round(at - named_at, 2)
        for at, details in begun
        if details["version"] == "1" and at - named_at > VERSION_SECONDS
    ]
    verdict = BROKEN if late else HELD
    text = f"{len(late)} began on version 1, {late} s after version 2"
    record.write("VERSION broken" if late else "held", {"what": text})
    print(f"{text}; exit {verdict}")
    return verdict


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
