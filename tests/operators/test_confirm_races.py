"""Concurrent operators: one plan is confirmed for each version."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from greengagelb.coordination.configuration import confirming
from tests.common import confirmations

FAIR = [confirmations.Weather.FAIR]
WEATHER = st.sampled_from(FAIR * 4 + list(confirmations.Weather))
ONE_AFTER_ANOTHER = 8


class ConfirmRaces(stateful.RuleBasedStateMachine):
    """Operators propose, confirm and query through instances that die.

    Each confirmation or query is a generator that waits for the store, so
    others may run between any two of its requests.
    """

    def __init__(self):
        super().__init__()
        self.store = confirmations.ConfirmationStore()
        self.plans = []
        self.under_way = []

    @stateful.rule(age=st.integers(0, 3))
    def propose(self, age):
        base = max(0, self.store.current.version - age)
        plan = confirmations.plan_of(f'plan-{len(self.plans)}', base)
        self.plans.append(plan)

    @stateful.rule(weather=WEATHER)
    def one_operator_alone(self, weather):
        self.propose(0)
        self.begin(0, only_ask=False)
        self.store_answers(-1, confirmations.Weather.FAIR, 3)
        if self.under_way and self.under_way[-1][0] is self.plans[-1]:
            self.store_answers(-1, weather, ONE_AFTER_ANOTHER)

    @stateful.precondition(lambda self: self.plans)
    @stateful.rule(number=st.integers(0, 99), only_ask=st.booleans())
    def begin(self, number, only_ask):
        plan = self.plans[-1 - number % len(self.plans)]
        steps = confirming.find_outcome if only_ask else confirming.confirm
        steps = steps(plan)
        self.under_way.append([plan, steps, next(steps), only_ask])

    @stateful.precondition(lambda self: self.under_way)
    @stateful.rule(
        number=st.integers(0, 9), weather=WEATHER, count=st.integers(1, 6)
    )
    def store_answers(self, number, weather, count):
        chosen = self.under_way[number % len(self.under_way)]
        for _ in range(count):
            plan, steps, request, only_ask = chosen
            answer = self.store.ask(request, weather)
            try:
                chosen[2] = steps.send(answer)
            except StopIteration as done:
                self.under_way.remove(chosen)
                self.check(plan, done.value, only_ask)
                return

    @stateful.precondition(lambda self: self.under_way)
    @stateful.rule(number=st.integers(0, 9))
    def instance_dies(self, number):
        del self.under_way[number % len(self.under_way)]

    @stateful.precondition(lambda self: self.store.late)
    @stateful.rule(number=st.integers(0, 9))
    def late_write_lands(self, number):
        late = self.store.late
        self.store.carry_out(late.pop(number % len(late)))

    def check(self, plan, outcome, only_ask):
        version = plan.base_version + 1
        winner = self.store.winners.get(version)
        match outcome:
            case confirming.Confirmed():
                assert winner == plan.plan_id
            case confirming.Overtaken(current_version, changes):
                assert winner not in (None, plan.plan_id)
                assert changes[0].plan_id == winner
                assert version <= current_version
            case confirming.Proposed():
                assert only_ask

    @stateful.invariant()
    def every_plan_can_be_settled(self):
        for plan in self.plans:
            outcome = self.store.run(confirming.find_outcome(plan))
            winner = self.store.winners.get(plan.base_version + 1)
            if winner is None:
                assert outcome == confirming.Proposed()
            elif winner == plan.plan_id:
                assert outcome == confirming.Confirmed()
            else:
                assert isinstance(outcome, confirming.Overtaken)


TestConfirmRaces = ConfirmRaces.TestCase
TestConfirmRaces.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)


def confirm(store, plan):
    return store.run(confirming.confirm(plan))


def test_equal_documents_of_two_plans_do_not_make_two_winners():
    """Two operators make plans of the same intent at the same time.

    The resulting configurations are equal. The second operator must not be
    told that its plan is in force, as its plan id was never confirmed.
    """
    store = confirmations.ConfirmationStore()
    first = confirmations.plan_of('first', 0)
    second = confirmations.plan_of('second', 0)
    assert first.result == second.result
    assert confirm(store, first) == confirming.Confirmed()
    lost = confirm(store, second)
    assert isinstance(lost, confirming.Overtaken)
    assert lost.changes[0].plan_id == 'first'


def test_plan_stays_confirmed_when_later_ones_follow():
    """An operator loses the answer and queries the plan much later."""
    store = confirmations.ConfirmationStore()
    first = confirmations.plan_of('first', 0)
    confirm(store, first)
    for base in range(1, 30):
        confirm(store, confirmations.plan_of(f'later-{base}', base))
    assert confirm(store, first) == confirming.Confirmed()
    stale = confirm(store, confirmations.plan_of('stale', 3))
    assert stale.current_version == 30
    assert stale.changes[0].version == 4
    assert stale.changes[-1].version == 30
    assert len(stale.changes) <= confirming.MAX_CHANGES_SHOWN + 1


def test_write_that_lands_late_is_never_reported_as_nothing_happened():
    """The store accepts the write but applies it only after the timeout.

    Reading the row back shows the old version. The answer "not in force" would
    become wrong once the write is applied.
    """
    store = confirmations.ConfirmationStore()
    plan = confirmations.plan_of('slow', 0)
    steps = confirming.confirm(plan)
    request = next(steps)
    while not isinstance(request, confirming.ReplaceCurrent):
        request = steps.send(store.ask(request))
    request = steps.send(store.ask(request, confirmations.Weather.LATE))
    try:
        while True:
            request = steps.send(store.ask(request))
    except StopIteration as done:
        assert done.value == confirming.Unsettled()
    store.carry_out(store.late.pop())
    assert store.run(confirming.find_outcome(plan)) == confirming.Confirmed()
