import test from "ava";
import { ResultAsync } from "neverthrow";
import { sleep } from "../clock.ts";
import { silentLog } from "../logger.ts";
import { Harness, testStep } from "./_fixtures_test.ts";

/**
 * Time after the restart of a worker within which its tasks start again,
 * milliseconds.
 */
const MAX_RESTART_MS = 1_500;

/** Delays the response to the next poll of a worker, which answers at once. */
function delayNextResponse(harness: Harness, delayMs: number): void {
  const { workerClient } = harness;
  const poll = workerClient.poll.bind(workerClient);
  workerClient.poll = (address, request) => {
    workerClient.poll = poll;
    const response = poll(address, { ...request, waitMs: 0 });
    return new ResultAsync((async () => {
      const report = await response;
      await sleep(harness.clock, delayMs);
      return report;
    })());
  };
}

/** A worker that was started at wall clock 1000 and runs a task. */
async function runTask() {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  worker.processStartMs = 1_000;
  const restarts: unknown[] = [];
  harness.log = {
    ...silentLog,
    info: (event, fields) => {
      if (event === "worker.reborn") restarts.push(fields?.["bornMs"]);
    },
  };
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(300);
  return { harness, worker, cell, restarts };
}

test("a worker that restarts with its wall clock set back runs its tasks again", async (t) => {
  const { harness, worker, restarts } = await runTask();
  worker.restart(500);
  await harness.clock.run(MAX_RESTART_MS);
  t.deepEqual([...worker.running.values()].map(({ run }) => run), [2]);
  t.deepEqual(restarts, [500]);
});

for (const processStartMs of [500, 1_500]) {
  test(`a late report of a worker's former process is ignored if the next one started at ${processStartMs}`, async (t) => {
    const { harness, worker, cell, restarts } = await runTask();
    delayNextResponse(harness, 600);
    await harness.clock.run(100);
    worker.restart(processStartMs);
    // A start without a response makes the leader poll the worker at once.
    worker.lostResponses = 3;
    await harness.submit(cell, [testStep()], "00000000000000b1");
    await harness.clock.run(MAX_RESTART_MS);
    t.deepEqual(restarts, [processStartMs]);
    t.is(worker.running.size, 2);
  });
}
