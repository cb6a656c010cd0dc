"""Stateful tests of the guarantees for streams under combined failures.

They search for failing sequences of steps, such as a late batch between a
pause and the replacement of an instance. The sequences found are kept as
tests in ``test_stream_recovery``.
"""

import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from greengagelb.coordination import events
from tests.common import generations

ENGINES = st.sampled_from(['e0', 'e1', 'e2'])
SERVICES = st.sampled_from(['draft', 'hasty', 'once'])
MOST_CALLERS = 8


class StreamMachine(stateful.RuleBasedStateMachine):
    """Steps of callers, engines and instances in any order."""

    def __init__(self):
        super().__init__()
        self.world = generations.World()

    def pick_caller(self, data):
        waiting = [c for c in self.world.callers if c.waits]
        return data.draw(st.sampled_from(waiting)) if waiting else None

    def pick_instance(self, data):
        names = sorted(self.world.instances)
        return self.world.instances[data.draw(st.sampled_from(names))]

    @stateful.rule(data=st.data(), service=SERVICES)
    def submit(self, data, service):
        if len(self.world.callers) < MOST_CALLERS:
            instance = self.pick_instance(data)
            self.world.submit(service, instance.name)

    @stateful.rule(name=ENGINES, count=st.integers(1, 3))
    def generate(self, name, count):
        self.world.engines[name].generate(count)

    @stateful.rule()
    def generate_and_deliver_everywhere(self):
        for engine in self.world.engines.values():
            engine.generate(1)
        self.world.deliver_all()

    @stateful.rule(data=st.data())
    def deliver_from_one_connection(self, data):
        instance = self.pick_instance(data)
        waiting = [c for c in instance.connections if c.queue]
        if waiting:
            connection = data.draw(st.sampled_from(waiting))
            self.world.deliver(instance, connection)

    @stateful.rule()
    def deliver_everything(self):
        self.world.deliver_all()

    @stateful.rule(data=st.data())
    def deliver_tokens_again_to_anybody(self, data):
        if self.world.told:
            event = data.draw(st.sampled_from(self.world.told))
            self.world.tell(self.pick_instance(data), event)

    @stateful.rule(data=st.data())
    def deliver_from_abandoned_connections(self, data):
        self.world.deliver_late(self.pick_instance(data))

    @stateful.rule(data=st.data())
    def lose_a_batch(self, data):
        self.world.lose_batches(self.pick_instance(data))

    @stateful.rule(name=ENGINES)
    def kill(self, name):
        self.world.engines[name].kill()

    @stateful.rule(name=ENGINES)
    def pause(self, name):
        self.world.engines[name].pause()

    @stateful.rule(name=ENGINES)
    def come_back(self, name):
        self.world.come_back(name)

    @stateful.rule(name=ENGINES)
    def silence(self, name):
        self.world.engines[name].silence()

    @stateful.rule(name=ENGINES)
    def cut_off(self, name):
        self.world.engines[name].cut_off()

    @stateful.rule(name=ENGINES, full=st.booleans())
    def refuse_new_runs(self, name, full):
        self.world.engines[name].full = full

    @stateful.rule(name=ENGINES, failing=st.booleans())
    def fail_after_runs(self, name, failing):
        self.world.engines[name].failing = failing

    @stateful.rule()
    def report(self):
        self.world.report()

    @stateful.rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 3.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @stateful.rule(seconds=st.sampled_from([1.0, 5.0]), told=st.booleans())
    def pause_all_instances(self, seconds, told):
        self.world.stand_still(seconds)
        if told:
            for instance in self.world.instances.values():
                self.world.tell(instance, events.PauseDetected(seconds))

    @stateful.rule(name=ENGINES, version=st.sampled_from(['1', '2']))
    def load_another_version(self, name, version):
        self.world.engines[name].version = version

    @stateful.rule(version=st.sampled_from(['1', '2']))
    def configure_another_version(self, version):
        self.world.configure(version)

    @stateful.rule(data=st.data(), noticed=st.booleans())
    def caller_leaves(self, data, noticed):
        caller = self.pick_caller(data)
        if caller is not None:
            self.world.leave(caller, noticed)

    @stateful.rule(data=st.data())
    def caller_comes_back(self, data):
        away = [c for c in self.world.callers if not c.waits and not c.finals]
        if away:
            caller = data.draw(st.sampled_from(away))
            self.world.ask(caller, self.pick_instance(data).name)

    @stateful.rule(data=st.data())
    def instance_dies(self, data):
        self.world.replace_instance(self.pick_instance(data).name)

    def teardown(self):
        self.world.settle()


TestStreamMachine = StreamMachine.TestCase
TestStreamMachine.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
)


def random_step(world, rng):
    """Take one random step; failures are rarer than normal work."""
    engine = world.engines[rng.choice(sorted(world.engines))]
    instance = world.instances[rng.choice(sorted(world.instances))]
    waiting = [caller for caller in world.callers if caller.waits]
    away = [c for c in world.callers if not c.waits and not c.finals]
    draw = rng.random()
    if draw < 0.35:
        engine.generate(rng.randint(1, 2))
    elif draw < 0.60:
        world.deliver_all()
    elif draw < 0.70:
        world.advance(rng.choice([0.01, 0.1, 0.3, 1.0]))
    elif draw < 0.78 and len(waiting) < MOST_CALLERS:
        service = rng.choice(['draft', 'hasty', 'once'])
        world.submit(service, instance.name)
    elif draw < 0.82:
        world.report()
    elif draw < 0.84:
        engine.kill()
    elif draw < 0.86:
        engine.pause()
    elif draw < 0.90:
        world.come_back(engine.name)
    elif draw < 0.92:
        engine.silence()
    elif draw < 0.94 and waiting:
        world.leave(rng.choice(waiting), rng.random() < 0.5)
    elif draw < 0.95:
        engine.failing = not engine.failing
    elif draw < 0.97 and away:
        world.ask(rng.choice(away), instance.name)
    elif draw < 0.98 and world.told:
        world.tell(instance, rng.choice(world.told))
        world.deliver_late(instance)
    elif draw < 0.985:
        world.stand_still(rng.choice([1.0, 4.0]))
    elif draw < 0.99:
        version = rng.choice(['1', '2'])
        engine.version = version
        world.configure(version)
    elif draw < 0.993:
        world.replace_instance(instance.name)
    else:
        world.lose_batches(instance)


@pytest.mark.parametrize('seed', [1, 2, 3, 4])
def test_long_random_history_keeps_every_stream_whole(seed):
    """Failures of all kinds occur over a long time, several at once."""
    rng = random.Random(seed)
    world = generations.World()
    for step in range(1500):
        random_step(world, rng)
        if step % 150 == 149:
            world.settle()
            world.callers.clear()
            world.runs.clear()
            world.told.clear()
