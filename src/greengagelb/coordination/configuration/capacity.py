"""Slots for running requests that a plan leaves to pools and accounts."""

from collections.abc import Mapping

from greengagelb.state import configuration as configuration_state
from greengagelb.state import plans as plan_state


def compare_capacity(
    before: configuration_state.Configuration,
    after: configuration_state.Configuration,
    drained: Mapping[str, int],
) -> tuple[plan_state.Capacity, ...]:
    """Return the slots per pool and account before, during and after a plan.

    ``drained`` has the number of upstreams of each pool that get no new work
    while the plan is carried out.
    """
    names = [pool.name for pool in after.pools]
    names += [pool.name for pool in before.pools if pool.name not in names]
    found: list[plan_state.Capacity] = []
    for name in names:
        pool_total = pool_capacity(name, before, after, drained.get(name, 0))
        found.append(pool_total)
        found += account_capacities(pool_total, before, after)
    return tuple(found)


def pool_capacity(
    name: str,
    before: configuration_state.Configuration,
    after: configuration_state.Configuration,
    drained: int,
) -> plan_state.Capacity:
    """Return the slots of one pool.

    While the plan is carried out, a pool has the smaller number of slots
    before and after. If it does not shrink, the slots of its drained upstreams
    are subtracted.
    """
    old, new = before.find_pool(name), after.find_pool(name)
    slots_before, slots_after = count_slots(old), count_slots(new)
    least = min(slots_before, slots_after)
    slots = new.slots_per_upstream if new else 0
    during = least
    if slots_after >= slots_before:
        during = max(0, least - drained * slots)
    return plan_state.Capacity(name, '', slots_before, during, slots_after)


def count_slots(pool: configuration_state.Pool | None) -> int:
    """Return the number of slots on upstreams that are not draining."""
    if pool is None:
        return 0
    usable = sum(not upstream.draining for upstream in pool.upstreams)
    return usable * pool.slots_per_upstream


def account_capacities(
    pool_total: plan_state.Capacity,
    before: configuration_state.Configuration,
    after: configuration_state.Configuration,
) -> list[plan_state.Capacity]:
    """Return each account's share of a pool when all accounts compete."""
    old = account_shares(pool_total.pool, before)
    new = account_shares(pool_total.pool, after)
    return [
        plan_state.Capacity(
            pool_total.pool,
            account,
            int(pool_total.before * old.get(account, 0.0)),
            int(pool_total.during * min(old.get(account, 1.0), new[account])),
            int(pool_total.after * new[account]),
        )
        for account in new
    ]


def account_shares(
    pool: str, configuration: configuration_state.Configuration
) -> dict[str, float]:
    """Return the fraction of a pool that each account has by weight."""
    services = {s.name for s in configuration.services if s.pool == pool}
    accounts = [
        account
        for account in configuration.accounts
        if services & set(account.services)
    ]
    total = sum(account.weight for account in accounts)
    return {account.name: account.weight / total for account in accounts}
