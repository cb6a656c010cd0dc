"""What a request needs and whether it can be taken at all.

These are questions about the request and the configuration alone; what waits
and runs at the moment is the business of the node.
"""

import dataclasses

from greengagelb.coordination import events
from greengagelb.coordination.calls import claims
from greengagelb.coordination.sharing import fair_queue
from greengagelb.state import configuration as configuration_state
from greengagelb.state import requests

CHARACTERS_PER_TOKEN = 4
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
    """Return the service of a request, at the priority asked for.

    A caller may lower the priority that its service has. Were it able to
    raise it, every account's work would soon be the most urgent.
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
    """Return the ticket with which a request waits.

    A caller who comes back to its stream goes before new long work.
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
    """Return why a request can't be taken, or None."""
    if account is None:
        return not_run_failure(
            'unknown-account', 'no such client account', None
        )
    if service is None or service.name not in account.services:
        return not_run_failure('unknown-service', 'no such service', None)
    expected_kind = (
        configuration_state.ServiceKind.CALL
        if isinstance(event, events.CallSubmitted)
        else configuration_state.ServiceKind.GENERATION
    )
    if service.kind is not expected_kind:
        return not_run_failure('wrong-service-kind', service.kind.value, None)
    return None


def estimate_cost(event: Arrival) -> float:
    """Return what a request may use, in tokens."""
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
    """Return whether a request may be dispatched only by a claim's holder.

    A caller that comes back with a cursor asks for what already runs. A
    request without an idempotency key has an id that nobody sends again.
    """
    if isinstance(event, events.GenerationResumed):
        return False
    return event.request.has_idempotency_key and not service.idempotent


def truthful_answer(
    failure: requests.Failure,
    event: Arrival,
    service: configuration_state.Service | None,
) -> requests.Failure:
    """Return a refusal that says "not run" only where that is known.

    A caller that comes back with a cursor holds tokens of its request. Told
    "not run", it would throw them away and ask for the whole again.
    """
    if isinstance(event, events.GenerationResumed):
        return dataclasses.replace(failure, ran=requests.Ran.YES)
    return claims.truthful(failure, event.request, service)


def not_run_failure(
    code: str, detail: str, retry_after: float | None
) -> requests.Failure:
    """Return a failure for a request that was never handed on."""
    return requests.Failure(code, requests.Ran.NO, detail, retry_after)


def cache_prefix(event: Arrival) -> str:
    """Return what requests have in common that share a cached prefix.

    It is scoped by client account, so that no account can learn from its
    own latency what another has asked.
    """
    if isinstance(event, events.CallSubmitted):
        return ''
    prompt = event.request.prompt
    if len(prompt) < PREFIX_CHARACTERS:
        return ''
    account = event.request.request.account
    return f'{account}/{prompt[:PREFIX_CHARACTERS]}'
