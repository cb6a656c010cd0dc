"""What a run must not show, from what callers and engines have seen."""

import collections
from collections.abc import Iterator
import dataclasses
import itertools

from tests.soak import budget
from tests.soak import callers
from tests.soak import content
from tests.soak import cuts
from tests.soak import engines
from tests.soak import faults
from tests.soak import instances
from tests.soak import world

NOT_RUN = frozenset({408, 421, 429, 503})
# An instance counts as calm so long after the last harm to it or the store.
TOUCH_SECONDS = 3.0
# Past its route's time limit an answer may take so long, in seconds.
LATE_SECONDS = 0.5
# Of the requests in the calm at the end so many must be served.
LEAST_SERVED = 0.9
# From TOUCH_SECONDS after an instance has lost its links, first tries there
# are served at least so often, as a share of those at the others; so many, and
# one in fifty, may fail before that counts.
LINKS_LEAST_SHARE = 2 / 3
LINKS_SPARE = 10
# Within so many seconds an engine gets no more than this part of what its
# limit allows, and some requests more.
LIMIT_WINDOW = 4.0
LIMIT_SHARE = 1.5
LIMIT_SPARE = 5
# From half a second after an engine has asked an instance for rest it may get
# so many requests of it within the rest.
REST_MARGIN = 0.5
REST_SPARE = 2
# From TOUCH_SECONDS after so many crashes engines get so many requests more
# with the part that causes them. From twice that, at least half of so many
# sound requests or more must not be refused.
CRASHES_KNOWN = 5
LATE_CRASHING_SPARE = 3
LEAST_SOUND = 20
# While most new connections go to one instance, requests are served there at
# least so often, as a share of those before.
CROWD_LEAST_SHARE = 3 / 4
# The memory of the smallest machines that instances run on.
MACHINE_MEGABYTES = 200.0
# So many successors in one data centre turn a request away: the first shows
# that the engines there have ended.
MOST_MISDIRECTED = 1
# So many requests may run on more engines than their route allows.
ATTEMPTS_SPARE = 3
# So many requests may reach engines with more time than is left, and this
# share of the retries that are sent so late that it matters.
TIME_SPARE = 20
TIME_SPARE_SHARE = 1 / 5
# An engine in reach may still work on a stream for so many seconds after
# another one has begun to go on with it.
OVERLAP_SECONDS = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """A promise that a run broke."""

    promise: str
    detail: str


