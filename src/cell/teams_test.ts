import test from "ava";
import { Harness, testQueue, testStep } from "./_fixtures_test.ts";
import type { Cell } from "./cell.ts";
import type { ClusterSet, StepSpec } from "./types.ts";

/** Cores that the team may use. The workers have more. */
const LIMIT = 8;

function limitedHarness(): Harness {
  const harness = new Harness();
  for (const id of ["a", "b", "c", "d"]) harness.addWorker(id);
  harness.set = {
    ...harness.set,
    queues: [
      testQueue({ name: "urgent" }),
      testQueue({ name: "batch", priority: 2, objectiveMs: 60_000 }),
    ],
    teams: [{
      name: "team",
      keys: [],
      weight: 0,
      limit: { cpuMillis: LIMIT * 1_000, memoryMib: 0, accelerators: 0 },
    }],
  };
  return harness;
}

interface Submitted {
  readonly id: string;
  readonly queue: string;
  readonly step: StepSpec;
}

async function send(
  harness: Harness,
  cell: Cell,
  sent: Submitted,
): Promise<void> {
  const { id, queue, step } = sent;
  const spec = { payload: "text", steps: [step] };
  const outcome = cell.submit({ id, queue, team: "team", spec });
  await harness.clock.run(300);
  await outcome;
}

function runningOf(harness: Harness, job: string): number {
  return [...harness.workerClient.workers.values()]
    .flatMap((worker) => [...worker.running.keys()])
    .filter((task) => task.startsWith(`${job}.`)).length;
}

const URGENT: Submitted = {
  id: "0a",
  queue: "urgent",
  step: testStep({ tasks: 3 }),
};
const BATCH: Submitted = {
  id: "0b",
  queue: "batch",
  step: testStep({ tasks: 12 }),
};

test("an urgent step does not wait at its team's limit behind deferrable work", async (t) => {
  const harness = limitedHarness();
  const cell = await harness.open();
  await send(harness, cell, URGENT);
  t.is(runningOf(harness, "0a"), 3);
  for (const worker of harness.workerClient.workers.values()) {
    for (const task of [...worker.running.keys()]) worker.end(task, "done");
  }
  await harness.clock.run(300);
  await send(harness, cell, BATCH);
  t.is(runningOf(harness, "0b"), LIMIT - 3);
  await send(harness, cell, { ...URGENT, id: "0c" });
  t.is(runningOf(harness, "0c"), 3);
  cell.close();
});

test("deferrable work fills the limit of a team without urgent work", async (t) => {
  const harness = limitedHarness();
  const cell = await harness.open();
  await send(harness, cell, BATCH);
  t.is(runningOf(harness, "0b"), LIMIT);
  cell.close();
});

// Guards against a new leader that has the jobs but not the operators' set yet,
// and takes a team whose limit it does not know for one without a limit.
test("a new leader starts nothing before it has an operators' set", async (t) => {
  const harness = limitedHarness();
  const first = await harness.open();
  await send(harness, first, BATCH);
  t.is(runningOf(harness, BATCH.id), LIMIT);
  first.close();
  let set = undefined as ClusterSet | undefined;
  const second = await harness.open({ set: () => set });
  await harness.clock.run(2_000);
  t.is(runningOf(harness, BATCH.id), LIMIT);
  set = {
    ...harness.set,
    teams: harness.set.teams.map((team) => ({
      ...team,
      limit: { ...team.limit, cpuMillis: 12_000 },
    })),
  };
  await harness.clock.run(2_000);
  t.is(runningOf(harness, BATCH.id), 12);
  second.close();
});
