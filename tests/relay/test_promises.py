"""Guarantees to callers, tested over random histories of the relay."""

import collections
import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from greengagelb.coordination import events as common_events
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import hints
from tests.common import relay_invariants
from tests.common import relay_world

PROMISE_NOT_RUN = {408, 421, 429, 503}
ONCE_ROUTE = dataclasses.replace(
    relay_world.STREAM_ROUTE,
    name='letters',
    prefix='/letters/',
    resumable=False,
)
ROUTES = (
    relay_world.STREAM_ROUTE,
    relay_world.CALL_ROUTE,
    relay_world.QUERY_ROUTE,
    ONCE_ROUTE,
)
FATES = list(relay_events.EngineFate)
FINAL = (
    relay_actions.PassAnswer,
    relay_actions.EndStream,
    relay_actions.AbortStream,
    relay_actions.Refuse,
)


def awaiting_check(check):
    """Return the exchanges that wait for a check of an engine."""
    return [number for number, _ in check.requests_awaiting_check]


class Promises(relay_invariants.CountsAddUp, stateful.RuleBasedStateMachine):
    """Runs random events of callers, engines and other instances.

    ``may_have_run`` counts, for each exchange, the sends that an engine may
    have started to work on.
    """

    def __init__(self):
        super().__init__()
        self.world = relay_world.RelayWorld(
            table=relay_world.route_table(found=ROUTES)
        )
        self.open = {}
        self.run_once = set()
        self.begun = set()
        self.may_have_run = collections.Counter()
        self.given = collections.defaultdict(int)
        self.finals = collections.Counter()
        self.seen = 0
        self.heartbeat = 1
        self.unchecked = []
        self.leaving = set()
        self.resting = {}

    def take_actions(self):
        """Check the actions since the last call, and track open sends."""
        fresh = self.world.actions[self.seen :]
        self.seen = len(self.world.actions)
        for action in fresh:
            match action:
                case relay_actions.CheckEngine(entry):
                    self.unchecked.append(entry)
                case relay_actions.Send():
                    self.check_wanted(action)
                    self.open[action.exchange, action.send] = action
                    self.may_have_run[action.exchange] += 1
                case relay_actions.AbandonSend(exchange, send):
                    self.open.pop((exchange, send), None)
                case relay_actions.PassEvents(exchange, events):
                    for event in events:
                        assert event.number == self.given[exchange] + 1
                        self.given[exchange] = event.number
                case relay_actions.BeginStream(exchange=exchange):
                    self.begun.add(exchange)
                case relay_actions.PassAnswer(exchange=exchange, head=head):
                    assert exchange not in self.begun
                    if exchange in self.run_once:
                        assert head.status not in PROMISE_NOT_RUN
                case relay_actions.Refuse(exchange=exchange, status=status):
                    if status in PROMISE_NOT_RUN:
                        assert not self.may_have_run[exchange]
            if isinstance(action, FINAL):
                self.finals[action.exchange] += 1
                assert self.finals[action.exchange] == 1

    def pick(self, data):
        """Choose one of the sends in flight."""
        keys = sorted(self.open)
        return self.open[data.draw(st.sampled_from(keys))]

    def under_way(self):
        return bool(self.open)

    @stateful.rule(resumes_after=st.sampled_from([None, None, 3]))
    def ask_for_a_stream(self, resumes_after):
        number = self.world.last_exchange + 1
        self.given[number] = resumes_after or 0
        self.world.ask(resumes_after=resumes_after)
        self.take_actions()

    @stateful.rule()
    def ask_for_a_stream_that_may_not_run_again(self):
        self.run_once.add(self.world.ask(b'/letters/1'))
        self.take_actions()

    @stateful.rule()
    def call(self):
        self.run_once.add(self.world.call())
        self.take_actions()

    @stateful.rule()
    def query(self):
        self.world.query()
        self.take_actions()

    @stateful.precondition(under_way)
    @stateful.rule(data=st.data(), count=st.integers(1, 3))
    def engine_streams(self, data, count):
        send = self.pick(data)
        if not send.stream:
            return
        start = (send.resume_after or 0) + 1
        self.world.begin(send)
        self.take_actions()
        # Starts over at the first event of the send, so that events which the
        # caller has already are sent as duplicates.
        until = max(start, self.given[send.exchange] + count)
        self.world.events(send, *range(start, until + 1))
        self.take_actions()

    @stateful.precondition(under_way)
    @stateful.rule(data=st.data())
    def engine_skips_an_event(self, data):
        send = self.pick(data)
        if send.stream:
            self.world.begin(send)
            self.world.events(send, self.given[send.exchange] + 2)
            self.open.pop((send.exchange, send.send), None)
            self.take_actions()

    @stateful.precondition(under_way)
    @stateful.rule(data=st.data())
    def engine_ends(self, data):
        send = self.pick(data)
        del self.open[send.exchange, send.send]
        if send.stream:
            self.world.complete(send)
        else:
            self.world.answer(send)
        self.take_actions()

    @stateful.precondition(under_way)
    @stateful.rule(data=st.data(), status=st.sampled_from([503, 421]))
    def engine_refuses(self, data, status):
        send = self.pick(data)
        del self.open[send.exchange, send.send]
        self.may_have_run[send.exchange] -= 1
        self.world.refuse(send, status)
        self.take_actions()

    @stateful.precondition(under_way)
    @stateful.rule(
        data=st.data(),
        sealed=st.booleans(),
        status=st.sampled_from([404, 429, 500, 503, 504]),
    )
    def engine_fails(self, data, sealed, status):
        """Have an engine answer a run with a failure of its own."""
        send = self.pick(data)
        del self.open[send.exchange, send.send]
        self.world.answer(send, b'', status=status, sealed=sealed)
        self.take_actions()

    @stateful.precondition(under_way)
    @stateful.rule(data=st.data())
    def connection_breaks(self, data):
        send = self.pick(data)
        del self.open[send.exchange, send.send]
        self.world.lose(send)
        self.take_actions()

    @stateful.precondition(under_way)
    @stateful.rule(data=st.data())
    def connection_is_refused(self, data):
        send = self.pick(data)
        del self.open[send.exchange, send.send]
        self.may_have_run[send.exchange] -= 1
        self.world.lose(send, 'ConnectionRefusedError', handed_over=False)
        self.take_actions()

    @stateful.precondition(under_way)
    @stateful.rule(data=st.data(), alive=st.booleans())
    def probe_is_answered(self, data, alive):
        send = self.pick(data)
        self.world.handle(
            relay_events.EngineProbed(send.exchange, send.send, alive)
        )
        self.take_actions()

    @stateful.precondition(under_way)
    @stateful.rule(data=st.data())
    def caller_leaves(self, data):
        send = self.pick(data)
        self.finals[send.exchange] += 1
        self.world.leave(send.exchange)
        self.take_actions()

    @stateful.rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 5.0]))
    def time_passes(self, seconds):
        self.world.advance(seconds)
        self.take_actions()

    @stateful.rule(place=st.sampled_from(relay_world.PLACES))
    def data_centre_is_removed_from_the_list(self, place):
        gone = [
            entry.engine
            for entry in relay_world.fleet()
            if entry.data_centre == place
        ]
        self.world.change_engines(removed=gone)
        self.take_actions()

    @stateful.rule()
    def engines_register_again(self):
        self.heartbeat += 2
        self.world.change_engines(*relay_world.fleet(heartbeat=self.heartbeat))
        self.take_actions()

    @stateful.rule(seconds=st.sampled_from([0.5, 3.0]))
    def process_stands_still(self, seconds):
        self.world.now += seconds
        self.world.handle(common_events.PauseDetected(seconds))
        self.take_actions()

    @stateful.rule(
        number=st.integers(1, 5),
        engine=st.sampled_from([e.engine for e in relay_world.fleet()]),
    )
    def another_instance_tells(self, number, engine):
        for hint in (
            hints.RunPlaced(number, engine, 8_780, 8_000, '', 'part'),
            hints.EngineFailed(engine),
        ):
            self.world.handle(relay_events.PeerTold('other', hint))
        self.take_actions()

    @stateful.precondition(
        lambda self: self.world.relay.retry_loan_outcomes.loans.questions
    )
    @stateful.rule(data=st.data(), retries=st.sampled_from([0.1, 1.0]))
    def another_instance_lends(self, data, retries):
        """Answer one of the questions for a retry, in time or late."""
        questions = self.world.relay.retry_loan_outcomes.loans.questions
        number = data.draw(st.sampled_from(sorted(questions)))
        granted = hints.LoanGranted(number, retries)
        self.world.handle(relay_events.PeerTold('other', granted))
        self.take_actions()

    @stateful.invariant()
    def request_that_may_not_repeat_runs_at_most_once(self):
        for exchange in self.run_once:
            assert self.may_have_run[exchange] <= 1

    @stateful.precondition(lambda self: self.unchecked)
    @stateful.rule(data=st.data(), fate=st.sampled_from(FATES))
    def engine_is_checked(self, data, fate):
        """Answer one of the checks whether an engine has ended."""
        entry = self.unchecked.pop(
            data.draw(st.integers(0, len(self.unchecked) - 1))
        )
        self.world.handle(relay_events.EngineChecked(entry, fate))
        self.take_actions()

    @stateful.precondition(under_way)
    @stateful.rule(data=st.data())
    def engine_says_that_it_leaves(self, data):
        send = self.pick(data)
        self.world.state(send, leaving=True)
        self.leaving.add(send.engine.engine)
        self.take_actions()

    @stateful.precondition(under_way)
    @stateful.rule(data=st.data(), seconds=st.sampled_from([0.04, 1.0, 3.0]))
    def engine_asks_for_rest(self, data, seconds):
        send = self.pick(data)
        del self.open[send.exchange, send.send]
        self.may_have_run[send.exchange] -= 1
        engine = send.engine.engine
        until = self.world.now + seconds
        former = self.resting.get(engine, until)
        self.resting[engine] = max(former, until)
        self.world.ask_for_rest(send, seconds)
        self.take_actions()

    def check_wanted(self, send):
        """Check that an engine has not asked for no requests."""
        engine = send.engine.engine
        assert engine not in self.leaving
        assert self.world.now >= self.resting.get(engine, 0.0)

    def waits_of(self, number):
        """Return for what an exchange without a send waits."""
        relay = self.world.relay
        checks = relay.crash_watch.checks.values()
        return [
            *(c for c in checks if number in awaiting_check(c)),
            *(
                held
                for held in relay.permit_outcomes.waiting.values()
                if held.exchange == number
            ),
            *(
                request
                for request in relay.engine_wait_outcomes.waits.waiting
                if request == number
            ),
        ]

    def waits_for_loan(self, number):
        return number in self.world.relay.retry_loan_outcomes.loans.waiting

    @stateful.invariant()
    def open_exchanges_have_a_send_or_a_wait_and_a_deadline(self):
        """Guards against requests that nothing continues.

        An exchange without a send waits for one thing: a check of its engine,
        a permit, the end of a rest, or a retry of another instance. One whose
        run is silent may wait for such a retry.
        """
        relay = self.world.relay
        loans = relay.retry_loan_outcomes.loans
        assert loans.waiting.keys() <= relay.exchanges.keys()
        assert not loans.waiting or 'relay-retry-loan' in self.world.timers
        for number, exchange in relay.exchanges.items():
            waits = len(self.waits_of(number))
            if exchange.sends:
                assert not waits
            else:
                assert waits + self.waits_for_loan(number) == 1
            assert f'relay-deadline:{number}' in self.world.timers


Promises.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestPromises = Promises.TestCase


def test_request_that_may_be_blocked_waits_for_the_check_of_its_engine():
    """Guards against a held request that is forgotten, or sent on at once.

    Two requests of the same content lose three engines; the third loss would
    block them, so the second request waits until its engine was checked.
    """
    world = relay_world.RelayWorld()
    first, second = world.query(), world.query()
    waiting = world.last_send(second)
    world.lose(world.last_send(first))
    world.lose(world.last_send(first))
    world.lose(waiting)
    assert not world.relay.exchanges[second].sends
    checked = relay_events.EngineChecked(
        waiting.engine, relay_events.EngineFate.ALIVE
    )
    world.handle(checked)
    assert world.last_send(second) != waiting
