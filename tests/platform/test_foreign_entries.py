"""Rows in the platform's store that were written by other programs."""

import base64
import ipaddress
import json

import h11
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from greengagelb import errors
from greengagelb.platform import row_decoding
from greengagelb.platform import rows
from greengagelb.platform import store
from greengagelb.platform import wire
from greengagelb.protocol import relay_hints
from greengagelb.state.relay import hints
from greengagelb.state.relay import positions
from tests.common import relay_world

ENGINE = {
    'service': 's-1',
    'address': '10.0.0.1:8080',
    'zone': 'north',
    'version': 'v1',
    'slots': 32,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 4,
}
REQUIRED_FIELDS = ('service', 'address', 'zone', 'slots', 'state', 'seq')
MEMBER = {
    'name': 'front-1',
    'incarnation': '5a7c',
    'host': '10.0.0.9',
    'data_centre': 'north',
}
ROUTE = {
    'name': 'r-1',
    'host': 'api.example',
    'prefix': '/a/',
    'kind': 'streaming',
    'timeout_ms': 25000,
    'latency_goal_ms': 4500,
    'priority': 1,
    'split': [
        {'service': 's-1', 'weight': 90},
        {'service': 's-2', 'weight': 10},
    ],
    'max_attempts': 5,
    'public': True,
    'resumable': True,
    'gap_aim_ms': 700,
}
MODEL_SERVICE = {
    'name': 's-1',
    'max_conns': 240,
    'health_path': '/health',
    'engine': {
        'slots': 32,
        'kv_capacity': 88000,
        'backups': True,
        'moves': True,
        'handle_s': 4.0,
    },
}
LIMITS = {
    'header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
ACCOUNT = {'name': 'cottages', 'api_keys': ['k1', 'k2'], 'priority': 1}
CONFIG = {
    'version': 7,
    'routes': [ROUTE],
    'services': [MODEL_SERVICE, {'name': 's-2'}],
    'limits': LIMITS,
    'tenants': [ACCOUNT],
}

NUMBERS = st.one_of(
    st.integers(),
    st.floats(),
    st.sampled_from([0, -1, 0.0, 1e-308, 1e308, 10**20, 10**400, 2**63]),
)
ANY_JSON = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(), inner, max_size=4)
    ),
    max_leaves=8,
)
DEEPLY_NESTED_JSON = b'{"x":' + b'[' * 60_000 + b']' * 60_000 + b'}'


def row_of(key, raw):
    return rows.Row(key, base64.b64encode(raw).decode(), 5)


def row(key, value):
    return row_of(key, json.dumps(value).encode())


def alter_fields(whole):
    """Return variants of an object with fields missing or replaced."""
    kept = st.sets(st.sampled_from(sorted(whole)), min_size=len(whole) - 2)
    fields = st.dictionaries(
        st.sampled_from(sorted(whole)), ANY_JSON, max_size=3
    )
    return st.builds(
        lambda names, changed: {name: whole[name] for name in names} | changed,
        kept,
        fields,
    )


def row_values(whole):
    """Return arbitrary values of a row, some similar to an object."""
    texts = (
        st.one_of(ANY_JSON, alter_fields(whole))
        .map(json.dumps)
        .map(str.encode)
    )
    return st.one_of(st.binary(), texts)


def is_usable(entry):
    """Return whether a request can be sent to an engine."""
    ipaddress.ip_address(entry.address.host)
    return (
        0 < entry.address.port < 65_536
        and entry.slots >= 1
        and entry.service
        and entry.engine.isascii()
    )


