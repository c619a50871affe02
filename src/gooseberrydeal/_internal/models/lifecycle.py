"""Describe the life of a process or a task."""

from enum import Enum
from typing import Final

from transitions import Machine


class Phase(Enum):
    """List the phases of a life."""

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
    """Allow only the transitions that a life can take; others are ignored."""

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
        """Return the present phase."""
        phase: Phase = self.__dict__["_phase"]
        return phase

    @property
    def is_serving(self) -> bool:
        """Return whether new work is taken."""
        return self.phase is Phase.SERVING

    def serve(self) -> None:
        """Begin to take work."""
        self._machine.dispatch("_serve")

    def drain(self) -> None:
        """Take no more work."""
        self._machine.dispatch("_drain")

    def resume(self) -> None:
        """Take work again."""
        self._machine.dispatch("_undrain")

    def stop(self) -> None:
        """End."""
        self._machine.dispatch("_stop")
