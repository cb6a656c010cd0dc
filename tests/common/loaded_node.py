"""One instance's decisions with a small configuration, for load tests."""

import random

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import node
from greengagelb.state import configuration
from greengagelb.state import identity
from greengagelb.state import requests

Priority = configuration.Priority


def account(name, **changes):
    """Return a client account that may call everything."""
    services = ('draft', 'lookup', 'quick')
    return configuration.ClientAccount(name, '', services, **changes)


def configured(accounts, engines=1, slots=1, version=1):
    """Return a configuration with one drafting and one plain pool."""
    upstreams = tuple(
        configuration.Upstream(f'e{number}', '127.0.0.1', 1, 'kl-1')
        for number in range(engines)
    )
    plain = (configuration.Upstream('p0', '127.0.0.1', 1, 'kl-1'),)
    kinds = configuration.ServiceKind
    return configuration.Configuration(
        version=version,
        accounts=tuple(accounts),
        services=(
            configuration.Service('draft', kinds.GENERATION, 'drafting'),
            configuration.Service(
                'quick',
                kinds.GENERATION,
                'drafting',
                priority=Priority.SHORT,
            ),
            configuration.Service(
                'lookup', kinds.CALL, 'plain', priority=Priority.SHORT
            ),
        ),
        pools=(
            configuration.Pool(
                'drafting', upstreams, 'm', '1', slots_per_upstream=slots
            ),
            configuration.Pool('plain', plain, slots_per_upstream=slots),
        ),
    )


def new_node(accounts, engines=1, slots=1):
    """Return a node with a configuration in force."""
    made = node.Node('inst', random.Random(7))
    offered = configured(accounts, engines, slots)
    made.handle(events.ConfigurationOffered(offered, 'test'), 0.0)
    return made


def draft(exchange, name, tokens=10, deadline=600.0, service='draft'):
    """Return the arrival of a request for a generation."""
    return events.GenerationSubmitted(
        requests.GenerationRequest(
            exchange,
            identity.RequestId(name, f'r{exchange}'),
            service,
            'hello',
            tokens,
            deadline,
        )
    )


def only(kind, done):
    """Return the actions of one kind."""
    return [action for action in done if isinstance(action, kind)]


def started(done):
    """Return the requests that an engine is told to start."""
    return [
        action.attempt.request.request
        for action in only(actions.StartAttempt, done)
    ]


def failures(done):
    """Return the final failures by exchange."""
    return {
        action.exchange: action.failure
        for action in only(actions.SendFailure, done)
    }


def end(running, exchange, now):
    """Have the engine complete an exchange's answer."""
    stream = running.stream_supervisor.streams[exchange]
    attempt = stream.attempt.attempt_id
    return running.handle(
        events.AttemptEnded(attempt, stream.position, 'length'), now
    )
