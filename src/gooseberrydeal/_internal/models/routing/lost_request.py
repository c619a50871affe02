"""Define the requests whose connection to a server was lost."""

from typing import NamedTuple

from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature


class LostRequest(NamedTuple):
    """Identify a request without keeping its body.

    ``features`` begins with the request itself, followed by the parts of its prompt.
    """

    request_id: RequestId
    features: tuple[RequestFeature, ...]
