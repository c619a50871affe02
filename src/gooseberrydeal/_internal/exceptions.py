"""Define the exceptions of the package.

Their messages are shown to users and should say what to do.
"""


class GooseberrydealError(Exception):
    """Base class of all exceptions of this package."""


class SettingsError(GooseberrydealError):
    """Raised for invalid or unreadable settings; the message has a line per problem."""


class DeclarationError(GooseberrydealError):
    """Raised for invalid declarations; ``problems`` lists all that were found."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class ConflictError(GooseberrydealError):
    """Raised when a change conflicts with the configuration already published."""


class StoreError(GooseberrydealError):
    """Base class of errors of the platform's key-value store."""


class StoreUnavailableError(StoreError):
    """Raised when the store cannot be reached or rejects a call; it had no effect."""


class StoreUnansweredError(StoreError):
    """Raised when a write was not answered, so that it may have taken effect."""


class StoreHistoryError(StoreError):
    """Raised when the store no longer has the changes after the given revision."""


class LeaseLostError(StoreError):
    """Raised when a lease has ended; nothing was written."""


class PeerError(GooseberrydealError):
    """Base class of errors in the communication between the system's processes."""


class PeerProtocolError(PeerError):
    """Raised when received bytes are not a valid message."""


class PeerLostError(PeerError):
    """Raised when a connection to a peer was closed or its peer stopped answering."""


class PeerUnreachableError(PeerError):
    """Raised when no connection to a peer could be opened; nothing was sent."""


class ServerError(GooseberrydealError):
    """Base class of errors of backend servers."""


class ServerUnreachableError(ServerError):
    """Raised when no connection to a server could be opened; nothing was sent."""


class ConnectionLimitError(ServerUnreachableError):
    """Raised when all connections to a server are in use; nothing was sent."""


class ServerLimitedError(ServerError):
    """Raised when a server's limit on requests is used up; nothing was sent."""


class ServerNotListeningError(ServerUnreachableError):
    """Raised when the server's machine answers that no process listens there."""


class ServerBrokenError(ServerError):
    """Raised when a server failed after it may have received the request."""


class ServerRefusedError(ServerError):
    """Raised when a server answers that it did not perform the request.

    ``status`` is the HTTP status of the answer.
    """

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class WrongAnswerError(ServerBrokenError):
    """Raised when an answer belongs to another request or adapter."""


class HostListError(GooseberrydealError):
    """Raised when the platform's list of hosts cannot be read."""
