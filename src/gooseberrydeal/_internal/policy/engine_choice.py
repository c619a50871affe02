"""Choose the engine for a request that names a model or an adapter."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from gooseberrydeal._internal.policy.speeds.default_speed import DEFAULT_ENGINE_SPEED
from gooseberrydeal._internal.utils.rendezvous import first, ranked

# Cost of a prompt that fills more than one step for each running request, because it
# causes a long pause in each of their streams, as a fraction of the longest step.
_LONG_PROMPT_STEPS_PER_REQUEST: Final = 0.25
# Fractions of an engine's batch and KV cache that requests may occupy. The remainder
# keeps pauses between tokens short and avoids preemption.
_MAX_BATCH_FRACTION: Final = 0.9
_MAX_CACHE_FRACTION: Final = 0.85
# Expected time to load an adapter from the weight store, and from the engine's memory.
_FETCH_SECONDS: Final = 0.3
_WARM_LOAD_SECONDS: Final = 0.04
# A fetch from the weight store costs about a third of a short request, so an additional
# copy must save more time than this.
_FETCH_PENALTY_SECONDS: Final = 0.25
# If fewer than this fraction of the engines have a slot available, an adapter that is
# already ready or loading on an engine with capacity gets no additional copy.
_MIN_LOADABLE_FRACTION: Final = 0.5
# Cost per rank in the adapter's rendezvous order: an engine with a lower rank is chosen
# only if it would start the request this much sooner.
_RANK_SECONDS: Final = 0.02
# A new copy goes to the least loaded of this many top-ranked engines.
_MAX_RANKED_ENGINES: Final = 4
# Costs that differ by less than this are not told apart where many hosts choose by the
# same statuses, which are about this old: all would send to the same engine.
_SAME_COST_SECONDS: Final = 0.2
# Penalty for an engine in another failure domain, which causes cross-domain traffic.
_OTHER_DOMAIN_PENALTY_SECONDS: Final = 0.01
# Penalty at a failure rate of 1; lower rates are charged proportionally.
_FAILURE_PENALTY_SECONDS: Final = 1.0
# Penalty for an engine whose owner no longer reports: the engine may be unreachable
# because of the same network partition even if no connection to it has failed yet.
_SILENT_OWNER_PENALTY_SECONDS: Final = 0.4
# Ranks engines that must be avoided behind all others.
_LAST_RESORT_PENALTY_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class RequestSize:
    """Describe the size of a request in tokens.

    ``prompt_tokens`` must be prefilled; ``kv_cache_tokens`` is the most that the
    request may occupy in the KV cache, its output included.
    """

    prompt_tokens: int
    kv_cache_tokens: int


@dataclass(frozen=True, slots=True)
class EngineCandidate:
    """Describe an engine as this host sees it.

    ``requests`` counts requests running and waiting, and ``tokens`` the KV cache tokens
    that they occupy out of ``token_capacity``. ``pending_prefill_tokens`` counts prompt
    tokens that await prefill; at ``pending_prefill_limit`` or more, a further prompt
    would make the pauses in the engine's streams too long. ``slowdown`` is the ratio of
    the engine's processing time to the usual one (1.0 is normal, higher is slower).

    ``copy`` is the state of the requested adapter copy, ``None`` if the engine does not
    hold it, and ``ready_in`` the seconds until that copy is ready. ``is_warm`` means
    that the engine held the copy recently and can load it without a fetch.

    ``accepts_load_orders`` means that the engine's owner reports and can issue load
    orders, ``can_load`` that it also has a slot available, and ``has_silent_owner``
    that the owner has stopped reporting. ``is_avoided`` makes the engine a last
    resort, for example because no connection could be made. ``speed`` is how fast the
    engine is expected to be without a slowdown.
    """

    server: ServerId
    requests: float
    tokens: float
    pending_prefill_tokens: float
    batch_size: int
    token_capacity: int
    slowdown: float
    is_local: bool
    has_model: bool
    copy: CopyState | None
    ready_in: float = 0.0
    can_load: bool = False
    accepts_load_orders: bool = False
    is_warm: bool = False
    pending_prefill_limit: float = math.inf
    failure_rate: float = 0.0
    is_avoided: bool = False
    has_silent_owner: bool = False
    speed: EngineSpeed = DEFAULT_ENGINE_SPEED

    def has_capacity(self, tokens: int) -> bool:
        """Return whether a request that occupies ``tokens`` may be sent now.

        An engine without other requests accepts one of any size.
        """
        if is_batch_full(self.requests, self.batch_size):
            return False
        if self.pending_prefill_tokens >= self.pending_prefill_limit:
            return False
        return self.tokens + tokens <= self.token_capacity * _MAX_CACHE_FRACTION or (
            self.requests < 1.0
        )

    def cost_seconds(self, prompt_tokens: int) -> float:
        """Return the expected seconds until a prompt is prefilled, plus penalties.

        A full batch counts as much as one step that reads all it can, which spreads
        requests over engines by their places and their speed.
        """
        longest_step = self.speed.longest_step_seconds
        per_request = longest_step / max(1, self.batch_size)
        if prompt_tokens > self.speed.step_tokens:
            per_request = longest_step * _LONG_PROMPT_STEPS_PER_REQUEST
        cost_seconds = self.speed.prefill_seconds(
            self.pending_prefill_tokens + prompt_tokens
        )
        cost_seconds = (cost_seconds + self.requests * per_request) * self.slowdown
        cost_seconds += 0.0 if self.is_local else _OTHER_DOMAIN_PENALTY_SECONDS
        cost_seconds += self.failure_rate * _FAILURE_PENALTY_SECONDS
        cost_seconds += _SILENT_OWNER_PENALTY_SECONDS if self.has_silent_owner else 0.0
        return cost_seconds + (_LAST_RESORT_PENALTY_SECONDS if self.is_avoided else 0.0)


class EngineAction(Enum):
    """List what to do with a request.

    ``SEND`` sends it to an engine that is ready for it. ``LOAD`` requests its adapter
    from an engine that is loading it or can load it now, ``QUEUE`` from one that has no
    slot available yet. ``WAIT`` waits until an engine has capacity. ``NO_ENGINE`` means
    that there is no engine to choose from.
    """

    SEND = "send"
    LOAD = "load"
    QUEUE = "queue"
    WAIT = "wait"
    NO_ENGINE = "no_engine"

    @property
    def needs_load(self) -> bool:
        """Return whether the request waits for a load of its adapter."""
        return self in (EngineAction.LOAD, EngineAction.QUEUE)


@dataclass(frozen=True, slots=True)
class EngineDecision:
    """Hold the action for a request and the engine that it concerns.

    ``cost_seconds`` is the expected time to the first token plus penalties.
    ``lacks_owner`` means that no owner of an engine with capacity may load.
    """

    action: EngineAction
    server: ServerId | None = None
    cost_seconds: float = 0.0
    lacks_owner: bool = False


def is_batch_full(requests: float, batch_size: int) -> bool:
    """Return whether an engine with so many requests takes none in any case.

    Such engines need not be described any further. Designed for crests, in which most
    engines are full and each waiting request checks them again and again.
    """
    return requests >= batch_size * _MAX_BATCH_FRACTION


def choose_engine(
    copy: AdapterCopyKey,
    size: RequestSize,
    candidates: Sequence[EngineCandidate],
    expected_uses: float = 1.0,
    rng: random.Random | None = None,
) -> EngineDecision:
    """Return where to send a request, or where to load its adapter first.

    Designed for skewed traffic, in which a few adapters receive most requests and
    thousands receive an occasional one, and for bursts in which prompts queue. Chooses
    the engine with the lowest cost, that is the one expected to start the request
    first, load time included. For a new copy, engines with similar queues are taken in
    the adapter's rendezvous order, so that hosts that decide at the same time agree.
    ``expected_uses`` is the expected number of requests that an additional copy would
    serve; the cost of its fetch is divided among them. With ``rng``, the best of two
    random engines that are ready at about the lowest cost, and one of the same failure
    domain, is chosen.
    """
    if not candidates:
        return EngineDecision(EngineAction.NO_ENGINE)
    with_capacity = [c for c in candidates if c.has_capacity(size.kv_cache_tokens)]
    available = [c for c in with_capacity if c.has_model]
    prompt = size.prompt_tokens
    options = [
        EngineDecision(EngineAction.SEND, item.server, item.cost_seconds(prompt))
        for item in available
        if item.copy is CopyState.READY or not copy.adapter
    ]
    if copy.adapter:
        options += [
            EngineDecision(
                EngineAction.LOAD,
                item.server,
                item.cost_seconds(prompt) + item.ready_in,
            )
            for item in available
            if item.copy is CopyState.LOADING
        ]
        if not _are_slots_scarce(available) or not options:
            options += _load_options(copy, prompt, available, expected_uses)
    if not options:
        return _queue_decision(copy, available, with_capacity)
    best = min(options, key=_by_cost)
    if rng is None or best.action is not EngineAction.SEND:
        return best
    limit = best.cost_seconds + _SAME_COST_SECONDS
    near = [
        option
        for option in options
        if option.action is EngineAction.SEND and option.cost_seconds <= limit
    ]
    own = {item.server for item in available if item.is_local}
    local = [option for option in near if option.server in own]
    drawn = rng.sample(near, min(2, len(near))) + rng.sample(local, min(1, len(local)))
    return min(drawn, key=_by_cost)


def _by_cost(option: EngineDecision) -> tuple[float, str]:
    return option.cost_seconds, option.server or ""


def _queue_decision(
    copy: AdapterCopyKey,
    engines: Sequence[EngineCandidate],
    with_capacity: Sequence[EngineCandidate],
) -> EngineDecision:
    """Return the engine whose owner should load the adapter once it has a slot."""
    eligible = {
        str(item.server): item.server
        for item in engines
        if item.copy is None and item.accepts_load_orders and not item.is_avoided
    }
    if not copy.adapter or not eligible:
        can_order = any(item.accepts_load_orders for item in with_capacity)
        lacks_owner = bool(with_capacity) and not can_order
        return EngineDecision(EngineAction.WAIT, lacks_owner=lacks_owner)
    name = first(f"{copy.model}/{copy.adapter}", eligible)
    return EngineDecision(EngineAction.QUEUE, eligible[name or ""])


def _are_slots_scarce(engines: Sequence[EngineCandidate]) -> bool:
    """Return whether slots are too scarce for additional copies of an adapter."""
    loadable = sum(item.can_load for item in engines)
    return loadable < len(engines) * _MIN_LOADABLE_FRACTION


def _load_options(
    copy: AdapterCopyKey,
    prompt: int,
    engines: Sequence[EngineCandidate],
    expected_uses: float,
) -> list[EngineDecision]:
    """Return loads at all warm engines and at the best top-ranked engine."""
    eligible = {
        str(item.server): item
        for item in engines
        if item.copy is None and item.can_load and not item.is_avoided
    }
    if not eligible:
        return []
    loads = [
        EngineDecision(
            EngineAction.LOAD,
            item.server,
            item.cost_seconds(prompt) + _WARM_LOAD_SECONDS,
        )
        for item in eligible.values()
        if item.is_warm
    ]
    order = ranked(f"{copy.model}/{copy.adapter}", eligible)[:_MAX_RANKED_ENGINES]
    ordered = [
        (
            eligible[name].cost_seconds(prompt) + rank * _RANK_SECONDS,
            rank,
            eligible[name],
        )
        for rank, name in enumerate(order)
    ]
    cost_seconds, _, item = min(ordered, key=lambda entry: entry[:2])
    cost_seconds += _FETCH_SECONDS + _FETCH_PENALTY_SECONDS / max(1.0, expected_uses)
    loads.append(EngineDecision(EngineAction.LOAD, item.server, cost_seconds))
    return loads
