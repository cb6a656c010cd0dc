"""Fingerprints that identify requests by their content.

A request that is sent again gets another id. Its fingerprint stays the same at
every instance.
"""

from collections.abc import Iterable
import hashlib

from greengagelb.state import crashes
from greengagelb.state import requests
from greengagelb.state.relay import requests as relay_requests

DIGEST_BYTES = 16
# What the fingerprints of parts of prompts, and of accounts, begin with.
PART_PREFIX = 'part-'
ACCOUNT_PREFIX = 'account-'
# The number of parts of a prompt that are told apart; prompts have a few.
MAX_PARTS = 64

ProductRequest = requests.CallRequest | requests.GenerationRequest


def digest_parts(parts: Iterable[bytes]) -> str:
    """Return a digest of a sequence of parts.

    Each part is hashed with its length, so that two sequences with the same
    concatenation differ.
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

    A request without a body is identified by its query instead.
    """
    path, _, query = request.target.partition(b'?')
    content = request.body or query
    parts = (account.encode(), request.host.encode(), path, content)
    return digest_parts(parts)


def for_account(account: str) -> str:
    """Return the fingerprint of a client account."""
    return f'{ACCOUNT_PREFIX}{digest_parts((account.encode(),))}'


def is_part(fingerprint: str) -> bool:
    """Return whether a fingerprint is that of a part of prompts."""
    return fingerprint.startswith(PART_PREFIX)


def is_account(fingerprint: str) -> bool:
    """Return whether a fingerprint is that of a client account."""
    return fingerprint.startswith(ACCOUNT_PREFIX)


def possible_causes(
    request: str, account: str, service: str, shared_parts: tuple[str, ...]
) -> crashes.PossibleCauses:
    """Return what may be the cause if a request crashes an engine.

    ``request`` is its fingerprint. The account is only an alternative to parts
    that others have as well.
    """
    parts = for_shared_parts(shared_parts, service)
    return crashes.PossibleCauses(
        request, for_account(account) if parts else '', parts
    )


def causes_of_relayed_request(
    request: relay_requests.CallerRequest, account: str, service: str
) -> crashes.PossibleCauses:
    """Return the possible causes of crashes by a relayed request."""
    fingerprint = for_relayed_request(request, account)
    return possible_causes(fingerprint, account, service, request.shared_parts)


def causes_of_product_request(
    request: ProductRequest,
) -> crashes.PossibleCauses:
    """Return the possible causes of crashes by a request of our own API."""
    shared_parts: tuple[str, ...] = ()
    match request:
        case requests.GenerationRequest():
            shared_parts = request.shared_parts
    return possible_causes(
        for_product_request(request),
        request.request.account,
        request.service,
        shared_parts,
    )


def for_prompt_part(service: str, part: str) -> str:
    """Return the fingerprint of a part of the prompts to a service."""
    digest = digest_parts((service.encode(), part.encode()))
    return f'{PART_PREFIX}{digest}'


def for_shared_parts(
    shared_parts: tuple[str, ...], service: str
) -> tuple[str, ...]:
    """Return the fingerprints of the shared parts of a prompt.

    Of more than ``MAX_PARTS`` these are the first ones and the last ones.
    """
    if len(shared_parts) > MAX_PARTS:
        half = MAX_PARTS // 2
        shared_parts = shared_parts[:half] + shared_parts[-half:]
    parts = dict.fromkeys(filter(None, shared_parts))
    return tuple(for_prompt_part(service, part) for part in parts)


def content_parts(request: ProductRequest) -> list[bytes]:
    """Return the content of a request of the product's own API."""
    service = request.service.encode()
    match request:
        case requests.CallRequest(operation=operation, body=body):
            return [service, operation.encode(), body]
        case requests.GenerationRequest(prompt=prompt, most_tokens=max_tokens):
            text = prompt.encode('utf-8', 'surrogatepass')
            return [service, text, b'%d' % max_tokens]


def for_product_request(request: ProductRequest) -> str:
    """Return the fingerprint of a request of the product's own API."""
    account = request.request.account.encode()
    return digest_parts([account, *content_parts(request)])
