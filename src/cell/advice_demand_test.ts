import test from "ava";
import { Harness, testQueue, testStep } from "./_fixtures_test.ts";
import { SimulatedAdvice } from "./_simulated_advice_test.ts";
import type { Cell } from "./cell.ts";

const QUICK = { baseMs: 10, perWorkerMs: 0.2, ticketMs: 1_500 };
const SLOW = { baseMs: 857, perWorkerMs: 8.6, ticketMs: 1_500 };
const FIRST_URGENT = 100;
const URGENT_JOBS = 200;
/** Time between two urgent submissions, milliseconds. */
const URGENT_INTERVAL_MS = 50;
/** Longest time until an urgent job runs, milliseconds. */
const MAX_URGENT_WAIT_MS = 200;

function jobId(number: number): string {
  return number.toString(16).padStart(16, "0");
}

/** An urgent queue, a deferrable one, and one of a service with a single core. */
function harnessWith({ advice }: { readonly advice: typeof QUICK }): Harness {
  const harness = new Harness();
  for (let index = 0; index < 100; index++) harness.addWorker(`w${index}`);
  const capacity = { cpuMillis: 1_000, memoryMib: 4_000, accelerators: 0 };
  harness.addWorker("small", { service: "small", capacity });
  harness.set = {
    ...harness.set,
    queues: [
      testQueue({ advice }),
      testQueue({ name: "batch", priority: 2, advice }),
      testQueue({ name: "small", service: "small", priority: 2, advice }),
    ],
  };
  return harness;
}

function submit(cell: Cell, number: number, queue: string) {
  return cell.submit({
    id: jobId(number),
    queue,
    team: "",
    spec: { payload: "text", steps: [testStep()] },
  });
}

/** Submits urgent jobs and returns the number of those that waited too long. */
async function countLateJobs(harness: Harness, cell: Cell): Promise<number> {
  const delay = MAX_URGENT_WAIT_MS / URGENT_INTERVAL_MS;
  let late = 0;
  for (let index = 0; index < URGENT_JOBS + delay; index++) {
    if (index < URGENT_JOBS) {
      void submit(cell, FIRST_URGENT + index, "receipts");
    }
    await harness.clock.run(URGENT_INTERVAL_MS);
    if (index < delay) continue;
    const id = jobId(FIRST_URGENT + index - delay);
    if (cell.state(id) === "pending") late++;
  }
  return late;
}

test("a queue without room does not claim the only channel", async (t) => {
  const harness = harnessWith({ advice: QUICK });
  const advice = new SimulatedAdvice(harness.clock, {
    allows: () => true,
    roundTripMs: 2,
  });
  const cell = await harness.open({ adviceDispatcher: advice.dispatcher });
  for (const id of [1, 2, 3]) {
    void submit(cell, id, "small");
    await harness.clock.run(500);
  }
  t.is(await countLateJobs(harness, cell), 0);
});

test("a queue whose step may run nowhere does not claim the only channel", async (t) => {
  const harness = harnessWith({ advice: QUICK });
  const advice = new SimulatedAdvice(harness.clock, {
    allows: (_worker, step) => !step.startsWith(jobId(1)),
    roundTripMs: 2,
  });
  const cell = await harness.open({ adviceDispatcher: advice.dispatcher });
  void submit(cell, 1, "batch");
  await harness.clock.run(2_000);
  t.is(await countLateJobs(harness, cell), 0);
});

test("work that waits for room does not count as waiting for advice", async (t) => {
  const harness = harnessWith({ advice: SLOW });
  const advice = new SimulatedAdvice(harness.clock, { allows: () => true });
  const cell = await harness.open({ adviceDispatcher: advice.dispatcher });
  const outcomes = [];
  for (let id = 1; id <= 20; id++) {
    const outcome = submit(cell, id, "small");
    // Keeps the channel busy.
    void submit(cell, FIRST_URGENT + id, "receipts");
    await harness.clock.run(2_000);
    outcomes.push((await outcome).type);
    for (const worker of harness.workerClient.workers.values()) {
      if (worker.id === "small") continue;
      for (const task of [...worker.running.keys()]) worker.end(task, "done");
    }
  }
  t.false(outcomes.includes("refused"), outcomes.join(" "));
});
