"""Define the first message on a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hello:
    """Identify the sender, as the first message in each direction.

    ``role`` is ``entry``, ``keeper`` or ``ctl``. ``address`` is where the sender
    listens for peers, empty if it does not. ``incarnation`` identifies its process.
    """

    host: str
    domain: str
    role: str
    address: str = ""
    incarnation: str = ""
    features: tuple[str, ...] = ()
