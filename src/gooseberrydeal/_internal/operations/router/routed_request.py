"""Hold one request while it is served."""

from collections import Counter
from dataclasses import dataclass, field

from gooseberrydeal._internal.models.ids import ServerId, ServiceName
from gooseberrydeal._internal.models.routing.request_facts import RequestFacts
from gooseberrydeal._internal.models.routing.route import Route


@dataclass(slots=True)
class RoutedRequest:
    """Join a request with its route; times are on the monotonic clock, in seconds.

    ``excluded`` servers have refused or failed it. ``ran_on`` lists those that may have
    begun it. ``denials`` counts how often servers denied having its adapter.
    """

    facts: RequestFacts
    route: Route
    service: ServiceName
    arrived_at: float
    deadline: float
    excluded: set[ServerId] = field(default_factory=set)
    ran_on: set[ServerId] = field(default_factory=set)
    denials: Counter[ServerId] = field(default_factory=Counter)
    sends: int = 0

    @property
    def tokens(self) -> int:
        """Return the tokens that the request may take in an engine's memory."""
        return self.facts.prompt_tokens + self.facts.output_tokens
