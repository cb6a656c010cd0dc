"""Decides on which path an engine is reached.

If an engine can be reached through another instance but not directly, this
instance's own link is at fault and not the engine. That is found for each
engine by itself; once it holds for several engines of a service, the links to
all engines of that service are taken to be lost until a direct connection to
one of them opens.
"""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay.forwarding import events
from greengagelb.coordination.relay.forwarding import forwarders
from greengagelb.state import identity
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints

# How often a direct connection is attempted beside forwarded ones.
DIRECT_PROBE_SECONDS = 0.5
# So many lost paths, or all if there are fewer engines, lose a service.
LOST_PATHS_OF_LOST_SERVICE = 2
# For this long after other instances were refused by an engine, a refusal of
# this one is not verified through others again.
VERDICT_SECONDS = 1.0
# A direct connection that opened within this time shows that own links work.
REACHED_SECONDS = 1.0
# How often an instance tells the others that it opens connections for some.
PROOF_INTERVAL_SECONDS = 1.0
# How long own links are doubted after a connection had to be forwarded.
DOUBT_SECONDS = 2.0

Action = relay_actions.RelayAction


@dataclasses.dataclass(slots=True)
class LostPath:
    """The direct path to one life of an engine, while it is lost.

    Times are monotonic. ``silent`` is as in
    :class:`~greengagelb.coordination.relay.forwarding.events.DirectPathLost`.
    """

    entry: engines.EngineEntry
    since: float
    silent: bool
    next_probe_at: float


