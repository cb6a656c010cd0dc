"""Turns errors in HTTP handlers into problem documents.

By default the library answers with HTML, or with an empty status 500, and a
caller could not tell whether its request ran.
"""

from collections.abc import Callable

import klein
import structlog
from twisted.python import failure
from twisted.web import http as web_http
from twisted.web import server
from werkzeug import exceptions

from greengagelb import errors
from greengagelb.protocol import problems
from greengagelb.state import requests
from greengagelb.transport import http

log = structlog.get_logger()


def install_problem_handlers(
    app: klein.Klein, on_problem: Callable[[str], None] = lambda code: None
) -> None:
    """Make an app answer all errors with problem documents.

    ``on_problem`` is called with the code of each.
    """

    def bad_message(request: server.Request, why: failure.Failure) -> bytes:
        on_problem(why.value.code)
        return http.refusal_answer(request, why.value.code, str(why.value))

    def unknown_path(request: server.Request, why: failure.Failure) -> bytes:
        code = code_of_path_error(why.value)
        on_problem(code)
        return http.refusal_answer(request, code, 'see docs/api.md')

    def internal(request: server.Request, why: failure.Failure) -> bytes:
        on_problem(errors.GreengagelbError.code)
        return internal_error(request, why)

    app.handle_errors(errors.ProtocolError)(bad_message)
    app.handle_errors(exceptions.HTTPException)(unknown_path)
    app.handle_errors(Exception)(internal)


def code_of_path_error(error: exceptions.HTTPException) -> str:
    """Return the code for an unknown path or a method that is not allowed."""
    if error.code == web_http.NOT_ALLOWED:
        return 'method-not-allowed'
    return 'not-found'


def internal_error(request: server.Request, why: failure.Failure) -> bytes:
    """Answer a request whose handler raised an unexpected error."""
    log.error('handler-failed', detail=why.getTraceback())
    problem = requests.Failure(
        errors.GreengagelbError.code,
        requests.Ran.UNKNOWN,
        'internal error; see the log of the instance for details',
    )
    return http.problem_answer(request, problems.to_problem(problem))
