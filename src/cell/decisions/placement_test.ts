import test from "ava";
import { testQueue } from "../_fixtures_test.ts";
import { Fleet, freeCapacityOf } from "../fleet.ts";
import { addTicket, type StepRun } from "../job.ts";
import { newRun } from "../run.ts";
import type { Queue } from "../types.ts";
import type { WorkerProcess } from "../verdicts.ts";
import {
  contextFor,
  largeFleet,
  openWorker,
  SLOW_QUEUE,
  stepOf,
} from "./_fixtures_test.ts";
import { findPlacements } from "./placement.ts";
import { CapacityIndex, ReservedTotals, waitingTasks } from "./capacity.ts";

const PLAIN = testQueue();
/**
 * Task sizes of the large deployment, used in turn, thousandths of processors.
 */
const TASK_MILLIS = [18_000, 11_000, 16_000, 24_000, 7_000];

function place(step: StepRun, fleet: Fleet, queue: Queue): number {
  const { placements } = findPlacements(step, contextFor(fleet, queue));
  for (const { task, worker } of placements) {
    task.phase = "assigned";
    fleet.addRun(newRun(step, { task, worker, nowMs: 0 }));
  }
  return placements.length;
}

/** A worker of the fleets of this file, which have had no report yet. */
function processOf(id: string): WorkerProcess {
  return { id, processStartMs: undefined };
}

function stepOfMillis(cpuMillis: number, tasks: number): StepRun {
  const amounts = { cpuMillis, memoryMib: 1, accelerators: 0 };
  return stepOf({ tasks, amounts });
}

test("a fleet fills up until nothing fits, with no worker over its capacity", (t) => {
  const fleet = largeFleet(() => 0);
  const steps = Array.from(
    { length: 300 },
    (_, index) => stepOfMillis(TASK_MILLIS[index % TASK_MILLIS.length]!, 10),
  );
  for (const step of steps) place(step, fleet, PLAIN);
  const free = [...fleet.workers.values()].map((worker) =>
    freeCapacityOf(worker).cpuMillis
  );
  t.true(free.every((millis) => millis >= 0));
  const waiting = steps.filter((step) => waitingTasks(step).length > 0);
  t.true(waiting.length > 0);
  const smallest = Math.min(
    ...waiting.map(({ spec }) => spec.amounts.cpuMillis),
  );
  t.true(free.every((millis) => millis < smallest));
});

test("small tasks are placed on the fullest workers, so that empty workers stay empty", (t) => {
  const fleet = largeFleet((index) => index < 100 ? 50_000 : 0);
  place(stepOfMillis(11_000, 100), fleet, PLAIN);
  const empty = [...fleet.workers.values()]
    .filter(({ used }) => used.cpuMillis === 0);
  t.is(empty.length, 280);
});

test("a step that needs advice is placed only with fresh tickets", (t) => {
  const fleet = largeFleet(() => 0);
  const step = stepOf({ tasks: 2 }, { queue: SLOW_QUEUE });
  const at = (nowMs: number) =>
    findPlacements(step, contextFor(fleet, SLOW_QUEUE, { nowMs }));
  t.is(at(0).reason, "noAdvice");
  addTicket(step, processOf("w7"), { ticket: "old", atMs: 0 });
  addTicket(step, processOf("w9"), { ticket: "new", atMs: 1_000 });
  const { placements } = at(1_600);
  t.deepEqual(
    placements.map(({ worker, ticket }) => [worker.id, ticket]),
    [["w9", "new"], ["w9", "new"]],
  );
  t.is(at(3_000).reason, "noAdvice");
});

test("a step is not placed with a ticket of a worker's former process", (t) => {
  const fleet = largeFleet(() => 0);
  const step = stepOf({}, { queue: SLOW_QUEUE });
  fleet.workers.get("w7")!.processStartMs = 2;
  const place = () =>
    findPlacements(step, contextFor(fleet, SLOW_QUEUE)).placements
      .map(({ worker, ticket }) => [worker.id, ticket]);
  const former = { id: "w7", processStartMs: 1 };
  addTicket(step, former, { ticket: "former", atMs: 100 });
  t.deepEqual(place(), []);
  const current = { id: "w7", processStartMs: 2 };
  addTicket(step, current, { ticket: "current", atMs: 50 });
  t.deepEqual(place(), [["w7", "current"]]);
});

test("placing a step without a fresh ticket reads no worker", (t) => {
  const fleet = largeFleet(() => 0);
  const step = stepOf({}, { queue: SLOW_QUEUE });
  for (const id of fleet.workers.keys()) {
    addTicket(step, processOf(id), { ticket: "old", atMs: 0 });
  }
  let reads = 0;
  const { get } = fleet.workers;
  fleet.workers.get = (id) => {
    reads++;
    return get.call(fleet.workers, id);
  };
  const context = contextFor(fleet, SLOW_QUEUE, { nowMs: 5_000 });
  t.is(findPlacements(step, context).reason, "noAdvice");
  t.is(reads, 0);
});

test("a gang is placed as a whole or not at all", (t) => {
  const fleet = new Fleet();
  openWorker(fleet, "w1");
  const gang = stepOf({ gang: true, tasks: 5 });
  const { placements, reason } = findPlacements(
    gang,
    contextFor(fleet, PLAIN),
  );
  t.deepEqual([placements.length, reason], [0, "gangIncomplete"]);
  openWorker(fleet, "w2");
  t.is(findPlacements(gang, contextFor(fleet, PLAIN)).placements.length, 5);
});

test("a gang that needs a single rack is placed on one with enough capacity", (t) => {
  const fleet = new Fleet();
  for (const id of ["w1", "w2", "w3"]) {
    const rack = id === "w1" ? "rack-1" : "rack-2";
    openWorker(fleet, id, { labels: ["kind", rack] });
  }
  const gang = stepOf({ gang: true, sameRack: true, tasks: 6 });
  const { placements } = findPlacements(gang, contextFor(fleet, PLAIN));
  t.deepEqual(
    new Set(placements.map(({ worker }) => worker.id)),
    new Set(["w2", "w3"]),
  );
});

test("capacity reserved for other steps is not used", (t) => {
  const fleet = new Fleet();
  openWorker(fleet, "w1");
  openWorker(fleet, "w2");
  const reserved = new ReservedTotals();
  reserved.add(new Map([["w1", openWorker(fleet, "w1").entry!.capacity]]));
  const step = stepOf({ tasks: 5 });
  const context = contextFor(fleet, PLAIN, {
    reserved,
    index: new CapacityIndex(fleet, 0),
  });
  const ids = findPlacements(step, context).placements.map(({ worker }) =>
    worker.id
  );
  t.deepEqual(ids, ["w2", "w2", "w2", "w2"]);
});
