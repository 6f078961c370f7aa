/**
 * Fleets and steps for the tests of the decision modules.
 *
 * @module
 */
import { testEntry, testQueue, testStep } from "../_fixtures_test.ts";
import { Fleet, type FleetWorker } from "../fleet.ts";
import { newJob, openOccurrence, type StepRun } from "../job.ts";
import type { Amounts, Queue, StepSpec, WorkerEntry } from "../types.ts";
import type { SearchContext } from "./suitable_workers.ts";
import { CapacityIndex, NOTHING_RESERVED } from "./capacity.ts";
import { RunTimes } from "./run_times.ts";

/** Number of workers of the large deployment. */
export const LARGE_FLEET = 380;
/** Capacity of one worker of the large deployment. */
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
  overrides: Partial<StepSpec>,
  { id = "00000000000000aa", queue = testQueue(), owed = true, atMs = 0 } = {},
): StepRun {
  const job = newJob({
    id,
    queue: queue.name,
    policy: queue,
    team: "",
    spec: { payload: "", steps: [testStep(overrides)] },
    acceptedMs: atMs,
    owed,
  });
  return openOccurrence(job, 0)[0]!;
}

/** A schedulable worker. */
export function openWorker(
  fleet: Fleet,
  id: string,
  overrides: Partial<WorkerEntry> = {},
): FleetWorker {
  const worker = fleet.getOrCreate(id);
  worker.entry = testEntry(id, overrides);
  worker.listed = true;
  worker.reachable = true;
  worker.clockOffsetMs = 0;
  return worker;
}

/**
 * Workers of the large deployment. `usedMillis`: processors in use on each,
 * thousandths.
 */
export function largeFleet(usedMillis: (index: number) => number): Fleet {
  const fleet = new Fleet();
  for (let index = 0; index < LARGE_FLEET; index++) {
    const worker = openWorker(fleet, `w${index}`, { capacity: LARGE_WORKER });
    const cpuMillis = usedMillis(index);
    worker.used = { cpuMillis, memoryMib: 0, accelerators: 0 };
  }
  return fleet;
}

/** Input of a search in which no capacity is reserved for other steps. */
export function contextFor(
  fleet: Fleet,
  queue: Queue,
  overrides: Partial<SearchContext> = {},
): SearchContext {
  return {
    fleet,
    index: new CapacityIndex(fleet, 0),
    queue,
    team: undefined,
    nowMs: 0,
    reserved: NOTHING_RESERVED,
    runTimes: new RunTimes(),
    timeBudget: () => ({ remainingMs: 1_000, worthless: false }),
    ...overrides,
  };
}
