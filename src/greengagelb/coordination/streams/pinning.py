"""Restricts a generation to engines of the version that it started on.

Continuing on another model version would mix two answers in one, whichever
configuration is in force meanwhile.
"""

import dataclasses

from greengagelb.state import configuration as configuration_state
from greengagelb.state import streams as stream_state


def required_model(pool: configuration_state.Pool) -> tuple[str, str, str]:
    """Return the model, version and adapter that a pool's engines run."""
    return (pool.model, pool.version, pool.adapter)


def pinned_pool(
    configuration: configuration_state.Configuration,
    stream: stream_state.Stream,
) -> configuration_state.Pool:
    """Return the pool's current upstreams at the stream's version."""
    pinned = stream.pool
    current = configuration.find_pool(pinned.name)
    if current is None:
        return pinned
    return dataclasses.replace(
        current,
        model=pinned.model,
        version=pinned.version,
        adapter=pinned.adapter,
    )


def replacement_pool(
    configuration: configuration_state.Configuration,
    stream: stream_state.Stream,
) -> configuration_state.Pool | None:
    """Return the service's current pool, if it runs another model now."""
    service = configuration.find_service(stream.service.name)
    if service is None:
        return None
    pool = configuration.find_pool(service.pool)
    if pool is None or required_model(pool) == required_model(stream.pool):
        return None
    return pool
