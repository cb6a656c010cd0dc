"""Known engines and their lives, by the list of engines.

The list of engines lags behind the engines' state, and entries disappear from
it while the store is unavailable. When an engine restarts under the same
identity, a new life begins (called incarnation for instances), and nothing
that was known of its former lives holds for the new one.
"""

from collections.abc import Callable
import dataclasses
import zlib

from greengagelb.coordination.relay import outliers
from greengagelb.state.relay import engine_states
from greengagelb.state.relay import engines

# Entries that lapsed during an outage of the store are written again within
# about this time after its return, if their engines are alive.
REGISTRATION_GRACE_SECONDS = 2.0
# An entry lapses after three intervals without a renewal. The shortest outage
# in which an entry can lapse, ``least_lapse_seconds``, is two intervals; this
# is the time of three as a multiple of it.
LAPSE_FACTOR = 1.5
# One renewal interval as a share of ``least_lapse_seconds``.
RENEWAL_FACTOR = 0.5
# Peers send one read of the list in several datagrams within less than this
# time; readers read once a second.
READ_PARTS_SECONDS = 0.3
# Removed engines stay known for this time, for the runs that remain on them.
REMOVED_RETENTION_SECONDS = 60.0


def ignore_limit(former: str, life: str, now: float) -> None:
    """Carry no limit over to the next life of an engine."""


