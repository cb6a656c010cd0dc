"""Conversion of requests and answers on the users' platform."""

import h11
import pytest

from greengagelb import errors
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.platform import wire
from greengagelb.protocol import limit_header
from greengagelb.state import limits
from greengagelb.state import statements
from greengagelb.state.relay import engines
from greengagelb.state.relay import requests
from tests.common import relay_world

REQUEST_HEADERS = (
    (b'Host', b'api.example:80'),
    (b'Request-Id', b'abc'),
    (b'Request-Deadline', b'1500'),
    (b'Authorization', b'Bearer secret'),
)


def read_request(*fields):
    head = h11.Request(
        method=b'POST', target=b'/a/b?c', headers=[*REQUEST_HEADERS, *fields]
    )
    return wire.PlatformDialect().read_request(7, head, b'body', 100.0)


def write_request_headers(request, **fields):
    """Return the header fields of a request as an engine receives it."""
    entry = relay_world.engine('i-1', 's', 'north')
    given = {
        'account': 'cottages',
        'priority': 3,
        'deadline': 101.0,
        'stream': True,
        **fields,
    }
    send = relay_actions.Send(7, 1, entry, request, **given)
    found = wire.PlatformDialect().write_send(send, 100.25)
    return {name.lower(): value for name, value in found.headers}


def test_request_is_decoded():
    request = read_request(
        (b'Token-Counts', b'8000,780'),
        (b'Prompt-Prefix', b'aa:200,bb:7800'),
        (b'Last-Event-Id', b'12'),
    )
    assert request.host == 'api.example'
    assert request.path == '/a/b'
    assert request.key == 'secret'
    assert request.deadline == 101.5
    assert request.resumes_after == 12
    assert request.prompt == requests.Prompt(8_000, 780, 'bb')
    assert request.shared_parts == ('aa',)


@pytest.mark.parametrize(
    'fields',
    [
        ((b'Request-Id', b'twice'),),
        ((b'Authorization', b'Bearer other'),),
        ((b'Last-Event-Id', b'-1'),),
        ((b'Last-Event-Id', b'9' * 20),),
        ((b'Token-Counts', b'many'),),
    ],
)
def test_field_that_can_not_be_read_is_refused(fields):
    """Guards against guessing the value of an ambiguous header field.

    With a wrong id, key or position a caller could get another caller's
    answer, or parts of its own answer twice.
    """
    with pytest.raises(errors.ProtocolError):
        read_request(*fields)


@pytest.mark.parametrize(
    'name',
    [
        b'Tenant',
        b'Expect-Instance',
        b'Request-Priority',
        b'Kv-Backup',
        b'Kv-From',
        b'Hold',
        b'Pin-Ms',
    ],
)
def test_what_is_the_systems_to_set_is_not_taken_from_callers(name):
    """Guards against forged headers for another account or run.

    The caller's requests would run at another account's expense, or it would
    read the memory of another caller's run.
    """
    assert (
        b'forged'
        not in write_request_headers(read_request((name, b'forged'))).values()
    )


def test_key_is_not_passed_on():
    assert b'authorization' not in write_request_headers(read_request())


def test_engine_gets_the_time_that_is_left():
    assert write_request_headers(read_request())[b'request-deadline'] == b'750'


def test_resumed_run_names_position_and_both_copies():
    one = requests.CopyName(engines.Address('10.0.0.2', 80), 'abc')
    two = relay_world.engine('i-3', 's', 'west')
    found = write_request_headers(
        read_request(), resume_after=12, copy_from=one, copy_to=two
    )
    assert found[b'last-event-id'] == b'12'
    assert found[b'kv-from'] == b'10.0.0.2:80/abc'
    assert found[b'kv-backup'] == str(two.address).encode()


def read_answer(status, *fields):
    response = h11.Response(status_code=status, headers=list(fields))
    return wire.PlatformDialect().read_answer_head(response)


