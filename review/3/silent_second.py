"""Sound servers fall silent for a second in the middle of their answers."""

import asyncio
import os
import signal
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
from engines import PlainServer  # noqa: E402
from store import Store  # noqa: E402
from traffic import Answer, call, configuration  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SILENCE_SECONDS = 1.0 if HAS_TROUBLE else 0.0
# Requests that are sent up to ``configApplyMs`` after SIGHUP count.
CALLS = 12
CALL_INTERVAL_SECONDS = 0.1


async def play(record: Record, folder: Path) -> int:
    store = Store()
    servers = [
        PlainServer(
            f"i-{n}", "desk", "z1", record.write, silence_seconds=SILENCE_SECONDS
        )
        for n in (1, 2, 3)
    ]
    for server in servers:
        await server.open(HOST)
        store.put(f"servers/{server.name}", server.entry())
    store.put("op/config", configuration(has_models=False))
    routers = await start_routers(store, ["edge-1", "edge-2"], "z1", folder)
    expiry = asyncio.create_task(store.expire_forever())

    async def one(address: str) -> Answer:
        answer = await call(address, "look", deadline_ms=2500)
        record.write(
            "answer",
            {
                "id": answer.request_id,
                "status": answer.status,
                "body bytes": len(answer.body),
                "whole": answer.is_whole,
            },
        )
        return answer

    try:
        if not all(await asyncio.gather(*map(wait_ready, routers.values()))):
            return NOT_RUN
        await asyncio.sleep(5.0)
        first = routers["edge-1"]
        # Planned work: with and without the silence.
        record.write("SIGHUP", {"machine": first.name})
        first.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        calls = []
        for _ in range(CALLS):
            calls.append(asyncio.create_task(one(first.front)))
            await asyncio.sleep(CALL_INTERVAL_SECONDS)
        answers = await asyncio.gather(*calls)
    finally:
        expiry.cancel()
        await asyncio.gather(*(router.kill() for router in routers.values()))
    cut = [a for a in answers if a.status == 200 and not a.is_whole]
    served = sum(a.status == 200 and a.is_whole for a in answers)
    statuses = sorted(a.status for a in answers)
    verdict = BROKEN if cut else HELD
    text = f"{len(cut)} of {CALLS} answers cut, {served} whole; statuses {statuses}"
    record.write("LOST broken" if cut else "held", {"what": text})
    print(f"{text}; exit {verdict}")
    return verdict


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
