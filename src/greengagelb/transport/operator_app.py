"""The operators' HTTP interface of an instance."""

from collections.abc import Callable
import hashlib
import hmac
import secrets
from typing import Any

import klein
from twisted.internet import defer
from twisted.python import failure
from twisted.web import server

from greengagelb import errors
from greengagelb.coordination import plans
from greengagelb.protocol import codec
from greengagelb.protocol import operator_api
from greengagelb.state import plans as plan_state
from greengagelb.state import timeline
from greengagelb.transport import http
from greengagelb.transport import plan_store

BEARER = 'Bearer '


class OperatorApp:
    """Answers operators' intents with plans, and confirms those."""

    def __init__(
        self,
        store: plan_store.PlanStore,
        key_digest: str,
        status: Callable[[], operator_api.Status],
        events: timeline.Timeline,
        confirmed: Callable[[plan_state.Plan], None],
    ) -> None:
        self.store = store
        self.key_digest = key_digest
        self.status = status
        self.timeline = events
        self.confirmed = confirmed
        self.app = klein.Klein()
        self.app.route('/v1/plans', methods=['POST'])(self.propose)
        self.app.route('/v1/plans/<plan_id>', methods=['GET'])(self.show)
        self.app.route('/v1/plans/<plan_id>/confirm', methods=['POST'])(
            self.confirm
        )
        self.app.route('/v1/status', methods=['GET'])(self.show_status)
        self.app.route('/v1/timeline', methods=['GET'])(self.show_timeline)
        self.app.handle_errors(errors.GreengagelbError)(self.failed)

    def failed(self, request: server.Request, why: failure.Failure) -> bytes:
        """Answer with the code of an error."""
        return http.refuse(request, why.value.code, str(why.value))

    def authenticate(self, request: server.Request) -> None:
        """Raise unless the request carries the operators' key."""
        header = request.getHeader('authorization') or ''
        key = header.removeprefix(BEARER)
        digest = hashlib.sha256(key.encode()).hexdigest()
        if not hmac.compare_digest(digest, self.key_digest):
            raise errors.Unauthenticated('unknown operator key')

    @defer.inlineCallbacks
    def propose(self, request: server.Request) -> Any:
        """Answer an intent with a plan."""
        self.authenticate(request)
        message = codec.decode(
            request.content.read(), operator_api.IntentMessage
        )
        current = yield self.store.read_configuration()
        intent = operator_api.intent_of(message)
        plan = plans.make_plan(secrets.token_hex(8), intent, current)
        yield self.store.keep(plan)
        return http.json_answer(request, plan)

    @defer.inlineCallbacks
    def show(self, request: server.Request, plan_id: str) -> Any:
        """Show a plan."""
        self.authenticate(request)
        plan = yield self.find(plan_id)
        return http.json_answer(request, plan)

    @defer.inlineCallbacks
    def confirm(self, request: server.Request, plan_id: str) -> Any:
        """Put a plan in force."""
        self.authenticate(request)
        plan = yield self.find(plan_id)
        plan = yield self.store.confirm(plan)
        self.confirmed(plan)
        return http.json_answer(request, plan)

    @defer.inlineCallbacks
    def find(self, plan_id: str) -> Any:
        """Return a plan, or raise that there is none of that id."""
        plan = yield self.store.read(plan_id)
        if plan is None:
            raise errors.UnknownPlan(plan_id)
        return plan

    def show_status(self, request: server.Request) -> bytes:
        """Show what this instance says of itself."""
        self.authenticate(request)
        return http.json_answer(request, self.status())

    def show_timeline(self, request: server.Request) -> bytes:
        """Show the events that this process still has."""
        self.authenticate(request)
        parameters = {
            name.decode('utf-8', 'replace'): values[-1].decode(
                'utf-8', 'replace'
            )
            for name, values in request.args.items()
        }
        part = operator_api.TimelinePart(
            self.status().process,
            self.timeline.dropped,
            self.timeline.select(operator_api.selection_of(parameters)),
        )
        return http.json_answer(request, part)
