"""A stand-in for the platform's store."""

import base64
import collections
import copy
import json

from twisted.internet import interfaces
from twisted.web import resource
from twisted.web import server

MOST_ROWS = 500
# Copies that are kept, one a second.
MOST_COPIES = 4
NESTED = b'[' * 1000 + b']' * 1000
MANY_DIGITS = b'9' * 5000
# What another program may have written, in each list that is read.
ODD_ROWS = (
    NESTED,
    b'{"key":"odd","value":%s}' % NESTED,
    b'{"key":"odd","ver":%s}' % MANY_DIGITS,
    MANY_DIGITS,
)


class Store(resource.Resource):
    """Rows in tables, with a feed of changes.

    While ``refusing`` is set it answers 503 to everything. All its lists have
    the ``odd_row``, if there is one.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        super().__init__()
        self.reactor = reactor
        self.tables: dict[str, dict[str, dict]] = {}
        self.version = 1
        self.forgotten = 0
        self.refusing = False
        self.odd_row = b''
        self.waiting: list[Waiter] = []
        self.era = 0
        self.copies: collections.deque[tuple[int, dict]] = collections.deque(
            maxlen=MOST_COPIES
        )

    # -- what the rest of the soak does -------------------------------------

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row."""
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        self.write(table, key, raw, False)

    def remove(self, table: str, key: str) -> None:
        """Remove a row, if it is there."""
        if not self.tables.get(table, {}).get(key, GONE)['tombstone']:
            self.write(table, key, '', True)

    def write(self, table: str, key: str, raw: str, tombstone: bool) -> None:
        """Write a row as it is kept; tell those who wait for it."""
        self.version += 1
        self.tables.setdefault(table, {})[key] = {
            'table': table,
            'part': '',
            'key': key,
            'value': raw,
            'ver': self.version,
            'tombstone': tombstone,
        }
        for waiter in [w for w in self.waiting if w.table == table]:
            self.finish(waiter)

    def forget(self) -> None:
        """Lose the history of changes."""
        self.forgotten = self.version

    def keep_copy(self) -> None:
        """Keep a copy, from which the store may come back."""
        self.copies.append((self.version, copy.deepcopy(self.tables)))

    def restore(self) -> None:
        """Come back from the oldest copy; what was written since is gone."""
        self.version, self.tables = self.copies[0]
        self.copies.clear()
        self.keep_copy()
        self.era += 1
        for waiter in list(self.waiting):
            self.finish(waiter)

    # -- calls --------------------------------------------------------------

    def render(self, request: server.Request) -> object:
        """Answer a call."""
        request.setHeader(b'Store-Era', str(self.era).encode())
        if self.refusing:
            request.setResponseCode(503)
            return b'{}'
        match request.path:
            case b'/api/rows-get':
                return self.read(request)
            case b'/api/rows-feed':
                return self.feed(request)
            case b'/api/rows-tx':
                return self.change(request)
        request.setResponseCode(404)
        return b'{}'

    def read(self, request: server.Request) -> bytes:
        """Return the rows of a table."""
        begin = argument(request, b'from')
        rows = [
            row
            for key, row in sorted(
                self.tables.get(table_of(request), {}).items()
            )
            if key >= begin and not row['tombstone']
        ]
        return self.page(rows[:MOST_ROWS], has_more=len(rows) > MOST_ROWS)

    def feed(self, request: server.Request) -> object:
        """Return what has changed, at once or when it does."""
        after = int(argument(request, b'after_rev'))
        if after < self.forgotten or after > self.version:
            request.setResponseCode(410)
            return b'{}'
        table = table_of(request)
        rows = self.changed(table, after)
        wait = int(argument(request, b'wait_ms') or 0) / 1000.0
        if rows or not wait:
            return self.page(rows)
        waiter = Waiter(request, table, after)
        self.waiting.append(waiter)
        waiter.timer = self.reactor.callLater(wait, self.finish, waiter)
        request.notifyFinish().addErrback(lambda _: self.drop(waiter))
        return server.NOT_DONE_YET

    def changed(self, table: str, after: int) -> list[dict]:
        """Return the rows that are newer than a version."""
        rows = self.tables.get(table, {}).values()
        found = [row for row in rows if row['ver'] > after]
        return sorted(found, key=lambda row: row['ver'])

    def finish(self, waiter: 'Waiter') -> None:
        """Answer one who waits."""
        self.drop(waiter)
        waiter.request.setHeader(b'Store-Era', str(self.era).encode())
        rows = self.changed(waiter.table, waiter.after)
        waiter.request.write(self.page(rows))
        waiter.request.finish()

    def drop(self, waiter: 'Waiter') -> None:
        """Wait no longer for somebody."""
        if waiter in self.waiting:
            self.waiting.remove(waiter)
        if waiter.timer.active():
            waiter.timer.cancel()

    def change(self, request: server.Request) -> bytes:
        """Carry out a transaction."""
        change = json.loads(request.content.read())
        for row in change['set_keys']:
            self.write(row['table'], row['key'], row['value'], False)
        for row in change['remove']:
            self.remove(row['table'], row['key'])
        return self.page([])

    def page(self, rows: list[dict], *, has_more: bool = False) -> bytes:
        """Return an answer about rows."""
        listed = [json.dumps(row).encode() for row in rows]
        if self.odd_row:
            listed.insert(0, self.odd_row)
        more = json.dumps({'ver': self.version, 'has_more': has_more})
        return b'{"rows":[%s],%s' % (b','.join(listed), more[1:].encode())


GONE = {'tombstone': True}


class Waiter:
    """A call that waits for a change."""

    def __init__(
        self, request: server.Request, table: str, after: int
    ) -> None:
        self.request = request
        self.table = table
        self.after = after
        self.timer: interfaces.IDelayedCall | None = None


def argument(request: server.Request, name: bytes) -> str:
    """Return an argument of a call's query, or ''."""
    return request.args.get(name, [b''])[0].decode()


def table_of(request: server.Request) -> str:
    """Return the table that a call is about."""
    return argument(request, b'table')
