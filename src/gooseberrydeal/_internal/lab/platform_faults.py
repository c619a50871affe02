"""Define the faults that the platform stand-in can inject."""

from dataclasses import dataclass, field


@dataclass
class PlatformFaults:
    """Configure faults of the platform; tests and experiments change them at run time.

    While ``is_down`` is set, calls of the key-value store fail with status 503 and
    watches end at their next event. ``delay_seconds`` delays each call of the store.
    The next ``lost_answers`` transactions take effect but are never answered.
    ``refused_writes`` and ``cut_clients`` have no effect.
    """

    is_down: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0
    refused_writes: int = 0
    cut_clients: set[str] = field(default_factory=set)
