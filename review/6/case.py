"""The operator keeps a row of the same key in another part of its table."""

import asyncio
import copy
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import standins  # noqa: E402

REQUESTS = 60
# More of them than this break the rule, from any machine.
MOST_DENIED = 10
DENIALS = (401, 403, 404)


async def case(world: standins.World, has_trouble: bool) -> bool:
    """Return whether requests of a configured route were denied."""
    config = standins.usual_config()
    await world.start({'drafts': 2, 'booking': 3}, config)
    if has_trouble:
        prepared = copy.deepcopy(config)
        prepared['version'] = world.version + 20
        prepared['routes'] = prepared['routes'][:1]
        world.store.put('op', 'config', prepared, part='prepared')
        world.record.note(
            'operator writes a row of the key config in the part prepared, '
            f'version {prepared["version"]}, with one route'
        )
    await asyncio.sleep(standins.CONTACT_SECONDS)
    denied = 0
    for number in range(REQUESTS):
        status, _ = await world.ask_once(number, '/booking-safe/a')
        denied += status in DENIALS
    world.configure(copy.deepcopy(config))
    await asyncio.sleep(standins.CONFIG_APPLY_SECONDS + 1.0)
    for number in range(REQUESTS):
        status, _ = await world.ask_once(number, '/booking-safe/b')
        denied += status in DENIALS
    world.record.note(
        f'{denied} of {2 * REQUESTS} requests were answered 401, 403 or 404, '
        'though every version of op/config has their route and key'
    )
    return denied > MOST_DENIED


if __name__ == '__main__':
    sys.exit(standins.play(case, FOLDER))
