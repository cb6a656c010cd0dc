"""Enforces the verdicts on relayed requests that crash engines.

A blocked request is refused on arrival, and removed from the engines that
still read its prompt. All instances have to know, including those that missed
a datagram, were cut off or start later: heartbeats carry a digest of what is
known, and the store keeps the verdicts when all instances end.
"""

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import answers
from greengagelb.coordination.relay import calls
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import relay_components
from greengagelb.coordination.relay import store_sharing
from greengagelb.coordination.relay import streams
from greengagelb.state import crashes as crash_state
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import routes

REANNOUNCE_TIMER = 'relay-retell-crash'
# A crash is announced again after these delays. Lost announcements are
# otherwise repaired by heartbeats only, which are rare in a large fleet.
REANNOUNCE_DELAYS_SECONDS = (0.4, 1.2)

Action = relay_actions.RelayAction


class CrashingRequestHandler:
    """Stops requests that must not run, and announces them."""

    def __init__(
        self,
        components: relay_components.RelayComponents,
        call_relay: calls.CallRelay,
        stream_relay: streams.StreamRelay,
        sharing: store_sharing.StoreSharing,
        open_exchanges: dict[int, exchanges.Exchange],
    ) -> None:
        self.components = components
        self.calls = call_relay
        self.streams = stream_relay
        self.sharing = sharing
        self.open_exchanges = open_exchanges
        self.watch = components.crash_watch

    def refuse_if_blocked(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action] | None:
        """Return the refusal of a blocked request, else None."""
        until = self.watch.records.blocked_until(exchange.fingerprint, now)
        if until is None:
            return None
        return [self.components.answers.refuse_until(exchange, until, now)]

    def handle_engine_check(
        self, event: relay_events.EngineChecked, now: float
    ) -> list[Action]:
        """Count a crash, announce it, and resume the held requests."""
        result = self.watch.handle_check(event, now)
        if isinstance(result, actions.SetTimer):
            return [result]
        resulting: list[Action] = []
        for fingerprint in result.counted_fingerprints:
            report = self.watch.records.build_report(fingerprint, now)
            self.components.send_manager.pending_hints.append(report)
            resulting.append(crash_timeline_event(report, event))
            resulting += self.schedule_reannouncements(fingerprint, now)
            if self.watch.records.is_blocked(fingerprint, now):
                resulting.append(relay_actions.StoreCrashReport(report))
                resulting += self.stop_blocked(fingerprint, now)
        for number, sent in result.requests_awaiting_check:
            resulting += self.resume_held(number, sent, now)
        return resulting

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

    def stop_blocked(self, fingerprint: str, now: float) -> list[Action]:
        """Stop the running sends of a request that was blocked.

        A stream that has delivered events is not stopped: it may show that the
        request does no harm.
        """
        reason = f'fingerprint {fingerprint}'
        resulting: list[Action] = [actions.Record('request-blocked', reason)]
        for exchange in list(self.open_exchanges.values()):
            has_events = any(
                sent.events_seen for sent in exchange.sends.values()
            )
            if exchange.fingerprint != fingerprint or has_events:
                continue
            if exchange.sends:
                exchange.may_have_run = True
                resulting += self.components.send_manager.abandon_all_sends(
                    exchange
                )
                code = answers.CRASHES_ENGINES
                resulting.append(
                    self.components.answers.fail_request(exchange, code, now)
                )
        return resulting

    def apply_report(
        self, report: crash_state.CrashReport, now: float
    ) -> list[Action]:
        """Apply what another instance or the store knows of a request."""
        if not self.watch.records.merge_report(report, now):
            return []
        return self.stop_blocked(report.fingerprint, now)

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
            resulting += self.apply_report(report, now)
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


def crash_timeline_event(
    report: crash_state.CrashReport, event: relay_events.EngineChecked
) -> actions.Record:
    """Return the time line event of a counted crash."""
    latest = report.crashes[-1]
    reason = (
        f'fingerprint {report.fingerprint}, {len(report.crashes)} crashes, '
        f'the last {latest.seconds:.3f} s after the run began'
    )
    return actions.Record(
        'engine-crashed', reason, upstream=event.entry.engine
    )
