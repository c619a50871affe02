"""Estimate the speed of one engine."""

import math
from collections.abc import Iterable
from dataclasses import fields, replace
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from gooseberrydeal._internal.models.routing.speed_observation import SpeedObservation
from gooseberrydeal._internal.policy.speeds.engine_samples import EngineSamples
from gooseberrydeal._internal.policy.speeds.recent_median import RecentMedian
from gooseberrydeal._internal.policy.speeds.service_speed import ServiceSpeed
from gooseberrydeal._internal.policy.speeds.step_tokens import StepTokens

# The owner's figures include this host's observations while they are this recent;
# owners report at least once a second, see ``exchange_periods``.
_FRESH_SECONDS: Final = 5.0
# Older figures are still nearer to the engine than the median of its service.
_OUTDATED_SECONDS: Final = 60.0
# Figures of other hosts are limited to this many times the service's, either way:
# servers of one service differ by less, and a mistaken host must not divert all load.
_MAX_RATIO: Final = 8.0
# Responses from which an owner reports its engine's speed.
_MIN_RESPONSES: Final = 5
# A figure is computed again after this time even without news, since it fades.
_REFRESH_SECONDS: Final = 0.25
# A slow moment shows in a stream's steps, and for this long after in the waits of
# others, which began in it.
_SLOW_SECONDS: Final = 0.6
# Waits vary with what the engine happens to do at the time, so more of them are needed
# than of gaps between events before an engine's own count as much as its service's.
_PREFILL_WINDOW: Final = 41
_PREFILL_EQUAL_WEIGHT: Final = 150.0
# Observations that wait to be reported to the owner; the oldest are dropped.
_MAX_UNREPORTED: Final = 8


