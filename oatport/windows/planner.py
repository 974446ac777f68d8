"""When held work starts: the cheapest hours in which it still ends before its deadline, within the room there is.

Pure: no clock, no I/O. Time is cut into slots. A job's tasks are independent, so a plan says how many of them start in
each slot; a task that runs for longer than a slot takes room in those that follow.

- A latest safe start is a hard bound: no plan goes past it, and what has no room before it starts at once.
- A plan is never dearer than starting at once by the prices it was made with, or the job starts at once.
- Jobs compete for room. One that finds none before its latest start takes that of others that can still go elsewhere.
- Planning is incremental: an arrival places one job; a changed price marks the jobs whose hours it touches, and
  `improve` takes them up a few at a time, the soonest first. `work` counts slots and jobs looked at.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

VICTIMS_MOST = 16  # jobs looked at for room that one without any takes
ADVANCED_MOST = 500  # jobs that start earlier than planned in one slot
SAVES_LEAST = 0.01  # holding work for less than this share of its cost is not worth the risk
DEMANDS = (0.5, 1.0, 1.5, 2.0, 3.0)  # of what is expected to come; too little costs more than too much
EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class Need:
    """What a job wants: `tasks` not yet started, each `cpus` for `run` us, started no later than `latest`."""

    ref: str
    cpus: float
    tasks: int
    run: int
    latest: int  # us; the latest safe start
    sort: str = ""  # whose prices it looks at (class or priority)
    impatience: float = 0.0  # what waiting until the latest start would cost, as a share of the cost at once


@dataclass(slots=True)
class Plan:
    need: Need
    starts: dict[int, int] = field(default_factory=dict)  # slot -> tasks
    cost: float = 0.0
    at_once: float = 0.0
    why: str = ""
    crowded: bool = False  # some of it found no room in time
    moves: int = 0

    @property
    def saving(self) -> float:
        """Share of the cost at once that the plan saves."""
        return (self.at_once - self.cost) / abs(self.at_once) if abs(self.at_once) > EPSILON else 0.0


class Planner:
    """`step`: length of a slot (us); `slots`: how many are looked ahead; `capacity`: CPUs for held work in each."""

    def __init__(self, step: int, slots: int, capacity: float) -> None:
        if step <= 0 or slots < 2 or capacity <= 0:
            raise ValueError("step, slots and capacity must be above 0")
        self.step = step
        self.slots = slots
        self.capacity = capacity
        self.now = 0
        self.plans: dict[str, Plan] = {}
        self.work = 0
        self._first = 0  # number of the first slot kept
        self._free: list[float] = [capacity * step] * slots  # CPU-us left in each
        self._in_slot: dict[int, dict[str, int]] = {}
        self._unit: dict[str, list[float]] = {}  # sort -> what a CPU-us costs in each slot
        self._order: dict[tuple[str, int], list[int]] = {}  # (sort, slots a task takes) -> starts, cheapest first
        self._dirty: dict[str, None] = {}
        self._latest: list[tuple[int, str]] = []

    # --- time and prices --------------------------------------------------------------------------

    def at(self, now: int) -> None:
        """The time goes on: slots that are over are forgotten, others come into sight."""
        self.now = max(self.now, now)
        first = self.now // self.step
        if first <= self._first:
            return
        gone = min(first - self._first, self.slots)
        self._free = self._free[gone:] + [self.capacity * self.step] * gone
        for sort, unit in self._unit.items():
            self._unit[sort] = unit[gone:] + [1.0] * gone
        self._first = first
        self._order.clear()

    def price(self, sort: str, unit: list[float]) -> None:
        """What a CPU costs in each slot from the present one on, in multiples of the ordinary price."""
        known = self._unit.get(sort)
        unit = (unit + [1.0] * self.slots)[: self.slots]
        if known == unit:
            return
        if known is not None:
            both = enumerate(zip(known, unit, strict=True), self._first)
            changed = {number for number, (a, b) in both if abs(a - b) > EPSILON}
            dearer = {n for n in changed if unit[n - self._first] > known[n - self._first]}
            cheaper = changed - dearer
            self._mark(sort, dearer, cheaper)
        self._unit[sort] = unit
        for key in [key for key in self._order if key[0] == sort]:
            del self._order[key]

    def _mark(self, sort: str, dearer: set[int], cheaper: set[int]) -> None:
        """The jobs that a changed price concerns: those in dearer hours, and those that could go to cheaper ones."""
        for number in dearer:
            for ref in self._in_slot.get(number, ()):
                if self.plans[ref].need.sort == sort:
                    self._dirty[ref] = None
        if cheaper:
            soonest = min(cheaper)
            for ref, plan in self.plans.items():
                if plan.need.sort == sort and self._last(plan.need) >= soonest and ref not in self._dirty:
                    self.work += 1
                    self._dirty[ref] = None

    # --- jobs ------------------------------------------------------------------------------------

    def add(self, need: Need) -> Plan:
        """Plan a job that has come, or one of which something is known anew; the others stay where they are."""
        self.remove(need.ref)
        plan = self._place(need)
        if plan.crowded and self._make_room(need):
            plan = self._place(need)
        self._put(plan)
        return plan

    def remove(self, ref: str) -> None:
        plan = self.plans.pop(ref, None)
        self._dirty.pop(ref, None)
        if plan is not None:
            self._take_out(plan)

    def quote(self, need: Need) -> Plan:
        """What would be planned for a job; nothing is kept."""
        return self._place(need)

    def bound(self, ref: str, need: Need) -> None:
        """The job's latest start or run time is another now. Its plan is marked if it goes past that.

        The bound holds from here on: what is not planned anew by then starts at it.
        """
        plan = self.plans[ref]
        self._take_out(plan)
        plan.need = need
        self._put(plan)
        if max(plan.starts, default=0) > max(self._last(need), self._first):
            self._dirty[ref] = None

    def restore(self, need: Need, starts: dict[int, int], why: str) -> Plan:
        """A plan that an earlier leader recorded: as it was, not as it would be made now."""
        self.remove(need.ref)
        plan = Plan(need, dict(starts), why=why)
        plan.cost = sum(count * self._cost(need, max(slot, self._first)) for slot, count in starts.items())
        plan.at_once = need.tasks * self._cost(need, self._first)
        self._put(plan)
        return plan

    def overdue(self) -> set[str]:
        """Jobs that should have started more than a slot ago."""
        if not self._latest or self._latest[0][0] + self.step >= self.now:
            return set()  # the soonest bound comes first
        return {
            ref
            for at, ref in self._latest
            if at + self.step < self.now and ref in self.plans and self.plans[ref].need.latest == at
        }

    def due(self) -> list[tuple[str, int]]:
        """Jobs of which tasks start now, and how many: each is told once."""
        ready: dict[str, int] = {}
        while self._latest and self._latest[0][0] <= self.now:
            _, ref = heapq.heappop(self._latest)
            plan = self.plans.get(ref)
            if plan is not None and plan.need.latest <= self.now:  # whatever was planned: it is time
                ready[ref] = sum(plan.starts.values())
        for number in [n for n in self._in_slot if n <= self._first]:
            for ref, count in self._in_slot[number].items():
                if ref not in ready:
                    ready[ref] = ready.get(ref, 0) + count
        for ref, count in list(ready.items()):
            self._started(ref, count)
        return sorted((ref, count) for ref, count in ready.items() if count)

    def _started(self, ref: str, count: int) -> None:
        """These tasks start: their room stays taken, what is left of the job is planned as it was."""
        plan = self.plans[ref]
        left = count
        for slot in sorted(plan.starts):
            part = min(left, plan.starts[slot])
            left -= part
            plan.starts[slot] -= part
            there = self._in_slot.get(slot)
            if there is not None and ref in there:
                there[ref] -= part
                if not there[ref]:
                    del there[ref]
                if not there:
                    del self._in_slot[slot]
            if slot > self._first and part:  # earlier than planned: from now on
                self._room(plan.need, slot, part)
                self._room(plan.need, self._first, -part)
        plan.starts = {slot: n for slot, n in plan.starts.items() if n}
        if not plan.starts:
            del self.plans[ref]
            self._dirty.pop(ref, None)
            return
        plan.need = replace(plan.need, tasks=plan.need.tasks - count)

    def improve(self, most: int, frozen: Iterable[str] = ()) -> list[str]:
        """Plan up to `most` marked jobs anew, the soonest first; those whose plan changed."""
        if not self._dirty:
            return []
        still = set(frozen)
        first = heapq.nsmallest(most, self._dirty, key=lambda ref: (min(self.plans[ref].starts, default=0), ref))
        changed = []
        for ref in first:
            del self._dirty[ref]
            old = self.plans[ref]
            if ref in still:
                continue
            self._take_out(old)
            new = self._place(old.need)
            now_cost = sum(n * self._cost(old.need, slot) for slot, n in old.starts.items())
            overdue = max(old.starts) > max(self._last(old.need), self._first)
            saves = now_cost - new.cost > SAVES_LEAST * abs(now_cost) + EPSILON
            if new.starts != old.starts and (saves or overdue or new.crowded < old.crowded):
                new.moves = old.moves + 1
                changed.append(ref)
            else:
                new = old
                new.cost = now_cost
            self._put(new)
        return changed

    def level(self, sort: str, expected: float) -> float:
        """What an hour of work more will cost: the price up to which hours are needed, as is to be expected.

        What is held fills the cheapest hours, and so will what is still to come: half of that, or up to
        three times the `expected` CPU-us. Where the next hours are much dearer, the chance of them counts.
        Counted are the hours in which half of the held work may still start.
        """
        if not self.plans:
            return -float("inf")
        by_last: Counter[int] = Counter()
        for plan in self.plans.values():
            need = plan.need
            by_last[self._last(need)] += need.run * need.cpus * need.tasks  # type: ignore[assignment]
        demand = sum(by_last.values())
        half, until = demand / 2, self._first
        for last in sorted(by_last):
            until, half = last, half - by_last[last]
            if half <= 0:
                break
        self.work += len(self.plans)
        unit = sorted(self._unit.get(sort, [1.0] * self.slots)[: max(until - self._first + 1, 1)])
        room = self.capacity * self.step
        levels = [unit[min(int((demand + expected * share) / room), len(unit) - 1)] for share in DEMANDS]
        return sum(levels) / len(levels)

    def advance(self, sort: str, expected: float) -> list[str]:
        """Start held work now where the present hour will be needed anyway, for the room that is left in it.

        Without this, all that comes early waits for the cheapest hours, and what comes late finds them taken: it
        starts in the dear ones after them. Those that must start soonest go first; returns whose plan changed.
        """
        unit = self._unit.get(sort)
        if unit is None or not self.plans or unit[0] > self.level(sort, expected) + EPSILON:
            return []
        changed = []
        for ref in heapq.nsmallest(ADVANCED_MOST, self.plans, key=lambda ref: (self.plans[ref].need.latest, ref)):
            if self._free[0] < EPSILON:
                break
            plan = self.plans[ref]
            need = plan.need
            later = sum(count for slot, count in plan.starts.items() if slot > self._first)
            if need.sort != sort or not later:
                continue
            self.work += 1
            self._take_out(plan)
            count = min(later, self._holds(need, self._first))
            if count > 0:
                left = count
                for slot in sorted(plan.starts, reverse=True):
                    if slot > self._first and left:
                        part = min(left, plan.starts[slot])
                        plan.starts[slot] -= part
                        left -= part
                plan.starts[self._first] = plan.starts.get(self._first, 0) + count
                plan.starts = {slot: n for slot, n in plan.starts.items() if n}
                plan.cost = sum(n * self._cost(need, slot) for slot, n in plan.starts.items())
                plan.why = "hours as cheap as this one will all be needed"
                changed.append(ref)
            self._put(plan)
        return changed

    def soon(self, until: int) -> list[tuple[str, int]]:
        """Jobs with tasks that start up to a moment, and how many."""
        return [
            (ref, count)
            for number in sorted(n for n in self._in_slot if n <= until // self.step)
            for ref, count in self._in_slot[number].items()
        ]

    @property
    def marked(self) -> int:
        return len(self._dirty)

    # --- placing ---------------------------------------------------------------------------------

    def _last(self, need: Need) -> int:
        """The last slot in which a task may start at any moment."""
        return min(need.latest // self.step - 1, self._first + self.slots - 1)

    def _cost(self, need: Need, slot: int) -> float:
        """Of one task started in a slot; what is out of sight is ordinary."""
        unit = self._unit.get(need.sort)
        left, place, cost = need.run, slot - self._first, 0.0
        while left > 0:
            part = min(left, self.step)
            cost += part * (unit[place] if unit is not None and 0 <= place < self.slots else 1.0)
            left -= part
            place += 1
        wait = max(slot * self.step - self.now, 0) / max(need.latest - self.now, self.step)
        return need.cpus * (cost + need.impatience * min(wait, 1.0) * need.run)

    def _cheapest(self, need: Need) -> list[int]:
        takes = max(1, -(-need.run // self.step))
        key = (need.sort, takes)
        order = self._order.get(key)
        if order is None:
            # One order serves all tasks that take as many slots; the parts of a slot make no great difference.
            whole = Need("", 1.0, 1, takes * self.step, 1 << 62, need.sort)
            numbers = range(self._first, self._first + self.slots)
            costs = {number: round(self._cost(whole, number), 3) for number in numbers}
            order = self._order[key] = sorted(numbers, key=lambda number: (costs[number], number))
            self.work += self.slots
        if need.impatience <= 0:
            return order
        return sorted(order, key=lambda number: (self._cost(need, number), number))

    def _place(self, need: Need) -> Plan:
        plan = Plan(need, at_once=need.tasks * self._cost(need, self._first))
        last, left = self._last(need), need.tasks
        if last < self._first:
            plan.starts, plan.cost, plan.why = {self._first: left}, plan.at_once, "the latest safe start is now"
            return plan
        left = self._fill(plan, left, self._first, last)
        if left > 0:
            plan.starts[self._first] = plan.starts.get(self._first, 0) + left
            plan.cost += left * self._cost(need, self._first)
            plan.crowded = True
        little = plan.at_once - plan.cost <= SAVES_LEAST * abs(plan.at_once) + EPSILON
        if little and not plan.crowded and self._soon(plan):
            plan.starts, plan.cost, plan.why = {self._first: need.tasks}, plan.at_once, "no hour to come is cheaper"
        elif plan.cost > plan.at_once + EPSILON:
            plan.starts, plan.cost, plan.why = {self._first: need.tasks}, plan.at_once, "nothing cheaper has room"
        else:
            plan.why = "some of it has no room in time" if plan.crowded else "cheaper hours"
        return plan

    def _fill(self, plan: Plan, left: int, first: int, last: int) -> int:
        """Put tasks into the cheapest slots with room of a range; how many found none."""
        need = plan.need
        for slot in self._cheapest(need):
            if left <= 0:
                break
            self.work += 1
            if not first <= slot <= last:
                continue
            count = min(left, self._holds(need, slot))
            if count > 0:
                plan.starts[slot] = count
                plan.cost += count * self._cost(need, slot)
                left -= count
        return left

    def _soon(self, plan: Plan) -> bool:
        """It saves next to nothing: worth waiting for only if there is no room now."""
        return self._holds(plan.need, self._first) >= plan.need.tasks

    def _spans(self, need: Need, slot: int) -> Iterable[tuple[int, float]]:
        """The slots in sight that a task started in one takes, and what of each (CPU-us)."""
        left, place = need.run, slot - self._first
        while left > 0 and place < self.slots:
            if place >= 0:
                yield place, min(left, self.step) * need.cpus
            left -= self.step
            place += 1

    def _holds(self, need: Need, slot: int) -> int:
        """How many tasks may start in a slot."""
        count = need.tasks
        for place, takes in self._spans(need, slot):
            self.work += 1
            count = min(count, int((self._free[place] + EPSILON) // takes))
            if count <= 0:
                return 0
        return count

    def _room(self, need: Need, slot: int, count: int) -> None:
        """Give back the room of tasks started in a slot; take it where `count` is below 0."""
        for place, takes in self._spans(need, slot):
            self._free[place] += count * takes

    def _put(self, plan: Plan) -> None:
        self.plans[plan.need.ref] = plan
        for slot, count in plan.starts.items():
            self._room(plan.need, slot, -count)
            self._in_slot.setdefault(slot, {})[plan.need.ref] = count
        heapq.heappush(self._latest, (plan.need.latest, plan.need.ref))
        if len(self._latest) > 4 * len(self.plans) + 1000:  # most are of plans that were made anew
            self._latest = [(p.need.latest, ref) for ref, p in self.plans.items()]
            heapq.heapify(self._latest)

    def _take_out(self, plan: Plan) -> None:
        for slot, count in plan.starts.items():
            self._room(plan.need, slot, count)
            there = self._in_slot.get(slot)
            if there is not None:
                there.pop(plan.need.ref, None)
                if not there:
                    del self._in_slot[slot]

    def _make_room(self, need: Need) -> bool:
        """Move jobs that can still go elsewhere out of the hours that this one has; False if none moved."""
        last, moved = self._last(need), False
        candidates: dict[str, int] = {}
        for slot in range(self._first, last + 1):
            for ref in self._in_slot.get(slot, ()):
                latest = self.plans[ref].need.latest
                if self._last(self.plans[ref].need) > last:
                    candidates[ref] = latest
            self.work += 1
            if len(candidates) >= 4 * VICTIMS_MOST:
                break
        for ref in heapq.nlargest(VICTIMS_MOST, candidates, key=lambda r: (candidates[r], r)):
            old = self.plans[ref]
            self._take_out(old)
            new = self._later(old, last)
            self._put(new or old)
            moved = moved or new is not None
            if moved and self._fits(need):
                return True
        return moved

    def _fits(self, need: Need) -> bool:
        left = need.tasks
        for slot in range(self._first, self._last(need) + 1):
            left -= min(left, self._holds(need, slot))
            if left <= 0:
                return True
        return False

    def _later(self, old: Plan, after: int) -> Plan | None:
        """The same job without any start up to a slot; None if it has no room there."""
        need = old.need
        plan = Plan(need, at_once=old.at_once, why="made room for a job with an earlier deadline", moves=old.moves + 1)
        if self._fill(plan, need.tasks, after + 1, self._last(need)) or plan.cost > plan.at_once + EPSILON:
            return None
        return plan