class EnginePaths:
    """The direct paths that are lost, by life of the engine.

    ``lost_services`` are those of which no engine can be reached directly;
    the value tells whether open connections may be dead without a sign.
    ``opened_at`` is when a direct connection to an engine of a service was
    last opened while a path of that service was lost. ``forwarded_at`` is when
    a request was last forwarded, and ``reached_at`` when a direct connection
    to any engine was last opened; ``failed_at`` has the lives of engines to
    which one has failed since.
    """

    def __init__(
        self,
        engine_directory: directory.EngineDirectory,
        forwarder_selector: forwarders.ForwarderSelector,
    ) -> None:
        self.engines = engine_directory
        self.forwarders = forwarder_selector
        self.lost_paths: dict[str, LostPath] = {}
        self.lost_services: dict[str, bool] = {}
        self.opened_at: dict[str, float] = {}
        self.refused_elsewhere_at: dict[str, float] = {}
        self.next_service_probe_at: dict[str, float] = {}
        self.forwarded_at = float('-inf')
        self.reached_at = float('-inf')
        self.failed_at: dict[str, float] = {}
        self.next_proof_at = float('-inf')

    # The transport asks the following before it opens a connection.

    def is_lost(self, entry: engines.EngineEntry) -> bool:
        """Return whether the direct path to an engine is taken to be lost."""
        return (
            entry.life in self.lost_paths
            or entry.service in self.lost_services
        )

    def is_silent(self, entry: engines.EngineEntry) -> bool:
        """Return whether open direct connections may be dead."""
        lost = self.lost_paths.get(entry.life)
        if lost is not None and lost.silent:
            return True
        return self.lost_services.get(entry.service, False)

    def claim_probe(self, entry: engines.EngineEntry, now: float) -> bool:
        """Return whether a lost path is to be tried now, and count that."""
        lost = self.lost_paths.get(entry.life)
        if lost is not None:
            if now < lost.next_probe_at:
                return False
            lost.next_probe_at = now + DIRECT_PROBE_SECONDS
            return True
        if now < self.next_service_probe_at.get(entry.service, now):
            return False
        self.next_service_probe_at[entry.service] = now + DIRECT_PROBE_SECONDS
        return True

    def verifies_refusal(self, entry: engines.EngineEntry, now: float) -> bool:
        """Return whether a refused connection is tried through others."""
        refused_at = self.refused_elsewhere_at.get(entry.life, float('-inf'))
        return now >= refused_at + VERDICT_SECONDS

    def choose_forwarder(
        self, entry: engines.EngineEntry, excluded: set[str], now: float
    ) -> str | None:
        """Return the incarnation of an instance to connect through."""
        return self.forwarders.choose(entry.service, excluded, now)

    def handle_event(
        self, event: events.ForwardingEvent, now: float
    ) -> list[Action]:
        """Apply what opening a connection has shown."""
        match event:
            case events.DirectPathLost():
                return self.note_lost(event, now)
            case events.RefusedElsewhere(entry):
                self.refused_elsewhere_at[entry.life] = now
            case events.DirectPathOpened(entry):
                return self.note_opened(entry, now)
            case events.ForwardingFailed():
                self.note_not_forwarded(event, now)
            case events.ConnectionForwarded(entry, via, request, reason):
                self.forwarded_at = now
                self.forwarders.note_proven(via, now)
                why = f'through {via}; {reason}'
                return [
                    actions.Record(
                        'send-forwarded', why, request, upstream=entry.engine
                    )
                ]
            case events.ConnectionTakenOver(entry, host, request):
                return [
                    actions.Record(
                        'connection-taken-over',
                        f'for {host}',
                        identity.RequestId('', request) if request else None,
                        upstream=entry.engine,
                    ),
                    *self.tell_proof(now),
                ]
            case events.TakenOverConnectionEnded(entry, host, request, reason):
                return [
                    actions.Record(
                        'connection-given-up',
                        f'for {host}: {reason}',
                        identity.RequestId('', request) if request else None,
                        upstream=entry.engine,
                    )
                ]
        return []

    def note_lost(
        self, event: events.DirectPathLost, now: float
    ) -> list[Action]:
        """Note that an engine is reached through another instance only."""
        entry = event.entry
        known = self.lost_paths.get(entry.life)
        if known is not None:
            known.silent = known.silent or event.silent
            return self.update_service(entry.service, now)
        self.forget_unknown()
        self.lost_paths[entry.life] = LostPath(
            entry, now, event.silent, now + DIRECT_PROBE_SECONDS
        )
        why = f'reached through {event.via}; directly: {event.detail}'
        return [
            actions.Record('path-lost', why, upstream=entry.engine),
            *self.update_service(entry.service, now),
        ]

    def note_opened(
        self, entry: engines.EngineEntry, now: float
    ) -> list[Action]:
        """Note that a direct connection was opened."""
        if not self.is_lost(entry):
            self.opened_at[entry.service] = now
            return []
        lost = self.lost_paths.pop(entry.life, None)
        self.opened_at[entry.service] = now
        resulting: list[Action] = []
        if lost is not None:
            why = f'was lost for {now - lost.since:.3f} s'
            resulting.append(
                actions.Record('path-restored', why, upstream=entry.engine)
            )
        return resulting + self.update_service(entry.service, now)

    def tell_proof(self, now: float) -> list[Action]:
        """Tell all that this instance opens connections, now and then.

        Where nearly all have lost their links, each would have to search for
        the few that have not.
        """
        if now < self.next_proof_at:
            return []
        self.next_proof_at = now + PROOF_INTERVAL_SECONDS
        return [relay_actions.TellPeers(hints.EnginesReached())]

    def note_connected(self, now: float) -> None:
        """Note that a direct connection to an engine has opened."""
        self.reached_at = now
        self.failed_at.clear()

    def note_unconnected(self, entry: engines.EngineEntry, now: float) -> None:
        """Note that a direct connection to an engine has failed."""
        self.failed_at[entry.life] = now

    def seem_to_work(self, entry: engines.EngineEntry, now: float) -> bool:
        """Return whether own links were seen to work just now.

        What has failed to the engine in question is no evidence on that.
        """
        return now < self.reached_at + REACHED_SECONDS and not (
            self.failed_at.keys() - {entry.life}
        )

    def note_not_forwarded(
        self, event: events.ForwardingFailed, now: float
    ) -> None:
        """Note why another instance opened no connection."""
        match event.outcome:
            case (
                events.ForwardingOutcome.UNREACHABLE
                | events.ForwardingOutcome.UNWILLING
            ):
                self.forwarders.note_unwilling(event.via, now)
            case events.ForwardingOutcome.NOT_ADMITTED:
                pass
            case _ if not event.is_verified:
                self.forwarders.note_doubtful(event.via, now)

    def update_service(self, service: str, now: float) -> list[Action]:
        """Decide whether a service is lost; tell others of a change."""
        since = self.opened_at.get(service, float('-inf'))
        lost = [
            path
            for path in self.lost_paths.values()
            if path.entry.service == service and path.since > since
        ]
        known = len(self.engines.by_service.get(service, {}))
        needed = max(1, min(LOST_PATHS_OF_LOST_SERVICE, known))
        was_lost = service in self.lost_services
        if len(lost) >= needed:
            self.lost_services[service] = any(path.silent for path in lost)
        else:
            self.lost_services.pop(service, None)
        if was_lost == (service in self.lost_services):
            return []
        kind = 'links-restored' if was_lost else 'links-lost'
        names = ', '.join(path.entry.engine for path in lost)
        why = f'to {service}'
        if names:
            why += f'; not reached directly: {names}'
        return [
            actions.Record(kind, why),
            relay_actions.TellPeers(self.hint()),
        ]

    def hint(self) -> hints.ServicesUnreachable:
        """Return what others have to know of the links of this instance."""
        return hints.ServicesUnreachable(tuple(sorted(self.lost_services)))

    def forget_unknown(self) -> None:
        """Drop what is known of lives that have ended."""
        for life, path in list(self.lost_paths.items()):
            state = self.engines.states.get(path.entry.engine)
            if state is None or state.entry.life != life:
                del self.lost_paths[life]
        for life in list(self.refused_elsewhere_at):
            if self.engines.find_by_life(life) is None:
                del self.refused_elsewhere_at[life]

    def is_at_fault(self, now: float) -> bool:
        """Return whether failures of engines may be those of own links."""
        return now < self.forwarded_at + DOUBT_SECONDS
