import test from "ava";
import { testStep, World } from "./_fixtures_test.ts";

const JOB = "00000000000000aa";
const TASK = `${JOB}.0.0.0`;
/** Time in which an order without an answer is to be settled, milliseconds; source: the users' target. */
const SETTLED_MS = 300;

test("an order whose answer is lost is settled by giving it again", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  worker.lostAnswers = 1;
  const outcome = world.offer(cell, [testStep()]);
  await world.clock.run(SETTLED_MS);
  t.is((await outcome).type, "accepted");
  t.is(worker.starts.length, 1);
  t.deepEqual(worker.stops, []);
  worker.end(TASK, "done");
  await world.clock.run(SETTLED_MS);
  t.is(cell.state(JOB), "done");
});

test("a worker with an unanswered order takes new work once that is settled", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  worker.lostAnswers = 2;
  await world.submit(cell, [testStep()]);
  await world.submit(cell, [testStep()], "00000000000000b1");
  await world.clock.run(SETTLED_MS);
  t.is(worker.running.size, 2);
});

test("a refusal of the repeated order does not take back the first sending", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const other = world.addWorker("w2");
  const cell = await world.open();
  // Carried out, ended, and the end not told yet: the repeated order is refused as old.
  worker.lostAnswers = 1;
  worker.reportMs = 400;
  worker.instant = true;
  other.silent = true;
  await world.submit(cell, [testStep()]);
  await world.clock.run(2_000);
  t.is(cell.state(JOB), "done");
  t.is(worker.starts.length + other.starts.length, 1);
});

test("an end behind a report that is lost is seen at once, and its worker goes on", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  await world.submit(cell, [testStep()]);
  await world.clock.run(100);
  worker.lostAnswers = 1;
  worker.end(TASK, "done");
  await world.clock.run(SETTLED_MS);
  t.is(cell.state(JOB), "done");
  await world.submit(cell, [testStep()], "00000000000000b1");
  t.is(worker.starts.length, 2);
});
