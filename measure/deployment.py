"""Fleets of the users' sizes, read from the files in ``deployments/``."""

from collections.abc import Iterator
import configparser
import contextlib
import dataclasses
import pathlib
import tempfile
import time

from tests.common import fleet

SETTLING_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The size of a fleet; ``policy`` names how its streams recover."""

    name: str
    data_centres: tuple[str, ...]
    drafting_engines: int
    short_call_engines: int
    step_seconds: float
    instances: int
    streams: int
    policy: str

    def data_centre(self, number: int) -> str:
        """Return the data centre of the process of a number, in turn."""
        return self.data_centres[number % len(self.data_centres)]


SMALL = Deployment('small', ('kl-1',), 6, 1, 0.004, 2, 24, 'default')


def read_deployment(path: pathlib.Path) -> Deployment:
    """Return the deployment in a file."""
    parser = configparser.ConfigParser(interpolation=None)
    with path.open(encoding='utf-8') as file:
        parser.read_file(file)
    section = parser['deployment']
    names = section['data_centres'].split(',')
    return Deployment(
        name=section['name'],
        data_centres=tuple(name.strip() for name in names),
        drafting_engines=section.getint('drafting_engines'),
        short_call_engines=section.getint('short_call_engines'),
        step_seconds=section.getfloat('step_seconds'),
        instances=section.getint('instances'),
        streams=section.getint('streams'),
        policy=section['policy'],
    )


@contextlib.contextmanager
def running_fleet(
    size: Deployment, recovery: dict[str, object]
) -> Iterator[fleet.Fleet]:
    """Run a fleet of a size, its drafts recovered by a policy."""
    with (
        tempfile.TemporaryDirectory() as folder,
        fleet.Fleet(pathlib.Path(folder)) as running,
    ):
        step = f'--step_seconds={size.step_seconds}'
        for number in range(size.drafting_engines):
            running.start_engine(f'engine-{number}', step)
        for number in range(size.short_call_engines):
            running.start_service(f'plain-{number}')
        for number in range(size.instances):
            running.start_instance(
                f'router-{number}', size.data_centre(number)
            )
        configuration = running.configuration()
        configuration['services'][0]['recovery'] = recovery
        for pool in configuration['pools']:
            for number, upstream in enumerate(pool['upstreams']):
                upstream['data_centre'] = size.data_centre(number)
        running.configure(configuration)
        time.sleep(SETTLING_SECONDS)
        yield running
