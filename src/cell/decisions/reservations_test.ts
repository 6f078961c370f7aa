import test from "ava";
import { ManualClock } from "../../clock.ts";
import { testEntry, testQueue } from "../_fixtures_test.ts";
import { Fleet, type FleetWorker } from "../fleet.ts";
import type { StepRun } from "../job.ts";
import { contextFor, openWorker, stepOf } from "./_fixtures_test.ts";
import { reservableFor, Reservations } from "./reservations.ts";
import { NOTHING_RESERVED, ReservedTotals } from "./capacity.ts";
import { newRun } from "../run.ts";
import type { StepSpec } from "../types.ts";

/** Processors of one worker of the fixtures, thousandths. */
const WORKER_MILLIS = 4_000;

function gangOf(tasks: number, cpuMillis: number): StepRun {
  const amounts = { cpuMillis, memoryMib: 1, accelerators: 0 };
  return stepOf({ gang: true, tasks, amounts });
}

/** Workers that each run one task with this many processors, thousandths. */
function workersUsing(
  millis: readonly number[],
  overrides: Partial<StepSpec> = {},
): readonly FleetWorker[] {
  const fleet = new Fleet();
  const clock = new ManualClock();
  return millis.map((cpuMillis, index) => {
    const worker = fleet.getOrCreate(`w${index}`);
    worker.entry = testEntry(worker.id);
    const amounts = { cpuMillis, memoryMib: 1, accelerators: 0 };
    const step = stepOf({ ...overrides, amounts });
    const nowMs = clock.monotonic();
    if (cpuMillis > 0) {
      fleet.addRun(newRun(step, { task: step.tasks[0]!, worker, nowMs }));
    }
    return worker;
  });
}

function totalsOf(cores: { readonly used: number; readonly all: number }) {
  const size = {
    cpuMillis: 1_000 * cores.all,
    usedMillis: 1_000 * cores.used,
  };
  return new Map([["copier", size]]);
}

function beginPass(cores: { readonly used: number; readonly all: number }) {
  const reservations = new Reservations();
  reservations.beginPass(totalsOf(cores));
  return reservations;
}

/** Options of a reservation for a gang at a position of the backlog. */
function optionsAt(position: number) {
  return {
    position,
    reserved: NOTHING_RESERVED,
    nowMs: 0,
    service: "copier",
  };
}

function reservedMillisOf(
  reservations: Reservations,
  step: StepRun,
): Record<string, number> {
  const reserved = [...reservations.of(step)];
  return Object.fromEntries(
    reserved.map(([id, amounts]) => [id, amounts.cpuMillis]),
  );
}

test("a gang reserves free capacity first, then capacity of the emptiest workers", (t) => {
  const workers = workersUsing([0, 3_000, 2_500]);
  const gang = gangOf(3, 2_000);
  const reservations = beginPass({ used: 60, all: 100 });
  t.true(
    reservations.reserve(gang, workers, optionsAt(0)),
  );
  t.deepEqual(reservedMillisOf(reservations, gang), { w0: 4_000, w2: 2_000 });
});

test("capacity in use is not reserved while half of the fleet is free", (t) => {
  const workers = workersUsing([0, 3_000]);
  const gang = gangOf(3, 2_000);
  const reservations = beginPass({ used: 40, all: 100 });
  t.false(
    reservations.reserve(gang, workers, optionsAt(0)),
  );
  t.deepEqual(reservedMillisOf(reservations, gang), {});
});

test("free capacity is reserved whatever the load", (t) => {
  const gang = gangOf(2, 2_000);
  const reservations = beginPass({ used: 40, all: 100 });
  t.true(
    reservations.reserve(gang, workersUsing([0]), optionsAt(0)),
  );
  t.deepEqual(reservedMillisOf(reservations, gang), { w0: WORKER_MILLIS });
});

test("capacity in use by long-running tasks is not reserved", (t) => {
  const workers = workersUsing([3_000], { longRunning: true });
  const gang = gangOf(1, 2_000);
  const reservations = beginPass({ used: 60, all: 100 });
  t.false(
    reservations.reserve(gang, workers, optionsAt(0)),
  );
});

test("the load of another service does not count", (t) => {
  const workers = workersUsing([0, 3_000]);
  const gang = gangOf(3, 2_000);
  const reservations = beginPass({ used: 60, all: 100 });
  const options = { ...optionsAt(0), service: "printer" };
  t.false(reservations.reserve(gang, workers, options));
});

test("at most a share of the fleet is reserved before it is free", (t) => {
  const workers = workersUsing([4_000, 4_000, 4_000]);
  const reservations = beginPass({ used: 12, all: 12 });
  const gangs = [gangOf(1, 3_000), gangOf(1, 3_000), gangOf(1, 3_000)];
  const reserved = gangs.map((gang, position) =>
    reservations.reserve(gang, workers, optionsAt(position))
  );
  t.deepEqual(reserved, [true, true, false]);
});

test("a step respects the reservations of gangs before it, not its own", (t) => {
  const workers = workersUsing([0, 0]);
  const reservations = beginPass({ used: 60, all: 100 });
  const [first, second] = [gangOf(1, 4_000), gangOf(1, 4_000)];
  reservations.reserve(first, workers, optionsAt(0));
  const reserved = new ReservedTotals();
  for (const byWorker of reservations.before(2, second)) reserved.add(byWorker);
  reservations.reserve(second, workers, { ...optionsAt(2), reserved });
  const workersBefore = (position: number, step: StepRun) =>
    reservations.before(position, step).flatMap((
      byWorker,
    ) => [...byWorker.keys()]);
  t.deepEqual(workersBefore(2, second), ["w0"]);
  t.deepEqual(workersBefore(3, stepOf({})), ["w0", "w1"]);
  t.deepEqual(workersBefore(0, first), []);
});

test("a gang keeps its reservation for a while", (t) => {
  const reservations = beginPass({ used: 60, all: 100 });
  const gang = gangOf(1, 4_000);
  const totals = totalsOf({ used: 60, all: 100 });
  reservations.reserve(gang, workersUsing([0]), {
    ...optionsAt(0),
    nowMs: 1_000,
  });
  reservations.beginPass(totals);
  t.true(reservations.renew(gang, 3, { service: "copier", nowMs: 1_050 }));
  t.deepEqual(reservedMillisOf(reservations, gang), { w0: WORKER_MILLIS });
  reservations.beginPass(totals);
  t.false(reservations.renew(gang, 3, { service: "copier", nowMs: 1_200 }));
  t.deepEqual(reservedMillisOf(reservations, gang), {});
});

/** Ids of the workers on which a gang that prefers a single rack can reserve. */
function reservableOf(
  gang: StepRun,
  racks: Readonly<Record<string, string>>,
): readonly string[] {
  const fleet = new Fleet();
  for (const [id, rack] of Object.entries(racks)) {
    openWorker(fleet, id, { labels: ["kind", rack] });
  }
  return reservableFor(gang, contextFor(fleet, testQueue()))
    .map(({ id }) => id);
}

test("a gang that prefers a single rack reserves on one that can hold it", (t) => {
  const racks = { w1: "r1", w2: "r2", w3: "r2" };
  const gang = stepOf({ gang: true, sameRack: true, tasks: 8 });
  t.deepEqual(reservableOf(gang, racks), ["w2", "w3"]);
});

test("a gang that no single rack can hold reserves on several", (t) => {
  const racks = { w1: "r1", w2: "r2", w3: "r2" };
  const gang = stepOf({ gang: true, sameRack: true, tasks: 10 });
  t.deepEqual(reservableOf(gang, racks), ["w1", "w2", "w3"]);
});
