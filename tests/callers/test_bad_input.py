"""Each kind of invalid input gets a specific answer and causes no event."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from greengagelb.coordination import events
from greengagelb.state import identity
from greengagelb.transport import body_budget
from greengagelb.transport import serving
from tests.common import caller_sites
from tests.common import fleet

CALL = '/v1/services/charge/book'


def answer_to(raw, site=None):
    site = site or caller_sites.CallerSite()
    connection = site.connect()
    connection.send(raw)
    return connection.answer()


def sealed(account='teratak', seal=None):
    seal = seal or caller_sites.CallerSite().seal
    point = caller_sites.sample_point(account)
    return seal.seal_point(point).encode()


def header(name, value):
    return caller_sites.request(CALL, b'', name + b': ' + value)


@pytest.mark.parametrize(
    ('raw', 'status', 'code'),
    [
        (caller_sites.request(body=b'{"model": '), 400, 'bad-message'),
        (caller_sites.request(body=b'\xff\xfe'), 400, 'bad-message'),
        (caller_sites.request(body=b''), 400, 'bad-message'),
        (
            caller_sites.request(body=caller_sites.chat(temprature=1)),
            400,
            'bad-message',
        ),
        (
            caller_sites.request(body=caller_sites.chat(max_tokens=-1)),
            400,
            'bad-message',
        ),
        (
            caller_sites.request(body=caller_sites.chat(max_tokens=10**12)),
            400,
            'bad-message',
        ),
        (
            caller_sites.request(body=caller_sites.chat(messages=[])),
            400,
            'bad-message',
        ),
        (
            caller_sites.request(body=caller_sites.chat(stream=False)),
            400,
            'bad-value',
        ),
        (
            caller_sites.request(body=caller_sites.chat(received=['a'])),
            400,
            'bad-cursor',
        ),
        (caller_sites.request(key=b''), 401, 'unauthenticated'),
        (caller_sites.request(key=b'wrong'), 401, 'unauthenticated'),
        (caller_sites.request(key=b'\xff\xfe'), 401, 'unauthenticated'),
        (header(b'X-Deadline-Seconds', b'nan'), 400, 'bad-value'),
        (header(b'X-Deadline-Seconds', b'inf'), 400, 'bad-value'),
        (header(b'X-Deadline-Seconds', b'-1'), 400, 'bad-value'),
        (header(b'X-Deadline-Seconds', b'soon'), 400, 'bad-value'),
        (header(b'X-Deadline-Seconds', b'\xff'), 400, 'bad-value'),
        (header(b'Idempotency-Key', b'k' * 256), 400, 'bad-value'),
        (header(b'Idempotency-Key', 'schlüssel'.encode()), 400, 'bad-value'),
        (header(b'Idempotency-Key', b'a b'), 400, 'bad-value'),
        (
            header(b'Idempotency-Key', b'a\r\nIdempotency-Key: b'),
            400,
            'bad-value',
        ),
        (
            header(b'Authorization', b'Bearer other'),
            400,
            'bad-value',
        ),
        (header(b'Last-Event-ID', b'\xff'), 400, 'bad-cursor'),
        (header(b'X-Priority', b'resume'), 400, 'bad-value'),
        (header(b'X-Priority', b'0'), 400, 'bad-value'),
        (
            caller_sites.request('/v1/services/charge/..%2Fstandin', b''),
            404,
            'not-found',
        ),
        (
            caller_sites.request('/v1/services/charge/a%3Fb=1', b''),
            400,
            'bad-value',
        ),
        (caller_sites.request('/v1/nothing'), 404, 'not-found'),
        (caller_sites.request('/v1/%ff%fe'), 404, 'not-found'),
        (caller_sites.request(method='GET'), 405, 'method-not-allowed'),
    ],
)
def test_bad_request_gets_a_problem_document(raw, status, code):
    site = caller_sites.CallerSite()
    answer = answer_to(raw, site)
    problem = answer.problem()
    assert (answer.status, problem['code']) == (status, code)
    assert problem['status'] == status
    assert problem['ran'] == 'not-run'
    assert problem['detail']
    assert site.events == []


def test_valid_request_becomes_an_event():
    site = caller_sites.CallerSite()
    assert answer_to(caller_sites.request(), site) is None
    assert [type(event) for event in site.events] == [
        events.GenerationSubmitted
    ]


def test_cursor_of_another_account_is_answered_like_a_forged_one():
    """A caller guesses or steals the cursor of another client account.

    The answer must not reveal whether that account's request exists.
    """
    site = caller_sites.CallerSite()
    foreign = sealed('karri', site.seal)
    broken = foreign[:-4] + b'AAAA'
    answers = [
        answer_to(
            caller_sites.request(
                '/v1/chat/completions', None, b'Last-Event-ID: ' + cursor
            ),
            site,
        )
        for cursor in (foreign, broken, b'nonsense', b'A')
    ]
    first = answers[0]
    assert first.problem()['code'] == 'bad-cursor'
    for answer in answers:
        assert dataclasses.replace(answer, headers={}) == (
            dataclasses.replace(first, headers={})
        )
    assert site.events == []


@settings(derandomize=True, max_examples=200, deadline=None)
@given(cursor=strategies.binary(max_size=120))
def test_forged_cursor_is_rejected(cursor):
    clean = bytes(byte for byte in cursor if byte not in b'\r\n\0')
    site = caller_sites.CallerSite()
    answer = answer_to(
        caller_sites.request(
            '/v1/chat/completions', None, b'Last-Event-ID: x' + clean
        ),
        site,
    )
    assert answer.status == 400
    assert site.events == []


@pytest.mark.parametrize('chunked', [False, True])
def test_too_large_body_is_refused_before_it_is_in_memory(chunked):
    """A sender announces or sends more than the process may hold.

    It is answered before the rest has arrived, and the connection is closed;
    nothing beyond the limit is kept.
    """
    site = caller_sites.CallerSite()
    connection = site.connect()
    size = serving.MAX_BODY_BYTES
    key = b'Authorization: Bearer ' + fleet.ACCOUNT_KEY.encode()
    if chunked:
        connection.send(
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
            + key
            + b'\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        piece = b'x' * (1 << 20)
        for _ in range(5):
            connection.send(b'100000\r\n' + piece + b'\r\n')
    else:
        connection.send(
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
            + key
            + b'\r\nExpect: 100-continue\r\n'
            + b'Content-Length: %d\r\n\r\n' % (size + 1)
        )
    answer = connection.answer()
    assert answer.status == 413
    assert answer.problem()['code'] == 'body-too-large'
    assert b'100 Continue' not in connection.transport.value()
    connection.send(b'')
    site.clock.advance(serving.LINGER_SECONDS)
    assert not connection.transport.connected
    assert site.events == []


def test_large_body_creates_no_temporary_file(monkeypatch):
    """Twisted writes long bodies to a file; instances have no disks."""
    monkeypatch.setattr(
        'tempfile.TemporaryFile', lambda *_: pytest.fail('opened a file')
    )
    site = caller_sites.CallerSite()
    content = 'x' * 1_000_000
    message = {'role': 'user', 'content': content}
    answer_to(
        caller_sites.request(body=caller_sites.chat(messages=[message])), site
    )
    assert content in site.events[0].request.prompt


def test_slow_sender_is_refused_and_disconnected():
    """A sender sends a byte at a time and never finishes.

    It is answered and disconnected after a time limit, however steadily the
    bytes arrive.
    """
    site = caller_sites.CallerSite()
    connection = site.connect()
    raw = caller_sites.request()
    connection.send(raw[:60])
    for byte in raw[60:80]:
        site.clock.advance(1.0)
        connection.send(bytes([byte]))
    answer = connection.answer()
    assert answer.status == 408
    assert answer.problem()['code'] == serving.TOO_SLOW_CODE
    assert answer.headers['retry-after'] == '1'
    assert not connection.transport.connected
    assert site.events == []


def test_incomplete_request_causes_no_event():
    """A caller dies while sending; its incomplete request must be ignored."""
    site = caller_sites.CallerSite()
    connection = site.connect()
    connection.send(caller_sites.request()[:-10])
    connection.transport.loseConnection()
    assert site.events == []
    assert not site.clock.getDelayedCalls()


def test_internal_error_reports_an_unknown_outcome(monkeypatch):
    """A bug of the program affects a request.

    The caller must not be told "not run", since this is unknown.
    """
    site = caller_sites.CallerSite()
    monkeypatch.setattr(site.app, 'event_of_submission', None)
    answer = answer_to(caller_sites.request(), site)
    assert answer.status == 500
    assert answer.problem()['ran'] == 'outcome-unknown'


def test_keys_of_two_accounts_scope_the_same_idempotency_key():
    site = caller_sites.CallerSite()
    for key in (fleet.ACCOUNT_KEY, fleet.OTHER_KEY):
        answer_to(
            caller_sites.request(
                CALL, b'', b'Idempotency-Key: k', key=key.encode()
            ),
            site,
        )
    assert [event.request.request for event in site.events] == [
        identity.RequestId('teratak', 'k'),
        identity.RequestId('karri', 'k'),
    ]


def test_body_without_a_valid_key_is_not_read():
    """A sender without a key announces a body.

    It is refused before it sends any of the body, and uses no memory.
    """
    site = caller_sites.CallerSite()
    connection = site.connect()
    raw = caller_sites.request(key=b'wrong')
    head, _, body = raw.partition(b'\r\n\r\n')
    connection.send(head + b'\r\n\r\n')
    assert connection.answer().problem()['code'] == 'unauthenticated'
    connection.send(body)
    assert not connection.transport.connected
    assert not site.app.budget.held_bytes


def test_body_memory_is_bounded_per_account():
    """One account keeps many large requests open.

    Its next one is refused, while another account's is accepted, and the held
    bytes are released when its callers disconnect.
    """
    site = caller_sites.CallerSite()
    size = serving.MAX_BODY_BYTES - 1000
    message = {'role': 'user', 'content': 'x' * size}
    large = caller_sites.request(body=caller_sites.chat(messages=[message]))
    opened = []
    while len(opened) < 20:
        opened.append(site.connect())
        opened[-1].send(large)
        if opened[-1].answer() is not None:
            break
    refused = opened[-1].answer()
    assert refused.problem()['code'] == 'account-bodies-full'
    assert refused.headers['retry-after'] == '1'
    assert len(opened) == body_budget.MAX_ACCOUNT_BODY_BYTES // size + 1
    other = caller_sites.request(key=fleet.OTHER_KEY.encode())
    assert answer_to(other, site) is None
    for connection in opened:
        connection.transport.loseConnection()
    assert set(site.app.budget.held_bytes) == {'karri'}
