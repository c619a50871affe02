"""Choose the engine of a request that names a model or an adapter."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.utils.rendezvous import ranked

# An adapter gets a further copy when its engines have this many times the mean load
# and some requests more, so that few requests in all cause no copy.
_SPREAD_FACTOR: Final = 1.4
_SPREAD_REQUESTS: Final = 5.0
# Parts of an engine's batch and memory that requests may take; the rest keeps pauses
# between tokens short and avoids preemption.
_BATCH_PART: Final = 0.5
_MEMORY_PART: Final = 0.85
# An engine of another failure domain costs bytes between domains.
_OTHER_DOMAIN_REQUESTS: Final = 0.7
_FAILURE_REQUESTS: Final = 40.0
_LAST_RESORT_REQUESTS: Final = 10_000.0


@dataclass(frozen=True, slots=True)
class EngineCandidate:
    """Describe an engine as this host sees it.

    ``copy`` is the state of the wanted copy and ``ready_in`` the seconds until it is
    ready. ``can_load`` says that its owner is heard and has a slot to give.
    """

    server: ServerId
    requests: float
    tokens: float
    batch_size: int
    token_capacity: int
    pace: float
    is_local: bool
    has_model: bool
    copy: CopyState | None
    ready_in: float = 0.0
    can_load: bool = False
    failure_rate: float = 0.0
    is_avoided: bool = False

    def has_room(self, tokens: int) -> bool:
        """Return whether batch and memory have room for a request."""
        if self.requests >= self.batch_size * _BATCH_PART:
            return False
        return self.tokens + tokens <= self.token_capacity * _MEMORY_PART or (
            self.requests < 1.0
        )

    @property
    def cost(self) -> float:
        """Return the load that a further request meets, in requests."""
        cost = (self.requests + 1.0) * self.pace
        cost += 0.0 if self.is_local else _OTHER_DOMAIN_REQUESTS
        cost += self.failure_rate * _FAILURE_REQUESTS
        return cost + (_LAST_RESORT_REQUESTS if self.is_avoided else 0.0)


class EngineVerdict(Enum):
    """List what to do with a request."""

    SEND = "send"
    LOAD = "load"
    WAIT = "wait"
    NO_ENGINE = "no_engine"


@dataclass(frozen=True, slots=True)
class EngineDecision:
    """Hold a verdict; ``spread_to`` asks for a further copy beside it."""

    verdict: EngineVerdict
    server: ServerId | None = None
    ready_in: float = 0.0
    spread_to: ServerId | None = None


def choose_engine(
    copy: AdapterCopyKey, tokens: int, candidates: Sequence[EngineCandidate]
) -> EngineDecision:
    """Return where to send a request, or where to load its adapter.

    Answers to a few adapters that draw most requests and thousands that draw one now
    and then. Engines that hold the adapter are taken by load. Otherwise the first
    engine in the adapter's own order that is not overloaded loads it: a fixed order
    finds the weights still in the engine's memory, and hosts that decide at the same
    time agree.
    """
    if not candidates:
        return EngineDecision(EngineVerdict.NO_ENGINE)
    if not copy.adapter:
        return _choose_for_model(tokens, candidates)
    ready = [item for item in candidates if item.copy is CopyState.READY]
    usable = [item for item in ready if item.has_room(tokens)]
    coming = [item for item in candidates if item.copy is CopyState.LOADING]
    limit = _spread_limit(candidates)
    if usable:
        best = min(usable, key=lambda item: (item.cost, item.server))
        spread = None
        if best.requests > limit and not coming:
            spread = _engine_to_load(copy, tokens, candidates, limit)
        return EngineDecision(EngineVerdict.SEND, best.server, spread_to=spread)
    if coming:
        first = min(coming, key=lambda item: (item.ready_in, item.server))
        return EngineDecision(EngineVerdict.LOAD, first.server, first.ready_in)
    target = _engine_to_load(copy, tokens, candidates, limit)
    if target is None and not ready:
        target = _engine_to_load(copy, tokens, candidates, float("inf"))
    if target is None:
        return EngineDecision(EngineVerdict.WAIT)
    return EngineDecision(EngineVerdict.LOAD, target)


def _choose_for_model(
    tokens: int, candidates: Sequence[EngineCandidate]
) -> EngineDecision:
    holders = [item for item in candidates if item.has_model]
    usable = [item for item in holders if item.has_room(tokens)]
    if not usable:
        return EngineDecision(EngineVerdict.WAIT)
    best = min(usable, key=lambda item: (item.cost, item.server))
    return EngineDecision(EngineVerdict.SEND, best.server)


def _spread_limit(candidates: Sequence[EngineCandidate]) -> float:
    mean = sum(item.requests for item in candidates) / len(candidates)
    return mean * _SPREAD_FACTOR + _SPREAD_REQUESTS


def _engine_to_load(
    copy: AdapterCopyKey,
    tokens: int,
    candidates: Sequence[EngineCandidate],
    limit: float,
) -> ServerId | None:
    able = {
        str(item.server): item
        for item in candidates
        if item.copy is None
        and item.has_model
        and item.can_load
        and not item.is_avoided
        and item.requests <= limit
        and item.has_room(tokens)
    }
    order = ranked(f"{copy.model}/{copy.adapter}", able)
    return able[order[0]].server if order else None