def read_engines_around(other):
    """Read a list of two valid engines with another row between them."""
    return store.engines_from_rows(
        rows.Rows([row('i-1', ENGINE), other, row('i-3', ENGINE)], 9)
    )


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.text(max_size=200), row_values(ENGINE))
@example('i-2', DEEPLY_NESTED_JSON)
@example('i-2', b'\xff\xfe')
@example('i-2', b'null')
@example('a\r\nb: c', json.dumps(ENGINE).encode())
def test_arbitrary_engine_entry_does_not_affect_other_entries(key, raw):
    """Guards against an invalid engine entry that fails the whole read.

    Engines that start would then get no work, and engines that leave would
    still get some.
    """
    other = row_of(f'i-2{key}', raw)
    found = read_engines_around(other)
    names = [entry.engine for entry in found.entries]
    mistaken = [mistake.name for mistake in found.mistakes]
    assert {'i-1', 'i-3'} <= set(names)
    assert (other.key in names) != (other.key in mistaken)
    assert all(is_usable(entry) for entry in found.entries)
    told = hints.EngineListChanged(found.entries, ())
    assert (
        relay_hints.decode_datagram(relay_hints.encode_hint('x', told))[1]
        == told
    )


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'starting'},
        {'state': None},
        {'state': 'Ready'},
        {'slots': 0},
        {'slots': -3},
        {'slots': 32.0},
        {'slots': True},
        {'slots': '32'},
        {'slots': 10**30},
        {'seq': 'x'},
        {'seq': -1},
        {'seq': 10**30},
        {'service': ''},
        {'service': 7},
        {'service': 's' * 60_000},
        {'zone': None},
        {'zone': 'z' * 60_000},
        {'version': 1},
        {'cold_left_ms': 'soon'},
        {'address': ''},
        {'address': 'nowhere'},
        {'address': ':8080'},
        {'address': '10.0.0.1'},
        {'address': '10.0.0.1:'},
        {'address': '10.0.0.1:0'},
        {'address': '10.0.0.1:99999'},
        {'address': '10.0.0.1:-1'},
        {'address': '10.0.0.1:²'},
        {'address': '10.0.0.1:' + '9' * 5000},
        {'address': '10.0.0.1: 80'},
        {'address': 'engine.example:8080'},
        {'address': '10.0.0.1/8:8080'},
        {'address': '0.0.0.0:8080'},
        {'address': '224.0.0.1:8080'},
        {'address': ['10.0.0.1', 8080]},
    ],
)
def test_engine_entry_with_an_invalid_field_is_rejected(change):
    """Guards against requests to an engine with one invalid field.

    They would reach nobody or another program, and each would cost its caller
    an attempt.
    """
    found = read_engines_around(row('i-2', {**ENGINE, **change}))
    assert [entry.engine for entry in found.entries] == ['i-1', 'i-3']
    [mistake] = found.mistakes
    assert mistake.name == 'i-2'
    assert mistake.reason


@pytest.mark.parametrize('field', REQUIRED_FIELDS)
def test_engine_entry_without_a_required_field_is_rejected(field):
    """Guards against defaults for fields that the writer left out.

    With a default state and slot count, a leaving engine would get work.
    """
    left = {name: ENGINE[name] for name in ENGINE if name != field}
    found = read_engines_around(row('i-2', left))
    assert [mistake.name for mistake in found.mistakes] == ['i-2']


def test_fields_that_are_not_read_may_be_missing_or_unheard_of():
    small = {name: ENGINE[name] for name in REQUIRED_FIELDS}
    found = read_engines_around(row('i-2', {**small, 'unheard_of': [1]}))
    assert [entry.engine for entry in found.entries] == ['i-1', 'i-2', 'i-3']
    assert not found.mistakes


def test_last_change_of_a_row_counts():
    """Guards against outdated changes when a row changes twice in an answer.

    An engine whose last entry is invalid would get work, and one whose entry
    was corrected would get none.
    """
    spoilt = row('i-2', {**ENGINE, 'state': 'lost'})
    good = row('i-2', ENGINE)
    found = store.engines_from_rows(rows.Rows([good, spoilt], 9))
    assert [mistake.name for mistake in found.mistakes] == ['i-2']
    found = store.engines_from_rows(rows.Rows([spoilt, good], 9))
    assert not found.mistakes
    assert [entry.engine for entry in found.entries] == ['i-2']
    gone = rows.Row('i-2', tombstone=True)
    found = store.engines_from_rows(rows.Rows([gone, good], 9))
    assert not found.removed
    found = store.engines_from_rows(rows.Rows([good, gone], 9))
    assert found.removed == ('i-2',)


