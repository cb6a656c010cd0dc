"""Permits of one engine's limit: who gets them, and how many."""

from hypothesis import given
from hypothesis import strategies

from greengagelb.coordination.sharing import permits
from greengagelb.state import limits

LIFE = 'engine 1'
GRANTED = limits.Verdict.GRANTED


def issuer(rate=2.0, share=1.0, seconds=1e6):
    """Return an issuer with a long lease of a part."""
    permit_issuer = permits.PermitIssuer(rate, 100.0)
    lease = limits.LeaseGrant(LIFE, share, 0.0, 100.0)
    permit_issuer.add_lease('i0', lease, 100.0 + seconds, 100.0)
    return permit_issuer


def ask(permit_issuer, number, now, account='one', *, wait=5.0, urgent=False):
    wanted = limits.PermitRequestMessage(
        LIFE, number, account, urgent, wait, permit_issuer.rate, 1
    )
    return permit_issuer.request_permit(wanted, ('i1', number), now)


def granted(answers):
    return [a.request_key[1] for a in answers if a.verdict is GRANTED]


@given(
    rate=strategies.sampled_from([0.1, 0.5, 2.0, 20.0]),
    steps=strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 3.0), strategies.integers(0, 8)
        ),
        max_size=40,
    ),
)
def test_no_more_permits_than_accrued(rate, steps):
    """Guards against exceeding the limit in any window of 4 s."""
    permit_issuer = issuer(rate)
    now, number, times = 100.0, 0, []
    for seconds, count in steps:
        now += seconds
        for _ in range(count):
            number += 1
            ask(permit_issuer, number, now)
        times += [now] * len(granted(permit_issuer.take_answers(now)))
    for at in times:
        window = [t for t in times if at <= t < at + 4.0]
        saved = 1.0 + rate * permits.MAX_SAVED_SECONDS
        assert len(window) <= 4.0 * rate + saved + 1e-6


def test_small_parts_are_not_saved_up():
    """Guards against many isolated instances that grant at the same moment."""
    at_once = 0
    for number in range(200):
        permit_issuer = permits.PermitIssuer(2.0, 100.0, number / 200)
        lease = limits.LeaseGrant(LIFE, 1 / 200, 0.0, 100.0)
        permit_issuer.add_lease('i0', lease, 1e9, 100.0)
        permit_issuer.take_answers(100.0)
        for wait in (1000.0, 1001.0, 1002.0, 1003.0):
            ask(permit_issuer, int(wait), wait, wait=0.0)
            at_once += len(granted(permit_issuer.take_answers(wait)))
    assert 4 <= at_once <= 1.5 * 2.0 * 4.0 + 5


def test_an_account_with_many_requests_does_not_starve_others():
    """Guards against an account that uses up the rate of another."""
    permit_issuer = issuer()
    for number in range(1, 9):
        ask(permit_issuer, number, 100.0, 'flood', wait=60.0)
    permit_issuer.take_answers(100.0)
    ask(permit_issuer, 100, 100.1, 'calm')
    permit_issuer.take_answers(100.1)
    first = granted(permit_issuer.take_answers(101.1))
    assert 100 in first


def test_urgent_requests_are_granted_first():
    """Guards against resumes that wait behind new work."""
    permit_issuer = issuer()
    for number in range(1, 5):
        ask(permit_issuer, number, 100.0, f'a{number}')
    permit_issuer.take_answers(100.0)
    ask(permit_issuer, 100, 100.1, 'a9', urgent=True)
    permit_issuer.take_answers(100.1)
    assert granted(permit_issuer.take_answers(100.6)) == [100]


def test_a_request_that_would_wait_too_long_is_denied_at_once():
    """Guards against requests that are held until their deadline."""
    permit_issuer = issuer()
    for number in range(1, 4):
        ask(permit_issuer, number, 100.0, wait=1.6)
    permit_issuer.take_answers(100.0)
    ask(permit_issuer, 4, 100.0, wait=1.6)
    [answer] = permit_issuer.take_answers(100.0)
    assert answer.verdict is limits.Verdict.DENIED
    assert answer.wait_seconds == 2.0


def test_a_repeated_request_gets_one_permit():
    """Guards against lost datagrams that double the permits."""
    permit_issuer = issuer()
    ask(permit_issuer, 1, 100.0)
    permit_issuer.take_answers(100.0)
    assert granted(permit_issuer.take_answers(100.5)) == [1]
    assert ask(permit_issuer, 1, 100.6).verdict is GRANTED
    assert granted(permit_issuer.take_answers(101.5)) == []
    assert permit_issuer.available_permits > 0.9


def test_a_returned_permit_goes_to_the_next_request():
    """Guards against permits that are lost with callers that leave."""
    permit_issuer = issuer()
    ask(permit_issuer, 1, 100.0)
    ask(permit_issuer, 2, 100.0)
    permit_issuer.take_answers(100.0)
    assert granted(permit_issuer.take_answers(100.5)) == [1]
    permit_issuer.return_permit(('i1', 1), 100.6)
    assert granted(permit_issuer.take_answers(100.6)) == [2]


def test_expired_parts_leave_no_saved_permits():
    """Guards against a frozen issuer that grants what it had saved."""
    permit_issuer = issuer(seconds=3.0)
    permit_issuer.take_answers(102.9)
    ask(permit_issuer, 1, 110.0)
    assert granted(permit_issuer.take_answers(110.0)) == []
