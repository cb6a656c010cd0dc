"""Starts other runs beside those that are silent, and ends one of the two.

A silent engine may have failed, or it may only make a pause, as after a
preemption or on a busy machine. A run is therefore not ended for its silence.
Another run is started beside it, and the first of them to write the next event
goes on. If no other run may be started, the silent one stays until the
deadline of its request.

An exchange has at most two open runs: the one that has come furthest, and its
replacement, which has not written anything yet. They overlap for a bounded
time, whatever is known of their engines; then one of them is ended.
"""

from collections.abc import Callable

from greengagelb.coordination import actions
from greengagelb.coordination import timers
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import relay_components
from greengagelb.coordination.relay import sending
from greengagelb.coordination.relay import successor_search
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import hints

SILENCE_TIMER = 'relay-silence'
# Another run is started after a silence of this share of the pause that
# callers accept. The rest suffices to continue on another engine; starting
# earlier takes streams away from engines that only read another prompt.
MAX_SILENCE_SHARE = 0.55
# The longest pause that callers accept, for routes that state none: they give
# up on a stream after two seconds.
DEFAULT_GAP_GOAL_SECONDS = 2.0
# How long a first event may be overdue before its engine is probed. Moving
# the stream wastes the work of reading its prompt, and most late engines are
# only busy.
FIRST_EVENT_MARGIN_SECONDS = 0.5
# How long an engine that answers probes has to send the next event.
PROBED_MARGIN_SECONDS = 1.0
# How long the first event of a run that resumes from a copy may take before
# its engine is probed: it has almost nothing to read, and engines admit it
# first.
COPY_FIRST_EVENT_SECONDS = 0.3
# The time from the start of a replacement to the probes of both engines. Most
# replacements have written by then.
PROBE_DELAY_SECONDS = 0.05
# How long the answer to a probe, or the lack of one, is relied upon.
PROBE_VALID_SECONDS = 1.5
# Two engines may work on a stream for 0.4 s; the rest is for the end of one of
# the runs to arrive. An engine that answers no probe may be at work as well.
MAX_OVERLAP_SECONDS = 0.25
# How long an engine that is back in reach has to write the next event.
BACK_IN_REACH_SECONDS = 0.05
# The time until a silent run is checked again, doubled with each check.
FIRST_KEPT_SECONDS = 0.4
MAX_KEPT_SECONDS = 6.4

Action = relay_actions.RelayAction
StartRun = Callable[
    [exchanges.Exchange, exchanges.InFlightSend, float], list[Action]
]


