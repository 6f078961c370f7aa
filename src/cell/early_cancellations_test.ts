import test from "ava";
import { Harness, testStep } from "./_fixtures_test.ts";

const JOB = "00000000000000aa";
const REFUSED = { type: "refused", reason: "canceled" } as const;

async function open() {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  return { harness, worker, cell };
}

// Guards against a submission that was delayed, for instance by an instance
// that was suspended, and starts after its cancellation was acknowledged.
test("a submission that arrives after its cancellation never runs", async (t) => {
  const { harness, worker, cell } = await open();
  const canceled = cell.cancel(JOB);
  t.deepEqual(await harness.beginSubmit(cell, [testStep()]), REFUSED);
  await harness.clock.run(200);
  t.is(await canceled, "absent");
  t.deepEqual(await harness.beginSubmit(cell, [testStep()]), REFUSED);
  await harness.clock.run(1_000);
  t.is(cell.state(JOB), "absent");
  t.deepEqual(worker.starts, []);
  t.deepEqual([...cell.pendingByQueue()], []);
});

// Guards against a submission that waited for the next leader.
test("the next leader refuses a submission that was canceled before it arrived", async (t) => {
  const { harness, worker, cell } = await open();
  const canceled = cell.cancel(JOB);
  await harness.clock.run(200);
  t.is(await canceled, "absent");
  cell.close();
  const second = await harness.open();
  t.deepEqual(await harness.beginSubmit(second, [testStep()]), REFUSED);
  t.is(second.state(JOB), "absent");
  t.deepEqual(worker.starts, []);
});

// Guards against a former leader that does not know the job of a later one.
test("a leader that was replaced does not confirm that there is nothing to cancel", async (t) => {
  const { harness, cell } = await open();
  const second = await harness.open();
  t.is(await harness.submit(second, [testStep()]), "accepted");
  const canceled = cell.cancel(JOB);
  await harness.clock.run(500);
  t.is(await canceled, "unknown");
  t.is(second.state(JOB), "running");
});

test("a cancellation of an unknown job is confirmed once the store has it", async (t) => {
  const { harness, cell } = await open();
  harness.store.unavailable = true;
  const outcomes: string[] = [];
  void cell.cancel(JOB).then((outcome) => outcomes.push(outcome));
  void cell.cancel(JOB).then((outcome) => outcomes.push(outcome));
  await harness.clock.run(2_000);
  t.deepEqual(outcomes, []);
  t.deepEqual(await harness.beginSubmit(cell, [testStep()]), REFUSED);
  harness.store.unavailable = false;
  await harness.clock.run(500);
  t.deepEqual(outcomes, ["absent", "absent"]);
});

test("a cancellation whose response was lost is recorded once", async (t) => {
  const { harness, cell } = await open();
  harness.store.responsesToLose = 1;
  const canceled = cell.cancel(JOB);
  await harness.clock.run(500);
  t.is(await canceled, "absent");
  t.deepEqual(harness.stepDownReasons, []);
});

test("the record of an early cancellation is kept as long as that of an ended job", async (t) => {
  const { harness, cell } = await open();
  void cell.cancel(JOB);
  await harness.clock.run(239_000);
  t.true(harness.store.entries.has(`progress/${JOB}`));
  await harness.clock.run(2_000);
  t.false(harness.store.entries.has(`progress/${JOB}`));
  t.is(await harness.submit(cell, [testStep()]), "accepted");
});

// Guards against an isolated former leader that denies a job of the next one.
test("only a leader whose term is confirmed says that there is no such job", async (t) => {
  const { harness, cell } = await open();
  t.is(cell.state(JOB), "absent");
  harness.isLeading = false;
  t.is(cell.state(JOB), "unknown");
});
