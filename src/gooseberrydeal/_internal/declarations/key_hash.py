"""Hash callers' keys."""

from hashlib import sha256


def key_hash(key: str) -> str:
    """Return what a declaration holds in place of a key."""
    return sha256(key.encode()).hexdigest()
