"""Admit requests within the quota of their account."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from gooseberrydeal._internal.models.ids import AccountName, HostId, RequestId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.client_account import ClientAccount
from gooseberrydeal._internal.models.routing.quota_messages import (
    QuotaOffer,
    QuotaWant,
)
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.quotas.quota_charge import (
    FREE_CHARGE,
    QuotaCharge,
    QuotaRefusal,
)
from gooseberrydeal._internal.operations.router.quotas.quota_directory import (
    QuotaDirectory,
)
from gooseberrydeal._internal.operations.router.quotas.quota_exchange import (
    QuotaExchange,
)
from gooseberrydeal._internal.operations.router.quotas.quota_log import QuotaLog
from gooseberrydeal._internal.operations.router.quotas.quota_members import (
    QuotaMembers,
)
from gooseberrydeal._internal.operations.router.quotas.waiting_request import (
    AccountQueue,
    WaitingRequest,
)
from gooseberrydeal._internal.policy.quotas.account_share import AccountShare
from gooseberrydeal._internal.policy.quotas.quota_terms import ANSWER_SECONDS

# What is asked of an allocator is collected for this long.
_BATCH_SECONDS: Final = 0.002
# Hosts that live answer sooner; the tokens are asked for once more.
_RETRY_SECONDS: Final = 0.05
# Requests do not wait for an allocator that has not answered within this time.
_SILENCE_SECONDS: Final = 0.5
# Another host may have tokens, or reach the allocator.
_UNAVAILABLE_RETRY_AFTER_SECONDS: Final = 0.3
_TICK_SECONDS: Final = 0.1


class QuotaAdmission:
    """Spend granted tokens on requests, and ask for more before they run out."""

    def __init__(
        self,
        exchange: QuotaExchange,
        members: QuotaMembers,
        directory: QuotaDirectory,
        metrics: RouterMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._exchange = exchange
        self._members = members
        self._directory = directory
        self._metrics = metrics
        self._clock = clock
        self._queues: dict[AccountName, AccountQueue] = {}
        self._to_ask: set[AccountName] = set()
        self._silent_until: dict[HostId, float] = {}
        self._shown: set[AccountName] = set()
        self._log = QuotaLog()
        self._is_needed = asyncio.Event()
        exchange.set_listeners(self._offer_received, self._is_needed.set)

    async def admit(
        self, account: ClientAccount, size: float, request_id: RequestId
    ) -> QuotaCharge | QuotaRefusal:
        """Charge a request of ``size``, in the quota's unit, to its account.

        Returns what to give back if it does not run, or why it is refused.
        """
        terms = self._directory.find(account.name)
        if terms is None or size <= 0.0:
            return FREE_CHARGE
        now = self._clock()
        queue = self._queues.get(account.name)
        if queue is None:
            share = AccountShare(account.name, terms, self._directory.version)
            queue = self._queues[account.name] = AccountQueue(share)
        queue.share.set_terms(terms, self._directory.version)
        queue.share.note_arrival(size, now)
        self._is_needed.set()
        decision = self._decide_now(queue, size, now)
        if decision is None:
            decision = await self._wait(queue, size)
        if isinstance(decision, QuotaRefusal):
            self._metrics.count_quota_decision(decision.reason.value)
            self._metrics.count_refusal(decision.reason)
            self._log.refused(account.name, request_id, decision, self._clock())
        return decision

    async def run(self) -> None:
        """Ask ahead of demand and discard what is no longer used, until cancelled."""
        while True:
            await self._is_needed.wait()
            self._is_needed.clear()
            while self._queues or self._exchange.allocator.is_in_use:
                await asyncio.sleep(_TICK_SECONDS)
                self._members.metadata_changed()
                if self._exchange.allocator.is_in_use:
                    self._exchange.confirm_members()
                self._ask(self._queues.keys())
                self._discard_idle()

    def show_used_shares(self) -> None:
        """Set the gauge of the limits in use, for the accounts allocated here."""
        shares = self._exchange.allocator.used_shares(self._clock())
        for account in self._shown - shares.keys():
            self._metrics.set_quota_used(account, 0.0)
        for account, share in shares.items():
            self._metrics.set_quota_used(account, share)
        self._shown = set(shares)

    def _decide_now(
        self, queue: AccountQueue, size: float, now: float
    ) -> QuotaCharge | QuotaRefusal | None:
        share = queue.share
        if not queue.waiting:
            spending = share.spend(size, now)
            if spending is not None:
                self._metrics.count_quota_decision("granted")
                self._ask_soon(share.account)
                return QuotaCharge(share, spending)
        if share.is_denied(now):
            return self._over_limit(share, size, now)
        allocator = self._members.history.allocator(share.account)
        if allocator is None or self._silent_until.get(allocator, now) > now:
            self._ask_soon(share.account)
            return self._without_allocator(share, size, now)
        return None

    async def _wait(
        self, queue: AccountQueue, size: float
    ) -> QuotaCharge | QuotaRefusal:
        loop = asyncio.get_running_loop()
        waiting = WaitingRequest(size, loop.create_future())
        queue.waiting.append(waiting)
        self._ask_soon(queue.share.account)
        retry = loop.call_later(_RETRY_SECONDS, self._ask_again, queue, waiting)
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                return await waiting.decision
        except TimeoutError:
            return self._not_answered(queue, size)
        except asyncio.CancelledError:
            if waiting.decision.done() and not waiting.decision.cancelled():
                decision = waiting.decision.result()
                if isinstance(decision, QuotaCharge):
                    decision.give_back()
            raise
        finally:
            retry.cancel()
            if waiting in queue.waiting:
                queue.waiting.remove(waiting)

    def _not_answered(
        self, queue: AccountQueue, size: float
    ) -> QuotaCharge | QuotaRefusal:
        now = self._clock()
        allocator = self._members.history.allocator(queue.share.account)
        if allocator is not None:
            if self._silent_until.get(allocator, now) <= now:
                self._log.silent(queue.share.account, allocator)
            self._silent_until[allocator] = now + _SILENCE_SECONDS
        return self._without_allocator(queue.share, size, now)

    def _ask_again(self, queue: AccountQueue, waiting: WaitingRequest) -> None:
        waiting.sequence = 0
        self._ask((queue.share.account,))

    def _ask_soon(self, account: AccountName) -> None:
        if not self._to_ask:
            asyncio.get_running_loop().call_later(_BATCH_SECONDS, self._ask_pending)
        self._to_ask.add(account)

    def _ask_pending(self) -> None:
        accounts, self._to_ask = self._to_ask, set()
        self._ask(accounts)

    def _ask(self, accounts: Iterable[AccountName]) -> None:
        now = self._clock()
        wants: list[QuotaWant] = []
        for account in accounts:
            queue = self._queues.get(account)
            if queue is not None:
                sizes = [item.size for item in queue.waiting if not item.sequence]
                want = queue.share.want(sizes, now)
                if want is not None:
                    wants.append(want)
        sequences = self._exchange.ask(wants)
        for account, sequence in sequences.items():
            for item in self._queues[account].waiting:
                item.sequence = item.sequence or sequence
        self._exchange.answer_own(wants, sequences)

    def _offer_received(
        self, offer: QuotaOffer, version: int, asked_at: float, sequence: int
    ) -> None:
        now = self._clock()
        allocator = self._members.history.allocator(offer.account)
        if allocator is not None:
            self._silent_until.pop(allocator, None)
        queue = self._queues.get(offer.account)
        if queue is None:
            return
        queue.share.receive(offer, version, asked_at, now)
        for _ in range(queue.admit(now)):
            self._metrics.count_quota_decision("waited")
        if offer.available_in is None:
            return
        left = [item for item in queue.waiting if item.sequence == sequence]
        for item in left:
            queue.waiting.remove(item)
            if offer.is_known:
                decision = self._over_limit(queue.share, item.size, now)
            else:
                decision = self._without_allocator(
                    queue.share, item.size, now, offer.available_in
                )
            item.decision.set_result(decision)

    def _over_limit(
        self, share: AccountShare, size: float, now: float
    ) -> QuotaCharge | QuotaRefusal:
        return QuotaRefusal(RefusalReason.RATE_LIMITED, share.retry_after(size, now))

    def _without_allocator(
        self,
        share: AccountShare,
        size: float,
        now: float,
        retry_after: float = _UNAVAILABLE_RETRY_AFTER_SECONDS,
    ) -> QuotaCharge | QuotaRefusal:
        """Use the reserve, or refuse: the account may be within its limit."""
        history = self._members.history
        hosts = self._members.reserve_hosts()
        if history.may_use_reserve(share.terms.window, now) and share.spend_reserve(
            size, hosts, now
        ):
            self._metrics.count_quota_decision("reserve")
            return FREE_CHARGE
        return QuotaRefusal(RefusalReason.QUOTA_UNAVAILABLE, retry_after)

    def _discard_idle(self) -> None:
        now = self._clock()
        self._exchange.allocator.discard_idle(now)
        for account, queue in list(self._queues.items()):
            if not queue.waiting and queue.share.is_idle(now):
                del self._queues[account]
                self._log.forget(account)
        for host in [h for h, until in self._silent_until.items() if until <= now]:
            del self._silent_until[host]
