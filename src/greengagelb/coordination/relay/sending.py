"""Sends requests to engines and counts those in flight."""

import dataclasses
import itertools

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import loads
from greengagelb.coordination.relay import shared_retry_budget
from greengagelb.coordination.sharing import limit_keeper
from greengagelb.coordination.sharing import limit_table
from greengagelb.state import identity
from greengagelb.state import limits
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import engines
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import hints
from greengagelb.state.relay import requests
from greengagelb.state.relay import routes

Action = relay_actions.RelayAction
# The instance key of this instance's own runs in the run loads.
OWN_INSTANCE = ''


class SendManager:
    """Starts and abandons sends, and counts them for each engine.

    ``pending_hints`` are those that other instances have not been sent yet.

    Invariant: an engine's ``in_flight`` counts exactly the sends to it that
    are in the ``sends`` of an exchange, each once.
    """

    def __init__(
        self,
        engine_directory: directory.EngineDirectory,
        run_loads: loads.RunLoads,
        retry_budget: shared_retry_budget.SharedRetryBudget,
        keeper: limit_keeper.LimitKeeper,
    ) -> None:
        self.engines = engine_directory
        self.loads = run_loads
        self.budget = retry_budget
        self.send_numbers = itertools.count(1)
        self.pending_hints: list[hints.Hint] = []
        self.keeper = keeper

    def has_attempts_left(self, exchange: exchanges.Exchange) -> bool:
        """Return whether the route allows one more attempt."""
        return exchange.attempts < exchange.ruling.route.most_attempts

    def try_spend_attempt(
        self, exchange: exchanges.Exchange, now: float
    ) -> bool:
        """Return whether one more attempt is allowed; spend a retry for it.

        The first arrival at an engine spends none, nor does an attempt that
        is not allowed.
        """
        if not self.has_attempts_left(exchange):
            return False
        if not exchange.arrivals:
            return True
        service = exchange.ruling.service.name
        exchange.retry_number = self.budget.spend(service, now)
        return exchange.retry_number is not None

    def record_refused_attempt(
        self, exchange: exchanges.Exchange, now: float
    ) -> actions.Record:
        """Return the timeline event of an attempt that is not allowed."""
        why = self.budget.describe(exchange.ruling.service.name, now)
        if not self.has_attempts_left(exchange):
            most = exchange.ruling.route.most_attempts
            why = f'attempts {exchange.attempts} of {most}'
        return record(exchange, None, 'attempt-refused', why)

    def start_send(
        self,
        exchange: exchanges.Exchange,
        state: engine_states.EngineState,
        now: float,
        copy_from: requests.CopyName | None = None,
        copy_to: engines.EngineEntry | None = None,
    ) -> list[Action]:
        """Send a request to an engine, from the caller's position on."""
        request, ruling = exchange.request, exchange.ruling
        stream = ruling.route.repeat is routes.RepeatPolicy.STREAM
        sent = exchanges.InFlightSend(
            next(self.send_numbers),
            state.entry,
            began_at=now,
            silent_since=now,
            copy_to=copy_to,
            from_copy=copy_from is not None,
            retry_number=exchange.retry_number,
        )
        exchange.retry_number = None
        if copy_to is not None:
            sent.copy_name = requests.CopyName(
                copy_to.address, request.request_id
            )
        exchange.sends[sent.number] = sent
        exchange.tried.add(state.entry.engine)
        exchange.attempts += 1
        exchange.arrivals += 1
        state.in_flight += 1
        state.note_send(now)
        if stream:
            self.count_run(exchange, sent, now)
        return [
            record(
                exchange,
                sent,
                'sent',
                self.describe_send(exchange, state, sent, now),
            ),
            relay_actions.Send(
                exchange.number,
                sent.number,
                state.entry,
                request,
                ruling.account,
                self.priority_of(exchange),
                ruling.deadline,
                stream,
                exchange.position or None,
                copy_from,
                copy_to,
                fresh=not ruling.route.is_repeatable or exchange.attempts > 1,
                is_resumable=stream and ruling.route.is_repeatable,
            ),
        ]

    def note_answer_head(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        head: requests.AnswerHead,
        now: float,
    ) -> list[Action]:
        """Record the load and the limit that an answer's head reports."""
        self.engines.update_load(sent.entry.engine, head.load, now)
        life = sent.entry.life
        if isinstance(head.limit, limits.UnusableLimit):
            why = f'limit-unusable: {head.limit.text}'
            return [record(exchange, sent, 'engine-limit-refused', why)]
        changed_limit = self.keeper.update_from_answer(
            life, head.limit, sent.began_at, now
        )
        if changed_limit is None:
            return []
        return [
            record(
                exchange,
                sent,
                'engine-limit',
                limit_table.describe_limit(changed_limit),
            )
        ]

    def priority_of(self, exchange: exchanges.Exchange) -> int:
        """Return the priority of a send at its engine, 0 the most urgent.

        A resumed stream is admitted ahead of new ones, as its caller is
        already reading.
        """
        if exchange.begun:
            return 0
        return min(9, 2 + exchange.ruling.priority)

    def describe_send(
        self,
        exchange: exchanges.Exchange,
        state: engine_states.EngineState,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> str:
        """Return the figures behind the choice of an engine for a send."""
        work = self.loads.work_on(state.entry.engine)
        parts = [
            f'attempt {exchange.attempts}',
            f'fingerprint {exchange.causes.request}',
            f'parts {" ".join(exchange.causes.parts) or "none"}',
            f'in_flight {state.in_flight}',
            f'runs {work.runs}',
            f'memory tokens {work.memory_tokens}',
        ]
        known = self.keeper.table.known_limits.get(state.entry.life)
        if known is not None and known.rate is not None:
            age = sent.began_at - known.known_at
            parts.append(f'limit {known.rate:g} known for {age:.3f} s')
        if exchange.arrivals > 1:
            service = exchange.ruling.service.name
            parts.append(self.budget.describe(service, now))
        if exchange.position:
            parts.append(f'resumes after event {exchange.position}')
        if sent.from_copy:
            parts.append('from copy')
        if sent.copy_to is not None:
            parts.append(f'copy to {sent.copy_to.engine}')
        return ', '.join(parts)

    def count_run(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> None:
        """Count a run's memory and unread prompt for its engine."""
        prompt = exchange.request.prompt
        if prompt is None:
            return
        holder = self.loads.prompts.likely_holder(prompt.own_part, now)
        has_prompt = sent.from_copy or holder == sent.entry.engine
        unread_tokens = 0 if has_prompt else prompt.tokens
        copy_to = sent.copy_to.engine if sent.copy_to else ''
        if unread_tokens and not self.loads.work_on(sent.entry.engine).runs:
            sent.alone_with = unread_tokens
        run = loads.Run(
            sent.entry.engine,
            prompt.max_memory_tokens,
            unread_tokens,
            copy_to,
            prompt.own_part,
        )
        self.count_and_announce_run(sent.number, run, now)

    def update_copy_location(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> None:
        """Count the copy of a run for the engine that now holds it."""
        known = self.loads.runs.get((OWN_INSTANCE, sent.number))
        if known is not None:
            copy_to = sent.copy_to.engine if sent.copy_to else ''
            run = dataclasses.replace(known, copy_to=copy_to)
            self.count_and_announce_run(sent.number, run, now)

    def count_and_announce_run(
        self, number: int, run: loads.Run, now: float
    ) -> None:
        """Count a run here, and announce it to the other instances."""
        self.loads.add_run((OWN_INSTANCE, number), run, now)
        self.pending_hints.append(
            hints.RunPlaced(
                number,
                run.engine,
                run.memory_tokens,
                run.unread_tokens,
                run.copy_to,
                run.part,
            )
        )

    def note_unconnected(
        self, exchange: exchanges.Exchange, sent: exchanges.InFlightSend
    ) -> None:
        """Record that no byte of a send has left.

        It counts neither as an attempt nor as an arrival, nor as a retry.
        """
        if sent.retry_number is not None:
            service = exchange.ruling.service.name
            self.budget.give_back(service, sent.retry_number)
        exchange.attempts -= 1
        exchange.arrivals -= 1
        exchange.unconnected += 1

    def note_engine_replaced(
        self, exchange: exchanges.Exchange, sent: exchanges.InFlightSend
    ) -> None:
        """Record that another engine answered at a send's address.

        The intended engine no longer exists, so the send does not count as
        an attempt. It has arrived at an engine, and the budget counts that.
        """
        exchange.attempts -= 1
        self.announce_replaced(sent.entry)

    def announce_replaced(self, replaced: engines.EngineEntry) -> None:
        """Note that another engine has an engine's address, and tell so."""
        self.engines.note_replaced(replaced.engine, replaced.started_at_ms)
        self.pending_hints.append(
            hints.EngineReplaced(
                replaced.engine, started_at_ms=replaced.started_at_ms
            )
        )

    def release_send(
        self, exchange: exchanges.Exchange, sent: exchanges.InFlightSend
    ) -> None:
        """Stop counting a send; its later events are ignored."""
        del exchange.sends[sent.number]
        state = self.engines.states.get(sent.entry.engine)
        if state is not None:
            state.in_flight -= 1
        if self.loads.remove_run((OWN_INSTANCE, sent.number)):
            self.pending_hints.append(hints.RunEnded(sent.number))

    def abandon_send(
        self, exchange: exchanges.Exchange, sent: exchanges.InFlightSend
    ) -> list[Action]:
        """Release a send and close its connection."""
        self.release_send(exchange, sent)
        return [relay_actions.AbandonSend(exchange.number, sent.number)]

    def abandon_all_sends(self, exchange: exchanges.Exchange) -> list[Action]:
        """Abandon all sends of an exchange."""
        resulting: list[Action] = []
        for sent in list(exchange.sends.values()):
            resulting += self.abandon_send(exchange, sent)
        return resulting


def lost_send_record(
    exchange: exchanges.Exchange,
    sent: exchanges.InFlightSend,
    detail: str,
    now: float,
) -> actions.Record:
    """Return the timeline event of a send without a complete answer."""
    progress = 'no answer begun'
    if sent.answered_at <= now:
        seconds = now - sent.answered_at
        progress = f'{sent.events_seen} events in {seconds:.3f} s'
    return record(exchange, sent, 'send-lost', f'{detail}; {progress}')


def record(
    exchange: exchanges.Exchange,
    sent: exchanges.InFlightSend | None,
    kind: str,
    reason: str,
) -> actions.Record:
    """Return a timeline event about an exchange."""
    return actions.Record(
        kind,
        reason,
        identity.RequestId(
            exchange.ruling.account, exchange.request.request_id
        ),
        attempt=str(sent.number) if sent else '',
        upstream=sent.entry.engine if sent else '',
    )