class ListedEngines:
    """The lives of all engines known to this instance, by identity.

    ``is_complete`` tells whether the whole list was read here, or was the same
    as that of an instance that has read it.
    ``confirmed_at`` is when the list was last known to be current here.
    ``services`` are the services of the configuration in force, ``None``
    without one. One read of the list may arrive in several parts:
    ``read_began_at`` is when the first part of the latest read arrived, and
    ``previously_confirmed_at`` is the last confirmation before that. Until
    ``removal_grace_until`` engines that are missing in the list stay in use.
    All times are monotonic, in seconds.

    ``replaced_lives`` has the lives that another engine has succeeded at their
    address. ``carry_over_limit`` is called with a life, the next one and the
    time as the next one begins.

    Invariant: ``by_service`` contains exactly the states in ``states``.
    """

    def __init__(
        self,
        least_lapse_seconds: float,
        carry_over_limit: Callable[[str, str, float], None] = ignore_limit,
    ) -> None:
        self.least_lapse_seconds = least_lapse_seconds
        self.carry_over_limit = carry_over_limit
        self.replaced_lives: dict[engines.Address, engines.EngineEntry] = {}
        self.states: dict[str, engine_states.EngineState] = {}
        self.by_service: dict[str, dict[str, engine_states.EngineState]] = {}
        self.services: frozenset[str] | None = None
        self.outliers = outliers.OutlierDetector()
        self.is_store_lost = False
        self.is_complete = False
        self.confirmed_at = float('-inf')
        self.previously_confirmed_at = float('-inf')
        self.read_began_at = float('-inf')
        self.removal_grace_until = float('-inf')
        self.restore_grace_until = float('-inf')

    def find_missing_engines(
        self, entries: tuple[engines.EngineEntry, ...]
    ) -> tuple[str, ...]:
        """Return the known engines that a complete list does not contain."""
        named = {entry.engine for entry in entries}
        return tuple(
            name
            for name, state in self.states.items()
            if name not in named and state.gone_at is None
        )

    def apply_changes(
        self,
        entries: tuple[engines.EngineEntry, ...],
        removed: tuple[str, ...],
        now: float,
    ) -> list[str]:
        """Apply changes of the list; return the engines to give no work."""
        ending = [
            old
            for entry in entries
            if self.is_new_life(entry)
            for old in self.mark_replaced_at_address(entry, now)
        ]
        ending += [e.engine for e in entries if self.apply_entry(e, now)]
        # Called after the entries are applied: begin_life() needs the previous
        # time of confirmation.
        self.note_list_read(now)
        for entry in entries:
            if not self.is_former_life(entry):
                self.states[entry.engine].listed = True
        for name in removed:
            state = self.states.get(name)
            if state is not None:
                state.listed = False
            if state is not None and state.gone_at is None:
                state.gone_at = self.removal_effective_at(now)
                ending.append(name)
        self.forget_removed(now)
        return ending

    def mark_replaced_at_address(
        self, entry: engines.EngineEntry, now: float
    ) -> list[str]:
        """Mark the engines whose address a new entry has; return them.

        The entries of replaced engines stay in the list until they lapse,
        seconds after the engines lost their runs. An engine that was learned
        of only recently is not marked, as the unknown entry may be the
        remainder of an earlier engine. Neither is an engine that started later
        than the entry's engine. An entry of a service that is not configured
        replaces nothing: another program may have written it, and it would
        remove an engine that serves.
        """
        if not self.is_configured_service(entry.service):
            return []
        learned_before = now - LAPSE_FACTOR * self.least_lapse_seconds
        found = [
            name
            for name, state in self.states.items()
            if state.entry.address == entry.address
            and name != entry.engine
            and not entry.is_earlier_than(state.entry.started_at_ms)
            and state.learned_at < learned_before
            and not state.replaced
        ]
        for name in found:
            self.mark_replaced(self.states[name])
        return found

    def mark_replaced(self, state: engine_states.EngineState) -> None:
        """Mark an engine at whose address another one is."""
        state.replaced = True
        self.replaced_lives[state.entry.address] = state.entry

    def is_configured_service(self, service: str) -> bool:
        """Return whether a service is configured, or no configuration known.

        Requests are routed to configured services only, so that engines of
        other services get none.
        """
        return self.services is None or service in self.services

    def apply_entry(self, entry: engines.EngineEntry, now: float) -> bool:
        """Apply one entry; return whether its engine has started to leave.

        An entry of a former life is ignored: its sender lags behind, and
        applying it would end what runs on the current life.
        """
        if self.is_former_life(entry):
            return False
        if self.is_new_life(entry):
            self.begin_life(entry, now)
        state = self.states[entry.engine]
        state.is_service_assumed = False
        state.entry = with_known_start(state.entry, entry)
        state.gone_at = None
        is_newly_leaving = entry.leaving and not state.is_leaving
        state.leaving = state.leaving or entry.leaving
        return is_newly_leaving

    def is_new_life(self, entry: engines.EngineEntry) -> bool:
        """Return whether an entry belongs to a life that is not known yet.

        What was assumed of a life of another service does not hold for it.
        """
        return (
            entry.engine not in self.states
            or self.is_restart(entry)
            or self.corrects_service(entry)
        )

    def corrects_service(self, entry: engines.EngineEntry) -> bool:
        """Return whether an entry shows that a service was assumed wrongly."""
        state = self.states.get(entry.engine)
        if state is None or not state.is_service_assumed:
            return False
        return entry.service != state.entry.service

    def is_restart(self, entry: engines.EngineEntry) -> bool:
        """Return whether an entry is of a later life than the known one."""
        state = self.states.get(entry.engine)
        if state is None:
            return False
        return state.entry.is_earlier_than(entry.started_at_ms)

    def is_former_life(self, entry: engines.EngineEntry) -> bool:
        """Return whether a later life of an entry's engine is known."""
        state = self.states.get(entry.engine)
        if state is None:
            return False
        return entry.is_earlier_than(state.entry.started_at_ms)

    def begin_life(self, entry: engines.EngineEntry, now: float) -> None:
        """Replace what is known of an engine by an entry.

        Some of what is known of the former life holds for the new one, see
        :meth:`.EngineState.next_life`.
        """
        state = engine_states.EngineState(entry, learned_at=now)
        former = self.states.get(entry.engine)
        if former is not None:
            state = former.next_life(entry, now)
            state.former_until = self.last_certain_former_send_at(former, now)
            del self.by_service[former.entry.service][entry.engine]
            self.outliers.forget_engines({entry.engine})
        self.states[entry.engine] = state
        service_engines = self.by_service.setdefault(entry.service, {})
        service_engines[entry.engine] = state
        before = former.entry if former is not None else None
        before = self.replaced_lives.pop(entry.address, before)
        if before is not None and before.service == entry.service:
            self.carry_over_limit(before.life, entry.life, now)

    def last_certain_former_send_at(
        self, former: engine_states.EngineState, now: float
    ) -> float:
        """Return until when sends certainly went to the former life.

        A restarted engine accepts requests before its new entry is read,
        because they are sent under the same identity. Only requests sent well
        before the list last showed the former life certainly went to that
        life. A part of the same read as the new entry may have confirmed the
        list before; that part did not show the former life.
        """
        shown_at = former.learned_at
        if former.listed:
            is_same_read = now < self.read_began_at + READ_PARTS_SECONDS
            shown_at = (
                self.previously_confirmed_at
                if is_same_read
                else self.confirmed_at
            )
        return shown_at - LAPSE_FACTOR * self.least_lapse_seconds

    def apply_restart(
        self, engine: str, started_at_ms: int, now: float
    ) -> engines.EngineEntry | None:
        """Begin a life that was reported by another source than the list.

        Returns its entry, or None if the life is not newer than the known one.
        """
        state = self.states.get(engine)
        if state is None or not state.entry.is_earlier_than(started_at_ms):
            return None
        entry = dataclasses.replace(
            state.entry,
            leaving=False,
            heartbeat=0,
            started_at_ms=started_at_ms,
        )
        self.begin_life(entry, now)
        return entry

    def find_by_life(self, life: str) -> engine_states.EngineState | None:
        """Return the engine whose current life is the given one, if any."""
        for name in (life, life.rpartition(' ')[0]):
            state = self.states.get(name)
            if state is not None and state.entry.life == life:
                return state
        return None

    def is_in_use(self, engine: str, now: float) -> bool:
        """Return whether an engine is known and not removed."""
        state = self.states.get(engine)
        return state is not None and (
            state.gone_at is None or now < state.gone_at
        )

    def remove_unusable(self, names: tuple[str, ...], now: float) -> list[str]:
        """Remove the engines whose entries are unusable; return them.

        There is no grace period as for engines that are missing after an
        outage: their entries have not lapsed, so that nothing is about to be
        registered again. An engine is used again with its next usable entry.
        """
        found = [name for name in names if self.is_in_use(name, now)]
        for name in found:
            self.states[name].listed = False
            self.states[name].gone_at = now
        return found

    def find_service_conflicts(
        self, entries: tuple[engines.EngineEntry, ...]
    ) -> tuple[str, ...]:
        """Return the engines that some entries assign to another service.

        An engine serves the same service for its whole life. An entry of that
        life with another service was written by another program, and requests
        routed by it would run on an engine that their route does not allow.
        """
        return tuple(
            entry.engine
            for entry in entries
            if entry.engine in self.states
            and not self.is_former_life(entry)
            and not self.is_new_life(entry)
            and entry.service != self.states[entry.engine].entry.service
        )

    def has_changed(self, entry: engines.EngineEntry) -> bool:
        """Return whether an entry changes what is known of its engine.

        A mere renewal only says that the engine is alive.
        """
        if self.is_former_life(entry):
            return False
        state = self.states.get(entry.engine)
        if state is None or not state.listed or self.is_restart(entry):
            return True
        return entry.leaving and not state.leaving

    def digest(self) -> int:
        """Return a checksum that differs between differing lists."""
        names = sorted(
            f'{name} {state.entry.started_at_ms} {state.leaving}'
            for name, state in self.states.items()
            if state.listed
        )
        return zlib.crc32('\n'.join(names).encode())

    def removal_effective_at(self, now: float) -> float:
        """Return from when on a removed engine counts as gone.

        Entries lapse while the store is unavailable, and engines need a moment
        to register again. Removing engines at once would leave a healthy pool
        empty just when the store returns.
        """
        return max(now, self.removal_grace_until)

    def note_store_lost(self) -> None:
        """Note that the list cannot be read."""
        self.is_store_lost = True

    def note_list_read(self, now: float) -> None:
        """Note that the list was read.

        A gap shorter than the least lapse time is no outage: no entry lapses
        that fast, so an engine that is missing now has left. If it were kept
        for the grace period, it would get requests for longer than is allowed
        after it has left.
        """
        if self.is_store_lost:
            self.is_store_lost = False
            if now >= self.confirmed_at + self.least_lapse_seconds:
                self.removal_grace_until = now + REGISTRATION_GRACE_SECONDS
        self.note_confirmed(now)

    def note_store_restored(self, now: float) -> None:
        """Expect engines to return that the restored backup lacks.

        They register again with the next renewal, or within about the time
        that they need after an outage.
        """
        renewal = RENEWAL_FACTOR * self.least_lapse_seconds
        self.restore_grace_until = now + REGISTRATION_GRACE_SECONDS + renewal
        self.removal_grace_until = max(
            self.removal_grace_until, self.restore_grace_until
        )

    def is_removed_before_restore(
        self, entry: engines.EngineEntry, now: float
    ) -> bool:
        """Return whether a restored store shows an engine that has gone.

        An engine that is alive has renewed its entry since it was last known.
        """
        state = self.states.get(entry.engine)
        if state is None or state.gone_at is None or now < state.gone_at:
            return False
        if now >= self.restore_grace_until or self.is_restart(entry):
            return False
        return entry.heartbeat <= state.entry.heartbeat

    def note_confirmed(self, now: float) -> None:
        """Note that the list as known here is current."""
        if now >= self.read_began_at + READ_PARTS_SECONDS:
            self.previously_confirmed_at = self.confirmed_at
            self.read_began_at = now
        self.confirmed_at = now

    def forget_removed(self, now: float) -> None:
        """Drop engines removed long ago that have no sends from here."""
        for name, state in list(self.states.items()):
            gone_at = state.gone_at
            if gone_at is None or now < gone_at + REMOVED_RETENTION_SECONDS:
                continue
            if not state.in_flight:
                self.outliers.forget_engines({name})
                self.replaced_lives.pop(state.entry.address, None)
                del self.states[name]
                del self.by_service[state.entry.service][name]

    def find_same_life(
        self, engine: str, started_at_ms: int
    ) -> engine_states.EngineState | None:
        """Return the state of an engine, or None if a later life is known.

        A late report about a former life must not count against the current
        one.
        """
        state = self.states.get(engine)
        if state is None:
            return None
        known = state.entry.started_at_ms
        return None if engines.is_earlier(started_at_ms, known) else state

    def add_successor(
        self,
        old: str,
        new: str,
        now: float,
        started_at_ms: int = engines.UNKNOWN_START,
    ) -> bool:
        """Put a restarted engine in the place of its former identity.

        ``started_at_ms`` identifies the life of the former one. Returns
        whether the successor was not known yet.
        """
        state = self.find_same_life(old, started_at_ms)
        if state is None:
            return False
        self.mark_replaced(state)
        if new in self.states:
            return False
        self.apply_entry(
            dataclasses.replace(
                state.entry,
                engine=new,
                leaving=False,
                heartbeat=0,
                started_at_ms=engines.UNKNOWN_START,
            ),
            now,
        )
        self.states[new].is_service_assumed = True
        return True

    def engines_at_address(
        self, address: engines.Address, now: float
    ) -> set[str]:
        """Return the engines that may be at an address."""
        return {
            name
            for name, state in self.states.items()
            if state.entry.address == address
            and state.is_usable(now)
            and self.is_configured_service(state.entry.service)
        }


def with_known_start(
    known: engines.EngineEntry, entry: engines.EngineEntry
) -> engines.EngineEntry:
    """Return an entry with the known start, if it states none itself."""
    if entry.started_at_ms != engines.UNKNOWN_START:
        return entry
    if known.started_at_ms == engines.UNKNOWN_START:
        return entry
    return dataclasses.replace(entry, started_at_ms=known.started_at_ms)
