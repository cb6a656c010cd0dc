"""The naive policies that the measurements compare with.

Only what each experiment compares is replaced; recovery is the same.
"""

from greengagelb.coordination import node
from greengagelb.coordination.fleet import routing
from greengagelb.coordination.sharing import admission
from greengagelb.coordination.sharing import fair_queue
from greengagelb.coordination.streams import supervisor
from greengagelb.state import configuration as configuration_state
from greengagelb.state import requests
from greengagelb.state import upstreams as upstream_state


class PlainDirectory(routing.UpstreamDirectory):
    """Counts only its own requests against an upstream's places."""

    def candidates(
        self,
        pool: configuration_state.Pool,
        excluded: set[str],
        now: float,
    ) -> list[upstream_state.UpstreamView]:
        """Return the views with a place, in the configuration's order."""
        return [
            view
            for view in self.usable_views(pool, excluded, now)
            if view.in_flight < pool.slots_per_upstream
        ]


class RoundRobin(PlainDirectory):
    """Takes the upstreams in turn."""

    turn = 0

    def choose_upstream(
        self,
        pool: configuration_state.Pool,
        excluded: set[str],
        now: float,
        priority: configuration_state.Priority = routing.RESUME,
        prefix: str = '',
    ) -> upstream_state.UpstreamView | None:
        """Return the next view with a place."""
        views = self.candidates(pool, excluded, now)
        if not views:
            return None
        self.turn += 1
        return views[self.turn % len(views)]


class LeastReported(PlainDirectory):
    """Takes the upstream whose last report was the lowest."""

    def choose_upstream(
        self,
        pool: configuration_state.Pool,
        excluded: set[str],
        now: float,
        priority: configuration_state.Priority = routing.RESUME,
        prefix: str = '',
    ) -> upstream_state.UpstreamView | None:
        """Return the view with the lowest reported load."""
        views = self.candidates(pool, excluded, now)
        return min(
            views,
            key=lambda view: view.reported_running + view.reported_queued,
            default=None,
        )


class FirstInFirstOut(fair_queue.FairQueue):
    """Serves requests in the order of their arrival, whoever sent them."""

    def schedule_account(self, account_queue: fair_queue.AccountQueue) -> None:
        """Enter a line by the number of its oldest exchange."""
        if (
            account_queue.heap_serial == fair_queue.NO_HEAP_ENTRY
            and account_queue.waiting
        ):
            account_queue.virtual_finish = (
                account_queue.oldest_ticket().exchange
            )
            super().schedule_account(account_queue)


class NoAdmission(admission.AdmissionControl):
    """Refuses nobody, limits nobody and lets everybody wait in one queue."""

    def may_run(self, account: configuration_state.ClientAccount) -> bool:
        """Return that any account may run more."""
        return True

    def refusal(
        self,
        ticket: fair_queue.Ticket,
        account: configuration_state.ClientAccount,
        is_resume: bool,
        now: float,
    ) -> requests.Failure | None:
        """Let every request wait."""
        return None

    def expected_run_seconds(self, ticket: fair_queue.Ticket) -> float:
        """Return nothing: each request is started, however late."""
        return 0.0

    def push(self, ticket: fair_queue.Ticket) -> None:
        """Let a ticket wait in the order of its arrival."""
        key = admission.queue_key(ticket)
        if key not in self.queues:
            self.queues[key] = FirstInFirstOut()
            self.queue_keys = sorted(self.queues)
        super().push(ticket)


def replace_directory(
    changed: node.Node, directory: routing.UpstreamDirectory
) -> None:
    """Give a node that has no configuration yet another directory."""
    changed.directory = directory
    changed.stream_supervisor = supervisor.StreamSupervisor(
        directory,
        changed.cancellation_supervisor,
        changed.incarnation,
        changed.guard,
    )
    changed.call_supervisor.directory = directory


def make_naive(changed: node.Node) -> None:
    """Turn a node into round robin with one queue for everybody."""
    replace_directory(changed, RoundRobin(changed.directory.rng))
    changed.admission = NoAdmission(changed.admission.rng)
