"""Whole requests through ``Node.handle``, without reactor and sockets."""

import random

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import node
from greengagelb.state import configuration
from greengagelb.state import identity
from greengagelb.state import requests


def small_configuration():
    upstreams = tuple(
        configuration.Upstream(f'engine-{number}', '127.0.0.1', 1, 'kl-1')
        for number in range(2)
    )
    return configuration.Configuration(
        version=1,
        accounts=(configuration.ClientAccount('teratak', '', ('draft',)),),
        services=(
            configuration.Service(
                'draft', configuration.ServiceKind.GENERATION, 'drafting'
            ),
        ),
        pools=(configuration.Pool('drafting', upstreams, 'm', '1'),),
    )


def configured_instance():
    instance = node.Node('i1', random.Random(1))
    instance.handle(
        events.ConfigurationOffered(small_configuration(), 'test'), 0.0
    )
    return instance


def draft(exchange=1, most_tokens=3):
    return requests.GenerationRequest(
        exchange,
        identity.RequestId('teratak', f'r{exchange}'),
        'draft',
        'a prompt',
        most_tokens,
        deadline=60.0,
    )


def only_action(kind, done):
    (found,) = [action for action in done if isinstance(action, kind)]
    return found


def test_request_runs_from_submission_to_its_end():
    instance = configured_instance()
    submitted = events.GenerationSubmitted(draft())
    started = only_action(
        actions.StartAttempt, instance.handle(submitted, 1.0)
    )
    arrived = events.TokensArrived(started.attempt, 0, ('a', 'b', 'c'))
    sent = only_action(actions.SendTokens, instance.handle(arrived, 1.1))
    assert (sent.position, sent.tokens) == (0, ('a', 'b', 'c'))
    ended = events.AttemptEnded(started.attempt, 3, 'length')
    end = only_action(actions.SendEnd, instance.handle(ended, 1.2))
    assert end.position == 3
    assert not instance.running


def test_lost_engine_is_replaced_from_the_next_position():
    """An engine dies after two tokens.

    Another engine continues from the third.
    """
    instance = configured_instance()
    submitted = events.GenerationSubmitted(draft())
    first = only_action(actions.StartAttempt, instance.handle(submitted, 1.0))
    instance.handle(events.TokensArrived(first.attempt, 0, ('a', 'b')), 1.1)
    broken = events.AttemptBroken(first.attempt, 'reset', True)
    attach = only_action(actions.AttachAttempt, instance.handle(broken, 1.2))
    assert attach.position == 2
    broken = events.AttemptBroken(first.attempt, 'refused', False)
    second = only_action(actions.StartAttempt, instance.handle(broken, 1.3))
    assert second.upstream.name != first.upstream.name
    assert second.received == ('a', 'b')
    assert second.attempt.generation == first.attempt.generation


def test_late_tokens_of_a_replaced_attempt_are_dropped():
    """An engine resumes after its attempt was replaced and keeps sending.

    Its tokens may differ from those of the replacement and would mix two
    answers.
    """
    instance = configured_instance()
    submitted = events.GenerationSubmitted(draft())
    first = only_action(actions.StartAttempt, instance.handle(submitted, 1.0))
    for _ in range(2):
        broken = events.AttemptBroken(first.attempt, 'reset', True)
        done = instance.handle(broken, 1.1)
    only_action(actions.StartAttempt, done)
    late = events.TokensArrived(first.attempt, 0, ('x',))
    assert instance.handle(late, 1.2) == []


def test_older_configuration_is_refused():
    """A restored store returns an old copy of the configuration.

    Applied, it would for instance give work to a drained engine again.
    """
    instance = configured_instance()
    older = configuration.Configuration(version=0)
    instance.handle(events.ConfigurationOffered(older, 'platform'), 1.0)
    assert instance.configuration == small_configuration()
