"""The command that shows the main job on a small fleet of its own.

It starts the platform, engines and a plain service as stand-ins and two
instances, kills the engine in the middle of a streamed answer, and checks
that the caller holds the whole answer exactly as generated.
"""

import dataclasses
import sys
import time
from typing import Any

from absl import flags
import msgspec
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from greengagelb import errors
from greengagelb.cli import exit_codes
from greengagelb.cli import interruption
from greengagelb.cli import launcher
from greengagelb.cli import running
from greengagelb.cli import timeline as timeline_command
from greengagelb.protocol import caller_api
from greengagelb.protocol import codec
from greengagelb.protocol import engine_api
from greengagelb.protocol import sse
from greengagelb.standins import engine
from greengagelb.state import plans as plan_state
from greengagelb.state import timeline as timeline_state
from greengagelb.transport import http
from greengagelb.transport import operator_client

TOKENS = flags.DEFINE_integer(
    'demo_tokens', 120, 'Tokens of the streamed answer.', lower_bound=20
)

STEP_FLAG = '--step_seconds=0.03'
PROMPT = 'When may the guests of cottage 4 check in?'
DRAFT_KEY = 'demo-draft'
CHARGE_KEY = 'demo-charge'
READY_SECONDS = 20.0
STREAM_SECONDS = 120.0
IN_FLIGHT_SECONDS = 0.01
TOKENS_A_LINE = 8


def demo(words: list[str]) -> int:
    """Run the demonstration; 0 if everything held."""
    say('starting the platform, three engines, a plain service, two instances')
    with launcher.Launcher() as fleet:
        try:
            with interruption.Interruption() as interrupted:
                start_all(fleet, interrupted)
            running.run_once(
                lambda reactor: Demonstration(reactor, fleet).show_all()
            )
            with interruption.Interruption() as interrupted:
                stop_all(fleet, interrupted)
        except running.Interrupted:
            raise
        except errors.GreengagelbError:
            sys.stderr.write(fleet.last_lines())
            raise
    say('done: everything held')
    return exit_codes.ExitCode.SUCCESS


def start_all(
    fleet: launcher.Launcher, interrupted: interruption.Interruption
) -> None:
    """Start every process and wait until it listens."""
    for number in range(3):
        fleet.engine(f'engine-{number}', STEP_FLAG)
    fleet.service('charges-0')
    for number in range(2):
        fleet.instance(f'instance-{number}')
    launcher.wait_until_listening(fleet.processes(), interrupted.check)


def say(line: str) -> None:
    """Tell the user what happens."""
    sys.stdout.write(f'== {line}\n')
    sys.stdout.flush()


def check(holds: bool, promise: str) -> None:
    """Say that a promise held, or raise that it did not."""
    if not holds:
        raise errors.DemoFailed(f'this does not hold: {promise}')
    say(f'checked: {promise}')


def stop_all(
    fleet: launcher.Launcher, interrupted: interruption.Interruption
) -> None:
    """Stop every process that is left by SIGTERM."""
    for process in fleet.processes():
        interrupted.check()
        if process.popen.poll() is not None:
            continue
        code = process.stop()
        if process.name in fleet.instances and code != 0:
            raise errors.DemoFailed(f'{process.name} exited with {code}')
    say('stopped all by SIGTERM; both instances exited with 0')


@dataclasses.dataclass(slots=True)
class Draft:
    """What the caller holds of the streamed answer.

    ``killed_at`` is a monotonic time, or None before the kill.
    """

    tokens: list[str] = dataclasses.field(default_factory=list)
    finish_reason: str = ''
    killing: bool = False
    killed_at: float | None = None
    went_on: bool = False
    printed: int = 0


