"""Turns an operator's intent into a plan; nothing takes effect here."""

import dataclasses

from greengagelb import errors
from greengagelb.state import configuration as configuration_state
from greengagelb.state import plans as plan_state


def make_plan(
    plan_id: str,
    intent: plan_state.Intent,
    current: configuration_state.Configuration,
) -> plan_state.Plan:
    """Return the plan of an intent on top of the configuration in force."""
    match intent:
        case plan_state.ReplaceConfiguration(wanted):
            result = wanted
            steps = [f'replace configuration {current.version} whole']
            warnings: list[str] = []
        case plan_state.DrainUpstream(name):
            result, warnings = drain(current, name)
            steps = [
                f'give {name} no new work',
                'let what it runs end there',
            ]
    result = dataclasses.replace(result, version=current.version + 1)
    return plan_state.Plan(
        plan_id, current.version, tuple(steps), tuple(warnings), result
    )


def drain(
    current: configuration_state.Configuration, name: str
) -> tuple[configuration_state.Configuration, list[str]]:
    """Return the configuration with an upstream draining, and warnings."""
    pools = []
    warnings = []
    found = False
    for pool in current.pools:
        changed = []
        for upstream in pool.upstreams:
            if upstream.name == name:
                found = True
                upstream = dataclasses.replace(upstream, draining=True)
            changed.append(upstream)
        if found and all(upstream.draining for upstream in changed):
            warnings.append(f'pool {pool.name} keeps no upstream')
        pools.append(dataclasses.replace(pool, upstreams=tuple(changed)))
    if not found:
        raise errors.CoordinationError(f'no upstream is named {name}')
    return dataclasses.replace(current, pools=tuple(pools)), warnings
