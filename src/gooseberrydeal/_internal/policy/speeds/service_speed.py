"""Estimate the usual speed of the engines of a service."""

import statistics
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from gooseberrydeal._internal.models.routing.speed_observation import SpeedObservation
from gooseberrydeal._internal.policy.speeds.default_speed import DEFAULT_ENGINE_SPEED
from gooseberrydeal._internal.policy.speeds.engine_samples import EngineSamples
from gooseberrydeal._internal.policy.speeds.recent_median import RecentMedian
from gooseberrydeal._internal.policy.speeds.step_slope import StepSlope
from gooseberrydeal._internal.policy.speeds.step_tokens import StepTokens
from gooseberrydeal._internal.policy.speeds.wait_line import WaitLine

# With fewer known engines than this, the responses of all are taken together.
_MIN_KNOWN_ENGINES: Final = 3
_WINDOW_RESPONSES: Final = 201
# The median is taken again after this time, since each candidate of each request
# needs it.
_REFRESH_SECONDS: Final = 0.25


class ServiceSpeed:
    """Hold the median speed of a service's engines, by all responses at first.

    A host sees few responses of each engine, but several a second of all of them. What
    the engines' owners report replaces this host's own estimate, which is the basis of
    what it reports on the engines that it owns.
    """

    def __init__(self) -> None:
        self._steps = RecentMedian(_WINDOW_RESPONSES, min_spacing=0.0)
        self._prefill = RecentMedian(_WINDOW_RESPONSES, min_spacing=0.0)
        self._step_tokens = StepTokens()
        self._slope = StepSlope()
        self._waits = WaitLine()
        self._known: dict[ServerId, EngineSpeed] = {}
        self._speed = DEFAULT_ENGINE_SPEED
        self._refresh_at = 0.0
        self._own = DEFAULT_ENGINE_SPEED

    @property
    def known_engines(self) -> int:
        """Return the number of engines with a speed of their own."""
        return len(self._known)

    @property
    def latest(self) -> EngineSpeed:
        """Return the usual speed as it was last needed."""
        return self._speed

    @property
    def responses(self) -> int:
        """Return the number of responses from which the speed was learned."""
        return self._steps.count

    def observe_pair(
        self, first: SpeedObservation, second: SpeedObservation, now: float
    ) -> None:
        """Add two streams of the same engine, which show the slope of its steps."""
        self._slope.add(first, second, now)

    def add_step(self, seconds: float, now: float) -> None:
        """Add the step of a stream of this host, without its requests' share."""
        self._steps.add(seconds, now)

    def add(self, samples: EngineSamples, now: float) -> None:
        """Add the samples of a stream of any engine, from any host."""
        if samples.wait_seconds is not None:
            self._waits.add(samples.prompt_tokens, samples.wait_seconds)
        if samples.seconds_per_prompt_token is not None:
            prefill = samples.seconds_per_prompt_token
            self._prefill.add(prefill, now, samples.weight)
        if samples.pair_tokens is not None:
            self._step_tokens.add(samples.gap_tokens, samples.pair_tokens)

    def note(self, server: ServerId, speed: EngineSpeed) -> None:
        """Record the speed of one engine."""
        self._known[server] = speed

    def forget(self, server: ServerId) -> None:
        """Forget an engine that has left or has started again."""
        self._known.pop(server, None)

    def delay_steps(self, now: float) -> float:
        """Return the part of a wait that does not depend on the prompts, in steps."""
        return self._waits.delay_steps(self.speed(now).step_seconds)

    def relative_prefill(self, samples: RecentMedian, now: float) -> float:
        """Return an engine's prefill time relative to all, by its own samples.

        Both have the same bias, since waits vary more upwards than downwards.
        """
        usual = self._prefill.median
        return 1.0 if usual is None else samples.blend(usual, now) / usual

    def own_speed(self, now: float) -> EngineSpeed:
        """Return the usual speed by what this host observed or was reported."""
        self.speed(now)
        return self._own

    def speed(self, now: float) -> EngineSpeed:
        """Return the usual speed, at most a quarter of a second old."""
        if now >= self._refresh_at:
            self._refresh_at = now + _REFRESH_SECONDS
            self._speed = self._current(now)
        return self._speed

    def _current(self, now: float) -> EngineSpeed:
        known = list(self._known.values())
        prior = _median(known) if known else DEFAULT_ENGINE_SPEED
        step = prior.step_seconds
        prefill = prior.seconds_per_prompt_token
        if len(known) < _MIN_KNOWN_ENGINES:
            step = self._steps.blend(step, now)
            prefill = self._prefill.blend(prefill, now)
        slope = prior.step_seconds_per_request / prior.step_seconds
        # Observed steps have the requests' share in them while it is not known.
        slope = self._slope.relative(0.0 if known or self._steps.count else slope)
        step_tokens = self._step_tokens.estimate or prior.step_tokens
        self._own = EngineSpeed(
            self._waits.slope_seconds or prefill, step, slope * step, step_tokens
        )
        if len(known) < _MIN_KNOWN_ENGINES:
            return self._own
        return EngineSpeed(prefill, step, slope * step, prior.step_tokens)


def _median(speeds: list[EngineSpeed]) -> EngineSpeed:
    """Return the median of each figure, the prefill time relative to the step."""
    step = statistics.median(item.step_seconds for item in speeds)
    return EngineSpeed(
        step
        * statistics.median(
            item.seconds_per_prompt_token / item.step_seconds for item in speeds
        ),
        step,
        statistics.median(item.step_seconds_per_request for item in speeds),
        statistics.median(item.step_tokens for item in speeds),
    )
