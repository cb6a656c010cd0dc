"""A relay without sockets: requests, engines and time for its decisions."""

import random
import zlib

from greengagelb.coordination import actions as common_actions
from greengagelb.coordination import events as common_events
from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import relay
from greengagelb.state import identity
from greengagelb.state import statements
from greengagelb.state.relay import bounds
from greengagelb.state.relay import engines
from greengagelb.state.relay import hints
from greengagelb.state.relay import requests
from greengagelb.state.relay import routes

KEY = 'a-key-of-an-account'
OTHER_KEY = 'a-key-of-another-account'
HOST = 'api.example'
STREAMS = 'drafts'
CALLS = 'booking'
PLACES = ('north', 'south', 'west')

# Sizes of today's fleets: 32 slots and room for 88,000 tokens at a model
# engine, 6 slots at an engine of a plain service.
MODEL = routes.ModelEngines(
    32, 88_000, copies=True, moves=True, copy_seconds=4.0
)
STREAM_ROUTE = routes.Route(
    'drafts',
    HOST,
    '/drafts/',
    routes.RepeatPolicy.STREAM,
    (routes.ServiceShare(STREAMS, 1.0),),
    time_limit=25.0,
    goal=4.5,
    priority=1,
    most_attempts=5,
    resumable=True,
    gap_goal=0.7,
)
CALL_ROUTE = routes.Route(
    'booking',
    HOST,
    '/booking/',
    routes.RepeatPolicy.AT_MOST_ONCE,
    (routes.ServiceShare(CALLS, 1.0),),
    time_limit=0.8,
    goal=0.2,
    priority=2,
    most_attempts=1,
)
QUERY_ROUTE = routes.Route(
    'queries',
    HOST,
    '/queries/',
    routes.RepeatPolicy.IDEMPOTENT,
    (routes.ServiceShare(CALLS, 1.0),),
    time_limit=0.8,
    goal=0.2,
    priority=2,
    most_attempts=2,
)
SERVICES = (
    routes.Service(STREAMS, 240, MODEL),
    routes.Service(CALLS, 110),
)
ACCOUNTS = {routes.hash_api_key(KEY): routes.Account('cottages')}
RETRIES = bounds.RetryBounds(ratio=0.8, window_seconds=10.0, slack=150.0)
# For so many seconds an engine's address goes to none of another service.
ADDRESS_REUSE = 2.0
CHECK_STEP_SECONDS = 0.05
ENGINE_BOUNDS = bounds.EngineBounds(ADDRESS_REUSE)
PROMPT = requests.Prompt(8_000, 780, 'a-part')
SEAL = ((b'Content-Type', b'text/plain'),)


def route_table(version=1, found=(STREAM_ROUTE, CALL_ROUTE, QUERY_ROUTE)):
    """Return a configuration with one route of each kind."""
    return routes.RouteTable(
        version, tuple(found), SERVICES, routes.CallerLimits(), dict(ACCOUNTS)
    )


def table_of_two_accounts():
    """Return a configuration with a second account."""
    table = route_table()
    table.accounts[routes.hash_api_key(OTHER_KEY)] = routes.Account('chalets')
    return table


def engine(name, service, place, heartbeat=1, *, leaving=False, port=0):
    """Return an engine's entry; its address follows from its name."""
    port = port or 10_000 + zlib.crc32(name.encode()) % 50_000
    slots = MODEL.slots if service == STREAMS else 6
    return engines.EngineEntry(
        name,
        service,
        engines.Address('127.0.0.1', port),
        place,
        slots,
        leaving,
        heartbeat,
    )


def fleet(per_place=2, heartbeat=1):
    """Return engines of both services in three data centres."""
    models = [
        engine(f'model-{place}-{number}', STREAMS, place, heartbeat)
        for place in PLACES
        for number in range(per_place)
    ]
    calls = [
        engine(f'call-{place}', CALLS, place, heartbeat) for place in PLACES
    ]
    return (*models, *calls)


