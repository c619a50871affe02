"""Find the client account of each request, or refuse the request."""

import logging

from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.account_directory import (
    AccountDirectory,
)
from gooseberrydeal._internal.models.routing.client_account import ClientAccount
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.models.routing.peer_request import PeerRequest
from gooseberrydeal._internal.models.routing.request_facts import RequestAttributes
from gooseberrydeal._internal.models.routing.route import Route
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.accounts.admission import Admission
from gooseberrydeal._internal.operations.router.accounts.refusal_log import (
    RefusalLog,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.refusals import refuse
from gooseberrydeal._internal.policy.accounts.key_check import (
    KeyCheck,
    KeyState,
    check_key,
    has_lapsed,
    revocation_age,
    unknown_refusal,
)

logger = logging.getLogger(__name__)


class AccountGate:
    """Check requests against the accounts of the configuration in use."""

    def __init__(
        self, view: MetadataView, metrics: RouterMetrics, bounds: RoutingBounds
    ) -> None:
        self._view = view
        self._metrics = metrics
        self._bounds = bounds
        self._log = RefusalLog(view.proof.now)
        self._was_confirmed = False
        self._was_lapsed = False

    @property
    def has_lapsed(self) -> bool:
        """Return whether requests with known keys are refused until a new proof."""
        self._note_state()
        return self._was_lapsed

    def set_bounds(self, bounds: RoutingBounds) -> None:
        """Apply changed bounds."""
        self._bounds = bounds
        self._note_state()

    def metadata_changed(self) -> None:
        """Take account of a read of the store."""
        self._note_state()

    def admit(
        self,
        exchange: CallerExchange,
        attributes: RequestAttributes,
        route: Route,
        peer: PeerRequest | None,
    ) -> Admission | None:
        """Return whom a request is served for; ``None`` if it was refused.

        A host that passes a request on with its account has checked the key.
        """
        directory = self._accounts
        if peer is not None and peer.has_account_field:
            return Admission(_named(directory, peer), hides_key=True)
        if directory is None:
            return Admission()
        self._note_state()
        age = self._view.proof.age
        check = check_key(
            directory, attributes.key, age, self._bounds, is_open=route.is_open
        )
        if check.refusal is None:
            return Admission(check.account, hides_key=True)
        self._refuse(exchange, attributes.request_id, check, age)
        return None

    def refuse_unknown_route(
        self, exchange: CallerExchange, attributes: RequestAttributes
    ) -> None:
        """Refuse a request for which the configuration in use has no route.

        Where there are accounts, a configuration that was not read yet may have one.
        """
        age = self._view.proof.age
        if self._accounts is not None:
            check = KeyCheck(
                KeyState.NOT_READ, None, unknown_refusal(age, self._bounds)
            )
            if check.refusal is RefusalReason.ACCOUNT_UNCONFIRMED:
                self._refuse(exchange, attributes.request_id, check, age)
                return
        refuse(exchange, RefusalReason.UNKNOWN_OPERATION, None)

    def publish(self) -> None:
        """Set the gauges of accounts, if there are any."""
        directory = self._accounts
        if directory is None:
            return
        self._metrics.set_state("accounts", len(directory.accounts))
        self._metrics.set_state("accounts_skipped", directory.skipped_count)
        self._metrics.set_state("keys", directory.key_count)
        self._metrics.set_state("account_proof_age_seconds", self._view.proof.age)

    @property
    def _accounts(self) -> AccountDirectory | None:
        configuration = self._view.configuration
        return None if configuration is None else configuration.accounts

    def _refuse(
        self,
        exchange: CallerExchange,
        request_id: RequestId,
        check: KeyCheck,
        age: float,
    ) -> None:
        assert check.refusal is not None
        self._metrics.count_refusal(check.refusal)
        self._metrics.count_account_refusal(check.refusal, check.state.value)
        configuration = self._view.configuration
        revision = 0 if configuration is None else configuration.version
        self._log.refused(check, request_id, revision, age)
        refuse(exchange, check.refusal, check.retry_after)

    def _note_state(self) -> None:
        """Log when the proof lapses and is renewed, and ask for a read if it lapsed."""
        proof = self._view.proof
        has_accounts = self._accounts is not None
        proof.set_lifetime(revocation_age(self._bounds) if has_accounts else None)
        age = proof.age
        is_lapsed = has_accounts and has_lapsed(age, self._bounds)
        if is_lapsed:
            proof.read_soon()
        if is_lapsed and not self._was_lapsed and self._was_confirmed:
            logger.warning(
                "account knowledge lapsed: the metadata store was last read %.3f s ago;"
                " requests with keys are refused",
                age,
            )
        elif self._was_lapsed and not is_lapsed and self._was_confirmed:
            logger.info("account knowledge confirmed again")
        self._was_confirmed |= has_accounts and not is_lapsed
        self._was_lapsed = is_lapsed


def _named(
    directory: AccountDirectory | None, peer: PeerRequest
) -> ClientAccount | None:
    """Return the account that another host found.

    Its configuration may be newer than that of this host, and have more accounts.
    """
    if peer.account is None:
        return None
    found = None if directory is None else directory.named(peer.account)
    return found or ClientAccount(peer.account)
