"""Hold what is known of the speed of a service's servers in general."""

from dataclasses import dataclass, field

from gooseberrydeal._internal.policy.speeds.service_speed import ServiceSpeed
from gooseberrydeal._internal.policy.speeds.service_time import UsualServiceTime


@dataclass(frozen=True, slots=True)
class UsualSpeeds:
    """Hold the speed of a service's engines, or the service time of plain servers."""

    engine: ServiceSpeed = field(default_factory=ServiceSpeed)
    plain: UsualServiceTime = field(default_factory=UsualServiceTime)
