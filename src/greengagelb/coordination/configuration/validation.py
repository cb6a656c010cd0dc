"""Validates a configuration before it becomes part of a plan."""

from collections.abc import Iterable
from collections.abc import Mapping

from greengagelb import errors
from greengagelb.state import configuration as configuration_state


def check_configuration(wanted: configuration_state.Configuration) -> None:
    """Raise an error for the first mistake in a configuration.

    Services, pools and upstreams are looked up by name. Without this check an
    unknown name would only show in refused requests of callers.
    """
    upstreams = [u for pool in wanted.pools for u in pool.upstreams]
    check_names('client account', [a.name for a in wanted.accounts])
    check_names('service', [s.name for s in wanted.services])
    check_names('pool', [p.name for p in wanted.pools])
    check_names('upstream', [u.name for u in upstreams])
    addresses = [f'{u.host}:{u.port}' for u in upstreams]
    check_names('upstream address', addresses)
    check_keys(wanted.accounts)
    for account in wanted.accounts:
        check_account(account, wanted)
    for service in wanted.services:
        if wanted.find_pool(service.pool) is None:
            raise errors.UnknownName(
                f'service {service.name}: no pool is named {service.pool}'
            )
    for pool in wanted.pools:
        if pool.slots_per_upstream < 1:
            raise errors.IntentRefused(
                f'pool {pool.name}: slots_per_upstream must be 1 or more'
            )


def check_names(kind: str, names: Iterable[str]) -> None:
    """Raise an error if a name is empty or occurs twice."""
    seen: set[str] = set()
    for name in names:
        if not name:
            raise errors.IntentRefused(f'a {kind} has no name')
        if name in seen:
            raise errors.DuplicateName(f'duplicate {kind}: {name}')
        seen.add(name)


def check_keys(accounts: Iterable[configuration_state.ClientAccount]) -> None:
    """Raise an error if two accounts have the same key.

    Requests of one account would be attributed to the other.
    """
    seen: dict[str, str] = {}
    for account in accounts:
        other = seen.setdefault(account.key_digest, account.name)
        if other != account.name:
            raise errors.DuplicateName(
                f'client accounts {other} and {account.name} share a key'
            )


def check_account(
    account: configuration_state.ClientAccount,
    wanted: configuration_state.Configuration,
) -> None:
    """Raise an error if an account has unknown services or bad limits."""
    for name in account.services:
        if wanted.find_service(name) is None:
            raise errors.UnknownName(
                f'client account {account.name}: no service is named {name}'
            )
    limits = (account.weight, account.most_running, account.most_queued)
    if min(limits) < 1:
        raise errors.IntentRefused(
            f'client account {account.name}: limits must be 1 or more'
        )


def collect_warnings(
    before: configuration_state.Configuration,
    after: configuration_state.Configuration,
    running: Mapping[str, int],
) -> tuple[str, ...]:
    """Return warnings to show to the operator before confirming."""
    found = []
    for pool in after.pools:
        found += pool_warnings(before.find_pool(pool.name), pool, running)
    for pool in before.pools:
        if after.find_pool(pool.name) is None:
            found.append(f'pool {pool.name} is removed')
    removed = {a.name for a in before.accounts} - {
        a.name for a in after.accounts
    }
    found += [f'client account {name} is removed' for name in sorted(removed)]
    return tuple(found)


def pool_warnings(
    old: configuration_state.Pool | None,
    new: configuration_state.Pool,
    running: Mapping[str, int],
) -> list[str]:
    """Return the warnings about one pool."""
    found = []
    if all(upstream.draining for upstream in new.upstreams):
        found.append(f'pool {new.name} keeps no upstream')
    if old is None or old.version == new.version:
        return found
    busy = sum(running.get(upstream.name, 0) for upstream in old.upstreams)
    if busy:
        found.append(
            f'{busy} running requests of pool {new.name} still need version '
            f'{old.version}; a generation that loses its engine once no '
            'engine of that version is left starts afresh'
        )
    if len(new.upstreams) == 1:
        found.append(
            f'pool {new.name} serves nothing while its one engine loads'
        )
    return found