class Demonstration:
    """The caller's and the operator's part of the demonstration."""

    def __init__(
        self, reactor: interfaces.IReactorCore, fleet: launcher.Launcher
    ) -> None:
        self.reactor = reactor
        self.fleet = fleet
        self.treq = http.direct_client(http.fresh_connection_agent(reactor))
        self.operators = [
            operator_client.OperatorClient(
                reactor,
                operator_client.Address(launcher.HOST, process.operator_port),
                fleet.operator_key,
            )
            for process in fleet.instances.values()
        ]

    async def show_all(self) -> None:
        """Show one step after the other."""
        await self.configure()
        await self.show_stream()
        await self.show_charge()
        await self.show_timeline()

    # -- operator -----------------------------------------------------------

    async def configure(self) -> None:
        """Plan and confirm a configuration, and wait until it is in force."""
        intent = plan_state.ReplaceConfiguration(self.fleet.configuration())
        plan = await self.operators[0].propose_plan(intent)
        say(f'planned: {"; ".join(str(step) for step in plan.steps)}')
        plan = await self.operators[0].confirm_plan(plan.plan_id)
        say(f'confirmed: configuration version {plan.result.version}')
        for process in self.fleet.instances.values():
            await self.wait_until_ready(process)
        say('the configuration is in force on both instances')

    async def wait_until_ready(
        self, process: launcher.LaunchedProcess
    ) -> None:
        """Return once an instance says that it is ready."""
        give_up_at = self.reactor.seconds() + READY_SECONDS
        while self.reactor.seconds() < give_up_at:
            response = await self.treq.get(url_of(process, '/readyz'))
            await response.content()
            if response.code == 200:
                return
            await task.deferLater(self.reactor, 0.05)
        raise errors.DemoFailed(f'{process.name} is not ready in time')

    # -- stream -------------------------------------------------------------

    async def show_stream(self) -> None:
        """Stream an answer and kill the engine in the middle."""
        first = next(iter(self.fleet.instances.values()))
        say(f'streaming a draft through {first.name}')
        body = caller_api.ChatCompletion(
            model='draft',
            messages=[caller_api.Message('user', PROMPT)],
            max_tokens=TOKENS.value,
        )
        response = await self.treq.post(
            url_of(first, '/v1/chat/completions'),
            data=codec.encode(body),
            headers=self.headers(DRAFT_KEY),
            unbuffered=True,
        )
        if response.code != 200:
            raise errors.DemoFailed(f'status {response.code}')
        draft = Draft()
        await self.follow(response, draft)
        self.check_draft(draft)

    async def follow(self, response: Any, draft: Draft) -> None:
        """Read events until the stream ends."""
        reader = sse.EventReader()
        ended: defer.Deferred = defer.Deferred()

        def receive(raw: bytes) -> None:
            for event in reader.feed(raw):
                self.take(event, draft)

        collector = http.BodyCollector(receive, lambda _: ended.callback(None))
        response.deliverBody(collector)
        ended.addTimeout(STREAM_SECONDS, self.reactor)
        try:
            await ended
        except defer.TimeoutError as exc:
            raise errors.DemoFailed('the stream does not end') from exc

    def take(self, event: sse.ServerSentEvent, draft: Draft) -> None:
        """Keep and print what an event brings."""
        if event.data == b'[DONE]':
            return
        if event.kind:
            raise errors.DemoFailed(f'unexpected event {event.kind}')
        chunk = codec.decode(event.data, caller_api.ChatChunk)
        if chunk.position != len(draft.tokens):
            raise errors.DemoFailed(f'token {len(draft.tokens)} is missing')
        self.note_going_on(chunk, draft)
        draft.tokens += chunk.tokens
        draft.finish_reason = chunk.choices[0].finish_reason or ''
        print_tokens(draft)
        halfway = len(draft.tokens) >= TOKENS.value // 2
        if halfway and not draft.killing:
            draft.killing = True
            defer.Deferred.fromCoroutine(self.kill_engine(draft)).addErrback(
                lambda why: sys.stderr.write(why.getTraceback())
            )

    def note_going_on(self, chunk: caller_api.ChatChunk, draft: Draft) -> None:
        """Say how long the caller waited for the next token.

        What was on its way when the engine died arrives at once and is not
        taken for the stream going on.
        """
        if draft.went_on or draft.killed_at is None:
            return
        waited = time.monotonic() - draft.killed_at
        if waited < IN_FLIGHT_SECONDS:
            return
        draft.went_on = True
        sys.stdout.write('\n')
        say(
            f'the stream goes on after token {chunk.position}, '
            f'{waited:.2f} s after the kill'
        )

    async def kill_engine(self, draft: Draft) -> None:
        """Kill the engine that generates the draft."""
        for process in self.fleet.engines.values():
            report = await self.report_of(process)
            if report.running:
                process.kill()
                draft.killed_at = time.monotonic()
                sys.stdout.write('\n')
                say(
                    f'killed {process.name} (SIGKILL) after token '
                    f'{len(draft.tokens)}'
                )
                return

    async def report_of(
        self, process: launcher.LaunchedProcess
    ) -> engine_api.EngineReport:
        """Return what an engine says of itself."""
        response = await self.treq.get(url_of(process, '/v1/report'))
        raw = await response.content()
        return codec.decode(raw, engine_api.EngineReport)

    def check_draft(self, draft: Draft) -> None:
        """Check the answer against an engine that never failed."""
        sys.stdout.write('\n')
        dead = [
            process.name
            for process in self.fleet.engines.values()
            if process.popen.poll() is not None
        ]
        check(len(dead) == 1, 'one engine was killed in mid-stream')
        check(
            draft.tokens == engine.answer_to(PROMPT, TOKENS.value),
            f'all {len(draft.tokens)} tokens came, none twice, none mixed',
        )
        check(draft.finish_reason == 'length', 'the answer is complete')

    # -- charge -------------------------------------------------------------

    async def show_charge(self) -> None:
        """Send one charge through both instances."""
        answers = []
        for process in self.fleet.instances.values():
            say(f'charging with key {CHARGE_KEY} through {process.name}')
            response = await self.treq.post(
                url_of(process, '/v1/services/charge/book'),
                data=b'{"amount": 120}',
                headers=self.headers(CHARGE_KEY),
            )
            answers.append(await response.content())
            say(f'answer {response.code}: {answers[-1].decode()}')
        check(answers[0] == answers[1], 'the retry got the first answer')
        runs = await self.runs_of_charge()
        check(runs == 1, 'the charge ran once')

    async def runs_of_charge(self) -> int:
        """Return how often the plain service ran the charge."""
        service = next(iter(self.fleet.services.values()))
        response = await self.treq.get(url_of(service, '/standin/runs'))
        raw = await response.content()
        return sum(msgspec.json.decode(raw, type=dict[str, int]).values())

    # -- time line ----------------------------------------------------------

    async def show_timeline(self) -> None:
        """Print what the instances recorded of the draft."""
        wanted = timeline_state.Selection(request=DRAFT_KEY)
        parts = await operator_client.query_instances(
            self.operators, lambda client: client.timeline(wanted)
        )
        say(f'time line of request {DRAFT_KEY}, as "greengagelb timeline"')
        sys.stdout.write(timeline_command.render(parts, wanted))

    def headers(self, key: str) -> dict[str, str]:
        """Return the headers of the caller's requests."""
        return {
            'Authorization': f'Bearer {self.fleet.account_key}',
            'Idempotency-Key': key,
        }


def url_of(process: launcher.LaunchedProcess, path: str) -> str:
    """Return the URL of a path at a process."""
    return f'http://{launcher.HOST}:{process.port}{path}'


def print_tokens(draft: Draft) -> None:
    """Print tokens as they come, a few on each line."""
    for token in draft.tokens[draft.printed :]:
        sys.stdout.write(token)
        draft.printed += 1
        if draft.printed % TOKENS_A_LINE == 0:
            sys.stdout.write('\n')
    sys.stdout.flush()
