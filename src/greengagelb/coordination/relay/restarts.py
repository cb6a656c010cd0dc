"""Ends what an engine held when it has started again under its identity.

The new life knows nothing of the runs, copies and prompts of the one before,
but it accepts what is sent under its identity. So nothing tells an instance
that they are gone, but the start that the engine states.
"""

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import calls
from greengagelb.coordination.relay import run_copies
from greengagelb.coordination.relay import sending
from greengagelb.coordination.relay import streams
from greengagelb.state.relay import engines
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import hints
from greengagelb.state.relay import routes

RESTART_DETAIL = 'engine started again'

Action = relay_actions.RelayAction


class RestartHandler:
    """Has runs go on elsewhere, and copies made elsewhere."""

    def __init__(
        self,
        parts: calls.RelayParts,
        call_relay: calls.CallRelay,
        stream_relay: streams.StreamRelay,
        copies: run_copies.RunCopies,
        running: dict[int, exchanges.Exchange],
    ) -> None:
        self.parts = parts
        self.calls = call_relay
        self.streams = stream_relay
        self.copies = copies
        self.running = running

    def note_reported_start(
        self, engine: str, started_at_ms: int, now: float
    ) -> list[Action]:
        """Take in when an engine says it was started, if that is news.

        The other instances are told: while the store is away they could not
        learn it otherwise.
        """
        entry = self.parts.engines.apply_restart(engine, started_at_ms, now)
        if entry is None:
            return []
        hint = hints.Restarted(engine, started_at_ms)
        self.parts.send_table.pending_hints.append(hint)
        return self.end_former_lives([entry], now)

    def note_peer_reported_start(
        self, engine: str, started_at_ms: int, now: float
    ) -> list[Action]:
        """Take in what another instance has found."""
        entry = self.parts.engines.apply_restart(engine, started_at_ms, now)
        return self.end_former_lives([entry], now) if entry is not None else []

    def end_former_lives(
        self, entries: list[engines.EngineEntry], now: float
    ) -> list[Action]:
        """End the former lives of engines; these are their new entries.

        Runs go on first, then copies are replaced: a run that has moved needs
        no copy from where it was.
        """
        done: list[Action] = []
        for entry in entries:
            reason = f'started at {entry.started_at_ms} ms'
            done.append(
                actions.Record(
                    'engine-restarted', reason, upstream=entry.engine
                )
            )
            self.parts.send_table.loads.forget_lost_runs(
                entry.engine, sending.OWN_INSTANCE
            )
        for entry in entries:
            done += self.end_former_sends(entry, now)
        for entry in entries:
            last_former_start = entry.started_at_ms - 1
            done += self.copies.replace_lost_copies(
                entry.engine, now, last_former_start
            )
        return done

    def end_former_sends(
        self, entry: engines.EngineEntry, now: float
    ) -> list[Action]:
        """End the sends that went to the former life of an engine."""
        done: list[Action] = []
        for exchange in list(self.running.values()):
            sent_there = [
                sent
                for sent in exchange.sends.values()
                if sent.entry.engine == entry.engine
            ]
            lost_sends = [
                sent for sent in sent_there if self.is_lost(sent, entry)
            ]
            if len(lost_sends) == len(sent_there):
                exchange.tried.discard(entry.engine)
                exchange.refused_by.discard(entry.engine)
            for sent in lost_sends:
                done += self.continue_elsewhere(exchange, sent, now)
        return done

    def is_lost(
        self, sent: exchanges.Sent, entry: engines.EngineEntry
    ) -> bool:
        """Return whether a send certainly went to the life before.

        One that was sent shortly before the new life was heard of may run
        there: the engine took it, as the identity was right. Ended, a call
        that runs well would be answered as failed. Its connection, and a
        probe if it is a stream, tell what has become of it.
        """
        if sent.entry.started_at_ms == entry.started_at_ms:
            return False
        state = self.parts.engines.states[entry.engine]
        return sent.began_at <= state.former_until

    def continue_elsewhere(
        self, exchange: exchanges.Exchange, sent: exchanges.Sent, now: float
    ) -> list[Action]:
        """Go on elsewhere with a send that can't be answered any more."""
        exchange.may_have_run = True
        if exchange.ruling.route.repeat is routes.Repeat.STREAM:
            return self.streams.replace_send(
                exchange, sent, RESTART_DETAIL, now
            )
        abandoned = self.parts.send_table.abandon_send(exchange, sent)
        return abandoned + self.calls.handle_lost_send(
            exchange, sent, RESTART_DETAIL, now
        )
