"""The command that demonstrates recovery on a small local fleet.

It starts two instances and stand-ins for the platform, engines and a plain
service, kills the engine in the middle of a streamed answer, and checks that
the caller receives the whole answer exactly as generated.
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
from greengagelb.cli import event_loop
from greengagelb.cli import exit_codes
from greengagelb.cli import interruption
from greengagelb.cli import launcher
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

DEMO_TOKENS = flags.DEFINE_integer(
    'demo_tokens', 120, 'Tokens of the streamed answer.', lower_bound=20
)

STEP_FLAG = '--step_seconds=0.03'
PROMPT = 'When may the guests of cottage 4 check in?'
DRAFT_KEY = 'demo-draft'
CHARGE_KEY = 'demo-charge'
READY_TIMEOUT_SECONDS = 20.0
STREAM_TIMEOUT_SECONDS = 120.0
MAX_IN_FLIGHT_SECONDS = 0.01
TOKENS_PER_LINE = 8


def demo(words: list[str]) -> int:
    """Run the demonstration; return 0 if all checks passed."""
    print_step(
        'starting the platform, three engines, a plain service, two instances'
    )
    with launcher.Launcher() as fleet:
        try:
            with interruption.Interruption() as interrupted:
                start_processes(fleet, interrupted)
            event_loop.run_coroutine(
                lambda reactor: Demonstration(reactor, fleet).run_steps()
            )
            with interruption.Interruption() as interrupted:
                stop_processes(fleet, interrupted)
        except event_loop.Interrupted:
            raise
        except errors.GreengagelbError:
            sys.stderr.write(fleet.log_tails())
            raise
    print_step('done: everything held')
    return exit_codes.ExitCode.SUCCESS


def start_processes(
    fleet: launcher.Launcher, interrupted: interruption.Interruption
) -> None:
    """Start every process and wait until it listens."""
    for number in range(3):
        fleet.start_engine(f'engine-{number}', STEP_FLAG)
    fleet.start_service('charges-0')
    for number in range(2):
        fleet.start_instance(f'instance-{number}')
    launcher.wait_until_listening(
        fleet.processes(), interrupted.raise_if_signalled
    )


def print_step(line: str) -> None:
    """Print a line on the progress of the demonstration."""
    sys.stdout.write(f'== {line}\n')
    sys.stdout.flush()


def check_promise(holds: bool, promise: str) -> None:
    """Print a promise that holds; raise if it does not hold."""
    if not holds:
        raise errors.DemoFailed(f'this does not hold: {promise}')
    print_step(f'checked: {promise}')


def stop_processes(
    fleet: launcher.Launcher, interrupted: interruption.Interruption
) -> None:
    """Stop every process that still runs, by SIGTERM."""
    for process in fleet.processes():
        interrupted.raise_if_signalled()
        if process.popen.poll() is not None:
            continue
        code = process.stop()
        if process.name in fleet.instances and code != 0:
            raise errors.DemoFailed(f'{process.name} exited with {code}')
    print_step('stopped all by SIGTERM; both instances exited with 0')


@dataclasses.dataclass(slots=True)
class StreamedAnswer:
    """The part of the streamed answer that the caller has received.

    ``killed_at`` is the monotonic time in seconds at which the engine was
    killed, or None before.
    """

    tokens: list[str] = dataclasses.field(default_factory=list)
    finish_reason: str = ''
    is_kill_started: bool = False
    killed_at: float | None = None
    has_resumed: bool = False
    printed_tokens: int = 0


class Demonstration:
    """The requests of the caller and of the operator."""

    def __init__(
        self, reactor: interfaces.IReactorCore, fleet: launcher.Launcher
    ) -> None:
        self.reactor = reactor
        self.fleet = fleet
        self.treq = http.direct_client(http.fresh_connection_agent(reactor))
        self.operator_clients = [
            operator_client.OperatorClient(
                reactor,
                operator_client.Address(launcher.HOST, process.operator_port),
                fleet.operator_key,
            )
            for process in fleet.instances.values()
        ]

    async def run_steps(self) -> None:
        """Run all steps in order."""
        await self.configure()
        await self.show_stream()
        await self.show_charge()
        await self.show_timeline()

    async def configure(self) -> None:
        """Plan and confirm a configuration, and wait until it is in force."""
        intent = plan_state.ReplaceConfiguration(self.fleet.configuration())
        plan = await self.operator_clients[0].propose_plan(intent)
        print_step(f'planned: {"; ".join(str(step) for step in plan.steps)}')
        plan = await self.operator_clients[0].confirm_plan(plan.plan_id)
        print_step(f'confirmed: configuration version {plan.result.version}')
        for process in self.fleet.instances.values():
            await self.wait_until_ready(process)
        print_step('the configuration is in force on both instances')

    async def wait_until_ready(
        self, process: launcher.LaunchedProcess
    ) -> None:
        """Return once an instance reports that it is ready."""
        deadline = self.reactor.seconds() + READY_TIMEOUT_SECONDS
        while self.reactor.seconds() < deadline:
            response = await self.treq.get(url_of(process, '/readyz'))
            await response.content()
            if response.code == 200:
                return
            await task.deferLater(self.reactor, 0.05)
        raise errors.DemoFailed(f'{process.name} is not ready in time')

    async def show_stream(self) -> None:
        """Stream an answer and kill the engine in the middle."""
        first = next(iter(self.fleet.instances.values()))
        print_step(f'streaming a draft through {first.name}')
        body = caller_api.ChatCompletion(
            model='draft',
            messages=[caller_api.Message('user', PROMPT)],
            max_tokens=DEMO_TOKENS.value,
        )
        response = await self.treq.post(
            url_of(first, '/v1/chat/completions'),
            data=codec.encode(body),
            headers=self.headers(DRAFT_KEY),
            unbuffered=True,
        )
        if response.code != 200:
            raise errors.DemoFailed(f'status {response.code}')
        draft = StreamedAnswer()
        await self.read_stream(response, draft)
        self.check_answer(draft)

    async def read_stream(self, response: Any, draft: StreamedAnswer) -> None:
        """Read events until the stream ends."""
        reader = sse.EventReader()
        ended: defer.Deferred = defer.Deferred()

        def receive(raw: bytes) -> None:
            for event in reader.feed(raw):
                self.handle_event(event, draft)

        collector = http.BodyCollector(receive, lambda _: ended.callback(None))
        response.deliverBody(collector)
        ended.addTimeout(STREAM_TIMEOUT_SECONDS, self.reactor)
        try:
            await ended
        except defer.TimeoutError as exc:
            raise errors.DemoFailed('the stream does not end') from exc

    def handle_event(
        self, event: sse.ServerSentEvent, draft: StreamedAnswer
    ) -> None:
        """Store and print the tokens of an event; kill the engine halfway."""
        if event.data == b'[DONE]':
            return
        if event.kind:
            raise errors.DemoFailed(f'unexpected event {event.kind}')
        chunk = codec.decode(event.data, caller_api.ChatChunk)
        if chunk.position != len(draft.tokens):
            raise errors.DemoFailed(f'token {len(draft.tokens)} is missing')
        self.print_resume_delay(chunk, draft)
        draft.tokens += chunk.tokens
        draft.finish_reason = chunk.choices[0].finish_reason or ''
        print_tokens(draft)
        halfway = len(draft.tokens) >= DEMO_TOKENS.value // 2
        if halfway and not draft.is_kill_started:
            draft.is_kill_started = True
            defer.Deferred.fromCoroutine(self.kill_engine(draft)).addErrback(
                lambda why: sys.stderr.write(why.getTraceback())
            )

    def print_resume_delay(
        self, chunk: caller_api.ChatChunk, draft: StreamedAnswer
    ) -> None:
        """Print how long the caller waited for the first token after the kill.

        Tokens that were in flight when the engine was killed arrive at once
        and do not count.
        """
        if draft.has_resumed or draft.killed_at is None:
            return
        waited = time.monotonic() - draft.killed_at
        if waited < MAX_IN_FLIGHT_SECONDS:
            return
        draft.has_resumed = True
        sys.stdout.write('\n')
        print_step(
            f'the stream goes on after token {chunk.position}, '
            f'{waited:.2f} s after the kill'
        )

    async def kill_engine(self, draft: StreamedAnswer) -> None:
        """Kill the engine that generates the draft."""
        for process in self.fleet.engines.values():
            report = await self.fetch_report(process)
            if report.running:
                process.kill()
                draft.killed_at = time.monotonic()
                sys.stdout.write('\n')
                print_step(
                    f'killed {process.name} (SIGKILL) after token '
                    f'{len(draft.tokens)}'
                )
                return

    async def fetch_report(
        self, process: launcher.LaunchedProcess
    ) -> engine_api.EngineReport:
        """Return an engine's report on itself."""
        response = await self.treq.get(url_of(process, '/v1/report'))
        raw = await response.content()
        return codec.decode(raw, engine_api.EngineReport)

    def check_answer(self, draft: StreamedAnswer) -> None:
        """Compare the answer with that of an engine that never failed."""
        sys.stdout.write('\n')
        killed_names = [
            process.name
            for process in self.fleet.engines.values()
            if process.popen.poll() is not None
        ]
        check_promise(
            len(killed_names) == 1, 'one engine was killed in mid-stream'
        )
        check_promise(
            draft.tokens == engine.answer_to(PROMPT, DEMO_TOKENS.value),
            f'all {len(draft.tokens)} tokens came, none twice, none mixed',
        )
        check_promise(
            draft.finish_reason == 'length', 'the answer is complete'
        )

    async def show_charge(self) -> None:
        """Send one charge through both instances."""
        answers = []
        for process in self.fleet.instances.values():
            print_step(
                f'charging with key {CHARGE_KEY} through {process.name}'
            )
            response = await self.treq.post(
                url_of(process, '/v1/services/charge/book'),
                data=b'{"amount": 120}',
                headers=self.headers(CHARGE_KEY),
            )
            answers.append(await response.content())
            print_step(f'answer {response.code}: {answers[-1].decode()}')
        check_promise(
            answers[0] == answers[1], 'the retry got the first answer'
        )
        runs = await self.count_charge_runs()
        check_promise(runs == 1, 'the charge ran once')

    async def count_charge_runs(self) -> int:
        """Return how often the plain service ran the charge."""
        service = next(iter(self.fleet.services.values()))
        response = await self.treq.get(url_of(service, '/standin/runs'))
        raw = await response.content()
        return sum(msgspec.json.decode(raw, type=dict[str, int]).values())

    async def show_timeline(self) -> None:
        """Print the events that the instances recorded for the draft."""
        selection = timeline_state.Selection(request=DRAFT_KEY)
        parts = await operator_client.query_instances(
            self.operator_clients, lambda client: client.timeline(selection)
        )
        print_step(
            f'time line of request {DRAFT_KEY}, as "greengagelb timeline"'
        )
        sys.stdout.write(timeline_command.render(parts, selection))

    def headers(self, key: str) -> dict[str, str]:
        """Return the headers of the caller's requests."""
        return {
            'Authorization': f'Bearer {self.fleet.account_key}',
            'Idempotency-Key': key,
        }


def url_of(process: launcher.LaunchedProcess, path: str) -> str:
    """Return the URL of a path at a process."""
    return f'http://{launcher.HOST}:{process.port}{path}'


def print_tokens(draft: StreamedAnswer) -> None:
    """Print the tokens that have not been printed, a few on each line."""
    for token in draft.tokens[draft.printed_tokens :]:
        sys.stdout.write(token)
        draft.printed_tokens += 1
        if draft.printed_tokens % TOKENS_PER_LINE == 0:
            sys.stdout.write('\n')
    sys.stdout.flush()
