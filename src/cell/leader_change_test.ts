import test from "ava";
import { sleep } from "../clock.ts";
import { ResultAsync } from "neverthrow";
import { Harness, testQueue, testStep } from "./_fixtures_test.ts";

test("a submission is refused at once when the store has been unreachable for longer than the submission can wait", async (t) => {
  const harness = new Harness();
  harness.addWorker("w1");
  const cell = await harness.open();
  harness.store.unavailable = true;
  const first = harness.beginSubmit(cell, [testStep()]);
  await harness.clock.run(1_200);
  t.deepEqual(await first, { type: "refused", reason: "storeAway" });
  const second = harness.beginSubmit(cell, [testStep()], "00000000000000b1");
  t.deepEqual(await second, { type: "refused", reason: "storeAway" });
  harness.store.unavailable = false;
  await harness.clock.run(500);
  t.is(await harness.submit(cell, [testStep()]), "accepted");
  t.is(cell.state("00000000000000b1"), "absent");
});

test("a submission with an objective of seconds waits up to a second for the store", async (t) => {
  const harness = new Harness();
  harness.addWorker("w1");
  harness.set = {
    ...harness.set,
    queues: [testQueue({ objectiveMs: 20_000 })],
  };
  const cell = await harness.open();
  harness.store.unavailable = true;
  await harness.clock.run(2_000);
  const first = harness.beginSubmit(cell, [testStep()]);
  await harness.clock.run(1_100);
  t.deepEqual(await first, { type: "refused", reason: "storeAway" });
  const second = harness.beginSubmit(cell, [testStep()], "00000000000000b1");
  await harness.clock.run(700);
  harness.store.unavailable = false;
  await harness.clock.run(300);
  t.deepEqual(await second, { type: "accepted" });
});

test("a new leader polls a worker once before it starts a task there", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  worker.maxPollMs = 1_000;
  const pollWaitsMs: number[] = [];
  const poll = harness.workerClient.poll.bind(harness.workerClient);
  harness.workerClient.poll = (address, request) => {
    pollWaitsMs.push(request.waitMs);
    return poll(address, request);
  };
  const cell = await harness.open();
  t.deepEqual(pollWaitsMs, [0, 1_000]);
  await harness.submit(cell, [testStep()]);
  t.is(worker.starts.length, 1);
});

test("an exiting leader accepts submissions and starts none of their tasks", async (t) => {
  const harness = new Harness();
  const worker = harness.addWorker("w1");
  const cell = await harness.open();
  const settled = cell.quiesce(300);
  t.is(await harness.submit(cell, [testStep()]), "accepted");
  await harness.clock.run(300);
  await settled;
  t.is(worker.starts.length, 0);
  cell.resume();
  await harness.clock.run(100);
  t.is(worker.starts.length, 1, "tasks start again after resume");
});

test("a new leader polls hundreds of workers with at most 24 calls in flight", async (t) => {
  const harness = new Harness();
  for (let index = 0; index < 380; index++) harness.addWorker(`w${index}`);
  let inFlight = 0;
  let maxInFlight = 0;
  const poll = harness.workerClient.poll.bind(harness.workerClient);
  harness.workerClient.poll = (address, request) => {
    if (request.waitMs > 0) return poll(address, request);
    maxInFlight = Math.max(maxInFlight, ++inFlight);
    const wait = new Promise<void>((resolve) =>
      harness.clock.after(10, () => resolve())
    );
    return ResultAsync.fromSafePromise(wait).andThen(() => {
      inFlight--;
      return poll(address, request);
    });
  };
  const cell = await harness.open();
  t.true(maxInFlight <= 24, String(maxInFlight));
  t.is(await harness.submit(cell, [testStep()]), "accepted");
});

test("silent workers do not delay a new leader's first poll of the other workers", async (t) => {
  const harness = new Harness();
  const silent = Array.from(
    { length: 100 },
    (_, index) => harness.addWorker(`s${index}`),
  );
  const worker = harness.addWorker("w1");
  for (const worker of silent) worker.silent = true;
  const poll = harness.workerClient.poll.bind(harness.workerClient);
  harness.workerClient.poll = (address, request) => {
    if (!address.id.startsWith("s")) return poll(address, request);
    const wait = new Promise<void>((resolve) =>
      harness.clock.after(1_000, () => resolve())
    );
    return ResultAsync.fromSafePromise(wait)
      .andThen(() => poll(address, request));
  };
  const cell = await harness.open();
  await harness.submit(cell, [testStep()]);
  t.is(worker.starts.length, 1);
});

test("a late response to a former term does not end the next one", async (t) => {
  const harness = new Harness();
  harness.addWorker("w1");
  const first = await harness.open();
  const { workerClient, clock } = harness;
  const start = workerClient.start.bind(workerClient);
  let responses = 0;
  workerClient.start = async () => {
    await sleep(clock, 300);
    responses++;
    return { type: "rejected", reason: "fenced" };
  };
  await harness.submit(first, [testStep()]);
  first.close();
  workerClient.start = start;
  await harness.open();
  t.is(responses, 1);
  t.deepEqual(harness.stepDownReasons, []);
});
