"""Problem documents: the final answers to requests that failed."""

from greengagelb.protocol import caller_api
from greengagelb.state import requests

DEFAULT_STATUS = 503
STATUS_OF_CODE = {
    'bad-message': 400,
    'bad-value': 400,
    'not-found': 404,
    'method-not-allowed': 405,
    'request-too-slow': 408,
    'internal': 500,
    'body-too-large': 413,
    'unauthenticated': 401,
    'unknown-account': 401,
    'unknown-service': 404,
    'unknown-operation': 404,
    'wrong-service-kind': 400,
    'bad-cursor': 400,
    'received-tokens-differ': 409,
    'request-differs': 409,
    'taken-over': 409,
    'resume-budget-spent': 429,
    'replay-budget-spent': 429,
    'engine-deaths-exceeded': 502,
    'request-crashes-engines': 503,
    'account-queue-full': 429,
    'account-bodies-full': 429,
    'account-rate-exceeded': 429,
    'twin-outcome-unknown': 409,
    'idempotency-key-reused': 422,
    'answer-not-kept': 409,
    'outcome-unknown': 502,
    'deadline-passed': 504,
    'upstream-lost': 502,
    'version-conflict': 409,
    'unknown-plan': 404,
    'unknown-name': 422,
    'duplicate-name': 422,
    'intent-refused': 422,
    'store-behind': 409,
}


def to_problem(failure: requests.Failure) -> caller_api.Problem:
    """Return the problem document of a failure."""
    return caller_api.Problem(
        title=failure.code.replace('-', ' '),
        status=STATUS_OF_CODE.get(failure.code, DEFAULT_STATUS),
        code=failure.code,
        ran=failure.ran.value,
        detail=failure.detail,
        retry_after=failure.retry_after,
    )
