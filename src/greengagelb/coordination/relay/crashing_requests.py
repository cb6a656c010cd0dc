"""Enforces the verdicts on relayed requests that crash engines.

A blocked request is refused on arrival, and removed from the engines that
still read its prompt. All instances have to know, including those that missed
a datagram, were cut off or start later: heartbeats carry a digest of what is
known, and the store keeps the verdicts when all instances end.
"""

from collections.abc import Callable
import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import answers
from greengagelb.coordination.relay import calls
from greengagelb.coordination.relay import crash_watch
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import relay_components
from greengagelb.coordination.relay import sending
from greengagelb.coordination.relay import store_sharing
from greengagelb.coordination.relay import streams
from greengagelb.coordination.sharing import crash_blame
from greengagelb.coordination.sharing import fingerprints
from greengagelb.state import crashes as crash_state
from greengagelb.state.relay import engines
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import routes

REANNOUNCE_TIMER = 'relay-retell-crash'
# A crash is announced again after these delays. Lost announcements are
# otherwise repaired by heartbeats only, which are rare in a large fleet.
REANNOUNCE_DELAYS_SECONDS = (0.4, 1.2)
SURVIVAL_TIMER = 'relay-part-sound'
# Several times what a hint takes, so that few instances send the same.
MAX_SURVIVAL_DELAY_SECONDS = 0.3

Action = relay_actions.RelayAction
# Handles an event that ends a send.
EndAnswer = Callable[[relay_events.RelayEvent, float], list[Action]]


