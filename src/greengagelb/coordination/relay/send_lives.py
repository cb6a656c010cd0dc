"""Tells to which life of an engine a send went.

An engine that has restarted accepts what is sent under its identity before the
list shows its new life. Such a send still has the entry of the former life.
"""

from greengagelb.coordination.relay import events as relay_events
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import exchanges


def is_of_former_life(
    sent: exchanges.InFlightSend, state: engine_states.EngineState
) -> bool:
    """Return whether a send certainly went to a former life of its engine.

    ``state`` is that of the engine. One sent shortly before the current life
    was known may have gone to either.
    """
    if sent.entry.started_at_ms == state.entry.started_at_ms:
        return False
    return sent.began_at <= state.former_until


def note_probe(
    sent: exchanges.InFlightSend,
    state: engine_states.EngineState,
    event: relay_events.EngineProbed,
) -> None:
    """Note that the current life got a send, if it lists the run."""
    if event.run_events is None:
        return
    if event.started_at_ms == state.entry.started_at_ms:
        sent.entry = state.entry


def seems_lost(
    sent: exchanges.InFlightSend,
    state: engine_states.EngineState,
    event: relay_events.EngineProbed,
) -> bool:
    """Return whether a run seems lost, as a later life answered a probe.

    That life would have started the run by now if it had got it. Events that
    were read since it is known show that it did.
    """
    if not sent.entry.is_earlier_than(event.started_at_ms):
        return False
    return sent.last_event_at <= min(sent.asked_at, state.learned_at)
