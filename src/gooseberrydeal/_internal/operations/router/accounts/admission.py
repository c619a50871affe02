"""Define under which client account a request is served."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.routing.client_account import ClientAccount
from gooseberrydeal._internal.models.routing.request_facts import RequestAttributes


@dataclass(frozen=True, slots=True)
class Admission:
    """Name the account of a request, ``None`` if it has none.

    ``hides_key`` says that the deployment has accounts, so that the request's key must
    not be passed on.
    """

    account: ClientAccount | None = None
    hides_key: bool = False

    def caller(self, attributes: RequestAttributes) -> str:
        """Return what distinguishes the caller of a request from others.

        It is computed from the account where there are any: a key must not be in what
        is derived from requests, and an account may have several.
        """
        if not self.hides_key:
            return attributes.caller
        return "" if self.account is None else str(self.account.name)
