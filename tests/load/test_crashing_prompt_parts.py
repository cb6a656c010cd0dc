"""Requests that share one part of their prompts crash engines.

No two of them are alike otherwise. Sound requests share their account and the
other parts of their prompts.
"""

import msgspec
import pytest

from greengagelb.coordination.relay import actions as relay_actions
from greengagelb.coordination.relay import answers
from greengagelb.coordination.relay import events as relay_events
from greengagelb.coordination.sharing import crash_blame
from greengagelb.coordination.sharing import crash_records
from greengagelb.coordination.sharing import fingerprints
from greengagelb.coordination.sharing import sound_parts
from greengagelb.coordination.sharing import trials
from greengagelb.protocol import relay_hints
from greengagelb.state import crashes
from tests.common import crashing_fleet
from tests.common import relay_world

# The operators' bound on how often engines get such requests after the
# instances need to know of the fifth crash.
MAX_LATE_ARRIVALS = 3
CRASHING = crashing_fleet.CRASHING_PART
OTHER_CRASHING = crashing_fleet.OTHER_CRASHING_PART
SYSTEM = crashing_fleet.SYSTEM_PART
TOOLS = crashing_fleet.TOOLS_PART
SOUND_PARTS = crashing_fleet.SOUND_PARTS
CRASHING_PARTS = ((SYSTEM, CRASHING), (SYSTEM, TOOLS, CRASHING))


def play(played, every, *, warm, parts=CRASHING_PARTS):
    """Play sound requests and crashing ones; return the sound ones."""
    return played.play_parts(40.0, every, parts, warm=warm)


@pytest.mark.parametrize('warm', [False, True])
@pytest.mark.parametrize(
    ('size', 'every'), [(3, 0.4), (3, 1.5), (30, 0.4), (30, 1.5)]
)
def test_requests_with_a_crashing_part_are_blocked(size, every, warm):
    """Guards against requests alike in one part that end engine after engine.

    Each of them is new, so that none has crashed an engine before.
    """
    played = crashing_fleet.CrashingFleet(size, loss=0.02)
    play(played, every, warm=warm)
    assert len(played.crashes) >= 3
    assert played.arrivals_after_crash(5) <= MAX_LATE_ARRIVALS


def test_a_crashing_part_is_blocked_despite_lost_datagrams_and_restarts():
    """Guards against instances that start or miss news and crash engines."""
    played = crashing_fleet.CrashingFleet(8, loss=0.3)
    for number in range(8):
        played.after(6.0 + 0.5 * number, played.restart, number)
    play(played, 1.0, warm=False)
    assert len(played.crashes) >= 3
    assert played.arrivals_after_crash(5) <= MAX_LATE_ARRIVALS


@pytest.mark.parametrize('warm', [False, True])
@pytest.mark.parametrize('size', [3, 30])
def test_sound_requests_with_the_other_parts_are_served(size, warm):
    """Guards against sound requests that are refused with crashing ones.

    They have all parts of the crashing ones but one, and the same account.
    """
    played = crashing_fleet.CrashingFleet(size, loss=0.02)
    sound = play(played, 0.4, warm=warm)
    settled_at = 2 * crashing_fleet.CONTACT_SECONDS + 8.0
    assert played.served_share(sound[int(settled_at / 0.5) :]) == 1.0


@pytest.mark.parametrize('warm', [False, True])
@pytest.mark.parametrize(
    'parts',
    [
        ((CRASHING, SYSTEM), (CRASHING,)),
        ((SYSTEM, CRASHING), (SYSTEM, OTHER_CRASHING)),
        ((SYSTEM, CRASHING, OTHER_CRASHING),),
        ((CRASHING, 'in no other request'),),
    ],
    ids=['first', 'two apart', 'two together', 'with a part of its own'],
)
def test_any_crashing_parts_are_blocked_and_no_others(parts, warm):
    """Guards against a verdict that holds for one place or number only."""
    played = crashing_fleet.CrashingFleet(6, loss=0.02)
    sound = play(played, 0.7, warm=warm, parts=parts)
    assert played.arrivals_after_crash(6) <= 2 * MAX_LATE_ARRIVALS
    assert played.served_share(sound[30:]) == 1.0


@pytest.mark.parametrize('size', [3, 30])
def test_a_part_that_was_sound_can_crash_engines_later(size):
    """Guards against a part that is trusted for ever once it was sound.

    A new version of the weights may crash on it.
    """
    played = crashing_fleet.CrashingFleet(size, loss=0.02)
    sound = (('was sound',), ('was sound', TOOLS))
    played.ask_with_parts('stream', 6.0, 0.3, *sound)
    played.run(10.0)
    played.crashing_parts.add('was sound')
    other = played.ask_with_parts('stream', 40.0, 0.5, (TOOLS,))
    played.ask_with_parts('stream', 40.0, 0.7, *sound)
    played.run(60.0)
    assert len(played.crashes) >= 3
    assert played.arrivals_after_crash(5) <= MAX_LATE_ARRIVALS
    assert played.served_share(other[30:]) == 1.0


