"""Hold the state of a request while it is served."""

from collections import Counter
from dataclasses import dataclass, field

from gooseberrydeal._internal.models.ids import AccountName, ServerId, ServiceName
from gooseberrydeal._internal.models.routing.client_account import ClientAccount
from gooseberrydeal._internal.models.routing.peer_request import PeerRequest
from gooseberrydeal._internal.models.routing.request_facts import RequestAttributes
from gooseberrydeal._internal.models.routing.route import Route
from gooseberrydeal._internal.models.routing.stream_origin import StreamOrigin
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.waiting.held_place import HeldPlace


@dataclass(slots=True)
class RoutedRequest:
    """Request with its route and the state of its attempts.

    Times are on the monotonic clock, in seconds. ``excluded`` holds servers not to be
    tried again, since they were unreachable, refused the request or failed it;
    ``started_on`` those that may have started to run it. ``denials`` counts, for each
    server, how often it stated that it did not run the request, and ``refused_on``
    holds the connections on which it was stated: a repetition of that statement would
    look like the answer to the request sent there again. ``send_count`` is the
    number of attempts in which the request was sent. ``origin`` is where the stream
    began that the request goes on with, ``None`` if it begins one. ``peer`` describes
    the host that passed the request on, ``None`` if a caller sent it to this one. With
    ``uses_unreachable``, servers are tried that could not be reached. With
    ``needs_newest``, only the newest version of its adapter may serve it. With
    ``has_retry``, the retry budget was charged for the next attempt already.
    ``account`` is the client account that it is served for, ``None`` if there is none;
    with ``hides_key``, the deployment has accounts, and the key is not passed on.
    ``place`` is what the place keeper of a server granted for the next attempt.
    """

    attributes: RequestAttributes
    route: Route
    service: ServiceName
    arrived_at: float
    deadline: float
    excluded: set[ServerId] = field(default_factory=set)
    started_on: set[ServerId] = field(default_factory=set)
    denials: Counter[ServerId] = field(default_factory=Counter)
    refused_on: list[ServerConnection] = field(default_factory=list)
    send_count: int = 0
    origin: StreamOrigin | None = None
    peer: PeerRequest | None = None
    uses_unreachable: bool = False
    needs_newest: bool = False
    has_retry: bool = False
    account: ClientAccount | None = None
    hides_key: bool = False
    place: HeldPlace | None = None

    def may_use(self, record: ServerRecord) -> bool:
        """Return whether the request may be sent to a server, going by its entry.

        A stream goes on only at the version that began it.
        """
        return record.id not in self.excluded and self.suits(record)

    def suits(self, record: ServerRecord) -> bool:
        """Return whether a server could serve the request if it were not excluded."""
        return self.origin is None or record.entry.can_continue(self.origin)

    def has_valid_place(self) -> bool:
        """Return whether the place for the next attempt may be used, if one is held."""
        return self.place is None or self.place.is_valid

    def release_place(self, *, was_rejected: bool = False) -> None:
        """Give the place back that is held, if there is one."""
        place, self.place = self.place, None
        if place is not None:
            place.release(was_rejected=was_rejected)

    def note_refused(self, connection: ServerConnection) -> None:
        """Record that a server stated on a connection that it did not run this."""
        self.refused_on.append(connection)
        self.release_place(was_rejected=True)

    @property
    def may_have_run(self) -> bool:
        """Return whether it was sent without a statement that it did not run."""
        return self.send_count > len(self.refused_on)

    def can_run_again(self, pending: int = 0) -> bool:
        """Return whether a server may run the request besides ``pending`` others."""
        return self.route.is_repeatable and pending < self.servers_left

    @property
    def servers_left(self) -> int:
        """Return how many more servers may run the request, if it may be repeated."""
        most = self.route.max_servers if self.peer is None else self.peer.max_servers
        return max(0, most - len(self.started_on))

    @property
    def account_name(self) -> AccountName | None:
        """Return the name of the client account, ``None`` if there is none."""
        return None if self.account is None else self.account.name

    @property
    def rank(self) -> int:
        """Return the priority, 0 being the most urgent."""
        if self.account is not None and self.account.rank is not None:
            return self.account.rank
        return self.route.rank

    @property
    def target_deadline(self) -> float:
        """Return when the request misses its target latency."""
        return self.arrived_at + self.route.target_latency

    @property
    def tokens(self) -> int:
        """Return the most tokens that the request may occupy in an engine's memory."""
        return self.attributes.prompt_tokens + self.attributes.output_tokens
