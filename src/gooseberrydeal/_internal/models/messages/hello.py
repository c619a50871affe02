"""Introduce a process to its peer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hello:
    """Name the sender; the first message in each direction.

    ``role`` is ``entry``, ``keeper`` or ``ctl``. ``address`` is where the sender
    listens for peers, empty if it does not.
    """

    host: str
    domain: str
    role: str
    address: str = ""
    incarnation: str = ""
    features: tuple[str, ...] = ()
