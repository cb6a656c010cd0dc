"""All decisions about relayed requests behind one method.

The same seam as :class:`greengagelb.coordination.node.Node`: events in,
actions out, no I/O, no clock, and randomness only from the generator that
was passed in.
"""

import random

from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import timers
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import answers
from greengagelb.coordination.relay import budget
from greengagelb.coordination.relay import calls
from greengagelb.coordination.relay import choosing
from greengagelb.coordination.relay import copying
from greengagelb.coordination.relay import crash_watch
from greengagelb.coordination.relay import crashing
from greengagelb.coordination.relay import directory
from greengagelb.coordination.relay import engine_list
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import fleet
from greengagelb.coordination.relay import held_sends
from greengagelb.coordination.relay import limited
from greengagelb.coordination.relay import loads
from greengagelb.coordination.relay import peer_words
from greengagelb.coordination.relay import restarts
from greengagelb.coordination.relay import rulings
from greengagelb.coordination.relay import sending
from greengagelb.coordination.relay import stopping
from greengagelb.coordination.relay import store_sharing
from greengagelb.coordination.relay import streams
from greengagelb.coordination.relay import succession
from greengagelb.coordination.sharing import fingerprints
from greengagelb.coordination.sharing import limit_keeper
from greengagelb.state import identity
from greengagelb.state.relay import bounds
from greengagelb.state.relay import exchanges
from greengagelb.state.relay import hints
from greengagelb.state.relay import requests
from greengagelb.state.relay import routes

DEADLINE_TIMER = 'relay-deadline'
# When an older configuration than others have is used for want of a newer.
OLDER_TIMER = 'relay-older-configuration'
TIMERS = (
    DEADLINE_TIMER,
    streams.SILENCE_TIMER,
    calls.SECOND_TRY_TIMER,
    calls.LATE_TIMER,
    copying.COPY_TIMER,
)

Action = relay_actions.RelayAction


