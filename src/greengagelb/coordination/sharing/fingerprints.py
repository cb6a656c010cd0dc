"""Names requests by what they ask for.

A request that is sent again gets another id. Its fingerprint stays the same,
at whatever instance it comes in.
"""

from collections.abc import Iterable
import hashlib

from greengagelb.state import requests
from greengagelb.state.relay import requests as relay_requests

DIGEST_BYTES = 16

OwnRequest = requests.CallRequest | requests.GenerationRequest


def digest_parts(parts: Iterable[bytes]) -> str:
    """Return a digest that no other sequence of parts has.

    Each part is hashed with its length, so that two sequences that read the
    same when joined differ.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(b'%d:' % len(part))
        hasher.update(part)
    return hasher.hexdigest()


def for_relayed_request(
    request: relay_requests.CallerRequest, account: str
) -> str:
    """Return the fingerprint of a relayed request of a client account.

    A request without a body says in its query what it asks for.
    """
    path, _, query = request.target.partition(b'?')
    content = request.body or query
    parts = (account.encode(), request.host.encode(), path, content)
    return digest_parts(parts)


def content_parts(request: OwnRequest) -> list[bytes]:
    """Return what a request by the product's own interface asks for."""
    service = request.service.encode()
    match request:
        case requests.CallRequest(operation=operation, body=body):
            return [service, operation.encode(), body]
        case requests.GenerationRequest(prompt=prompt, most_tokens=max_tokens):
            text = prompt.encode('utf-8', 'surrogatepass')
            return [service, text, b'%d' % max_tokens]


def for_own_request(request: OwnRequest) -> str:
    """Return the fingerprint of a request by the product's own interface."""
    account = request.request.account.encode()
    return digest_parts([account, *content_parts(request)])
