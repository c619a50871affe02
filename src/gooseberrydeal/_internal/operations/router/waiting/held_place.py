"""Hold the place at a server that was granted to a request."""

from collections.abc import Callable

from gooseberrydeal._internal.models.ids import ServerId


class HeldPlace:
    """Give a place back once, whatever becomes of its request.

    The place may be used until ``valid_until`` on the clock that is given, in seconds.
    ``on_release`` is called with whether the server rejected the request.
    """

    def __init__(
        self,
        server: ServerId,
        valid_until: float,
        on_release: Callable[[bool], None],
        clock: Callable[[], float],
    ) -> None:
        self._server = server
        self._valid_until = valid_until
        self._on_release: Callable[[bool], None] | None = on_release
        self._clock = clock

    @property
    def server(self) -> ServerId:
        """Return the server at which the place is."""
        return self._server

    @property
    def is_valid(self) -> bool:
        """Return whether a request may still be sent to the place."""
        return self._on_release is not None and self._clock() < self._valid_until

    def release(self, *, was_rejected: bool) -> None:
        """Give the place back, unless that was done before."""
        on_release, self._on_release = self._on_release, None
        if on_release is not None:
            on_release(was_rejected)
