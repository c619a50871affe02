"""Send a seeded load to simulated engines and learn their speeds from it."""

import random
from collections.abc import Sequence

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from gooseberrydeal._internal.policy.speeds.server_speed import ServerSpeed
from gooseberrydeal._internal.policy.speeds.service_speed import ServiceSpeed
from tests.lib.simulated_engine import SimulatedEngine, slow_moments

_LONG_PROMPT_TOKENS = 9_190
_LONG_PROMPT_FRACTION = 0.03
_MAX_REQUESTS = 14


def scaled(speed: EngineSpeed, factor: float) -> EngineSpeed:
    """Return the speed of an engine that is ``factor`` times as fast."""
    return EngineSpeed(
        speed.seconds_per_prompt_token / factor,
        speed.step_seconds / factor,
        speed.step_seconds_per_request / factor,
        speed.step_tokens,
    )


class SpeedLoad:
    """Send requests to random engines, each of which is slow 15% of the time."""

    def __init__(
        self,
        speeds: Sequence[EngineSpeed],
        event_tokens: int,
        per_second: float,
        seed: int,
        *,
        sends_first_token: bool = True,
    ) -> None:
        self._rng = random.Random(seed)
        self._per_second = per_second
        self.now = 0.0
        self.service = ServiceSpeed()
        self.engines = [
            SimulatedEngine(
                speed,
                event_tokens,
                slow_moments(self._rng, 0.15),
                sends_first_token=sends_first_token,
            )
            for speed in speeds
        ]
        self.learned = [self.new_server(n) for n in range(len(speeds))]
        self.responses = [0] * len(speeds)

    def new_server(self, number: int) -> ServerSpeed:
        """Return the estimate of a server that nothing is known of."""
        return ServerSpeed(ServerId(f"i-{number}"), self.service)

    def run(self, seconds: float) -> None:
        """Send requests for so long."""
        until = self.now + seconds
        while self.now < until:
            self._advance(self.now + self._rng.expovariate(self._per_second))
            engine = self._rng.choice(self.engines)
            is_long = self._rng.random() < _LONG_PROMPT_FRACTION
            prompt = _LONG_PROMPT_TOKENS if is_long else self._rng.randint(200, 1100)
            if len(engine.requests) < _MAX_REQUESTS:
                engine.send(prompt, self._rng.randint(20, 60), self.now)

    def run_responses(self, count: int) -> None:
        """Send requests until each engine has answered so many more of them."""
        until = [known + count for known in self.responses]
        while any(a < b for a, b in zip(self.responses, until, strict=True)):
            self.run(0.1)

    def _advance(self, now: float) -> None:
        self.now = now
        for number, engine in enumerate(self.engines):
            for request in engine.run(now):
                self.responses[number] += 1
                item = request.observation(engine.event_tokens)
                self.learned[number].observe(item, now)

    def change_speed(self, number: int, factor: float) -> None:
        """Make an engine ``factor`` times as fast."""
        engine = self.engines[number]
        engine.speed = scaled(engine.speed, factor)

    def ratios(self, number: int) -> tuple[float, float]:
        """Return an engine's estimated prefill and step time to the true ones."""
        found = self.learned[number].current(self.now)
        true = self.engines[number].speed
        return (
            found.seconds_per_prompt_token / true.seconds_per_prompt_token,
            found.step_seconds / true.step_seconds,
        )
