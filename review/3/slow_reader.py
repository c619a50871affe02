"""A router stops on SIGTERM while a client still receives the end of its answer."""

import asyncio
import os
import signal
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
    Router,
    run_case,
    start_routers,
    wait_ready,
)
from engines import PlainServer  # noqa: E402
from slow_client import Received, receive  # noqa: E402
from store import Store  # noqa: E402
from traffic import configuration  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BODY = b"0123456789abcdef" * 300_000
# The answer takes seven seconds on the client's line, which is less than its deadline,
# than the timeout of its route (both 10 s) and than the grace of the platform (8 s).
CLIENT_BYTES_PER_SECOND = 700_000
BUFFER_BYTES = 98_304
ROUNDS = 3
GRACE_SECONDS = 8.0


async def play_round(router: Router, record: Record) -> Received:
    """Let one client receive its answer while its router is told to stop."""
    reader = asyncio.create_task(
        receive(
            router.front, "book", BODY, CLIENT_BYTES_PER_SECOND, BUFFER_BYTES, record
        )
    )
    await asyncio.sleep(0.3)
    if HAS_TROUBLE:
        record.write("SIGTERM", {"machine": router.name})
        signalled_at = time.monotonic()
        router.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await router.process.wait()
            seconds = round(time.monotonic() - signalled_at, 2)
            record.write("the process ended", {"seconds after SIGTERM": seconds})
        except TimeoutError:
            await router.kill()
            record.write("SIGKILL")
    received = await reader
    if HAS_TROUBLE:
        await router.start(is_first=False)
    return received


async def play(record: Record, folder: Path) -> int:
    store = Store()
    server = PlainServer("i-1", "desk", "z1", record.write, body=BODY)
    await server.open(HOST)
    store.put("servers/i-1", server.entry())
    store.put("op/config", configuration(has_models=False))
    routers = await start_routers(store, ["edge-1", "edge-2"], "z1", folder)
    expiry = asyncio.create_task(store.expire_forever())
    try:
        if not all(await asyncio.gather(*map(wait_ready, routers.values()))):
            return NOT_RUN
        results = []
        for _ in range(ROUNDS):
            if not await wait_ready(routers["edge-1"]):
                return NOT_RUN
            await asyncio.sleep(2.0)
            results.append(await play_round(routers["edge-1"], record))
    finally:
        expiry.cancel()
        await asyncio.gather(*(router.kill() for router in routers.values()))
    if any(result.status != 200 for result in results):
        print(f"an answer did not begin: {results}")
        return NOT_RUN
    cut = [result.body_bytes for result in results if not result.is_whole]
    verdict = BROKEN if cut else HELD
    text = f"{len(cut)} of {ROUNDS} answers cut, at {cut} of {len(BODY)} bytes"
    record.write("LOST broken" if cut else "held", {"what": text})
    print(f"{text}; exit {verdict}")
    return verdict


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
