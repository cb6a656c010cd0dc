"""Bounds the memory that the request bodies of one client account use.

Bodies are held from their first byte until the answer is sent. A limit on the
number of requests alone would let one account fill the memory of an instance
with a few large bodies; the process would end, and with it the streams of all
other accounts.
"""

import collections
from collections.abc import Callable

from twisted.web import server

from greengagelb import errors

MAX_ACCOUNT_BODY_BYTES = 32 << 20


class BodyBudget:
    """Counts the body bytes that are held for each client account.

    ``account_of`` returns the name of the account that a request's key belongs
    to, and raises :class:`~greengagelb.errors.ProtocolError` for an unknown
    key: a body without a known account is not read at all.
    """

    def __init__(self, account_of: Callable[[server.Request], str]) -> None:
        self.account_of = account_of
        self.held_bytes: collections.Counter[str] = collections.Counter()

    def reserve_bytes(self, account: str, length: int) -> None:
        """Count bytes as held; raise if the account would exceed its limit."""
        if self.held_bytes[account] + length > MAX_ACCOUNT_BODY_BYTES:
            raise errors.AccountBodiesFull(
                'request bodies of this account already hold up to '
                f'{MAX_ACCOUNT_BODY_BYTES} bytes'
            )
        self.held_bytes[account] += length

    def release_bytes(self, account: str, length: int) -> None:
        """Count bytes as no longer held."""
        self.held_bytes[account] -= length
        if self.held_bytes[account] < 0:
            raise errors.InvariantViolated(
                f'{account} holds a negative number of bytes'
            )
        if not self.held_bytes[account]:
            del self.held_bytes[account]
