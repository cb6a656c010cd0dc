"""The table of subcommands, with their names, arguments and flags."""

from collections.abc import Callable
import dataclasses

from greengagelb.cli import check_config
from greengagelb.cli import demo
from greengagelb.cli import explain
from greengagelb.cli import in_force
from greengagelb.cli import operators
from greengagelb.cli import serve
from greengagelb.cli import standin
from greengagelb.cli import timeline

MAX_LOG_FILES = 1_000
OPERATOR_FLAGS = ('operator', 'operator_key_file')


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One subcommand; ``run`` takes the positional arguments after its name.

    ``flags`` names the flags that it reads. Any other flag is rejected rather
    than ignored, because its user expects it to have an effect.
    """

    name: str
    arguments: str
    summary: str
    run: Callable[[list[str]], int]
    flags: tuple[str, ...] = ()
    max_words: int = 0
    details: str = ''


COMMANDS = (
    Command(
        'serve',
        '--settings=FILE',
        'run one instance until SIGTERM',
        serve.serve,
        ('settings',),
        details='SIGTERM stops it gracefully: new requests are refused, those '
        'in flight\nend, then it exits with 0.',
    ),
    Command(
        'check-config',
        '--settings=FILE [--against=OLD]',
        'read a settings file and tell what is wrong, or what it changes',
        check_config.check_config,
        ('settings', 'against'),
        details=check_config.DETAILS,
    ),
    Command(
        'in-force',
        '--pages=IP:PORT,... [--wait_for_version=N]',
        'show which settings and configuration each instance has',
        in_force.show_in_force,
        (
            'pages',
            'pages_file',
            'wait_for_version',
            'wait_for_digest',
            'deadline_seconds',
            'json',
        ),
        details=in_force.DETAILS,
    ),
    Command(
        'plan',
        '--operator=IP:PORT --drain=UPSTREAM',
        'ask what an intent would do; nothing takes effect',
        operators.plan,
        (
            *OPERATOR_FLAGS,
            'drain',
            'return_upstream',
            'configuration',
            'intent',
        ),
        details='Give exactly one intent. Intents of other kinds, such as a '
        'change of model,\nare written to a file; docs/api.md lists them.',
    ),
    Command(
        'show-plan',
        'PLAN_ID --operator=IP:PORT',
        'show a plan again',
        operators.show_plan,
        OPERATOR_FLAGS,
        max_words=1,
    ),
    Command(
        'confirm',
        'PLAN_ID --operator=IP:PORT',
        'put a plan in force',
        operators.confirm,
        OPERATOR_FLAGS,
        max_words=1,
        details='Exits with 5 if another plan was confirmed since this one '
        'was made:\nplan again on top of that one. Exits with 7 if nobody can '
        'tell now whether\nit is in force: look with show-plan, or confirm '
        'it again.',
    ),
    Command(
        'status',
        '--operator=IP:PORT,IP:PORT...',
        'show all instances and how far the newest configuration is',
        operators.status,
        OPERATOR_FLAGS,
    ),
    Command(
        'timeline',
        '--operator=IP:PORT,IP:PORT... --request=ID',
        'show what happened, merged over all instances',
        timeline.timeline,
        (*OPERATOR_FLAGS, 'request', 'account', 'kind', 'most_events'),
    ),
    Command(
        'explain',
        'REQUEST_ID [LOG_FILE...]',
        'tell from log lines what became of a request',
        explain.explain,
        max_words=MAX_LOG_FILES,
        details='Reads the log lines of any number of instances from files '
        'or standard input.\nA star marks the events of the request itself; '
        'the others happened around it.',
    ),
    Command(
        'stand-in',
        'engine|service|platform --port=N',
        'run a replacement of an outside system, for trials',
        standin.stand_in,
        (
            'host',
            'port',
            'name',
            'model',
            'model_version',
            'step_seconds',
            'sampled',
        ),
        max_words=1,
    ),
    Command(
        'demo',
        '',
        'start a small fleet here and kill an engine in mid-stream',
        demo.demo,
        ('demo_tokens',),
    ),
)


def find_command(name: str) -> Command | None:
    """Return the command of a name, or None."""
    return next((c for c in COMMANDS if c.name == name), None)
