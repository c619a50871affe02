"""Compare rules for choosing engines on one seeded load, with delayed statuses."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from gooseberrydeal._internal.policy.engine_choice import (
    EngineCandidate,
    RequestSize,
    choose_engine,
)
from tests.lib.routing_builders import candidate, copy_key

HOSTS = 71
SLOTS = 16
DOMAINS = 4
# Periods of deployments of this size, see ``exchange_periods``.
_COLLECT_SECONDS = 0.13
_DELAY_SECONDS = 0.0015
# Long prompts of deployments B and W share 6,300 tokens, which engines still hold.
_LONG_PROMPT_TOKENS = 2_890
_LONG_PROMPT_FRACTION = 0.03

Rule = Callable[[list[EngineCandidate], int, random.Random], int]


@dataclass(slots=True)
class _Engine:
    """Read prompts in order, then generate; all at the engine's speed."""

    speed: EngineSpeed
    free_at: float = 0.0
    work: float = 0.0
    ends: list[float] = field(default_factory=list)
    reads: list[tuple[float, int]] = field(default_factory=list)

    def add(self, prompt: int, output: int, now: float) -> float:
        """Add a request; return when its first token is generated."""
        seconds = self.speed.prefill_seconds(prompt)
        self.work += seconds
        self.free_at = max(self.free_at, now) + seconds
        self.ends.append(self.free_at + output * self.speed.step_seconds)
        self.reads.append((self.free_at, prompt))
        return self.free_at + self.speed.step_seconds

    def load(self, now: float) -> tuple[int, int]:
        """Return the requests and the prompt tokens not yet read."""
        self.ends = [end for end in self.ends if end > now]
        self.reads = [item for item in self.reads if item[0] > now]
        return len(self.ends), sum(tokens for _, tokens in self.reads)


@dataclass(frozen=True, slots=True)
class ChoiceResult:
    """Hold the load of the busiest engine to the mean, and seconds to first tokens."""

    busiest_to_mean: float
    median_wait: float
    late_fraction: float
    local_fraction: float


def play(
    rule: Rule,
    speeds: Sequence[EngineSpeed],
    per_second: float,
    seconds: float,
    seed: int,
) -> ChoiceResult:
    """Send a load from all hosts; each sees statuses that are collected and delayed."""
    rng = random.Random(seed)
    engines = [_Engine(speed) for speed in speeds]
    seen = [(0, 0)] * len(engines)
    sent: list[list[tuple[float, int, int]]] = [[] for _ in range(HOSTS)]
    waits: list[float] = []
    now, status_at, local = 0.0, 0.0, 0
    while now < seconds:
        now += rng.expovariate(per_second)
        if now >= status_at + _COLLECT_SECONDS:
            status_at = now + _DELAY_SECONDS
            seen = [engine.load(now) for engine in engines]
        host = rng.randrange(HOSTS)
        sent[host] = [item for item in sent[host] if item[0] > status_at]
        own = sent[host]
        options = [
            candidate(
                f"i-{number:02}",
                requests=seen[number][0] + sum(item[1] == number for item in own),
                pending_prefill_tokens=max(
                    0.0,
                    seen[number][1]
                    - max(0.0, now - status_at) / speed.seconds_per_prompt_token,
                )
                + sum(item[2] for item in own if item[1] == number),
                batch_size=SLOTS,
                is_local=host % DOMAINS == number % DOMAINS,
                copy=CopyState.READY,
                speed=speed,
            )
            for number, speed in enumerate(speeds)
        ]
        is_long = rng.random() < _LONG_PROMPT_FRACTION
        prompt = _LONG_PROMPT_TOKENS if is_long else rng.randint(200, 1_100)
        number = rule(options, prompt, rng)
        first = engines[number].add(prompt, rng.randint(20, 60), now)
        sent[host].append((now, number, prompt))
        waits.append(first - now)
        local += options[number].is_local
    loads = [engine.work for engine in engines]
    return ChoiceResult(
        max(loads) / (sum(loads) / len(loads)),
        sorted(waits)[len(waits) // 2],
        sum(wait > 0.25 for wait in waits) / len(waits),
        local / len(waits),
    )


def least_expected_work(
    options: list[EngineCandidate], prompt: int, rng: random.Random
) -> int:
    """Choose the engine expected to start the request first, ties by name."""
    return _index(options, min(options, key=lambda item: item.cost_seconds(prompt)))


def two_choices(options: list[EngineCandidate], prompt: int, rng: random.Random) -> int:
    """Choose the better of two random engines."""
    two = rng.sample(options, 2)
    return _index(options, min(two, key=lambda item: item.cost_seconds(prompt)))


def join_idle_queue(
    options: list[EngineCandidate], prompt: int, rng: random.Random
) -> int:
    """Choose a random engine without pending prompts, else a random one."""
    idle = [item for item in options if item.pending_prefill_tokens <= 0]
    return _index(options, rng.choice(idle or options))


def router_rule(options: list[EngineCandidate], prompt: int, rng: random.Random) -> int:
    """Choose as the router does in deployments of this size."""
    size = RequestSize(prompt, prompt + 50)
    decision = choose_engine(copy_key(), size, options, rng=rng)
    return next(n for n, item in enumerate(options) if item.server == decision.server)


def _index(options: list[EngineCandidate], found: EngineCandidate) -> int:
    return next(n for n, item in enumerate(options) if item is found)
