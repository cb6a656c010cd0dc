"""One instance: the sockets, timers and clients around the decisions."""

import functools
import random
import secrets

import klein
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces

from greengagelb import errors
from greengagelb import settings
from greengagelb import settings_changes
from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination import node
from greengagelb.coordination.fleet import probe_assignment
from greengagelb.protocol import codec
from greengagelb.protocol import operator_api
from greengagelb.state import fleet
from greengagelb.state import identity
from greengagelb.state import plans as plan_state
from greengagelb.transport import answer_memory
from greengagelb.transport import body_budget
from greengagelb.transport import caller_app
from greengagelb.transport import caller_stream
from greengagelb.transport import claim_store
from greengagelb.transport import decision_loop
from greengagelb.transport import engine_client
from greengagelb.transport import listening
from greengagelb.transport import metrics
from greengagelb.transport import operator_app
from greengagelb.transport import order_keeper
from greengagelb.transport import peers
from greengagelb.transport import plan_store
from greengagelb.transport import platform_client
from greengagelb.transport import recorder
from greengagelb.transport import service_client
from greengagelb.transport import serving

PAUSE_CHECK_INTERVAL_SECONDS = 0.1
PAUSE_THRESHOLD_SECONDS = 0.25
PROBE_INTERVAL_SECONDS = 1.0
LIST_POLL_JITTER = (0.5, 1.5)


