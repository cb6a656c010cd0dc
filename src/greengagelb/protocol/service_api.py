"""Messages between an instance and a plain service, over HTTP.

``POST /call/{operation}`` with the caller's body and the headers
``X-Client-Account`` and ``X-Request-Id``; the answer echoes both, so that a
late answer to another request is detected and rejected. A refusal before
the call ran has ``X-Not-Run: 1``. Each answer may advertise a limit, as those
of engines do (:mod:`greengagelb.protocol.engine_api`). ``GET /v1/report``
answers with an :class:`~greengagelb.protocol.engine_api.EngineReport`.
"""

ACCOUNT_HEADER = 'X-Client-Account'
REQUEST_HEADER = 'X-Request-Id'
NOT_RUN_HEADER = 'X-Not-Run'
