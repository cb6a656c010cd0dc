"""Lists that need several answers of the platform's store."""

import base64
import json
import urllib.parse

from twisted.internet import defer

from greengagelb import errors
from greengagelb.platform import row_decoding
from greengagelb.platform import rows
from greengagelb.platform import store
from greengagelb.state.relay import engines

# An answer has at most 500 rows; the largest planned fleet has 630 engines.
ROWS_PER_PAGE = 500
ENGINE_COUNT = 630


def engine_row(number):
    """Return the row of an engine."""
    value = {
        'service': 's',
        'address': f'10.0.{number // 250}.9:{number + 1}',
        'zone': 'north',
        'slots': 1,
        'state': 'ready',
        'seq': 1,
    }
    text = base64.b64encode(json.dumps(value).encode()).decode()
    return rows.Row(f'i-{number:05}', text, ver=3)


class PagedStore(store.PlatformStore):
    """A store that returns a list one page at a time.

    Its version grows between two pages, as if an engine registered.
    """

    def __init__(self):
        super().__init__(None, engines.Address('127.0.0.1', 1))
        self.engine_rows = [
            engine_row(number) for number in range(ENGINE_COUNT)
        ]
        self.version = 10

    def get_rows(self, target, seconds, coming_seconds):
        path, _, query = target.partition('?')
        assert path == '/api/rows-get'
        fields = urllib.parse.parse_qs(query)
        begin = fields.get('from', [''])[0]
        found = [row for row in self.engine_rows if row.key >= begin]
        answer = rows.Rows(
            found[:ROWS_PER_PAGE],
            self.version,
            has_more=len(found) > ROWS_PER_PAGE,
        )
        self.version += 1
        return defer.succeed(decode_answer(answer))


def decode_answer(answer):
    """Return an answer after encoding and decoding it."""
    return row_decoding.read_rows(json.dumps(answer_fields(answer)).encode())


def answer_fields(answer):
    """Return the JSON document of an answer."""
    return {
        'ver': answer.ver,
        'has_more': answer.has_more,
        'rows': [
            {'key': row.key, 'value': row.value, 'ver': row.ver}
            for row in answer.rows
        ],
    }


def test_list_of_engines_longer_than_an_answer_is_read_whole():
    """Guards against a list of engines that ends with the first answer.

    Engines in the second one would get no work, and would all be considered
    gone when the list is next read as a whole.
    """
    read = []
    PagedStore().read_engines(None).addCallback(read.append)
    assert len({found.engine for found in read[0].entries}) == ENGINE_COUNT


def test_repeated_page_is_rejected():
    """Guards against a read that requests the same page forever.

    The store reports more rows but sends the same page again. The list would
    never be read, and no error would show why.
    """

    class StuckStore(PagedStore):
        def get_rows(self, target, seconds, coming_seconds):
            answer = rows.Rows([engine_row(0)], self.version, has_more=True)
            return defer.succeed(decode_answer(answer))

    failed = []
    StuckStore().read_engines(None).addErrback(failed.append)
    assert failed[0].check(errors.ProtocolError)


def test_changes_between_two_answers_are_read_again():
    """Guards against changes that are missed while a list is read.

    If changes were read from the second answer's version on, a row of the
    first answer that changed in between would stay outdated.
    """
    read = []
    PagedStore().read_engines(None).addCallback(read.append)
    assert read[0].position.version == 10
