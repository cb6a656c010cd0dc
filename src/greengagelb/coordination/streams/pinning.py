"""Which engines may go on with a generation: those of its own version.

A generation that went from one model version to another would be a mixture
of two answers, whatever the operators have put in force meanwhile.
"""

import dataclasses

from greengagelb.state import configuration as configuration_state
from greengagelb.state import streams as stream_state


def required_model(pool: configuration_state.Pool) -> tuple[str, str, str]:
    """Return what the engines of a pool have to run."""
    return (pool.model, pool.version, pool.adapter)


def pinned_pool(
    configuration: configuration_state.Configuration,
    stream: stream_state.Stream,
) -> configuration_state.Pool:
    """Return the pool's upstreams of now, at the stream's own version."""
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
    """Return the service's pool of now, if its version has changed."""
    service = configuration.find_service(stream.service.name)
    if service is None:
        return None
    pool = configuration.find_pool(service.pool)
    if pool is None or required_model(pool) == required_model(stream.pool):
        return None
    return pool
