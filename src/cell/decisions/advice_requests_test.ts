import test from "ava";
import { testQueue } from "../_fixtures_test.ts";
import { Fleet } from "../fleet.ts";
import { addTicket, type StepRun } from "../job.ts";
import type { Queue } from "../types.ts";
import type { WorkerProcess } from "../verdicts.ts";
import {
  contextFor,
  LARGE_FLEET,
  largeFleet,
  openWorker,
  SLOW_QUEUE,
  stepOf,
} from "./_fixtures_test.ts";
import { planAdviceRequests } from "./advice_requests.ts";

const QUEUE = testQueue({
  advice: { baseMs: 500, perWorkerMs: 20, ticketMs: 1_500 },
});

function gangOf(tasks: number): StepRun {
  return stepOf({ gang: true, tasks }, { queue: QUEUE });
}

/** Workers with four cores each. `usedCores`: cores in use on each. */
function fleetOf(usedCores: readonly number[]): Fleet {
  const fleet = new Fleet();
  for (const [index, cores] of usedCores.entries()) {
    const worker = openWorker(fleet, `w${index}`);
    worker.used = { cpuMillis: 1_000 * cores, memoryMib: 0, accelerators: 0 };
  }
  return fleet;
}

/** A worker of the fleets of this file, which have had no report yet. */
function processOf(id: string): WorkerProcess {
  return { id, processStartMs: undefined };
}

function recordVerdict(step: StepRun, id: string, good: boolean): void {
  step.advice.verdicts.record(processOf(id), good);
}

function isGood({ advice }: StepRun, id: string): boolean {
  return advice.verdicts.on(processOf(id)) === true;
}

/** The worker ids that each advice request about a step names. */
function requestsOf(
  step: StepRun,
  fleet: Fleet,
  {
    queue = QUEUE,
    goodShare = 0.5,
    freeChannels = 1,
    nowMs = 0,
    mayReserve = true,
  }: {
    readonly queue?: Queue;
    readonly goodShare?: number;
    readonly freeChannels?: number;
    readonly nowMs?: number;
    readonly mayReserve?: boolean;
  } = {},
): readonly (readonly string[])[] {
  const search = contextFor(fleet, queue, { nowMs });
  const context = {
    ...search,
    mayReserve,
    goodShare,
    freeChannels,
  };
  return planAdviceRequests(step, context)
    .map((workers) => workers.map(({ id }) => id));
}

function workersAskedAbout(
  step: StepRun,
  fleet: Fleet,
  goodShare: number,
): readonly string[] {
  return requestsOf(step, fleet, { goodShare }).flat();
}

/** A gang of the large deployment. */
function largeGang(tasks: number): StepRun {
  const amounts = { cpuMillis: 18_000, memoryMib: 37_000, accelerators: 0 };
  return stepOf({ gang: true, tasks, amounts }, { queue: SLOW_QUEUE });
}

test("a gang without enough free capacity asks about full workers too, the emptiest first", (t) => {
  const named = workersAskedAbout(gangOf(4), fleetOf([4, 3, 4, 4, 3, 4]), 0.5);
  t.deepEqual(named, ["w1", "w4", "w0", "w2", "w3", "w5"]);
});

test("a gang with enough positive verdicts asks about no more workers", (t) => {
  const gang = gangOf(2);
  const fleet = fleetOf(Array.from({ length: 14 }, () => 4));
  for (const id of [...fleet.workers.keys()].slice(0, 12)) {
    recordVerdict(gang, id, true);
  }
  t.deepEqual(workersAskedAbout(gang, fleet, 0.5), []);
});

test("a gang that knows few workers of a nearly full fleet asks about more", (t) => {
  const gang = gangOf(2);
  for (const id of ["w0", "w1"]) recordVerdict(gang, id, true);
  const named = workersAskedAbout(gang, fleetOf([4, 4, 4, 4]), 0.5);
  t.deepEqual(named, ["w2", "w3"]);
});

/** A gang of five that knows eight busy workers; the idle ones are unsuitable. */
function gangWithBusyWorkers(): { gang: StepRun; usedCores: number[] } {
  const gang = gangOf(5);
  for (let index = 0; index < 8; index++) {
    recordVerdict(gang, `w${index}`, true);
  }
  for (let index = 8; index < 12; index++) {
    recordVerdict(gang, `w${index}`, false);
  }
  return { gang, usedCores: [3, 3, 3, 4, 4, 4, 4, 4, 0, 0, 0, 0] };
}

test("a gang asks ahead for tickets once most of its capacity is free", (t) => {
  const { gang, usedCores } = gangWithBusyWorkers();
  const named = workersAskedAbout(gang, fleetOf(usedCores), 0.5);
  t.deepEqual(named.slice(0, 3).sort(), ["w0", "w1", "w2"]);
  t.true(named.length > 3);
  t.true(named.every((id) => isGood(gang, id)));
});

test("a gang does not ask again while its tickets stay usable", (t) => {
  const { gang, usedCores } = gangWithBusyWorkers();
  for (let index = 0; index < 8; index++) {
    addTicket(gang, processOf(`w${index}`), { ticket: `t${index}`, atMs: 0 });
  }
  t.deepEqual(workersAskedAbout(gang, fleetOf(usedCores), 0.5), []);
});

