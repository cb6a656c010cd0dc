"""Checks of arriving requests that need only the request and configuration.

The Node class combines them with the state of queues and running requests.
"""

import dataclasses

from greengagelb.coordination import events
from greengagelb.coordination.calls import claims
from greengagelb.coordination.sharing import fair_queue
from greengagelb.state import configuration as configuration_state
from greengagelb.state import requests

# Rough ratio, to estimate the tokens of a prompt.
CHARACTERS_PER_TOKEN = 4
# Characters of a prompt that form its cache key; a shorter prompt has none.
PREFIX_CHARACTERS = 256
QUEUE_TIMER = 'queued'

Arrival = (
    events.GenerationSubmitted
    | events.GenerationResumed
    | events.CallSubmitted
)


def resolve_service(
    configuration: configuration_state.Configuration,
    request: requests.GenerationRequest | requests.CallRequest,
) -> configuration_state.Service | None:
    """Return the service of a request, with the priority asked for.

    A caller may only lower the priority of its service. If it could raise it,
    all accounts would soon use the highest priority.
    """
    service = configuration.find_service(request.service)
    if service is None or request.priority <= service.priority:
        return service
    return dataclasses.replace(service, priority=request.priority)


def build_ticket(
    event: Arrival,
    service: configuration_state.Service,
    now: float,
) -> fair_queue.Ticket:
    """Return the queue ticket of a request.

    A caller that resumes its stream goes before new long work.
    """
    priority = service.priority
    if isinstance(event, events.GenerationResumed):
        priority = min(priority, configuration_state.Priority.RESUME)
    return fair_queue.Ticket(
        event.request.exchange,
        event.request.request.account,
        service.pool,
        priority,
        estimate_cost(event),
        event.request.deadline,
        now + service.most_wait if service.most_wait else float('inf'),
    )


def find_refusal(
    event: Arrival,
    account: configuration_state.ClientAccount | None,
    service: configuration_state.Service | None,
) -> requests.Failure | None:
    """Return why a request is invalid, or None."""
    if account is None:
        return not_run_failure(
            'unknown-account', 'no such client account', None
        )
    if service is None or service.name not in account.services:
        return not_run_failure(
            'unknown-service',
            'service unknown or not allowed for this account',
            None,
        )
    expected_kind = (
        configuration_state.ServiceKind.CALL
        if isinstance(event, events.CallSubmitted)
        else configuration_state.ServiceKind.GENERATION
    )
    if service.kind is not expected_kind:
        return not_run_failure('wrong-service-kind', service.kind.value, None)
    return None


def estimate_cost(event: Arrival) -> float:
    """Return the most that a request may use, in tokens."""
    match event:
        case events.CallSubmitted():
            return 1.0
        case events.GenerationResumed():
            prompt_tokens = len(event.request.prompt) / CHARACTERS_PER_TOKEN
            remaining_tokens = event.request.most_tokens - len(event.received)
            return prompt_tokens + max(1, remaining_tokens)
        case _:
            prompt_tokens = len(event.request.prompt) / CHARACTERS_PER_TOKEN
            return prompt_tokens + event.request.most_tokens


def needs_claim(event: Arrival, service: configuration_state.Service) -> bool:
    """Return whether only the holder of a claim may dispatch a request.

    A caller that resumes with a cursor asks for work that already runs. A
    request without an idempotency key has an id that is never sent again.
    """
    if isinstance(event, events.GenerationResumed):
        return False
    return event.request.has_idempotency_key and not service.idempotent


def truthful_answer(
    failure: requests.Failure,
    event: Arrival,
    service: configuration_state.Service | None,
) -> requests.Failure:
    """Return a refusal that says "not run" only if that is certain.

    A caller that resumes with a cursor holds tokens of its request. If it were
    told "not run", it would discard them and submit the whole request again.
    """
    if isinstance(event, events.GenerationResumed):
        return dataclasses.replace(failure, ran=requests.Ran.YES)
    return claims.with_known_outcome(failure, event.request, service)


def not_run_failure(
    code: str, detail: str, retry_after: float | None
) -> requests.Failure:
    """Return a failure for a request that was never dispatched."""
    return requests.Failure(code, requests.Ran.NO, detail, retry_after)


def cache_prefix(event: Arrival) -> str:
    """Return the key shared by requests with the same cached prefix.

    The key contains the client account, so that no account can learn from its
    own latency what another account has asked. It is empty for requests
    without a cacheable prefix.
    """
    if isinstance(event, events.CallSubmitted):
        return ''
    prompt = event.request.prompt
    if len(prompt) < PREFIX_CHARACTERS:
        return ''
    account = event.request.request.account
    return f'{account}/{prompt[:PREFIX_CHARACTERS]}'
