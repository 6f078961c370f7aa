import test from "ava";
import { testQueue } from "../_fixtures_test.ts";
import { Fleet } from "../fleet.ts";
import { noteTicket, type StepRun } from "../job.ts";
import type { Queue } from "../types.ts";
import {
  contextFor,
  LARGE_FLEET,
  largeFleet,
  openWorker,
  SLOW_QUEUE,
  stepOf,
} from "./_fixtures_test.ts";
import { planQuestions } from "./questions.ts";

const QUEUE = testQueue({
  advice: { baseMs: 500, perWorkerMs: 20, ticketMs: 1_500 },
});

function gangOf(tasks: number): StepRun {
  return stepOf({ gang: true, tasks }, { queue: QUEUE });
}

/** Workers of four cores; so many of each are taken. */
function fleetOf(taken: readonly number[]): Fleet {
  const fleet = new Fleet();
  for (const [index, cores] of taken.entries()) {
    const worker = openWorker(fleet, `w${index}`);
    worker.used = { cpuMillis: 1_000 * cores, memoryMib: 0, accelerators: 0 };
  }
  return fleet;
}

/** The workers that the questions about a step name. */
function questionsOf(
  step: StepRun,
  fleet: Fleet,
  { queue = QUEUE, goodShare = 0.5, lanes = 1, nowMs = 0 }: {
    readonly queue?: Queue;
    readonly goodShare?: number;
    readonly lanes?: number;
    readonly nowMs?: number;
  } = {},
): readonly (readonly string[])[] {
  const search = contextFor(fleet, queue, { nowMs });
  const context = { ...search, busy: true, goodShare, lanes };
  return planQuestions(step, context)
    .map((workers) => workers.map(({ id }) => id));
}

function askedOf(
  step: StepRun,
  fleet: Fleet,
  goodShare: number,
): readonly string[] {
  return questionsOf(step, fleet, { goodShare }).flat();
}

/** A gang of the large deployment. */
function largeGang(tasks: number): StepRun {
  const amounts = { cpuMillis: 18_000, memoryMib: 37_000, accelerators: 0 };
  return stepOf({ gang: true, tasks, amounts }, { queue: SLOW_QUEUE });
}

test("a gang that finds no room asks about full workers too, the emptiest first", (t) => {
  const asked = askedOf(gangOf(4), fleetOf([4, 3, 4, 4, 3, 4]), 0.5);
  t.deepEqual(asked, ["w1", "w4", "w0", "w2", "w3", "w5"]);
});

test("a gang that knows enough good workers waits for room", (t) => {
  const gang = gangOf(2);
  for (const id of ["w0", "w1"]) gang.advice.verdicts.set(id, true);
  t.deepEqual(askedOf(gang, fleetOf([4, 4, 4, 4]), 0.5), []);
});

test("tickets are asked for on as many good workers as are needed and a few more", (t) => {
  const gang = gangOf(4);
  const fleet = fleetOf(Array.from({ length: 30 }, () => 3));
  for (const id of fleet.workers.keys()) gang.advice.verdicts.set(id, true);
  t.is(askedOf(gang, fleet, 0.5).length, 7);
});

test("workers that may not run a step are not asked about again", (t) => {
  const gang = gangOf(2);
  for (const id of ["w0", "w1"]) gang.advice.verdicts.set(id, false);
  t.deepEqual(askedOf(gang, fleetOf([0, 0, 0]), 0.5), ["w2"]);
});

test("a gang in a full fleet asks about many workers at once, each of them once", (t) => {
  const fleet = largeFleet(() => 40_000);
  const options = { queue: SLOW_QUEUE, goodShare: 0.25, lanes: 53 };
  const questions = questionsOf(largeGang(60), fleet, options);
  const asked = questions.flat();
  t.true(questions.length > 1);
  t.true(questions.every((workers) => workers.length <= 100));
  t.is(new Set(asked).size, asked.length);
  t.true(asked.length > LARGE_FLEET / 2, String(asked.length));
});

test("the questions of one gang leave lanes to the others", (t) => {
  const fleet = largeFleet(() => 40_000);
  for (const lanes of [1, 2, 5, 9]) {
    const options = { queue: SLOW_QUEUE, goodShare: 0.05, lanes };
    const { length } = questionsOf(largeGang(120), fleet, options);
    t.true(length >= 1 && length <= Math.max(1, lanes / 2), `${lanes} lanes`);
  }
  const none = { queue: SLOW_QUEUE, lanes: 0 };
  t.deepEqual(questionsOf(largeGang(120), fleet, none), []);
});

test("a worker whose ticket lasts until the answer is not asked about", (t) => {
  const fleet = largeFleet(() => 0);
  const gang = largeGang(6);
  noteTicket(gang, "w0", { ticket: "lasting", atMs: 1_000 });
  noteTicket(gang, "w1", { ticket: "ending", atMs: 200 });
  for (const id of ["w0", "w1"]) gang.advice.verdicts.set(id, true);
  const asked = questionsOf(gang, fleet, { queue: SLOW_QUEUE, nowMs: 1_100 })
    .flat();
  t.false(asked.includes("w0"));
  t.true(asked.includes("w1"));
});
