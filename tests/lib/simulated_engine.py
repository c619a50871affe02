"""Simulate an engine that processes its requests in steps, without a network."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from gooseberrydeal._internal.models.routing.speed_observation import SpeedObservation


@dataclass(slots=True)
class SimulatedRequest:
    """Hold a request, and when its events were sent."""

    prompt_tokens: int
    output_tokens: int
    sent_at: float
    pending_at_send: int = 0
    requests_at_send: int = 0
    unread: int = 0
    generated: int = 0
    events: list[float] = field(default_factory=list)

    def observation(self, event_tokens: int) -> SpeedObservation:
        """Return what the stream shows, as ``ResponseTimer`` does."""
        times = itertools.pairwise(self.events)
        in_order = [(b - a) / event_tokens for a, b in times]
        pairs = itertools.pairwise(in_order)
        gaps = sorted(in_order)
        return SpeedObservation(
            self.pending_at_send,
            self.events[0] - self.sent_at,
            self.requests_at_send,
            gaps[len(gaps) // 4] if gaps else 0.0,
            gaps[-1] if gaps else 0.0,
            max((a + b for a, b in pairs), default=0.0),
        )


class SimulatedEngine:
    """Run steps of the stated speed; ``noise`` stretches the step that begins then.

    With ``sends_first_token``, the first event has a single token.
    """

    def __init__(
        self,
        speed: EngineSpeed,
        event_tokens: int,
        noise: Callable[[float], float] = lambda now: 1.0,
        *,
        sends_first_token: bool = True,
    ) -> None:
        self.speed = speed
        self.event_tokens = event_tokens
        self.sends_first_token = sends_first_token
        self.now = 0.0
        self.requests: list[SimulatedRequest] = []
        self._noise = noise

    @property
    def pending(self) -> int:
        """Return the prompt tokens that await prefill."""
        return sum(request.unread for request in self.requests)

    def send(self, prompt_tokens: int, output_tokens: int, now: float) -> None:
        """Add a request at ``now``, at or after the end of the last step run."""
        request = SimulatedRequest(prompt_tokens, output_tokens, now)
        request.unread = prompt_tokens
        self.requests.append(request)
        request.pending_at_send = self.pending
        request.requests_at_send = len(self.requests)

    def run(self, until: float) -> list[SimulatedRequest]:
        """Run the steps that begin before ``until``; return the requests that ended."""
        ended: list[SimulatedRequest] = []
        while self.now < until:
            if not self.requests:
                self.now = until
                break
            ended += self._step()
        return ended

    def _step(self) -> list[SimulatedRequest]:
        budget = int(self.speed.step_tokens)
        for request in self.requests:
            read = min(budget, request.unread)
            request.unread -= read
            budget -= read
        seconds = self.speed.generation_step_seconds(len(self.requests))
        seconds += self.speed.prefill_seconds(self.speed.step_tokens - budget)
        self.now += seconds * self._noise(self.now)
        running = [request for request in self.requests if not request.unread]
        for request in running:
            request.generated += 1
            first = int(self.sends_first_token)
            if request.generated % self.event_tokens == first % self.event_tokens:
                request.events.append(self.now)
        ended = [item for item in running if item.generated >= item.output_tokens]
        self.requests = [item for item in self.requests if item not in ended]
        return ended


def slow_moments(rng: random.Random, fraction: float) -> Callable[[float], float]:
    """Return noise that makes steps 2.5 times as long, for 0.6 s at a time."""
    is_slow: dict[int, bool] = {}

    def noise(now: float) -> float:
        moment = int(now / 0.6)
        if moment not in is_slow:
            is_slow[moment] = rng.random() < fraction
        return 2.5 if is_slow[moment] else 1.0

    return noise
