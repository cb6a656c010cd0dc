"""Upstreams of a pool, prepared for choosing without a full scan.

A scan of 126 engines took 0.4 ms per choice, and 0.9 ms with a prefix. An
upstream is chosen for each request and for each slot that becomes free.
"""

import dataclasses
import hashlib

from greengagelb.state import configuration as configuration_state

HASH_MULTIPLIER = 0x9E3779B97F4A7C15
UINT64_MASK = (1 << 64) - 1


def prefix_digest(prefix: str) -> str:
    """Return the identifier of a prompt prefix: 16 hex digits."""
    return hashlib.blake2b(prefix.encode(), digest_size=8).hexdigest()


def name_hash(name: str) -> int:
    """Return a 64-bit hash of an upstream's name."""
    raw = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(raw, 'big')


@dataclasses.dataclass(frozen=True, slots=True)
class PoolCandidates:
    """The upstreams of a pool in one data centre, or all if it has none.

    ``names`` and ``name_hashes`` have the same order; ``upstreams`` are all
    upstreams of the pool and identify the configuration this was built from.
    """

    upstreams: tuple[configuration_state.Upstream, ...]
    names: tuple[str, ...]
    name_hashes: tuple[int, ...]

    def preferred_upstream(self, digest: str) -> str:
        """Return the upstream to which a prefix is routed by default.

        Instances with the same candidates return the same name. Rendezvous
        hashing is used so that adding or removing an upstream moves only
        that upstream's share of the prefixes. ``digest`` is the result of
        :func:`prefix_digest`.
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
    """Return the candidates of a pool for an instance in a data centre."""
    local = [u.name for u in pool.upstreams if u.data_centre == data_centre]
    names = local or [u.name for u in pool.upstreams]
    return PoolCandidates(
        pool.upstreams, tuple(names), tuple(map(name_hash, names))
    )
