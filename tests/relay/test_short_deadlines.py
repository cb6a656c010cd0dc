"""Requests that can't be served any more in the time that is left."""

from tests.common import relay_world


def test_stream_is_refused_if_its_prompt_can_not_be_read_by_the_deadline():
    """Callers come back after a long loss, with little time left.

    An engine would read their prompts, for a second each, and be stopped at
    their deadlines before the first event. Those who still have time would
    wait behind them.
    """
    world = relay_world.RelayWorld()
    late = world.ask(seconds=0.5, resumes_after=100)
    assert not world.sends(late)
    [refusal] = world.refusals(late)
    assert refusal.status == 503


def test_stream_with_a_short_deadline_is_served_from_a_cached_prompt():
    """An engine that has read the prompt goes on at once."""
    world = relay_world.RelayWorld()
    first = world.ask(prompt=relay_world.PROMPT)
    world.leave(first)
    world.advance(1.0)
    again = world.ask(
        prompt=relay_world.PROMPT, seconds=0.5, resumes_after=100
    )
    assert world.sends(again)


def test_reading_rate_adapts_to_fast_engines():
    """Another fleet's engines read prompts four times as fast.

    Judged by the engines of today, its callers would be refused although
    there is time enough for their answers.
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
