"""Define the errors of each layer; messages tell the user what to do."""


class GooseberrydealError(Exception):
    """Stand at the root of all errors of this package."""


class SettingsError(GooseberrydealError):
    """Report settings that cannot be used, one problem a line."""


class DeclarationError(GooseberrydealError):
    """Report declarations that cannot be used."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class ConflictError(GooseberrydealError):
    """Report that another operator changed the configuration first."""


class StoreError(GooseberrydealError):
    """Stand at the root of errors of the platform's key-value service."""


class StoreUnavailableError(StoreError):
    """Report that a call did not reach the key-value service."""


class StoreUnansweredError(StoreError):
    """Report that a write may or may not have taken effect."""


class StoreHistoryError(StoreError):
    """Report that the store no longer has the changes after a revision."""


class LeaseLostError(StoreError):
    """Report that a lease has ended; nothing was written."""


class PeerError(GooseberrydealError):
    """Stand at the root of errors between the system's own processes."""


class PeerProtocolError(PeerError):
    """Report bytes that are not a valid message."""


class PeerLostError(PeerError):
    """Report that a connection to a peer ended or went silent."""


class PeerUnreachableError(PeerError):
    """Report that a peer could not be connected to; nothing was sent."""


class ServerError(GooseberrydealError):
    """Stand at the root of errors of backend servers."""


class ServerUnreachableError(ServerError):
    """Report that no connection to a server could be made; nothing was sent."""


class ServerBrokenError(ServerError):
    """Report that a server failed after bytes may have reached it."""


class ServerRefusedError(ServerError):
    """Report an answer that says the server did not do what was asked."""

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class WrongAnswerError(ServerBrokenError):
    """Report an answer that belongs to another request or adapter."""


class HostListError(GooseberrydealError):
    """Report that the platform's list of hosts could not be read."""
