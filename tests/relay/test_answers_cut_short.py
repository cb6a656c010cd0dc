"""Answers of engines that are cut, in their heads or right after them."""

import pytest

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from tests.common import answer_forms
from tests.common import engine_answers
from tests.common import relay_wires
from tests.common import relay_world

CLOSES = {'closed': relay_wires.close, 'reset': relay_wires.reset}
EVENT = b'id: 1\ndata: x\n\n'
BODIES = {'call': b'charged', 'query': b'found', 'stream': EVENT}
# What may come of them before the connection closes.
PARTS = {
    'call': [b'', b'cha'],
    'query': [b'', b'fo'],
    'stream': [b'', EVENT],
}


def play(ask, cut, end):
    """Answer a request with some bytes, and close; return what came of it."""
    side = engine_answers.Side()
    send, connection = side.send(ask)
    connection.dataReceived(cut(send))
    if not connection.transport.aborted:
        CLOSES[end](connection)
    return side, send


def answer(send, form, body, lines=None):
    """Return an answer in a form, or only the first lines of its head."""
    echo = b'Id: ' + send.request.request_id.encode()
    return answer_forms.write_answer(form, [echo, b'Seal: s'], body, lines)


def passes_on(side):
    """Have decisions handle all events; return what the caller gets whole."""
    for event in side.events:
        side.world.handle(event)
    whole = side.world.of_kind(relay_actions.PassAnswer)
    return [*whole, *side.world.of_kind(relay_actions.EndStream)]


@pytest.mark.parametrize('end', CLOSES)
@pytest.mark.parametrize('form', answer_forms.FRAMING)
@pytest.mark.parametrize('ask', BODIES)
def test_answer_cut_at_any_byte_of_its_head_is_none(ask, form, end):
    """Guards against an empty success in place of an answer that was cut."""
    body = BODIES[ask]
    side = engine_answers.Side()
    whole = answer(side.send(ask)[0], form, body)
    for length in range(whole.index(b'\r\n\r\n') + 4):
        side, _ = play(ask, lambda s, n=length: answer(s, form, body)[:n], end)
        [event] = side.events
        assert isinstance(event, relay_events.SendFailed)
        assert event.handed_over
        assert not passes_on(side)


@pytest.mark.parametrize('end', CLOSES)
@pytest.mark.parametrize(
    ('ask', 'part'), [(ask, part) for ask in PARTS for part in PARTS[ask]]
)
def test_answer_whose_head_lost_its_framing_is_none(ask, part, end):
    """Guards against a head that ends early, and a part framed as whole.

    The engine lost the rest of its head, ended it and closed. It lives, so a
    check finds nothing wrong.
    """
    side, send = play(ask, lambda s: answer(s, 'length', part, lines=3), end)
    for event in list(side.events):
        side.world.handle(event)
    side.events.clear()
    alive = relay_events.EngineFate.ALIVE
    for check in side.world.of_kind(relay_actions.CheckEngine):
        side.world.handle(relay_events.EngineChecked(check.entry, alive))
    assert not passes_on(side)
    if ask == 'call':
        [refused] = side.world.refusals(send.exchange)
        assert refused.status == 502
    else:
        assert len(side.world.sends(send.exchange)) == 2


@pytest.mark.parametrize('form', ['announced', 'http-1.0'])
@pytest.mark.parametrize('ask', BODIES)
def test_answer_that_its_close_ends_is_whole_if_the_head_says_so(ask, form):
    """Guards against whole answers that are taken for cut ones."""
    side, _ = play(ask, lambda s: answer(s, form, BODIES[ask]), 'closed')
    ended = side.events[-1]
    assert ended.ended_by_close
    assert not isinstance(ended, relay_events.SendFailed)


@pytest.mark.parametrize('ask', relay_world.ASK)
def test_chunk_cut_in_its_size_or_trailer_is_no_end(ask):
    """Guards against an answer that ends within the framing of its end."""
    body = BODIES[ask]
    side = engine_answers.Side()
    send, _ = side.send(ask)
    whole = answer(send, 'chunks', body)
    for lost in range(1, len(b'\r\n0\r\n\r\n')):
        side, _ = play(
            ask, lambda s, n=lost: answer(s, 'chunks', body)[:-n], 'closed'
        )
        assert isinstance(side.events[-1], relay_events.SendFailed), lost
    assert whole.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize('status', answer_forms.INVALID_STATUSES)
@pytest.mark.parametrize('ask', BODIES)
def test_answer_with_an_invalid_status_is_none(ask, status):
    """Guards against a number that is no status passed on as one."""

    def invalid(send):
        whole = answer(send, 'length', BODIES[ask])
        return whole.replace(b'1.1 200 OK', b'1.1 %s OK' % status)

    side, _ = play(ask, invalid, 'closed')
    [event] = side.events
    assert isinstance(event, relay_events.SendFailed)
    assert event.handed_over