test("a gang that asks ahead about busy workers asks about idle ones that may be enough", (t) => {
  const { gang, usedCores } = gangWithBusyWorkers();
  const idle = ["w12", "w13"];
  const fleet = fleetOf([...usedCores, 0, 0]);
  const named = workersAskedAbout(gang, fleet, 0.5);
  t.deepEqual([...named.slice(0, 2)].sort(), idle);
  t.true(named.length > 2);
  for (let index = 0; index < 8; index++) {
    addTicket(gang, processOf(`w${index}`), { ticket: `t${index}`, atMs: 0 });
  }
  t.deepEqual([...workersAskedAbout(gang, fleet, 0.5)].sort(), idle);
});

test("tickets are requested for as many good workers as needed and a few more", (t) => {
  const gang = gangOf(4);
  const fleet = fleetOf(Array.from({ length: 30 }, () => 3));
  for (const id of fleet.workers.keys()) recordVerdict(gang, id, true);
  t.is(workersAskedAbout(gang, fleet, 0.5).length, 7);
});

test("workers with a negative verdict are not asked about again", (t) => {
  const gang = gangOf(2);
  for (const id of ["w0", "w1"]) recordVerdict(gang, id, false);
  t.deepEqual(workersAskedAbout(gang, fleetOf([0, 0, 0]), 0.5), ["w2"]);
});

test("a gang in a full fleet asks about many workers at once, each of them once", (t) => {
  const fleet = largeFleet(() => 40_000);
  const options = { queue: SLOW_QUEUE, goodShare: 0.25, freeChannels: 53 };
  const requests = requestsOf(largeGang(60), fleet, options);
  const named = requests.flat();
  t.true(requests.length > 1);
  t.true(requests.every((workers) => workers.length <= 100));
  t.is(new Set(named).size, named.length);
  t.true(named.length > LARGE_FLEET / 2, String(named.length));
});

test("the requests of one gang leave channels to others", (t) => {
  const fleet = largeFleet(() => 40_000);
  for (const freeChannels of [1, 2, 5, 9]) {
    const options = { queue: SLOW_QUEUE, goodShare: 0.05, freeChannels };
    const { length } = requestsOf(largeGang(120), fleet, options);
    t.true(
      length >= 1 && length <= Math.max(1, freeChannels / 2),
      `${freeChannels} channels`,
    );
  }
  const none = { queue: SLOW_QUEUE, freeChannels: 0 };
  t.deepEqual(requestsOf(largeGang(120), fleet, none), []);
});

test("a worker whose ticket stays usable until the response is not asked about", (t) => {
  const fleet = largeFleet(() => 0);
  const gang = largeGang(6);
  addTicket(gang, processOf("w0"), { ticket: "lasting", atMs: 1_000 });
  addTicket(gang, processOf("w1"), { ticket: "ending", atMs: 200 });
  for (const id of ["w0", "w1"]) recordVerdict(gang, id, true);
  const named = requestsOf(gang, fleet, { queue: SLOW_QUEUE, nowMs: 1_100 })
    .flat();
  t.false(named.includes("w0"));
  t.true(named.includes("w1"));
});

test("a low estimate of the good share does not keep a gang from asking about idle workers", (t) => {
  const gang = gangOf(8);
  for (const id of ["w0", "w1", "w2"]) recordVerdict(gang, id, false);
  const fleet = fleetOf([0, 0, 0, 0, 0]);
  const options = { goodShare: 0.05, mayReserve: false };
  t.deepEqual(requestsOf(gang, fleet, options).flat().sort(), ["w3", "w4"]);
});

test("a gang that knows enough busy workers asks about idle ones that may be enough", (t) => {
  const gang = gangOf(8);
  const usedCores = Array.from({ length: 43 }, (_, i) => i < 40 ? 4 : 0);
  const fleet = fleetOf(usedCores);
  const ids = [...fleet.workers.keys()];
  for (const id of ids.slice(0, 40)) recordVerdict(gang, id, true);
  const named = workersAskedAbout(gang, fleet, 0.25);
  t.deepEqual([...named].sort(), ids.slice(40));
});

test("a gang does not ask about workers that together lack capacity for it", (t) => {
  const gang = gangOf(9);
  for (const id of ["w0", "w1", "w2"]) recordVerdict(gang, id, false);
  const fleet = fleetOf([0, 0, 0, 0, 0]);
  const options = { goodShare: 1, mayReserve: false };
  t.deepEqual(requestsOf(gang, fleet, options), []);
});

test("a wide gang asks about unknown workers before more than one request of known ones", (t) => {
  const gang = stepOf({ gang: true, tasks: 130, maxPerWorker: 1 }, {
    queue: QUEUE,
  });
  const fleet = fleetOf(Array.from({ length: 160 }, () => 0));
  const ids = [...fleet.workers.keys()];
  for (const id of ids.slice(0, 110)) recordVerdict(gang, id, true);
  const [named] = requestsOf(gang, fleet, { mayReserve: false });
  t.true(ids.slice(110).every((id) => named!.includes(id)));
});

test("a step that is not a gang asks for tickets of known workers before it asks about unknown ones", (t) => {
  const step = stepOf({ tasks: 300 }, { queue: QUEUE });
  const fleet = fleetOf(Array.from({ length: 160 }, () => 0));
  const ids = [...fleet.workers.keys()];
  const known = ids.slice(0, 4);
  for (const id of known) recordVerdict(step, id, true);
  const [named] = requestsOf(step, fleet, { goodShare: 0.25 });
  t.true(known.every((id) => named!.includes(id)));
  t.true(named!.length > known.length);
});
