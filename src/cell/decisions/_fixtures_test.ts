/**
 * Fleets and steps for tests of decisions.
 *
 * @module
 */
import { testEntry, testQueue, testStep } from "../_fixtures_test.ts";
import { Fleet, type FleetWorker } from "../fleet.ts";
import { newJob, openOccurrence, type StepRun } from "../job.ts";
import type { Amounts, Queue, StepSpec, WorkerEntry } from "../types.ts";
import type { SearchContext } from "./suitable_workers.ts";
import { NOTHING_KEPT, RoomIndex } from "./room.ts";
import { RunTimes } from "./run_times.ts";

/** Workers of the large deployment. */
export const LARGE_FLEET = 380;
/** Capacity of one of them. */
export const LARGE_WORKER: Amounts = {
  cpuMillis: 64_000,
  memoryMib: 262_144,
  accelerators: 0,
};

/** A queue of the large deployment whose gangs need slow advice. */
export const SLOW_QUEUE: Queue = testQueue({
  name: "billing",
  priority: 1,
  stretch: 2.2,
  objectiveMs: 1_000,
  advice: { baseMs: 857, perWorkerMs: 8.6, ticketMs: 1_500 },
});

/** The only step of a new job. */
export function stepOf(
  change: Partial<StepSpec>,
  { id = "00000000000000aa", queue = testQueue(), owed = true, atMs = 0 } = {},
): StepRun {
  const job = newJob({
    id,
    queue: queue.name,
    policy: queue,
    team: "",
    spec: { payload: "", steps: [testStep(change)] },
    acceptedMs: atMs,
    owed,
  });
  return openOccurrence(job, 0)[0]!;
}

/** A worker that takes work. */
export function openWorker(
  fleet: Fleet,
  id: string,
  change: Partial<WorkerEntry> = {},
): FleetWorker {
  const worker = fleet.open(id);
  worker.entry = testEntry(id, change);
  worker.listed = true;
  worker.reachable = true;
  worker.clockOffsetMs = 0;
  return worker;
}

/** Workers of the large deployment; `usedMillis` of each processors are taken. */
export function largeFleet(usedMillis: (index: number) => number): Fleet {
  const fleet = new Fleet();
  for (let index = 0; index < LARGE_FLEET; index++) {
    const worker = openWorker(fleet, `w${index}`, { capacity: LARGE_WORKER });
    const cpuMillis = usedMillis(index);
    worker.used = { cpuMillis, memoryMib: 0, accelerators: 0 };
  }
  return fleet;
}

/** A search in which nothing is kept for others. */
export function contextFor(
  fleet: Fleet,
  queue: Queue,
  change: Partial<SearchContext> = {},
): SearchContext {
  return {
    fleet,
    index: new RoomIndex(fleet, 0),
    queue,
    team: undefined,
    nowMs: 0,
    held: NOTHING_KEPT,
    runTimes: new RunTimes(),
    timeOf: () => ({ remainingMs: 1_000, worthless: false }),
    ...change,
  };
}
