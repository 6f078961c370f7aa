import test from "ava";
import { sleep } from "../clock.ts";
import { Harness, testQueue, testStep } from "./_fixtures_test.ts";

const JOB = "00000000000000aa";
const TASK = `${JOB}.0.0.0`;

test("a job is done once its end is stored", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  t.is(await harness.submit(cell, [testStep()]), "accepted");
  await harness.clock.run(300);
  t.is(worker.starts.length, 1);
  t.is(cell.state(JOB), "running");
  worker.end(TASK, "done");
  await harness.clock.run(300);
  t.is(cell.state(JOB), "done");
  t.is(worker.acknowledged, 1);
});

test("completions are not acknowledged before they are stored", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  const other = "00000000000000b1";
  await harness.submit(cell, [testStep()]);
  await harness.submit(cell, [testStep()], other);
  await harness.clock.run(300);
  const keys = [JOB, other].map((id) => `progress/${id}`);
  for (const key of keys) harness.store.stuckKeys.add(key);
  worker.end(TASK, "done");
  await harness.clock.run(1_500);
  // The worker reports the second job's completion while the first job's can't be stored yet.
  worker.end(`${other}.0.0.0`, "done");
  await harness.clock.run(2_000);
  t.is(worker.acknowledged, 0);
  harness.store.stuckKeys.delete(keys[0]!);
  await harness.clock.run(2_000);
  t.is(worker.acknowledged, 1);
  t.is(cell.state(other), "running");
  harness.store.stuckKeys.delete(keys[1]!);
  await harness.clock.run(2_000);
  t.is(worker.acknowledged, 2);
  t.is(cell.state(other), "done");
});

test("a new leader continues jobs from the store and from workers' reports", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const first = await harness.open();
  await harness.submit(first, [testStep(), testStep({ after: [0] })]);
  await harness.clock.run(300);
  first.close();
  worker.end(TASK, "done");
  const second = await harness.open();
  await harness.clock.run(500);
  t.deepEqual(worker.starts.map((request) => request.task), [
    TASK,
    `${JOB}.0.1.0`,
  ]);
  t.is(second.state(JOB), "running");
});

test("writes and requests of a former leader have no effect", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const first = await harness.open();
  await harness.open();
  const outcome = harness.beginSubmit(first, [testStep()]);
  await harness.clock.run(1_000);
  t.is((await outcome).type, "unknown");
  t.true(harness.stepDownReasons.length > 0);
  t.is(worker.starts.length, 0);
});

test("a new leader restarts a task of an unreachable worker only after its lease has expired", async (t) => {
  const harness = new Harness();
  const unreachable = harness.addWorker("w1");
  const first = await harness.open();
  await harness.submit(first, [testStep()]);
  await harness.clock.run(300);
  first.close();
  unreachable.silent = true;
  const other = harness.addWorker("w2");
  await harness.open();
  await harness.clock.run(5_900);
  t.is(other.starts.length, 0);
  await harness.clock.run(4_000);
  t.is(other.starts.length, 1);
  t.is(other.starts[0]?.run, 2);
});

test("an unresponsive worker loses its lease, and its task restarts on another worker", async (t) => {
  const harness = new Harness();
  const unreachable = harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(300);
  t.is(unreachable.starts.length, 1);
  unreachable.silent = true;
  const other = harness.addWorker("w2");
  await harness.clock.run(5_500);
  t.is(other.starts.length, 0);
  await harness.clock.run(2_500);
  t.deepEqual(other.starts.map((request) => request.run), [2]);
});

test("a start without a response is stopped before the task is started again", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  worker.delaysStarts = true;
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(600);
  t.true(worker.stops.some((stop) => stop.task === TASK && stop.run === 1));
  worker.delaysStarts = false;
  worker.runDelayedStarts();
  t.is(worker.running.size, 0);
  await harness.clock.run(1_500);
  t.deepEqual(worker.starts.map((request) => request.run), [2]);
});