@pytest.mark.parametrize('seed', range(4))
def test_engines_that_crash_by_themselves_block_no_part(seed):
    """Guards against parts that are blocked for crashes without a cause.

    Each engine had just begun to write for requests with the same parts.
    """
    played = crashing_fleet.CrashingFleet(6, loss=0.02, seed=seed)
    sound = played.ask_with_parts('stream', 40.0, 0.1, *SOUND_PARTS)
    for number in range(30):
        played.after(5.0 + number, played.crash_any_engine)
    played.run(70.0)
    codes = {getattr(i.answers.get(n), 'code', '') for i, n in sound}
    assert answers.CRASHES_ENGINES not in codes
    assert answers.CRASHES_UNDECIDED not in codes


def test_an_account_can_not_block_the_parts_of_others():
    """Guards against an account whose crashing content burdens others.

    It sends its content under the first part of everybody's prompts.
    """
    played = crashing_fleet.CrashingFleet(6, loss=0.02)
    sound = played.ask_with_parts('stream', 40.0, 0.5, *SOUND_PARTS)
    for number in range(40):
        body = crashing_fleet.CRASHING + b'%d' % number
        played.after(
            1.0 * number,
            lambda body: played.ask(
                body=body, parts=(SYSTEM,), key=relay_world.OTHER_KEY
            ),
            body,
        )
    played.run(70.0)
    assert len(played.crashes) >= 3
    codes = [getattr(i.answers.get(n), 'code', '') for i, n in sound]
    assert codes.count(answers.CRASHES_ENGINES) == 0


def lone_world():
    """Return an instance that may use all of the shared retry budget."""
    world = relay_world.RelayWorld(table=relay_world.table_of_two_accounts())
    world.relay.budget.set_fleet_size(1)
    return world


def crash_under(world, body, *parts, events=0, key=relay_world.KEY):
    """Have an engine end as it begins to answer a new request."""
    exchange = world.ask(body=body, shared_parts=parts, key=key)
    world.now += 0.1
    send = world.last_send(exchange)
    world.begin(send)
    if events:
        world.now += crash_records.EARLY_CRASH_SECONDS
        world.events(send, events)
    world.now += 0.03
    world.lose(send)
    check = world.of_kind(relay_actions.CheckEngine)[-1]
    world.handle(
        relay_events.EngineChecked(check.entry, relay_events.EngineFate.ENDED)
    )
    world.leave(exchange)


def undecided_world():
    """Return an instance where two parts explain the same crashes."""
    world = lone_world()
    for number in range(3):
        crash_under(world, b'%d' % number, 'one', 'other')
    return world


def write_with(world, *parts):
    """Have an engine begin to write the answer to a new request."""
    send = world.last_send(world.ask(body=b'sound', shared_parts=parts))
    world.begin(send)
    world.now += crash_records.EARLY_CRASH_SECONDS
    world.events(send, 1)


def test_a_part_that_was_sound_is_not_on_trial():
    """Guards against sound requests refused though the cause is plain."""
    world = lone_world()
    write_with(world, 'was sound')
    for number in range(3):
        crash_under(world, b'%d' % number, 'was sound', 'new')
    for number in range(3):
        body = b'sound %d' % number
        assert world.sends(world.ask(body=body, shared_parts=('was sound',)))
    assert world.refusals(world.ask(body=b'new', shared_parts=('new',)))


def test_requests_that_crashed_three_engines_each_do_not_excuse_a_part():
    """Guards against a part excused by the requests that it is in."""
    records = crash_records.CrashRecords()
    for number in range(6):
        ended_at = 100.0 + number
        crash = crashes.Crash(f'e{number}', ended_at - 0.1, ended_at)
        for fingerprint in ('part-guilty', f'request {number // 3}'):
            records.add_crash(fingerprint, crash, 200.0)
    causes = crashes.PossibleCauses('new request', parts=('part-guilty',))
    verdict = crash_blame.CrashBlame(records).judge(causes, 200.0)
    assert isinstance(verdict, crash_blame.Blocked)


def test_an_engine_that_lives_on_as_it_writes_has_survived_the_parts():
    """Guards against parts blamed for engines that end during long answers."""
    world = lone_world()
    for number in range(6):
        crash_under(world, b'%d' % number, 'sound', events=1)
        world.now += 2.0
        world.list_engines(relay_world.fleet(heartbeat=number + 2))
    histories = world.relay.crash_watch.records.histories
    assert not any(map(fingerprints.is_part, histories))