def test_refusals_that_promise_not_to_have_run():
    assert read_answer(503, (b'Not-Executed', b'1')).not_run
    assert read_answer(421, (b'Instance-Id', b'i-9')).not_run
    assert not read_answer(503).not_run
    assert not read_answer(500, (b'Engine-Seal', b'x')).not_run


def test_load_that_can_not_be_read_is_left_out():
    found = read_answer(200, (b'Engine-Load', b'3,0,8')).load
    assert found == engines.EngineLoad(3, 0, 8)
    assert read_answer(200, (b'Engine-Load', b'3;0')).load is None


def test_answer_to_another_request_is_told_apart():
    entry = relay_world.engine('i-1', 's', 'north')
    send = relay_actions.Send(
        7, 1, entry, read_request(), 'cottages', 3, 101.0, stream=False
    )
    dialect = wire.PlatformDialect()
    own_answer = h11.Response(
        status_code=200, headers=[(b'Request-Id', b'abc')]
    )
    other_answer = h11.Response(
        status_code=200, headers=[(b'Request-Id', b'xyz')]
    )
    answer_without_id = h11.Response(status_code=200, headers=[])
    refusal = h11.Response(status_code=503, headers=[])
    assert dialect.is_answer_to(own_answer, send)
    assert not dialect.is_answer_to(other_answer, send)
    assert not dialect.is_answer_to(answer_without_id, send)
    assert dialect.is_answer_to(refusal, send)


@pytest.mark.parametrize(
    ('status', 'body', 'start'),
    [
        (200, b'{"seq": 2, "born": 1796000000123}', 1_796_000_000_123),
        (200, b'{"seq": 2}', engines.UNKNOWN_START),
        (503, b'{"born": 1796000000123}', engines.UNKNOWN_START),
        (200, b'{"born": "soon"}', engines.UNKNOWN_START),
        (200, b'{"born": -1}', engines.UNKNOWN_START),
        (200, b'\xff', engines.UNKNOWN_START),
        (200, b'', engines.UNKNOWN_START),
    ],
)
def test_report_tells_when_its_engine_was_started(status, body, start):
    """Guards against a restart of an engine that is not noticed.

    A restarted engine answers probes as before; only its start time shows that
    its runs are lost. A report that can't be decoded has no start time but
    still shows that the engine is alive.
    """
    assert wire.PlatformDialect().read_started_at_ms(status, body) == start


@pytest.mark.parametrize(
    ('body', 'expected'),
    [
        (b'{"kv_total":55000,"state":"ready"}', True),
        (b'{"kv_total":55000}', True),
        (b'{"kv_total":55000,"state":"draining"}', False),
        (b'{"kv_total":0}', False),
        (b'{"running":3}', False),
        (b'{"kv_total":"many"}', False),
        (b'no json', False),
    ],
)
def test_model_memory_in_a_report(body, expected):
    """Guards against work for engines that must not get it.

    An engine without model memory would run requests that no route allows; one
    that drains must get no new work.
    """
    dialect = wire.PlatformDialect()
    assert dialect.read_has_model_memory(200, body) is expected
    assert not dialect.read_has_model_memory(503, body)


@pytest.mark.parametrize(
    ('values', 'rate'),
    [((), None), ((b'2.1',), 2.1), ((b'0',), 0.0), ((b'200',), 200.0)],
)
def test_a_limit_is_read_from_an_answer(values, rate):
    """Guards against missing a limit, or reading one where there is none."""
    fields = [(b'Server-Limit', value) for value in values]
    assert read_answer(200, *fields).limit == rate


@pytest.mark.parametrize(
    'values',
    [
        (b'-1',),
        (b'nan',),
        (b'inf',),
        (b'1e400',),
        (b'',),
        (b'2,1',),
        (b'9' * 400,),
        (b'2.1', b'3'),
    ],
)
def test_an_unusable_limit_leaves_the_answer_as_it_is(values):
    """Guards against invalid limits that fail an answer or are applied."""
    fields = [(b'Server-Limit', value) for value in values]
    found = read_answer(200, *fields)
    assert isinstance(found.limit, limits.UnusableLimit)
    assert len(found.limit.text) <= limit_header.MAX_TEXT_CHARACTERS
    assert found.status == 200


