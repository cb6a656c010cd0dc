"""Turns errors in HTTP handlers into problem documents.

Without these the library answers in HTML, or with an empty status 500, and a
caller could not tell whether its request ran.
"""

import klein
from twisted.python import failure
from twisted.web import http as web_http
from twisted.web import server
from werkzeug import exceptions

from greengagelb import errors
from greengagelb.protocol import problems
from greengagelb.state import requests
from greengagelb.transport import http
from greengagelb.transport import recorder


def install(app: klein.Klein) -> None:
    """Have an app answer all errors with problem documents."""
    app.handle_errors(errors.ProtocolError)(bad_message)
    app.handle_errors(exceptions.HTTPException)(unknown_path)
    app.handle_errors(Exception)(internal)


def bad_message(request: server.Request, why: failure.Failure) -> bytes:
    """Answer a request that can't be understood."""
    return http.refuse(request, why.value.code, str(why.value))


def unknown_path(request: server.Request, why: failure.Failure) -> bytes:
    """Answer a request for a path or a method that is not there."""
    if why.value.code == web_http.NOT_ALLOWED:
        return http.refuse(request, 'method-not-allowed', 'see docs/api.md')
    return http.refuse(request, 'not-found', 'see docs/api.md')


def internal(request: server.Request, why: failure.Failure) -> bytes:
    """Answer a request that met an error of this program itself."""
    recorder.log.error('handler-failed', detail=why.getTraceback())
    problem = requests.Failure(
        errors.GreengagelbError.code,
        requests.Ran.UNKNOWN,
        'an error of this program; its log has the details',
    )
    return http.problem_answer(request, problems.problem_of(problem))