test("a restarted worker has lost its runs, and nothing of it is acknowledged", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(300);
  worker.silent = true;
  await harness.clock.run(500);
  worker.restart();
  worker.silent = false;
  await harness.clock.run(1_500);
  t.is(cell.state(JOB), "running");
  t.is(worker.starts.at(-1)?.run, 2);
  t.is(worker.acknowledged, 0);
});

// Guards against a new leader that takes a truncated report for a complete one
// and starts tasks again whose completions are reported later.
test("completions that a report omits are not taken for lost runs", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  worker.maxReported = 2;
  const first = await harness.open();
  await harness.submit(first, [testStep({ tasks: 4 })]);
  await harness.clock.run(300);
  first.close();
  for (const task of [...worker.running.keys()]) worker.end(task, "done");
  const second = await harness.open();
  await harness.clock.run(2_000);
  t.is(second.state(JOB), "done");
  t.is(worker.starts.length, 4);
  t.is(worker.acknowledged, 4);
});

test("a job fails after the attempts that its queue permits", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  for (let run = 1; run <= 3; run++) {
    await harness.clock.run(5_000);
    worker.end(TASK, "failed");
  }
  await harness.clock.run(500);
  t.is(worker.starts.length, 3);
  t.is(cell.state(JOB), "failed");
});

for (const gang of [false, true]) {
  test(`a failure that is reported again to the next leader counts once: gang=${gang}`, async (t) => {
    const harness = new Harness();
    const worker = harness.addWorker("w1");
    const first = await harness.open();
    await harness.submit(first, [testStep({ gang })]);
    await harness.clock.run(300);
    const { entries } = harness;
    harness.entries = entries.map((entry) => ({ ...entry, draining: true }));
    await harness.clock.run(800);
    worker.keepsCompletions = true;
    worker.end(TASK, "failed");
    await harness.clock.run(300);
    first.close();
    harness.entries = entries;
    const second = await harness.open();
    await harness.clock.run(4_000);
    worker.end(TASK, "failed");
    await harness.clock.run(4_000);
    t.is(second.state(JOB), "running");
    worker.end(TASK, "failed");
    await harness.clock.run(500);
    t.is(worker.starts.length, 3);
    t.is(second.state(JOB), "failed");
  });
}

test("a canceled job is stopped and stays canceled", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep({ tasks: 2 })]);
  await harness.clock.run(300);
  const canceled = cell.cancel(JOB);
  await harness.clock.run(300);
  t.is(await canceled, "canceled");
  t.is(worker.running.size, 0);
  t.is(cell.state(JOB), "canceled");
});

test("a run that is stopped before its start is sent frees its capacity without the worker's help", async (t) => {
  const harness = new Harness();
  harness.set = { ...harness.set, queues: [testQueue({ attempts: 1 })] };
  const workers = ["w1", "w2"].map((id) => harness.addWorker(id));
  harness.workerClient.stop = () => Promise.resolve(false);
  const cell = await harness.open();
  const amounts = { cpuMillis: 4_000, memoryMib: 100, accelerators: 0 };
  await harness.submit(cell, [testStep({ tasks: 3, amounts })]);
  await harness.clock.run(300);
  // The job fails while the start of its last task is being recorded.
  const until = sleep(harness.clock, 300);
  harness.store.held = { key: `progress/${JOB}`, until };
  for (const [index, kind] of (["done", "failed"] as const).entries()) {
    const [task] = workers[index]!.running.keys();
    workers[index]!.end(task!, kind);
    await harness.clock.run(150);
  }
  await harness.clock.run(100);
  harness.store.held = undefined;
  const next = "00000000000000b1";
  await harness.submit(cell, [testStep({ tasks: 2, amounts })], next);
  await harness.clock.run(500);
  const running = workers.flatMap((worker) => [...worker.running.keys()]);
  t.deepEqual(running.sort(), [`${next}.0.0.0`, `${next}.0.0.1`]);
  t.is(cell.state(JOB), "failed");
});

test("no worker gets more tasks than its capacity permits", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep({ tasks: 9 })]);
  await harness.clock.run(500);
  t.is(worker.running.size, 4);
});

