"""Allocate the places of one server to the requests of all hosts."""

from dataclasses import dataclass
from typing import Final, NamedTuple

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.models.routing.place_messages import PlaceOutcome
from gooseberrydeal._internal.policy.waiting.place_limit import PlaceLimit
from gooseberrydeal._internal.policy.waiting.place_utilisation import PlaceUtilisation
from gooseberrydeal._internal.policy.waiting.server_room import ServerRoom
from gooseberrydeal._internal.policy.waiting.service_times import ServiceTimes
from gooseberrydeal._internal.policy.waiting.urgency import Urgency
from gooseberrydeal._internal.policy.waiting.waiting_request import WaitingRequest

# Added to the longest service time seen: a busy host can take this long to report the
# end of a request.
_LEASE_MARGIN_SECONDS: Final = 0.5
# A place of which nothing was heard for this multiple of the mean service time is
# granted again: the grant or the release may have been lost. Most requests end before.
_REPEAT_AFTER_MEANS: Final = 1.6
# A message about a place that ended up to this long ago is a late or doubled one.
_ENDED_SECONDS: Final = 3.0
# Bounds the work of the keeper. A queue this long takes several seconds to drain.
_MAX_WAITING: Final = 512


class PlaceId(NamedTuple):
    """Identify a request for a place among those of all hosts."""

    host: HostId
    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class PlaceAnswer:
    """Hold the answer to a request; ``seconds`` is as in ``PlaceGrant``."""

    place: PlaceId
    outcome: PlaceOutcome
    seconds: float


