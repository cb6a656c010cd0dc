"""Rendezvous hashing: instances agree on a choice without messages.

Removing a name reassigns only the keys of that name. Instances that know
different sets of names choose differently, so an action that must not happen
twice needs another safeguard as well.
"""

from collections.abc import Iterable
import hashlib

SCORE_BYTES = 8


def highest_scoring(
    key: str, names: Iterable[str], count: int = 1
) -> list[str]:
    """Return the ``count`` names with the highest scores for a key."""
    ranked = sorted(names, key=lambda name: score(key, name), reverse=True)
    return ranked[:count]


def score(key: str, name: str) -> bytes:
    """Return the score of a name for a key; scores compare as bytes."""
    text = f'{key}\0{name}'.encode()
    return hashlib.blake2b(text, digest_size=SCORE_BYTES).digest()
