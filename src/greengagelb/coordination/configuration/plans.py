"""Builds a plan from an operator's intent, without putting it in force."""

from collections.abc import Mapping
import dataclasses
import math

from greengagelb import errors
from greengagelb.coordination.configuration import capacity
from greengagelb.coordination.configuration import validation
from greengagelb.state import configuration as configuration_state
from greengagelb.state import plans as plan_state

IN_FORCE_SECONDS = 11.0
DRAIN_SECONDS = 300.0
LOAD_SECONDS = 60.0
MAX_DRAINED_SHARE = 0.25
"""The fraction of a pool's engines that a rollout drains at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The effect of an intent, before capacity and warnings are added.

    ``drained`` has the names of upstreams that get no new work while the plan
    is carried out, in ``batches`` consecutive groups. ``loads_weights`` tells
    whether each of them has to load weights.
    """

    result: configuration_state.Configuration
    steps: tuple[str, ...]
    drained: frozenset[str] = frozenset()
    batches: int = 1
    loads_weights: bool = False
    warnings: tuple[str, ...] = ()


def make_plan(
    plan_id: str,
    intent: plan_state.Intent,
    current: configuration_state.Configuration,
    running: Mapping[str, int] | None = None,
) -> plan_state.Plan:
    """Return the plan of an intent on top of the configuration in force.

    ``running`` has the known number of running requests by upstream name.
    Raises :class:`~greengagelb.errors.IntentRefused` if the resulting
    configuration is invalid.
    """
    change = derive_change(intent, current)
    validation.check_configuration(change.result)
    result = dataclasses.replace(
        change.result, version=current.version + 1, confirmed_by=plan_id
    )
    moved = sum((running or {}).get(name, 0) for name in change.drained)
    return plan_state.Plan(
        plan_id=plan_id,
        base_version=current.version,
        steps=change.steps,
        warnings=(
            *change.warnings,
            *validation.collect_warnings(current, result, running or {}),
        ),
        result=result,
        cut=0,
        moved=moved,
        capacity=capacity.compare_capacity(
            current, result, count_drained_by_pool(current, change)
        ),
        estimated_seconds=estimate_seconds(change),
    )


def derive_change(
    intent: plan_state.Intent, current: configuration_state.Configuration
) -> Change:
    """Return the change that an intent makes."""
    match intent:
        case plan_state.ReplaceConfiguration(wanted):
            step = f'replace all of configuration {current.version}'
            return Change(wanted, (step,))
        case plan_state.PutAccount(account):
            accounts = put_named(current.accounts, account)
            result = dataclasses.replace(current, accounts=accounts)
            return Change(result, (describe_put('client account', account),))
        case plan_state.PutService(service):
            services = put_named(current.services, service)
            result = dataclasses.replace(current, services=services)
            return Change(result, (describe_put('service', service),))
        case plan_state.PutPool(pool):
            result = with_pool(current, pool)
            return Change(result, (describe_put('pool', pool),))
        case plan_state.DrainUpstream(name):
            return drain_upstream(current, name)
        case plan_state.ReturnUpstream(name):
            result = with_upstream(current, name, draining=False)
            return Change(result, (f'give {name} new work again',))
        case plan_state.ChangeModel():
            return change_model(current, intent)
        case plan_state.MoveUpstream():
            return move_upstream(current, intent)
        case plan_state.ChangeRole(name, role):
            return change_role(current, name, role)


def drain_upstream(
    current: configuration_state.Configuration, name: str
) -> Change:
    """Return the change that drains an upstream."""
    result = with_upstream(current, name, draining=True)
    steps = (f'give {name} no new work', 'wait until its running requests end')
    return Change(result, steps, drained=frozenset({name}))


def change_model(
    current: configuration_state.Configuration, intent: plan_state.ChangeModel
) -> Change:
    """Return the change of a pool's model, version or adapter."""
    pool = require_pool(current, intent.pool)
    changed = dataclasses.replace(
        pool,
        model=intent.model,
        version=intent.version,
        adapter=intent.adapter,
        former=configuration_state.ModelVersion(
            pool.model, pool.version, pool.adapter
        ),
    )
    result = with_pool(current, changed)
    names = frozenset(upstream.name for upstream in pool.upstreams)
    if (pool.model, pool.version, pool.adapter) == (
        intent.model,
        intent.version,
        intent.adapter,
    ):
        return Change(result, (f'{pool.name} has that version already',))
    at_once = max_drained_engines(len(names))
    batches = math.ceil(len(names) / at_once) if names else 0
    steps = (
        f'drain {at_once} of {len(names)} engines of {pool.name} at a time',
        'wait until their generations of the old version end',
        f'load {intent.model} {intent.version} {intent.adapter}'.rstrip(),
        'give them new work of the new version',
    )
    return Change(result, steps, names, batches, loads_weights=True)