test("a submission that is refused while the store is unavailable never runs", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  harness.store.unavailable = true;
  const submit = (id: string) => harness.beginSubmit(cell, [testStep()], id);
  const first = submit("00000000000000b2");
  await harness.clock.run(700);
  const second = submit(JOB);
  // The queue's objective of 500 ms gives the submission a spare time of 1 s. It
  // waits for a tenth of that and up to one check interval of 40 ms.
  await harness.clock.run(165);
  const refused = { type: "refused", reason: "storeAway" } as const;
  t.deepEqual([await first, await second], [refused, refused]);
  harness.store.unavailable = false;
  await harness.clock.run(1_000);
  t.is(worker.starts.length, 0);
  t.is(cell.state("00000000000000b2"), "absent");
  t.is(await harness.submit(cell, [testStep()]), "accepted");
});

test("a submission that may have been stored is not refused", async (t) => {
  const harness = new Harness();
  harness.addWorker("w1");
  const cell = await harness.open();
  harness.store.responsesToLose = 1;
  const outcome = harness.beginSubmit(cell, [testStep()]);
  await harness.clock.run(40);
  harness.store.unavailable = true;
  await harness.clock.run(1_500);
  t.is(cell.state(JOB), "absent");
  harness.store.unavailable = false;
  await harness.clock.run(500);
  t.is((await outcome).type, "accepted");
});

test("a transaction whose response was lost takes effect once", async (t) => {
  const harness = new Harness();
  harness.addWorker("w1");
  const cell = await harness.open();
  harness.store.responsesToLose = 1;
  const outcome = harness.beginSubmit(cell, [testStep()]);
  await harness.clock.run(500);
  t.is((await outcome).type, "accepted");
  t.deepEqual(harness.stepDownReasons, []);
});

test("a task without progress is restarted on another worker", async (t) => {
  const harness = new Harness();
  const stalled = harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  stalled.stalled = true;
  const other = harness.addWorker("w2");
  await harness.clock.run(2_900);
  t.is(other.starts.length, 0);
  await harness.clock.run(2_000);
  t.deepEqual(other.starts.map((request) => request.run), [2]);
  t.is(stalled.running.size, 0);
});

test("a draining worker gets no new runs", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  harness.entries = harness.entries.map((entry) => ({
    ...entry,
    draining: true,
  }));
  await harness.clock.run(800);
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(500);
  t.is(worker.starts.length, 0);
});

test("the limit of a team applies to the sum over all workers", async (t) => {
  const harness = new Harness();
  harness.set = {
    ...harness.set,
    teams: [{
      name: "darkhan",
      keys: [],
      weight: 0,
      limit: { cpuMillis: 3_000, memoryMib: 0, accelerators: 0 },
    }],
  };
  const workers = [harness.addWorker("w1"), harness.addWorker("w2")];
  const cell = await harness.open();
  const outcome = cell.submit({
    id: JOB,
    queue: "receipts",
    team: "darkhan",
    spec: { payload: "", steps: [testStep({ tasks: 8 })] },
  });
  await harness.clock.run(800);
  t.is((await outcome).type, "accepted");
  const running = workers.reduce((sum, one) => sum + one.running.size, 0);
  t.is(running, 3);
});

test("a submission that is placed at once shares a transaction with its placement", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  const before = harness.store.commits;
  t.is(await harness.submit(cell, [testStep()]), "accepted");
  t.is(worker.starts.length, 1);
  t.is(harness.store.commits - before, 1);
});

test("a submission that is refused while the store is unavailable releases its reserved capacity", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  const whole = testStep({
    amounts: { cpuMillis: 4_000, memoryMib: 100, accelerators: 0 },
  });
  harness.store.unavailable = true;
  const refused = harness.beginSubmit(cell, [whole]);
  await harness.clock.run(700);
  t.deepEqual(await refused, { type: "refused", reason: "storeAway" });
  t.is(cell.state(JOB), "absent");
  harness.store.unavailable = false;
  await harness.clock.run(500);
  const other = "00000000000000b1";
  t.is(await harness.submit(cell, [whole], other), "accepted");
  await harness.clock.run(300);
  t.deepEqual(worker.starts.map(({ task }) => task), [`${other}.0.0.0`]);
});
