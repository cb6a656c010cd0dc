"""Streams with real processes: pauses, silence and engines that sample."""

import signal
import threading
import time

import pytest

from tests.common import callers
from tests.common import fleet

pytestmark = pytest.mark.slow

MIN_STALL_SECONDS = 1.0
"""Seconds; long enough that a busy machine makes no engine look dead."""
PAUSE_SECONDS = 1.6
ALL_PAUSED_SECONDS = 8.0


@pytest.fixture
def sampling_fleet(tmp_path):
    """Run a fleet whose engines sample different tokens in each attempt."""
    with fleet.Fleet(tmp_path) as running:
        for number in range(3):
            running.start_engine(f'engine-{number}', '--sampled')
        running.start_service('plain-0')
        for number in range(2):
            running.start_instance(f'router-{number}')
        wanted = running.configuration()
        wanted['services'][0]['recovery'] = {'least_stall': MIN_STALL_SECONDS}
        running.configure(wanted)
        yield running


def kinds_on_timeline(router):
    answer = fleet.ask(
        router.operator_port,
        '/v1/timeline',
        headers=fleet.bearer(fleet.OPERATOR_KEY),
    )
    return [event['kind'] for event in answer.json()['events']]


def test_connection_that_goes_silent_is_replaced(sampling_fleet):
    """A middlebox drops the connection to an engine; new ones work.

    The draft stalls for a moment and continues with the same attempt.
    """
    router = sampling_fleet.instances['router-0']

    def silence():
        engine = sampling_fleet.engines[sampling_fleet.busy_engine()]
        faults = {'silent': True}
        assert fleet.ask(engine.port, '/standin/faults', faults).status == 200

    caller = callers.StreamCaller('hello', 400)
    caller.read_and_act(router.port, silence)
    kinds = kinds_on_timeline(router)
    assert 'attempt-suspected' in kinds
    assert 'attempt-replaced' not in kinds


def test_paused_engine_is_replaced_and_stopped_when_it_resumes(sampling_fleet):
    """An engine is paused, replaced, and resumed later.

    The caller gets one answer. The engine must not keep generating an answer
    that no caller receives.
    """
    router = sampling_fleet.instances['router-0']
    paused = []

    def pause():
        paused.append(sampling_fleet.engines[sampling_fleet.busy_engine()])
        paused[0].send_signal(signal.SIGSTOP)

    caller = callers.StreamCaller('hello', 3000)
    for _ in caller.read(router.port):
        if len(caller.tokens) > 50 and not paused:
            pause()
        if 'spare-promoted' in kinds_on_timeline(router):
            break
    assert len(caller.tokens) < caller.most_tokens
    paused[0].send_signal(signal.SIGCONT)
    fleet.wait_until(
        lambda: fleet.ask(paused[0].port, '/v1/report').json()['running'] == 0
    )


def test_pause_of_all_engines_ends_no_stream(sampling_fleet):
    """All machines of the engines stand still and go on by themselves."""
    router = sampling_fleet.instances['router-0']

    def send_to_all(number):
        for engine in sampling_fleet.engines.values():
            engine.send_signal(number)

    resume = threading.Timer(ALL_PAUSED_SECONDS, send_to_all, [signal.SIGCONT])

    def pause():
        send_to_all(signal.SIGSTOP)
        resume.start()

    caller = callers.StreamCaller('hello', 400)
    caller.read_and_act(router.port, pause)
    resume.join()
    assert caller.finish_reason == 'length'
    assert 'attempt-silent' in kinds_on_timeline(router)


def test_paused_instance_does_not_suspect_engines(sampling_fleet):
    """An instance is paused for longer than any stall deadline.

    When it is resumed, all its timers are due and all tokens unread. If it
    acted on the timers first, every draft would move to another engine.
    """
    router = sampling_fleet.instances['router-0']
    stream_callers = [
        callers.StreamCaller(f'draft {number}', 900) for number in range(4)
    ]
    readers = [caller.read(router.port) for caller in stream_callers]
    for events in readers:
        next(events)
    for _ in range(3):
        router.send_signal(signal.SIGSTOP)
        time.sleep(PAUSE_SECONDS)
        router.send_signal(signal.SIGCONT)
        for events in readers:
            next(events, None)
    for caller, events in zip(stream_callers, readers, strict=True):
        for _ in events:
            pass
        assert caller.error is None
        assert len(caller.tokens) == caller.most_tokens
    kinds = kinds_on_timeline(router)
    assert 'attempt-suspected' not in kinds
    assert 'attempt-replaced' not in kinds


def test_engine_and_instance_lost_twice_in_one_generation(sampling_fleet):
    """Instance and engine fail together, and then the next engine too.

    The caller resumes each time with the tokens it has. Its answer must be one
    generation: these engines sample, and the digest in the cursor detects an
    answer joined from two generations.
    """
    first, second = sampling_fleet.instances.values()
    caller = callers.StreamCaller('hello', 400)
    for _ in caller.read(first.port):
        if len(caller.tokens) > 50 and first.popen.poll() is None:
            name = sampling_fleet.busy_engine()
            sampling_fleet.engines.pop(name).send_signal(signal.SIGKILL)
            first.send_signal(signal.SIGKILL)
            first.popen.wait()

    def kill_next():
        name = sampling_fleet.busy_engine()
        sampling_fleet.engines.pop(name).send_signal(signal.SIGKILL)

    tokens_before = list(caller.tokens)
    caller.read_and_act(second.port, kill_next, at=200)
    assert caller.tokens[: len(tokens_before)] == tokens_before
    assert caller.finish_reason == 'length'
