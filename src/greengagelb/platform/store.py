"""Calls to the platform's store."""

import urllib.parse

from twisted.internet import defer

from greengagelb import errors
from greengagelb.platform import row_decoding
from greengagelb.platform import rows
from greengagelb.protocol import codec
from greengagelb.state import crashes
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints
from greengagelb.state.relay import positions
from greengagelb.transport.relay import http1
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay import store_watch
from greengagelb.transport.relay import timed_requests
from greengagelb.transport.relay import unusable_entries

OPERATORS_TABLE = 'op'
CONFIGURATION_KEY = 'config'
ENGINES_TABLE = 'servers'
# Our own table, with one row for each instance; the key is its name.
MEMBERS_TABLE = 'instances'
# Crashes by request are kept in the same table, so that reading them takes no
# further call. Names of instances contain no slash.
CRASH_KEY_PREFIX = 'crashes/'
# According to the platform's documentation of its store.
MAX_ROWS_PER_PAGE = 500
# Header field of each answer: how often the store was restored from a copy.
ERA_HEADER = b'store-era'
# Longer numbers are no plausible count and don't fit our own datagrams.
MAX_ERA_DIGITS = 15
# How often the read of a list of several pages is tried, as it has to start
# again when the store is restored from a copy between two pages.
MAX_LIST_ATTEMPTS = 3
STATUS_OK = 200
STATUS_GONE = 410
# An answer begins within a few milliseconds, or within 0.25 s while the store
# is slow. A connection on which an answer was lost receives nothing more.
ANSWER_START_TIMEOUT_SECONDS = 0.6
# An answer has at most 1 MB of rows, according to the platform's documentation
# of its store; the second megabyte is for the JSON around them.
MAX_ANSWER_BYTES = 2 << 20
# Bounds the transfer of an answer with a whole list. No shorter answer could
# be requested instead, so this only limits how long a store that sends slowly
# can delay the read: 1 MB takes 1.6 s on the slowest link in use, of 5 Mbit/s,
# which also carries the callers' traffic.
LIST_TRANSFER_TIMEOUT_SECONDS = 10.0
# The same for an answer with changes. It is shorter because the whole list may
# be far smaller than the changes, and can then be read sooner.
CHANGES_TRANSFER_TIMEOUT_SECONDS = 1.0


