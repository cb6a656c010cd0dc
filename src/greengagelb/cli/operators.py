"""The commands for operators: plan, show-plan, confirm and status."""

from collections.abc import Callable
from collections.abc import Coroutine
import pathlib
import sys
from typing import Any
from typing import TypeVar

from absl import flags
from twisted.internet import interfaces

from greengagelb import errors
from greengagelb.cli import event_loop
from greengagelb.cli import exit_codes
from greengagelb.cli import operator_flags
from greengagelb.cli import tables
from greengagelb.protocol import codec
from greengagelb.protocol import operator_api
from greengagelb.state import configuration as configuration_state
from greengagelb.state import plans as plan_state
from greengagelb.transport import operator_client

DRAIN = flags.DEFINE_string(
    'drain', None, 'Intent: give the upstream of this name no new work.'
)
RETURN_UPSTREAM = flags.DEFINE_string(
    'return_upstream',
    None,
    'Intent: give new work again to the drained upstream of this name.',
)
CONFIGURATION = flags.DEFINE_string(
    'configuration',
    None,
    'Intent: put the whole configuration in this JSON file in force.',
)
INTENT = flags.DEFINE_string(
    'intent', None, 'Intent as the JSON file that the operator API takes.'
)

T = TypeVar('T')
PlanCall = Callable[
    [operator_client.OperatorClient], Coroutine[Any, Any, plan_state.Plan]
]


def plan(words: list[str]) -> int:
    """Request and print the plan for an intent; nothing takes effect yet."""
    intent = read_intent()
    made = ask_first_instance(lambda client: client.propose_plan(intent))
    sys.stdout.write(render_plan(made))
    sys.stdout.write(
        'nothing has changed yet; to put it in force:\n'
        f'  greengagelb confirm {made.plan_id} --operator=...\n'
    )
    return exit_codes.ExitCode.SUCCESS


def show_plan(words: list[str]) -> int:
    """Print an existing plan."""
    plan_id = only_argument(words, 'show-plan PLAN_ID')
    sys.stdout.write(
        render_plan(ask_first_instance(lambda c: c.show_plan(plan_id)))
    )
    return exit_codes.ExitCode.SUCCESS


def confirm(words: list[str]) -> int:
    """Put a plan in force."""
    plan_id = only_argument(words, 'confirm PLAN_ID')
    done = ask_first_instance(lambda client: client.confirm_plan(plan_id))
    sys.stdout.write(
        f'plan {done.plan_id} is confirmed: configuration version '
        f'{done.result.version}\nsee how far it is in force: '
        'greengagelb status --operator=...\n'
    )
    return exit_codes.ExitCode.SUCCESS


def status(words: list[str]) -> int:
    """Print the status that each instance reports."""
    addresses = operator_flags.operator_addresses()
    key = operator_flags.operator_key()

    async def ask(reactor: interfaces.IReactorCore) -> list[Any]:
        clients = [
            operator_client.OperatorClient(reactor, address, key)
            for address in addresses
        ]
        return await operator_client.query_instances(
            clients, lambda client: client.fetch_status()
        )

    answers = event_loop.run_coroutine(ask)
    sys.stdout.write(render_status(answers))
    return exit_code_of(answers)


def exit_code_of(answers: list[Any]) -> exit_codes.ExitCode:
    """Return the exit code for answers, some of which may be missing."""
    code = exit_codes.ExitCode.SUCCESS
    for answer in answers:
        match answer:
            case operator_client.NoAnswer(
                code=errors.InstanceUnreachable.code
            ):
                return exit_codes.ExitCode.UNREACHABLE
            case operator_client.NoAnswer():
                code = exit_codes.ExitCode.REFUSED
    return code


def only_argument(words: list[str], usage: str) -> str:
    """Return the only argument of a command; raise if there are others."""
    if len(words) != 1:
        raise errors.CommandError(f'write greengagelb {usage}')
    return words[0]


def ask_first_instance(work: PlanCall) -> plan_state.Plan:
    """Send a call to the first of the given instances.

    The call is not repeated at the next instance if the first one can't be
    reached: a confirmation whose answer was lost may have taken effect, and
    the operator has to check that.
    """
    address = operator_flags.operator_addresses()[0]
    key = operator_flags.operator_key()

    async def ask(reactor: interfaces.IReactorCore) -> plan_state.Plan:
        return await work(
            operator_client.OperatorClient(reactor, address, key)
        )

    return event_loop.run_coroutine(ask)


