"""Find the client account that a key belongs to."""

from collections.abc import Iterable, Mapping
from hashlib import sha256

from gooseberrydeal._internal.models.routing.client_account import ClientAccount


def key_digest(key: bytes) -> bytes:
    """Return the digest by which a key is stored and looked up."""
    return sha256(key).digest()


class AccountDirectory:
    """Hold all client accounts by the digests of their keys.

    A lookup takes the same time for any number of keys, and its time depends on the
    digest only, so it tells nothing of keys that are similar to the one tried.
    ``skipped`` accounts of the configuration were malformed.
    """

    def __init__(
        self,
        accounts: Iterable[ClientAccount],
        by_digest: Mapping[bytes, ClientAccount],
        skipped: int = 0,
    ) -> None:
        self._accounts = {str(account.name): account for account in accounts}
        self._by_digest = dict(by_digest)
        self._skipped = skipped

    @property
    def accounts(self) -> tuple[ClientAccount, ...]:
        """Return all accounts, also those without a key."""
        return tuple(self._accounts.values())

    @property
    def key_count(self) -> int:
        """Return the number of keys of all accounts."""
        return len(self._by_digest)

    @property
    def skipped_count(self) -> int:
        """Return the number of accounts that were left out as malformed."""
        return self._skipped

    def find(self, key: bytes) -> ClientAccount | None:
        """Return the account that holds a key, ``None`` if none does."""
        return self._by_digest.get(key_digest(key))

    def named(self, name: str) -> ClientAccount | None:
        """Return the account with a name, ``None`` if there is none."""
        return self._accounts.get(name)
