"""Engines that reset new connections."""

from tests.common import relay_wires


def test_nothing_is_sent_on_a_connection_reset_right_after_it_opened():
    """An engine at its connection limit resets connections once open.

    It happens for seconds after all instances lost power, while the engine
    still counts their old connections. A call that was already written may
    have run, so its caller gets an error and can't retry. After one reset, the
    next calls wait briefly before they are written.
    """
    server = relay_wires.Server()
    first = relay_wires.Receiver()
    relay_wires.reset(server.ask(first, fresh=True))
    assert first.broken[0]
    second = relay_wires.Receiver()
    connection = server.ask(second, fresh=True)
    assert not connection.transport.value()
    relay_wires.reset(connection)
    assert second.broken == (False, 'reset before anything was sent')


def test_request_is_sent_when_the_connection_stays_open():
    server = relay_wires.Server()
    relay_wires.reset(server.ask(relay_wires.Receiver(), fresh=True))
    receiver = relay_wires.Receiver()
    connection = server.ask(receiver, fresh=True)
    server.reactor.advance(0.01)
    assert connection.transport.value().startswith(b'GET /one')
    connection.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
    assert receiver.complete


def test_connections_to_other_engines_are_not_delayed():
    """Only the engine that reset connections is affected, for seconds."""
    server = relay_wires.Server()
    relay_wires.reset(server.ask(relay_wires.Receiver(), fresh=True))
    other = server.ask(relay_wires.Receiver(), fresh=True, key='engine-2')
    assert other.transport.value()
    server.reactor.advance(6.0)
    again = server.ask(relay_wires.Receiver(), fresh=True)
    assert again.transport.value()


def test_nothing_is_sent_for_a_caller_that_left_during_the_delay():
    server = relay_wires.Server()
    relay_wires.reset(server.ask(relay_wires.Receiver(), fresh=True))
    receiver = relay_wires.Receiver()
    pending = server.pool.request(
        'engine-1',
        relay_wires.ADDRESS,
        relay_wires.wire_request,
        receiver,
        True,
    )
    server.accept()
    connection = server.connections[-1]
    pending.abandon()
    server.reactor.advance(0.01)
    assert not connection.transport.value()
    assert connection.transport.aborted
    assert receiver.broken is None
