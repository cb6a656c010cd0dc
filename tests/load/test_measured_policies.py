"""Short seeded runs of the load experiments, in virtual time.

They check the statements of docs/measurements on the policies by counts.
"""

import collections
import functools

from greengagelb.measure import baselines
from greengagelb.measure import load

SEED = 1
SECONDS = 30.0


def count_outcomes(fleet, name):
    """Return the number of outcomes of an account and of the good ones."""
    found = [o for o in fleet.outcomes.values() if o.account == name]
    return len(found), sum(outcome.good for outcome in found)


def run_victim_beside(aggressor, policy=load.keep_policy):
    victim = load.Source('victim', 0.2 * load.capacity_rate())
    fleet = load.run(SEED, [victim, aggressor], SECONDS, policy)
    return fleet, count_outcomes(fleet, 'victim')


def test_flood_of_one_account_costs_another_no_request():
    """One account sends three times the capacity of all engines.

    Served in order of arrival, the requests of the other account would wait
    until their callers give up.
    """
    flood = load.Source('flood', 3 * load.capacity_rate(), short_share=0.1)
    _, (asked, good) = run_victim_beside(flood)
    assert good == asked
    _, (asked, good) = run_victim_beside(flood, baselines.make_naive)
    assert good < asked / 2


def test_callers_that_hang_up_cost_another_account_no_request():
    """A faulty client sends requests and disconnects shortly after."""
    rude = load.Source('rude', 3 * load.capacity_rate(), hangs_up=True)
    fleet, (asked, good) = run_victim_beside(rude)
    assert good == asked
    assert not any(engine.runs for engine in fleet.engines.values())


def test_requests_that_every_engine_refuses_are_given_up():
    """Every engine refuses the prompt of an account.

    Each refusal leads to the next attempt. Without a pause between rounds
    a single request was attempted 14,000 times (19 requests made 272,006
    attempts) and had no answer before its deadline.
    """
    poison = load.Source('poison', 1.0, poison=True)
    fleet, (asked, good) = run_victim_beside(poison)
    assert good == asked
    codes = collections.Counter(
        o.failure for o in fleet.outcomes.values() if o.account == 'poison'
    )
    assert set(codes) <= {'no-engine', 'deadline-passed'}
    assert fleet.attempts < asked + 400 * codes.total()


def check_in_flight_counts(node):
    """Check that the counts of running requests match the streams."""
    assert set(node.running) == set(node.stream_supervisor.streams)
    for queue in node.admission.queues.values():
        queue.check_invariants()
    for name, view in node.directory.views.items():
        held = [
            attempt
            for stream in node.stream_supervisor.streams.values()
            for attempt in stream.active_attempts()
            if attempt.upstream.name == name
        ]
        assert view.in_flight == len(held)


def check_after_fault(strike, checks):
    """Return a function that injects a fault and then runs the checks."""

    def strike_and_check(fleet, fault):
        strike(fleet, fault)
        for check in checks:
            check()

    return strike_and_check


def test_every_request_has_a_final_answer_when_engines_fail(monkeypatch):
    """Engines slow down, die, freeze and return under high load."""
    rate = 0.6 * load.capacity_rate()
    faults = (
        *(load.Fault(0.7 * n, 'e5', 'fast') for n in range(1, 40)),
        load.Fault(2.0, 'e0', 'slow'),
        load.Fault(5.0, 'e1', 'kill'),
        load.Fault(8.0, 'e2', 'freeze'),
        load.Fault(12.0, 'e2', 'thaw'),
        load.Fault(15.0, 'e1', 'return'),
    )
    sources = [load.Source('a', rate / 2), load.Source('b', rate / 2)]
    checks = []

    def watch_node(node):
        checks.append(functools.partial(check_in_flight_counts, node))

    monkeypatch.setattr(
        load, 'strike', check_after_fault(load.strike, checks), raising=True
    )
    fleet = load.run(SEED, sources, SECONDS, watch_node, faults)
    assert all(o.ended_at is not None for o in fleet.outcomes.values())
    for instance in fleet.instances:
        node = instance.node
        assert not node.running
        assert not node.waiting_requests
        assert not +node.admission.running_per_account
        assert not any(
            view.in_flight for view in node.directory.views.values()
        )


def test_overload_is_refused_at_once_and_costs_no_goodput():
    """Requests arrive at five times the capacity of the engines.

    Work that is started too late for its deadline would take engine time from
    work that could still meet its deadline.
    """
    rate = load.capacity_rate()
    goodput = {}
    for factor in (1, 5):
        sources = [
            load.Source(f'a{number}', factor * rate / 4) for number in range(4)
        ]
        fleet = load.run(SEED, sources, 50.0, load.keep_policy)
        outcomes = list(fleet.outcomes.values())
        goodput[factor] = load.summary(outcomes, 50.0)['goodput']
        late = sum(
            bool(o.failure) and o.ended_at - o.arrived_at > 0.01
            for o in outcomes
        )
        assert late < 0.05 * len(outcomes)
    assert goodput[5] > 0.9 * goodput[1]
