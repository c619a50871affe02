"""Hash callers' API keys."""

from hashlib import sha256


def key_hash(key: str) -> str:
    """Return the SHA-256 of an API key in hexadecimal, as declarations store it."""
    return sha256(key.encode()).hexdigest()
