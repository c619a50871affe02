"""Charge the requests of callers to the quotas of their accounts."""

from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.operations.router.quotas.quota_admission import (
    QuotaAdmission,
)
from gooseberrydeal._internal.operations.router.quotas.quota_charge import (
    FREE_CHARGE,
    QuotaCharge,
    QuotaRefusal,
)
from gooseberrydeal._internal.operations.router.refusals import refuse
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest

# A caller that gets one of these knows that its request has not run.
_NOT_RUN_STATUSES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class QuotaGate:
    """Let requests within the quota pass, and answer the others."""

    def __init__(self, admission: QuotaAdmission) -> None:
        self._admission = admission

    async def enter(
        self, request: RoutedRequest, exchange: CallerExchange
    ) -> QuotaCharge | None:
        """Charge a request; answer it and return ``None`` if it is refused.

        One that another host has passed on was charged there.
        """
        account = request.account
        if account is None or account.quota is None or request.peer is not None:
            return FREE_CHARGE
        attributes = request.attributes
        size = account.quota.size_of(attributes.prompt_tokens, attributes.output_tokens)
        decision = await self._admission.admit(account, size, attributes.request_id)
        if isinstance(decision, QuotaRefusal):
            refuse(exchange, decision.reason, decision.retry_after)
            return None
        return decision

    def leave(self, charge: QuotaCharge, exchange: CallerExchange) -> None:
        """Give back the tokens if the response says that the request did not run."""
        if exchange.status in _NOT_RUN_STATUSES:
            charge.give_back()
