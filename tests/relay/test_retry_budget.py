"""The retry budget that all instances share."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from greengagelb import errors
from greengagelb.coordination import actions as common_actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import shared_retry_budget
from greengagelb.protocol import relay_hints
from greengagelb.state.relay import hints
from tests.common import relay_world

# One second of an instance: its requests, and the retries it asks for.
SECONDS = st.tuples(st.integers(0, 9), st.integers(0, 60))


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(
        st.lists(SECONDS, min_size=25, max_size=25), min_size=1, max_size=8
    )
)
def test_all_instances_together_keep_to_the_shared_bound(instances):
    """A data centre of engines fails; all instances retry their requests.

    Unbounded, the retries would overload the remaining engines.
    """
    bounds = relay_world.RETRIES
    budgets = [
        shared_retry_budget.SharedRetryBudget(bounds) for _ in instances
    ]
    for one in budgets:
        one.set_fleet_size(len(instances))
    requests = [0] * 25
    retries = [0] * 25
    for second in range(25):
        for one, plan in zip(budgets, instances, strict=True):
            asked, wanted = plan[second]
            for _ in range(asked):
                one.count_request('s', float(second))
            requests[second] += asked
            retries[second] += sum(
                one.try_spend('s', float(second)) for _ in range(wanted)
            )
    for start in range(25 - 10):
        window = slice(start, start + 10)
        most = bounds.ratio * sum(requests[window]) + bounds.slack
        assert sum(retries[window]) <= most


def test_instance_that_knows_no_others_takes_little():
    """Many instances start at once while the store is unavailable.

    If each took the whole budget, it would be multiplied by their number.
    """
    one = shared_retry_budget.SharedRetryBudget(relay_world.RETRIES)
    taken = sum(one.try_spend('s', 1.0) for _ in range(100))
    assert 1 <= taken <= 3


# The larger fleets have about this many instances, and each of them this many
# requests of streams in ten seconds.
FLEET_SIZE = 90
REQUESTS_EACH = 5


def fleet_of_budgets(number=FLEET_SIZE):
    """Return the budgets of a fleet that has served for one window."""
    budgets = [
        shared_retry_budget.SharedRetryBudget(relay_world.RETRIES)
        for _ in range(number)
    ]
    for one in budgets:
        one.set_fleet_size(number)
        for _ in range(REQUESTS_EACH):
            one.count_request('s', 1.0)
    return budgets


def spend_retry(budgets, one, now=1.0):
    """Have one instance spend a retry, borrowing what it lacks."""
    for other in budgets:
        missing = 1.0 - one.available('s', now)
        if missing <= 0.0:
            break
        if other is not one:
            lent = other.lend('s', missing, now)
            one.add_loan('s', lent, now, now)
    return one.try_spend('s', now)


def test_instance_may_use_the_allowance_that_others_leave():
    """Engines fail whose streams mostly belong to one instance.

    A ninetieth of the budget is five retries in ten seconds. Limited to it,
    larger simulated fleets broke off one stream in ten, while all instances
    together used less than half of the bound.
    """
    budgets = fleet_of_budgets()
    assert all(spend_retry(budgets, budgets[0]) for _ in range(15))


def test_all_together_keep_to_the_bound_whoever_uses_it():
    """Each instance in turn takes as many retries as it can get."""
    budgets = fleet_of_budgets()
    taken = sum(
        spend_retry(budgets, one) for one in budgets for _ in range(1_000)
    )
    bounds = relay_world.RETRIES
    assert taken <= bounds.ratio * FLEET_SIZE * REQUESTS_EACH + bounds.slack


def test_partitioned_fleet_keeps_to_the_bound():
    """The data centres are cut off from each other; engines fail in each.

    Instances that hear only a part of the fleet must not take the whole
    budget.
    """
    parts = [fleet_of_budgets(FLEET_SIZE // 3) for _ in range(3)]
    taken = 0
    for budgets in parts:
        for one in budgets:
            one.set_fleet_size(FLEET_SIZE)
        taken += sum(
            spend_retry(budgets, one) for one in budgets for _ in range(1_000)
        )
    bounds = relay_world.RETRIES
    assert taken <= bounds.ratio * FLEET_SIZE * REQUESTS_EACH + bounds.slack


def test_instance_that_borrows_nothing_keeps_to_its_own_allowance():
    """Guards against an instance that spends what others may still use."""
    budgets = fleet_of_budgets()
    taken = sum(budgets[0].try_spend('s', 1.0) for _ in range(100))
    assert taken <= relay_world.RETRIES.ratio * REQUESTS_EACH + 2


def test_lent_retries_are_spent_once():
    """Guards against a retry that the lender and the borrower both use."""
    lender, borrower = fleet_of_budgets(2)
    left = lender.available('s', 1.0)
    lent = lender.lend('s', 1.5, 1.0)
    borrower.add_loan('s', lent, 1.0, 1.0)
    assert lent == 1.5
    assert lender.available('s', 1.0) == pytest.approx(left - lent)


def test_late_loan_is_worthless():
    """Guards against a retry that counts no more at its lender."""
    lender, borrower = fleet_of_budgets(2)
    left = borrower.available('s', 1.0)
    lent = lender.lend('s', 1.0, 1.2)
    late = 1.0 + shared_retry_budget.LOAN_SECONDS
    borrower.add_loan('s', lent, 1.0, late)
    assert borrower.available('s', late) == left


@pytest.mark.parametrize('most', [-1.0, float('nan')])
def test_unusable_amount_is_not_lent(most):
    lender, _ = fleet_of_budgets(2)
    assert lender.lend('s', most, 1.0) == 0.0


def test_allowance_of_stopped_instances_passes_on_once_it_is_unused():
    """Guards against an allowance that is spent before a stop and after it."""
    one = shared_retry_budget.SharedRetryBudget(relay_world.RETRIES)
    one.set_fleet_size(90, 100.0)
    one.set_fleet_size(30, 101.0)
    one.set_fleet_size(30, 110.0)
    later = 101.0 + one.counted_seconds
    assert one.sharing_instances(later) == 90
    assert one.sharing_instances(later + 0.1) == 30


def borrower_among(lender='one'):
    """Return a relay that hears another, with a stream under way."""
    world = relay_world.RelayWorld()
    member = hints.Member(lender, lender, '127.0.0.1', 'north')
    world.handle(relay_events.MembersListed((member,)))
    world.handle(relay_events.PeerHeard(lender, 'north', hints.EMPTY_DIGESTS))
    exchange = world.ask()
    world.begin(world.last_send(exchange))
    world.events(world.last_send(exchange), 1)
    while world.relay.budget.try_spend(relay_world.STREAMS, world.now):
        pass
    world.lose(world.last_send(exchange))
    return world, exchange


def questions(world):
    return [
        action.hint
        for action in world.of_kind(relay_actions.TellPeer)
        if isinstance(action.hint, hints.LoanRequested)
    ]


def test_stream_goes_on_with_a_borrowed_retry():
    """Guards against streams cut at one instance while others have retries."""
    world, exchange = borrower_among()
    [question] = questions(world)
    assert len(world.sends(exchange)) == 1
    granted = hints.LoanGranted(question.number, question.retries)
    world.handle(relay_events.PeerTold('one', granted))
    assert len(world.sends(exchange)) == 2
    assert world.last_send(exchange).resume_after == 1


def test_answer_to_a_question_counts_once():
    """Guards against a loan that a repeated datagram doubles."""
    world, exchange = borrower_among()
    [question] = questions(world)
    granted = hints.LoanGranted(question.number, 0.1)
    for _ in range(20):
        world.handle(relay_events.PeerTold('one', granted))
    assert len(world.sends(exchange)) == 1


def test_loan_of_an_instance_that_was_not_asked_is_ignored():
    world, exchange = borrower_among()
    [question] = questions(world)
    granted = hints.LoanGranted(question.number, 5.0)
    world.handle(relay_events.PeerTold('another', granted))
    assert len(world.sends(exchange)) == 1


def test_stream_is_ended_soon_if_nobody_lends():
    """Guards against a caller who waits for answers that never come.

    The next ones are refused at once: their wait would be in vain too.
    """
    world, exchange = borrower_among()
    world.advance(0.2)
    assert world.of_kind(relay_actions.AbortStream, exchange)
    following = world.ask()
    world.lose(world.last_send(following))
    assert world.refusals(following)


@pytest.mark.parametrize(
    'hint',
    [hints.LoanRequested(1, 'drafts', 0.5), hints.LoanGranted(1, 0.25)],
)
def test_loans_survive_their_way_as_datagrams(hint):
    raw = relay_hints.encode_hint('x', hint)
    assert relay_hints.decode_datagram(raw) == ('x', hint)


def test_negative_loan_is_no_message():
    """Guards against a loan that takes retries from its borrower."""
    raw = relay_hints.encode_hint('x', hints.LoanGranted(1, -1.0))
    with pytest.raises(errors.ProtocolError):
        relay_hints.decode_datagram(raw)


def test_caller_who_leaves_waits_for_no_loan():
    world, exchange = borrower_among()
    world.leave(exchange)
    assert not world.relay.retry_loan_outcomes.loans.waiting


def test_unconnected_send_is_neither_request_nor_retry():
    """A data centre is cut off, and no connection to it can be opened.

    Counted as retries, such sends would use up the budget; counted as
    requests they would enlarge it.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask()
    budget = world.relay.budget
    left = budget.available(relay_world.STREAMS, world.now)
    world.lose(world.last_send(exchange), handed_over=False)
    assert len(world.sends(exchange)) == 2
    assert budget.available(relay_world.STREAMS, world.now) == left


