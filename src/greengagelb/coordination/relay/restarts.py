"""Ends the runs and copies of an engine that restarted with its identity.

The new life has none of the runs, copies and prompts of the previous one, but
accepts what is sent under the same identity. Only the start time that the
engine states shows that they are lost.
"""

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import calls
from greengagelb.coordination.relay import relay_components
from greengagelb.coordination.relay import run_copies
from greengagelb.coordination.relay import send_lives
from greengagelb.coordination.relay import sending
from greengagelb.coordination.relay import streams
from greengagelb.state.relay import engines
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import hints
from greengagelb.state.relay import routes

RESTART_DETAIL = 'engine restarted'
WRONG_SERVICE_DETAIL = 'engine of another service'

Action = relay_actions.RelayAction


class RestartHandler:
    """Continues runs of ended lives elsewhere, and replaces their copies."""

    def __init__(
        self,
        components: relay_components.RelayComponents,
        call_relay: calls.CallRelay,
        stream_relay: streams.StreamRelay,
        copies: run_copies.RunCopies,
        open_exchanges: dict[int, exchanges.Exchange],
    ) -> None:
        self.components = components
        self.calls = call_relay
        self.streams = stream_relay
        self.copies = copies
        self.open_exchanges = open_exchanges

    def note_reported_start(
        self, engine: str, started_at_ms: int, now: float
    ) -> list[Action]:
        """Apply the start time that an engine reported, if it is a later one.

        The other instances are told, as they could not learn of it while the
        store is unavailable.
        """
        entry = self.components.engines.apply_restart(
            engine, started_at_ms, now
        )
        if entry is None:
            return []
        hint = hints.EngineRestarted(engine, started_at_ms)
        self.components.send_manager.pending_hints.append(hint)
        return self.end_former_lives([entry], now)

    def note_peer_reported_start(
        self, engine: str, started_at_ms: int, now: float
    ) -> list[Action]:
        """Apply the start time that another instance was told."""
        entry = self.components.engines.apply_restart(
            engine, started_at_ms, now
        )
        return self.end_former_lives([entry], now) if entry is not None else []

    def end_former_lives(
        self, entries: list[engines.EngineEntry], now: float
    ) -> list[Action]:
        """End the former lives of engines; ``entries`` are of the new lives.

        Runs are continued before copies are replaced: a run that has moved
        needs no copy of its former engine.
        """
        resulting: list[Action] = []
        for entry in entries:
            reason = f'started at {entry.started_at_ms} ms'
            resulting.append(
                actions.Record(
                    'engine-restarted', reason, upstream=entry.engine
                )
            )
            self.components.send_manager.loads.forget_lost_runs(
                entry.engine, sending.OWN_INSTANCE
            )
        for entry in entries:
            resulting += self.end_former_sends(entry, now)
        for entry in entries:
            last_former_start = entry.started_at_ms - 1
            resulting += self.copies.replace_lost_copies(
                entry.engine, now, last_former_start
            )
        return resulting

    def end_former_sends(
        self, entry: engines.EngineEntry, now: float
    ) -> list[Action]:
        """End the sends that went to the former life of an engine."""
        resulting: list[Action] = []
        for exchange in list(self.open_exchanges.values()):
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
                resulting += self.continue_elsewhere(
                    exchange, sent, RESTART_DETAIL, now
                )
        return resulting

    def end_misrouted_sends(
        self, entry: engines.EngineEntry, now: float
    ) -> list[Action]:
        """End the sends to an engine that is of another service than assumed.

        Their routes do not allow an answer of that service.
        """
        reason = f'of service {entry.service}'
        resulting: list[Action] = [
            actions.Record(
                'engine-service-corrected', reason, upstream=entry.engine
            )
        ]
        for exchange in list(self.open_exchanges.values()):
            if exchange.ruling.service.name == entry.service:
                continue
            for sent in list(exchange.sends.values()):
                if sent.entry.engine == entry.engine:
                    resulting += self.continue_elsewhere(
                        exchange, sent, WRONG_SERVICE_DETAIL, now
                    )
        return resulting

    def is_lost(
        self, sent: exchanges.InFlightSend, entry: engines.EngineEntry
    ) -> bool:
        """Return whether a send certainly went to the former life.

        A request sent shortly before the new life was known may run there, as
        the engine accepts it by its identity. Ending such a call would answer
        a call that runs well as failed. Its connection, and a probe for a
        stream, show what became of it.
        """
        state = self.components.engines.states[entry.engine]
        return send_lives.is_of_former_life(sent, state)

    def continue_elsewhere(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        detail: str,
        now: float,
    ) -> list[Action]:
        """Continue a send elsewhere that cannot be answered any more."""
        exchange.may_have_run = True
        if exchange.ruling.route.repeat is routes.RepeatPolicy.STREAM:
            return self.streams.replace_send(exchange, sent, detail, now)
        abandoned = self.components.send_manager.abandon_send(exchange, sent)
        return abandoned + self.calls.handle_lost_send(
            exchange, sent, detail, now
        )
