"""The end of a planned stop: late requests are refused or never read.

A stopping instance serves until its last caller is gone, removes its entry
from the store, and ends. A call that arrived while it waited for the store's
answer was still sent to an engine, and the process ended milliseconds later
(4 ms in one log). Its caller got no answer, and a call that must not be
repeated could not be retried. So requests must be refused before the process
ends.
"""

import pytest

from tests.common import instance_world
from tests.common import relay_wires

CALL = (
    b'POST /booking/a HTTP/1.1\r\nHost: x\r\nId: r1\r\nContent-Length: 2\r\n'
    b'\r\nhi'
)
STREAM = CALL.replace(b'/booking/', b'/drafts/')
# By then the load balancer sends no new callers, and an instance without
# callers removes its entry.
EMPTY_SECONDS = 3.7
PAUSE_SECONDS = 3.5


def create_ending_world():
    """Return an instance that waits for the store to remove its entry."""
    world = instance_world.InstanceWorld()
    world.instance.stop()
    world.advance(EMPTY_SECONDS)
    assert len(world.store.removals) == 1
    return world


def assert_refused_as_not_run(connection):
    """Check for the one answer which promises that nothing has run."""
    [(status, _)] = instance_world.answers(connection)
    assert status == 503
    raw = connection.transport.value().lower()
    assert b'retry-after:' in raw
    assert b'connection: close' in raw


@pytest.mark.parametrize('request_bytes', [CALL, STREAM])
def test_request_on_a_new_connection_while_ending_is_refused(request_bytes):
    """A caller connects while the instance waits for the store's answer.

    The instance has no callers and is about to end. A request sent to an
    engine now would be cut when the process ends.
    """
    world = create_ending_world()
    before = world.engine_requests
    connection = world.connect()
    connection.dataReceived(request_bytes)
    assert world.engine_requests == before
    assert_refused_as_not_run(connection)


def test_request_in_pieces_while_ending_is_refused():
    """A request arrives byte by byte while the entry is removed."""
    world = create_ending_world()
    before = world.engine_requests
    connection = world.connect()
    for at in range(len(CALL)):
        connection.dataReceived(CALL[at : at + 1])
        world.advance(0.001)
    assert world.engine_requests == before
    assert_refused_as_not_run(connection)


def test_refusal_is_written_before_the_process_ends():
    """The store answers just after a late request was refused.

    The refusal has not been written completely to a caller on a slow link. If
    the process ended now, the caller's connection would end without an answer.
    """
    world = create_ending_world()
    connection = world.connect()
    connection.dataReceived(CALL)
    world.store.removals[0].callback(None)
    assert not world.ended
    relay_wires.close(connection)
    world.advance(0.2)
    assert world.ended


def test_half_read_request_at_the_stop_deadline_is_refused():
    """A caller is still sending its body when the stop has to end.

    If the connection were closed without an answer, the caller would not know
    whether its request has run.
    """
    world = instance_world.InstanceWorld()
    connection = world.connect()
    connection.dataReceived(CALL[:-1])
    world.instance.stop()
    world.advance(7.65)
    assert world.store.removals
    world.store.removals[0].callback(None)
    world.advance(0.05)
    assert_refused_as_not_run(connection)


def test_stop_ends_in_time_while_the_store_does_not_answer():
    """The store never answers the removal of the entry.

    A process that kept waiting would be killed, and its unwritten output would
    be lost.
    """
    world = instance_world.InstanceWorld()
    connection = world.connect()
    connection.dataReceived(CALL[:-1])
    world.instance.stop()
    world.advance(instance_world.GRACE_SECONDS - 0.1)
    assert world.store.removals
    assert world.ended


def test_no_caller_can_connect_once_the_instance_has_ended():
    """Otherwise a connection could be accepted but never read."""
    world = create_ending_world()
    world.store.removals[0].callback(None)
    world.advance(0.2)
    assert world.ended
    assert not world.listens


def test_time_for_a_stop_counts_from_the_signal():
    """A busy event loop notices the stop 0.6 s after the signal.

    The platform counts from the signal. An instance that counted from the
    notice would be killed while it still serves.
    """
    world = instance_world.InstanceWorld()
    connection = world.connect()
    connection.dataReceived(CALL[:-1])
    noticed_late = 0.6
    world.instance.stop(world.reactor.seconds() - noticed_late)
    world.advance(instance_world.GRACE_SECONDS - noticed_late - 0.1)
    assert world.ended


def stop_after_pause(world):
    """Stop an instance that stands still as the platform signals."""
    world.advance(1.0)
    world.reactor.rightNow += PAUSE_SECONDS
    world.instance.stop(world.instance.earliest_signal_at())


def test_time_for_a_stop_counts_from_before_a_pause_of_the_process():
    """Guards against calls that the platform cuts at the end of a stop.

    The process notices the signal only after the pause.
    """
    world = instance_world.InstanceWorld()
    connection = world.connect()
    connection.dataReceived(CALL[:-1])
    stop_after_pause(world)
    world.advance(instance_world.GRACE_SECONDS - PAUSE_SECONDS - 0.1)
    assert_refused_as_not_run(connection)
    assert world.ended


