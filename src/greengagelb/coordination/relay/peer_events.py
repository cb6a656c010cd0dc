"""Applies the hints and the presence of the other instances."""

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import crashing_requests
from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import engine_list
from greengagelb.coordination.relay import engine_statements
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import fleet
from greengagelb.coordination.relay import permit_outcomes
from greengagelb.coordination.relay import restarts
from greengagelb.coordination.relay import retry_loan_outcomes
from greengagelb.coordination.relay import run_copies
from greengagelb.coordination.relay import store_sharing
from greengagelb.coordination.relay.forwarding import engine_paths
from greengagelb.state import crashes
from greengagelb.state import limits
from greengagelb.state.relay import hints

# As many incarnations as fit into one datagram; the next read of the list
# finds the others.
MAX_NOT_LISTED_IN_HINT = 50

Action = relay_actions.RelayAction


class PeerEventHandler:
    """Applies hints of other instances, their arrival and their departure."""

    def __init__(
        self,
        engine_directory: directory.EngineDirectory,
        engine_updates: engine_list.EngineListHandler,
        fleet_view: fleet.FleetView,
        sharing: store_sharing.StoreSharing,
        loans: retry_loan_outcomes.RetryLoanHandler,
        run_copies: run_copies.RunCopies,
        restart_handler: restarts.RestartHandler,
        crashing: crashing_requests.CrashingRequestHandler,
        limited: permit_outcomes.PermitOutcomeHandler,
        statement_handler: engine_statements.EngineStatementHandler,
        paths: engine_paths.EnginePaths,
    ) -> None:
        self.engines = engine_directory
        self.engine_updates = engine_updates
        self.fleet = fleet_view
        self.sharing = sharing
        self.loans = loans
        self.budget = loans.loans.budget
        self.copies = run_copies
        self.restarts = restart_handler
        self.crashing = crashing
        self.limited = limited
        self.keeper = limited.keeper
        self.statements = statement_handler
        self.paths = paths

    def handle_event(
        self, event: relay_events.RelayEvent, now: float
    ) -> list[Action]:
        """Apply an event about the other instances."""
        resulting: list[Action] = []
        match event:
            case relay_events.PeerTold(incarnation, hint):
                return self.handle_hint(incarnation, hint, now)
            case relay_events.MembersListed(members):
                self.fleet.apply_list(members)
                resulting += self.announce_unlisted()
            case relay_events.PeerHeard(incarnation, data_centre, known):
                if incarnation not in self.fleet.heard_at:
                    reason = f'{incarnation} in {data_centre}'
                    resulting.append(actions.Record('peer-heard', reason))
                self.fleet.note_heartbeat(incarnation, data_centre, now)
                resulting += forgotten_instance_events(
                    self.fleet.forget_silent(now)
                )
                resulting += self.crashing.compare_digest(
                    incarnation, known.crashes, now
                )
                self.keeper.ranking.mark_alive(incarnation)
                self.keeper.request_limits_if_different(
                    incarnation, known.limits, now
                )
            case relay_events.PeerLeft(incarnation):
                resulting += forgotten_instance_events(
                    self.fleet.remove_instance(incarnation, now)
                )
                self.keeper.remove_instance(incarnation, now)
        self.budget.note_fleet_heard(now)
        self.budget.set_fleet_size(self.fleet.size, now)
        if (
            self.fleet.is_list_known
            and self.fleet.size != self.keeper.parts.instance_count
        ):
            seconds = self.fleet.heartbeat_seconds
            self.keeper.parts.rank = self.fleet.rank
            self.keeper.set_instance_count(self.fleet.size, seconds, now)
        return resulting

    def handle_hint(
        self, incarnation: str, hint: hints.Hint, now: float
    ) -> list[Action]:
        """Apply a hint of another instance."""
        match hint:
            case hints.RunPlaced():
                self.fleet.add_peer_run(incarnation, hint, now)
            case hints.RunEnded():
                self.fleet.end_peer_run(incarnation, hint)
            case hints.EngineFailed(engine, started_at_ms):
                self.engines.note_peer_failure(engine, now, started_at_ms)
            case hints.EngineErrored(engine, started_at_ms):
                self.engines.note_call_error(engine, now, started_at_ms)
            case hints.EngineReplaced(engine, successor, started_at_ms):
                if successor:
                    self.engines.add_successor(
                        engine, successor, now, started_at_ms
                    )
                else:
                    self.engines.note_replaced(engine, started_at_ms)
            case hints.EngineRestarted(engine, started_at_ms):
                return self.restarts.note_peer_reported_start(
                    engine, started_at_ms, now
                )
            case hints.EngineLeaving():
                return self.statements.note_peer_leaving(
                    incarnation, hint, now
                )
            case hints.EngineRefused():
                self.statements.note_peer_refusal(incarnation, hint, now)
            case hints.EngineResting():
                self.statements.note_peer_rest(hint, now)
            case hints.EngineListChanged(entries, removed, unusable):
                return self.engine_updates.apply_changes(
                    entries, removed, unusable, now
                )
            case hints.StoreRead():
                return self.handle_store_read(incarnation, hint, now)
            case hints.StoreRestored(era):
                if self.sharing.eras.adopt_from_peer(era):
                    return self.engine_updates.handle_store_restored(now)
            case hints.StoreProbed():
                self.sharing.note_peer_attempt(now)
            case crashes.CrashReport():
                return self.crashing.apply_report(hint, now)
            case crashes.CrashReportsRequest():
                return self.crashing.send_reports(incarnation, now)
            case hints.InstancesNotListed(incarnations):
                return self.handle_not_listed(incarnations)
            case hints.EnginesReached():
                self.paths.forwarders.note_proven(incarnation, now)
            case hints.ServicesUnreachable(services):
                self.paths.forwarders.note_unreachable(
                    incarnation, services, now
                )
            case hints.LoanRequested():
                return self.loans.lend(incarnation, hint, now)
            case hints.LoanGranted():
                return self.loans.receive(incarnation, hint, now)
            case hints.ConfigurationApplied(version):
                self.note_peer_version(version, now)
                return self.read_store_if_stale()
            case _ if isinstance(hint, limits.Message):
                return self.limited.handle_message(incarnation, hint, now)
        return self.handle_engine_loss_hint(hint, now)

    def announce_unlisted(self) -> list[Action]:
        """Tell live instances that the list of instances lacks them.

        Instances that start later would never learn of them.
        """
        missing = tuple(
            self.fleet.heard_at.keys() - self.fleet.present_incarnations
        )
        if not missing or not self.sharing.reads_for_all:
            return []
        hint = hints.InstancesNotListed(missing[:MAX_NOT_LISTED_IN_HINT])
        return [relay_actions.BroadcastHints((hint,))]

    def handle_not_listed(self, incarnations: tuple[str, ...]) -> list[Action]:
        """Read the list of instances if it lacks this instance."""
        if self.fleet.own_incarnation not in incarnations:
            return []
        self.sharing.note_own_entry_missing()
        return [relay_actions.RescheduleStoreRead()]

    def handle_store_read(
        self, incarnation: str, hint: hints.StoreRead, now: float
    ) -> list[Action]:
        """Apply what another instance has just read from the store."""
        self.sharing.note_peer_read(incarnation)
        is_same = hint.digest == self.engines.digest()
        if is_same:
            self.engines.is_complete = True
            self.engines.note_confirmed(now)
        self.sharing.engine_list_freshness.note_peer_knowledge(
            is_same=is_same, now=now
        )
        if hint.version is not None:
            self.note_peer_version(hint.version, now)
        return self.read_store_if_stale()

    def read_store_if_stale(self) -> list[Action]:
        """Read the store if something newer is known to be there."""
        sharing = self.sharing
        if (
            sharing.engine_list_freshness.is_stale
            or sharing.configuration_freshness.is_stale
        ):
            return [relay_actions.RescheduleStoreRead()]
        return []

    def note_peer_version(self, version: int, now: float) -> None:
        """Note which configuration another instance has in force.

        An instance that lags behind must not put off the read of a newer
        version that another one has announced.
        """
        self.sharing.note_peer_version(version)
        known = self.engine_updates.configuration_version
        configuration = self.sharing.configuration_freshness
        if version > known or not configuration.is_stale:
            configuration.note_peer_knowledge(
                is_same=version <= known, now=now
            )

    def handle_engine_loss_hint(
        self, hint: hints.Hint, now: float
    ) -> list[Action]:
        """Replace the copies on an engine that failed or fell silent."""
        match hint:
            case hints.EngineFailed(
                engine, started_at_ms=started_at_ms
            ) | hints.EngineReplaced(engine, started_at_ms=started_at_ms):
                return self.copies.replace_lost_copies(
                    engine, now, started_at_ms
                )
            case hints.StreamSilent(engine, started_at_ms):
                if self.engines.note_silence(engine, now, started_at_ms):
                    return self.copies.replace_silent_copies(
                        engine, now, started_at_ms
                    )
        return []


def forgotten_instance_events(incarnations: list[str]) -> list[Action]:
    """Return the time line events of instances that were forgotten."""
    return [actions.Record('peer-forgotten', name) for name in incarnations]