def test_crashes_of_another_account_do_not_block_a_part():
    """Guards against the few callers of a part who can't clear it in time."""
    world = lone_world()
    for number in range(3):
        key = relay_world.OTHER_KEY
        crash_under(world, b'%d' % number, 'common', key=key)
    key = relay_world.OTHER_KEY
    [refused] = world.refusals(
        world.ask(body=b'x', shared_parts=('common',), key=key)
    )
    assert refused.code == answers.CRASHES_ENGINES
    assert world.sends(world.ask(body=b'y', shared_parts=('common',)))


def test_an_instance_that_knows_a_part_to_be_sound_says_so():
    """Guards against an instance that starts and refuses sound requests."""
    world = lone_world()
    write_with(world, 'was sound')
    fingerprint = fingerprints.for_prompt_part('drafts', 'was sound')
    found = crashes.ReportedCrash('a life', 0.1, 0.0)
    heard = relay_events.PeerTold(
        'peer', crashes.CrashReport(fingerprint, (found,))
    )
    world.now += 1.0
    world.handle(heard)
    world.advance(1.0)
    told = [a.hint for a in world.of_kind(relay_actions.TellPeers)]
    assert [
        hint.survived_age
        for hint in told
        if isinstance(hint, crashes.CrashReport)
    ] == [pytest.approx(1.0, abs=0.4)]


def test_one_request_at_a_time_decides_between_parts():
    """Guards against an engine lost for each request until it is decided."""
    world = undecided_world()
    first = world.ask(body=b'first', shared_parts=('one',))
    second = world.ask(body=b'second', shared_parts=('one',))
    third = world.ask(body=b'third', shared_parts=('other',))
    assert world.sends(first)
    [refused] = world.refusals(second)
    assert (refused.status, refused.code) == (503, answers.CRASHES_UNDECIDED)
    assert refused.retry_after <= 2.0
    assert world.sends(third)
    world.begin(world.last_send(first))
    world.now += crash_records.EARLY_CRASH_SECONDS
    world.events(world.last_send(first), 1)
    assert world.sends(world.ask(body=b'again', shared_parts=('one',)))
    [blocked] = world.refusals(
        world.ask(body=b'both', shared_parts=('one', 'other'))
    )
    assert (blocked.status, blocked.code) == (503, answers.CRASHES_ENGINES)


def test_a_deciding_request_without_an_outcome_blocks_nobody():
    """Guards against callers refused for good as a deciding one has left."""
    world = undecided_world()
    world.leave(world.ask(body=b'first', shared_parts=('one',)))
    world.now += trials.TRIAL_SECONDS
    assert world.sends(world.ask(body=b'second', shared_parts=('one',)))


def test_others_are_told_of_a_deciding_request():
    """Guards against one deciding request at each instance at a time."""
    world = undecided_world()
    world.ask(body=b'first', shared_parts=('one',))
    other = undecided_world()
    for told in world.of_kind(relay_actions.TellPeers):
        other.handle(relay_events.PeerTold('peer', told.hint))
    assert other.refusals(other.ask(body=b'second', shared_parts=('one',)))


def test_a_flood_of_invented_parts_evicts_no_block():
    """Guards against an account that makes instances forget a block."""
    world = lone_world()
    parts = tuple(f'invented {n}' for n in range(10_000))
    for number in range(3):
        crash_under(world, b'%d' % number, 'guilty')
    for number in range(40):
        world.now += 5.0
        world.list_engines(relay_world.fleet(heartbeat=number + 2))
        world.ask(body=b'f%d' % number, shared_parts=parts[number * 60 :])
        send = world.last_send(world.last_exchange)
        world.begin(send)
        world.events(send, 1)
    records = world.relay.crash_watch.records
    assert len(records.histories) <= crash_records.MAX_FINGERPRINTS
    assert len(records.sound_parts.sound_at) <= sound_parts.MAX_SOUND_PARTS
    assert world.refusals(world.ask(body=b'new', shared_parts=('guilty',)))


def test_reports_of_the_release_before_are_understood():
    """Guards against a fleet of two releases that exchanges no crashes."""
    report = crashes.CrashReport('part-x', (), 1.0, is_on_trial=True)
    raw = msgspec.msgpack.decode(relay_hints.encode_hint('peer', report))
    assert raw[1][:2] == ['k', 'part-x']
    former = msgspec.msgpack.encode(['peer', ['k', 'part-x', [], 1.0]])
    _, read = relay_hints.decode_datagram(former)
    assert read == crashes.CrashReport('part-x', (), 1.0)
