"""Keys of callers and operators: kept as SHA-256, compared in constant time."""

from __future__ import annotations

import hashlib
import hmac

from bramleylead.version import Config


def hash_key(key: str) -> str:
    """Return the hex SHA-256 under which settings and tickets hold a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def key_matches(key: str, key_sha256: str) -> bool:
    """Whether a key is the one with this hash; takes the same time for any key."""
    return hmac.compare_digest(hash_key(key), key_sha256)


def find_branch(config: Config, key: str) -> str | None:
    """Return the branch with this key; every branch is compared, whichever matches."""
    hashed = hash_key(key)
    found = None
    for name, branch in config.branches.items():
        if hmac.compare_digest(hashed, branch.key_sha256):
            found = name
    return found
