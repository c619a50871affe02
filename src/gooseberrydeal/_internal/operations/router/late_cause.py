"""Name what made a served request late."""

from enum import Enum


class LateCause(Enum):
    """Tell where most of the time to the first event went, or that a pause was long."""

    ADAPTER_LOAD = "adapter_load"
    ENGINE_ROOM = "engine_room"
    FAILED_SENDS = "failed_sends"
    SERVER = "server"
    PAUSE = "pause"
