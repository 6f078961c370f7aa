import test from "ava";
import { testQueue } from "../_fixtures_test.ts";
import { Fleet, type FleetWorker } from "../fleet.ts";
import type { StepRun } from "../job.ts";
import type { Queue } from "../types.ts";
import { contextFor, openWorker, stepOf } from "./_fixtures_test.ts";
import { findPlaces } from "./placement.ts";
import { orderForAdvice, workersWithCapacity } from "./suitable_workers.ts";
import { preferredRoom } from "./reservations.ts";
import { Claims, waitingTasks } from "./room.ts";

const URGENT = testQueue({ priority: 0 });
const DEFERRABLE = testQueue({ priority: 1 });
/** Speeds of the uneven deployment. */
const [FAST, AVERAGE, SLOW] = [0.63, 1, 1.67];

/** Workers with four cores each, `w0` on, of these time factors. */
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

/** A search for a step whose tasks take 500 ms on an average worker. */
function within(
  leftMs: number,
  fleet: Fleet,
  { queue = URGENT, worthless = false } = {},
) {
  return contextFor(fleet, queue, {
    timeOf: () => ({ remainingMs: leftMs, worthless }),
    runTimes: { expectedMs: () => 500 },
  });
}

function ids(workers: readonly FleetWorker[]): readonly string[] {
  return workers.map(({ id }) => id);
}

function distinct(names: readonly string[]): readonly string[] {
  return [...new Set(names)].sort();
}

function placed(step: StepRun, fleet: Fleet, options: {
  readonly leftMs: number;
  readonly queue: Queue;
}): readonly string[] {
  const context = within(options.leftMs, fleet, options);
  return findPlaces(step, context).places.map(({ worker }) => worker.id);
}

/** The order before speeds were known: near, then without failures, then the fullest. */
function formerOrder(fleet: Fleet): readonly string[] {
  const free = (worker: FleetWorker) =>
    worker.entry!.capacity.cpuMillis - worker.used.cpuMillis;
  const all = [...fleet.workers.values()]
    .filter((worker) => free(worker) >= 1_000)
    .sort((a, b) => free(a) - free(b));
  return ids(all.sort((a, b) => a.failureShare - b.failureShare));
}

// Guards against a change of placement where speeds are not known or even.
for (const queue of [URGENT, DEFERRABLE]) {
  for (const gang of [false, true]) {
    const name = `priority ${queue.priority}, gang ${gang}`;
    test(`even workers keep the former order, ${name}`, (t) => {
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
        const context = within(leftMs, fleet, { queue });
        const ready = workersWithCapacity(step, context);
        t.deepEqual(ids(ready), formerOrder(fleet));
        const asked = ids(orderForAdvice(step, ready, context));
        t.deepEqual(asked, formerOrder(fleet).toReversed());
        t.is(preferredRoom(step, ready, context), ready);
      }
    });
  }
}

// Guards against urgent work that starts at once and is late for where it runs.
test("an urgent step goes to the fullest of the workers that bring it in time", (t) => {
  const fleet = fleetOf(
    [SLOW, AVERAGE, FAST, AVERAGE],
    (index) => [3_000, 1_000, 0, 2_000][index]!,
  );
  const order = (leftMs: number) =>
    ids(workersWithCapacity(stepOf({}), within(leftMs, fleet)));
  t.deepEqual(order(700), ["w3", "w1", "w2", "w0"]);
  t.deepEqual(order(1_000), ["w0", "w3", "w1", "w2"]);
});

test("an urgent step that no worker brings in time goes to the fastest", (t) => {
  const fleet = fleetOf([SLOW, AVERAGE, FAST]);
  const order = ids(workersWithCapacity(stepOf({}), within(300, fleet)));
  t.deepEqual(order, ["w2", "w1", "w0"]);
});

// Guards against deferrable work that fills the workers which urgent work needs.
test("deferrable work with time to spare goes to slow workers", (t) => {
  const fleet = fleetOf([FAST, AVERAGE, SLOW]);
  const order = (leftMs: number) =>
    ids(
      workersWithCapacity(
        stepOf({}),
        within(leftMs, fleet, { queue: DEFERRABLE }),
      ),
    );
  t.deepEqual(order(2_000), ["w2", "w1", "w0"]);
  t.deepEqual(order(600), ["w1", "w0", "w2"]);
  t.deepEqual(order(100), ["w0", "w1", "w2"]);
});

test("work that earns nothing any more leaves fast workers to others", (t) => {
  const fleet = fleetOf([FAST, AVERAGE, SLOW]);
  const context = within(-9_000, fleet, { queue: DEFERRABLE, worthless: true });
  t.deepEqual(ids(workersWithCapacity(stepOf({}), context)), [
    "w2",
    "w1",
    "w0",
  ]);
});

// Guards against a fast worker that attracts all work while it fails it.
test("a fast worker that fails goes last", (t) => {
  const fleet = fleetOf([SLOW, FAST]);
  fleet.workers.get("w1")!.failureShare = 0.2;
  t.deepEqual(ids(workersWithCapacity(stepOf({}), within(700, fleet))), [
    "w0",
    "w1",
  ]);
});

// Guards against 19 members that wait for a slow one.
test("a gang avoids a single slow worker when the others are enough", (t) => {
  const fleet = fleetOf([SLOW, AVERAGE, AVERAGE, AVERAGE]);
  const gang = stepOf({ gang: true, tasks: 12 });
  const options = { leftMs: 5_000, queue: DEFERRABLE };
  t.deepEqual(distinct(placed(gang, fleet, options)), ["w1", "w2", "w3"]);
});

