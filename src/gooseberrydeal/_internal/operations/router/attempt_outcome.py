"""List how one send of a request can end."""

from enum import Enum


class AttemptOutcome(Enum):
    """Tell what is known after a send.

    ``SERVED`` passed a whole response on, ``CUT`` broke off after its head. The others
    passed nothing on: ``NOT_RUN`` is the server's word that it didn't begin,
    ``FAILED`` a failure response, ``LOST`` a broken connection or bytes that are no
    response, and ``WITHHELD`` a response that must not be passed on as it is.
    """

    SERVED = "served"
    CUT = "cut"
    NOT_RUN = "not_run"
    FAILED = "failed"
    LOST = "lost"
    WITHHELD = "withheld"
