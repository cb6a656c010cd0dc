"""Stateful tests of at-most-once execution under faults in any order.

Hypothesis drives several instances that share one table service and one plain
service. ``tests/common/call_world.py`` checks the guarantees at every action.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.common import call_world

PICK = strategies.integers(0, 15)
SERVICES = (call_world.CHARGE, call_world.DIGEST, call_world.LOOKUP)


def pick(sequence, number):
    return sequence[number % len(sequence)]


class AtMostOnceMachine(stateful.RuleBasedStateMachine):
    """Steps of callers, faults and time in any order."""

    def __init__(self):
        super().__init__()
        self.world = call_world.World()

    @stateful.rule(
        number=PICK,
        service=strategies.sampled_from(SERVICES[:2] + SERVICES),
        account=strategies.sampled_from(['teratak', 'karri']),
        key=strategies.sampled_from(['k', 'l']),
    )
    def send(self, number, service, account, key):
        home = pick(self.world.alive, number)
        self.world.submit(home, service, account, key)

    @stateful.precondition(lambda self: self.world.exchanges)
    @stateful.rule(number=PICK)
    def caller_leaves(self, number):
        self.world.leave(pick(self.world.exchanges, number))

    @stateful.precondition(lambda self: self.world.writes)
    @stateful.rule(number=PICK)
    def store_answers(self, number):
        self.world.answer_write(pick(self.world.writes, number))

    @stateful.precondition(lambda self: self.world.writes)
    @stateful.rule(number=PICK, reaches_table=strategies.booleans())
    def store_answer_is_lost(self, number, reaches_table):
        write = pick(self.world.writes, number)
        self.world.lose_write(write, reaches_table)

    @stateful.rule()
    def store_goes_or_comes_back(self):
        self.world.store_down = not self.world.store_down

    @stateful.precondition(lambda self: self.world.dispatches)
    @stateful.rule(number=PICK)
    def upstream_runs(self, number):
        self.world.run(pick(self.world.dispatches, number))

    @stateful.precondition(lambda self: self.world.dispatches)
    @stateful.rule(number=PICK)
    def upstream_answers(self, number):
        self.world.finish(pick(self.world.dispatches, number))

    @stateful.precondition(lambda self: self.world.dispatches)
    @stateful.rule(number=PICK)
    def upstream_connection_breaks(self, number):
        self.world.break_off(pick(self.world.dispatches, number))

    @stateful.precondition(lambda self: self.world.dispatches)
    @stateful.rule(number=PICK)
    def upstream_refuses(self, number):
        self.world.refuse(pick(self.world.dispatches, number))

    @stateful.rule(number=PICK)
    def instance_is_paused(self, number):
        pick(self.world.alive, number).paused = True

    @stateful.rule(number=PICK, timers_first=strategies.booleans())
    def instance_wakes(self, number, timers_first):
        self.world.wake(pick(self.world.alive, number), timers_first)

    @stateful.rule(number=PICK)
    def instance_is_killed_and_replaced(self, number):
        self.world.kill(pick(self.world.alive, number))
        self.world.start(f'i{len(self.world.instances)}')

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 5.0, 21.0]))
    def time_passes(self, seconds):
        self.world.advance(seconds)

    def teardown(self):
        self.world.retry_all()


TestAtMostOnce = AtMostOnceMachine.TestCase
TestAtMostOnce.settings = hypothesis.settings(
    max_examples=200,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_long_random_run():
    """Long runs with thousands of requests.

    They show what accumulates only over time, such as claims that are never
    settled, which the short sequences of the stateful test can't.
    """
    rng = random.Random(20261202)
    answered = 0
    for _ in range(60):
        world = call_world.World()
        for _ in range(150):
            one_step(world, rng, f'k{rng.randrange(6)}')
        world.retry_all()
        answered += sum(bool(e.answers) for e in world.exchanges)
    assert answered > 1000


def one_step(world, rng, key):
    chance = rng.random()
    if chance < 0.25:
        home = rng.choice(world.alive)
        account = rng.choice(['teratak', 'karri'])
        world.submit(home, rng.choice(SERVICES), account, key)
    elif chance < 0.30 and world.exchanges:
        world.leave(rng.choice(world.exchanges))
    elif chance < 0.55 and world.writes:
        one_step_of_store(world, rng)
    elif chance < 0.80 and world.dispatches:
        one_step_of_upstream(world, rng)
    elif chance < 0.84:
        world.store_down = not world.store_down
    elif chance < 0.88:
        rng.choice(world.alive).paused = True
    elif chance < 0.94:
        world.wake(rng.choice(world.alive), rng.random() < 0.5)
    elif chance < 0.95:
        world.kill(rng.choice(world.alive))
        world.start(f'i{len(world.instances)}')
    else:
        world.advance(rng.choice([0.1, 1.0, 5.0, 21.0]))


def one_step_of_store(world, rng):
    write = rng.choice(world.writes)
    if rng.random() < 0.7:
        world.answer_write(write)
    else:
        world.lose_write(write, rng.random() < 0.5)


def one_step_of_upstream(world, rng):
    dispatch = rng.choice(world.dispatches)
    step = rng.choice([world.finish, world.run, world.break_off, world.refuse])
    step(dispatch)
