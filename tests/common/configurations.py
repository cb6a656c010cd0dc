"""Small configurations for tests of plans."""

from greengagelb.state import configuration


def upstream(name, port, **changes):
    """Return an upstream on loopback."""
    return configuration.Upstream(name, '127.0.0.1', port, 'kl-1', **changes)


def two_pools():
    """Return a configuration with two pools that serve two versions."""
    old = tuple(upstream(f'old-{n}', 9000 + n) for n in range(4))
    new = tuple(upstream(f'new-{n}', 9100 + n) for n in range(2))
    return configuration.Configuration(
        version=7,
        accounts=(
            configuration.ClientAccount('teratak', 'a', ('draft',), weight=3),
            configuration.ClientAccount('karri', 'b', ('draft', 'digest')),
        ),
        services=(
            configuration.Service(
                'draft', configuration.ServiceKind.GENERATION, 'drafting'
            ),
            configuration.Service(
                'digest', configuration.ServiceKind.GENERATION, 'digesting'
            ),
        ),
        pools=(
            configuration.Pool('drafting', old, 'm', '1'),
            configuration.Pool('digesting', new, 'm', '2'),
        ),
    )
