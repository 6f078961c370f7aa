import test from "ava";
import { testQueue, testStep, World } from "./_fixtures_test.ts";
import type { Cell } from "./cell.ts";
import type { StepSpec } from "./types.ts";

/** Cores that the team may use; the workers have more. */
const LIMIT = 8;

function limitedWorld(): World {
  const world = new World();
  for (const id of ["a", "b", "c", "d"]) world.addWorker(id);
  world.set = {
    ...world.set,
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
  return world;
}

interface Sent {
  readonly id: string;
  readonly queue: string;
  readonly step: StepSpec;
}

async function send(world: World, cell: Cell, sent: Sent): Promise<void> {
  const { id, queue, step } = sent;
  const spec = { payload: "text", steps: [step] };
  const outcome = cell.submit({ id, queue, team: "team", spec });
  await world.clock.run(300);
  await outcome;
}

function runningOf(world: World, job: string): number {
  return [...world.orders.workers.values()]
    .flatMap((worker) => [...worker.running.keys()])
    .filter((task) => task.startsWith(`${job}.`)).length;
}

const URGENT: Sent = {
  id: "0a",
  queue: "urgent",
  step: testStep({ tasks: 3 }),
};
const BATCH: Sent = { id: "0b", queue: "batch", step: testStep({ tasks: 12 }) };

test("an urgent step does not wait at its team's limit behind deferrable work", async (t) => {
  const world = limitedWorld();
  const cell = await world.open();
  await send(world, cell, URGENT);
  t.is(runningOf(world, "0a"), 3);
  for (const worker of world.orders.workers.values()) {
    for (const task of [...worker.running.keys()]) worker.end(task, "done");
  }
  await world.clock.run(300);
  await send(world, cell, BATCH);
  t.is(runningOf(world, "0b"), LIMIT - 3);
  await send(world, cell, { ...URGENT, id: "0c" });
  t.is(runningOf(world, "0c"), 3);
  cell.close();
});

test("deferrable work fills the limit of a team without urgent work", async (t) => {
  const world = limitedWorld();
  const cell = await world.open();
  await send(world, cell, BATCH);
  t.is(runningOf(world, "0b"), LIMIT);
  cell.close();
});
