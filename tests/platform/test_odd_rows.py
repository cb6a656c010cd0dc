"""Rows that other programs wrote, of any shape, among those of engines."""

import base64
import json

import h11
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from greengagelb import errors
from greengagelb.platform import json_members
from greengagelb.platform import row_decoding
from greengagelb.platform import store
from greengagelb.platform import wire
from greengagelb.protocol import relay_hints
from greengagelb.state.relay import engines
from greengagelb.transport.relay import http_client
from greengagelb.transport.relay.forwarding import handshake

ENGINE = {
    'service': 's-1',
    'address': '10.0.0.1:8080',
    'zone': 'north',
    'slots': 32,
    'state': 'ready',
    'seq': 4,
}
MANY_DIGITS = b'9' * 5000
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
ROWS = st.fixed_dictionaries(
    {},
    optional=dict.fromkeys(
        ('key', 'value', 'ver', 'tombstone', 'x'), JSON_VALUES
    ),
)


def nested(depth):
    return b'[' * depth + b']' * depth


def sound_row(name):
    value = base64.b64encode(json.dumps(ENGINE).encode())
    return b'{"key":"%s","value":"%s","ver":5}' % (name, value)


ODD_ROWS = {
    'nested 1000 deep': nested(1000),
    'nested 100000 deep': nested(100_000),
    'objects 5000 deep': b'{"a":' * 5000 + b'1' + b'}' * 5000,
    'nested value': b'{"key":"odd","value":%s}' % nested(1000),
    'nested field': b'{"key":"odd","value":"","x":%s}' % nested(1000),
    'nested key': b'{"key":%s}' % nested(1000),
    'long number': MANY_DIGITS,
    'long version': b'{"key":"odd","ver":%s}' % MANY_DIGITS,
    'long value': b'{"key":"odd","value":%s}' % MANY_DIGITS,
    'long number in a field': b'{"key":"odd","x":%s}' % MANY_DIGITS,
    'large version': b'{"key":"odd","ver":%d}' % 2**70,
    'no number': b'{"key":"odd","ver":NaN}',
    'brackets in a string': b'{"key":"odd]}","value":3,"x":"\\"]}[{"}',
    'not unicode': b'{"key":"odd","x":"\xff\xfe"}',
}


def read_around(odd):
    """Return what is read of an answer with an odd row among sound ones."""
    listed = b','.join([sound_row(b'i-1'), odd, sound_row(b'i-3')])
    body = b'{"rows":[%s],"ver":9,"has_more":true}' % listed
    return row_decoding.read_rows(body)


@pytest.mark.parametrize('odd', ODD_ROWS.values(), ids=ODD_ROWS)
def test_an_odd_row_costs_no_other_row_of_its_answer(odd):
    """Guards against a store that seems away while an odd row is there."""
    found = read_around(odd)
    read = store.engines_from_rows(found)
    assert {'i-1', 'i-3'} <= {entry.engine for entry in read.entries}
    assert (found.ver, found.has_more) == (9, True)
    assert store.next_page_start(found, '') == 'i-3'


@settings(derandomize=True, max_examples=300, deadline=None)
@given(ROWS | JSON_VALUES)
@example({'key': 'i-2', 'ver': 2**64})
@example({'key': 'i-2', 'ver': 1e400})
@example({'key': '\ud800', 'value': ''})
def test_a_drawn_row_costs_no_other_row_of_its_answer(odd):
    """Guards against shapes of rows that nobody has thought of."""
    found = read_around(json.dumps(odd).encode())
    read = store.engines_from_rows(found)
    assert {'i-1', 'i-3'} <= {entry.engine for entry in read.entries}
    assert store.next_page_start(found, '') == 'i-3'
    assert store.members_from_rows(found)
    assert store.configuration_from_rows(found)


@given(st.lists(JSON_VALUES), st.sampled_from([None, 1, (',', ':')]))
def test_arrays_are_split_where_their_elements_end(values, form):
    separators = form if isinstance(form, tuple) else None
    indent = form if isinstance(form, int) else None
    text = json.dumps(values, separators=separators, indent=indent).encode()
    found = json_members.split_array(text)
    assert repr([json.loads(element) for element in found]) == repr(
        json.loads(text)
    )


@given(st.dictionaries(st.text(), JSON_VALUES))
def test_objects_are_split_where_their_members_end(values):
    found = json_members.split_object(json.dumps(values).encode())
    read = {json.loads(name): json.loads(v) for name, v in found.items()}
    assert repr(read) == repr(json.loads(json.dumps(values)))


@pytest.mark.parametrize(
    'text', [b'', b'[', b'[}', b'{"a":1]', b'[1]]', b'[1],', b'{}']
)
def test_texts_that_are_no_arrays_are_refused(text):
    """Guards against a truncated answer that is read as a short list."""
    with pytest.raises(errors.ProtocolError):
        json_members.split_array(text)


NESTED_DATAGRAM = b'\x92\xa1x\x96\xa1k\xa1f\x90\xc0\xc2' + b'\x91' * 1300
DEEP_REPORT = b'{"state":"ready","x":%s,"runs":[]}' % nested(1000)


def test_a_nested_datagram_is_refused():
    """Guards against an error that nobody handles, for any datagram."""
    with pytest.raises(errors.ProtocolError):
        relay_hints.decode_datagram(NESTED_DATAGRAM + b'\x00')


@pytest.mark.parametrize('body', [DEEP_REPORT, nested(100_000), MANY_DIGITS])
def test_an_odd_report_of_an_engine_is_no_report(body):
    """Guards against an answer of an engine that raises an error."""
    dialect = wire.PlatformDialect()
    assert dialect.read_started_at_ms(200, body) == engines.UNKNOWN_START
    assert not dialect.read_is_leaving(200, body)
    assert not dialect.read_copy_handle(200, body)
    assert dialect.read_run_events(200, body, 'r1') is None


def test_an_event_with_a_long_number_is_refused():
    """Guards against a stream whose event raises an error."""
    with pytest.raises(errors.ProtocolError):
        wire.PlatformDialect().read_event_number(b'id: ' + MANY_DIGITS)


def test_long_numbers_in_header_fields_are_refused():
    """Guards against a field of a caller or an engine that raises an error."""
    fields = [(wire.TOKEN_COUNTS_HEADER, MANY_DIGITS + b',1')]
    with pytest.raises(errors.ProtocolError):
        wire.read_prompt_sizes(fields, ())
    assert wire.parse_load(b'1,2,' + MANY_DIGITS) is None
    kept = http_client.parse_keep_alive(b'timeout=' + MANY_DIGITS)
    assert kept == http_client.DEFAULT_KEEP_ALIVE_SECONDS


@pytest.mark.parametrize('version', [nested(1000), MANY_DIGITS])
def test_an_answer_with_an_odd_version_is_refused(version):
    """Guards against an answer of the store that raises an error."""
    with pytest.raises(errors.ProtocolError):
        row_decoding.read_rows(b'{"rows":[],"ver":%s}' % version)


@pytest.mark.parametrize(
    ('start', 'port'), [(MANY_DIGITS, b'80'), (b'1', MANY_DIGITS)]
)
def test_an_order_with_a_long_number_is_refused(start, port):
    """Guards against an order for a connection that raises an error."""
    head = h11.Request(
        method='CONNECT',
        target=b'10.0.0.1:' + port,
        headers=[
            ('Host', 'x'),
            (handshake.ENGINE_HEADER, b'i-1'),
            (handshake.START_HEADER, start),
        ],
    )
    with pytest.raises(errors.ProtocolError):
        handshake.read_order(head)
