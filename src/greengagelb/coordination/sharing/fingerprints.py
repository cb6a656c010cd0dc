"""Names requests by what they ask for.

A request that is sent again gets another id. Its fingerprint stays the same,
at whatever instance it comes in.
"""

from collections.abc import Iterable
import hashlib

from greengagelb.state.relay import requests as relay_requests

DIGEST_BYTES = 16


def digest_of(parts: Iterable[bytes]) -> str:
    """Return a digest that no other sequence of parts has.

    Each part is hashed with its length, so that two sequences that read the
    same when joined differ.
    """
    found = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        found.update(b'%d:' % len(part))
        found.update(part)
    return found.hexdigest()


def of_relayed(request: relay_requests.CallerRequest, account: str) -> str:
    """Return the fingerprint of a relayed request of a client account.

    A request without a body says in its query what it asks for.
    """
    path, _, query = request.target.partition(b'?')
    content = request.body or query
    parts = (account.encode(), request.host.encode(), path, content)
    return digest_of(parts)
