"""The end of a planned stop: what still comes is answered or never read.

An instance that was asked to stop serves on until its last caller is gone,
takes its entry back in the store, and ends. On days on which all instances
were stopped in turn, callers lost calls that had come in the last
milliseconds: the instance had no caller left and waited for the store's
answer, its port was open, and it sent the call to an engine as at any other
time. Then the process ended. The caller got no answer, and as the call must
not repeat nobody could send it again. The log proved it: the call was sent
4 ms after the line that tells of the end of the stop. The cause is that
nothing but the process itself ended the taking of requests.
"""

import pytest

from tests.common import instance_world
from tests.common import relay_wires

CALL = (
    b'POST /booking/a HTTP/1.1\r\nHost: x\r\nId: r1\r\nContent-Length: 2\r\n'
    b'\r\nhi'
)
STREAM = CALL.replace(b'/booking/', b'/drafts/')
# By then the balancer sends no new callers, and an instance that nobody uses
# takes its entry back.
EMPTY_SECONDS = 3.7


def create_ending_world():
    """Return an instance that waits for the store to remove its entry."""
    world = instance_world.InstanceWorld()
    world.instance.stop()
    world.advance(EMPTY_SECONDS)
    assert len(world.store.removals) == 1
    return world


def assert_refused_as_not_run(connection):
    """Check for the one answer that promises that nothing has run."""
    [(status, _)] = instance_world.answers(connection)
    assert status == 503
    raw = connection.transport.value().lower()
    assert b'retry-after:' in raw
    assert b'connection: close' in raw


@pytest.mark.parametrize('request_bytes', [CALL, STREAM])
def test_request_on_a_new_connection_while_ending_is_refused(request_bytes):
    """A caller connects while the instance waits for the store's answer.

    Nobody is served here any more, so the instance is about to end. A request
    that it sent to an engine now would be cut with the process.
    """
    world = create_ending_world()
    before = world.engine_requests
    connection = world.connect()
    connection.dataReceived(request_bytes)
    assert world.engine_requests == before
    assert_refused_as_not_run(connection)


def test_request_in_pieces_while_ending_is_refused():
    """The bytes of a request come one by one while the entry is removed."""
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

    The refusal is still on its way to a caller behind a slow link. What is not
    written yet is lost with the process, and the caller sees a connection that
    ends without an answer.
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

    The connection would end without a word, and the caller would not know
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
    """The store takes the removal of the entry and never answers.

    A process that waited for it would be killed, and what it had still to
    write would be lost.
    """
    world = instance_world.InstanceWorld()
    connection = world.connect()
    connection.dataReceived(CALL[:-1])
    world.instance.stop()
    world.advance(instance_world.GRACE_SECONDS - 0.1)
    assert world.store.removals
    assert world.ended


def test_no_caller_can_connect_once_the_instance_has_ended():
    """Else a caller could be accepted whom nobody reads any more."""
    world = create_ending_world()
    world.store.removals[0].callback(None)
    world.advance(0.2)
    assert world.ended
    assert not world.listens


def test_time_for_a_stop_counts_from_the_signal():
    """The loop is busy while the signal comes, and looks 0.6 s later.

    The platform counts from the signal. An instance that counted from its own
    look would be killed while it still serves.
    """
    world = instance_world.InstanceWorld()
    connection = world.connect()
    connection.dataReceived(CALL[:-1])
    noticed_late = 0.6
    world.instance.stop(world.reactor.seconds() - noticed_late)
    world.advance(instance_world.GRACE_SECONDS - noticed_late - 0.1)
    assert world.ended


def test_second_stop_request_has_no_effect():
    """The platform signals again while the instance already stops."""
    world = create_ending_world()
    world.instance.stop()
    world.store.removals[0].callback(None)
    world.advance(0.2)
    assert world.ended
    assert len(world.store.removals) == 1


def test_instance_without_a_configuration_can_be_stopped():
    """It is asked to stop just after its start, with the store away."""
    world = instance_world.InstanceWorld(configured=False)
    world.instance.stop()
    world.advance(EMPTY_SECONDS)
    world.store.removals[0].callback(None)
    world.advance(0.2)
    assert world.ended


def create_nearly_empty_world():
    """Return an instance that is just about to look who is still served."""
    world = instance_world.InstanceWorld()
    world.instance.stop()
    world.advance(3.45)
    return world


def test_connection_with_half_a_head_is_not_closed_as_idle():
    """The head of a request comes in two parts while a stop goes on.

    Closed between them, its caller gets no answer and can't know whether the
    request has run.
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
    """A caller sends too large a body just before the instance looks again.

    It still sends. Closed with its bytes unread, the connection would be
    reset, and the refusal could be lost on its way.
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
    """The store is silent as the stop ends.

    A caller who is still sending needs the rest of the time to read that its
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
    """The store is silent, so the instance waits before it ends.

    A further heartbeat would bring it back: its neighbours would count on it
    to read the store for them, seconds after it has gone.
    """
    world = instance_world.InstanceWorld()
    beats = []
    world.instance.peers.beat = lambda leaving=False: beats.append(leaving)
    connection = world.connect()
    connection.dataReceived(CALL[:-1])
    world.instance.next_beat = world.reactor.seconds() + 7.65
    world.instance.stop()
    world.advance(instance_world.GRACE_SECONDS)
    assert beats[-1] is True


def test_stop_ends_if_the_store_request_raises():
    """Asking the store to remove the entry raises an error at once."""
    world = instance_world.InstanceWorld()

    def broken(member):
        raise ValueError('no address')

    world.store.unregister = broken
    world.instance.stop()
    world.advance(EMPTY_SECONDS)
    assert world.ended


def test_entry_that_may_have_been_written_is_removed():
    """A stop is asked for while the store has not answered the registration.

    The entry may be there already. Left behind, it would make the others count
    on an instance that is gone.
    """
    world = instance_world.InstanceWorld(registers=False)
    world.instance.stop()
    world.advance(EMPTY_SECONDS)
    assert len(world.store.removals) == 1
