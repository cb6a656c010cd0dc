"""Answers of upstreams that are cut, in their heads or right after them."""

import pytest

from greengagelb.coordination import events
from tests.common import answer_forms
from tests.common import upstream_answers

BODY = b'done'


def answer(form, lines=None):
    """Return an answer to a call, or only the first lines of its head."""
    echo = upstream_answers.ECHO.rstrip().split(b'\r\n')
    return answer_forms.write_answer(form, echo, BODY, lines)


def answered_with(raw):
    """Return the one event that comes of an answer and a close."""
    side = upstream_answers.Side()
    wire = side.call()
    wire.protocol.dataReceived(raw)
    if not side.events:
        wire.break_off()
    [event] = side.events
    return event


@pytest.mark.parametrize('form', answer_forms.FRAMING)
def test_call_answered_in_part_may_have_run(form):
    """Guards against an empty or short success in place of a cut answer.

    The outcome of the call is unknown, at whatever byte its answer was cut.
    """
    whole = answer(form)
    for length in range(len(whole)):
        event = answered_with(whole[:length])
        assert isinstance(event, events.CallBroken), length
        assert event.handed_over


@pytest.mark.parametrize('kept', [0, 2, 4])
def test_call_whose_answer_lost_its_framing_may_have_run(kept):
    """Guards against a head that ends early, and a part framed as whole."""
    raw = answer('length', lines=3)
    event = answered_with(raw[: len(raw) - len(BODY) + kept])
    assert isinstance(event, events.CallBroken)
    assert event.handed_over


@pytest.mark.parametrize('form', answer_forms.FRAMING)
def test_only_a_length_or_chunks_end_an_answer(form):
    """Guards against a close that is taken for the end of an answer.

    Services of the own interface state where their answers end; a close may
    come from a process that dies.
    """
    event = answered_with(answer(form))
    if form in ('length', 'chunks'):
        assert event == events.CallAnswered(1, 200, BODY)
    else:
        assert isinstance(event, events.CallBroken)


@pytest.mark.parametrize('form', answer_forms.FRAMING)
def test_generation_cut_at_any_byte_is_broken(form):
    """Guards against a generation that ends where its connection did.

    An engine says in an event of its own that a generation has ended.
    """
    tokens = b'event: tokens\ndata: {"generation": 1, "att'
    fields = answer_forms.FRAMING[form](tokens + b'...')
    head = b'\r\n'.join([b'HTTP/1.1 200 OK', *fields]) + b'\r\n\r\n'
    for length in range(len(head + tokens) + 1):
        side = upstream_answers.Side()
        wire = side.stream()
        wire.protocol.dataReceived((head + tokens)[:length])
        wire.break_off()
        assert isinstance(side.events[-1], events.AttemptBroken), length


@pytest.mark.parametrize('status', answer_forms.INVALID_STATUSES)
@pytest.mark.parametrize('ask', ['probe', 'cancel', 'stream', 'call'])
def test_answer_with_an_invalid_status_is_none(ask, status):
    """Guards against a number that is no status passed on as one."""
    side = upstream_answers.Side()
    wire = getattr(side, ask)()
    valid = b'HTTP/1.1 200 OK'
    invalid = b'HTTP/1.1 %s OK' % status
    wire.protocol.dataReceived(answer('length').replace(valid, invalid))
    wire.break_off()
    [event] = side.events
    upstream_answers.assert_unanswered(event)
