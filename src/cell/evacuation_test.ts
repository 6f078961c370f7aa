import test from "ava";
import { Harness, testStep } from "./_fixtures_test.ts";
import type { FakeWorker } from "./_fake_workers_test.ts";

const JOB = "00000000000000aa";
const TASK = `${JOB}.0.0.0`;
/** The whole capacity of a worker. */
const WHOLE_WORKER = { cpuMillis: 4_000, memoryMib: 100, accelerators: 0 };

/** Adds a worker in zone `a` and one in zone `b`. */
function twoZones(harness: Harness): readonly [FakeWorker, FakeWorker] {
  return [harness.addWorker("w1"), harness.addWorker("w2", { zone: "b" })];
}

// Guards against new runs in an evacuated zone, and against a zone that stays unused after it was restored.
test("an evacuated zone gets no new runs, keeps its runs, and is used again once restored", async (t) => {
  const harness = new Harness();
  const [near, far] = twoZones(harness);
  const cell = await harness.open();
  await harness.submit(cell, [testStep({ tasks: 2, amounts: WHOLE_WORKER })]);
  await harness.clock.run(300);
  t.deepEqual([near.running.size, far.running.size], [1, 1]);
  harness.evacuate("b");
  harness.deliverEvacuations();
  far.end(far.starts[0]!.task, "done");
  await harness.submit(cell, [testStep()], "00000000000000b1");
  await harness.clock.run(1_500);
  t.deepEqual([near.starts.length, far.starts.length], [1, 1]);
  t.deepEqual(near.stops, []);
  // The step has waited in the backlog; the next scheduling pass uses the zone.
  harness.evacuate("b", false);
  harness.deliverEvacuations();
  await harness.clock.run(100);
  t.deepEqual([near.starts.length, far.starts.length], [1, 2]);
});

// Guards against an evacuation that stops running tasks.
test("runs in an evacuated zone continue to their end", async (t) => {
  const harness = new Harness();
  const far = harness.addWorker("w2", { zone: "b" });
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(300);
  harness.evacuate("b");
  harness.deliverEvacuations();
  await harness.clock.run(2_000);
  t.is(far.running.size, 1);
  t.deepEqual(far.stops, []);
  far.end(TASK, "done");
  await harness.clock.run(300);
  t.is(cell.state(JOB), "done");
});

// Guards against a new leader that starts runs before it has read the evacuations.
test("an evacuation requested while there was no leader applies to the next one", async (t) => {
  const harness = new Harness();
  const [near, far] = twoZones(harness);
  const first = await harness.open();
  const steps = [testStep({ tasks: 8 }), testStep({ tasks: 8, after: [0] })];
  await harness.submit(first, steps);
  await harness.clock.run(300);
  first.close();
  harness.evacuate("b");
  for (const worker of [near, far]) {
    for (const task of [...worker.running.keys()]) worker.end(task, "done");
  }
  await harness.open();
  await harness.clock.run(500);
  t.deepEqual([near.starts.length, far.starts.length], [8, 4]);
});

// Guards against runs on workers that were listed after the zone was evacuated, and against placements there that are stored and then dropped.
test("a worker that joins an evacuated zone gets no runs", async (t) => {
  const harness = new Harness();
  const cell = await harness.open();
  harness.evacuate("b");
  harness.deliverEvacuations();
  const far = harness.addWorker("w2", { zone: "b" });
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(2_000);
  const near = harness.addWorker("w1");
  await harness.clock.run(1_500);
  t.is(far.starts.length, 0);
  t.deepEqual(near.starts.map(({ run }) => run), [1]);
});

