"""The behaviour of a call to a plain service on the wire."""

import pytest

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.state import configuration
from greengagelb.state import identity
from greengagelb.state import requests
from greengagelb.transport import http
from greengagelb.transport import service_client
from tests.common import wires

ECHO = ('X-Client-Account: teratak', 'X-Request-Id: k1')


class Caller:
    """A service client and the events that it reports."""

    def __init__(self):
        self.network = wires.Network()
        self.events = []
        self.client = service_client.ServiceClient(
            self.network.reactor, self.events.append
        )

    def call(self, exchange=1, account='teratak', key='k1'):
        upstream = configuration.Upstream(
            'plain-0', wires.ADDRESS, wires.PORT, 'kl-1'
        )
        request = requests.CallRequest(
            exchange,
            identity.RequestId(account, key),
            'charge',
            'book',
            b'{}',
            deadline=60.0,
            has_idempotency_key=True,
        )
        self.client.send_call(
            actions.DispatchCall(exchange, upstream, request)
        )


def test_answer_is_passed_on_as_it_came():
    caller = Caller()
    caller.call()
    caller.network.accept().answer(b'done', *ECHO)
    assert caller.events == [events.CallAnswered(1, 200, b'done')]


def test_library_does_not_retry_on_a_lost_connection():
    """The service runs a charge and its connection breaks off.

    An HTTP library that repeats the request by itself would charge the owner
    twice, unnoticed by this program's own counts.
    """
    caller = Caller()
    caller.call()
    wire = caller.network.accept()
    assert wire.sent.startswith(b'POST /call/book')
    wire.break_off()
    caller.network.reactor.advance(30.0)
    assert caller.network.connections == 1
    (broken,) = caller.events
    assert isinstance(broken, events.CallBroken)
    assert broken.handed_over


@pytest.mark.parametrize('method', [b'GET', b'DELETE', b'POST'])
def test_agent_does_not_retry_any_method(method):
    """A connection is lost just as a request is sent on it.

    By default, Twisted's pool repeats the methods that HTTP defines as
    idempotent.
    """
    network = wires.Network()
    agent = http.fresh_connection_agent(network.reactor)
    failed = []
    for _ in range(2):
        url = f'http://{wires.ADDRESS}:{wires.PORT}/'.encode()
        agent.request(method, url).addErrback(failed.append)
        network.accept().break_off()
    network.reactor.advance(30.0)
    assert network.connections == 2
    assert len(failed) == 2


def test_redirect_is_not_followed():
    """A service answers with a redirect after it has run a charge.

    Following it would send the request a second time, to an address that no
    operator has configured.
    """
    caller = Caller()
    caller.call()
    where = f'Location: http://{wires.ADDRESS}:{wires.PORT}/else'
    caller.network.accept().answer(b'', where, *ECHO, status='303 See Other')
    caller.network.reactor.advance(5.0)
    assert caller.network.connections == 1
    assert caller.events == [events.CallAnswered(1, 303, b'')]


def test_refused_connection_proves_that_nothing_ran():
    caller = Caller()
    caller.call()
    caller.network.refuse()
    (broken,) = caller.events
    assert not broken.handed_over


def test_answer_to_another_request_is_rejected_and_its_connection_closed():
    """A service sends the answer to another account's charge.

    The caller would otherwise see another account's booking.
    """
    caller = Caller()
    caller.call()
    wire = caller.network.accept()
    wire.answer(
        b'of karri', 'X-Client-Account: karri', 'X-Request-Id: k1', length=99
    )
    (broken,) = caller.events
    assert isinstance(broken, events.CallBroken)
    assert broken.handed_over
    assert wire.closed


def test_truncated_body_is_not_an_answer():
    """A service dies halfway through its answer."""
    caller = Caller()
    caller.call()
    wire = caller.network.accept()
    wire.answer(b'half', *ECHO, length=8)
    wire.break_off()
    (broken,) = caller.events
    assert isinstance(broken, events.CallBroken)
    assert broken.handed_over


def test_truncated_refusal_leaves_the_outcome_unknown():
    """The headers of a refusal arrive, but its body is incomplete."""
    caller = Caller()
    caller.call()
    wire = caller.network.accept()
    wire.answer(b'', 'X-Not-Run: 1', *ECHO, status='503 No', length=8)
    wire.break_off()
    assert caller.events[0].handed_over


def test_endless_body_is_aborted_at_the_limit():
    """A service sends without end; the instance must not run out of memory."""
    caller = Caller()
    caller.call()
    wire = caller.network.accept()
    wire.answer(b'', *ECHO, length=http.MAX_BODY_BYTES * 9)
    for _ in range(3):
        wire.protocol.dataReceived(bytes(http.MAX_BODY_BYTES // 2))
    assert isinstance(caller.events[0], events.CallBroken)
    assert wire.closed


def test_abandoned_connection_is_closed_while_the_answer_comes_in():
    """The caller's deadline passes while the answer arrives.

    A connection left open would hold memory at both ends for as long as the
    service keeps it, once for each such deadline.
    """
    caller = Caller()
    caller.call()
    wire = caller.network.accept()
    wire.answer(b'half', *ECHO, length=8)
    caller.client.abandon_call(1)
    assert wire.closed
    assert caller.events == []


def test_abandoned_connection_is_closed_before_the_answer_begins():
    caller = Caller()
    caller.call()
    wire = caller.network.accept()
    caller.client.abandon_call(1)
    assert wire.transport.disconnected or wire.closed
    assert caller.events == []


def test_cookie_of_one_account_is_not_sent_for_another():
    """A service sets a session cookie in its answer to one account.

    If the cookie were sent with another account's call, that call could act on
    the first account's session.
    """
    caller = Caller()
    caller.call()
    cookie = 'Set-Cookie: session=teratak'
    caller.network.accept().answer(b'', cookie, *ECHO)
    caller.call(2, account='karri')
    assert b'session' not in caller.network.accept().sent