def max_drained_engines(engines: int) -> int:
    """Return how many engines of a pool a rollout drains at once."""
    return max(1, int(engines * MAX_DRAINED_SHARE))


def move_upstream(
    current: configuration_state.Configuration,
    intent: plan_state.MoveUpstream,
) -> Change:
    """Return the change of an upstream's pool or data centre."""
    name = intent.upstream
    source, upstream = require_upstream(current, name)
    target = require_pool(current, intent.pool or source.name)
    data_centre = intent.data_centre or upstream.data_centre
    moved = dataclasses.replace(
        upstream, data_centre=data_centre, draining=False
    )
    remaining = tuple(u for u in source.upstreams if u.name != name)
    result = with_pool(
        current, dataclasses.replace(source, upstreams=remaining)
    )
    target = require_pool(result, target.name)
    result = with_pool(
        result,
        dataclasses.replace(target, upstreams=(*target.upstreams, moved)),
    )
    steps = [f'assign {name} to pool {target.name} in {data_centre}']
    loads_weights = versions_differ(source, target)
    if target.name != source.name:
        steps.append(
            f'wait until the requests of {name} for {source.name} end'
        )
    if loads_weights:
        steps.append(f'load {target.model} {target.version} on {name}')
    return Change(
        result, tuple(steps), frozenset({name}), loads_weights=loads_weights
    )


def versions_differ(
    one: configuration_state.Pool, other: configuration_state.Pool
) -> bool:
    """Return whether two pools differ in model, version or adapter."""
    return (one.model, one.version, one.adapter) != (
        other.model,
        other.version,
        other.adapter,
    )


def change_role(
    current: configuration_state.Configuration, name: str, role: str
) -> Change:
    """Return the change of an engine's role."""
    result = with_upstream(current, name, role=role)
    steps = (
        f'drain {name}',
        'wait until its running requests end',
        f'order it to change to role {role}',
    )
    return Change(result, steps, frozenset({name}))


def count_drained_by_pool(
    current: configuration_state.Configuration, change: Change
) -> dict[str, int]:
    """Return how many upstreams of each pool are drained at the same time.

    An upstream that joins a pool is not counted, as it had no slots there.
    """
    counts = {}
    for pool in current.pools:
        drained = sum(u.name in change.drained for u in pool.upstreams)
        if drained:
            counts[pool.name] = math.ceil(drained / max(1, change.batches))
    return counts


def estimate_seconds(change: Change) -> float:
    """Return the usual upper bound of a change's duration in seconds."""
    if not change.drained:
        return IN_FORCE_SECONDS
    batch_seconds = DRAIN_SECONDS + (
        LOAD_SECONDS if change.loads_weights else 0.0
    )
    return IN_FORCE_SECONDS + change.batches * batch_seconds


def put_named(parts: tuple, part: object) -> tuple:
    """Return the parts with ``part`` added or replacing its namesake."""
    if any(found.name == part.name for found in parts):
        return tuple(
            part if found.name == part.name else found for found in parts
        )
    return (*parts, part)


def describe_put(kind: str, part: object) -> str:
    """Describe the step that adds or replaces a part."""
    return f'create or change {kind} {part.name}'


def with_pool(
    current: configuration_state.Configuration, pool: configuration_state.Pool
) -> configuration_state.Configuration:
    """Return the configuration with a pool added or replaced."""
    return dataclasses.replace(current, pools=put_named(current.pools, pool))


def require_pool(
    current: configuration_state.Configuration, name: str
) -> configuration_state.Pool:
    """Return the pool of a name.

    Raises :class:`~greengagelb.errors.UnknownName` if there is none.
    """
    pool = current.find_pool(name)
    if pool is None:
        raise errors.UnknownName(f'no pool is named {name}')
    return pool


def require_upstream(
    current: configuration_state.Configuration, name: str
) -> tuple[configuration_state.Pool, configuration_state.Upstream]:
    """Return the pool of an upstream, and the upstream.

    Raises :class:`~greengagelb.errors.UnknownName` if there is none.
    """
    for pool in current.pools:
        for upstream in pool.upstreams:
            if upstream.name == name:
                return pool, upstream
    raise errors.UnknownName(f'no upstream is named {name}')


def with_upstream(
    current: configuration_state.Configuration, name: str, **changes: object
) -> configuration_state.Configuration:
    """Return the configuration with attributes of an upstream changed."""
    pool, upstream = require_upstream(current, name)
    changed = dataclasses.replace(upstream, **changes)
    return with_pool(
        current,
        dataclasses.replace(
            pool, upstreams=put_named(pool.upstreams, changed)
        ),
    )
