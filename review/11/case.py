"""Restart a router while the store is down and leases and entries expire there.

The router has joined a while before and owns no engine yet. The restarted process sees
the engines register again and takes them for new ones, which no machine can have owned.
It orders at once, although their owner has just done so.
"""

import asyncio
from pathlib import Path

from deployment import Deployment, owner_of
from ownership_case import run_case

_ALONE_SECONDS = 4.0
_JOINED_SECONDS = 5.0
# ``for_s`` of ``platform_down`` in the site file.
_OUTAGE_SECONDS = 4.5
_KILLED_AFTER_SECONDS = 1.5
_RESTART_DELAY_SECONDS = 0.5
# The page allows about two seconds for entries to be back.
_REGISTERED_AFTER_SECONDS = 0.8


async def scenario(deployment: Deployment, has_trouble: bool) -> None:
    store, record, added = deployment.store, deployment.record, deployment.routers[-1]
    await asyncio.sleep(_ALONE_SECONDS)
    await added.start(is_first=False)
    await asyncio.sleep(_JOINED_SECONDS)
    owned = [owner_of(store, engine.name) for engine in deployment.engines]
    record.note(f"owners: {owned}")
    if has_trouble:
        await _let_all_expire(deployment)
        await asyncio.sleep(_REGISTERED_AFTER_SECONDS)
        for engine in deployment.engines:
            engine.is_beating = True
            engine.register()
        record.note("engines: all registered again")
    else:
        await asyncio.sleep(_OUTAGE_SECONDS + _REGISTERED_AFTER_SECONDS)
    await asyncio.sleep(6.0)


async def _let_all_expire(deployment: Deployment) -> None:
    store, record, added = deployment.store, deployment.record, deployment.routers[-1]
    record.note("store: down")
    store.set_down(True)
    for engine in deployment.engines:
        engine.is_beating = False
    await asyncio.sleep(_KILLED_AFTER_SECONDS)
    await added.kill()
    await asyncio.sleep(_RESTART_DELAY_SECONDS)
    await added.start(is_first=False)
    await asyncio.sleep(
        _OUTAGE_SECONDS - _KILLED_AFTER_SECONDS - _RESTART_DELAY_SECONDS
    )
    store.drop_leases()
    for engine in deployment.engines:
        store.remove(f"servers/{engine.name}")
    record.note("store: back; leases and entries have expired meanwhile")
    store.set_down(False)


if __name__ == "__main__":
    run_case(Path(__file__).parent, scenario, routers=3, engines=9, joins_later=True)
