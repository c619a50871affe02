"""Define the lifecycle state machine of a host or of a component in it."""

from enum import Enum
from typing import Final

from transitions import Machine


class Phase(Enum):
    """List the phases of a lifecycle."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


_TRANSITIONS: Final = [
    {"trigger": "_serve", "source": Phase.STARTING, "dest": Phase.SERVING},
    {
        "trigger": "_drain",
        "source": [Phase.STARTING, Phase.SERVING],
        "dest": Phase.DRAINING,
    },
    {"trigger": "_undrain", "source": Phase.DRAINING, "dest": Phase.SERVING},
    {"trigger": "_stop", "source": "*", "dest": Phase.STOPPED},
]


class Lifecycle:
    """Track the current phase; transitions that it does not allow are ignored."""

    def __init__(self) -> None:
        self._machine = Machine(
            model=self,
            states=Phase,
            transitions=_TRANSITIONS,
            initial=Phase.STARTING,
            ignore_invalid_triggers=True,
            auto_transitions=False,
            model_attribute="_phase",
        )

    @property
    def phase(self) -> Phase:
        """Return the current phase."""
        phase: Phase = self.__dict__["_phase"]
        return phase

    @property
    def is_serving(self) -> bool:
        """Return whether new work is accepted."""
        return self.phase is Phase.SERVING

    def serve(self) -> None:
        """Start accepting work."""
        self._machine.dispatch("_serve")

    def drain(self) -> None:
        """Stop accepting new work while running work finishes."""
        self._machine.dispatch("_drain")

    def resume(self) -> None:
        """Accept work again after draining."""
        self._machine.dispatch("_undrain")

    def stop(self) -> None:
        """Enter the final phase, from any other."""
        self._machine.dispatch("_stop")