class PlatformStore:
    """Client of the store; the store watch decides what to read and when."""

    def __init__(
        self, pool: http_client.ConnectionPool, address: engines.Address
    ) -> None:
        self.pool = pool
        self.address = address

    def use_address(self, address: engines.Address) -> None:
        """Send further requests to another address."""
        self.address = address

    def get_rows(
        self, target: str, seconds: float, coming_seconds: float
    ) -> defer.Deferred:
        """Fetch the rows that a target of the store returns.

        ``seconds`` limits the time until the answer begins, and
        ``coming_seconds`` the time of its transfer.
        """
        host = (b'Host', str(self.address).encode())
        request = http_client.WireRequest(b'GET', target.encode(), (host,))
        pending = self.send_request(request, seconds, coming_seconds)
        return pending.addCallback(read_rows)

    def commit_transaction(
        self, transaction: rows.Transaction
    ) -> defer.Deferred:
        """Send a transaction to the store."""
        headers = (
            (b'Host', str(self.address).encode()),
            (b'Content-Type', b'application/json'),
        )
        body = codec.encode(transaction)
        return self.send_request(
            http_client.WireRequest(b'POST', b'/api/rows-tx', headers, body),
            ANSWER_START_TIMEOUT_SECONDS,
        )

    def send_request(
        self,
        request: http_client.WireRequest,
        seconds: float,
        coming_seconds: float = 0.0,
    ) -> defer.Deferred:
        """Send a request and return its answer once the status is good.

        Raises :class:`~greengagelb.errors.PlatformUnavailable`,
        :class:`~greengagelb.errors.HistoryGone` and
        :class:`~greengagelb.errors.AnswerTooLong`.
        """
        pending: defer.Deferred = defer.Deferred()
        question = timed_requests.TimedRequest(
            f'store {self.address}',
            self.address,
            request,
            seconds,
            MAX_ANSWER_BYTES,
            receive_seconds=coming_seconds,
        )
        timed_requests.send_timed_request(
            self.pool, question, pending.callback
        )
        return pending.addCallback(check_status)

    @defer.inlineCallbacks
    def read_whole_table(self, table: str) -> object:
        """Return all rows of a table, however many answers they take.

        The version is that of the first answer, so that rows which change
        while the other pages are fetched are read again with the changes since
        then. Pages of different eras can't be combined.

        Raises :class:`~greengagelb.errors.PlatformUnavailable` if the era
        changes during each attempt.
        """
        for _ in range(MAX_LIST_ATTEMPTS):
            pages = yield self.read_pages(table)
            if len({page.era for page in pages}) == 1:
                found = [row for page in pages for row in page.rows]
                return rows.Rows(found, pages[0].ver, era=pages[0].era)
        raise errors.PlatformUnavailable(
            'store was restored while a list was read'
        )

    @defer.inlineCallbacks
    def read_pages(self, table: str) -> object:
        """Return the pages of a table, up to the first one of another era."""
        pages = [(yield self.read_page(table, ''))]
        start_key = ''
        while pages[-1].has_more and pages[-1].era == pages[0].era:
            start_key = next_page_start(pages[-1], start_key)
            page = yield self.read_page(table, start_key)
            page.rows = [row for row in page.rows if row.key != start_key]
            pages.append(page)
        return pages

    def read_page(self, table: str, start_key: str) -> defer.Deferred:
        """Return the rows of a table from ``start_key`` on, inclusive."""
        target = f'/api/rows-get?table={table}&part=&limit={MAX_ROWS_PER_PAGE}'
        if start_key:
            target += f'&from={urllib.parse.quote(start_key, safe="")}'
        return self.get_rows(
            target, ANSWER_START_TIMEOUT_SECONDS, LIST_TRANSFER_TIMEOUT_SECONDS
        )

    def read_changes(
        self,
        table: str,
        position: positions.StorePosition,
        wait_seconds: float,
    ) -> defer.Deferred:
        """Return the rows that have changed since a position."""
        wait = int(wait_seconds * 1000)
        since = position.version
        return self.get_rows(
            f'/api/rows-feed?table={table}&after_rev={since}&wait_ms={wait}',
            wait_seconds + ANSWER_START_TIMEOUT_SECONDS,
            CHANGES_TRANSFER_TIMEOUT_SECONDS,
        )

    def read_configuration(
        self, position: positions.StorePosition | None, wait_seconds: float
    ) -> defer.Deferred:
        """Return the configuration, or its changes since a position."""
        if position is None:
            found = self.read_whole_table(OPERATORS_TABLE)
        else:
            found = self.read_changes(OPERATORS_TABLE, position, wait_seconds)
        return found.addCallback(configuration_from_rows)

    def read_engines(
        self, position: positions.StorePosition | None
    ) -> defer.Deferred:
        """Return the list of engines, or its changes since a position."""
        if position is None:
            found = self.read_whole_table(ENGINES_TABLE)
        else:
            found = self.read_changes(ENGINES_TABLE, position, 0.0)
        return found.addCallback(engines_from_rows)

    def register(self, member: hints.Member) -> defer.Deferred:
        """Write this instance's own entry."""
        row = rows.NewRow(
            MEMBERS_TABLE, '', member.name, rows.encode_value(member)
        )
        return self.commit_transaction(rows.Transaction([], [row], []))

    def unregister(self, member: hints.Member) -> defer.Deferred:
        """Remove this instance's own entry."""
        row = rows.RowName(MEMBERS_TABLE, '', member.name)
        return self.commit_transaction(rows.Transaction([], [], [row]))

    def read_members(self) -> defer.Deferred:
        """Return the entries of all instances."""
        return self.read_whole_table(MEMBERS_TABLE).addCallback(
            members_from_rows
        )

    def write_crashes(self, kept: crashes.StoredCrashes) -> defer.Deferred:
        """Write the crashes that are kept for a request."""
        key = CRASH_KEY_PREFIX + kept.fingerprint
        row = rows.NewRow(MEMBERS_TABLE, '', key, rows.encode_value(kept))
        return self.commit_transaction(rows.Transaction([], [row], []))

    def delete_crashes(self, fingerprint: str) -> defer.Deferred:
        """Remove the crashes that are kept for a request."""
        row = rows.RowName(MEMBERS_TABLE, '', CRASH_KEY_PREFIX + fingerprint)
        return self.commit_transaction(rows.Transaction([], [], [row]))