class Judge:
    """Judges one run."""

    def __init__(self, played: world.World) -> None:
        self.world = played
        self.outcomes = played.callers.outcomes
        self.runs = collections.defaultdict(list)
        for run in played.engines.runs:
            self.runs[run.request_id].append(run)
        self.received = collections.defaultdict(list)
        for arrival in played.engines.received:
            self.received[arrival.request_id].append(arrival)

    def verdict(self) -> list[Broken]:
        """Return all promises that were broken."""
        return [
            *self.wrong_answers(),
            *self.repeated(),
            *self.misrouted(),
            *self.false_refusals(),
            *self.work_for_the_leaving(),
            *self.cut_by_stops(),
            *self.lost_answers(),
            *self.over_budget(),
            *self.over_attempts(),
            *self.over_time(),
            *self.misdirected_in_turn(),
            *self.overlapping_runs(),
            *self.late(),
            *self.refused_keys(),
            *self.over_limits(),
            *self.against_statements(),
            *self.crashed_by_parts(),
            *self.not_served_in_crowds(),
            *self.not_served_without_links(),
            *self.not_recovered(),
            *self.over_memory(),
            *self.ended(),
        ]

    def calm(self, instance: str, begin: float, end: float) -> bool:
        """Return whether nothing harmed an instance or the store."""
        harms = faults.OF_INSTANCES | faults.OF_THE_STORE
        for moment in self.world.moments:
            of_it = moment.target == instance
            of_all = moment.what in faults.OF_THE_STORE
            if moment.what in harms and (of_it or of_all):
                until = moment.until + TOUCH_SECONDS
                if moment.at < end and begin < until:
                    return False
        return True

    # -- promises -----------------------------------------------------------

    def wrong_answers(self) -> Iterator[Broken]:
        """Find answers that are not what the request asked for."""
        for found in self.outcomes:
            if found.status != 200:
                continue
            if not found.sealed:
                yield Broken('signed answers', found.request_id)
            if found.kind in callers.STREAMING:
                right = content.stream(found.body, found.after + 1)
            else:
                right = content.call(found.request_id, found.body)
            whole = found.answer == right
            beginning = right.startswith(found.answer)
            if not beginning or (found.whole and not whole):
                detail = f'{found.request_id}: {found.answer[-80:]!r}'
                yield Broken('whole answers in order', detail)

    def repeated(self) -> Iterator[Broken]:
        """Find calls and streams that may run once and ran twice."""
        for found in self.outcomes:
            runs = self.runs[found.request_id]
            if found.kind in callers.RUN_ONCE and len(runs) > 1:
                detail = f'{found.kind.value} {found.request_id}'
                yield Broken('at most once', detail)

    def misrouted(self) -> Iterator[Broken]:
        """Find requests that an engine of another service has run."""
        for found in self.outcomes:
            is_stream = found.kind in callers.STREAMING
            service = engines.STREAMS if is_stream else engines.CALLS
            for run in self.runs[found.request_id]:
                if run.service != service:
                    detail = f'{found.request_id} by {run.service}'
                    yield Broken('routes', detail)

    def false_refusals(self) -> Iterator[Broken]:
        """Find requests that ran although their callers were told not."""
        for found in self.outcomes:
            if found.status not in NOT_RUN:
                continue
            if self.runs[found.request_id]:
                yield Broken('not run', found.request_id)
            if not found.retry_after:
                yield Broken('when to come back', found.request_id)

    def work_for_the_leaving(self) -> Iterator[Broken]:
        """Find requests that reached an engine long after it left."""
        for moment in self.world.moments:
            if moment.what is not faults.What.LEAVING_ENGINE:
                continue
            late = moment.at + instances.DRAIN_SECONDS
            names = [i.name for i in self.world.instances]
            begin = moment.at - TOUCH_SECONDS
            if not all(self.calm(n, begin, late + 1.0) for n in names):
                continue
            for arrival in self.world.engines.arrivals:
                if arrival.engine == moment.target and arrival.at > late:
                    detail = f'{arrival.at - moment.at:.3f} s after'
                    yield Broken('no work for the leaving', detail)

    def cut_by_stops(self) -> Iterator[Broken]:
        """Find requests that a planned stop has cut."""
        if self.world.has_pauses:
            # Streams there may outlast the grace time.
            for found in cuts.Cuts(self.world).beside_stops():
                yield Broken('stops cut nothing', tell_cut(found))
            return
        for moment in self.world.moments:
            if moment.what is not faults.What.STOP_INSTANCE:
                continue
            until = moment.at + instances.GRACE_SECONDS + 1.0
            for found in self.outcomes:
                if found.instance == moment.target and self.cut(
                    found, moment.at, until
                ):
                    yield Broken('stops cut nothing', found.request_id)

    def lost_answers(self) -> Iterator[Broken]:
        """Find requests cut beside reloads, configurations and pauses."""
        lost = cuts.Cuts(self.world)
        for found in lost.beside_reloads():
            yield Broken('reloads cut nothing', tell_cut(found))
        for name, beside, others in lost.beside_configurations():
            detail = f'{beside} at {name}, {others} at other times'
            yield Broken('configurations cut nothing', detail)
        for found in lost.by_pauses():
            yield Broken('pauses cut nothing', tell_cut(found))

    def over_budget(self) -> Iterator[Broken]:
        """Find services that got more retries than all instances may send."""
        bounds = budget.Bounds(
            instances.RETRY_RATIO,
            self.world.retry_slack,
            instances.RETRY_WINDOW_SECONDS,
        )
        for service in (engines.STREAMS, engines.CALLS):
            received = [
                arrival
                for arrival in self.world.engines.received
                if arrival.service == service
            ]
            requests = sorted(
                found.began_at
                for found in self.outcomes
                if (found.kind in callers.STREAMING)
                == (service == engines.STREAMS)
            )
            worst = budget.worst_window(
                requests, budget.repeats(received), bounds
            )
            if worst is not None and worst.over > 0:
                detail = (
                    f'{worst.retries} to {service} in {bounds.window:.0f} s, '
                    f'{worst.over:.1f} too many'
                )
                yield Broken('retry budget', detail)

    def over_attempts(self) -> Iterator[Broken]:
        """Find requests that ran on more engines than their routes allow."""
        over = [
            found.request_id
            for found in self.outcomes
            if budget.engines_used(self.runs[found.request_id])
            > world.ROUTE_ATTEMPTS[found.kind]
        ]
        if len(over) > ATTEMPTS_SPARE:
            detail = f'{len(over)}, as {over[0]}'
            yield Broken('engines of an attempt', detail)

    def over_time(self) -> Iterator[Broken]:
        """Find engines that were told to have more time than was left."""
        first: dict[str, engines.Received] = {}
        told_too_long = late_retries = 0
        asked = {found.request_id: found for found in self.outcomes}
        for arrival in sorted(self.world.engines.received, key=lambda a: a.at):
            found = asked.get(arrival.request_id)
            if found is None or not self.calm(
                found.instance, found.began_at, arrival.at
            ):
                continue
            begun = first.setdefault(arrival.request_id, arrival)
            late_retries += budget.is_late_retry(arrival, begun)
            limit = self.world.callers.limits[found.kind]
            told_too_long += budget.is_told_too_long(
                arrival, begun, found.began_at, limit
            )
        spare = max(TIME_SPARE, TIME_SPARE_SHARE * late_retries)
        if told_too_long > spare:
            detail = f'{told_too_long}, {late_retries} late retries'
            yield Broken('time handed to engines', detail)

    def misdirected_in_turn(self) -> Iterator[Broken]:
        """Find requests that several new engines of one loss turned away."""
        if not self.world.has_lost_places:
            return
        for found in self.outcomes:
            begin, end = found.began_at, found.ended_at or float('inf')
            if not self.calm(found.instance, begin, end):
                continue
            turned_away = collections.Counter(
                arrival.misdirected_in
                for arrival in self.received[found.request_id]
                if arrival.misdirected_in
            )
            for place, times in turned_away.items():
                if times > MOST_MISDIRECTED:
                    detail = f'{found.request_id}: {times} in {place}'
                    yield Broken('one successor shows a loss', detail)

    def overlapping_runs(self) -> Iterator[Broken]:
        """Find streams on which two engines in reach worked for too long."""
        if not self.world.has_pauses:
            return
        streams = [
            found
            for found in self.outcomes
            if found.kind is callers.Kind.STREAM
        ]
        for found in streams:
            runs = sorted(
                self.runs[found.request_id], key=lambda run: run.began_at
            )
            if self.world.has_late_checks:
                yield from self.overlaps_in_reach(runs)
                continue
            for run, later in itertools.pairwise(runs):
                begin = later.began_at
                ended_at = min(
                    run.ended_at or later.began_at,
                    later.ended_at or float('inf'),
                )
                overlap = ended_at - later.began_at
                if overlap > OVERLAP_SECONDS and all(
                    self.reached(found.instance, engine, begin, ended_at)
                    for engine in (run.engine, later.engine)
                ):
                    detail = f'{found.request_id}: {overlap:.2f} s'
                    yield Broken('one run of a stream', detail)

    def overlaps_in_reach(self, runs: list[engines.Run]) -> Iterator[Broken]:
        """Find runs of a stream that their sender should have ended.

        An engine that is silent, or answers no status check, is in reach.
        """
        now = self.world.reactor.seconds()
        names = {each.host: each.name for each in self.world.instances}
        for run, later in itertools.combinations(runs, 2):
            begin = later.began_at
            end = min(run.ended_at or now, later.ended_at or now)
            if end - begin <= OVERLAP_SECONDS:
                continue
            detail = f'{run.request_id}: {end - begin:.2f} s'
            sender = names.get(run.sender)
            if sender is None or not run.engine:
                detail += f', not known: {run.sender=}, {run.engine=}'
                yield Broken('one run of a stream', detail)
            elif self.sender_reached(sender, run.engine, begin, end):
                detail += f' at {run.engine}, sent by {sender}'
                yield Broken('one run of a stream', detail)

    def sender_reached(
        self, sender: str, engine: str, begin: float, end: float
    ) -> bool:
        """Return whether nothing harmed both ends of a run, or its link."""
        of_sender = faults.OF_INSTANCES | faults.OF_LINKS
        return not any(
            moment.at < end
            and begin - TOUCH_SECONDS < moment.until
            and (
                (moment.what in of_sender and moment.target == sender)
                or (
                    moment.what in faults.OF_ENGINES
                    and engine in moment.target.split()
                )
            )
            for moment in self.world.moments
        )

    def reached(
        self, instance: str, engine: str, begin: float, end: float
    ) -> bool:
        """Return whether an instance could tell an engine to end a run."""
        begin -= TOUCH_SECONDS
        if not self.calm(instance, begin, end):
            return False
        harms = faults.OF_ENGINES | {faults.What.FROZEN_ENGINES}
        return not any(
            moment.at < end
            and begin < moment.until
            and (
                (moment.what in harms and engine in moment.target)
                or (moment.what in faults.OF_LINKS)
            )
            for moment in self.world.moments
        )

    def cut(self, found: callers.Outcome, begin: float, end: float) -> bool:
        """Return whether an answer ended early for no other reason."""
        ended = found.ended_at or end
        runs = self.runs[found.request_id]
        if found.whole or found.given_up or not runs:
            return False
        if ended < begin or found.began_at > end:
            return False
        span = found.began_at - TOUCH_SECONDS
        if not self.calm(found.instance, span, ended):
            return False
        return not any(
            moment.what in faults.OF_ENGINES
            and moment.at < ended
            and span < moment.until
            for moment in self.world.moments
        )

    def late(self) -> Iterator[Broken]:
        """Find requests that were kept past their time limit."""
        for found in self.outcomes:
            if found.given_up or found.ended_at is None:
                continue
            if 'ConnectionRefusedError' in found.error:
                # No instance has had it.
                continue
            took = found.ended_at - found.began_at
            if took <= self.world.route_limits[found.kind] + LATE_SECONDS:
                continue
            if self.calm(found.instance, found.began_at, found.ended_at):
                detail = f'{found.request_id}: {took:.2f} s {found.error}'
                yield Broken('time limits', detail)

    def refused_keys(self) -> Iterator[Broken]:
        """Find callers whose good key or route was not known in time.

        They show a new key only when it must be in force.
        """
        for found in self.outcomes:
            if found.status not in (401, 403, 404):
                continue
            begin = found.began_at - TOUCH_SECONDS
            if self.calm(found.instance, begin, found.began_at):
                yield Broken('configuration in force', found.request_id)

    def over_limits(self) -> Iterator[Broken]:
        """Find engines that got more than their limit allows in some 4 s."""
        for limit in self.world.engines.limits:
            begin = limit.at + TOUCH_SECONDS
            times = [
                arrival.at
                for arrival in self.world.engines.arrivals
                if arrival.engine == limit.engine
                and begin <= arrival.at < limit.until
                and not self.answers_swallowed(
                    limit.engine, arrival.at, TOUCH_SECONDS
                )
            ]
            most = LIMIT_SHARE * LIMIT_WINDOW * limit.rate + LIMIT_SPARE
            for at in times:
                got = sum(at <= t < at + LIMIT_WINDOW for t in times)
                if got > most:
                    detail = f'{got} of {most:.0f} at {limit.engine}'
                    yield Broken('limits of engines', detail)
                    break

    def against_statements(self) -> Iterator[Broken]:
        """Find requests of an instance against what an engine told it."""
        asked = {found.request_id: found for found in self.outcomes}
        arrivals = collections.defaultdict(list)
        for arrival in self.world.engines.arrivals:
            if found := asked.get(arrival.request_id):
                key = (arrival.life, found.instance)
                arrivals[key].append((arrival.at, found.began_at))
        for stated in self.world.engines.stated:
            found = asked.get(stated.request_id)
            if found is None:
                continue
            times = arrivals[stated.life, found.instance]
            if self.answer_was_lost(stated):
                continue
            if stated.seconds:
                yield from self.in_a_rest(stated, found.instance, times)
            else:
                yield from self.after_leaving(stated, found.instance, times)

    def answer_was_lost(self, stated: engines.Stated) -> bool:
        """Return whether the link swallowed the answer with a statement.

        What the engine states in the next answer that comes through counts.
        """
        engine = stated.life.partition(' ')[0]
        return self.answers_swallowed(engine, stated.at, 0.0)

    def answers_swallowed(
        self, engine: str, at: float, seconds: float
    ) -> bool:
        """Return whether answers were lost then, or some seconds before.

        An engine that pauses states nothing, as it gives no answers.
        """
        return any(
            moment.what in faults.SWALLOWING | faults.PAUSES
            and engine in moment.target.split()
            and moment.at <= at < moment.until + seconds
            for moment in self.world.moments
        )

    def in_a_rest(
        self,
        stated: engines.Stated,
        instance: str,
        times: list[tuple[float, float]],
    ) -> Iterator[Broken]:
        """Find a rest in which an engine got more than is allowed."""
        begin, end = stated.at + REST_MARGIN, stated.at + stated.seconds
        got = [at for at, _ in times if begin < at < end]
        if len(got) > REST_SPARE and self.same_life(instance, stated.at, end):
            yield Broken('rest of engines', f'{len(got)} at {stated.life}')

    def after_leaving(
        self,
        stated: engines.Stated,
        instance: str,
        times: list[tuple[float, float]],
    ) -> Iterator[Broken]:
        """Find a request sent too late to an engine that said it leaves."""
        late = stated.at + instances.DRAIN_SECONDS
        for at, sent_at in times:
            if sent_at > late and self.same_life(instance, stated.at, at):
                detail = f'{sent_at - stated.at:.3f} s after {stated.life}'
                yield Broken('no work for what says it leaves', detail)
                return

    def same_life(self, instance: str, begin: float, end: float) -> bool:
        """Return whether an instance ran all the while."""
        return not any(
            moment.what in faults.OF_LIVES
            and moment.target == instance
            and moment.at < end
            and begin < moment.until + instances.GRACE_SECONDS
            for moment in self.world.moments
        )

    def crashed_by_parts(self) -> Iterator[Broken]:
        """Find crashing parts sent on, and sound requests refused for them."""
        crashes = self.world.engines.crashes
        for moment in self.world.moments:
            if moment.what is not faults.What.CRASHING_PART:
                continue
            asked = {
                found.request_id: found
                for found in self.outcomes
                if moment.target in found.parts
            }
            late = [
                arrival
                for arrival in self.world.engines.arrivals
                if len(crashes) >= CRASHES_KNOWN
                and arrival.at > crashes[CRASHES_KNOWN - 1] + TOUCH_SECONDS
                and arrival.request_id in asked
                and self.calm(
                    asked[arrival.request_id].instance, arrival.at, arrival.at
                )
            ]
            if len(late) > LATE_CRASHING_SPARE:
                detail = f'{len(late)} after {len(crashes)} crashes'
                yield Broken('parts that crash engines', detail)
            yield from self.refused_for_parts(moment, crashes)

    def refused_for_parts(
        self, moment: world.Moment, crashes: list[float]
    ) -> Iterator[Broken]:
        """Find sound requests that are refused for a part of others."""
        settled = crashes[:CRASHES_KNOWN][-1:] or [float('inf')]
        begin = settled[0] + 2 * TOUCH_SECONDS
        sound = [
            found
            for found in self.outcomes
            if begin < found.began_at < moment.until
            and found.kind is callers.Kind.STREAM
            and moment.target not in found.parts
            and self.calm(found.instance, found.began_at, found.began_at)
        ]
        refused = [found for found in sound if b'crashes-' in found.answer]
        if len(sound) >= LEAST_SOUND and 2 * len(refused) > len(sound):
            detail = f'{len(refused)} of {len(sound)}'
            yield Broken('sound parts', detail)

    def not_served_in_crowds(self) -> Iterator[Broken]:
        """Find instances that serve less as most new connections come."""
        crowds = [
            moment
            for moment in self.world.moments
            if moment.what is faults.What.CROWDED_INSTANCE
        ]
        for crowd in crowds:
            first_at = min(moment.at for moment in crowds)
            before = self.first_tries(first_at - TOUCH_SECONDS, first_at)
            during = [
                found
                for found in self.first_tries(
                    crowd.at + TOUCH_SECONDS, crowd.until
                )
                if found.instance == crowd.target
            ]
            if min(len(before), len(during)) < LEAST_SOUND:
                continue
            usual = sum(map(served, before)) / len(before)
            share = sum(map(served, during)) / len(during)
            if share < CROWD_LEAST_SHARE * usual:
                detail = f'{share:.2f} at {crowd.target}, before {usual:.2f}'
                yield Broken('served in crowds', detail)

    def first_tries(self, begin: float, end: float) -> list[callers.Outcome]:
        """Return the sound requests that were sent in a time in the calm."""
        return [
            found
            for found in self.outcomes
            if begin < found.began_at < end
            and not found.given_up
            and found.parts == (callers.COMMON_PART,)
            and self.calm(found.instance, found.began_at, found.began_at)
        ]

    def not_served_without_links(self) -> Iterator[Broken]:
        """Find cuts in which callers were served worse than others."""
        cuts = [m for m in self.world.moments if m.what in faults.OF_LINKS]
        for cut in cuts:
            begin, end = cut.at + TOUCH_SECONDS, cut.until
            asked = [
                f
                for f in self.outcomes
                if begin < f.began_at < end
                and not f.given_up
                and self.calm(f.instance, f.began_at, f.began_at)
                and not self.limited(f.began_at)
            ]
            others = [
                f
                for f in asked
                if not any(m.target == f.instance for m in cuts)
            ]
            here = [
                f
                for f in asked
                if f.instance == cut.target and is_beside(f, others)
            ]
            failed = [f for f in here if not served(f)]
            if not others or len(failed) <= LINKS_SPARE + len(here) / 50:
                continue
            share = sum(map(served, others)) / len(others)
            served_here = len(here) - len(failed)
            if served_here < LINKS_LEAST_SHARE * share * len(here):
                detail = (
                    f'{served_here} of {len(here)} at {cut.target}, '
                    f'{share:.2f} at the others'
                )
                yield Broken('served without links', detail)

    def limited(self, at: float) -> bool:
        """Return whether an engine names a limit: each instance has a part.

        Those that have just started get theirs later than the others.
        """
        return any(
            limit.at < at < limit.until for limit in self.world.engines.limits
        )

    def not_recovered(self) -> Iterator[Broken]:
        """Find out whether requests are served again in the calm."""
        probes = [
            found
            for found in self.outcomes
            if found.began_at > self.world.probes_from and not found.given_up
        ]
        failed = [f for f in probes if not served(f)]
        count = len(probes) - len(failed)
        if count < LEAST_SERVED * len(probes) or not probes:
            lost = collections.Counter(
                (f.status, f.error[:60]) for f in failed
            )
            detail = f'{count} of {len(probes)} served: {lost}'
            yield Broken('recovery', detail)

    def over_memory(self) -> Iterator[Broken]:
        """Find instances that had more memory than the smallest machine."""
        for instance in self.world.instances:
            if instance.peak_megabytes > MACHINE_MEGABYTES:
                detail = f'{instance.peak_megabytes:.0f} MB {instance.name}'
                yield Broken('memory of instances', detail)

    def ended(self) -> Iterator[Broken]:
        """Find processes that ended by themselves."""
        for instance in self.world.instances:
            for detail in instance.unexpected_ends:
                yield Broken('instances live on', detail)


def served(found: callers.Outcome) -> bool:
    """Return whether a caller got its whole answer."""
    return found.status == 200 and found.whole


def tell_cut(found: callers.Outcome) -> str:
    """Return what is known of a request that was cut."""
    events = found.answer.count(b'\n\n')
    took = cuts.used(found)
    return f'{found.request_id}: {events} events, {took:.2f} s {found.error}'


def is_beside(found: callers.Outcome, others: list[callers.Outcome]) -> bool:
    """Return whether another instance served somebody at about that time.

    Where none does, there is no way to the engines.
    """
    return any(
        served(other) and abs(other.began_at - found.began_at) < 1.0
        for other in others
    )