class PlaceQueue:
    """Count the places that were granted, and queue the requests that wait for one.

    ``assumed`` requests are at the server that this queue did not grant, and occupy
    ``assumed_tokens``. Their places are free one after the other within the usual
    service time.
    """

    def __init__(
        self, room: ServerRoom, assumed: int, now: float, assumed_tokens: float = 0.0
    ) -> None:
        self._room = room
        self._slots = room.slots
        self._times = ServiceTimes(room.usual_seconds)
        self._urgency = Urgency()
        self._utilisation = PlaceUtilisation(now)
        self._waiting: dict[PlaceId, WaitingRequest] = {}
        self._granted_at: dict[PlaceId, float] = {}
        self._tokens: dict[PlaceId, int] = {}
        self._repeated_at: dict[PlaceId, float] = {}
        self._heard_at: dict[PlaceId, float] = {}
        self._ended_at: dict[PlaceId, float] = {}
        self._limit = PlaceLimit(self._slots)
        count = min(assumed, self._slots)
        step = self._times.mean / max(1, count)
        self._assumed_until = [now + step * (index + 1) for index in range(count)]
        self._assumed_tokens = assumed_tokens / max(1, count)
        self._expired = 0

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)

    @property
    def granted(self) -> int:
        """Return the number of places that are in use."""
        return len(self._granted_at)

    @property
    def expired(self) -> int:
        """Return how many places became free without a release so far."""
        return self._expired

    def is_contended(self, now: float) -> bool:
        """Return whether hosts have to ask for places."""
        return self._utilisation.is_contended(now)

    def ask(
        self, place: PlaceId, request: WaitingRequest, now: float
    ) -> list[PlaceAnswer]:
        """Take in a request; return all answers that are due.

        A repeated request gets the same answer as before.
        """
        if place in self._ended_at:
            return []
        if place in self._granted_at:
            return [self._grant(place)]
        if place not in self._waiting:
            self._waiting[place] = request
        answers = self.advance(now)
        if place in self._waiting:
            wait = self._expected_wait(place, now)
            if self._is_hopeless(request, wait, now):
                answers.append(self._refuse(place, now))
            else:
                answers.append(PlaceAnswer(place, PlaceOutcome.WAITS, wait))
        self._note_utilisation(now)
        return answers

    def release(
        self,
        place: PlaceId,
        now: float,
        *,
        was_rejected: bool = False,
        load: int | None = None,
    ) -> list[PlaceAnswer]:
        """Free a place, or withdraw a request; return all answers that are due.

        ``load`` is how many requests the server said to have.
        """
        granted_at = self._take_back(place)
        self._waiting.pop(place, None)
        self._ended_at[place] = now
        if was_rejected:
            self._limit.note_rejected(now)
        elif granted_at is not None:
            self._times.observe(now - granted_at, now)
            if load is not None:
                self._limit.note_load(load, has_waiting=bool(self._waiting))
        return self.advance(now)

    def confirm(self, place: PlaceId, now: float) -> None:
        """Record that a host still uses a place."""
        if place in self._granted_at:
            self._heard_at[place] = now

    def drop_earlier(self, host: HostId, incarnation: int) -> None:
        """Forget what earlier incarnations of a host asked for and held."""
        for places in (self._waiting, self._granted_at):
            for place in [p for p in places if p.host == host]:
                if place.incarnation != incarnation:
                    self._waiting.pop(place, None)
                    self._take_back(place)

    def advance(self, now: float) -> list[PlaceAnswer]:
        """Return the answers that are due: places granted, and requests refused."""
        self._expire(now)
        answers = []
        seconds = self._response_seconds
        while self._waiting and self._in_use < self._limit.places(now):
            place = self._urgency.next(self._waiting, now, seconds)
            request = self._waiting[place]
            if now + seconds > request.useless_at:
                answers.append(self._refuse(place, now))
                continue
            if not self._room.has_memory(self._tokens_in_use, request.tokens):
                # Smaller ones do not go before it, or it might never fit.
                break
            del self._waiting[place]
            self._urgency.note_served(request, self._waiting)
            self._granted_at[place] = self._repeated_at[place] = now
            self._heard_at[place] = now
            self._tokens[place] = request.tokens
            answers.append(self._grant(place))
        self._note_utilisation(now)
        return answers

    def refuse_hopeless(self, now: float) -> list[PlaceAnswer]:
        """Refuse requests that can't get a place in time, as others go before them."""
        kept = 0
        answers = []
        for place in self._urgency.order(self._waiting, now, self._response_seconds):
            wait = (kept + 1) * self._turn_seconds
            if self._is_hopeless(self._waiting[place], wait, now):
                answers.append(self._refuse(place, now))
            else:
                kept += 1
        return answers

    def repeat_grants(self, now: float) -> list[PlaceAnswer]:
        """Return the grants of places that should have been released by now.

        Their hosts confirm that they use the place, use it now, or give it back if they
        do not hold it any more.
        """
        before = now - self._times.mean * _REPEAT_AFTER_MEANS
        answers = []
        for place, repeated_at in self._repeated_at.items():
            if repeated_at < before:
                self._repeated_at[place] = now
                answers.append(self._grant(place))
        return answers

    def refuse_all(self, now: float) -> list[PlaceAnswer]:
        """Refuse all waiting requests, since the server takes none any more."""
        return [self._refuse(place, now) for place in list(self._waiting)]

    @property
    def _response_seconds(self) -> float:
        """Return how long after a grant the response is of use to its caller."""
        first_event = self._room.first_event_seconds
        return self._times.mean if first_event is None else first_event

    @property
    def _tokens_in_use(self) -> float:
        assumed = len(self._assumed_until) * self._assumed_tokens
        return sum(self._tokens.values()) + assumed

    @property
    def _in_use(self) -> int:
        return len(self._granted_at) + len(self._assumed_until)

    @property
    def _turn_seconds(self) -> float:
        """Return after how many seconds the next place is free, on average."""
        return self._times.mean / self._limit.usual_places

    @property
    def _lease(self) -> float:
        repeated_after = self._times.mean * _REPEAT_AFTER_MEANS
        return max(self._times.longest, repeated_after) + _LEASE_MARGIN_SECONDS

    def _take_back(self, place: PlaceId) -> float | None:
        """Free a place; return when it was granted, ``None`` if it was not."""
        self._repeated_at.pop(place, None)
        self._heard_at.pop(place, None)
        self._tokens.pop(place, None)
        return self._granted_at.pop(place, None)

    def _grant(self, place: PlaceId) -> PlaceAnswer:
        return PlaceAnswer(place, PlaceOutcome.GRANTED, self._lease)

    def _refuse(self, place: PlaceId, now: float) -> PlaceAnswer:
        """Refuse a request; the queue has drained when it may ask again."""
        seconds = len(self._waiting) * self._turn_seconds
        del self._waiting[place]
        self._ended_at[place] = now
        return PlaceAnswer(place, PlaceOutcome.NONE_IN_TIME, seconds)

    def _expected_wait(self, place: PlaceId, now: float) -> float:
        ahead = self._urgency.count_ahead(
            self._waiting[place], self._waiting.values(), now, self._response_seconds
        )
        return (ahead + 1) * self._turn_seconds

    def _is_hopeless(self, request: WaitingRequest, wait: float, now: float) -> bool:
        served_at = now + wait + self._response_seconds
        return served_at > request.useless_at or len(self._waiting) > _MAX_WAITING

    def _expire(self, now: float) -> None:
        """Free places whose lease has ended, and forget what is long over."""
        oldest = now - self._lease
        for place in [p for p, at in self._heard_at.items() if at <= oldest]:
            self._take_back(place)
            self._ended_at[place] = now
            self._expired += 1
        self._assumed_until = [at for at in self._assumed_until if at > now]
        while self._ended_at:
            place, at = next(iter(self._ended_at.items()))
            if now - at < _ENDED_SECONDS:
                break
            del self._ended_at[place]

    def _note_utilisation(self, now: float) -> None:
        in_use = self._in_use + len(self._waiting)
        self._utilisation.update(in_use / self._slots, now)