def next_page_start(page: rows.Rows, previous_start: str) -> str:
    """Return the key at which the next page begins.

    Raises :class:`~greengagelb.errors.ProtocolError` if the page has no key
    other than the one that it was requested from: the same page would be
    requested forever.
    """
    for row in reversed(page.rows):
        if row.key and row.key != previous_start and is_encodable(row.key):
            return row.key
    raise errors.ProtocolError('page of rows has no key for the next page')


def is_encodable(key: str) -> bool:
    """Return whether a key can be sent; a lone surrogate can't."""
    try:
        key.encode()
    except UnicodeEncodeError:
        return False
    return True


def members_from_rows(found: rows.Rows) -> store_watch.MembersRead:
    """Return the instances and the kept crashes in some rows."""
    members = []
    kept = []
    mistakes = {}
    for row in found.rows:
        if row.tombstone:
            continue
        try:
            if row.key.startswith(CRASH_KEY_PREFIX):
                kept.append(rows.read_crashes(row, CRASH_KEY_PREFIX))
            else:
                members.append(rows.read_member(row))
        except errors.ProtocolError as exc:
            mistakes[row.key] = str(exc)
    return store_watch.MembersRead(
        tuple(members), unusable_entries_from(mistakes), tuple(kept)
    )


def check_status(answer: timed_requests.Answer) -> timed_requests.Answer:
    """Return an answer with a good status; raise an error for any other."""
    if answer.too_long:
        raise errors.AnswerTooLong(answer.detail)
    if answer.response is None:
        raise errors.PlatformUnavailable(answer.detail)
    status = answer.response.status_code
    if status == STATUS_GONE:
        raise errors.HistoryGone(
            'store no longer has the changes since this version'
        )
    if status != STATUS_OK:
        raise errors.PlatformUnavailable(f'status {status}')
    return answer


def read_rows(answer: timed_requests.Answer) -> rows.Rows:
    """Return the rows in an answer, with the era in its header."""
    found = row_decoding.read_rows(answer.body)
    found.era = read_era(answer)
    return found


def read_era(answer: timed_requests.Answer) -> int:
    """Return the era in an answer's header, or ``NO_ERA`` if it is invalid."""
    fields = tuple(answer.response.headers.raw_items())
    stated = http1.first_header_value(fields, ERA_HEADER) or b''
    if not stated.isdigit() or len(stated) > MAX_ERA_DIGITS:
        return positions.NO_ERA
    return int(stated)


def configuration_from_rows(found: rows.Rows) -> store_watch.ConfigurationRead:
    """Return the configuration among some rows."""
    table = None
    mistake = ''
    for row in found.rows:
        if row.key == CONFIGURATION_KEY and not row.tombstone:
            try:
                table = rows.read_route_table(row)
                mistake = ''
            except errors.ProtocolError as exc:
                mistake = str(exc)
    return store_watch.ConfigurationRead(found.position, table, mistake)


def engines_from_rows(found: rows.Rows) -> store_watch.EnginesRead:
    """Return the entries of engines among some rows.

    The last of several changes of a row decides whether it was removed or is
    invalid. Earlier valid entries are returned too, so that an engine's notice
    that it is leaving is not lost.
    """
    entries = []
    removed: dict[str, None] = {}
    mistakes: dict[str, str] = {}
    for row in found.rows:
        removed.pop(row.key, None)
        mistakes.pop(row.key, None)
        if row.tombstone:
            removed[row.key] = None
            continue
        try:
            entries.append(rows.read_engine(row))
        except errors.ProtocolError as exc:
            mistakes[row.key] = str(exc)
    return store_watch.EnginesRead(
        found.position,
        tuple(entries),
        tuple(removed),
        unusable_entries_from(mistakes),
    )


def unusable_entries_from(
    mistakes: dict[str, str],
) -> tuple[unusable_entries.UnusableEntry, ...]:
    """Return mistakes, given by the keys of their rows."""
    return tuple(
        unusable_entries.UnusableEntry(key, why)
        for key, why in mistakes.items()
    )