def encode_answer_around(other):
    """Return an answer with any JSON value between two valid rows."""
    first, last = (
        {'key': key, 'value': row(key, ENGINE).value, 'ver': 5}
        for key in ('i-1', 'i-3')
    )
    document = {'rows': [first, other, last], 'ver': 9}
    return json.dumps(document).encode()


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.one_of(
        ANY_JSON,
        alter_fields(
            {'key': 'i-2', 'value': 'e30=', 'ver': 5, 'tombstone': False}
        ),
    )
)
@example({'key': 'i-2', 'value': None, 'ver': 5})
@example({'key': 'i-2', 'value': 'é', 'ver': 5})
@example({'key': 'i-2', 'value': '\ud800', 'ver': 5})
@example({'key': None, 'value': 'e30=', 'ver': 5})
def test_arbitrary_row_does_not_affect_other_rows(other):
    """Guards against one malformed row that fails the whole answer.

    The store would appear unavailable for as long as the row exists.
    """
    found = store.engines_from_rows(
        row_decoding.read_rows(encode_answer_around(other))
    )
    names = {entry.engine for entry in found.entries}
    assert {'i-1', 'i-3'} <= names
    assert found.position == positions.StorePosition(positions.NO_ERA, 9)


def test_answer_that_is_no_list_of_rows_is_refused():
    """Another program answers in place of the store, or truncated data."""
    for body in (
        b'',
        b'[]',
        b'{"rows":[]}',
        b'{"rows":3,"ver":1}',
        DEEPLY_NESTED_JSON,
    ):
        with pytest.raises(errors.ProtocolError):
            row_decoding.read_rows(body)


def test_row_without_a_key_is_counted_too():
    found = store.engines_from_rows(
        row_decoding.read_rows(encode_answer_around(3))
    )
    [mistake] = found.mistakes
    assert mistake.name == ''


@settings(derandomize=True, max_examples=300, deadline=None)
@given(row_values(MEMBER))
@example(DEEPLY_NESTED_JSON)
def test_arbitrary_instance_entry_does_not_affect_other_entries(raw):
    """Guards against an invalid instance entry that fails the whole read.

    Instances would no longer learn of each other, and each would use the whole
    retry budget.
    """
    good = row('front-1', MEMBER)
    found = store.members_from_rows(
        rows.Rows([row_of('front-2', raw), good], 9)
    )
    assert [m.name for m in found.members if m.name == 'front-1']
    assert len(found.members) + len(found.mistakes) == 2
    for member in found.members:
        ipaddress.ip_address(member.host)


@pytest.mark.parametrize(
    'change',
    [
        {'host': 'front.example'},
        {'host': ''},
        {'host': '0.0.0.0'},
        {'incarnation': ''},
        {'incarnation': 5},
        {'name': 'front-1'},
        {'data_centre': None},
    ],
)
def test_instance_entry_with_an_invalid_field_is_rejected(change):
    """Guards against instance entries with an unusable host or name.

    The socket error for a host that no datagram can be sent to would end the
    reading of the list for good. An entry under another name would hide the
    instance of that name.
    """
    value = {**MEMBER, 'name': 'front-2', **change}
    found = store.members_from_rows(rows.Rows([row('front-2', value)], 9))
    assert not found.members
    assert [mistake.name for mistake in found.mistakes] == ['front-2']


def replace_part(part, changed):
    """Return a configuration with one part replaced."""
    match part:
        case 'route':
            return {**CONFIG, 'routes': [changed]}
        case 'service':
            return {**CONFIG, 'services': [changed, {'name': 's-2'}]}
        case 'account':
            return {**CONFIG, 'tenants': [changed]}
        case 'limits':
            return {**CONFIG, 'limits': changed}
    return changed


PARTS = {
    'whole': CONFIG,
    'route': ROUTE,
    'service': MODEL_SERVICE,
    'account': ACCOUNT,
    'limits': LIMITS,
}
ALTERED_CONFIGURATIONS = st.sampled_from(sorted(PARTS)).flatmap(
    lambda part: alter_fields(PARTS[part]).map(
        lambda changed: replace_part(part, changed)
    )
)


def read_configuration(raw):
    return store.configuration_from_rows(rows.Rows([row_of('config', raw)], 9))


