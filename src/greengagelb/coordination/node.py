"""All decisions of one instance behind one method.

``Node.handle`` takes an event and the monotonic time and returns actions. It
does no I/O, reads no clock and draws random numbers only from the generator
it was given, so the running process, the property-based tests and any other
harness drive the very same object.
"""

import random

from greengagelb.coordination import actions
from greengagelb.coordination import admission
from greengagelb.coordination import calls
from greengagelb.coordination import cancellations
from greengagelb.coordination import claims
from greengagelb.coordination import events
from greengagelb.coordination import routing
from greengagelb.coordination import streams
from greengagelb.state import configuration as configuration_state
from greengagelb.state import requests

CHARACTERS_PER_TOKEN = 4

Arrival = (
    events.GenerationSubmitted
    | events.GenerationResumed
    | events.CallSubmitted
)


class Node:
    """The decisions of one instance.

    Invariants: the version of ``configuration`` never falls; each exchange
    is either waiting, running or gone, and is counted once in admission.
    """

    def __init__(self, incarnation: str, rng: random.Random) -> None:
        self.incarnation = incarnation
        self.configuration = configuration_state.Configuration()
        self.directory = routing.UpstreamDirectory(rng)
        self.admission = admission.AdmissionControl()
        self.cancels = cancellations.CancellationSupervisor()
        self.streams = streams.StreamSupervisor(
            self.directory, self.cancels, incarnation
        )
        self.calls = calls.CallSupervisor(self.directory, rng)
        self.claims = claims.ClaimKeeper(incarnation, rng)
        self.waiting: dict[int, tuple[admission.Ticket, Arrival]] = {}
        self.running: dict[int, admission.Ticket] = {}
        self.stopping = False

    @property
    def ready(self) -> bool:
        """Return whether the platform's balancer may send callers here."""
        return self.configuration.version > 0 and not self.stopping

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        """Decide what an event leads to."""
        done = self.decide(event, now)
        done += self.claims.served(done, now)
        self.release_finished()
        done += self.start_waiting(now)
        if self.stopping and self.idle:
            done.append(actions.FinishStopping())
        return done

    @property
    def idle(self) -> bool:
        """Return whether nothing is in flight, claims to settle included."""
        return not (self.running or self.waiting or self.claims.claims)

    def decide(self, event: events.Event, now: float) -> list[actions.Action]:
        """Pass an event to the object that it concerns."""
        match event:
            case (
                events.GenerationSubmitted()
                | events.GenerationResumed()
                | events.CallSubmitted()
            ):
                return self.arrive(event, now)
            case events.CallerGone(exchange):
                return self.caller_gone(exchange, now)
            case events.AttemptAccepted():
                return self.streams.accepted(event, now)
            case events.TokensArrived():
                return self.streams.arrived(event, now)
            case events.AttemptEnded():
                return self.streams.ended(event, now)
            case events.AttemptRefused():
                return self.streams.refused(event, now)
            case events.AttemptBroken():
                return self.streams.broken(event, now)
            case events.AttemptCancelled(attempt):
                self.cancels.confirmed(attempt)
                return []
            case events.CancelFailed(attempt):
                return self.cancels.failed(attempt, now)
            case (
                events.ClaimWritten()
                | events.ClaimConflicted()
                | events.ClaimWriteFailed()
            ):
                step = self.claims.answered(event, now)
                return step.actions + self.begin_granted(step.granted, now)
            case events.CallAnswered():
                return self.calls.answered(event)
            case events.CallBroken():
                return self.calls.broken(event, now)
            case events.TimerFired(name):
                return self.timer_fired(name, now)
            case _:
                return self.decide_of_the_fleet(event, now)

    def decide_of_the_fleet(
        self, event: events.Event, now: float
    ) -> list[actions.Action]:
        """Handle what concerns no single request."""
        match event:
            case events.UpstreamReported():
                self.directory.observe(event, now)
                return []
            case events.LoadsHeard(loads):
                self.directory.hear_loads(loads, now)
                return []
            case events.UpstreamUnreachable(name):
                self.directory.suspect(name, now)
                return []
            case events.UpstreamLeaving():
                self.directory.mark_leaving(event)
                return []
            case events.ConfigurationOffered():
                return self.configure(event)
            case events.StopRequested():
                self.stopping = True
                return [actions.Record('stopping', 'stop requested')]
            case events.PauseNoticed(seconds):
                return [
                    actions.Record('own-pause', f'{seconds:.3f} s'),
                    *self.streams.pause_noticed(now),
                ]
        return []

    # -- arrivals -----------------------------------------------------------

    def arrive(self, event: Arrival, now: float) -> list[actions.Action]:
        """Admit a request, let it wait, or refuse it at once."""
        request = event.request
        account = self.configuration.find_account(request.request.account)
        service = self.configuration.find_service(request.service)
        refusal = self.refusal(event, account, service)
        if refusal is not None or account is None or service is None:
            truthful = claims.truthful(refusal, request, service)
            return [actions.SendFailure(request.exchange, truthful)]
        ticket = admission.Ticket(
            request.exchange,
            account.name,
            service.pool,
            service.priority,
            self.cost(event),
        )
        self.admission.push(ticket)
        self.waiting[request.exchange] = (ticket, event)
        return []

    def refusal(
        self,
        event: Arrival,
        account: configuration_state.ClientAccount | None,
        service: configuration_state.Service | None,
    ) -> requests.Failure | None:
        """Return why a request can't be taken, or None."""
        if self.stopping:
            return not_run('stopping', 'this instance is stopping', 0.0)
        if account is None:
            return not_run('unknown-account', 'no such client account', None)
        if service is None or service.name not in account.services:
            return not_run('unknown-service', 'no such service', None)
        wanted = (
            configuration_state.ServiceKind.CALL
            if isinstance(event, events.CallSubmitted)
            else configuration_state.ServiceKind.GENERATION
        )
        if service.kind is not wanted:
            return not_run('wrong-service-kind', service.kind.value, None)
        if not self.admission.may_queue(account):
            return not_run(
                'account-queue-full',
                f'{account.most_queued} requests wait already',
                admission.RETRY_AFTER_SECONDS,
            )
        return None

    def cost(self, event: Arrival) -> float:
        """Return what a request may use, in tokens."""
        match event:
            case events.CallSubmitted():
                return 1.0
            case _:
                prompt = len(event.request.prompt) / CHARACTERS_PER_TOKEN
                return prompt + event.request.most_tokens

    def start_waiting(self, now: float) -> list[actions.Action]:
        """Start waiting requests for which there is room."""
        done: list[actions.Action] = []
        progress = True
        while progress:
            progress = False
            for ticket in self.admission.heads():
                started = self.start(ticket, now)
                if started is not None:
                    done += started
                    progress = True
        return done

    def start(
        self, ticket: admission.Ticket, now: float
    ) -> list[actions.Action] | None:
        """Start a request, or return None where there is no room."""
        account = self.configuration.find_account(ticket.account)
        pool = self.configuration.find_pool(ticket.pool)
        event = self.waiting[ticket.exchange][1]
        service = self.configuration.find_service(event.request.service)
        if account is None or pool is None or service is None:
            return self.refuse_waiting(ticket, 'service-withdrawn')
        if not self.admission.may_run(account):
            return None
        view = self.directory.choose(pool, set(), now)
        if view is None:
            return None
        del self.waiting[ticket.exchange]
        self.admission.start(ticket, account.weight)
        self.running[ticket.exchange] = ticket
        if needs_claim(event, service):
            return self.claims.begin(event.request)
        match event:
            case events.GenerationSubmitted(request):
                return self.streams.begin(request, service, pool, view, now)
            case events.GenerationResumed():
                return self.streams.resume(event, service, pool, now)
            case events.CallSubmitted(call):
                return self.calls.begin(call, service, pool, now)

    def begin_granted(
        self, request: claims.Claimable | None, now: float
    ) -> list[actions.Action]:
        """Dispatch a request whose claim this instance holds now."""
        if request is None:
            return []
        service = self.configuration.find_service(request.service)
        pool = self.configuration.find_pool(service.pool) if service else None
        if service is None or pool is None:
            failure = not_run('service-withdrawn', request.service, None)
            return [actions.SendFailure(request.exchange, failure)]
        if isinstance(request, requests.CallRequest):
            return self.calls.begin(request, service, pool, now)
        view = self.directory.choose(pool, set(), now)
        if view is None:
            wait = self.claims.advice.failed()
            failure = not_run('no-upstream', service.name, wait)
            return [actions.SendFailure(request.exchange, failure)]
        return self.streams.begin(request, service, pool, view, now)

    def refuse_waiting(
        self, ticket: admission.Ticket, code: str
    ) -> list[actions.Action]:
        """Refuse a request that can't start any more."""
        self.admission.discard(ticket)
        _, event = self.waiting.pop(ticket.exchange)
        request = event.request
        service = self.configuration.find_service(request.service)
        failure = not_run(code, ticket.pool, None)
        truthful = claims.truthful(failure, request, service)
        return [actions.SendFailure(ticket.exchange, truthful)]

    def release_finished(self) -> None:
        """Give back the places of requests that have their answer."""
        for exchange in list(self.running):
            alive = (
                exchange in self.streams.streams
                or exchange in self.calls.calls
                or self.claims.claiming(exchange) is not None
            )
            if not alive:
                self.claims.leave_taken(exchange)
                ticket = self.running.pop(exchange)
                self.admission.finish(ticket.account)

    # -- other events -------------------------------------------------------

    def caller_gone(self, exchange: int, now: float) -> list[actions.Action]:
        """Stop what nobody waits for."""
        if exchange in self.waiting:
            ticket, _ = self.waiting.pop(exchange)
            self.admission.discard(ticket)
            return []
        return [
            *self.claims.caller_gone(exchange, now),
            *self.streams.caller_gone(exchange),
            *self.calls.caller_gone(exchange),
        ]

    def timer_fired(self, name: str, now: float) -> list[actions.Action]:
        """Pass a timer to the object that set it."""
        kind, _, rest = name.partition(':')
        match kind:
            case 'cancel':
                return self.cancels.timer_fired(name)
            case claims.DEADLINE_TIMER | claims.SETTLE_TIMER:
                return self.claims.timer_fired(kind, rest, now)
            case calls.DEADLINE_TIMER:
                return self.calls.deadline_passed(int(rest))
            case _:
                return self.streams.timer_fired(kind, int(rest), now)

    def configure(
        self, event: events.ConfigurationOffered
    ) -> list[actions.Action]:
        """Apply a configuration, unless it is older than the one in force.

        A restored or lagging store hands out old copies; applying one would
        bring back what operators have already replaced.
        """
        offered = event.configuration
        if offered.version <= self.configuration.version:
            return []
        self.configuration = offered
        self.directory.apply(offered)
        return [
            actions.Record(
                'configuration-applied',
                f'version {offered.version} from {event.source}',
            )
        ]


def needs_claim(event: Arrival, service: configuration_state.Service) -> bool:
    """Return whether a request may be dispatched only by a claim's holder.

    A caller that comes back with a cursor asks for what already runs. A
    request without an idempotency key has an id that nobody sends again.
    """
    if isinstance(event, events.GenerationResumed):
        return False
    return event.request.has_idempotency_key and not service.idempotent


def not_run(
    code: str, detail: str, retry_after: float | None
) -> requests.Failure:
    """Return a failure for a request that was never handed on."""
    return requests.Failure(code, requests.Ran.NO, detail, retry_after)
