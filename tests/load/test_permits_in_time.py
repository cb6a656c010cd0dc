"""Permits that arrive late or twice, and issuers that do not answer."""

from greengagelb.coordination.sharing import issuer_ranking
from greengagelb.coordination.sharing import limit_keeper
from greengagelb.state import limits

LIFE = 'engine 1'
OTHER = 'other'


def keeper_with_request():
    """Return an instance that has requested a permit from another one."""
    keeper = limit_keeper.LimitKeeper('own')
    keeper.ranking.members = lambda life: (OTHER,)
    keeper.ranking.has_part = lambda life: False
    keeper.merge_limit(limits.LimitUpdate(LIFE, 2.0, 1), 100.0)
    number = keeper.request_permit(LIFE, 'one', 100.5, 100.0)
    [question] = keeper.outgoing
    assert question.receiver == OTHER
    keeper.outgoing.clear()
    return keeper, number


def answer(number, verdict=limits.Verdict.GRANTED):
    return limits.PermitAnswer(LIFE, number, verdict, 0.1, 1.0)


def test_a_permit_that_is_granted_twice_is_used_once():
    """Guards against a limit that is doubled by repeated requests."""
    keeper, number = keeper_with_request()
    for _ in range(3):
        keeper.handle_message(OTHER, answer(number), 100.1)
    assert keeper.outcomes == [limit_keeper.Granted(number, OTHER)]
    assert keeper.outgoing == []


def test_a_permit_read_after_a_freeze_is_returned():
    """Guards against a resumed process that uses old permits."""
    keeper, number = keeper_with_request()
    keeper.handle_message(OTHER, answer(number), 105.0)
    [outcome] = keeper.outcomes
    assert isinstance(outcome, limit_keeper.Denied)
    [returned] = keeper.outgoing
    assert returned.message == limits.PermitReturned(LIFE, number)


def test_an_issuer_that_never_answers_is_skipped():
    """Guards against callers that all wait for a dead instance."""
    keeper, _ = keeper_with_request()
    keeper.ranking.has_part = lambda life: True
    now = 100.0
    while now < 102.0:
        now += 0.01
        if not keeper.requests:
            keeper.request_permit(LIFE, 'one', now + 0.1, now)
        keeper.run_due(now)
    assert keeper.ranking.issuer_of(LIFE, now) == 'own'
    keeper.handle_message(OTHER, limits.LeaseRequest(LIFE, 1.0), now)
    keeper.ranking.rankings.clear()
    assert not keeper.ranking.is_skipped(OTHER, now)
    assert keeper.ranking.issuer_of(LIFE, now) == OTHER


def skip_other(keeper):
    """Let an instance find another one silent; return the time."""
    now = 100.0
    while not keeper.ranking.is_skipped(OTHER, now):
        now += 0.01
        keeper.run_due(now)
    return now


def test_a_skipped_issuer_is_used_again_once_it_answers():
    """Guards against losses that split permits among several issuers.

    A few lost datagrams look like a dead instance.
    """
    keeper, _ = keeper_with_request()
    keeper.ranking.has_part = lambda life: True
    now = skip_other(keeper)
    keeper.run_due(now)
    asked = issuer_ranking.OutgoingMessage(OTHER, limits.LivenessQuery())
    assert asked in keeper.outgoing
    assert keeper.ranking.issuer_of(LIFE, now) == 'own'
    keeper.handle_message(OTHER, limits.LivenessReply(), now + 0.002)
    assert keeper.ranking.issuer_of(LIFE, now + 0.002) == OTHER


def test_a_silent_issuer_is_reported_once_and_probed_rarely():
    """Guards against each instance finding out by a failed request.

    In a large fleet heartbeats are rare, and each instance asks an issuer
    rarely.
    """
    keeper, _ = keeper_with_request()
    keeper.ranking.has_part = lambda life: True
    now = skip_other(keeper)
    for _ in range(1000):
        now += 0.01
        keeper.run_due(now)
    told = [o for o in keeper.outgoing if not o.receiver]
    assert [o.message for o in told] == [limits.IssuerSilent(OTHER)]
    asked = issuer_ranking.OutgoingMessage(OTHER, limits.LivenessQuery())
    assert 5 <= keeper.outgoing.count(asked) <= 12