@settings(derandomize=True, max_examples=500, deadline=None)
@given(
    st.one_of(ALTERED_CONFIGURATIONS, ANY_JSON).map(json.dumps).map(str.encode)
    | st.binary()
)
@example(DEEPLY_NESTED_JSON)
# Model engines without a memory size: the first stream divided by it.
@example(
    json.dumps(
        replace_part('service', {**MODEL_SERVICE, 'engine': {}})
    ).encode()
)
def test_arbitrary_configuration_is_rejected_or_usable(raw):
    """Guards against a configuration that raises when it is read or used.

    The error would end the updates of the configuration, or the handling of
    requests.
    """
    read = read_configuration(raw)
    assert (read.table is None) == bool(read.mistake)
    assert read.position == positions.StorePosition(positions.NO_ERA, 9)
    if read.table is None:
        return
    world = relay_world.RelayWorld(
        [
            relay_world.engine(f'i-{service}', service, 'north')
            for service in read.table.services
        ],
        read.table,
    )
    for route in read.table.routes:
        world.ask(b'/a/x', 25.0, host=route.host, key='k1')
    for send in world.sends():
        request = wire.PlatformDialect().write_send(send, world.now)
        h11.Request(
            method=request.method,
            target=request.target,
            headers=[(b'Host', b'x'), *request.headers],
        )
    told = hints.ConfigurationApplied(read.table.version)
    relay_hints.encode_hint('x', told)
    world.advance(30.0)


@pytest.mark.parametrize(
    ('part', 'change'),
    [
        ('route', {'timeout_ms': -1}),
        ('route', {'timeout_ms': 0}),
        ('route', {'timeout_ms': float('nan')}),
        ('route', {'timeout_ms': float('inf')}),
        ('route', {'timeout_ms': 1e300}),
        ('route', {'timeout_ms': '800'}),
        ('route', {'latency_goal_ms': -1}),
        ('route', {'gap_aim_ms': -700}),
        ('route', {'priority': -1}),
        ('route', {'max_attempts': 0}),
        ('route', {'max_attempts': 2.5}),
        ('route', {'prefix': ''}),
        ('route', {'prefix': 'a/'}),
        ('route', {'host': None}),
        ('route', {'split': [{'service': 's-1', 'weight': -1}]}),
        ('route', {'split': [{'service': 's-1', 'weight': 1e308}] * 2}),
        ('route', {'split': [], 'service': 's-3'}),
        ('service', {'health_path': 'health'}),
        ('service', {'health_path': '/a b'}),
        ('service', {'health_path': '/a\r\nb: c'}),
        ('service', {'max_conns': 0}),
        ('service', {'engine': {**MODEL_SERVICE['engine'], 'slots': 0}}),
        ('service', {'engine': {'kv_capacity': -1}}),
        ('service', {'engine': {'handle_s': -1.0}}),
        ('account', {'name': ''}),
        ('account', {'name': 'a\r\nb: c'}),
        ('account', {'name': ' a'}),
        ('account', {'api_keys': 'k1'}),
        ('account', {'priority': -1}),
        ('limits', {'header_bytes': 0}),
        ('limits', {'max_body_bytes': -1}),
        ('limits', {'header_timeout_ms': 0}),
        ('limits', {'idle_timeout_ms': -1}),
        ('whole', {'version': -1}),
        ('whole', {'version': 10**30}),
        ('whole', {'routes': None}),
    ],
)
def test_configuration_with_an_invalid_value_is_rejected(part, change):
    """Guards against a configuration with one unusable value.

    If it were applied, each request of its route would be refused or raise.
    The last valid configuration stays in force instead.
    """
    value = replace_part(part, {**PARTS[part], **change})
    read = read_configuration(json.dumps(value).encode())
    assert read.table is None
    assert read.mistake


def test_configuration_with_duplicate_names_is_accepted():
    """Names of routes are not used; of equal services the last counts."""
    twice = {**CONFIG, 'routes': [ROUTE, {**ROUTE, 'prefix': '/b/'}]}
    read = read_configuration(json.dumps(twice).encode())
    assert read.table.find_route('api.example', '/b/x').name == 'r-1'


def test_configuration_row_with_a_null_value_is_rejected():
    """Guards against a null value that raises or removes a configuration."""
    body = json.dumps(
        {'rows': [{'key': 'config', 'value': None, 'ver': 5}], 'ver': 9}
    ).encode()
    read = store.configuration_from_rows(row_decoding.read_rows(body))
    assert read.table is None
    assert read.mistake
