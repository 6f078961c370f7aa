import test from "ava";
import { testQueue } from "../_fixtures_test.ts";
import { Fleet, type FleetWorker } from "../fleet.ts";
import type { StepRun } from "../job.ts";
import type { Queue } from "../types.ts";
import { contextFor, openWorker, stepOf } from "./_fixtures_test.ts";
import { findPlacements } from "./placement.ts";
import { orderForAdvice, workersWithCapacity } from "./suitable_workers.ts";
import { orderForReservation } from "./reservations.ts";
import { ReservedTotals, waitingTasks } from "./capacity.ts";

const URGENT = testQueue({ priority: 0 });
const DEFERRABLE = testQueue({ priority: 1 });
/** Time factors of the workers of the uneven deployment. */
const [FAST, AVERAGE, SLOW] = [0.63, 1, 1.67];

/** Workers with four cores each, `w0` on, with these time factors. */
function fleetOf(
  factors: readonly number[],
  usedMillis: (index: number) => number = () => 0,
): Fleet {
  const fleet = new Fleet();
  for (const [index, timeFactor] of factors.entries()) {
    const worker = openWorker(fleet, `w${index}`);
    worker.timeFactor = timeFactor;
    const cpuMillis = usedMillis(index);
    worker.used = { cpuMillis, memoryMib: 0, accelerators: 0 };
  }
  return fleet;
}

/**
 * Input of a search for a step whose tasks take 500 ms on an average worker.
 * `leftMs`: time left for the step, milliseconds.
 */
function contextWithin(
  leftMs: number,
  fleet: Fleet,
  { queue = URGENT, worthless = false } = {},
) {
  return contextFor(fleet, queue, {
    timeBudget: () => ({ remainingMs: leftMs, worthless }),
    runTimes: { expectedMs: () => 500 },
  });
}

function ids(workers: readonly FleetWorker[]): readonly string[] {
  return workers.map(({ id }) => id);
}

function distinct(names: readonly string[]): readonly string[] {
  return [...new Set(names)].sort();
}

function workersPlacedOn(step: StepRun, fleet: Fleet, options: {
  readonly leftMs: number;
  readonly queue: Queue;
}): readonly string[] {
  const context = contextWithin(options.leftMs, fleet, options);
  return findPlacements(step, context).placements.map(({ worker }) =>
    worker.id
  );
}

/**
 * The order for even speeds: workers without failures first, then the fullest.
 */
function evenSpeedOrder(fleet: Fleet): readonly string[] {
  const free = (worker: FleetWorker) =>
    worker.entry!.capacity.cpuMillis - worker.used.cpuMillis;
  const all = [...fleet.workers.values()]
    .filter((worker) => free(worker) >= 1_000)
    .sort((a, b) => free(a) - free(b));
  return ids(all.sort((a, b) => a.failureShare - b.failureShare));
}

// Guards against speeds that change the placement although they are even or
// unknown.
for (const queue of [URGENT, DEFERRABLE]) {
  for (const gang of [false, true]) {
    const name = `priority ${queue.priority}, gang ${gang}`;
    test(`even workers are ordered as without speeds, ${name}`, (t) => {
      const factors = Array.from(
        { length: 40 },
        (_, index) => 1 + ((index % 9) - 4) / 100,
      );
      const fleet = fleetOf(factors, (index) => 100 * ((index * 7) % 41));
      for (const [index, worker] of [...fleet.workers.values()].entries()) {
        worker.failureShare = index % 5 === 0 ? index / 100 : 0;
      }
      const step = stepOf({ gang, tasks: 3 });
      for (const leftMs of [-1_000, 400, 600, 5_000]) {
        const context = contextWithin(leftMs, fleet, { queue });
        const candidates = workersWithCapacity(step, context);
        t.deepEqual(ids(candidates), evenSpeedOrder(fleet));
        const named = ids(orderForAdvice(step, candidates, context));
        t.deepEqual(named, evenSpeedOrder(fleet).toReversed());
        t.is(orderForReservation(step, candidates, context), candidates);
      }
    });
  }
}

// Guards against an urgent step that starts at once on a worker too slow for
// its objective.
test("an urgent step is placed on the fullest of the workers that are fast enough", (t) => {
  const fleet = fleetOf(
    [SLOW, AVERAGE, FAST, AVERAGE],
    (index) => [3_000, 1_000, 0, 2_000][index]!,
  );
  const order = (leftMs: number) =>
    ids(workersWithCapacity(stepOf({}), contextWithin(leftMs, fleet)));
  t.deepEqual(order(700), ["w3", "w1", "w2", "w0"]);
  t.deepEqual(order(1_000), ["w0", "w3", "w1", "w2"]);
});

