"""Log entries about requests that are in flight when engines crash."""

from greengagelb.coordination import actions as common_actions
from tests.common import relay_world

BODY = b'the same content'


def reasons(world, kind):
    """Return the reasons of all time line events of a kind."""
    records = world.of_kind(common_actions.Record)
    return [record.reason for record in records if record.kind == kind]


def fingerprint_sent(world, **fields):
    """Return the fingerprint in the log line of a new request's send."""
    world.ask(**fields)
    [found] = [
        part
        for part in reasons(world, 'sent')[-1].split(', ')
        if part.startswith('fingerprint ')
    ]
    return found


def test_repeated_request_has_the_same_fingerprint():
    """Guards against repeated requests that can't be correlated in the log.

    A caller repeats a failed request with a new id at another instance.
    """
    here = relay_world.RelayWorld(seed=1)
    there = relay_world.RelayWorld(seed=2)
    first = fingerprint_sent(here, body=BODY)
    assert fingerprint_sent(here, body=BODY) == first
    assert fingerprint_sent(there, body=BODY) == first


def test_different_requests_have_different_fingerprints():
    """Guards against a log in which two requests look the same."""
    world = relay_world.RelayWorld()
    told = {
        fingerprint_sent(world, body=BODY),
        fingerprint_sent(world, body=b'other'),
        fingerprint_sent(world, body=BODY, target=b'/drafts/2'),
        fingerprint_sent(world, body=b'', target=b'/drafts/1?page=1'),
        fingerprint_sent(world, body=b'', target=b'/drafts/1?page=2'),
    }
    assert len(told) == 5


def test_requests_with_a_common_part_can_be_correlated():
    """Guards against a log that doesn't tell what crashed requests share."""
    world = relay_world.RelayWorld()
    for number in range(2):
        parts = ('system prompt', f'document {number}')
        world.ask(body=b'%d' % number, shared_parts=parts)
    told = [
        set(part.split()[1:])
        for reason in reasons(world, 'sent')
        for part in reason.split(', ')
        if part.startswith('parts ')
    ]
    assert [len(parts) for parts in told] == [2, 2]
    assert len(told[0] & told[1]) == 1


def test_lost_send_records_whether_the_answer_had_begun():
    """Guards against log entries that omit how far a lost answer had come."""
    world = relay_world.RelayWorld()
    waiting = world.last_send(world.ask())
    world.lose(waiting)
    begun = world.last_send(waiting.exchange)
    world.now += 1.0
    world.begin(begun)
    world.now += 0.25
    world.events(begun, 1, 2)
    world.lose(begun)
    assert reasons(world, 'send-lost') == [
        'ConnectionLost; no answer begun',
        'ConnectionLost; 2 events in 0.250 s',
    ]