def test_a_reported_silent_issuer_is_probed_before_it_is_skipped():
    """Guards against one bad link that makes all instances skip an issuer."""
    keeper, _ = keeper_with_request()
    keeper.ranking.has_part = lambda life: True
    keeper.handle_message('third', limits.IssuerSilent(OTHER), 100.01)
    keeper.run_due(100.01)
    asked = issuer_ranking.OutgoingMessage(OTHER, limits.LivenessQuery())
    assert asked in keeper.outgoing
    keeper.handle_message(OTHER, limits.LivenessReply(), 100.012)
    assert keeper.ranking.issuer_of(LIFE, 100.012) == OTHER
    for number in range(2 * issuer_ranking.MAX_SUSPECTED):
        told = limits.IssuerSilent(f'stranger {number}')
        keeper.handle_message('third', told, 100.02)
    most = issuer_ranking.MAX_SUSPECTED
    assert len(keeper.ranking.suspected) <= most


def test_an_instance_reported_as_silent_answers():
    """Guards against a working issuer that no instance uses."""
    keeper = limit_keeper.LimitKeeper('own')
    keeper.handle_message(OTHER, limits.IssuerSilent('own'), 100.0)
    [answered] = keeper.outgoing
    assert answered == issuer_ranking.OutgoingMessage(
        OTHER, limits.LivenessReply()
    )


def test_next_ranked_issuers_are_probed_as_well():
    """Guards against one failed request for each unreachable issuer.

    A data centre that is cut off removes several of the highest ranked
    issuers.
    """
    keeper = limit_keeper.LimitKeeper('own')
    others = [f'other {number}' for number in range(6)]
    keeper.ranking.members = lambda life: others
    keeper.merge_limit(limits.LimitUpdate(LIFE, 2.0, 1), 100.0)
    keeper.ranking.issuer_of(LIFE, 100.0)
    [ranking] = keeper.ranking.rankings.values()
    keeper.request_permit(LIFE, 'one', 100.2, 100.0)
    now = 100.0
    while now < 101.0:
        now += 0.005
        keeper.run_due(now)
    before_own = ranking.names[: ranking.names.index('own')]
    assert len(before_own) > 1
    assert all(keeper.ranking.is_skipped(n, now) for n in before_own)


def test_a_permit_for_a_request_that_is_gone_is_returned():
    """Guards against permits that are lost with callers that leave."""
    keeper, number = keeper_with_request()
    keeper.handle_message(OTHER, answer(number), 100.1)
    [granted] = keeper.outcomes
    keeper.return_permit(LIFE, granted, 100.2)
    [returned] = keeper.outgoing
    assert returned.receiver == OTHER


def test_a_lease_that_arrives_after_its_part_was_returned_is_ignored():
    """Guards against an issuer that starts again with returned parts."""
    keeper, _ = keeper_with_request()
    wanted = limits.PermitRequestMessage(LIFE, 1, 'one', False, 5.0, 2.0, 1)
    keeper.handle_message(OTHER, wanted, 101.0)
    found = keeper.issuers.lives[LIFE]
    keeper.issuers.hand_over(LIFE, found, 101.5)
    keeper.handle_message(OTHER, wanted, 102.0)
    late = limits.LeaseGrant(LIFE, 0.5, 0.0, 101.0)
    keeper.handle_message(OTHER, late, 102.1)
    issuer = keeper.issuers.lives[LIFE].permit_issuer
    assert not issuer.borrowed.total_share(102.1)
    keeper.handle_message(
        OTHER, limits.LeaseGrant(LIFE, 0.5, 0.0, 102.0), 102.2
    )
    assert issuer.borrowed.total_share(102.2) == 0.5
