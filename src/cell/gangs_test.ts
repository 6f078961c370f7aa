import test from "ava";
import { Harness, testQueue, testStep } from "./_fixtures_test.ts";
import type { StepSpec } from "./types.ts";

const JOB = "00000000000000aa";
const TASK = `${JOB}.0.0.0`;

test("a gang starts as a whole and restarts only after all its runs have ended", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep({ tasks: 3, gang: true })]);
  await harness.clock.run(300);
  t.is(worker.starts.length, 3);
  worker.slowToStop = true;
  worker.end(TASK, "failed");
  worker.end(`${JOB}.0.0.1`, "peerEnded");
  await harness.clock.run(100);
  t.is(worker.starts.length, 3);
  worker.end(`${JOB}.0.0.2`, "peerEnded");
  await harness.clock.run(4_000);
  t.deepEqual(worker.starts.slice(3).map((order) => order.run), [2, 2, 2]);
});

test("the capacity of a whole gang is free once one member reports its completion", async (t) => {
  const harness = new Harness();
  const workers = ["w1", "w2"].map((id) => harness.addWorker(id));
  const cell = await harness.open();
  const amounts = { cpuMillis: 4_000, memoryMib: 100, accelerators: 0 };
  await harness.submit(cell, [testStep({ tasks: 2, amounts, gang: true })]);
  await harness.clock.run(300);
  t.deepEqual(workers.map(({ starts }) => starts.length), [1, 1]);
  const other = "00000000000000b1";
  await harness.submit(cell, [testStep({ tasks: 2, amounts })], other);
  // The next report of the second worker is delayed.
  workers[1]!.maxPollMs = 1_000;
  await harness.clock.run(100);
  workers[1]!.running.clear();
  workers[0]!.end(workers[0]!.starts[0]!.task, "done");
  await harness.clock.run(200);
  t.is(cell.state(JOB), "done");
  t.deepEqual(workers.map(({ starts }) => starts.length), [2, 2]);
});

test("members of a completed gang that a report still shows are not stopped", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  await harness.submit(cell, [testStep({ tasks: 2, gang: true })]);
  await harness.clock.run(300);
  t.is(worker.starts.length, 2);
  worker.end(TASK, "done");
  await harness.clock.run(60);
  worker.running.clear();
  await harness.clock.run(300);
  t.is(cell.state(JOB), "done");
  t.deepEqual(worker.stops, []);
});

for (const oversized of [0, 10]) {
  test(`a gang gets its capacity although smaller tasks wait behind it, gangs before it that never fit: ${oversized}`, async (t) => {
    const harness = new Harness();
    const queues = [
      testQueue({ name: "small", priority: 2, objectiveMs: 60_000 }),
      testQueue({ name: "gangs", priority: 1, objectiveMs: 60_000 }),
    ];
    harness.set = { ...harness.set, queues };
    const workers = ["w1", "w2", "w3"].map((id) => harness.addWorker(id));
    const cell = await harness.open();
    const submit = (id: string, queue: string, step: StepSpec) =>
      cell.submit({
        id,
        queue,
        team: "",
        spec: { payload: "", steps: [step] },
      });
    const small = "00000000000000b1";
    void submit(small, "small", testStep({ tasks: 24 }));
    await harness.clock.run(300);
    for (let number = 0; number < oversized; number++) {
      const id = `00000000000000c${number}`;
      void submit(id, "gangs", testStep({ gang: true, tasks: 13 }));
    }
    void submit(JOB, "gangs", testStep({ gang: true, tasks: 3 }));
    await harness.clock.run(300);
    for (const worker of workers) {
      const [first] = worker.running.keys();
      worker.end(first!, "done");
      await harness.clock.run(300);
    }
    const starts = workers.flatMap((worker) => worker.starts);
    const ofGang = starts.filter(({ task }) => task.startsWith(JOB));
    t.is(ofGang.length, 3);
    t.is(starts.length, 12 + 3, "no small task was started before the gang");
  });
}

test("no member's completion is acknowledged before the store has recorded the gang's", async (t) => {
  const harness = new Harness();
  const workers = ["w1", "w2"].map((id) => harness.addWorker(id));
  const cell = await harness.open();
  const amounts = { cpuMillis: 3_000, memoryMib: 100, accelerators: 0 };
  await harness.submit(cell, [testStep({ gang: true, tasks: 2, amounts })]);
  await harness.clock.run(300);
  t.deepEqual(workers.map((worker) => worker.running.size), [1, 1]);
  harness.store.stuckKeys.add(`progress/${JOB}`);
  for (const worker of workers) {
    const [task] = worker.running.keys();
    worker.end(task!, "done");
    await harness.clock.run(500);
  }
  await harness.clock.run(2_000);
  t.deepEqual(workers.map((worker) => worker.acknowledged), [0, 0]);
  harness.store.stuckKeys.clear();
  await harness.clock.run(2_000);
  t.deepEqual(workers.map((worker) => worker.acknowledged), [1, 1]);
});

// Guards against a gang whose other members run on after a change of leader.
test("the next leader stops the runs of a gang that is incomplete in the store", async (t) => {
  const harness = new Harness();
  const workers = ["w1", "w2"].map((id) => harness.addWorker(id));
  const cell = await harness.open();
  const amounts = { cpuMillis: 3_000, memoryMib: 100, accelerators: 0 };
  await harness.submit(cell, [testStep({ gang: true, tasks: 2, amounts })]);
  await harness.clock.run(300);
  // The other member does not stop before the leader fails.
  workers[1]!.slowToStop = true;
  const [task] = workers[0]!.running.keys();
  workers[0]!.end(task!, "failed");
  await harness.clock.run(300);
  cell.close();
  workers[1]!.slowToStop = false;
  workers[1]!.stops.length = 0;
  await harness.open();
  await harness.clock.run(1_000);
  t.deepEqual(workers.map((worker) => worker.starts.length), [2, 2]);
});
