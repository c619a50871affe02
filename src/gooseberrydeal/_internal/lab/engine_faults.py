"""Define the faults that an engine stand-in can inject."""

from dataclasses import dataclass, field


@dataclass
class EngineFaults:
    """Configure faults of an engine; tests and experiments change them at run time.

    ``slowdown`` multiplies the prefill time and the time per token. Loads of the
    adapter versions in ``broken_copies`` fail, as do the next ``failing_loads`` loads.
    The next ``cut_streams`` streams end early, the next ``silent_streams`` stall, and
    the next ``crossed_answers`` carry the id of another request. A prompt that
    contains ``crash_word`` crashes the engine.
    """

    slowdown: float = 1.0
    failing_loads: int = 0
    broken_copies: set[str] = field(default_factory=set)
    cut_streams: int = 0
    crossed_answers: int = 0
    silent_streams: int = 0
    crash_word: str = "CRASH-THE-ENGINE"
