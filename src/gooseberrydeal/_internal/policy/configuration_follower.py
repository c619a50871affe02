"""Track configuration revisions and activate complete ones."""

from collections.abc import Iterable
from enum import Enum

from gooseberrydeal._internal.models.ids import RevisionNumber
from gooseberrydeal._internal.models.messages.revision_offer import RevisionOffer
from gooseberrydeal._internal.policy.configuration_chunks import digest_of
from gooseberrydeal._internal.policy.configuration_view import ConfigurationView


class OfferStatus(Enum):
    """Classify an offered revision relative to the active one.

    ``FORKED`` means that both have the same number but different contents.
    """

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"


class ConfigurationFollower:
    """Collect the chunks of newer revisions and activate them once complete.

    The active revision number never decreases: an older revision is ignored whoever
    offers it. Two different revisions with the same number are distinguished by their
    chunk digests.
    """

    def __init__(self) -> None:
        self._active: RevisionOffer | None = None
        self._view: ConfigurationView | None = None
        self._chunks: dict[str, bytes] = {}
        self._target: RevisionOffer | None = None

    @property
    def active_offer(self) -> RevisionOffer | None:
        """Return the active revision, or ``None`` before the first one."""
        return self._active

    @property
    def number(self) -> RevisionNumber:
        """Return the number of the active revision, or 0 if there is none."""
        return RevisionNumber(0 if self._active is None else self._active.number)

    @property
    def view(self) -> ConfigurationView | None:
        """Return the active configuration, or ``None`` if there is none."""
        return self._view

    def classify(self, offer: RevisionOffer) -> OfferStatus:
        """Compare an offered revision with the active one."""
        if self._active is None or offer.number > self._active.number:
            return OfferStatus.NEWER
        if offer.number < self._active.number:
            return OfferStatus.OLDER
        if offer.chunks != self._active.chunks:
            return OfferStatus.FORKED
        return OfferStatus.SAME

    def set_target(self, offer: RevisionOffer) -> tuple[str, ...]:
        """Target a newer revision; return the digests of its missing chunks."""
        if self._target is None or offer.number >= self._target.number:
            self._target = offer
        return tuple(dict.fromkeys(d for d in offer.chunks if d not in self._chunks))

    def add(self, chunks: Iterable[bytes]) -> bool:
        """Add chunks; return whether this activated a newer revision."""
        for chunk in chunks:
            self._chunks[digest_of(chunk)] = chunk
        target = self._target
        if target is None or self.classify(target) is not OfferStatus.NEWER:
            return False
        if any(digest not in self._chunks for digest in target.chunks):
            return False
        self._activate(target)
        return True

    def chunks(self, digests: Iterable[str]) -> tuple[bytes, ...]:
        """Return the requested chunks that are available."""
        return tuple(self._chunks[item] for item in digests if item in self._chunks)

    def _activate(self, offer: RevisionOffer) -> None:
        parts = [self._chunks[digest] for digest in offer.chunks]
        self._view = ConfigurationView.from_chunks(parts)
        self._active = offer
        self._target = None
        self._chunks = dict(zip(offer.chunks, parts, strict=True))
