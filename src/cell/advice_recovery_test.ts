import test from "ava";
import { Harness, testQueue, testStep } from "./_fixtures_test.ts";

const JOB = "00000000000000aa";
/** A queue whose steps need advice. */
const ADVISED = testQueue({
  advice: { baseMs: 100, perWorkerMs: 10, ticketMs: 5_000 },
});

test("a new leader uses the tickets that other instances have cached", async (t) => {
  const harness = new Harness();
  harness.set = { ...harness.set, queues: [ADVISED] };
  const first = await harness.open();
  await harness.submit(first, [testStep()]);
  first.close();
  const bad = harness.addWorker("w1");
  const good = harness.addWorker("w2");
  const step = `${JOB}.0.0`;
  harness.cachedAdvice = [{
    step,
    bad: ["w1"],
    good: [{ worker: "w2", ticket: "ticket", ageMs: 1_000 }],
  }];
  await harness.open();
  await harness.clock.run(300);
  t.is(bad.starts.length, 0);
  t.deepEqual(good.starts.map((order) => order.ticket), ["ticket"]);
  t.deepEqual(harness.adviceRequests, []);
});

test("the next leader requests advice about a step that no instance has cached", async (t) => {
  const harness = new Harness();
  harness.set = { ...harness.set, queues: [ADVISED] };
  const first = await harness.open();
  await harness.submit(first, [testStep()]);
  first.close();
  harness.addWorker("w1");
  await harness.open();
  await harness.clock.run(300);
  t.deepEqual([...new Set(harness.adviceRequests)], [`${JOB}.0.0`]);
});

test("an expired ticket is requested again", async (t) => {
  const harness = new Harness();
  harness.set = { ...harness.set, queues: [ADVISED] };
  const first = await harness.open();
  await harness.submit(first, [testStep()]);
  first.close();
  const worker = harness.addWorker("w1");
  harness.cachedAdvice = [{
    step: `${JOB}.0.0`,
    bad: [],
    good: [{ worker: "w1", ticket: "ticket", ageMs: 5_000 }],
  }];
  await harness.open();
  await harness.clock.run(300);
  t.is(worker.starts.length, 0);
  t.true(harness.adviceRequests.length > 0);
});

test("the next leader requests advice anew if cached advice can't be read", async (t) => {
  const harness = new Harness();
  harness.set = { ...harness.set, queues: [ADVISED] };
  const first = await harness.open();
  await harness.submit(first, [testStep()]);
  first.close();
  harness.addWorker("w1");
  await harness.open({
    recoverAdvice: () => Promise.reject(new Error("broken")),
  });
  await harness.clock.run(300);
  t.true(harness.adviceRequests.length > 0);
});