def test_send_to_a_replaced_engine_counts_as_an_arrival():
    """Other engines answer at the addresses of those that have ended.

    Each turns requests away with 421, and such arrivals count too. The sends
    after them were free, so that the engines left got any number.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask()
    world.refuse(world.last_send(exchange), 421)
    own = world.relay.budget.retries_of(relay_world.STREAMS, world.now)
    assert len(own.spent) == 1


def test_timeline_shows_that_the_retry_budget_ended_a_stream():
    """A stream is broken off although engines are free.

    The time line of the request must show why no other engine was tried.
    """
    world = relay_world.RelayWorld()
    exchange = world.ask()
    world.begin(world.last_send(exchange))
    world.events(world.last_send(exchange), 1)
    while world.relay.budget.try_spend(relay_world.STREAMS, world.now):
        pass
    world.lose(world.last_send(exchange))
    reasons = [
        record.reason
        for record in world.of_kind(common_actions.Record)
        if record.kind == 'broken-off'
    ]
    assert reasons == ['retry-budget-spent, after event 1']


def test_unconnected_first_send_gives_back_no_retry_of_another_request():
    """Guards against a retry beyond the bound, as one that arrived is freed.

    The first send of a request finds no connection; another request was sent
    again at the moment when it began, and its own second send came later.
    """
    world = relay_world.RelayWorld()
    world.relay.budget.set_fleet_size(1)
    other, hedged = world.query(), world.query()
    first = world.last_send(hedged)
    world.refuse(world.last_send(other))
    world.advance(0.15)
    assert len(world.sends(hedged)) == 2
    own = world.relay.budget.retries_of(relay_world.CALLS, world.now)
    spent = len(own.spent)
    world.lose(first, handed_over=False)
    assert len(own.spent) == spent


def test_retry_that_reached_no_engine_is_given_back():
    """Guards against a budget that failed connections use up."""
    budget = shared_retry_budget.SharedRetryBudget(relay_world.RETRIES)
    budget.set_fleet_size(100)
    spent_at = 0.0
    first = budget.spend('drafts', spent_at)
    while budget.try_spend('drafts', spent_at):
        spent_at += 0.1
    budget.give_back('drafts', first)
    assert budget.try_spend('drafts', spent_at)
    assert not budget.try_spend('drafts', spent_at)
    budget.give_back('drafts', first)
    assert not budget.try_spend('drafts', spent_at)