class CrashingRequestHandler:
    """Stops requests that must not run, and announces them."""

    def __init__(
        self,
        components: relay_components.RelayComponents,
        call_relay: calls.CallRelay,
        stream_relay: streams.StreamRelay,
        sharing: store_sharing.StoreSharing,
        open_exchanges: dict[int, exchanges.Exchange],
        end_answer: EndAnswer,
    ) -> None:
        self.components = components
        self.calls = call_relay
        self.streams = stream_relay
        self.sharing = sharing
        self.open_exchanges = open_exchanges
        self.end_answer = end_answer
        self.watch = components.crash_watch

    def refuse_if_blocked(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action] | None:
        """Return the refusal of a blocked request, else None.

        While it is not decided which part of a prompt crashes engines, one
        request at a time is sent to find out.
        """
        match self.watch.judge(exchange, now):
            case crash_blame.Blocked(fingerprint, until):
                why = sending.record(
                    exchange, None, 'refused-for-crashes', fingerprint
                )
                answer = self.components.answers.refuse_until(
                    exchange, until, now
                )
                return [why, answer]
            case crash_blame.Undecided(parts):
                return self.begin_trial(exchange, parts, now)
        return None

    def begin_trial(
        self, exchange: exchanges.Exchange, parts: tuple[str, ...], now: float
    ) -> list[Action] | None:
        """Have a request decide about its parts, or refuse it."""
        if self.watch.trials.is_running(parts, now):
            return [
                self.components.answers.refuse_not_run(
                    exchange, answers.CRASHES_UNDECIDED, now
                )
            ]
        self.watch.trials.begin(parts, now)
        for part in parts:
            report = self.watch.records.build_report(part, now)
            self.components.send_manager.pending_hints.append(
                dataclasses.replace(report, is_on_trial=True)
            )
        return None

    def handle_engine_check(
        self, event: relay_events.EngineChecked, now: float
    ) -> list[Action]:
        """Count a crash, announce it, and resume the held requests."""
        is_silent = event.fate is relay_events.EngineFate.UNKNOWN
        if is_silent and self.has_successor(event.entry):
            ended = relay_events.EngineFate.ENDED
            event = dataclasses.replace(event, fate=ended)
        result = self.watch.handle_check(event, now)
        if isinstance(result, actions.SetTimer):
            return [result]
        resulting: list[Action] = [check_timeline_event(event)]
        self.watch.trials.end(result.counted_fingerprints)
        for fingerprint in result.counted_fingerprints:
            report = self.watch.records.build_report(fingerprint, now)
            self.components.send_manager.pending_hints.append(report)
            resulting += self.schedule_reannouncements(fingerprint, now)
            if fingerprints.is_account(fingerprint):
                continue
            resulting.append(
                crash_timeline_event(report, event, result.request_ids)
            )
            if fingerprint in result.blocked:
                resulting.append(relay_actions.StoreCrashReport(report))
            if fingerprint in result.newly_blocked:
                resulting.append(blocked_timeline_event(fingerprint))
        if result.blocked:
            resulting += self.stop_blocked(now)
        for number, sent in result.requests_awaiting_check:
            resulting += self.resume_held(number, sent, now)
        for ended in result.ends_of_answers:
            resulting += self.end_answer(ended, now)
        if result.next_check_at is not None:
            timer = f'{crash_watch.RECHECK_TIMER}:{event.entry.life}'
            resulting.append(actions.SetTimer(timer, result.next_check_at))
        return resulting + self.keep_undecided(event, result, now)

    def has_successor(self, entry: engines.EngineEntry) -> bool:
        """Return whether another life is known to have an engine's place."""
        state = self.components.engines.states.get(entry.engine)
        if state is None:
            return False
        return state.replaced or state.entry.life != entry.life

    def keep_undecided(
        self,
        event: relay_events.EngineChecked,
        result: crash_watch.CheckResult,
        now: float,
    ) -> list[Action]:
        """Keep answers until their engine answers, or until the deadline.

        The silence of an engine does not prove that its answer is incomplete.
        A stream goes on at another engine instead, once that is allowed.
        """
        kept: list[crash_watch.EndOfAnswer] = []
        resulting: list[Action] = []
        for ended in result.undecided_answers:
            exchange = self.open_exchanges.get(ended.exchange)
            if exchange is None or ended.send not in exchange.sends:
                continue
            route = exchange.ruling.route
            is_stream = route.repeat is routes.RepeatPolicy.STREAM
            if is_stream and self.may_go_on_elsewhere(exchange, now):
                lost = crash_watch.decide_end(ended, event.fate)
                resulting += self.end_answer(lost, now)
            else:
                kept.append(ended)
        resulting += self.watch.keep_answers(event.entry, tuple(kept), now)
        return resulting

    def may_go_on_elsewhere(
        self, exchange: exchanges.Exchange, now: float
    ) -> bool:
        """Return whether another engine may be sent a stream now."""
        send_manager = self.components.send_manager
        service = exchange.ruling.service.name
        return (
            exchange.ruling.route.is_repeatable
            and send_manager.has_attempts_left(exchange)
            and send_manager.budget.has_retry(service, now)
        )

    def schedule_reannouncements(
        self, fingerprint: str, now: float
    ) -> list[Action]:
        """Return the timers of the repeated announcements of a crash."""
        return [
            actions.SetTimer(f'{REANNOUNCE_TIMER}:{number} {fingerprint}', at)
            for number, at in enumerate(
                now + s for s in REANNOUNCE_DELAYS_SECONDS
            )
        ]

    def reannounce(self, timer_suffix: str, now: float) -> list[Action]:
        """Announce once more what is known of a request."""
        fingerprint = timer_suffix.partition(' ')[2]
        if fingerprint in self.watch.records.histories:
            report = self.watch.records.build_report(fingerprint, now)
            self.components.send_manager.pending_hints.append(report)
        return []

    def resume_held(
        self, number: int, sent: exchanges.InFlightSend, now: float
    ) -> list[Action]:
        """Continue a request that was held, if its caller still waits."""
        exchange = self.open_exchanges.get(number)
        if exchange is None or exchange.sends:
            return []
        if self.watch.hold_until_checked(exchange, sent, now):
            return []
        if exchange.ruling.route.repeat is routes.RepeatPolicy.STREAM:
            return self.streams.start_replacement(exchange, sent, now)
        return self.calls.send_to_next_engine(exchange, now, 'engines-failed')

    def stop_blocked(self, now: float) -> list[Action]:
        """Stop the running sends of requests that are blocked now.

        A stream that has delivered events is not stopped: it may show that the
        request does no harm.
        """
        resulting: list[Action] = []
        for exchange in list(self.open_exchanges.values()):
            if not exchange.sends or any(
                sent.events_seen for sent in exchange.sends.values()
            ):
                continue
            match self.watch.judge(exchange, now):
                case crash_blame.Blocked(fingerprint):
                    resulting += self.stop_request(exchange, fingerprint, now)
        return resulting

    def stop_request(
        self, exchange: exchanges.Exchange, fingerprint: str, now: float
    ) -> list[Action]:
        """Stop the sends of a request that must not run."""
        exchange.may_have_run = True
        return [
            sending.record(exchange, None, 'stopped-for-crashes', fingerprint),
            *self.components.send_manager.abandon_all_sends(exchange),
            self.components.answers.fail_request(
                exchange, answers.CRASHES_ENGINES, now
            ),
        ]

    def apply_report(
        self, report: crash_state.CrashReport, now: float
    ) -> list[Action]:
        """Apply what another instance or the store knows of a suspect."""
        fingerprint = report.fingerprint
        known_changes = self.watch.records.change_count
        is_newly_blocked = self.watch.records.merge_report(report, now)
        if report.is_on_trial:
            self.watch.trials.begin((fingerprint,), now)
        if self.watch.records.change_count == known_changes:
            return []
        if not report.is_on_trial:
            self.watch.trials.end((fingerprint,))
        resulting = self.schedule_survival_report(fingerprint, now)
        if is_newly_blocked:
            resulting.append(blocked_timeline_event(fingerprint))
        if self.watch.records.is_blocked(fingerprint, now):
            resulting += self.stop_blocked(now)
        return resulting

    def schedule_survival_report(
        self, fingerprint: str, now: float
    ) -> list[Action]:
        """Return the timer at which the others hear that a part was sound.

        The times are random, so that one instance speaks for all that know.
        """
        if not self.watch.records.lacks_survival(fingerprint):
            return []
        at = now + self.sharing.rng.uniform(0.0, MAX_SURVIVAL_DELAY_SECONDS)
        return [actions.SetTimer(f'{SURVIVAL_TIMER}:{fingerprint}', at)]

    def announce_survival(self, fingerprint: str, now: float) -> list[Action]:
        """Tell the others that a part was sound, if nobody else has."""
        if self.watch.records.lacks_survival(fingerprint):
            self.watch.records.note_survival_told(fingerprint, now)
            report = self.watch.records.build_report(fingerprint, now)
            self.components.send_manager.pending_hints.append(report)
        return []

    def compare_digest(
        self, incarnation: str, digest: int, now: float
    ) -> list[Action]:
        """Ask an instance for its reports if its digest differs."""
        if not self.watch.should_query_peer(digest, now):
            return []
        return [
            relay_actions.TellPeer(
                incarnation, crash_state.CrashReportsRequest()
            )
        ]

    def send_reports(self, incarnation: str, now: float) -> list[Action]:
        """Send an instance the reports known here."""
        return [
            relay_actions.TellPeer(incarnation, report)
            for report in self.watch.known_reports(now)
        ]

    def apply_stored(
        self, reports: tuple[crash_state.CrashReport, ...], now: float
    ) -> list[Action]:
        """Apply the reports in the store; the reader corrects the store.

        A write may have failed, and the store may lose what was written.
        """
        resulting: list[Action] = []
        for report in reports:
            if report.survived_age is None:
                resulting += self.apply_report(report, now)
            else:
                resulting += self.lift_block(report, now)
        if not self.sharing.reads_for_all:
            return resulting
        stored = {report.fingerprint for report in reports}
        blocked = set(self.watch.records.blocked_fingerprints(now))
        for fingerprint in sorted(blocked - stored):
            report = self.watch.records.build_report(fingerprint, now)
            resulting.append(relay_actions.StoreCrashReport(report))
        for fingerprint in sorted(stored - blocked):
            resulting.append(relay_actions.DeleteCrashReport(fingerprint))
        return resulting

    def lift_block(
        self, report: crash_state.CrashReport, now: float
    ) -> list[Action]:
        """Apply that an operator has lifted a block, and tell the others."""
        fingerprint = report.fingerprint
        was_blocked = self.watch.records.is_blocked(fingerprint, now)
        resulting = self.apply_report(report, now)
        if not was_blocked or self.watch.records.is_blocked(fingerprint, now):
            return resulting
        told = self.watch.records.build_report(fingerprint, now)
        self.components.send_manager.pending_hints.append(told)
        reason = f'fingerprint {fingerprint}'
        return [*resulting, actions.Record('block-lifted', reason)]


def blocked_timeline_event(fingerprint: str) -> actions.Record:
    """Return the time line event of a request or part that is blocked."""
    return actions.Record('request-blocked', f'fingerprint {fingerprint}')


def check_timeline_event(event: relay_events.EngineChecked) -> actions.Record:
    """Return the time line event of a check of an engine."""
    return actions.Record(
        'engine-checked', event.fate.value, upstream=event.entry.engine
    )


def crash_timeline_event(
    report: crash_state.CrashReport,
    event: relay_events.EngineChecked,
    request_ids: tuple[str, ...],
) -> actions.Record:
    """Return the time line event of a counted crash."""
    latest = report.crashes[-1]
    reason = (
        f'fingerprint {report.fingerprint}, {len(report.crashes)} crashes, '
        f'the last {latest.seconds:.3f} s after the run began, '
        f'requests {" ".join(request_ids)}'
    )
    return actions.Record(
        'engine-crashed', reason, upstream=event.entry.engine
    )
