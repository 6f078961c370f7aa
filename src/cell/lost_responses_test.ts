import test from "ava";
import { sleep } from "../clock.ts";
import type { StartResponse } from "./ports.ts";
import { Harness, testStep } from "./_fixtures_test.ts";

const JOB = "00000000000000aa";
const TASK = `${JOB}.0.0.0`;
/**
 * Time within which a start request without a response must be resolved,
 * milliseconds; source: the users' target.
 */
const MAX_RESOLUTION_MS = 300;

test("a start whose response is lost is retried", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  worker.lostResponses = 1;
  const outcome = harness.beginSubmit(cell, [testStep()]);
  await harness.clock.run(MAX_RESOLUTION_MS);
  t.is((await outcome).type, "accepted");
  t.is(worker.starts.length, 1);
  t.deepEqual(worker.stops, []);
  worker.end(TASK, "done");
  await harness.clock.run(MAX_RESOLUTION_MS);
  t.is(cell.state(JOB), "done");
});

test("a worker with an unanswered start gets new runs once the retry has succeeded", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  worker.lostResponses = 2;
  await harness.submit(cell, [testStep()]);
  await harness.submit(cell, [testStep()], "00000000000000b1");
  await harness.clock.run(MAX_RESOLUTION_MS);
  t.is(worker.running.size, 2);
});

test("a rejected retry does not undo the first start request", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const other = harness.addWorker("w2");
  const cell = await harness.open();
  // The run has ended but its completion is not reported yet, so the retried
  // start is rejected as stale.
  worker.lostResponses = 1;
  worker.maxPollMs = 400;
  worker.completesInstantly = true;
  other.silent = true;
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(2_000);
  t.is(cell.state(JOB), "done");
  t.is(worker.starts.length + other.starts.length, 1);
});

// Guards against an acknowledgment that reaches the next process of a worker,
// which counts its completions from 1 again and forgets those.
test("completions of a restarted worker are not acknowledged for its former process", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(2_000);
  // The leader waits for this write before it polls the worker again.
  const until = sleep(harness.clock, 300);
  harness.store.held = { key: `progress/${JOB}`, until };
  worker.end(TASK, "done");
  await harness.clock.run(80);
  worker.restart();
  worker.completesInstantly = true;
  await harness.submit(cell, [testStep()], "00000000000000b1");
  await harness.clock.run(1_000);
  t.is(cell.state("00000000000000b1"), "done");
  t.is(worker.starts.length, 2);
});

test("a completion in a lost report is seen at once, and its worker gets new runs", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(100);
  worker.lostResponses = 1;
  worker.end(TASK, "done");
  await harness.clock.run(MAX_RESOLUTION_MS);
  t.is(cell.state(JOB), "done");
  await harness.submit(cell, [testStep()], "00000000000000b1");
  t.is(worker.starts.length, 2);
});

// Guards against a retried start that reaches the next process of a worker,
// after a report of that process has shown that the run is gone.
test("a start without a response is stopped at the next process of its worker before the task starts elsewhere", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  const start = harness.workerClient.start.bind(harness.workerClient);
  let calls = 0;
  harness.workerClient.start = async (address, request) => {
    calls++;
    if (calls > 2) return await start(address, request);
    // The first request is carried out, and the second one stays in the network.
    if (calls === 1) await start(address, request);
    else worker.delayedStarts.push(request);
    await sleep(harness.clock, 300);
    return { type: "unknown", message: "no answer" };
  };
  await harness.submit(cell, [testStep()]);
  t.is(worker.running.get(TASK)?.run, 1);
  await harness.clock.run(400);
  t.is(calls, 2);
  worker.restart();
  await harness.clock.run(120);
  worker.runDelayedStarts();
  t.not(worker.running.get(TASK)?.run, 1);
  await harness.clock.run(1_000);
  t.deepEqual(worker.starts.map(({ run }) => run), [1, 2]);
});

test("a worker that returns after a silence gets new runs at once", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  // As on real workers.
  worker.maxPollMs = 1_000;
  const cell = await harness.open();
  worker.silent = true;
  await harness.clock.run(2_000);
  await harness.submit(cell, [testStep()]);
  worker.silent = false;
  // The delay before the next poll, and the start.
  await harness.clock.run(250 + 100);
  t.is(worker.running.size, 1);
});

/** A cell whose client gives this response to starts for a while. */
async function runWithStarts(
  response: () => Promise<StartResponse>,
  forMs: number,
) {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  const { workerClient } = harness;
  const start = workerClient.start.bind(workerClient);
  workerClient.start = response;
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(forMs);
  workerClient.start = start;
  return { harness, worker, cell };
}

for (
  const [behavior, response] of [
    ["fails", () => Promise.reject(new Error("broken"))],
    ["never responds", () => new Promise<never>(() => {})],
  ] as const
) {
  test(`a task runs after a start request whose client ${behavior}`, async (t) => {
    const { harness, worker, cell } = await runWithStarts(response, 200);
    await harness.clock.run(2_500);
    t.is(worker.running.size, 1);
    // The worker gets further runs.
    await harness.submit(cell, [testStep()], "00000000000000b1");
    t.is(worker.running.size, 2);
  });

  test(`a worker gets new runs after all requests of a start whose client ${behavior}`, async (t) => {
    const { harness, worker } = await runWithStarts(response, 1_700);
    await harness.clock.run(2_000);
    t.is(worker.running.size, 1);
  });
}

// Guards against waits for two polls without a completion, a second each.
test("a task whose start was lost starts again soon after the stop is confirmed", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  // As on real workers.
  worker.maxPollMs = 1_000;
  const cell = await harness.open();
  await harness.clock.run(1_000);
  worker.delaysStarts = true;
  await harness.submit(cell, [testStep()]);
  t.deepEqual(worker.stops, [{ task: TASK, run: 1 }]);
  worker.delaysStarts = false;
  // The worker gets no new runs for 700 ms after an unanswered start.
  await harness.clock.run(700);
  t.deepEqual(worker.starts.map(({ run }) => run), [2]);
});
