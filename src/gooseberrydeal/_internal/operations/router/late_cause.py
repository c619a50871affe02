"""Define the causes of a late reply."""

from enum import Enum


class LateCause(Enum):
    """Stage that took most of the time to the response's head, or ``PAUSE``.

    ``ADAPTER_LOAD``: waiting for the adapter to be loaded.
    ``ENGINE_CAPACITY``: waiting for anything else before the first send, such as a slot
    in an engine.
    ``FAILED_SENDS``: time from the first send to the last one.
    ``SERVER``: waiting for the response to the last send.
    ``PAUSE``: the head was on time, but two chunks of the body were too far apart.
    """

    ADAPTER_LOAD = "adapter_load"
    ENGINE_CAPACITY = "engine_room"
    FAILED_SENDS = "failed_sends"
    SERVER = "server"
    PAUSE = "pause"