class ServerSpeed:
    """Combine observed responses, the owner's figures and those of the service.

    The steps show within a few responses how much slower or faster an engine is than
    usual; its prefill is assumed to be so too, until its own waits show otherwise.
    """

    def __init__(self, server: ServerId, service: ServiceSpeed) -> None:
        self._server = server
        self._service = service
        self._steps = RecentMedian()
        self._prefill = RecentMedian(
            _PREFILL_WINDOW, equal_weight=_PREFILL_EQUAL_WEIGHT
        )
        self._step_tokens = StepTokens()
        self._owner: EngineSpeed | None = None
        self._owner_at = -math.inf
        self._slow_at = -math.inf
        self._slow_ratio = 1.0
        self._unreported: list[SpeedObservation] = []
        self._last: SpeedObservation | None = None
        self._current: EngineSpeed | None = None
        self._current_until = -math.inf

    @property
    def service(self) -> ServiceSpeed:
        """Return the speed of the engine's service."""
        return self._service

    def observe(self, item: SpeedObservation, now: float) -> None:
        """Add a response to this host, and keep it for the report to the owner."""
        if item.step_seconds:
            usual = self._service.speed(now)
            self._service.add_step(_own_step_seconds(item, usual), now)
        self._add(item, now)
        self._unreported = [*self._unreported, item][-_MAX_UNREPORTED:]

    def observe_reported(self, items: Iterable[SpeedObservation], now: float) -> None:
        """Add responses that another host observed and reported to this owner."""
        for item in items:
            self._add(item, now)

    def take_unreported(self) -> tuple[SpeedObservation, ...]:
        """Return the observations since the last call."""
        items, self._unreported = self._unreported, []
        return tuple(items)

    def apply_owner(self, speed: EngineSpeed, now: float) -> None:
        """Apply the figures of the engine's owner, limited to what is plausible."""
        usual = self._service.speed(now)
        self._owner = EngineSpeed(
            *(
                min(max(getattr(speed, name), value / _MAX_RATIO), value * _MAX_RATIO)
                for name, value in _figures(usual)
            )
        )
        # The share of a running request may be next to nothing.
        slope = min(speed.step_seconds_per_request, self._owner.step_seconds)
        self._owner = replace(self._owner, step_seconds_per_request=slope)
        self._owner_at = now
        self._current = None
        self._service.note(self._server, self._owner)

    def observed(self, now: float) -> EngineSpeed | None:
        """Return the figures for the owner's status, ``None`` with few responses."""
        if self._steps.count < _MIN_RESPONSES:
            return None
        return self._blend(self._service.own_speed(now), now)

    def current(self, now: float) -> EngineSpeed:
        """Return the speed that the engine is expected to have."""
        if self._current is None or now >= self._current_until:
            self._current = self._compute(now)
            self._current_until = now + _REFRESH_SECONDS
        return self._current

    def _compute(self, now: float) -> EngineSpeed:
        age = now - self._owner_at
        if self._owner is not None and age <= _FRESH_SECONDS:
            return self._owner
        prior = self._service.speed(now)
        if self._owner is not None and age <= _OUTDATED_SECONDS:
            prior = self._owner
        return self._blend(prior, now)

    def recent_slowdown(self, now: float) -> float:
        """Return how much slower than its speed the engine was within a moment ago."""
        return self._slow_ratio if now - self._slow_at < _SLOW_SECONDS else 1.0

    def clear(self) -> None:
        """Forget what was observed before the engine started again."""
        self._steps.clear()
        self._prefill.clear()
        self._step_tokens.clear()
        self._unreported.clear()
        self._owner, self._last = None, None
        self._owner_at = -math.inf
        self._current = None
        self._service.forget(self._server)

    def _add(self, item: SpeedObservation, now: float) -> None:
        """Add a response.

        Prefill samples are kept as they would be at the service's usual speed, so that
        they stay valid when the engine's speed changes.
        """
        usual = self._service.speed(now)
        if item.step_seconds:
            if self._last is not None:
                self._service.observe_pair(self._last, item, now)
            self._last = item
            self._steps.add(_own_step_seconds(item, usual), now)
        scale = self._steps.blend(usual.step_seconds, now) / usual.step_seconds
        if EngineSamples.is_slow(item, usual, scale):
            # One stream alone may have had just gaps in which prompts were read.
            step = usual.generation_step_seconds(item.requests) * scale
            is_confirmed = now - self._slow_at < _SLOW_SECONDS
            self._slow_ratio = item.step_seconds / step if is_confirmed else 1.0
            self._slow_at = now
        samples = EngineSamples.from_observation(
            item,
            usual,
            self._service.delay_steps(now),
            scale,
            is_slow=now - self._slow_at < _SLOW_SECONDS,
        )
        if samples.seconds_per_prompt_token is not None:
            prefill = samples.seconds_per_prompt_token
            self._prefill.add(prefill, now, samples.weight)
        if samples.pair_tokens is not None:
            self._step_tokens.add(samples.gap_tokens, samples.pair_tokens)
        self._service.add(samples, now)
        self._current = None

    def _blend(self, prior: EngineSpeed, now: float) -> EngineSpeed:
        """Return the observed figures, drawn towards ``prior`` with few or old ones."""
        usual = self._service.speed(now)
        step = self._steps.blend(prior.step_seconds, now)
        relative = self._service.relative_prefill(self._prefill, now)
        return EngineSpeed(
            prior.seconds_per_prompt_token * step / prior.step_seconds * relative,
            step,
            usual.step_seconds_per_request * step / usual.step_seconds,
            self._step_tokens.estimate or prior.step_tokens,
        )


def _own_step_seconds(item: SpeedObservation, usual: EngineSpeed) -> float:
    """Return the step of a stream without the share of the running requests."""
    share = usual.step_seconds / usual.generation_step_seconds(item.requests)
    return item.step_seconds * share


def _figures(speed: EngineSpeed) -> list[tuple[str, float]]:
    return [(item.name, getattr(speed, item.name)) for item in fields(speed)]
