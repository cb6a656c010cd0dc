"""Answers of engines that are late, truncated, repeated or misdirected."""

import pytest

from tests.common import relay_wires

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


def receive_answer(raw):
    """Return server, receiver and connection after an engine's bytes."""
    server = relay_wires.Server()
    receiver = relay_wires.Receiver()
    connection = server.ask(receiver)
    connection.dataReceived(raw)
    return server, receiver, connection


def test_whole_answer_leaves_its_connection_for_the_next_request():
    server, receiver, connection = receive_answer(WHOLE)
    assert receiver.complete
    assert receiver.body == b'ok'
    second = relay_wires.Receiver()
    assert server.ask(second) is connection
    connection.dataReceived(WHOLE)
    assert second.complete
    assert server.pool.connections_opened == 1


def test_bytes_behind_an_answer_close_the_connection():
    """An engine sends a second answer right behind the first.

    Guards against passing it to the next caller on a reused connection.
    """
    server, receiver, connection = receive_answer(WHOLE + WHOLE)
    assert receiver.body == b'ok'
    assert connection.transport.aborted
    assert not server.pool.idle_connections


def test_unsolicited_answer_closes_the_connection():
    """The second answer arrives while the connection is idle."""
    server, _, connection = receive_answer(WHOLE)
    connection.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Len')
    assert connection.transport.aborted
    assert not server.pool.idle_connections


@pytest.mark.parametrize(
    'raw',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Le',
    ],
)
def test_truncated_answer_fails(raw):
    """An engine closes its connection within an answer.

    Guards against passing on a truncated answer as a complete one.
    """
    _, receiver, connection = receive_answer(raw)
    relay_wires.close(connection)
    assert not receiver.complete
    assert receiver.broken[0]


def test_answer_without_length_ends_with_its_connection():
    raw = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it'
    _, receiver, connection = receive_answer(raw)
    assert not receiver.complete
    relay_wires.close(connection)
    assert receiver.complete
    assert receiver.ended_by_close
    assert receiver.body == b'all of it'


def test_answer_without_length_that_is_reset_fails():
    """Only an orderly close shows that such an answer is complete.

    Guards against passing on a part of it after a reset.
    """
    raw = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of'
    _, receiver, connection = receive_answer(raw)
    relay_wires.reset(connection)
    assert not receiver.complete
    assert receiver.broken[0]


def test_bytes_that_are_no_answer_fail_the_request():
    _, receiver, connection = receive_answer(b'\x00\x01 nonsense\r\n\r\n')
    assert receiver.broken[0]
    assert connection.transport.aborted


def test_connection_that_is_to_be_closed_is_not_used_again():
    raw = WHOLE.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
    server, receiver, connection = receive_answer(raw)
    assert receiver.complete
    assert server.ask(relay_wires.Receiver()) is not connection


def test_keep_alive_timeout_of_the_engine_is_respected():
    """An engine closes idle connections after two seconds.

    Guards against a request that races with the close: it is lost, and a
    charge must not be repeated.
    """
    raw = WHOLE.replace(b'\r\n\r\n', b'\r\nKeep-Alive: timeout=2\r\n\r\n')
    server, _, connection = receive_answer(raw)
    server.reactor.advance(1.5)
    assert server.ask(relay_wires.Receiver()) is not connection


def test_early_answer_does_not_corrupt_the_next_request():
    """An engine answers before it has read all of a long body.

    Guards against a next request whose bytes the engine reads as the rest of
    that body.
    """
    server = relay_wires.Server()
    receiver = relay_wires.Receiver()
    body = b'x' * 100_000
    connection = server.ask(receiver, body=body)
    connection.dataReceived(WHOLE)
    assert receiver.complete
    server.ask(relay_wires.Receiver())
    sent = connection.transport.value()
    assert sent.index(b'GET') == sent.index(body) + len(body)


def test_refused_connection_has_sent_nothing():
    """Only in this case may a charge be sent to another engine."""
    server = relay_wires.Server()
    receiver = relay_wires.Receiver()
    server.pool.request(
        'e', relay_wires.ADDRESS, relay_wires.wire_request, receiver
    )
    server.refuse()
    assert receiver.broken[0] is False


def test_reset_after_the_request_may_have_run():
    _, receiver, connection = receive_answer(b'')
    relay_wires.reset(connection)
    assert receiver.broken[0] is True


def test_engine_that_took_over_an_address_gets_no_kept_connection():
    """An engine restarts at the same address.

    Guards against reuse of connections to the previous one.
    """
    server, _, connection = receive_answer(WHOLE)
    receiver = relay_wires.Receiver()
    assert server.ask(receiver, key='engine-2') is not connection


def test_request_that_must_not_repeat_gets_a_new_connection():
    """An idle connection may have been lost without notice.

    A request sent on it is lost, and it is unknown whether it ran.
    """
    server, _, connection = receive_answer(WHOLE)
    assert server.ask(relay_wires.Receiver(), fresh=True) is not connection
