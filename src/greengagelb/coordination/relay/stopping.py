"""What a relaying instance takes from its start to the end of its stop.

The platform stops an instance within a fixed time, and its balancer goes on
sending callers for a part of it. So the instance serves on, but takes only
what will be over in time; once it has begun to end it takes nothing. All times
count from when the platform asked, not from when that was noticed.
"""

from greengagelb.coordination import actions
from greengagelb.coordination import lifecycle
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.relay import sending
from greengagelb.state.relay import exchanges

# How long after it was asked to stop an instance takes streams, in seconds.
# The balancer asks once a second and goes by two misses in a row, so it sends
# no new callers after two; half a second is room for a stop that is noticed
# late and for the way of a request. A stream that comes later, on a connection
# that its caller has kept, is not worth the risk: how long it takes is only
# known from others, and if it is cut at the end of the stop, its caller has
# lost it.
STREAM_ACCEPT_SECONDS = 2.5
# Of a short stop no more than this part: how long a stream takes may not be
# known yet, and one needs about two seconds at least.
STREAM_ACCEPT_SHARE = 1.0 / 3.0


class InstanceLifecycle:
    """The life cycle of an instance, and the deadlines of its stop.

    ``stop_by`` is when all must be over, and ``streams_until`` from when on
    streams are refused; both are monotonic times.
    """

    def __init__(self) -> None:
        self.stop_by = float('inf')
        self.accepts_streams_until = float('inf')
        self.progress = lifecycle.Progress()
        self.machine = lifecycle.new_lifecycle(self.progress)

    @property
    def is_serving(self) -> bool:
        """Return whether the balancer may send callers here."""
        return self.progress.phase is lifecycle.Phase.SERVING

    @property
    def is_finished(self) -> bool:
        """Return whether nothing is taken any more, as the process ends."""
        phase = self.progress.phase
        return phase in (lifecycle.Phase.FINISHED, lifecycle.Phase.ENDED)

    def begin_serving(self) -> None:
        """Serve from now on, unless a stop was asked for."""
        self.machine.configuration_applied()

    def begin_stop(
        self, event: relay_events.StopRequested, now: float
    ) -> list[actions.Record]:
        """Serve on, but take only what can be finished in time."""
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
        """Begin to end; ``left`` requests are cut."""
        self.machine.work_finished()
        return [
            actions.Record('stopped', f'{cut_requests} cut'),
            actions.FinishStopping(),
        ]

    def end_process(self, cut_requests: int) -> list[actions.Record]:
        """Let the process end; ``left`` requests are cut with it."""
        self.machine.connections_closed()
        return [actions.Record('ended', f'{cut_requests} cut')]

    def may_be_cut(
        self, expected_end_at: float, now: float, *, stream: bool
    ) -> bool:
        """Return whether a request might be cut by the end of this instance.

        ``ends_by`` is when it is taken to be over. What comes once this
        instance has begun to end could not even be answered: the process may
        be gone before its engine is done.
        """
        if self.is_finished:
            return True
        if stream and now >= self.accepts_streams_until:
            return True
        return expected_end_at > self.stop_by

    def note_accepted(
        self, exchange: exchanges.Exchange, expected_end_at: float, now: float
    ) -> list[actions.Record]:
        """Note that a request is taken; tell on what, while stopping."""
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
