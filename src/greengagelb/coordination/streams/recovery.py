"""Recovers streams that lost their attempt, trying the cheapest step first.

1. Attach to the same attempt over a new connection, since only the connection
   may be lost and the engine still has its cache.
2. Continue on another engine of the same model version and adapter, with the
   prompt and the exact tokens so far.
3. If no engine of the version is available: start a new generation, announced
   to the caller as a restart, if the service is idempotent; otherwise fail.

An attempt that is only silent is not lost: see ``silent_attempts``.
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

RECOVERY_RETRY_DELAY_SECONDS = 0.05
RECOVERY_TIMEOUT_SECONDS = 1.5
MIN_ATTACH_INTERVAL_SECONDS = 1.0
MAX_GENERATIONS = 4
RETRY_AFTER_SECONDS = 2.0


class StreamRecovery(endings.StreamEndings):
    """Replaces lost attempts; fails streams that can't be recovered."""

    def __init__(
        self,
        directory: routing.UpstreamDirectory,
        attempt_table: attempts.AttemptTable,
        guard: crash_guard.ProductCrashGuard,
    ) -> None:
        super().__init__(directory, attempt_table)
        self.guard = guard
        self.configuration = configuration_state.Configuration()
        self.replay_budgets = replay_budgets.ReplayBudgets()
        self.exhausted_requests = replay_budgets.ExhaustedRequests()

    def handle_lost_contact(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
        reason: str,
    ) -> list[actions.Action]:
        """Re-attach to a lost attempt, or replace it if that was tried."""
        stream.may_have_run = True
        if self.directory.is_resting(attempt.upstream.name, now) and (
            not attempt.suspected
        ):
            return self.replace_attempt(stream, attempt, now, reason)
        was_just_attached = (
            now - attempt.attached_at < MIN_ATTACH_INTERVAL_SECONDS
        )
        if attempt is stream.spare or attempt.suspected or was_just_attached:
            return self.replace_dead_engine(stream, attempt, now, reason)
        planned = [
            attempts.record(stream, attempt, 'attempt-suspected', reason)
        ]
        planned += self.attempt_table.attach_attempt(stream, attempt, now)
        return planned + self.start_spare(stream, now)

    def start_spare(
        self,
        stream: stream_state.Stream,
        now: float,
    ) -> list[actions.Action]:
        """Start a hedging attempt on a second engine, if the service wants it.

        It wastes a prompt evaluation if the first engine is alive, and saves
        the probe's waiting time if it is dead.
        """
        if not stream.service.recovery.spare_attempt:
            return []
        return self.start_second_attempt(stream, now)

    def start_second_attempt(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Start an attempt beside the current one, if that is allowed."""
        self.recovering_streams.pop(stream.request.exchange, None)
        if stream.spare is not None:
            return []
        view = self.choose_for_second_attempt(stream, now)
        if view is None:
            return []
        return self.attempt_table.start_attempt(stream, view, now, spare=True)

    def choose_for_second_attempt(
        self, stream: stream_state.Stream, now: float
    ) -> upstream_state.UpstreamView | None:
        """Return an engine for an attempt beside those of a stream, or None.

        Spends a resume if there is one.
        """
        if stream.is_complete or stream.would_run_twice:
            return None
        if now < stream.next_spare_at:
            return None
        if self.exceeds_engine_deaths(stream, stream.silences):
            return None
        if self.guard.must_not_run(stream.request, now):
            return None
        account = stream.request.request.account
        self.directory.limits.set_retry_requester(account, now, urgent=True)
        used = {found.upstream.name for found in stream.active_attempts()}
        pool = pinning.pinned_pool(self.configuration, stream)
        view = self.directory.choose_upstream(
            pool, stream.excluded | used, now
        )
        if view is None:
            self.claim_next_place(stream, now)
            return None
        return None if self.spend_resume_budget(stream, now) else view

    def claim_next_place(
        self, stream: stream_state.Stream, now: float
    ) -> None:
        """Give a stream whose attempt is silent the next free place.

        Only for a while: new work of its pool must not wait for it until its
        deadline.
        """
        if stream.attempt is None or not stream.attempt.silent:
            return
        if stream.recover_by is None:
            stream.recover_by = now + RECOVERY_TIMEOUT_SECONDS
        if now < stream.recover_by:
            self.recovering_streams[stream.request.exchange] = stream

    def replace_dead_engine(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
        reason: str,
    ) -> list[actions.Action]:
        """Count an attempt's engine as dead and replace the attempt."""
        stream.engine_deaths += 1
        self.directory.mark_suspected(attempt.upstream.name, now)
        stream.excluded.add(attempt.upstream.name)
        return self.replace_attempt(stream, attempt, now, reason)

    def replace_attempt(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
        reason: str,
    ) -> list[actions.Action]:
        """Cancel an attempt; continue with the spare or another engine."""
        is_current = attempt is stream.attempt
        planned = [
            attempts.record(stream, attempt, 'attempt-replaced', reason)
        ]
        planned += self.attempt_table.cancel_attempt(stream, attempt)
        if self.exceeds_engine_deaths(stream):
            self.exhausted_requests.add(stream.request.request)
            return planned + self.fail_stream(
                stream, crash_guard.BLOCKED_RAN_CODE, None
            )
        if not is_current:
            return planned + self.start_beside_silent(stream, now)
        if attempt.silent:
            # Until now its output could still continue.
            stream.recover_by = None
        if stream.spare is not None:
            return planned + self.attempt_table.promote_spare(stream, now)
        return planned + self.recover_stream(stream, now)

    def start_beside_silent(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Start an attempt beside the current one if that is silent."""
        if stream.attempt is None or not stream.attempt.silent:
            return []
        return self.start_second_attempt(stream, now)

    def exceeds_engine_deaths(
        self, stream: stream_state.Stream, silences: int = 0
    ) -> bool:
        """Return whether more engines died under a request than allowed."""
        max_deaths = stream.service.recovery.most_engine_deaths
        return stream.engine_deaths + silences > max_deaths

    def recover_stream(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Find an engine for a stream without one, or wait for one."""
        exchange = stream.request.exchange
        self.recovering_streams.pop(exchange, None)
        if stream.attempt is not None:
            return self.start_beside_silent(stream, now)
        if stream.recover_by is None:
            stream.recover_by = now + RECOVERY_TIMEOUT_SECONDS
        if stream.is_complete:
            # All tokens arrived and only the end event was lost; continuing
            # would generate one token too many.
            return self.complete_stream(stream, 'length')
        if stream.would_run_twice:
            return self.fail_stream(stream, 'outcome-unknown', None)
        if self.guard.is_blocked(stream.request, now):
            return self.fail_stream(stream, crash_guard.BLOCKED_RAN_CODE, None)
        if self.guard.has_blocking_suspected_crashes(stream.request, now):
            return self.wait_for_engine(stream, now)
        account = stream.request.request.account
        self.directory.limits.set_retry_requester(account, now, urgent=True)
        pool = pinning.pinned_pool(self.configuration, stream)
        view = self.directory.choose_upstream(pool, stream.excluded, now)
        if view is not None:
            return self.continue_stream(stream, pool, view, now)
        if not self.directory.can_ever_serve(pool, now):
            return self.restart_stream(stream, now)
        return self.wait_for_engine(stream, now)

    def retry_all_engines(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Look for an engine again, including those that refused or failed.

        Excluded engines are retried only on this timer. If they were also
        retried whenever capacity becomes free, each refusal would cause the
        next one, as fast as the network allows.
        """
        stream.excluded.clear()
        return self.recover_stream(stream, now)

    def continue_stream(
        self,
        stream: stream_state.Stream,
        pool: configuration_state.Pool,
        view: upstream_state.UpstreamView,
        now: float,
    ) -> list[actions.Action]:
        """Continue a stream on an engine, within the resume budget."""
        wait_seconds = self.spend_resume_budget(stream, now)
        if wait_seconds:
            return self.fail_stream(
                stream, 'replay-budget-spent', wait_seconds
            )
        stream.pool = pool
        return self.attempt_table.start_attempt(stream, view, now)

    def wait_for_engine(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Schedule the next try, or end the wait at ``recover_by``."""
        exchange = stream.request.exchange
        if stream.recover_by is not None and now >= stream.recover_by:
            return self.restart_or_fail(stream, now)
        self.recovering_streams[exchange] = stream
        timer = timers.timer_name(endings.RECOVERY_TIMER, exchange)
        return [actions.SetTimer(timer, now + RECOVERY_RETRY_DELAY_SECONDS)]

    def restart_or_fail(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Restart or fail a stream whose recovery time is up.

        An instance that does not watch the engines learns only from their
        refusals that none runs the version any more.
        """
        pool = pinning.replacement_pool(self.configuration, stream)
        if self.guard.must_not_run(stream.request, now):
            return self.fail_stream(stream, crash_guard.BLOCKED_RAN_CODE, None)
        if pool is not None and self.directory.choose_upstream(
            pool, set(), now
        ):
            stream.excluded.clear()
            return self.restart_stream(stream, now)
        return self.fail_stream(stream, 'no-engine', RETRY_AFTER_SECONDS)

    def restart_stream(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Start a new generation on the version in force, if repeatable."""
        pool = pinning.replacement_pool(self.configuration, stream)
        if pool is None or not self.directory.can_ever_serve(pool, now):
            return self.fail_stream(stream, 'no-engine', RETRY_AFTER_SECONDS)
        if not stream.service.idempotent and stream.may_have_run:
            return self.fail_stream(stream, 'version-withdrawn', None)
        if stream.generation >= MAX_GENERATIONS:
            return self.fail_stream(stream, 'restarts-exceeded', None)
        view = self.directory.choose_upstream(pool, stream.excluded, now)
        if view is None:
            return self.wait_for_engine(stream, now)
        if not stream.may_have_run:
            return self.continue_stream(stream, pool, view, now)
        wait_seconds = self.spend_resume_budget(stream, now)
        if wait_seconds:
            return self.fail_stream(
                stream, 'replay-budget-spent', wait_seconds
            )
        stream.restart_generation(pool)
        started = self.attempt_table.start_attempt(stream, view, now)
        restart = actions.SendRestart(
            stream.request.exchange,
            stream.generation,
            'version-withdrawn',
            stream.build_resume_point(),
        )
        return [
            attempts.record(stream, None, 'stream-restarted', pool.version),
            restart,
            *started,
        ]

    def spend_resume_budget(
        self, stream: stream_state.Stream, now: float
    ) -> float:
        """Spend one resume of the account's budget.

        Returns 0, or the seconds until the budget allows a resume.
        """
        if not stream.may_have_run:
            return 0.0
        name = stream.request.request.account
        account = self.configuration.find_account(name)
        if account is None:
            return 0.0
        return self.replay_budgets.take_replay(
            name, account.resume_budget, now
        )