test("an urgent step that is late on all workers is placed on the fastest", (t) => {
  const fleet = fleetOf([SLOW, AVERAGE, FAST]);
  const order = ids(workersWithCapacity(stepOf({}), contextWithin(300, fleet)));
  t.deepEqual(order, ["w2", "w1", "w0"]);
});

// Guards against deferrable work on the fast workers that urgent work needs.
test("deferrable work with slack is placed on slow workers", (t) => {
  const fleet = fleetOf([FAST, AVERAGE, SLOW]);
  const order = (leftMs: number) =>
    ids(
      workersWithCapacity(
        stepOf({}),
        contextWithin(leftMs, fleet, { queue: DEFERRABLE }),
      ),
    );
  t.deepEqual(order(2_000), ["w2", "w1", "w0"]);
  t.deepEqual(order(600), ["w1", "w0", "w2"]);
  t.deepEqual(order(100), ["w0", "w1", "w2"]);
});

test("work without any value left leaves fast workers to others", (t) => {
  const fleet = fleetOf([FAST, AVERAGE, SLOW]);
  const context = contextWithin(-9_000, fleet, {
    queue: DEFERRABLE,
    worthless: true,
  });
  t.deepEqual(ids(workersWithCapacity(stepOf({}), context)), [
    "w2",
    "w1",
    "w0",
  ]);
});

// Guards against a fast worker that attracts all work while tasks fail on it.
test("a fast worker with failing tasks comes last", (t) => {
  const fleet = fleetOf([SLOW, FAST]);
  fleet.workers.get("w1")!.failureShare = 0.2;
  t.deepEqual(ids(workersWithCapacity(stepOf({}), contextWithin(700, fleet))), [
    "w0",
    "w1",
  ]);
});

// Guards against 19 gang members that wait for one slow member.
test("a gang avoids a single slow worker when the others are enough", (t) => {
  const fleet = fleetOf([SLOW, AVERAGE, AVERAGE, AVERAGE]);
  const gang = stepOf({ gang: true, tasks: 12 });
  const options = { leftMs: 5_000, queue: DEFERRABLE };
  t.deepEqual(distinct(workersPlacedOn(gang, fleet, options)), [
    "w1",
    "w2",
    "w3",
  ]);
});

// Guards against fast workers that a gang occupies although a slow member
// determines its end.
test("a gang that needs a slow worker prefers slow ones to fast ones", (t) => {
  const fleet = fleetOf([FAST, FAST, SLOW, SLOW]);
  const gang = stepOf({ gang: true, tasks: 12 });
  for (const leftMs of [100, 5_000]) {
    const used = workersPlacedOn(gang, fleet, { leftMs, queue: DEFERRABLE });
    const slow = used.filter((id) => id === "w2" || id === "w3");
    t.is(slow.length, 8);
  }
});

test("a gang is placed on workers of equal speed, slow ones if it has slack", (t) => {
  const fleet = fleetOf([FAST, SLOW, AVERAGE, FAST, SLOW, AVERAGE]);
  const gang = stepOf({ gang: true, tasks: 8 });
  const used = (leftMs: number) =>
    distinct(workersPlacedOn(gang, fleet, { leftMs, queue: DEFERRABLE }));
  t.deepEqual(used(5_000), ["w1", "w4"]);
  t.deepEqual(used(700), ["w2", "w5"]);
  t.deepEqual(used(100), ["w0", "w3"]);
});

test("an urgent gang uses only fast enough workers if they have the capacity", (t) => {
  const fleet = fleetOf([SLOW, AVERAGE, FAST]);
  const gang = stepOf({ gang: true, tasks: 8 });
  const used = workersPlacedOn(gang, fleet, { leftMs: 700, queue: URGENT });
  t.deepEqual(distinct(used), ["w1", "w2"]);
});

