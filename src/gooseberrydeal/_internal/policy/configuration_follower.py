"""Decide which configuration revision is in force."""

from collections.abc import Iterable
from enum import Enum

from gooseberrydeal._internal.models.ids import RevisionNumber
from gooseberrydeal._internal.models.messages.revision_offer import RevisionOffer
from gooseberrydeal._internal.policy.configuration_chunks import digest_of
from gooseberrydeal._internal.policy.configuration_view import ConfigurationView


class OfferVerdict(Enum):
    """Say what an offered revision is to a node."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"


class ConfigurationFollower:
    """Collect the chunks of newer revisions and take whole ones into force.

    A revision never reverts: an older one is not taken, whoever offers it, and two
    different revisions of one number are told apart by their chunks.
    """

    def __init__(self) -> None:
        self._in_force: RevisionOffer | None = None
        self._view: ConfigurationView | None = None
        self._chunks: dict[str, bytes] = {}
        self._wanted: RevisionOffer | None = None

    @property
    def in_force(self) -> RevisionOffer | None:
        """Return the revision in force."""
        return self._in_force

    @property
    def number(self) -> RevisionNumber:
        """Return the number of the revision in force, 0 for none."""
        return RevisionNumber(0 if self._in_force is None else self._in_force.number)

    @property
    def view(self) -> ConfigurationView | None:
        """Return the configuration in force."""
        return self._view

    def judge(self, offer: RevisionOffer) -> OfferVerdict:
        """Compare an offered revision with the one in force."""
        if self._in_force is None or offer.number > self._in_force.number:
            return OfferVerdict.NEWER
        if offer.number < self._in_force.number:
            return OfferVerdict.OLDER
        if offer.chunks != self._in_force.chunks:
            return OfferVerdict.FORKED
        return OfferVerdict.SAME

    def want(self, offer: RevisionOffer) -> tuple[str, ...]:
        """Aim for a newer revision; return the digests of the chunks it lacks."""
        if self._wanted is None or offer.number >= self._wanted.number:
            self._wanted = offer
        return tuple(dict.fromkeys(d for d in offer.chunks if d not in self._chunks))

    def add(self, chunks: Iterable[bytes]) -> bool:
        """Add chunks; return whether a newer revision came into force."""
        for chunk in chunks:
            self._chunks[digest_of(chunk)] = chunk
        wanted = self._wanted
        if wanted is None or self.judge(wanted) is not OfferVerdict.NEWER:
            return False
        if any(digest not in self._chunks for digest in wanted.chunks):
            return False
        self._take(wanted)
        return True

    def chunks(self, digests: Iterable[str]) -> tuple[bytes, ...]:
        """Return the chunks that are held of those asked for."""
        return tuple(self._chunks[item] for item in digests if item in self._chunks)

    def _take(self, offer: RevisionOffer) -> None:
        parts = [self._chunks[digest] for digest in offer.chunks]
        self._view = ConfigurationView.from_chunks(parts)
        self._in_force = offer
        self._wanted = None
        self._chunks = dict(zip(offer.chunks, parts, strict=True))
