"""Build accounts with quotas, and the quotas of a single host."""

import random
from typing import Any

from gooseberrydeal._internal.models.ids import AccountName
from gooseberrydeal._internal.models.routing.account_directory import AccountDirectory
from gooseberrydeal._internal.models.routing.client_account import (
    AccountQuota,
    ClientAccount,
    QuotaUnit,
)
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.models.routing.routing_configuration import (
    RoutingConfiguration,
)
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.quotas.host_quotas import HostQuotas
from tests.lib.routing_builders import membership


def account(
    name: str = "a1", per_second: float = 100.0, **changes: Any
) -> ClientAccount:
    values = {"burst": per_second, "unit": QuotaUnit.REQUESTS, **changes}
    return ClientAccount(AccountName(name), None, AccountQuota(per_second, **values))


def quota_configuration(version: int, *accounts: ClientAccount) -> RoutingConfiguration:
    return RoutingConfiguration(version, accounts=AccountDirectory(accounts, {}))


def quota_bounds(overshoot: float = 0.1, slack: float = 0.0) -> RoutingBounds:
    return RoutingBounds(quota_overshoot=overshoot, quota_slack=slack)


def single_host_quotas(view: MetadataView, clock: Any) -> HostQuotas:
    """Return the quotas of a host that is cut off from all others."""
    return HostQuotas(
        membership(),
        view,
        RoutingBounds(),
        lambda: True,
        lambda data, address: None,
        RouterMetrics(),
        clock,
        clock,
        random.Random(7),
    )
