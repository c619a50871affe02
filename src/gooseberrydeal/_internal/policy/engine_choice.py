"""Choose the engine of a request that names a model or an adapter."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.utils.rendezvous import first, ranked

# Prompt tokens that an engine reads in a second: the figure of the deployments' sheets.
READ_TOKENS_A_SECOND: Final = 19_200.0
# Requests that are generating slow each step down by about this.
_RUNNING_SECONDS: Final = 0.001
# A prompt of several full steps makes long pauses in every running stream.
_DISTURBED_SECONDS: Final = 0.03
# Parts of an engine's batch and memory that requests may take; the rest keeps pauses
# between tokens short and avoids preemption.
_BATCH_PART: Final = 0.9
_MEMORY_PART: Final = 0.85
# Expected time of a load from the weight store and of one from the engine's memory.
_FETCH_SECONDS: Final = 0.3
_WARM_SECONDS: Final = 0.04
# A fetch is priced at about a third of a short request, so a further copy must save
# more time than this.
_FETCH_PENALTY_SECONDS: Final = 0.25
# Where less than this part of the engines has a slot to give, an adapter that is held
# somewhere gets no further copy.
_SCARCE_PART: Final = 0.5
# An engine further down the adapter's own order must begin so much sooner.
_KEEP_ORDER_SECONDS: Final = 0.02
# Engines in an adapter's own order among which the least loaded is taken.
_FIRST_ENGINES: Final = 4
# Time of a step without prompts, and the most prompt tokens that a step reads.
_STEP_SECONDS: Final = 0.0095
_STEP_TOKENS: Final = 2048
# More prompts than this fill several steps one after the other.
_MOST_UNREAD: Final = 2.0 * _STEP_TOKENS
# Keeps the expected pause this far below the limit.
_PAUSE_MARGIN: Final = 0.9
# An engine of another failure domain costs bytes between domains.
_OTHER_DOMAIN_SECONDS: Final = 0.01
_FAILURE_SECONDS: Final = 1.0
# An engine whose owner has fallen silent may be behind the same cut, as long as no
# connection to it has failed yet.
_UNHEARD_SECONDS: Final = 0.4
_LAST_RESORT_SECONDS: Final = 60.0


@dataclass(frozen=True, slots=True)
class PromptSize:
    """Hold the tokens to read, and those that the whole run may keep in memory."""

    prompt_tokens: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class EngineCandidate:
    """Describe an engine as this host sees it.

    ``unread_tokens`` are those of prompts that wait to be read. ``copy`` is the state
    of the wanted copy and ``ready_in`` the seconds until it is ready. ``can_load`` says
    that its owner is heard and has a slot to give, ``is_warm`` that it held the copy
    lately, ``is_unheard`` that its owner has fallen silent. More ``unread_limit``
    tokens would make the pauses in its streams too long.
    """

    server: ServerId
    requests: float
    tokens: float
    unread_tokens: float
    batch_size: int
    token_capacity: int
    pace: float
    is_local: bool
    has_model: bool
    copy: CopyState | None
    ready_in: float = 0.0
    can_load: bool = False
    takes_orders: bool = False
    is_warm: bool = False
    unread_limit: float = math.inf
    failure_rate: float = 0.0
    is_avoided: bool = False
    is_unheard: bool = False

    def has_room(self, tokens: int) -> bool:
        """Return whether batch and memory have room for a request."""
        if self.requests >= self.batch_size * _BATCH_PART:
            return False
        if self.unread_tokens >= self.unread_limit:
            return False
        return self.tokens + tokens <= self.token_capacity * _MEMORY_PART or (
            self.requests < 1.0
        )

    def wait(self, prompt_tokens: int) -> float:
        """Return the seconds until a prompt would be read, with penalties."""
        wait = (self.unread_tokens + prompt_tokens) / READ_TOKENS_A_SECOND
        disturbed = _RUNNING_SECONDS
        if prompt_tokens > _STEP_TOKENS:
            disturbed = _DISTURBED_SECONDS
        wait = (wait + self.requests * disturbed) * self.pace
        wait += 0.0 if self.is_local else _OTHER_DOMAIN_SECONDS
        wait += self.failure_rate * _FAILURE_SECONDS
        wait += _UNHEARD_SECONDS if self.is_unheard else 0.0
        return wait + (_LAST_RESORT_SECONDS if self.is_avoided else 0.0)


class EngineVerdict(Enum):
    """List what to do with a request.

    ``QUEUE`` asks for a load at an engine that has no slot to give yet.
    """

    SEND = "send"
    LOAD = "load"
    QUEUE = "queue"
    WAIT = "wait"
    NO_ENGINE = "no_engine"


@dataclass(frozen=True, slots=True)
class EngineDecision:
    """Hold a verdict; ``wait`` is the expected time to the first token, in seconds."""

    verdict: EngineVerdict
    server: ServerId | None = None
    wait: float = 0.0


def unread_limit(longest_pause: float, event_tokens: int, pace: float) -> float:
    """Return how many prompt tokens may wait without long pauses between events.

    Each step reads waiting prompts and makes one token of each stream. Answers to
    engines that slow down for moments while a burst of prompts arrives.
    """
    step = longest_pause * _PAUSE_MARGIN / event_tokens / pace
    tokens = (step - _STEP_SECONDS) * READ_TOKENS_A_SECOND
    return _MOST_UNREAD if tokens >= _STEP_TOKENS else max(1.0, tokens)


def choose_engine(
    copy: AdapterCopyKey,
    size: PromptSize,
    candidates: Sequence[EngineCandidate],
    uses_ahead: float = 1.0,
) -> EngineDecision:
    """Return where to send a request, or where to load its adapter first.

    Answers to a few adapters that draw most requests, thousands that draw one now and
    then, and bursts in which prompts queue. The engine is taken that would begin
    first, the time of a load included. Where nobody holds the adapter, engines are
    taken in the adapter's own order while their queues are alike, so that hosts that
    decide at the same time agree. ``uses_ahead`` is how many requests a further copy
    would probably serve; they share the price of its fetch.
    """
    if not candidates:
        return EngineDecision(EngineVerdict.NO_ENGINE)
    roomy = [c for c in candidates if c.has_model and c.has_room(size.memory_tokens)]
    prompt = size.prompt_tokens
    options = [
        EngineDecision(EngineVerdict.SEND, item.server, item.wait(prompt))
        for item in roomy
        if item.copy is CopyState.READY or not copy.adapter
    ]
    if copy.adapter:
        options += [
            EngineDecision(
                EngineVerdict.LOAD, item.server, item.wait(prompt) + item.ready_in
            )
            for item in roomy
            if item.copy is CopyState.LOADING
        ]
        if not _is_scarce(roomy) or not options:
            options += _loads(copy, prompt, roomy, uses_ahead)
    if not options:
        return _queue(copy, roomy)
    return min(options, key=lambda option: (option.wait, option.server))


def _queue(copy: AdapterCopyKey, engines: Sequence[EngineCandidate]) -> EngineDecision:
    """Return the engine at whose owner the request waits for a slot."""
    able = {
        str(item.server): item.server
        for item in engines
        if item.copy is None and item.takes_orders and not item.is_avoided
    }
    if not copy.adapter or not able:
        return EngineDecision(EngineVerdict.WAIT)
    name = first(f"{copy.model}/{copy.adapter}", able)
    return EngineDecision(EngineVerdict.QUEUE, able[name or ""])


def _is_scarce(engines: Sequence[EngineCandidate]) -> bool:
    """Return whether slots are too scarce for further copies of an adapter."""
    able = sum(item.can_load for item in engines)
    return able < len(engines) * _SCARCE_PART


def _loads(
    copy: AdapterCopyKey,
    prompt: int,
    engines: Sequence[EngineCandidate],
    uses_ahead: float,
) -> list[EngineDecision]:
    able = {
        str(item.server): item
        for item in engines
        if item.copy is None and item.can_load and not item.is_avoided
    }
    if not able:
        return []
    loads = [
        EngineDecision(
            EngineVerdict.LOAD, item.server, item.wait(prompt) + _WARM_SECONDS
        )
        for item in able.values()
        if item.is_warm
    ]
    order = ranked(f"{copy.model}/{copy.adapter}", able)[:_FIRST_ENGINES]
    ordered = [
        (able[name].wait(prompt) + place * _KEEP_ORDER_SECONDS, place, able[name])
        for place, name in enumerate(order)
    ]
    wait, _, item = min(ordered, key=lambda entry: entry[:2])
    wait += _FETCH_SECONDS + _FETCH_PENALTY_SECONDS / max(1.0, uses_ahead)
    loads.append(EngineDecision(EngineVerdict.LOAD, item.server, wait))
    return loads
