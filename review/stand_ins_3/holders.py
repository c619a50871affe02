"""Check that no engine takes orders of two holders too close to each other."""

from itertools import pairwise

from engine import Engine

# ``leaseMs`` of the settings.
LEASE_SECONDS = 3.0


def broken_turns(engine: Engine) -> list[str]:
    """Return each change of the holder within the lease, and each lower token.

    Only orders count that the engine has carried out.
    """
    found = []
    highest = 0
    carried_out = [order for order in engine.orders if order[3] in (200, 202)]
    for before, after in pairwise(carried_out):
        gap = after[0] - before[0]
        if after[1] != before[1] and gap < LEASE_SECONDS:
            found.append(
                f"{engine.name}: {before[1]} ordered at {before[0]:.3f} s, {after[1]}"
                f" at {after[0]:.3f} s, {gap:.3f} s later"
            )
    for at, holder, token, _ in carried_out:
        if token < highest:
            found.append(f"{engine.name}: {holder} ordered with a lower token at {at}")
        highest = max(highest, token)
    return found
