"""Permits that come too late, or twice, to the instance that wants them."""

from greengagelb.coordination.sharing import limit_keeper
from greengagelb.state import limits

LIFE = 'engine 1'
OTHER = 'other'


def keeper_and_question():
    """Return an instance that has asked another one for a permit."""
    keeper = limit_keeper.LimitKeeper('own')
    keeper.ranking.members = lambda life: (OTHER,)
    keeper.ranking.has_part = lambda life: False
    keeper.told(limits.LimitNews(LIFE, 2.0, 1), 100.0)
    number = keeper.ask(LIFE, 'one', 100.5, 100.0)
    [question] = keeper.outgoing
    assert question.receiver == OTHER
    keeper.outgoing.clear()
    return keeper, number


def answer(number, verdict=limits.Verdict.GRANTED):
    return limits.PermitAnswer(LIFE, number, verdict, 0.1, 1.0)


def test_a_permit_that_is_granted_twice_is_used_once():
    """Guards against a limit that is doubled by questions asked again."""
    keeper, number = keeper_and_question()
    for _ in range(3):
        keeper.hear(OTHER, answer(number), 100.1)
    assert keeper.outcomes == [limit_keeper.Granted(number, OTHER)]
    assert keeper.outgoing == []


def test_a_permit_that_is_read_after_a_freeze_is_given_back():
    """Guards against a process that wakes up and spends old permits."""
    keeper, number = keeper_and_question()
    keeper.hear(OTHER, answer(number), 105.0)
    [outcome] = keeper.outcomes
    assert isinstance(outcome, limit_keeper.Denied)
    [returned] = keeper.outgoing
    assert returned.message == limits.PermitReturned(LIFE, number)


def test_an_issuer_that_never_answers_is_passed_over():
    """Guards against callers who all wait for an instance that is dead."""
    keeper, _ = keeper_and_question()
    keeper.ranking.has_part = lambda life: True
    now = 100.0
    while now < 102.0:
        now += 0.01
        if not keeper.asks:
            keeper.ask(LIFE, 'one', now + 0.1, now)
        keeper.due(now)
    assert keeper.ranking.issuer_of(LIFE, now) == 'own'
    keeper.hear(OTHER, limits.LeaseWanted(LIFE, 1.0), now)
    keeper.ranking.rankings.clear()
    assert OTHER not in keeper.ranking.passed_over


def test_a_permit_for_a_request_that_is_gone_goes_back():
    """Guards against a rate that is lost with callers who leave."""
    keeper, number = keeper_and_question()
    keeper.hear(OTHER, answer(number), 100.1)
    [granted] = keeper.outcomes
    keeper.give_back(LIFE, granted, 100.2)
    [returned] = keeper.outgoing
    assert returned.receiver == OTHER


def test_a_lease_that_comes_after_its_part_was_returned_is_none():
    """Guards against an issuer that begins again with parts of before."""
    keeper, _ = keeper_and_question()
    wanted = limits.PermitWanted(LIFE, 1, 'one', False, 5.0, 2.0, 1)
    keeper.hear(OTHER, wanted, 101.0)
    found = keeper.issuing.issued[LIFE]
    keeper.issuing.hand_over(LIFE, found, 101.5)
    keeper.hear(OTHER, wanted, 102.0)
    late = limits.Leased(LIFE, 0.5, 0.0, 101.0)
    keeper.hear(OTHER, late, 102.1)
    issuer = keeper.issuing.issued[LIFE].issuer
    assert not issuer.borrowed.total(102.1)
    keeper.hear(OTHER, limits.Leased(LIFE, 0.5, 0.0, 102.0), 102.2)
    assert issuer.borrowed.total(102.2) == 0.5
