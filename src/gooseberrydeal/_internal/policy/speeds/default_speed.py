"""Define the speeds that are assumed before any response was observed."""

from typing import Final

from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed

# Round figures of the magnitude that engines of this kind have; within seconds of a
# start the figures that were observed replace them. The step reads the most prompt
# tokens that engines are known to read, so that pauses are not underestimated.
DEFAULT_ENGINE_SPEED: Final = EngineSpeed(
    seconds_per_prompt_token=1.0 / 20_000.0,
    step_seconds=0.01,
    step_seconds_per_request=0.001,
    step_tokens=2_048.0,
)