class Relay:
    """The decisions of one instance about relayed requests.

    Invariant: the version of ``table`` never falls; an exchange is in
    ``exchanges`` until it has its final answer or its caller is gone.
    """

    def __init__(
        self,
        rng: random.Random,
        own: hints.Member,
        retry_bounds: bounds.RetryBounds,
        engine_bounds: bounds.EngineBounds,
    ) -> None:
        self.rng = rng
        self.table: routes.RouteTable | None = None
        self.older_offer: relay_events.RoutesOffered | None = None
        self.engines = directory.EngineDirectory(
            engine_bounds.least_lapse_seconds
        )
        self.engines_known = False
        self.loads = loads.RunLoads()
        self.budget = budget.SharedRetryBudget(retry_bounds)
        self.keeper = limit_keeper.LimitKeeper(own.incarnation)
        self.sends = sending.SendTable(
            self.engines, self.loads, self.budget, self.keeper
        )
        chooser = choosing.Chooser(
            self.engines, self.loads, self.keeper, rng, own.data_centre
        )
        self.sharing = store_sharing.StoreSharing(own.incarnation, rng)
        self.answers = answers.Answers(rng)
        self.rulings = rulings.Rulings(rng)
        self.crashes = crash_watch.CrashWatch()
        parts = calls.Parts(
            self.engines,
            chooser,
            self.sends,
            self.answers,
            self.crashes,
            held_sends.HeldSends(self.keeper),
        )
        self.calls = calls.CallRelay(parts)
        self.succession = succession.Succession(
            self.engines, engine_bounds.address_reuse_seconds
        )
        self.streams = streams.StreamRelay(parts, self.succession)
        self.fleet = fleet.FleetView(self.loads, own.incarnation)
        self.keeper.ranking.members = self.fleet.all_heard
        self.exchanges: dict[int, exchanges.Exchange] = {}
        self.copies = copying.RunCopies(parts, self.exchanges)
        self.restarts = restarts.Restarts(
            parts, self.calls, self.streams, self.copies, self.exchanges
        )
        self.crashing = crashing.CrashingRequests(
            parts, self.calls, self.streams, self.sharing, self.exchanges
        )
        self.limited = limited.LimitedSends(
            parts, self.calls, self.streams, self.exchanges
        )
        self.listed = engine_list.EngineList(
            self.engines,
            self.sharing,
            self.copies,
            self.restarts,
        )
        self.peers = peer_words.PeerWords(
            self.engines,
            self.listed,
            self.fleet,
            self.sharing,
            self.budget,
            self.copies,
            self.restarts,
            self.crashing,
            self.limited,
        )
        self.life = stopping.StoppableLife()

    def rebound(
        self, retries: bounds.RetryBounds, of_engines: bounds.EngineBounds
    ) -> None:
        """Go by changed bounds from now on."""
        self.budget.bounds = retries
        self.engines.least_lapse_seconds = of_engines.least_lapse_seconds
        self.succession.address_reuse = of_engines.address_reuse_seconds

    @property
    def usable_table(self) -> routes.RouteTable | None:
        """Return the configuration, once there are engines to go with it."""
        return self.table if self.engines_known else None

    @property
    def ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        return self.life.serving

    @property
    def digests(self) -> hints.Digests:
        """Return what tells others whether they know the same."""
        return hints.Digests(
            self.crashes.records.digest(), self.keeper.table.digest()
        )

    @property
    def finished(self) -> bool:
        """Return whether nothing is taken any more, as the process ends."""
        return self.life.finished

    def handle(
        self, event: relay_events.RelayEvent, now: float
    ) -> list[Action]:
        """Decide what an event leads to."""
        done = self.decide(event, now)
        done += self.limited.settle(done, now)
        for hint in list(self.sends.untold):
            done += self.peers.copies_lost_with(hint, now)
        ended: list[Action] = []
        for action in done:
            ended += self.close_if_final(action)
        hinted = [relay_actions.TellPeers(h) for h in self.sends.untold]
        self.sends.untold.clear()
        return done + ended + hinted

    def close_if_final(self, action: Action) -> list[Action]:
        """Forget an exchange that has its final answer."""
        match action:
            case (
                relay_actions.PassAnswer(exchange=number)
                | relay_actions.EndStream(exchange=number)
                | relay_actions.BreakOff(exchange=number)
                | relay_actions.Refuse(exchange=number)
            ):
                exchange = self.exchanges.get(number)
                told = told_final(exchange, action) if exchange else []
                return [*told, *self.close(number)]
        return []

    def close(self, number: int) -> list[Action]:
        """Forget an exchange and its timers."""
        if self.exchanges.pop(number, None) is None:
            return []
        return [
            actions.ClearTimer(timers.timer_name(kind, number))
            for kind in TIMERS
        ]

    def decide(
        self, event: relay_events.RelayEvent, now: float
    ) -> list[Action]:
        """Pass an event to the object that it concerns."""
        match event:
            case relay_events.RequestArrived(request):
                return self.arrive(request, now)
            case (
                relay_events.AnswerBegan()
                | relay_events.StreamMoved()
                | relay_events.StreamComplete()
                | relay_events.AnswerComplete()
                | relay_events.SendBroken()
                | relay_events.EngineProbed()
                | relay_events.RunCopied()
            ):
                return self.of_send(event, now)
            case events.CallerGone(exchange):
                return self.caller_gone(exchange)
            case events.TimerFired(name):
                return self.timer_fired(name, now)
            case relay_events.RoutesOffered():
                return self.configure(event, now)
            case relay_events.ConfigurationChecked():
                return self.configuration_checked(now)
            case relay_events.EnginesListed(entries, unusable):
                self.engines_known = True
                return self.listed.read_whole(entries, unusable, now)
            case relay_events.EnginesChanged(entries, removed, unusable):
                return self.listed.read(entries, removed, unusable, now)
            case relay_events.StoreLost(detail):
                return self.listed.store_lost(detail)
            case relay_events.StoreRestored():
                return self.listed.restored(now)
            case relay_events.EnginesAsked():
                return self.listed.asked()
            case relay_events.SuccessorSeen(old, new, start) if old == new:
                return self.restarts.found(old, start, now)
            case relay_events.SuccessorSeen():
                return self.successor_seen(event, now)
            case relay_events.StopBy():
                return self.life.asked(event, now)
            case relay_events.StopDue():
                return self.life.due(len(self.exchanges))
            case relay_events.Closed():
                return self.life.closed(len(self.exchanges))
            case relay_events.EngineChecked():
                return self.crashing.checked(event, now)
            case relay_events.CrashesListed(reports):
                return self.crashing.listed(reports, now)
            case events.PauseDetected(seconds):
                return self.paused(seconds, now)
        return self.peers.hear(event, now)

    def successor_seen(
        self, event: relay_events.SuccessorSeen, now: float
    ) -> list[Action]:
        """Use an engine that has taken the place of a lost one."""
        if not self.succession.seen(event, now):
            return []
        old, new = event.old, event.new
        self.sends.untold.append(hints.Replaced(old, new))
        return [actions.Record('engine-succeeded', f'by {new}', upstream=old)]

    # -- requests -----------------------------------------------------------

    def arrive(
        self, request: requests.CallerRequest, now: float
    ) -> list[Action]:
        """Take a request, or refuse it at once."""
        ruling = self.rulings.rule(request, self.usable_table)
        if isinstance(ruling, relay_actions.Refuse):
            why = f'{ruling.status} {ruling.code}'
            if self.table is not None:
                why += f', version {self.table.version}'
            told = actions.Record(
                'refused', why, identity.RequestId('', request.request_id)
            )
            return [told, ruling]
        fingerprint = fingerprints.for_relayed_request(request, ruling.account)
        exchange = exchanges.Exchange(request, ruling, fingerprint)
        self.exchanges[request.exchange] = exchange
        self.budget.count_request(ruling.service.name, now)
        name = timers.timer_name(DEADLINE_TIMER, request.exchange)
        done: list[Action] = [actions.SetTimer(name, ruling.deadline)]
        stream = ruling.route.repeat is routes.Repeat.STREAM
        refused = self.crashing.refused(exchange, now)
        if refused is not None:
            return done + refused
        ends_by = now + self.most_seconds(exchange, stream)
        if self.life.too_short_for(ends_by, now, stream=stream):
            return [self.answers.not_run(exchange, 'stopping', now)]
        done += self.life.took(exchange, ends_by, now)
        relay = self.streams if stream else self.calls
        return done + relay.begin(exchange, now)

    def most_seconds(
        self, exchange: exchanges.Exchange, stream: bool
    ) -> float:
        """Return how long a request may take that begins now.

        What would not be over when this instance stops is refused: cut off
        at the end, nobody could tell whether it ran.
        """
        if stream:
            return self.streams.expected_seconds(exchange)
        return exchange.ruling.route.time_limit

    def of_send(
        self, event: relay_events.RelayEvent, now: float
    ) -> list[Action]:
        """Handle what comes from a send, if that still counts."""
        exchange = self.exchanges.get(event.exchange)
        sent = exchange.sends.get(event.send) if exchange else None
        if exchange is None or sent is None:
            return []
        stream = exchange.ruling.route.repeat is routes.Repeat.STREAM
        match event:
            case relay_events.AnswerBegan():
                return self.streams.began(exchange, sent, event, now)
            case relay_events.StreamMoved():
                return self.stream_moved(exchange, sent, event, now)
            case relay_events.RunCopied():
                return self.copies.copied(exchange, sent, event, now)
            case relay_events.EngineProbed() if stream:
                return self.probed(exchange, sent, event, now)
            case relay_events.StreamComplete():
                return self.streams.complete(exchange, sent, now)
            case relay_events.AnswerComplete():
                relay = self.streams.refused if stream else self.calls.answered
                return relay(exchange, sent, event, now)
            case relay_events.SendBroken():
                relay = self.streams.broken if stream else self.calls.broken
                return relay(exchange, sent, event, now)
        return []

    def probed(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.Sent,
        event: relay_events.EngineProbed,
        now: float,
    ) -> list[Action]:
        """Take in what a probe tells of an engine, then of the run there."""
        start = event.started_at_ms
        done = self.restarts.found(sent.entry.engine, start, now)
        if sent.number not in exchange.sends:
            return done
        return done + self.streams.probed(exchange, sent, event, now)

    def stream_moved(
        self,
        exchange: exchanges.Exchange,
        sent: exchanges.Sent,
        event: relay_events.StreamMoved,
        now: float,
    ) -> list[Action]:
        """Pass events on; see to a copy when the first ones are here."""
        first = not sent.events_seen
        done = self.streams.moved(exchange, sent, event, now)
        if first and sent.number in exchange.sends:
            done += self.copies.fill(exchange, sent, now)
        return done

    def caller_gone(self, number: int) -> list[Action]:
        """Stop the work for a caller that has left."""
        exchange = self.exchanges.get(number)
        if exchange is None:
            return []
        why = f'after event {exchange.position}' if exchange.begun else ''
        return [
            sending.record(exchange, None, 'caller-gone', why),
            *self.sends.abandon_all(exchange),
            *self.close(number),
        ]

    # -- time ---------------------------------------------------------------

    def timer_fired(self, name: str, now: float) -> list[Action]:
        """Pass a timer to what had set it."""
        if name == OLDER_TIMER and self.older_offer is not None:
            return self.configure(self.older_offer, now)
        kind, _, rest = name.partition(':')
        if kind == succession.SUCCESSOR_TIMER:
            return self.succession.ask(int(rest), now)
        if kind == crashing.RETELL_TIMER:
            return self.crashing.retell(rest, now)
        if kind == crash_watch.ASK_TIMER:
            return self.crashes.ask_again(rest)
        if kind == limited.LIMITS_TIMER:
            return self.limited.due(now)
        exchange = self.exchanges.get(int(rest)) if rest else None
        if exchange is None:
            return []
        match kind:
            case streams.SILENCE_TIMER:
                return self.streams.look_at(exchange, now)
            case copying.COPY_TIMER:
                return self.copies.renew(exchange)
            case calls.SECOND_TRY_TIMER:
                return self.calls.second_try(exchange, now)
            case calls.LATE_TIMER:
                return self.calls.late(exchange, now)
        return self.overdue(exchange, now)

    def overdue(
        self, exchange: exchanges.Exchange, now: float
    ) -> list[Action]:
        """Give a request its final answer when its time is over."""
        for sent in exchange.sends.values():
            exchange.may_have_run = True
            self.engines.failed(sent.entry.engine, now, dead=False)
        done: list[Action] = [
            sending.record(exchange, None, 'deadline-passed', ''),
            *self.sends.abandon_all(exchange),
        ]
        if exchange.may_have_run and not exchange.begun:
            return [
                *done,
                relay_actions.Refuse(
                    exchange.number, answers.TIMED_OUT, 'deadline-passed'
                ),
            ]
        code = 'deadline-passed'
        return [*done, self.answers.failed(exchange, code, now)]

    def paused(self, seconds: float, now: float) -> list[Action]:
        """Blame no engine for what this process itself slept through."""
        for exchange in self.exchanges.values():
            for sent in exchange.sends.values():
                sent.moved_at = now
                sent.first_due += seconds
        return [actions.Record('own-pause', f'{seconds:.3f} s')]

    # -- configuration and engines ------------------------------------------

    def configure(
        self, event: relay_events.RoutesOffered, now: float
    ) -> list[Action]:
        """Apply a configuration, unless it is older than the one in force."""
        table = event.table
        if self.table is not None and table.version <= self.table.version:
            return []
        usable_from = self.sharing.usable_from(table.version, now)
        if self.table is None and now < usable_from:
            self.older_offer = event
            return [actions.SetTimer(OLDER_TIMER, usable_from)]
        self.older_offer = None
        self.table = table
        self.listed.version = table.version
        self.engines.services = frozenset(table.services)
        self.succession.configure(table)
        self.life.configured()
        why = f'version {table.version} from {event.source}'
        done: list[Action] = [actions.Record('configuration-applied', why)]
        if self.sharing.reads_for_all:
            hint = hints.ConfigurationApplied(table.version)
            done.append(relay_actions.TellFleet((hint,)))
        return done

    def configuration_checked(self, now: float) -> list[Action]:
        """Tell the others what is in force, in place of the reader."""
        others_wait = self.sharing.configuration.others_wait
        if self.table is None or self.sharing.reads_for_all:
            return []
        if not others_wait:
            return []
        hint = hints.ConfigurationApplied(self.table.version)
        return [relay_actions.TellFleet((hint,))]


def told_final(
    exchange: exchanges.Exchange, action: Action
) -> list[actions.Record]:
    """Return the time line event of a final answer that is no success."""
    match action:
        case relay_actions.Refuse(status=status, code=code):
            why = f'{status} {code}'
            if action.retry_after is not None:
                why += f', back in {action.retry_after:.3f} s'
            return [sending.record(exchange, None, 'refused', why)]
        case relay_actions.BreakOff(code=code):
            why = f'{code}, after event {exchange.position}'
            return [sending.record(exchange, None, 'broken-off', why)]
        case relay_actions.PassAnswer(head=head) if not head.succeeded:
            why = f'status {head.status}'
            return [sending.record(exchange, None, 'failure-passed-on', why)]
    return []
