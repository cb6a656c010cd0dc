"""Orders a new copy of a run's memory when the first one is lost.

The engine of a run sends its memory to one other engine, which is chosen when
the run starts. If that one fails, the run has no copy, and its prompt would
be read again after the next loss. Ordered copies replace the lost one. They
expire after some seconds and are renewed until the run ends.
"""

from collections.abc import Iterator

from greengagelb.coordination import actions
from greengagelb.coordination import timers
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import relay_components
from greengagelb.coordination.relay import sending
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import engines
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import requests

COPY_TIMER = 'relay-copy'
# An ordered copy is renewed after this share of its lifetime. Only the memory
# that the run has added since is sent.
COPY_RENEWAL_SHARE = 0.75
# Maximum copy orders for one run. Each one sends all of its memory, a quarter
# of a gigabyte for a usual prompt, so a run whose copies keep failing
# continues without.
MAX_COPY_ORDERS = 3

Action = relay_actions.RelayAction


class RunCopies:
    """Orders, replaces and renews the copies of running streams."""

    def __init__(
        self,
        components: relay_components.RelayComponents,
        open_exchanges: dict[int, exchanges.Exchange],
    ) -> None:
        self.components = components
        self.open_exchanges = open_exchanges

    def replace_lost_copies(
        self,
        engine: str,
        now: float,
        started_at_ms: int = engines.UNKNOWN_START,
    ) -> list[Action]:
        """Order new copies of the runs whose copies an engine has lost.

        Copies made after a restart of the engine, later than
        ``started_at_ms``, are not lost.
        """
        resulting: list[Action] = []
        for exchange, sent in self.runs_copied_to(engine, started_at_ms):
            resulting += self.replace_copy(exchange, sent, now)
        return resulting

    def replace_silent_copies(
        self, engine: str, now: float, started_at_ms: int
    ) -> list[Action]:
        """Order other copies of the runs whose copies a silent engine has.

        The engine may only make a pause, so each copy is kept until there is
        another one.
        """
        resulting: list[Action] = []
        for exchange, sent in self.runs_copied_to(engine, started_at_ms):
            if sent.next_copy_to is not None:
                continue
            source = self.copy_source(exchange, sent)
            if source is None or source.is_resting(now):
                continue
            target = self.choose_target(exchange, source, {engine}, now)
            if target is not None:
                sent.copy_orders += 1
                sent.next_copy_to = target.entry
                resulting.append(
                    self.build_copy_order(exchange, sent, target.entry)
                )
        return resulting

    def runs_copied_to(
        self, engine: str, started_at_ms: int
    ) -> Iterator[tuple[exchanges.Exchange, exchanges.InFlightSend]]:
        """Find the runs with a copy on an engine, made by a start of it."""
        for exchange in self.open_exchanges.values():
            for sent in exchange.sends.values():
                held = sent.copy_to
                if not is_at(held, engine):
                    continue
                if not engines.is_earlier(started_at_ms, held.started_at_ms):
                    yield exchange, sent

    def replace_copy(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Order a copy in place of one that was lost or not made."""
        lost = sent.copy_to.engine if sent.copy_to else ''
        sent.copy_to = None
        sent.copy_name = None
        sent.copy_ordered = False
        sent.next_copy_to = None
        self.components.send_manager.update_copy_location(exchange, sent, now)
        return self.order_new_copy(exchange, sent, {lost}, now)

    def order_missing_copy(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Order a copy of a run without one when its first event arrives.

        Before that there is nothing to copy, so a copy whose engine failed
        while the prompt was read can be replaced only now.
        """
        if sent.copy_to is not None:
            return []
        return self.order_new_copy(exchange, sent, set(), now)

    def order_new_copy(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        excluded: set[str],
        now: float,
    ) -> list[Action]:
        """Order a copy on an engine that is not excluded, if possible.

        It is ordered later if the engine of the run wants no requests.
        """
        source = self.copy_source(exchange, sent)
        if source is None:
            return []
        if source.is_resting(now):
            sent.copy_postponed = True
            return [copy_timer(exchange, source.rest_until)]
        target = self.choose_target(exchange, source, excluded, now)
        if target is None:
            return []
        sent.copy_orders += 1
        sent.copy_to = target.entry
        self.components.send_manager.update_copy_location(exchange, sent, now)
        return [self.build_copy_order(exchange, sent, target.entry)]

    def copy_source(
        self, exchange: exchanges.Exchange, sent: exchanges.InFlightSend
    ) -> engine_states.EngineState | None:
        """Return a run's engine if one more copy of the run may be ordered."""
        model_engines = exchange.ruling.service.engines
        if model_engines is None or not model_engines.moves:
            return None
        if not sent.events_seen or sent.copy_orders >= MAX_COPY_ORDERS:
            return None
        return self.components.engines.states.get(sent.entry.engine)

    def choose_target(
        self,
        exchange: exchanges.Exchange,
        source: engine_states.EngineState,
        excluded: set[str],
        now: float,
    ) -> engine_states.EngineState | None:
        """Return the engine on which to order a copy of a run, or None."""
        return self.components.selector.choose_for_copy(
            exchange.ruling.service,
            exchange.request.prompt,
            source,
            excluded,
            now,
        )

    def build_copy_order(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        target: engines.EngineEntry,
    ) -> relay_actions.CopyRun:
        """Return the action that copies a run to its chosen engine."""
        return relay_actions.CopyRun(
            exchange.number,
            sent.number,
            exchange.request.request_id,
            sent.entry,
            target,
        )

    def handle_copy_result(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.RunCopied,
        now: float,
    ) -> list[Action]:
        """Handle the result of a copy order."""
        is_next = is_at(sent.next_copy_to, event.target)
        if not is_next and not is_at(sent.copy_to, event.target):
            return []
        outcome = 'made' if event.handle else 'not made'
        why = f'copy at {event.target} {outcome}'
        resulting: list[Action] = [
            sending.record(exchange, sent, 'run-copied', why)
        ]
        if is_next:
            made, sent.next_copy_to = sent.next_copy_to, None
            if not event.handle:
                return resulting
            sent.copy_to = made
            self.components.send_manager.update_copy_location(
                exchange, sent, now
            )
        elif not event.handle:
            return resulting + self.replace_copy(exchange, sent, now)
        sent.copy_name = requests.CopyName(sent.entry.address, event.handle)
        sent.copy_ordered = True
        model_engines = exchange.ruling.service.engines
        renew_at = now + COPY_RENEWAL_SHARE * model_engines.copy_seconds
        return [*resulting, copy_timer(exchange, renew_at)]

    def renew_copies(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action]:
        """Order the same copies again before they expire.

        At an engine that wants no requests they are ordered later, as are
        copies that were not ordered for that reason.
        """
        resulting: list[Action] = []
        for sent in exchange.sends.values():
            source = self.components.engines.states.get(sent.entry.engine)
            if source is not None and source.is_resting(now):
                resulting.append(copy_timer(exchange, source.rest_until))
            elif sent.copy_postponed:
                sent.copy_postponed = False
                resulting += self.order_missing_copy(exchange, sent, now)
            elif sent.copy_ordered and sent.copy_to is not None:
                resulting.append(
                    self.build_copy_order(exchange, sent, sent.copy_to)
                )
        return resulting


def is_at(entry: engines.EngineEntry | None, engine: str) -> bool:
    """Return whether a copy is on an engine."""
    return entry is not None and entry.engine == engine


def copy_timer(exchange: exchanges.Exchange, at: float) -> actions.SetTimer:
    """Return the timer at which the copies of a run are ordered again."""
    return actions.SetTimer(timers.timer_name(COPY_TIMER, exchange.number), at)
