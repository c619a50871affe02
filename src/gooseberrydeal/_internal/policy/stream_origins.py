"""Remember where streams began, and decide which hosts are told."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import replace
from hashlib import blake2b
from typing import Final

from gooseberrydeal._internal.models.ids import DomainName, HostId, RequestId
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.stream_origin import StreamOrigin
from gooseberrydeal._internal.utils.rendezvous import ranked

_STREAM_DIGEST_BYTES: Final = 12
# Longer than callers wait for a stream in all.
_RETENTION_SECONDS: Final = 120.0
_MAX_STREAMS: Final = 32_768
# Callers come to the hosts of their own failure domain first. Two of them are told, so
# that one may end, and one in each of a few other domains, so that a domain may.
_HOSTS_IN_OWN_DOMAIN: Final = 2
_HOSTS_IN_OTHER_DOMAINS: Final = 1
_MAX_OTHER_DOMAINS: Final = 2
# Asks further hosts than were told, since some may have joined or left meanwhile.
_FURTHER_HOSTS: Final = 1


def stream_key(request: RequestId) -> bytes:
    """Return the digest by which hosts name the stream that a request began."""
    text = request.encode("utf-8", "surrogateescape")
    return blake2b(text, digest_size=_STREAM_DIGEST_BYTES).digest()


class StreamOrigins:
    """Keep where the streams began that this host relayed or was told of.

    The oldest are dropped when there are too many. Designed for streams of which few
    are ever taken up: each is told to a fixed number of hosts, whatever their number.
    """

    def __init__(self) -> None:
        self._origins: OrderedDict[bytes, tuple[StreamOrigin, float]] = OrderedDict()
        self._uncertain: dict[bytes, None] = {}

    @property
    def count(self) -> int:
        """Return the number of streams that are known."""
        return len(self._origins)

    def find(self, stream: bytes) -> StreamOrigin | None:
        """Return where a stream began, ``None`` if that is not known."""
        found = self._origins.get(stream)
        return None if found is None else found[0]

    def put(self, stream: bytes, origin: StreamOrigin, now: float) -> None:
        """Remember where a stream began."""
        self._origins[stream] = (origin, now)
        self._origins.move_to_end(stream)
        self._uncertain.pop(stream, None)
        if not origin.is_certain:
            self._uncertain[stream] = None
        while self._origins:
            oldest, (_, noted_at) = next(iter(self._origins.items()))
            is_old = now - noted_at > _RETENTION_SECONDS
            if not is_old and len(self._origins) <= _MAX_STREAMS:
                break
            del self._origins[oldest]
            self._uncertain.pop(oldest, None)

    def confirm(
        self, noted_before: float, began: Callable[[StreamOrigin], bool]
    ) -> None:
        """Settle where the streams began that were noted before a time.

        ``began`` returns whether the server's entry, read since, is of the same start.
        Where it is not, the stream stays uncertain.
        """
        for stream in list(self._uncertain):
            origin, noted_at = self._origins[stream]
            if noted_at >= noted_before:
                break
            del self._uncertain[stream]
            if began(origin):
                certain = replace(origin, is_certain=True)
                self._origins[stream] = (certain, noted_at)


def hosts_to_tell(
    stream: bytes, own: HostMembership, hosts: Iterable[HostMembership]
) -> list[HostMembership]:
    """Return the other hosts that are told where a stream began."""
    by_domain = _by_domain(hosts)
    others = [name for name in by_domain if name != own.domain]
    chosen = _first_hosts(stream, by_domain.get(own.domain, {}), _HOSTS_IN_OWN_DOMAIN)
    for name in ranked(stream.hex(), others)[:_MAX_OTHER_DOMAINS]:
        domain = by_domain[DomainName(name)]
        chosen += _first_hosts(stream, domain, _HOSTS_IN_OTHER_DOMAINS)
    return [host for host in chosen if host.host != own.host]


def hosts_to_ask(
    stream: bytes, own: HostMembership, hosts: Iterable[HostMembership]
) -> list[HostMembership]:
    """Return the other hosts that may have been told where a stream began."""
    count = _HOSTS_IN_OWN_DOMAIN + _FURTHER_HOSTS
    chosen = [
        host
        for domain in _by_domain(hosts).values()
        for host in _first_hosts(stream, domain, count)
    ]
    return [host for host in chosen if host.host != own.host]


def _by_domain(
    hosts: Iterable[HostMembership],
) -> dict[DomainName, dict[HostId, HostMembership]]:
    by_domain: dict[DomainName, dict[HostId, HostMembership]] = {}
    for host in hosts:
        by_domain.setdefault(host.domain, {})[host.host] = host
    return by_domain


def _first_hosts(
    stream: bytes, hosts: dict[HostId, HostMembership], count: int
) -> list[HostMembership]:
    return [hosts[HostId(name)] for name in ranked(stream.hex(), hosts)[:count]]