class Instance:
    """Owns the sockets and clients, and carries out the actions."""

    def __init__(
        self,
        reactor: interfaces.IReactorCore,
        instance_settings: settings.Settings,
    ) -> None:
        self.reactor = reactor
        self.settings = instance_settings
        self.incarnation = secrets.token_hex(6)
        self.node = node.Node(
            self.incarnation,
            random.Random(),
            instance_settings.instance.data_centre,
        )
        self.recorder = recorder.Recorder(
            instance_settings.instance.name,
            instance_settings.instance.timeline_events,
        )
        self.loop = decision_loop.DecisionLoop(
            reactor, self.node, self.carry_out, self.recorder
        )
        self.dispatch = self.loop.dispatch
        self.platform = platform_client.PlatformClient(
            reactor, instance_settings.platform, self.recorder.record
        )
        memory = answer_memory.AnswerMemory()
        self.engines = engine_client.EngineClient(
            reactor, self.dispatch, memory
        )
        self.services = service_client.ServiceClient(
            reactor, self.dispatch, memory
        )
        self.claims = claim_store.ClaimStore(self.platform, self.dispatch)
        self.plans = plan_store.PlanStore(self.platform)
        self.peers = peers.PeerLink(
            reactor,
            instance_settings,
            self.incarnation,
            self.dispatch,
            lambda: self.node.configuration,
            self.recorder,
        )
        self.callers = caller_app.CallerApp(
            reactor,
            self.dispatch,
            lambda: self.node.configuration,
            codec.CursorSeal(instance_settings.secrets.cursor_secret.encode()),
            self.recorder,
        )
        self.recorder.metrics.sample = self.sample
        self.orders = order_keeper.OrderKeeper(
            reactor,
            self.platform,
            self.node,
            instance_settings.instance.data_centre,
            self.dispatch,
            self.recorder.record,
        )
        self.probes = probe_assignment.ProbeAssignment(
            self.incarnation, instance_settings.instance.data_centre
        )
        self.sites: list[listening.DrainingFactory] = []
        self.ports: list[interfaces.IListeningPort] = []
        self.is_finishing = False
        self.last_pause_check_at = reactor.seconds()
        self.settings_applied_at = reactor.seconds()
        self.next_list_poll_at = reactor.seconds()
        self.stopped: defer.Deferred = defer.Deferred()

    def start(self) -> None:
        """Open the ports and start the periodic calls."""
        own_settings = self.settings.instance
        health = caller_app.health_app(
            lambda: self.node.is_ready, self.recorder.metrics.render
        )
        self.callers.app.route('/', branch=True)(
            lambda request: health.resource()
        )
        self.listen(
            own_settings.caller_port, self.callers.app, self.callers.budget
        )
        operators = operator_app.OperatorApp(
            self.plans,
            self.settings.secrets.operator_key_digest,
            self.status,
            self.recorder,
            self.apply_confirmed_plan,
            self.running_by_upstream,
        )
        self.listen(own_settings.operator_port, operators.app)
        self.peers.start()
        self.loop.call_periodically(
            PAUSE_CHECK_INTERVAL_SECONDS, self.check_own_pause
        )
        self.loop.call_periodically(
            self.settings.peers.heartbeat_seconds, self.send_heartbeats
        )
        self.loop.call_periodically(
            PROBE_INTERVAL_SECONDS, self.probe_upstreams
        )
        self.loop.call_periodically(
            self.settings.platform.poll_seconds, self.poll_platform
        )

    def listen(
        self,
        port: int,
        app: klein.Klein,
        budget: body_budget.BodyBudget | None = None,
    ) -> None:
        """Serve an app on a port."""
        site = listening.DrainingFactory(
            serving.bounded_site(
                app.resource(),
                self.reactor,
                budget,
                lambda: self.node.is_stopping,
            )
        )
        host = self.settings.instance.host
        self.sites.append(site)
        try:
            listener = self.reactor.listenTCP(port, site, interface=host)
        except error.CannotListenError as exc:
            raise errors.CannotListen(str(exc)) from exc
        caller_stream.bound_kernel_buffer(listener)
        self.ports.append(listener)

    def check_own_pause(self) -> None:
        """Detect that this process itself was paused.

        A paused process gets no other sign of it; all upstreams seem to have
        fallen silent at the same time.
        """
        now = self.reactor.seconds()
        late = now - self.last_pause_check_at - PAUSE_CHECK_INTERVAL_SECONDS
        self.last_pause_check_at = now
        if late > PAUSE_THRESHOLD_SECONDS:
            self.peers.handle_own_pause(late)
            self.orders.handle_own_pause()
            self.dispatch(events.PauseDetected(late))
        self.peers.update_own_state(self.own_state())

    def own_state(self) -> fleet.OwnState:
        """Return this instance's state as its peers should know it."""
        return fleet.OwnState(
            self.node.configuration.version,
            self.node.is_stopping,
            frozenset(
                identity.EngineId(name, view.incarnation)
                for name, view in self.node.directory.views.items()
                if view.leaving and view.incarnation
            ),
            self.orders.held_engines,
            self.node.guard.sorted_suspects(),
        )

    def probe_upstreams(self) -> None:
        """Request the reports of the upstreams assigned to this instance."""
        now = self.reactor.seconds()
        members = self.peers.membership
        wanted = self.probes.upstreams_to_probe(
            self.node.directory.views, members.live_incarnations(now), now
        )
        for upstream in {*wanted, *self.orders.engines_to_probe()}:
            self.engines.probe_upstream(actions.ProbeUpstream(upstream))
        self.orders.tick(members.live_incarnations(now))

    def send_heartbeats(self) -> None:
        """Send the periodic heartbeats, with the loads known here."""
        now = self.reactor.seconds()
        self.peers.membership.loads = self.node.directory.own_loads(now)
        self.peers.tick()

    @defer.inlineCallbacks
    def poll_platform(self) -> object:
        """Fetch the configuration and the instance list from the platform."""
        try:
            configuration = yield self.plans.read_configuration(
                newer_than=self.node.configuration.version
            )
            if configuration is not None:
                self.dispatch(
                    events.ConfigurationOffered(configuration, 'platform')
                )
            yield self.poll_instance_list()
        except errors.GreengagelbError:
            return

    @defer.inlineCallbacks
    def poll_instance_list(self) -> object:
        """Fetch the platform's list of instances, if the interval has passed.

        The size of the list grows with the fleet, and an instance passes on
        the changes that it sees. So the interval grows with the number of
        instances in the data centre, which keeps the total rate of reads
        constant.
        """
        if self.reactor.seconds() < self.next_list_poll_at:
            return
        instances = yield self.platform.list_instances()
        live_instances = self.peers.membership.count_live_instances(
            self.reactor.seconds()
        )
        seconds = self.settings.platform.poll_seconds * live_instances / 2
        self.next_list_poll_at = self.reactor.seconds() + seconds * (
            random.uniform(*LIST_POLL_JITTER)
        )
        self.peers.apply_instance_list(instances)

    def running_by_upstream(self) -> dict[str, int]:
        """Return the number of requests known to run on each upstream."""
        return {
            name: max(view.in_flight, view.reported_running)
            for name, view in self.node.directory.views.items()
        }

    def apply_confirmed_plan(self, plan: plan_state.Plan) -> None:
        """Apply a plan that an operator has just confirmed here."""
        self.dispatch(events.ConfigurationOffered(plan.result, plan.plan_id))

    def status(self) -> operator_api.Status:
        """Return the status of this instance for operators."""
        members = self.peers.membership
        own = members.build_summary(self.reactor.seconds())
        return operator_api.Status(
            process=self.settings.instance.name,
            data_centre=self.settings.instance.data_centre,
            incarnation=self.incarnation,
            configuration_version=self.node.configuration.version,
            stopping=self.node.is_stopping,
            running=len(self.node.running),
            waiting=len(self.node.waiting_requests),
            ready=self.node.is_ready,
            in_force_on=own.in_force_on,
            instances_known=own.instances,
            missing=list(own.missing),
            instances=self.known_instances(),
            data_centres=[own, *members.latest_summaries()],
            leaving_upstreams=sorted(
                engine.name for engine in members.own_state.leaving_upstreams
            ),
        )

    def sample(self) -> metrics.Sample:
        """Return this instance's state for a scrape of the metrics."""
        own_settings = self.settings.instance
        return metrics.Sample(
            identity=metrics.Identity(
                own_settings.name, own_settings.data_centre
            ),
            stopping=self.node.is_stopping,
            settings_digest=settings_changes.digest(
                self.settings, settings_changes.SERVE_EFFECTS
            ),
            settings_seconds=self.reactor.seconds() - self.settings_applied_at,
            engines=len(self.node.directory.views),
            running=len(self.node.running),
            waiting=len(self.node.waiting_requests),
            stale_events=self.node.stream_supervisor.dropped_events,
            configuration_version=self.node.configuration.version,
            timeline_dropped=self.recorder.timeline.dropped,
            suspects=len(self.node.guard.records.histories),
            blocked=len(
                self.node.guard.records.blocked_fingerprints(
                    self.reactor.seconds()
                )
            ),
            limits=self.node.limits.keeper.figures(),
            statements=self.node.statements.statistics(self.reactor.seconds()),
        )

    def known_instances(self) -> list[operator_api.InstanceStatus]:
        """Return what this instance knows about the others."""
        now = self.reactor.seconds()
        members = self.peers.membership
        return [
            operator_api.InstanceStatus(
                view.peer.name,
                view.peer.data_centre,
                view.peer.incarnation,
                view.version,
                members.standing_of(view, now),
            )
            for view in members.peers.values()
        ]

    def carry_out(self, action: actions.Action) -> None:
        """Carry out an action."""
        self.recorder.metrics.count_action(action)
        match action:
            case actions.SendTokens():
                self.callers.send_tokens(action)
            case actions.SetTimer(name, deadline):
                self.loop.set_timer(name, deadline)
            case actions.ClearTimer(name):
                self.loop.clear_timer(name)
            case actions.StartAttempt():
                self.engines.start_attempt(action)
            case actions.AttachAttempt():
                self.engines.attach_attempt(action)
            case actions.CancelAttempt():
                self.engines.cancel_attempt(action)
            case actions.ProbeUpstream():
                self.engines.probe_upstream(action)
            case actions.SendRestart():
                self.callers.send_restart(action)
            case actions.SendEnd():
                self.callers.send_end(action)
            case actions.SendFailure():
                self.callers.send_failure(action)
            case actions.SendAnswer():
                self.callers.send_answer(action)
            case actions.WriteClaim():
                self.claims.write_claim(action)
            case actions.DispatchCall():
                self.services.send_call(action)
            case actions.AbandonCall(exchange):
                self.services.abandon_call(exchange)
            case actions.SendPeerMessage():
                self.peers.send_limit_message(action)
            case actions.Record():
                self.recorder.record(action)
            case actions.FinishStopping():
                self.finish_stopping()

    def finish_stopping(self) -> None:
        """End the process once all sent answers are flushed."""
        if self.is_finishing:
            return
        self.is_finishing = True
        self.peers.update_own_state(self.own_state())
        self.peers.stop()
        for site in self.sites:
            site.refuse_new_requests()
        drains = [
            functools.partial(site.drain, self.reactor) for site in self.sites
        ]
        closed = listening.close_ports(self.reactor, self.ports, drains)
        closed.chainDeferred(self.stopped)