// Guards against starts based on stale evacuations after an outage of the store.
test("after an outage of the store no run starts before the evacuations are read again", async (t) => {
  const harness = new Harness();
  harness.evacuateMs = 5_000;
  const far = harness.addWorker("w2", { zone: "b" });
  const cell = await harness.open();
  await harness.submit(cell, [testStep({ tasks: 5 })]);
  await harness.clock.run(300);
  t.is(far.starts.length, 4);
  harness.store.unavailable = true;
  harness.evacuate("b");
  await harness.clock.run(5_000);
  far.end(far.starts[0]!.task, "done");
  harness.store.unavailable = false;
  await harness.clock.run(1_000);
  t.is(far.starts.length, 4);
  harness.deliverEvacuations();
  await harness.clock.run(500);
  t.is(far.starts.length, 4);
  harness.evacuate("b", false);
  harness.deliverEvacuations();
  await harness.clock.run(500);
  t.is(far.starts.length, 5);
});

// Guards against a start in a zone that is evacuated after the placement was decided and before it is stored.
test("no start is requested if the zone was evacuated while the placement was being stored", async (t) => {
  const harness = new Harness();
  const far = harness.addWorker("w2", { zone: "b" });
  const cell = await harness.open();
  evacuateDuringNextCommit(harness);
  await harness.submit(cell, [testStep()]);
  const near = harness.addWorker("w1");
  await harness.clock.run(1_500);
  t.is(far.starts.length, 0);
  t.deepEqual(near.starts.map(({ run }) => run), [2]);
});

// Guards against a gang that starts only in part because the zone of one member was evacuated.
test("a gang with a member in a zone evacuated meanwhile does not start, then starts as a whole", async (t) => {
  const harness = new Harness();
  const [near, far] = twoZones(harness);
  const cell = await harness.open();
  evacuateDuringNextCommit(harness);
  const gang = testStep({ tasks: 2, gang: true, amounts: WHOLE_WORKER });
  await harness.submit(cell, [gang]);
  await harness.clock.run(500);
  t.deepEqual([near.starts.length, far.starts.length], [0, 0]);
  const other = harness.addWorker("w3");
  await harness.clock.run(2_000);
  t.is(far.starts.length, 0);
  t.deepEqual(
    [near, other].map(({ starts }) => starts.map(({ run }) => run)),
    [[2], [2]],
  );
});

// Guards against a start request that is retried into the zone, and against one that the worker carries out late.
test("a start without a response is not retried in an evacuated zone, and is stopped there", async (t) => {
  const harness = new Harness();
  const far = harness.addWorker("w2", { zone: "b" });
  const cell = await harness.open();
  far.delaysStarts = true;
  const start = harness.workerClient.start.bind(harness.workerClient);
  let startRequests = 0;
  harness.workerClient.start = (address, request) => {
    startRequests++;
    const answer = start(address, request);
    harness.evacuate("b");
    harness.deliverEvacuations();
    return answer;
  };
  await harness.submit(cell, [testStep()]);
  await harness.clock.run(600);
  t.is(startRequests, 1);
  far.delaysStarts = false;
  far.runDelayedStarts();
  t.is(far.running.size, 0);
  const near = harness.addWorker("w1");
  await harness.clock.run(2_000);
  t.deepEqual(near.starts.map(({ run }) => run), [2]);
  t.is(far.starts.length, 0);
});

// Guards against needless store calls in a deployment without evacuations.
test("a leader reads the evacuations once, before its first start", async (t) => {
  const harness = new Harness();
  twoZones(harness);
  const cell = await harness.open();
  await harness.submit(cell, [testStep({ tasks: 8 })]);
  await harness.clock.run(10_000);
  t.is(harness.evacuationReads, 1);
});

/** Evacuates zone `b` during the next commit, before the store responds. */
function evacuateDuringNextCommit(harness: Harness): void {
  const commit = harness.store.commit.bind(harness.store);
  let done = false;
  harness.store.commit = (conditions, writes) => {
    const answer = commit(conditions, writes);
    if (done) return answer;
    done = true;
    harness.evacuate("b");
    harness.deliverEvacuations();
    return answer;
  };
}