def test_new_callers_are_served_after_a_pause_of_the_process():
    """Guards against an end while callers are still sent to the instance.

    The load balancer learns of the stop only after the pause.
    """
    world = instance_world.InstanceWorld()
    stop_after_pause(world)
    world.advance(3.0)
    before = world.engine_requests
    world.connect().dataReceived(CALL)
    assert world.engine_requests > before


def test_second_stop_request_has_no_effect():
    """The platform signals again while the instance already stops."""
    world = create_ending_world()
    world.instance.stop()
    world.store.removals[0].callback(None)
    world.advance(0.2)
    assert world.ended
    assert len(world.store.removals) == 1


def test_instance_without_a_configuration_can_be_stopped():
    """It is stopped just after its start, without a reachable store."""
    world = instance_world.InstanceWorld(configured=False)
    world.instance.stop()
    world.advance(EMPTY_SECONDS)
    world.store.removals[0].callback(None)
    world.advance(0.2)
    assert world.ended


def create_nearly_empty_world():
    """Return an instance that is about to check for remaining callers."""
    world = instance_world.InstanceWorld()
    world.instance.stop()
    world.advance(3.45)
    return world


def test_connection_with_half_a_head_is_not_closed_as_idle():
    """The head of a request arrives in two parts during a stop.

    If the connection were closed in between, its caller would not know whether
    the request has run.
    """
    world = create_nearly_empty_world()
    connection = world.connect()
    connection.dataReceived(CALL[:25])
    world.advance(0.2)
    assert not connection.transport.disconnecting
    connection.dataReceived(CALL[25:])
    world.advance(0.01)
    assert world.engine_requests


def test_refusal_can_be_read_during_a_stop():
    """A caller sends a body that is too large just before the check.

    It is still sending. If the connection were closed with unread bytes, it
    would be reset, and the refusal could be lost.
    """
    world = create_nearly_empty_world()
    connection = world.connect()
    connection.dataReceived(
        b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n'
    )
    world.reactor.advance(0.1)
    world.reactor.advance(0.1)
    assert connection.transport.half_closed
    assert not connection.transport.disconnecting


def test_half_read_request_is_refused_before_waiting_for_the_store():
    """The store does not answer at the end of the stop.

    A caller that is still sending needs the remaining time to read that its
    request has not run.
    """
    world = instance_world.InstanceWorld()
    connection = world.connect()
    connection.dataReceived(CALL[:-1])
    world.instance.stop()
    world.reactor.advance(7.65)
    world.reactor.advance(0.01)
    assert_refused_as_not_run(connection)


def test_no_heartbeat_is_sent_after_the_leave_message():
    """The store does not answer, so the instance waits before it ends.

    After a further heartbeat, other instances would rely on it to read the
    store for them, seconds after it has ended.
    """
    world = instance_world.InstanceWorld()
    beats = []
    world.instance.peers.send_heartbeat = lambda leaving=False: beats.append(
        leaving
    )
    connection = world.connect()
    connection.dataReceived(CALL[:-1])
    world.instance.next_heartbeat_at = world.reactor.seconds() + 7.65
    world.instance.stop()
    world.advance(instance_world.GRACE_SECONDS)
    assert beats[-1] is True


def test_stop_ends_if_the_store_request_raises():
    """The request to remove the entry raises an error at once."""
    world = instance_world.InstanceWorld()

    def broken(member):
        raise ValueError('no address')

    world.store.unregister = broken
    world.instance.stop()
    world.advance(EMPTY_SECONDS)
    assert world.ended


def test_entry_that_may_have_been_written_is_removed():
    """A stop is requested before the store has answered the registration.

    The entry may be in the store already. If it were left, other instances
    would rely on an instance that has ended.
    """
    world = instance_world.InstanceWorld(registers=False)
    world.instance.stop()
    world.advance(EMPTY_SECONDS)
    assert len(world.store.removals) == 1


def test_connection_that_awaits_its_first_request_is_not_closed_as_idle():
    """Guards against closing a connection whose request is on its way."""
    world = create_nearly_empty_world()
    connection = world.connect()
    world.advance(0.2)
    assert not connection.transport.disconnecting
    connection.dataReceived(CALL)
    world.advance(0.01)
    assert world.engine_requests


def test_connection_without_a_request_delays_the_end_for_a_second_at_most():
    """Guards against a stop that waits for a silent connection."""
    world = create_nearly_empty_world()
    connection = world.connect()
    world.advance(1.15)
    assert connection.transport.disconnecting


def test_first_request_after_the_port_is_closed_is_refused():
    """Guards against losing the request of the last accepted connection."""
    world = create_ending_world()
    connection = world.connect()
    world.store.removals[0].callback(None)
    world.advance(0.1)
    assert not world.listens
    before = world.engine_requests
    connection.dataReceived(CALL[:25])
    assert world.engine_requests == before
    assert_refused_as_not_run(connection)
