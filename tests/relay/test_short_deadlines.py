"""Requests that can't be served in the time until their deadline."""

from tests.common import relay_world


def test_stream_is_refused_if_its_prompt_can_not_be_read_by_the_deadline():
    """Callers retry after a long outage, shortly before their deadlines.

    Engines would read each of their prompts for a second, reach the deadline
    before the first event, and delay callers that still have time.
    """
    world = relay_world.RelayWorld()
    late = world.ask(seconds=0.5, resumes_after=100)
    assert not world.sends(late)
    [refusal] = world.refusals(late)
    assert refusal.status == 503


def test_stream_with_a_short_deadline_is_served_from_a_cached_prompt():
    """An engine that has the prompt in memory resumes at once."""
    world = relay_world.RelayWorld()
    first = world.ask(prompt=relay_world.PROMPT)
    world.leave(first)
    world.advance(1.0)
    again = world.ask(
        prompt=relay_world.PROMPT, seconds=0.5, resumes_after=100
    )
    assert world.sends(again)


def test_reading_rate_adapts_to_fast_engines():
    """Engines read prompts four times as fast as the default rate.

    By the default rate, callers would be refused although there is enough time
    to answer them.
    """
    world = relay_world.RelayWorld()
    for _ in range(20):
        send = world.last_send(world.ask())
        world.advance(0.25)
        world.begin(send)
        world.events(send, 1)
        world.complete(send)
    exchange = world.ask(seconds=0.5, resumes_after=100)
    assert world.sends(exchange)
