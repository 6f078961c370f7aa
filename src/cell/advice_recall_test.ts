import test from "ava";
import { testQueue, testStep, World } from "./_fixtures_test.ts";

const JOB = "00000000000000aa";
/** A queue whose steps need advice. */
const ADVISED = testQueue({
  advice: { baseMs: 100, perWorkerMs: 10, ticketMs: 5_000 },
});

test("a new holder starts with the tickets that others remember", async (t) => {
  const world = new World();
  world.set = { ...world.set, queues: [ADVISED] };
  const first = await world.open();
  await world.submit(first, [testStep()]);
  first.close();
  const bad = world.addWorker("w1");
  const good = world.addWorker("w2");
  const step = `${JOB}.0.0`;
  world.recalled = [{
    step,
    bad: ["w1"],
    good: [{ worker: "w2", ticket: "ticket", ageMs: 1_000 }],
  }];
  await world.open();
  await world.clock.run(300);
  t.is(bad.starts.length, 0);
  t.deepEqual(good.starts.map((order) => order.ticket), ["ticket"]);
  t.deepEqual(world.questions, []);
});

test("a step that nobody remembers is asked about by the next holder", async (t) => {
  const world = new World();
  world.set = { ...world.set, queues: [ADVISED] };
  const first = await world.open();
  await world.submit(first, [testStep()]);
  first.close();
  world.addWorker("w1");
  await world.open();
  await world.clock.run(300);
  t.deepEqual([...new Set(world.questions)], [`${JOB}.0.0`]);
});

test("a ticket that has run out is asked for again", async (t) => {
  const world = new World();
  world.set = { ...world.set, queues: [ADVISED] };
  const first = await world.open();
  await world.submit(first, [testStep()]);
  first.close();
  const worker = world.addWorker("w1");
  world.recalled = [{
    step: `${JOB}.0.0`,
    bad: [],
    good: [{ worker: "w1", ticket: "ticket", ageMs: 5_000 }],
  }];
  await world.open();
  await world.clock.run(300);
  t.is(worker.starts.length, 0);
  t.true(world.questions.length > 0);
});
