"""Rendezvous hashing: all instances pick the same few without a message.

When one of the names goes, only what was its own moves; the others keep
theirs. Instances that know different sets of names pick differently, so
nothing that must not happen twice may rest on it alone.
"""

from collections.abc import Iterable
import hashlib

SCORE_BYTES = 8


def highest_scoring(
    key: str, names: Iterable[str], count: int = 1
) -> list[str]:
    """Return the ``count`` names that score highest for a key."""
    ranked = sorted(names, key=lambda name: score(key, name), reverse=True)
    return ranked[:count]


def score(key: str, name: str) -> bytes:
    """Return how strongly a name is bound to a key."""
    text = f'{key}\0{name}'.encode()
    return hashlib.blake2b(text, digest_size=SCORE_BYTES).digest()
