"""Decoding of rows of the platform's store."""

import base64
import json

import h11
import pytest

from greengagelb import errors
from greengagelb.platform import rows
from greengagelb.platform import store
from greengagelb.state.relay import engines
from greengagelb.state.relay import positions
from greengagelb.state.relay import routes
from greengagelb.transport.relay import timed_requests

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'API.example',
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
            'resumable': True,
            'gap_aim_ms': 700,
        },
        {
            'name': 'r-2',
            'host': 'api.example',
            'prefix': '/a/b/',
            'kind': 'unsafe',
            'timeout_ms': 800,
            'service': 's-2',
            'unheard_of': 1,
        },
    ],
    'services': [
        {'name': 's-1', 'engine': {'slots': 32, 'kv_capacity': 88000}},
        {'name': 's-2', 'health_path': '/health'},
    ],
    'tenants': [{'name': 'cottages', 'api_keys': ['k1', 'k2']}],
}


def answer(status):
    """Return an answer of the store without a body."""
    return timed_requests.Answer(h11.Response(status_code=status, headers=[]))


def row(value, key='config'):
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return rows.Row(key, base64.b64encode(raw).decode(), 5)


def test_configuration_is_decoded():
    table = rows.read_route_table(row(CONFIG))
    assert table.version == 7
    assert table.find_route('api.example', '/a/x').name == 'r-1'
    assert table.find_route('API.EXAMPLE', '/a/b/x').name == 'r-2'
    assert table.find_route('api.example', '/c/') is None
    assert table.find_account('k2').name == 'cottages'
    assert table.find_account('k3') is None
    route = table.find_route('api.example', '/a/x')
    assert route.repeat is routes.RepeatPolicy.STREAM
    assert route.gap_goal == 0.7
    assert table.services['s-1'].engines.memory_tokens == 88_000


@pytest.mark.parametrize(
    'change',
    [
        {'routes': [{**CONFIG['routes'][1], 'service': 'nowhere'}]},
        {'routes': [{**CONFIG['routes'][1], 'kind': 'maybe'}]},
        {'version': 'new'},
        {
            'routes': [
                {
                    **CONFIG['routes'][0],
                    'split': [{'service': 's-1', 'weight': 0}],
                }
            ]
        },
    ],
)
def test_invalid_configuration_is_rejected(change):
    """Guards against an invalid configuration that is applied in part.

    It may be an operator's mistake or a partial write, and could send requests
    to services that no route allows.
    """
    read = store.configuration_from_rows(
        rows.Rows([row({**CONFIG, **change})], 9)
    )
    assert read.table is None
    assert read.mistake
    assert read.position == positions.StorePosition(positions.NO_ERA, 9)


def test_row_without_valid_json_is_rejected():
    read = store.configuration_from_rows(rows.Rows([row(b'\xff\xfe')], 9))
    assert read.mistake


ENGINE = {
    'service': 's-1',
    'address': '10.0.0.1:80',
    'zone': 'north',
    'slots': 32,
    'state': 'ready',
    'seq': 4,
}


def test_start_of_an_engine_is_decoded():
    """Only the start time tells a restarted engine with the same identity."""
    entry = rows.read_engine(row({**ENGINE, 'born': 1_796_000_000_123}))
    assert entry.started_at_ms == 1_796_000_000_123


def test_engine_that_does_not_say_when_it_started_is_used():
    """Older engines send no start time but change identity at each start."""
    entry = rows.read_engine(row(ENGINE))
    assert entry.started_at_ms == engines.UNKNOWN_START


@pytest.mark.parametrize('start', [-1, 2**60, 10**40, 1.5, '17', None])
def test_entry_with_invalid_start_time_is_rejected(start):
    """Guards against an invalid start that counts as the latest one.

    It would take precedence over every valid start.
    """
    read = store.engines_from_rows(
        rows.Rows([row({**ENGINE, 'born': start})], 9)
    )
    assert not read.entries
    assert read.mistakes


def test_engines_are_decoded_and_bad_entries_left_out():
    good = {
        'service': 's-1',
        'address': '10.0.0.1:80',
        'zone': 'north',
        'slots': 32,
        'state': 'draining',
        'seq': 4,
    }
    found = store.engines_from_rows(
        rows.Rows(
            [
                row(good, 'i-1'),
                row({**good, 'address': 'nowhere'}, 'i-2'),
                rows.Row('i-3', tombstone=True),
            ],
            9,
        )
    )
    [entry] = found.entries
    assert entry.engine == 'i-1'
    assert entry.leaving
    assert found.removed == ('i-3',)
    assert len(found.mistakes) == 1


def test_lost_history_is_told_apart_from_a_store_that_is_away():
    """The first needs a full read; the second only a later attempt."""
    with pytest.raises(errors.HistoryGone):
        store.check_status(answer(410))
    with pytest.raises(errors.PlatformUnavailable):
        store.check_status(answer(503))
