"""Bounds what the bodies of one client account may take of the memory.

Bodies are held from their first byte until the answer is given. Bounds on
the number of requests alone would let one account, with few large bodies,
fill the memory of an instance; it would end, and with it the streams of all
other accounts.
"""

import collections
from collections.abc import Callable

from twisted.web import server

from greengagelb import errors

MAX_ACCOUNT_BODY_BYTES = 32 << 20


class BodyBudget:
    """Counts the bytes that are held for each client account.

    ``account_of`` returns the account's name for the key of a request, and
    raises :class:`~greengagelb.errors.ProtocolError` for an unknown key: a
    body from nobody is not taken in at all.
    """

    def __init__(self, account_of: Callable[[server.Request], str]) -> None:
        self.account_of = account_of
        self.held_bytes: collections.Counter[str] = collections.Counter()

    def reserve_bytes(self, account: str, length: int) -> None:
        """Count bytes as held; raise where the account holds too many."""
        if self.held_bytes[account] + length > MAX_ACCOUNT_BODY_BYTES:
            raise errors.AccountBodiesFull(
                f'{MAX_ACCOUNT_BODY_BYTES} bytes of this account are held '
                'already'
            )
        self.held_bytes[account] += length

    def release_bytes(self, account: str, length: int) -> None:
        """Count bytes as no longer held."""
        self.held_bytes[account] -= length
        if self.held_bytes[account] < 0:
            raise errors.InvariantViolated(f'{account} holds less than none')
        if not self.held_bytes[account]:
            del self.held_bytes[account]
