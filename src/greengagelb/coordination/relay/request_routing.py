"""Routes requests by the configuration, or refuses them."""

import random

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import answers
from greengagelb.state.relay import requests
from greengagelb.state.relay import routes

NOT_FOUND = 404
UNAUTHORIZED = 401
# Retry-After of an instance without a configuration; the caller is sent to
# another instance then.
NO_CONFIGURATION_RETRY_SECONDS = 0.2


class RequestRouter:
    """Applies a configuration to requests."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def route_request(
        self,
        request: requests.CallerRequest,
        table: routes.RouteTable | None,
    ) -> requests.Ruling | relay_actions.Refuse:
        """Return the route, service and deadline of a request, or a refusal.

        Refuses requests without a configuration in force (503), of an unknown
        route (404), and of an unknown key where the route needs an account
        (401).
        """
        if table is None:
            return relay_actions.Refuse(
                request.exchange,
                answers.SERVICE_UNAVAILABLE,
                'no-configuration',
                NO_CONFIGURATION_RETRY_SECONDS,
            )
        route = table.find_route(request.host, request.path)
        if route is None:
            code = 'unknown-route'
            return relay_actions.Refuse(request.exchange, NOT_FOUND, code)
        account = table.find_account(request.key) if request.key else None
        needs_account = table.accounts is not None and not route.public
        if account is None and needs_account:
            code = 'unknown-key'
            return relay_actions.Refuse(request.exchange, UNAUTHORIZED, code)
        priority = account.priority if account else None
        return requests.Ruling(
            route,
            table.services[self.choose_share(route).service],
            account.name if account else '',
            route.priority if priority is None else priority,
            min(request.deadline, request.received_at + route.time_limit),
        )

    def choose_share(self, route: routes.Route) -> routes.ServiceShare:
        """Choose the service of a request by the weights of the shares."""
        if len(route.shares) == 1:
            return route.shares[0]
        weights = [share.weight for share in route.shares]
        return self.rng.choices(route.shares, weights)[0]