class SilentRuns:
    """Watches the open runs of streams.

    ``start_run`` starts a run in place of, or beside, the given one, if that
    is possible.
    """

    def __init__(
        self,
        components: relay_components.RelayComponents,
        succession: successor_search.SuccessorSearch,
        start_run: StartRun,
    ) -> None:
        self.components = components
        self.succession = succession
        self.start_run = start_run

    # -- deadlines ----------------------------------------------------------

    def first_event_due_at(
        self, state: engine_states.EngineState, from_copy: bool, now: float
    ) -> float:
        """Return the monotonic time by which the first event is due."""
        if from_copy:
            return now + COPY_FIRST_EVENT_SECONDS
        work = self.components.send_manager.loads.work_on(state.entry.engine)
        return max(now, work.reading_until) + FIRST_EVENT_MARGIN_SECONDS

    def next_event_due_at(
        self, exchange: exchanges.Exchange, sent: exchanges.InFlightSend
    ) -> float:
        """Return the monotonic time of the next check of a silent run.

        A run with a replacement is checked whatever this process was doing.
        """
        if is_replaced(exchange, sent):
            return sent.next_check_at
        if not sent.events_seen:
            return max(sent.first_due, sent.next_check_at)
        due_at = sent.silent_since + max_silence_seconds(exchange)
        return max(due_at, sent.next_check_at)

    def silence_timer(self, exchange: exchanges.Exchange) -> actions.SetTimer:
        """Return the timer at which the open runs are checked next."""
        name = timers.timer_name(SILENCE_TIMER, exchange.number)
        due_at = min(
            self.next_event_due_at(exchange, sent)
            for sent in exchange.sends.values()
        )
        return actions.SetTimer(name, min(due_at, exchange.overlap_until))

    # -- checks -------------------------------------------------------------

    def check_silence(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action]:
        """Check all open runs of a stream that are silent for too long."""
        resulting: list[Action] = []
        if now >= exchange.overlap_until:
            resulting += self.end_overlap(exchange, now)
        for sent in list(exchange.sends.values()):
            is_open = sent.number in exchange.sends
            if is_open and now >= self.next_event_due_at(exchange, sent):
                resulting += self.check_run(exchange, sent, now)
        if exchange.sends:
            resulting.append(self.silence_timer(exchange))
        return resulting

    def check_run(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Decide what to do about a run whose next event is overdue.

        Without a copy, another engine has to read the prompt again, which
        takes longer than the silence, so the engine is probed first.
        """
        if is_replaced(exchange, sent):
            return self.probe_both_runs(exchange, now)
        if self.usable_copy_engine(sent, now) is not None:
            return self.start_replacement(exchange, sent, now)
        is_reading = not sent.events_seen and not sent.from_copy
        probed_since = max(sent.silent_since, now - PROBE_VALID_SECONDS)
        if is_reading or sent.asked_at <= probed_since:
            return self.probe_run(exchange, sent, PROBED_MARGIN_SECONDS, now)
        if sent.is_unreachable and not sent.was_replaced_in_vain:
            return self.start_replacement(exchange, sent, now)
        if not sent.is_held and self.is_silent_alone(exchange, sent, now):
            return self.start_replacement(exchange, sent, now)
        self.keep_run(sent, now)
        return []

    def is_silent_alone(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> bool:
        """Return whether other engines are heard while this one is silent.

        If none is, they make the same pause or this instance does not hear
        them, and another run would be as silent.
        """
        if self.are_others_heard(exchange, sent, now):
            return True
        return not self.components.engines.has_other_sends(sent.entry)

    def are_others_heard(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> bool:
        """Return whether another engine has lately been heard."""
        others_heard_at = self.components.engines.others_heard_at(sent.entry)
        return now - others_heard_at <= max_silence_seconds(exchange)

    def keep_run(self, sent: exchanges.InFlightSend, now: float) -> None:
        """Leave a silent run open, and check it later."""
        seconds = FIRST_KEPT_SECONDS * 2.0**sent.times_kept
        sent.next_check_at = now + min(MAX_KEPT_SECONDS, seconds)
        sent.times_kept += 1

    # -- probes -------------------------------------------------------------

    def probe_both_runs(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action]:
        """Probe the engines of two open runs before one of them is ended."""
        return [
            action
            for sent in exchange.sends.values()
            for action in self.probe_run(
                exchange, sent, MAX_OVERLAP_SECONDS, now
            )
        ]

    def probe_run(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        seconds: float,
        now: float,
    ) -> list[Action]:
        """Probe the engine of a silent run, and check the run later."""
        sent.asked_at = now
        sent.next_check_at = now + seconds
        return [
            relay_actions.ProbeEngine(
                exchange.number,
                sent.number,
                sent.entry,
                exchange.request.request_id,
            )
        ]

    def handle_probe(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        event: relay_events.EngineProbed,
        now: float,
    ) -> list[Action]:
        """Start another run if an engine does not answer a probe.

        The caller has handled an engine that has restarted: it does not have
        the run.
        """
        if sent.last_event_at > sent.asked_at:
            return []
        is_other_way = event.alive and event.via != event.run_via
        sent.answers_elsewhere = is_other_way
        sent.is_held = (
            event.run_events is not None
            and event.run_events <= sent.events_seen
        )
        resulting: list[Action] = [probe_record(exchange, sent, event, now)]
        if event.alive and (sent.is_held or not is_other_way):
            resulting += self.note_reached(exchange, sent, now)
        else:
            resulting += self.note_unreachable(exchange, sent, now)
        if exchange.sends:
            resulting.append(self.silence_timer(exchange))
        return resulting

    def note_unreachable(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Start another run, as a silent one is at an engine out of reach.

        The two open runs of a stream may overlap no longer for that: an engine
        that does not answer may be at work.
        """
        told: list[Action] = []
        is_news = sent.is_suspected and not sent.is_unreachable
        if is_news and not sent.answers_elsewhere:
            told = self.blame_engine(sent, now, dead=True)
        sent.is_unreachable = True
        is_early = not sent.events_seen and now < sent.first_due
        is_kept = is_early or sent.was_replaced_in_vain
        if is_kept or len(exchange.sends) > 1:
            return told
        return [*told, *self.start_replacement(exchange, sent, now)]

    def note_reached(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Note that the engine of a silent run is in reach.

        It may write at once if it is back, and a replacement ends soon then.
        """
        sent.probe_answered_at = now
        sent.was_replaced_in_vain = False
        was_unreachable, sent.is_unreachable = sent.is_unreachable, False
        if is_replaced(exchange, sent) and was_unreachable:
            exchange.overlap_until = min(
                exchange.overlap_until, now + BACK_IN_REACH_SECONDS
            )
        return []

    def end_overlap(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action]:
        """End one of two silent runs of a stream."""
        exchange.overlap_until = float('inf')
        replacement = replacement_of(exchange)
        if replacement is None:
            return []
        former = first_run_of(exchange)
        if not self.is_former_kept(exchange, former, replacement):
            return self.end_run(exchange, former, now)
        former.was_replaced_in_vain = not is_in_reach(former)
        self.keep_run(former, now)
        resulting = self.end_run(exchange, replacement, now)
        if former.was_replaced_in_vain and self.are_others_heard(
            exchange, former, now
        ):
            resulting += self.suspect_engine(exchange, replacement, now)
            resulting += self.start_replacement(exchange, former, now)
        return resulting

    def is_former_kept(
        self,
        exchange: exchanges.Exchange,
        former: exchanges.InFlightSend,
        replacement: exchanges.InFlightSend,
    ) -> bool:
        """Return whether the first of two silent runs is the better one.

        If only one of the engines is in reach, its run is; if none is, both
        may make the same pause, and the first run has come further. A
        replacement from a copy would have written by now, if its engine could.
        One that reads the prompt needs more time; the first run is left for it
        unless its engine still holds it, or the other one was the last
        attempt.
        """
        asked_at = max(replacement.began_at, replacement.asked_at)
        is_heard = self.engine_heard_at(replacement) >= asked_at
        if not (is_heard or is_in_reach(replacement)):
            return True
        if not is_in_reach(former):
            return False
        if former.is_held or replacement.from_copy:
            return True
        return not self.components.send_manager.has_attempts_left(exchange)

    # -- runs ---------------------------------------------------------------

    def start_replacement(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Start another run beside a silent one, if that is possible."""
        told = self.suspect_engine(exchange, sent, now)
        self.keep_run(sent, now)
        watch = self.components.crash_watch
        is_held = watch.check_that_may_block(exchange, now) is not None
        if is_held or not exchange.ruling.route.is_repeatable:
            return told
        return [*told, *self.start_run(exchange, sent, now)]

    def bound_overlap(self, exchange: exchanges.Exchange, now: float) -> None:
        """Bound the time with two open runs, from the start of the second."""
        if replacement_of(exchange) is None:
            return
        exchange.overlap_until = now + MAX_OVERLAP_SECONDS
        first_run_of(exchange).next_check_at = now + PROBE_DELAY_SECONDS

    def suspect_engine(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Record a silence, once, and prefer other engines for a while."""
        if sent.is_suspected:
            return []
        sent.is_suspected = True
        detail = self.describe_silence(exchange, sent, now)
        return [
            sending.record(exchange, sent, 'send-suspected', detail),
            *self.blame_engine(sent, now, dead=is_engine_lost(sent)),
        ]

    def blame_engine(
        self, sent: exchanges.InFlightSend, now: float, *, dead: bool
    ) -> list[Action]:
        """Count a failure of a run's engine, and tell the others.

        ``dead`` is whether the engine seems to have failed. An engine that
        was only silent may still be reading another prompt.
        """
        engine, start = sent.entry.engine, sent.entry.started_at_ms
        self.components.engines.note_failure(
            engine, now, dead=dead, started_at_ms=start
        )
        kind = hints.EngineFailed if dead else hints.StreamSilent
        self.components.send_manager.pending_hints.append(kind(engine, start))
        return self.succession.search_after_loss(sent.entry, now)

    def describe_silence(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> str:
        """Return what separates one silent engine from several or our own.

        A late timer means that this process stood still, and no word from
        other engines that the cause is none of this engine's.
        """
        silent = now - sent.silent_since
        late = max(0.0, now - self.next_event_due_at(exchange, sent))
        heard = now - self.components.engines.others_heard_at(sent.entry)
        reach = 'no answer to a probe, ' if is_engine_lost(sent) else ''
        return (
            f'{reach}silent for {silent:.3f} s, noticed {late:.3f} s late, '
            f'others heard {heard:.3f} s ago'
        )

    def keep_winner(
        self,
        exchange: exchanges.Exchange,
        winner: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Go on with the run that has written the next event."""
        if winner.is_suspected:
            winner.is_suspected = False
            self.components.engines.note_success(winner.entry.engine, now)
        winner.is_unreachable = False
        winner.is_held = False
        winner.answers_elsewhere = False
        winner.was_replaced_in_vain = False
        winner.times_kept = 0
        exchange.unconnected = 0
        exchange.overlap_until = float('inf')
        resulting = [
            action
            for sent in list(exchange.sends.values())
            if sent is not winner
            for action in self.end_run(exchange, sent, now)
        ]
        if winner.next_check_at > now:
            winner.next_check_at = now
            resulting.append(self.silence_timer(exchange))
        return resulting

    def end_run(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """End a run of a stream that has another one."""
        exchange.may_have_run = True
        detail = 'another run goes on'
        return [
            sending.lost_send_record(exchange, sent, detail, now),
            *self.components.send_manager.abandon_send(exchange, sent),
        ]

    def go_on_with_other_run(
        self,
        exchange: exchanges.Exchange,
        ended: exchanges.InFlightSend,
        now: float,
    ) -> list[Action]:
        """Go on with the other run of a stream as one has ended by itself.

        If the copy could not be used, the silent run gets another replacement
        at once; otherwise later, as one refusal is often followed by the next.
        """
        exchange.overlap_until = float('inf')
        [other] = exchange.sends.values()
        if ended.from_copy and other.is_suspected:
            other.next_check_at = now
        return [self.silence_timer(exchange)]

    def wants_replacement(
        self, exchange: exchanges.Exchange, now: float
    ) -> bool:
        """Return whether the only open run of a stream is a silent one."""
        sends = list(exchange.sends.values())
        if len(sends) != 1 or not sends[0].is_suspected:
            return False
        watch = self.components.crash_watch
        return watch.check_that_may_block(exchange, now) is None

    def engine_heard_at(self, sent: exchanges.InFlightSend) -> float:
        """Return the monotonic time when an engine was last heard from."""
        state = self.components.engines.states.get(sent.entry.engine)
        return state.heard_at if state else float('-inf')

    def usable_copy_engine(
        self, sent: exchanges.InFlightSend, now: float
    ) -> engine_states.EngineState | None:
        """Return the engine with a copy of a run, if it can resume it.

        A copy can be used once. After a restart the engine answers under the
        same identity but has no copy.
        """
        if sent.copy_to is None or sent.copy_name is None or sent.copy_used:
            return None
        if not sent.events_seen:
            return None
        if self.components.engines.is_former_life(sent.copy_to):
            return None
        state = self.components.engines.states.get(sent.copy_to.engine)
        if state is None or not state.is_reachable(now):
            return None
        return None if state.is_resting(now) else state


def probe_record(
    exchange: exchanges.Exchange,
    sent: exchanges.InFlightSend,
    event: relay_events.EngineProbed,
    now: float,
) -> actions.Record:
    """Return the timeline event of a probe of a silent run's engine."""
    result = 'no answer'
    if event.alive:
        listed = 'run not listed'
        if event.run_events is not None:
            listed = f'run listed with {event.run_events} events'
        result = f'answer {describe_way(event.via)}, {listed}'
    why = (
        f'{result}, after {now - sent.asked_at:.3f} s; the run goes '
        f'{describe_way(event.run_via)}'
    )
    return sending.record(exchange, sent, 'silent-run-probed', why)


def describe_way(via: str) -> str:
    """Return the way of a connection, as timeline events tell it."""
    return f'through {via}' if via else 'directly'


def max_silence_seconds(exchange: exchanges.Exchange) -> float:
    """Return the seconds without events after which a run is checked."""
    gap = exchange.ruling.route.gap_goal or DEFAULT_GAP_GOAL_SECONDS
    return MAX_SILENCE_SHARE * gap


def first_run_of(exchange: exchanges.Exchange) -> exchanges.InFlightSend:
    """Return the open run that was started first."""
    return next(iter(exchange.sends.values()))


def is_in_reach(sent: exchanges.InFlightSend) -> bool:
    """Return whether the engine of a run answered the last probe of it."""
    was_asked = sent.asked_at > float('-inf')
    is_answered = was_asked and sent.probe_answered_at >= sent.asked_at
    return is_answered and not sent.is_unreachable


def is_engine_lost(sent: exchanges.InFlightSend) -> bool:
    """Return whether a run's engine answers probes by no way."""
    return sent.is_unreachable and not sent.answers_elsewhere


def is_replaced(
    exchange: exchanges.Exchange, sent: exchanges.InFlightSend
) -> bool:
    """Return whether another run was started beside an open one."""
    replacement = replacement_of(exchange)
    return replacement is not None and sent is not replacement


def replacement_of(
    exchange: exchanges.Exchange,
) -> exchanges.InFlightSend | None:
    """Return the run that was started beside a silent one, if any."""
    if len(exchange.sends) < 2:
        return None
    return list(exchange.sends.values())[-1]
