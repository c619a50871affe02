"""Restore the store from a copy, some time after engines were handed over.

The router that has given them up still keeps its claims. Once the store is back from
the copy it claims the engines again, as if it had owned them until then, and orders
without a delay. Their owner, which the store turns away at that moment, orders too,
until it learns of the other one from its peers. Up to four rounds are played.
"""

import asyncio
from pathlib import Path

from deployment import Deployment, owner_of
from ownership_case import has_broken_turns, run_case

_SETTLED_SECONDS = 6.0
_ROUNDS = 4
# Below the 9 s in the site file, and shorter than the lease, which goes on.
_TURNED_AWAY_SECONDS = 5.0
_CALM_SECONDS = 4.0
_COPY_AGE_SECONDS = 2.0
_TURNED_AWAY_BEFORE_SECONDS = 0.5
_AWAY_SECONDS = 0.5
_TURNED_AWAY_AFTER_SECONDS = 2.5
_AFTERWARDS_SECONDS = 5.0


async def scenario(deployment: Deployment, has_trouble: bool) -> None:
    await asyncio.sleep(_SETTLED_SECONDS)
    for _ in range(_ROUNDS):
        await _play_round(deployment, has_trouble)
        if has_broken_turns(deployment):
            return


async def _play_round(deployment: Deployment, has_trouble: bool) -> None:
    store, record = deployment.store, deployment.record
    former = _main_owner(deployment)
    if has_trouble:
        record.note(f"store: turns {former} away")
        store.turn_away(former, True)
    await asyncio.sleep(_TURNED_AWAY_SECONDS)
    record.note(f"store: serves {former}")
    store.turn_away(former, False)
    await asyncio.sleep(_CALM_SECONDS)
    saved = store.save()
    await asyncio.sleep(_COPY_AGE_SECONDS)
    owner = _main_owner(deployment)
    if has_trouble:
        record.note(f"store: turns {owner} away")
        store.turn_away(owner, True)
        await asyncio.sleep(_TURNED_AWAY_BEFORE_SECONDS)
        record.note("store: away")
        store.set_down(True)
        await asyncio.sleep(_AWAY_SECONDS)
        store.restore(saved)
        store.set_down(False)
        record.note("store: back from a copy")
        await asyncio.sleep(_TURNED_AWAY_AFTER_SECONDS)
        record.note(f"store: serves {owner}")
        store.turn_away(owner, False)
    await asyncio.sleep(_AFTERWARDS_SECONDS)


def _main_owner(deployment: Deployment) -> str:
    """Return the router that owns the most engines."""
    owned = [owner_of(deployment.store, item.name) for item in deployment.engines]
    deployment.record.note(f"owners: {owned}")
    return max(sorted(set(owned)), key=owned.count)


if __name__ == "__main__":
    run_case(Path(__file__).parent, scenario, routers=3, engines=12)
