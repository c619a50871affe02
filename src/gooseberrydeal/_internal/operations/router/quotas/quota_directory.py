"""Look up the terms on which accounts' tokens are granted."""

from gooseberrydeal._internal.models.ids import AccountName
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.policy.quotas.quota_terms import QuotaTerms


class QuotaDirectory:
    """Derive the terms of the accounts in the configuration when they are needed."""

    def __init__(self, view: MetadataView, bounds: RoutingBounds) -> None:
        self._view = view
        self._bounds = bounds
        self._configuration: RoutingConfiguration | None = None
        self._terms: dict[AccountName, QuotaTerms] = {}

    @property
    def version(self) -> int:
        """Return the version of the configuration, 0 if there is none."""
        configuration = self._view.configuration
        return 0 if configuration is None else configuration.version

    def set_bounds(self, bounds: RoutingBounds) -> None:
        """Apply changed bounds."""
        self._bounds = bounds
        self._terms.clear()

    def find(self, account: AccountName) -> QuotaTerms | None:
        """Return an account's terms, ``None`` if it is unknown or has no quota."""
        configuration = self._view.configuration
        if configuration is None or configuration.accounts is None:
            return None
        if configuration is not self._configuration:
            self._configuration = configuration
            self._terms.clear()
        terms = self._terms.get(account)
        if terms is not None:
            return terms
        found = configuration.accounts.named(account)
        if found is None or found.quota is None or found.quota.per_second <= 0.0:
            return None
        terms = self._terms[account] = QuotaTerms.from_quota(found.quota, self._bounds)
        return terms
