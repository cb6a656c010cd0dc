"""The upstreams of a pool, prepared for choices that look at few of them.

A choice that looked at each of 126 engines took 0.4 ms, and 0.9 ms with a
prefix; these are made for each request and each place that comes free.
"""

import dataclasses
import hashlib

from greengagelb.state import configuration as configuration_state

HASH_MULTIPLIER = 0x9E3779B97F4A7C15
UINT64_MASK = (1 << 64) - 1


def prefix_digest(prefix: str) -> str:
    """Return the name under which a prefix is kept; 16 hex digits."""
    return hashlib.blake2b(prefix.encode(), digest_size=8).hexdigest()


def name_hash(name: str) -> int:
    """Return a number that stands for an upstream's name; 64 bits."""
    raw = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(raw, 'big')


@dataclasses.dataclass(frozen=True, slots=True)
class PoolCandidates:
    """A pool's upstreams near this instance, or all where none is near."""

    upstreams: tuple[configuration_state.Upstream, ...]
    names: tuple[str, ...]
    name_hashes: tuple[int, ...]

    def preferred_upstream(self, digest: str) -> str:
        """Return the upstream that all instances send a prefix to.

        It is the highest in a rendezvous hash, so that an upstream that
        comes or goes moves only its own share of the prefixes.
        """
        prefix_hash = int(digest, 16)
        ranks = [
            ((name_hash_value ^ prefix_hash) * HASH_MULTIPLIER & UINT64_MASK)
            >> 20
            for name_hash_value in self.name_hashes
        ]
        return self.names[ranks.index(max(ranks))]


def local_candidates(
    pool: configuration_state.Pool, data_centre: str
) -> PoolCandidates:
    """Return a pool's upstreams of a data centre, or all if it has none."""
    local = [u.name for u in pool.upstreams if u.data_centre == data_centre]
    names = local or [u.name for u in pool.upstreams]
    return PoolCandidates(
        pool.upstreams, tuple(names), tuple(map(name_hash, names))
    )
