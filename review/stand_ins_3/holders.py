"""Check that no engine takes orders of two holders at once."""

from engine import Engine

# ``leaseMs`` of the settings.
LEASE_SECONDS = 3.0


def broken_turns(engine: Engine) -> list[str]:
    """Return where holders take turns, share a token, or a token is too low.

    Holders take turns if one orders again within the lease after its earlier order,
    and another one has ordered in between. Only orders count that the engine has
    carried out.
    """
    carried_out = [order[:3] for order in engine.orders if order[3] in (200, 202)]
    found = [*_turns(carried_out), *_tokens(carried_out)]
    return [f"{engine.name}: {text}" for text in found]


def _turns(orders: list[tuple[float, str, int]]) -> list[str]:
    found = []
    last: dict[str, float] = {}
    for at, holder, _ in orders:
        before = last.get(holder)
        if before is not None and at - before < LEASE_SECONDS:
            for other, other_at in last.items():
                if other != holder and other_at > before:
                    found.append(
                        f"{holder} ordered at {before:.3f} s, {other} at {other_at:.3f} s,"
                        f" and {holder} again at {at:.3f} s"
                    )
        last[holder] = at
    return found


def _tokens(orders: list[tuple[float, str, int]]) -> list[str]:
    found = []
    highest, holders = 0, dict[int, str]()
    for at, holder, token in orders:
        if token < highest:
            found.append(
                f"{holder} ordered at {at:.3f} s with token {token} after {highest}"
            )
        if holders.setdefault(token, holder) != holder:
            found.append(f"{holder} ordered at {at:.3f} s with another one's token")
        highest = max(highest, token)
    return found
