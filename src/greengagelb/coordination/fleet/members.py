"""The upstreams of a pool, prepared for choices that look at few of them.

A choice that looked at each of 126 engines took 0.4 ms, and 0.9 ms with a
prefix; these are made for each request and each place that comes free.
"""

import dataclasses
import hashlib

from greengagelb.state import configuration as configuration_state

SPREAD = 0x9E3779B97F4A7C15
MASK = (1 << 64) - 1


def digest(prefix: str) -> str:
    """Return the name under which a prefix is kept; 16 hex digits."""
    return hashlib.blake2b(prefix.encode(), digest_size=8).hexdigest()


def number_of(name: str) -> int:
    """Return a number that stands for an upstream's name; 64 bits."""
    raw = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(raw, 'big')


@dataclasses.dataclass(frozen=True, slots=True)
class PoolMembers:
    """A pool's upstreams near this instance, or all where none is near."""

    upstreams: tuple[configuration_state.Upstream, ...]
    names: tuple[str, ...]
    numbers: tuple[int, ...]

    def likely(self, key: str) -> str:
        """Return the upstream that all instances send a prefix to.

        It is the highest in a rendezvous hash, so that an upstream that
        comes or goes moves only its own share of the prefixes.
        """
        salt = int(key, 16)
        ranks = [
            ((number ^ salt) * SPREAD & MASK) >> 20 for number in self.numbers
        ]
        return self.names[ranks.index(max(ranks))]


def members_of(
    pool: configuration_state.Pool, data_centre: str
) -> PoolMembers:
    """Return a pool's upstreams of a data centre, or all if it has none."""
    near = [u.name for u in pool.upstreams if u.data_centre == data_centre]
    names = near or [u.name for u in pool.upstreams]
    return PoolMembers(
        pool.upstreams, tuple(names), tuple(map(number_of, names))
    )