class RelayWorld:
    """One relay, with a clock that the test moves.

    ``actions`` holds all that the relay has ever wanted done.
    """

    def __init__(self, entries=None, table=None, seed=1, place='north'):
        own = hints.Member('own', '5-own', '127.0.0.1', place)
        self.relay = relay.Relay(
            random.Random(seed), own, RETRIES, ENGINE_BOUNDS
        )
        self.now = 100.0
        self.actions = []
        self.identity_questions = []
        self.timers = {}
        self.last_exchange = 0
        self.offer(table or route_table())
        self.list_engines(fleet() if entries is None else entries)

    # -- events -------------------------------------------------------------

    def handle(self, event):
        """Hand in an event; return and keep the actions."""
        done = self.relay.handle(event, self.now)
        self.actions += done
        for action in done:
            match action:
                case common_actions.SetTimer(name, deadline):
                    self.timers[name] = deadline
                case common_actions.ClearTimer(name):
                    self.timers.pop(name, None)
                case relay_actions.ProbeAddress(entry):
                    self.identity_questions.append(entry)
        return done

    def offer(self, table):
        return self.handle(relay_events.ConfigurationOffered(table, 'test'))

    def list_engines(self, entries):
        return self.handle(relay_events.EnginesListed(tuple(entries)))

    def change_engines(self, *entries, removed=()):
        return self.handle(
            relay_events.EnginesChanged(tuple(entries), tuple(removed))
        )

    def read_for_all(self):
        """Have the others rely on what this instance reads in the store.

        It has heard nothing for a while, and so looks at the list itself.
        """
        for _ in range(2):
            self.now += 1.5
            self.relay.sharing.engine_list_freshness.note_read_asked(self.now)
            self.change_engines()
        assert self.relay.sharing.reads_for_all

    def ask(self, target=b'/drafts/1', seconds=25.0, **fields):
        """Submit a request; return its exchange."""
        self.last_exchange += 1
        given = {
            'method': b'POST',
            'host': HOST,
            'headers': (),
            'body': b'x',
            'request_id': f'r{self.last_exchange}',
            'key': KEY,
            'prompt': requests.Prompt(8_000, 780, f'part{self.last_exchange}'),
            **fields,
        }
        request = requests.CallerRequest(
            self.last_exchange,
            target=target,
            received_at=self.now,
            deadline=self.now + seconds,
            **given,
        )
        self.handle(relay_events.RequestArrived(request))
        return self.last_exchange

    def ask_little(self):
        """Submit a stream that takes next to no room; return its exchange."""
        part = f'part{self.last_exchange + 1}'
        return self.ask(prompt=requests.Prompt(400, 40, part))

    def call(self, **fields):
        return self.ask(b'/booking/1', 1.5, prompt=None, **fields)

    def query(self, **fields):
        return self.ask(
            b'/queries/1', 1.5, prompt=None, method=b'GET', **fields
        )

    def advance(self, seconds):
        """Let time pass, firing the timers that come due on the way."""
        until = self.now + seconds
        while self.timers:
            name = min(self.timers, key=lambda n: self.timers[n])
            if self.timers[name] > until:
                break
            self.now = max(self.now, self.timers.pop(name))
            self.handle(common_events.TimerFired(name))
        self.now = until

    # -- what comes from engines --------------------------------------------

    def state(self, send, status=200, **fields):
        """Have the head of a send's answer state something of its engine."""
        request = identity.RequestId(send.account, send.request.request_id)
        return self.handle(
            relay_events.EngineStated(
                send.engine,
                statements.Statement(**fields),
                status,
                request=request,
            )
        )

    def ask_for_rest(self, send, seconds):
        """Have an engine turn a send away and ask for rest."""
        self.state(send, 503, rest_seconds=seconds)
        return self.refuse(send)

    def begin(self, send, **fields):
        return self.handle(
            relay_events.AnswerStarted(
                send.exchange, send.send, answer_head(**fields)
            )
        )

    def events(self, send, *numbers):
        moved = tuple(
            requests.StreamEvent(n, b'id: %d\n\n' % n) for n in numbers
        )
        return self.handle(
            relay_events.StreamProgressed(send.exchange, send.send, moved)
        )

    def complete(self, send):
        return self.handle(
            relay_events.StreamComplete(send.exchange, send.send)
        )

    def answer(self, send, body=b'ok', **fields):
        return self.handle(
            relay_events.AnswerComplete(
                send.exchange, send.send, answer_head(**fields), body
            )
        )

    def engines_used(self, ask, count=40):
        """Return the engines that get the next requests of a kind."""
        used = set()
        for _ in range(count):
            send = self.last_send(ask(self))
            used.add(send.engine.engine)
            self.answer(send)
        return used

    def refuse(self, send, status=503):
        return self.answer(
            send, b'', status=status, not_run=True, sealed=False
        )

    def lose(self, send, detail='ConnectionLost', *, handed_over=True):
        return self.handle(
            relay_events.SendFailed(
                send.exchange, send.send, handed_over, detail
            )
        )

    def answer_identity_questions(self, replaced=()):
        """Answer all open questions for identities, also those that follow.

        The engines in ``replaced`` are followed by others.
        """
        while questions := self.identity_questions:
            entry = questions.pop(0)
            has_ended = entry.engine in replaced
            name = f'{entry.engine}-next' if has_ended else entry.engine
            self.handle(
                relay_events.AddressProbed(
                    entry.engine, name, is_replaced=has_ended
                )
            )

    def leave(self, exchange):
        return self.handle(common_events.CallerGone(exchange))

    # -- what the relay wanted ----------------------------------------------

    def of_kind(self, kind, exchange=None):
        return [
            action
            for action in self.actions
            if isinstance(action, kind)
            and (exchange is None or action.exchange == exchange)
        ]

    def sends(self, exchange=None):
        return self.of_kind(relay_actions.Send, exchange)

    def last_send(self, exchange):
        return self.sends(exchange)[-1]

    def answered(self, exchange=None):
        return self.of_kind(relay_actions.PassAnswer, exchange)

    def refusals(self, exchange=None):
        return self.of_kind(relay_actions.Refuse, exchange)

    def passed_events(self, exchange):
        """Return the numbers of the events that the caller has."""
        return [
            event.number
            for action in self.of_kind(relay_actions.PassEvents, exchange)
            for event in action.events
        ]


def answer_head(
    status=200, *, sealed=True, not_run=False, load=None, limit=None
):
    """Return the head of an engine's answer."""
    return requests.AnswerHead(
        status, b'', SEAL, sealed, not_run, load, limit=limit
    )


# How requests of each kind are made.
ASK = {
    'stream': RelayWorld.ask_little,
    'call': RelayWorld.call,
    'query': RelayWorld.query,
}


def leave_checks_unanswered(world, seconds):
    """Let time pass in which no check of an engine is answered."""
    answered = 0
    for _ in range(round(seconds / CHECK_STEP_SECONDS) + 1):
        checks = world.of_kind(relay_actions.CheckEngine)
        for check in checks[max(answered, len(checks) - 1) :]:
            fate = relay_events.EngineFate.UNKNOWN
            world.handle(relay_events.EngineChecked(check.entry, fate))
        answered = len(checks)
        world.advance(CHECK_STEP_SECONDS)