@pytest.mark.parametrize('status', [200, 500, 503, 504])
def test_leaving_is_read_from_any_answer(status):
    """Guards against an engine's word on leaving that only some paths read."""
    assert read_answer(status, (b'server-leaving', b'1')).statement.leaving


@pytest.mark.parametrize(
    ('values', 'seconds'),
    [
        ([b'3'], 3.0),
        ([b'0.25'], 0.25),
        ([b'0'], 0.0),
        ([b'31536000'], 31_536_000.0),
        ([b'2', b'2'], 2.0),
        ([b'2', b'5'], 5.0),
        ([b'-1', b'5'], 5.0),
        ([b'-1'], 0.0),
        ([b''], 0.0),
        ([b'1e3'], 0.0),
        ([b'9999999999'], 0.0),
        ([b'Wed, 21 Oct 2026 07:28:00 GMT'], 0.0),
        ([], 0.0),
    ],
)
def test_rest_that_a_refusal_asks_for(values, seconds):
    """Guards against rests that are guessed, or dropped for a second value."""
    fields = [(b'Retry-After', value) for value in values]
    assert read_answer(503, *fields).statement.rest_seconds == seconds


@pytest.mark.parametrize(
    'field',
    [
        (b'Retry-After', b'-1'),
        (b'Retry-After', b''),
        (b'Retry-After', b'soon' * 1_000),
        (b'Server-Leaving', b'0'),
        (b'Server-Leaving', b'yes'),
        (b'Server-Brittle', b'-3'),
        (b'Server-Brittle', b'few'),
    ],
)
def test_unusable_statement_is_reported_in_a_bounded_text(field):
    """Guards against silence on, and unbounded log lines of, such values."""
    [text] = read_answer(503, field).statement.unusable
    assert len(text) < 50


def test_engine_states_its_refusal_rate_in_any_answer():
    """Guards against a rate that is read in refusals only."""
    for status in (200, 500, 503):
        found = read_answer(status, (b'Server-Brittle', b'7')).statement
        assert found.refusal_rate == 7.0


def test_rest_is_asked_for_by_refusals_only():
    """Guards against a success that takes its engine out of use."""
    found = read_answer(200, (b'Retry-After', b'3')).statement
    assert found == statements.NO_STATEMENT


@pytest.mark.parametrize(
    ('status', 'body', 'leaving'),
    [
        (200, b'{"state": "draining"}', True),
        (200, b'{"state": "ready"}', False),
        (200, b'{}', False),
        (503, b'{"state": "draining"}', False),
        (200, b'\xff', False),
    ],
)
def test_report_tells_whether_its_engine_leaves(status, body, leaving):
    """Guards against a report whose state nobody acts on."""
    assert wire.PlatformDialect().read_is_leaving(status, body) is leaving


@pytest.mark.parametrize(
    ('status', 'body', 'events'),
    [
        (200, b'{"runs": [["a", 9, 3, 5], ["r1", 8000, 12, 5]]}', 12),
        (200, b'{"runs": [["a", 9, 3, 5]]}', None),
        (200, b'{"runs": [["r1", 8000, "many", 5]]}', None),
        (200, b'{"born": 1}', None),
        (200, b'{', None),
        (503, b'{"runs": [["r1", 8000, 12, 5]]}', None),
    ],
)
def test_report_tells_how_far_a_run_has_come(status, body, events):
    """Guards against runs that are ended although their engine holds them."""
    dialect = wire.PlatformDialect()
    assert dialect.read_run_events(status, body, 'r1') == events


def test_probe_names_the_engine_that_it_is_meant_for():
    """Guards against a successor's start taken for a restart of its engine.

    Another engine at the address answers a probe that names none. The engine
    that has ended is then used again, and requests to it are turned away.
    """
    entry = relay_world.fleet()[0]
    expected = (wire.EXPECTED_ENGINE_HEADER, entry.engine.encode())
    assert expected in wire.PlatformDialect().write_probe(entry).headers