// Guards against the choice of the first rack with capacity, where a slow
// member determines the gang's end.
test("a gang that needs a single rack is placed on a fast enough one", (t) => {
  const fleet = fleetOf(
    [AVERAGE, SLOW, AVERAGE, AVERAGE],
    (index) => index === 0 ? 1_000 : 0,
  );
  for (const [index, worker] of [...fleet.workers.values()].entries()) {
    const rack = index < 2 ? "rack-1" : "rack-2";
    worker.entry = { ...worker.entry!, labels: ["kind", rack] };
  }
  const gang = stepOf({ gang: true, sameRack: true, tasks: 6 });
  const used = (leftMs: number) =>
    distinct(workersPlacedOn(gang, fleet, { leftMs, queue: DEFERRABLE }));
  t.deepEqual(used(700), ["w2", "w3"]);
  t.deepEqual(used(100), ["w2", "w3"]);
});

// Guards against a wide step whose last task is late because each single task
// would be in time on the slow workers.
test("a step of many tasks is in time only if its last task is", (t) => {
  const fleet = fleetOf([FAST, SLOW]);
  const context = {
    ...contextWithin(1_000, fleet, { queue: DEFERRABLE }),
    runTimes: {
      expectedMs: (_step: StepRun, quantile: number) =>
        quantile > 0.95 ? 1_000 : 500,
    },
  };
  const order = (tasks: number, gang = false) =>
    ids(workersWithCapacity(stepOf({ tasks, gang }), context));
  t.deepEqual(order(1), ["w1", "w0"]);
  t.deepEqual(order(3), ["w0", "w1"]);
  t.deepEqual(order(3, true), ["w1", "w0"]);
});

// Guards against a reservation on a worker too slow for the gang.
test("a gang reserves capacity on fast enough workers if they can hold it", (t) => {
  const fleet = fleetOf([SLOW, AVERAGE, FAST]);
  const all = [...fleet.workers.values()];
  const reserved = (tasks: number, leftMs: number) => {
    const gang = stepOf({ gang: true, tasks });
    const context = contextWithin(leftMs, fleet, { queue: DEFERRABLE });
    return ids(orderForReservation(gang, all, context));
  };
  t.deepEqual(reserved(8, 700), ["w1", "w2"]);
  t.deepEqual(reserved(4, 100), ["w2"]);
  t.deepEqual(reserved(12, 700), ["w0", "w1", "w2"]);
  t.deepEqual(reserved(8, 5_000), ["w0", "w1", "w2"]);
});

test("an advice request names the emptiest of the preferred workers first", (t) => {
  const fleet = fleetOf(
    [SLOW, AVERAGE, AVERAGE, FAST],
    (index) => [0, 1_000, 0, 2_000][index]!,
  );
  const step = stepOf({});
  const context = contextWithin(700, fleet);
  const named = orderForAdvice(
    step,
    workersWithCapacity(step, context),
    context,
  );
  t.deepEqual(ids(named), ["w2", "w1", "w3", "w0"]);
});

// Guards against the use of an expected end for work that has none.
test("long-running tasks are placed as without speeds", (t) => {
  const fleet = fleetOf([SLOW, AVERAGE, FAST]);
  const step = stepOf({ longRunning: true });
  const context = contextWithin(100, fleet);
  t.deepEqual(ids(workersWithCapacity(step, context)), ["w0", "w1", "w2"]);
});

test("capacity reserved for others does not count when a gang chooses workers", (t) => {
  const fleet = fleetOf([AVERAGE, AVERAGE, SLOW]);
  const reserved = new ReservedTotals();
  reserved.add(new Map([["w0", fleet.workers.get("w0")!.entry!.capacity]]));
  const gang = stepOf({ gang: true, tasks: 8 });
  const context = {
    ...contextWithin(700, fleet, { queue: DEFERRABLE }),
    reserved,
  };
  const { placements } = findPlacements(gang, context);
  t.is(placements.length, waitingTasks(gang).length);
  t.deepEqual(distinct(placements.map(({ worker }) => worker.id)), [
    "w1",
    "w2",
  ]);
});

test("urgent work leaves cold workers of a restored zone to work with slack", (t) => {
  const fleet = fleetOf([AVERAGE, AVERAGE]);
  const cold = fleet.workers.get("w0")!;
  cold.entry = { ...cold.entry!, coldLeftMs: 4_000 };
  const step = stepOf({});
  t.deepEqual(workersPlacedOn(step, fleet, { leftMs: 700, queue: URGENT }), [
    "w1",
  ]);
  t.deepEqual(
    workersPlacedOn(step, fleet, { leftMs: 5_000, queue: DEFERRABLE }),
    ["w0"],
  );
  cold.entry = { ...cold.entry, coldLeftMs: 0 };
  t.deepEqual(
    ids(workersWithCapacity(step, contextWithin(700, fleet))),
    evenSpeedOrder(fleet),
  );
});
