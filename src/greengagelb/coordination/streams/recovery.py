"""What is done for a stream whose attempt is lost, cheapest step first.

1. Attach to the same attempt over a new connection, since the old one may
   merely have gone silent and the engine still has its cache.
2. Continue on another engine of the same model version and adapter, given
   the prompt and the exact tokens so far.
3. Start a new generation, told to the caller as a restart, if the service is
   idempotent and no engine of the version can be had; else give the final
   answer.
"""

from greengagelb.coordination import actions
from greengagelb.coordination import timers
from greengagelb.coordination.fleet import routing
from greengagelb.coordination.sharing import crash_guard
from greengagelb.coordination.sharing import replay_budgets
from greengagelb.coordination.streams import attempts
from greengagelb.coordination.streams import endings
from greengagelb.coordination.streams import pinning
from greengagelb.state import attempts as attempt_state
from greengagelb.state import configuration as configuration_state
from greengagelb.state import streams as stream_state
from greengagelb.state import upstreams as upstream_state

RECOVERY_RETRY_SECONDS = 0.05
RECOVERY_PATIENCE_SECONDS = 1.5
ATTACH_AGAIN_SECONDS = 1.0
MOST_GENERATIONS = 4
RETRY_AFTER_SECONDS = 2.0


class RecoveryLadder(endings.StreamEndings):
    """Replaces lost attempts, and gives the final answer where none helps."""

    def __init__(
        self,
        directory: routing.UpstreamDirectory,
        table: attempts.AttemptTable,
        guard: crash_guard.CrashGuard,
    ) -> None:
        super().__init__(directory, table)
        self.guard = guard
        self.configuration = configuration_state.Configuration()
        self.budgets = replay_budgets.ReplayBudgets()
        self.exhausted = replay_budgets.ExhaustedRequests()

    # -- first step ---------------------------------------------------------

    def lost(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
        reason: str,
    ) -> list[actions.Action]:
        """Take the next step after a loss of contact with an attempt."""
        stream.may_have_run = True
        just_attached = now - attempt.attached_at < ATTACH_AGAIN_SECONDS
        if attempt is stream.spare or attempt.suspected or just_attached:
            return self.bury(stream, attempt, now, reason)
        done = [attempts.record(stream, attempt, 'attempt-suspected', reason)]
        done += self.table.attach(stream, attempt, now)
        return done + self.start_spare(stream, attempt, now)

    def start_spare(
        self,
        stream: stream_state.Stream,
        suspected: attempt_state.Attempt,
        now: float,
    ) -> list[actions.Action]:
        """Have a second engine continue while the first is asked.

        It costs a prompt read for nothing where the first still lives, and
        saves the time of asking where it is dead.
        """
        wanted = stream.service.recovery.spare_attempt
        if not wanted or stream.spare is not None or stream.is_whole:
            return []
        if stream.would_run_twice or self.guard.must_not_run(
            stream.request, now
        ):
            return []
        excluded = {suspected.upstream.name}
        pool = pinning.pinned_pool(self.configuration, stream)
        view = self.directory.choose_upstream(pool, excluded, now)
        if view is None or self.budget_wait(stream, now):
            return []
        return self.table.order(stream, view, now, spare=True)

    # -- second step --------------------------------------------------------

    def bury(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
        reason: str,
    ) -> list[actions.Action]:
        """Take an attempt's engine for dead."""
        stream.engine_deaths += 1
        self.directory.mark_suspected(attempt.upstream.name, now)
        stream.excluded.add(attempt.upstream.name)
        return self.replace(stream, attempt, now, reason)

    def replace(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
        reason: str,
    ) -> list[actions.Action]:
        """Put the spare or another engine in an attempt's place."""
        is_current = attempt is stream.attempt
        done = [attempts.record(stream, attempt, 'attempt-replaced', reason)]
        done += self.table.drop(stream, attempt)
        if self.has_killed_too_many(stream):
            self.exhausted.add(stream.request.request)
            return done + self.fail(stream, crash_guard.BLOCKED_RAN_CODE, None)
        if not is_current:
            return done
        if stream.spare is not None:
            return done + self.table.promote_spare(stream, now)
        return done + self.recover(stream, now)

    def has_killed_too_many(self, stream: stream_state.Stream) -> bool:
        """Return whether more engines died than a request may be part of."""
        most = stream.service.recovery.most_engine_deaths
        return stream.engine_deaths > most

    def recover(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Find an engine for a stream that has none, or wait a little."""
        exchange = stream.request.exchange
        self.recovering.pop(exchange, None)
        if stream.recover_by is None:
            stream.recover_by = now + RECOVERY_PATIENCE_SECONDS
        if stream.is_whole:
            # The last token came and only the end event was lost; an engine
            # asked to continue would generate one token too many.
            return self.end(stream, 'length')
        if stream.would_run_twice:
            return self.fail(stream, 'outcome-unknown', None)
        if self.guard.is_blocked(stream.request, now):
            return self.fail(stream, crash_guard.BLOCKED_RAN_CODE, None)
        if self.guard.has_blocking_suspicions(stream.request, now):
            return self.wait(stream, now)
        account = stream.request.request.account
        self.directory.limits.set_retry_requester(account, now, urgent=True)
        pool = pinning.pinned_pool(self.configuration, stream)
        view = self.directory.choose_upstream(pool, stream.excluded, now)
        if view is not None:
            return self.go_on(stream, pool, view, now)
        if not self.directory.can_ever_serve(pool, now):
            return self.restart(stream, now)
        return self.wait(stream, now)

    def try_again(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Look again, at the engines that refused or failed before too.

        Only time gives them another chance. Were they asked again whenever
        a place comes free, a refusal would bring about the next one, as fast
        as the network allows.
        """
        stream.excluded.clear()
        return self.recover(stream, now)

    def go_on(
        self,
        stream: stream_state.Stream,
        pool: configuration_state.Pool,
        view: upstream_state.UpstreamView,
        now: float,
    ) -> list[actions.Action]:
        """Continue a stream on an engine, within its account's budget."""
        wait = self.budget_wait(stream, now)
        if wait:
            return self.fail(stream, 'replay-budget-spent', wait)
        stream.pool = pool
        return self.table.order(stream, view, now)

    def wait(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Try again soon, or give the final answer when patience is out."""
        exchange = stream.request.exchange
        if stream.recover_by is not None and now >= stream.recover_by:
            return self.give_up(stream, now)
        self.recovering[exchange] = stream
        timer = timers.timer_name(endings.RECOVERY_TIMER, exchange)
        return [actions.SetTimer(timer, now + RECOVERY_RETRY_SECONDS)]

    def give_up(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Restart or fail, when patience is out.

        An instance that does not watch the engines learns only from their
        refusals that none has the version any more.
        """
        pool = pinning.pool_in_force(self.configuration, stream)
        if self.guard.must_not_run(stream.request, now):
            return self.fail(stream, crash_guard.BLOCKED_RAN_CODE, None)
        if pool is not None and self.directory.choose_upstream(
            pool, set(), now
        ):
            stream.excluded.clear()
            return self.restart(stream, now)
        return self.fail(stream, 'no-engine', RETRY_AFTER_SECONDS)

    # -- third step ---------------------------------------------------------

    def restart(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Start afresh on the version in force, if the request may repeat."""
        pool = pinning.pool_in_force(self.configuration, stream)
        if pool is None or not self.directory.can_ever_serve(pool, now):
            return self.fail(stream, 'no-engine', RETRY_AFTER_SECONDS)
        if not stream.service.idempotent and stream.may_have_run:
            return self.fail(stream, 'version-withdrawn', None)
        if stream.generation >= MOST_GENERATIONS:
            return self.fail(stream, 'restarts-exceeded', None)
        view = self.directory.choose_upstream(pool, stream.excluded, now)
        if view is None:
            return self.wait(stream, now)
        if not stream.may_have_run:
            return self.go_on(stream, pool, view, now)
        wait = self.budget_wait(stream, now)
        if wait:
            return self.fail(stream, 'replay-budget-spent', wait)
        stream.start_afresh(pool)
        started = self.table.order(stream, view, now)
        told = actions.SendRestart(
            stream.request.exchange,
            stream.generation,
            'version-withdrawn',
            stream.resume_point(),
        )
        return [
            attempts.record(stream, None, 'stream-restarted', pool.version),
            told,
            *started,
        ]

    # -- helpers ------------------------------------------------------------

    def budget_wait(self, stream: stream_state.Stream, now: float) -> float:
        """Take a resume from the account's budget; return 0 or the wait."""
        if not stream.may_have_run:
            return 0.0
        name = stream.request.request.account
        account = self.configuration.find_account(name)
        if account is None:
            return 0.0
        return self.budgets.take_replay(name, account.resume_budget, now)
