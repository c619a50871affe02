"""The store turns an engine's owner away while the last slot has just been filled."""

import asyncio
import json
import os
import sys
import time
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
SLOTS = 17
OWNER_KEY = "gooseberrydeal/owners/i-1"
HEARTBEAT_SECONDS = 1.2
# The longest time for which the store turns some machines away.
TURNED_AWAY_SECONDS = 9.0


async def play(record: Record, folder: Path) -> int:
    excess: list[float] = []
    filled = asyncio.Event()

    def on_event(what: str, details: dict) -> None:
        record.write(what, details)
        if what == "too many adapters":
            excess.append(record.now())
        if what == "order" and details.get("adapter") == f"a{SLOTS}":
            filled.set()

    store = Store()
    engine = ModelEngine("i-1", "models", "z1", MODEL, SLOTS, on_event)
    await engine.open(HOST)
    store.put("servers/i-1", engine.entry())
    store.put("op/config", configuration(adapter_slots=SLOTS))
    routers = await start_routers(store, ["edge-1", "edge-2", "edge-3"], "z1", folder)
    beat_at = time.monotonic()

    async def beat() -> None:
        nonlocal beat_at
        while True:
            await asyncio.sleep(beat_at + HEARTBEAT_SECONDS - time.monotonic())
            beat_at += HEARTBEAT_SECONDS
            store.put("servers/i-1", engine.entry())
            record.write("heartbeat", json.loads(engine.entry()))

    tasks = [asyncio.create_task(work) for work in (store.expire_forever(), beat())]

    async def ask(name: str, adapter: str) -> int:
        answer = await call(routers[name].front, "ask", adapter)
        record.write(
            "answer",
            {"id": answer.request_id, "adapter": adapter, "status": answer.status},
        )
        return answer.status

    try:
        if not all(await asyncio.gather(*map(wait_ready, routers.values()))):
            return NOT_RUN
        await asyncio.sleep(3.0)
        for number in range(1, SLOTS):
            await ask("edge-1", f"a{number}")
        await asyncio.sleep(4.0)
        owner = json.loads(store.items[OWNER_KEY].value)[0]
        other = next(name for name in routers if name != owner)
        # The next heartbeat comes while the last slot's adapter is on its way.
        wait = beat_at + HEARTBEAT_SECONDS - 0.12 - time.monotonic()
        await asyncio.sleep(wait if wait > 0 else wait + HEARTBEAT_SECONDS)
        last = asyncio.create_task(ask(other, f"a{SLOTS}"))
        async with asyncio.timeout(5.0):
            await filled.wait()
        # The owner reads the store every 0.8 s, and so that heartbeat, but not the next.
        heartbeat_at = beat_at + HEARTBEAT_SECONDS
        await asyncio.sleep(heartbeat_at + 1.0 - time.monotonic())
        if HAS_TROUBLE:
            record.write("the store turns a machine away", {"machine": owner})
            store.refused.add(owner)
            asyncio.get_running_loop().call_later(
                TURNED_AWAY_SECONDS, store.refused.discard, owner
            )
        # Nothing new is asked for, so the owner gives no orders.
        await asyncio.sleep(4.0)
        await asyncio.gather(
            last, *(ask(other, f"a{number}") for number in range(SLOTS + 1, SLOTS + 5))
        )
        await asyncio.sleep(2.0)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*(router.kill() for router in routers.values()))
    verdict = BROKEN if excess else HELD
    text = f"{len(excess)} loads accepted beyond {SLOTS} adapters"
    record.write("LIMIT broken" if excess else "held", {"what": text})
    print(f"{text}; exit {verdict}")
    return verdict


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
