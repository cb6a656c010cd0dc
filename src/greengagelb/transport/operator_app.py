"""The operators' HTTP interface of an instance."""

from collections.abc import Callable
from collections.abc import Mapping
import hashlib
import hmac
import secrets
from typing import Any

import klein
from twisted.internet import defer
from twisted.python import failure
from twisted.web import server

from greengagelb import errors
from greengagelb.coordination import actions
from greengagelb.coordination.configuration import confirming
from greengagelb.coordination.configuration import plans
from greengagelb.protocol import operator_api
from greengagelb.protocol import problems
from greengagelb.protocol import timeline_api
from greengagelb.state import plans as plan_state
from greengagelb.state import requests
from greengagelb.transport import http
from greengagelb.transport import plan_store
from greengagelb.transport import problem_handlers
from greengagelb.transport import recorder

BEARER_PREFIX = 'Bearer '
RETRY_AFTER_SECONDS = 1.0


class OperatorApp:
    """Makes plans from operators' intents, and confirms plans."""

    def __init__(
        self,
        store: plan_store.PlanStore,
        key_digest: str,
        status: Callable[[], operator_api.Status],
        events: recorder.Recorder,
        on_confirmed: Callable[[plan_state.Plan], None],
        running_by_upstream: Callable[[], Mapping[str, int]],
    ) -> None:
        self.store = store
        self.key_digest = key_digest
        self.status = status
        self.recorder = events
        self.on_confirmed = on_confirmed
        self.running_by_upstream = running_by_upstream
        self.app = klein.Klein()
        self.app.route('/v1/plans', methods=['POST'])(self.propose_plan)
        self.app.route('/v1/plans/<plan_id>', methods=['GET'])(self.show_plan)
        self.app.route('/v1/plans/<plan_id>/confirm', methods=['POST'])(
            self.confirm_plan
        )
        self.app.route('/v1/status', methods=['GET'])(self.show_status)
        self.app.route('/v1/timeline', methods=['GET'])(self.show_timeline)
        self.app.handle_errors(errors.GreengagelbError)(self.answer_error)
        problem_handlers.install_problem_handlers(self.app)

    def answer_error(
        self, request: server.Request, why: failure.Failure
    ) -> bytes:
        """Answer with the code of an error.

        While the platform is unavailable, and for a moment after it is back,
        the circuit breaker sends it no requests. Without a time to retry
        after, an operator would take this short period for an outage.
        """
        is_unavailable = why.check(errors.PlatformUnavailable)
        refusal = requests.Failure(
            why.value.code,
            requests.Ran.NO,
            str(why.value),
            RETRY_AFTER_SECONDS if is_unavailable else None,
        )
        return http.problem_answer(request, problems.to_problem(refusal))

    def authenticate(self, request: server.Request) -> None:
        """Raise unless the request carries the operators' key."""
        header = request.getHeader('authorization') or ''
        key = header.removeprefix(BEARER_PREFIX)
        digest = hashlib.sha256(key.encode()).hexdigest()
        if not hmac.compare_digest(digest, self.key_digest):
            raise errors.Unauthenticated('unknown operator key')

    @defer.inlineCallbacks
    def propose_plan(self, request: server.Request) -> Any:
        """Answer an intent with a plan."""
        self.authenticate(request)
        intent = operator_api.decode_intent(request.content.read())
        current = yield self.store.read_configuration()
        applied = self.status().configuration_version
        if current.version < applied:
            raise errors.StoreBehind(
                f'the store holds version {current.version}, but version '
                f'{applied} is in force here'
            )
        plan = plans.make_plan(
            secrets.token_hex(8), intent, current, self.running_by_upstream()
        )
        yield self.store.store_plan(plan)
        self.record('plan-proposed', plan)
        return http.json_answer(request, plan)

    @defer.inlineCallbacks
    def show_plan(self, request: server.Request, plan_id: str) -> Any:
        """Show a plan with its stage, which its row alone does not tell."""
        self.authenticate(request)
        plan = yield self.find_plan(plan_id)
        outcome = yield self.store.find_outcome(plan)
        match outcome:
            case confirming.Confirmed():
                plan = plan_store.with_stage(
                    plan, plan_state.PlanStage.CONFIRMED
                )
            case confirming.Overtaken():
                plan = plan_store.with_stage(
                    plan, plan_state.PlanStage.OVERTAKEN
                )
            case confirming.Unsettled():
                return self.unsettled_answer(request, plan)
        return http.json_answer(request, plan)

    @defer.inlineCallbacks
    def confirm_plan(self, request: server.Request, plan_id: str) -> Any:
        """Put a plan in force."""
        self.authenticate(request)
        plan = yield self.find_plan(plan_id)
        outcome = yield self.store.confirm_plan(plan)
        match outcome:
            case confirming.Confirmed():
                self.record('plan-confirmed', plan)
                self.on_confirmed(plan)
                plan = plan_store.with_stage(
                    plan, plan_state.PlanStage.CONFIRMED
                )
                return http.json_answer(request, plan)
            case confirming.Overtaken():
                self.record('plan-overtaken', plan)
                return self.conflict_answer(request, plan, outcome)
        self.record('confirm-unsettled', plan)
        return self.unsettled_answer(request, plan)

    def conflict_answer(
        self,
        request: server.Request,
        plan: plan_state.Plan,
        found: confirming.Overtaken,
    ) -> bytes:
        """Return the answer that another plan was confirmed first."""
        winner = found.changes[0].plan_id
        answer = operator_api.Conflict(
            title='plan overtaken',
            status=problems.STATUS_OF_CODE[errors.VersionConflict.code],
            code=errors.VersionConflict.code,
            ran=requests.Ran.NO.value,
            detail=(
                f'plan {winner} was confirmed on version '
                f'{plan.base_version}; state the intent again'
            ),
            current_version=found.current_version,
            changes=list(found.changes),
        )
        return http.json_answer(request, answer, answer.status)

    def unsettled_answer(
        self, request: server.Request, plan: plan_state.Plan
    ) -> bytes:
        """Return the answer that the outcome of a plan is unknown for now.

        After a plain failure, an operator would assume that nothing has
        changed.
        """
        refusal = requests.Failure(
            errors.ConfirmUnsettled.code,
            requests.Ran.UNKNOWN,
            f'ask for /v1/plans/{plan.plan_id}, or confirm it again',
            RETRY_AFTER_SECONDS,
        )
        return http.problem_answer(request, problems.to_problem(refusal))

    def record(self, kind: str, plan: plan_state.Plan) -> None:
        """Record the outcome of a plan on the time line."""
        reason = f'plan {plan.plan_id} on version {plan.base_version}'
        self.recorder.record(actions.Record(kind, reason))

    @defer.inlineCallbacks
    def find_plan(self, plan_id: str) -> Any:
        """Return a plan; raise if there is none with that id."""
        plan = yield self.store.read_plan(plan_id)
        if plan is None:
            raise errors.UnknownPlan(plan_id)
        return plan

    def show_status(self, request: server.Request) -> bytes:
        """Show the status of this instance."""
        self.authenticate(request)
        return http.json_answer(request, self.status())

    def show_timeline(self, request: server.Request) -> bytes:
        """Show the time line events that this process still holds."""
        self.authenticate(request)
        wanted = timeline_api.parse_selection(request.args)
        part = timeline_api.TimelinePart(
            self.status().process,
            self.recorder.timeline.dropped,
            self.recorder.timeline.select_events(wanted),
        )
        return http.json_answer(request, part)
