import test from "ava";
import { testEntry, testQueue, testStep } from "../_fixtures_test.ts";
import { Fleet } from "../fleet.ts";
import { newJob, openOccurrence, type StepRun } from "../job.ts";
import { type ChoiceContext, planQuestions } from "./questions.ts";
import { NOTHING_KEPT, RoomIndex } from "./room.ts";

const QUEUE = testQueue({
  advice: { baseMs: 500, perWorkerMs: 20, ticketMs: 1_500 },
});

function gangOf(tasks: number): StepRun {
  const job = newJob({
    id: "00000000000000aa",
    queue: QUEUE.name,
    policy: QUEUE,
    team: "",
    spec: { payload: "", steps: [testStep({ gang: true, tasks })] },
    acceptedMs: 0,
    owed: true,
  });
  return openOccurrence(job, 0)[0]!;
}

/** Workers of four cores; so many of each are taken. */
function fleetOf(taken: readonly number[]): Fleet {
  const fleet = new Fleet();
  for (const [index, cores] of taken.entries()) {
    const worker = fleet.open(`w${index}`);
    worker.entry = testEntry(worker.id);
    worker.listed = true;
    worker.reachable = true;
    worker.clockOffsetMs = 0;
    worker.used = { cpuMillis: 1_000 * cores, memoryMib: 0, accelerators: 0 };
  }
  return fleet;
}

function askedOf(
  step: StepRun,
  fleet: Fleet,
  goodShare: number,
): readonly string[] {
  const context: ChoiceContext = {
    fleet,
    index: new RoomIndex(fleet, 0),
    queue: QUEUE,
    team: undefined,
    nowMs: 0,
    held: NOTHING_KEPT,
    wanted: NOTHING_KEPT,
    busy: true,
    goodShare,
    lanes: 1,
  };
  return planQuestions(step, context).flat().map(({ id }) => id);
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
