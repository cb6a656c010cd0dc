"""Decides which requests an instance accepts until the end of its stop.

The platform stops an instance within a fixed time, and its load balancer keeps
sending callers for a part of it. So the instance continues to serve, but
accepts only requests that will finish in time, and none once it has begun to
end. All times count from when the platform requested the stop, not from when
the instance noticed that.
"""

from greengagelb.coordination import actions
from greengagelb.coordination import lifecycle
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import sending
from greengagelb.state.relay import exchanges

# How long an instance accepts streams after it was requested to stop. The load
# balancer checks once a second and acts on two failures in a row, so it sends
# no new callers after two seconds; half a second allows for a stop that is
# noticed late and for the latency of a request. Later streams, on connections
# that callers have kept open, are refused: how long one takes is only
# estimated from others, and its caller loses it if it is cut at the end of the
# stop.
STREAM_ACCEPT_SECONDS = 2.5
# In a short stop, streams are accepted for at most this share of it: the
# duration of streams may not be known yet, and one takes about two seconds or
# more.
STREAM_ACCEPT_SHARE = 1.0 / 3.0


class InstanceLifecycle:
    """The life cycle of an instance, and the deadlines of its stop.

    ``stop_by`` is when all requests must have ended, and
    ``accepts_streams_until`` is when streams begin to be refused; both are
    monotonic times.
    """

    def __init__(self) -> None:
        self.stop_by = float('inf')
        self.accepts_streams_until = float('inf')
        self.progress = lifecycle.Progress()
        self.machine = lifecycle.new_lifecycle(self.progress)

    @property
    def is_serving(self) -> bool:
        """Return whether the load balancer may send callers here."""
        return self.progress.phase is lifecycle.Phase.SERVING

    @property
    def is_finished(self) -> bool:
        """Return whether all requests are refused as the process ends."""
        phase = self.progress.phase
        return phase in (lifecycle.Phase.FINISHED, lifecycle.Phase.ENDED)

    def begin_serving(self) -> None:
        """Start to serve, unless a stop was requested."""
        self.machine.configuration_applied()

    def begin_stop(
        self, event: relay_events.StopRequested, now: float
    ) -> list[actions.Record]:
        """Set the stop deadlines; accept only what can finish in time."""
        asked_at = now if event.asked_at is None else event.asked_at
        self.machine.stop_requested()
        self.stop_by = event.deadline
        self.accepts_streams_until = asked_at + min(
            STREAM_ACCEPT_SECONDS,
            STREAM_ACCEPT_SHARE * (self.stop_by - asked_at),
        )
        why = (
            f'{event.deadline - now:.1f} s left, '
            f'noticed after {now - asked_at:.3f} s'
        )
        return [actions.Record('stopping', why)]

    def end_serving(
        self, cut_requests: int
    ) -> list[actions.Record | actions.FinishStopping]:
        """Stop serving; ``cut_requests`` requests are cut."""
        self.machine.work_finished()
        return [
            actions.Record('stopped', f'{cut_requests} requests cut'),
            actions.FinishStopping(),
        ]

    def end_process(self, cut_requests: int) -> list[actions.Record]:
        """Let the process end; it cuts ``cut_requests`` requests."""
        self.machine.connections_closed()
        return [actions.Record('ended', f'{cut_requests} requests cut')]

    def may_be_cut(
        self, expected_end_at: float, now: float, *, stream: bool
    ) -> bool:
        """Return whether a request might be cut by the end of this instance.

        ``expected_end_at`` is the monotonic time by which it should be over.
        Once the instance has begun to end, no request can be answered: the
        process may exit before an engine is done.
        """
        if self.is_finished:
            return True
        if stream and now >= self.accepts_streams_until:
            return True
        return expected_end_at > self.stop_by

    def note_accepted(
        self, exchange: exchanges.Exchange, expected_end_at: float, now: float
    ) -> list[actions.Record]:
        """Record an accepted request, with the time left in a stop."""
        self.machine.request_accepted()
        if self.is_serving:
            return []
        left = f'{self.stop_by - now:.3f} s left'
        need = f'needs {expected_end_at - now:.3f} s'
        return [
            sending.record(
                exchange, None, 'taken-while-stopping', f'{left}, {need}'
            )
        ]
