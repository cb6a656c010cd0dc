"""The fair queue as a data structure."""

import collections

import hypothesis
from hypothesis import strategies

from greengagelb.coordination.sharing import fair_queue
from greengagelb.state import configuration

LONG = configuration.Priority.LONG
ACCOUNTS = strategies.sampled_from(['a', 'b', 'c'])
OPERATIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['push', 'pop', 'drop', 'park', 'unpark']),
        ACCOUNTS,
        strategies.integers(1, 50),
    ),
    max_size=60,
)


def ticket(exchange, account, cost):
    return fair_queue.Ticket(exchange, account, 'p', LONG, float(cost))


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(OPERATIONS)
def test_no_ticket_is_lost_or_served_out_of_order(moves):
    queue = fair_queue.FairQueue()
    model = collections.defaultdict(list)
    parked = set()
    for exchange, (move, account, cost) in enumerate(moves):
        match move:
            case 'push':
                queue.push(ticket(exchange, account, cost))
                model[account].append(exchange)
            case 'pop' if queue.peek() is not None:
                taken = queue.pop(1)
                assert taken.account not in parked
                assert model[taken.account].pop(0) == taken.exchange
            case 'drop' if model[account]:
                queue.discard(account, model[account].pop(-1))
            case 'park' if model[account]:
                queue.park_account(account)
                parked.add(account)
            case 'unpark':
                queue.unpark_account(account)
                parked.discard(account)
        queue.check_invariants()
        free = any(model[name] for name in model if name not in parked)
        assert (queue.peek() is not None) == free
    assert len(queue) == sum(map(len, model.values()))


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.integers(1, 100), min_size=20, max_size=60),
    strategies.integers(1, 4),
)
def test_backlogged_accounts_get_service_by_weight(costs, weight):
    """Two accounts always have waiting requests.

    Their service by weight never differs by more than one request.
    """
    queue = fair_queue.FairQueue()
    weights = {'light': 1, 'heavy': weight}
    for exchange, cost in enumerate(costs):
        for name in weights:
            queue.push(ticket((exchange, name), name, cost))
    service = dict.fromkeys(weights, 0.0)
    while all(
        account_queue.waiting
        for account_queue in queue.account_queues.values()
    ):
        taken = queue.pop(weights[queue.peek().account])
        service[taken.account] += taken.cost / weights[taken.account]
        assert abs(service['light'] - service['heavy']) <= max(costs)


def test_idle_account_gains_no_credit():
    queue = fair_queue.FairQueue()
    for exchange in range(10):
        queue.push(ticket(exchange, 'a', 10))
    for _ in range(8):
        queue.pop(1)
    for exchange in range(20, 25):
        queue.push(ticket(exchange, 'b', 10))
    order = [queue.pop(1).account for _ in range(4)]
    assert sorted(order) == ['a', 'a', 'b', 'b']
