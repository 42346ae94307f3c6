"""API keys of callers and operators: stored as SHA-256, compared in constant time."""

from __future__ import annotations

import hashlib
import hmac

from bramleylead.version import Config


def hash_key(key: str) -> str:
    """Return the hex SHA-256 of a key, as stored in settings and tickets."""
    return hashlib.sha256(key.encode()).hexdigest()


def key_matches(key: str, key_sha256: str) -> bool:
    """Whether a key has this hash; compares in constant time."""
    return hmac.compare_digest(hash_key(key), key_sha256)


def find_branch(config: Config, key: str) -> str | None:
    """Return the branch with this key; compares every branch, so that timing reveals nothing."""
    key_hash = hash_key(key)
    matching_branch = None
    for name, branch in config.branches.items():
        if hmac.compare_digest(key_hash, branch.key_sha256):
            matching_branch = name
    return matching_branch