// Guards against fast workers that are held by a gang whose end a slow one sets.
test("a gang that needs a slow worker takes slow ones before fast ones", (t) => {
  const fleet = fleetOf([FAST, FAST, SLOW, SLOW]);
  const gang = stepOf({ gang: true, tasks: 12 });
  for (const leftMs of [100, 5_000]) {
    const used = placed(gang, fleet, { leftMs, queue: DEFERRABLE });
    const slow = used.filter((id) => id === "w2" || id === "w3");
    t.is(slow.length, 8);
  }
});

test("a gang takes alike workers: slow ones with time to spare, else fast ones", (t) => {
  const fleet = fleetOf([FAST, SLOW, AVERAGE, FAST, SLOW, AVERAGE]);
  const gang = stepOf({ gang: true, tasks: 8 });
  const used = (leftMs: number) =>
    distinct(placed(gang, fleet, { leftMs, queue: DEFERRABLE }));
  t.deepEqual(used(5_000), ["w1", "w4"]);
  t.deepEqual(used(700), ["w2", "w5"]);
  t.deepEqual(used(100), ["w0", "w3"]);
});

test("an urgent gang uses only workers that bring it in time if they hold it", (t) => {
  const fleet = fleetOf([SLOW, AVERAGE, FAST]);
  const gang = stepOf({ gang: true, tasks: 8 });
  const used = placed(gang, fleet, { leftMs: 700, queue: URGENT });
  t.deepEqual(distinct(used), ["w1", "w2"]);
});

// Guards against the first rack with room, whose slow member sets the end.
test("a gang of one rack takes a rack that brings it in time", (t) => {
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
    distinct(placed(gang, fleet, { leftMs, queue: DEFERRABLE }));
  t.deepEqual(used(700), ["w2", "w3"]);
  t.deepEqual(used(100), ["w2", "w3"]);
});

// Guards against a wide step whose last task is late on the slow workers that
// most of its tasks would suit.
test("a step of many tasks is in time only if its last task is", (t) => {
  const fleet = fleetOf([FAST, SLOW]);
  const context = {
    ...within(1_000, fleet, { queue: DEFERRABLE }),
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

// Guards against a reservation that waits for room on a worker too slow for the gang.
test("a gang reserves on workers that bring it in time if they could hold it", (t) => {
  const fleet = fleetOf([SLOW, AVERAGE, FAST]);
  const all = [...fleet.workers.values()];
  const reserved = (tasks: number, leftMs: number) => {
    const gang = stepOf({ gang: true, tasks });
    const context = within(leftMs, fleet, { queue: DEFERRABLE });
    return ids(preferredRoom(gang, all, context));
  };
  t.deepEqual(reserved(8, 700), ["w1", "w2"]);
  t.deepEqual(reserved(4, 100), ["w2"]);
  t.deepEqual(reserved(12, 700), ["w0", "w1", "w2"]);
  t.deepEqual(reserved(8, 5_000), ["w0", "w1", "w2"]);
});

test("a question names the emptiest of the preferred workers first", (t) => {
  const fleet = fleetOf(
    [SLOW, AVERAGE, AVERAGE, FAST],
    (index) => [0, 1_000, 0, 2_000][index]!,
  );
  const step = stepOf({});
  const context = within(700, fleet);
  const asked = orderForAdvice(
    step,
    workersWithCapacity(step, context),
    context,
  );
  t.deepEqual(ids(asked), ["w2", "w1", "w3", "w0"]);
});

// Guards against work that has no end being spread by its expected end.
test("tasks that last keep the former order", (t) => {
  const fleet = fleetOf([SLOW, AVERAGE, FAST]);
  const step = stepOf({ longRunning: true });
  const context = within(100, fleet);
  t.deepEqual(ids(workersWithCapacity(step, context)), ["w0", "w1", "w2"]);
});

test("room that is kept for others does not count for a gang's choice", (t) => {
  const fleet = fleetOf([AVERAGE, AVERAGE, SLOW]);
  const held = new Claims();
  held.add(new Map([["w0", fleet.workers.get("w0")!.entry!.capacity]]));
  const gang = stepOf({ gang: true, tasks: 8 });
  const context = { ...within(700, fleet, { queue: DEFERRABLE }), held };
  const { places } = findPlaces(gang, context);
  t.is(places.length, waitingTasks(gang).length);
  t.deepEqual(distinct(places.map(({ worker }) => worker.id)), ["w1", "w2"]);
});

test("urgent work leaves cold workers of a restored zone to work with time to spare", (t) => {
  const fleet = fleetOf([AVERAGE, AVERAGE]);
  const cold = fleet.workers.get("w0")!;
  cold.entry = { ...cold.entry!, coldLeftMs: 4_000 };
  const step = stepOf({});
  t.deepEqual(placed(step, fleet, { leftMs: 700, queue: URGENT }), ["w1"]);
  t.deepEqual(
    placed(step, fleet, { leftMs: 5_000, queue: DEFERRABLE }),
    ["w0"],
  );
  cold.entry = { ...cold.entry, coldLeftMs: 0 };
  t.deepEqual(
    ids(workersWithCapacity(step, within(700, fleet))),
    formerOrder(fleet),
  );
});