def read_intent() -> plan_state.Intent:
    """Return the intent in the flags; raise unless there is exactly one."""
    flags_given = (DRAIN, RETURN_UPSTREAM, CONFIGURATION, INTENT)
    if sum(flag.value is not None for flag in flags_given) != 1:
        raise errors.CommandError(
            'write one of --drain=UPSTREAM, --return_upstream=UPSTREAM, '
            '--configuration=FILE, --intent=FILE'
        )
    if DRAIN.value is not None:
        return plan_state.DrainUpstream(DRAIN.value)
    if RETURN_UPSTREAM.value is not None:
        return plan_state.ReturnUpstream(RETURN_UPSTREAM.value)
    if CONFIGURATION.value is not None:
        return plan_state.ReplaceConfiguration(
            read_json(CONFIGURATION.value, read_configuration)
        )
    return read_json(INTENT.value, operator_api.decode_intent)


def read_configuration(raw: bytes) -> configuration_state.Configuration:
    """Decode a configuration."""
    return codec.decode(raw, configuration_state.Configuration)


def read_json(name: str, read: Callable[[bytes], T]) -> T:
    """Return the validated message in a JSON file."""
    try:
        return read(pathlib.Path(name).read_bytes())
    except (OSError, errors.ProtocolError) as exc:
        raise errors.CommandError(f'{name}: {exc}') from exc


def render_plan(shown: plan_state.Plan) -> str:
    """Return a plan as text."""
    lines = [
        f'plan {shown.plan_id} ({shown.stage.value})',
        f'built on configuration version {shown.base_version}',
    ]
    lines += [f'  step: {step}' for step in shown.steps]
    lines += [
        f'  takes about {shown.estimated_seconds:.0f} s; running requests '
        f'that end where they are: {shown.moved}, that would be cut: '
        f'{shown.cut}'
    ]
    lines += [capacity_line(capacity) for capacity in shown.capacity]
    lines += [f'  WARNING: {warning}' for warning in shown.warnings]
    return '\n'.join(tables.replace_unprintable(line) for line in lines) + '\n'


def capacity_line(capacity: plan_state.Capacity) -> str:
    """Return a line on the places of a pool, or of an account in a pool."""
    owner = f'pool {capacity.pool}'
    if capacity.account:
        owner += f', account {capacity.account}'
    return (
        f'  places, {owner}: {capacity.before} now, {capacity.during} '
        f'meanwhile, {capacity.after} after'
    )


def render_status(
    answers: list[operator_api.Status | operator_client.NoAnswer],
) -> str:
    """Return a table of instances, and how many have the newest version."""
    rows = [
        ['INSTANCE', 'DATA CENTRE', 'VERSION', 'STATE', 'RUNNING', 'WAITING']
    ]
    notes: list[str] = []
    versions = []
    for answer in answers:
        match answer:
            case operator_api.Status():
                versions.append(answer.configuration_version)
                rows.append(status_row(answer))
                notes += missing_notes(answer)
            case operator_client.NoAnswer(address, _, reason):
                rows.append([str(address), '?', '?', 'no answer', '?', '?'])
                notes.append(f'no answer: {reason}')
    newest = max(versions, default=0)
    notes.append(
        f'configuration version {newest} is in force on '
        f'{versions.count(newest)} of {len(answers)} instances'
    )
    return tables.render(rows) + '\n'.join(notes) + '\n'


def missing_notes(answer: operator_api.Status) -> list[str]:
    """Return notes on instances that this one sees with an older version."""
    return [
        f'{answer.process} sees an older version on {name}'
        for name in answer.missing
    ]


def status_row(answer: operator_api.Status) -> list[str]:
    """Return the table cells of one instance."""
    state = 'serving' if answer.configuration_version else 'not configured'
    if answer.stopping:
        state = 'stopping'
    return [
        answer.process,
        answer.data_centre,
        str(answer.configuration_version),
        state,
        str(answer.running),
        str(answer.waiting),
    ]
