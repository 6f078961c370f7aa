import test from "ava";
import { testStep, World } from "./_fixtures_test.ts";

const JOB = "00000000000000aa";
const TASK = `${JOB}.0.0.0`;

test("a job runs and is done once the store holds its end", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  t.is(await world.submit(cell, [testStep()]), "accepted");
  await world.clock.run(300);
  t.is(worker.starts.length, 1);
  t.is(cell.state(JOB), "running");
  worker.end(TASK, "done");
  await world.clock.run(300);
  t.is(cell.state(JOB), "done");
  t.is(worker.acknowledged, 1);
});

test("ends are not acknowledged before the store holds them", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  const other = "00000000000000b1";
  await world.submit(cell, [testStep()]);
  await world.submit(cell, [testStep()], other);
  await world.clock.run(300);
  const keys = [JOB, other].map((id) => `progress/${id}`);
  for (const key of keys) world.store.stuckKeys.add(key);
  worker.end(TASK, "done");
  await world.clock.run(1_500);
  // Reported while the first end still waits for the store.
  worker.end(`${other}.0.0.0`, "done");
  await world.clock.run(2_000);
  t.is(worker.acknowledged, 0);
  world.store.stuckKeys.delete(keys[0]!);
  await world.clock.run(2_000);
  t.is(worker.acknowledged, 1);
  t.is(cell.state(other), "running");
  world.store.stuckKeys.delete(keys[1]!);
  await world.clock.run(2_000);
  t.is(worker.acknowledged, 2);
  t.is(cell.state(other), "done");
});

test("a new holder goes on from the store and from the workers", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const first = await world.open();
  await world.submit(first, [testStep(), testStep({ after: [0] })]);
  await world.clock.run(300);
  first.close();
  worker.end(TASK, "done");
  const second = await world.open();
  await world.clock.run(500);
  t.deepEqual(worker.starts.map((order) => order.task), [
    TASK,
    `${JOB}.0.1.0`,
  ]);
  t.is(second.state(JOB), "running");
});

test("a former holder's writes and orders have no effect", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const first = await world.open();
  await world.open();
  const outcome = world.offer(first, [testStep()]);
  await world.clock.run(1_000);
  t.is((await outcome).type, "unknown");
  t.true(world.deposed.length > 0);
  t.is(worker.starts.length, 0);
});

test("a task whose worker cannot be reached waits out the lease", async (t) => {
  const world = new World();
  const cut = world.addWorker("w1");
  const first = await world.open();
  await world.submit(first, [testStep()]);
  await world.clock.run(300);
  first.close();
  cut.silent = true;
  const other = world.addWorker("w2");
  await world.open();
  await world.clock.run(5_900);
  t.is(other.starts.length, 0);
  await world.clock.run(4_000);
  t.is(other.starts.length, 1);
  t.is(other.starts[0]?.run, 2);
});

test("a worker that falls silent is not renewed, and its task starts elsewhere", async (t) => {
  const world = new World();
  const cut = world.addWorker("w1");
  const cell = await world.open();
  await world.submit(cell, [testStep()]);
  await world.clock.run(300);
  t.is(cut.starts.length, 1);
  cut.silent = true;
  const other = world.addWorker("w2");
  await world.clock.run(5_500);
  t.is(other.starts.length, 0);
  await world.clock.run(2_500);
  t.deepEqual(other.starts.map((order) => order.run), [2]);
});

test("an order without an answer is forbidden before it is given elsewhere", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  worker.mute = true;
  await world.submit(cell, [testStep()]);
  await world.clock.run(600);
  t.true(worker.stops.some((stop) => stop.task === TASK && stop.run === 1));
  worker.mute = false;
  worker.carryOutLate();
  t.is(worker.running.size, 0);
  await world.clock.run(1_500);
  t.deepEqual(worker.starts.map((order) => order.run), [2]);
});

test("a worker that starts anew loses its runs and keeps no acknowledgement", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  await world.submit(cell, [testStep()]);
  await world.clock.run(300);
  worker.silent = true;
  await world.clock.run(500);
  worker.restart();
  worker.silent = false;
  await world.clock.run(1_500);
  t.is(cell.state(JOB), "running");
  t.is(worker.starts.at(-1)?.run, 2);
  t.is(worker.acknowledged, 0);
});

test("a job fails after its attempts", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  await world.submit(cell, [testStep()]);
  for (let run = 1; run <= 3; run++) {
    await world.clock.run(5_000);
    worker.end(TASK, "failed");
  }
  await world.clock.run(500);
  t.is(worker.starts.length, 3);
  t.is(cell.state(JOB), "failed");
});

for (const gang of [false, true]) {
  test(`a failure that the next holder hears of again counts once: gang=${gang}`, async (t) => {
    const world = new World();
    const worker = world.addWorker("w1");
    const first = await world.open();
    await world.submit(first, [testStep({ gang })]);
    await world.clock.run(300);
    const { entries } = world;
    world.entries = entries.map((entry) => ({ ...entry, draining: true }));
    await world.clock.run(800);
    worker.keepsEnds = true;
    worker.end(TASK, "failed");
    await world.clock.run(300);
    first.close();
    world.entries = entries;
    const second = await world.open();
    await world.clock.run(4_000);
    worker.end(TASK, "failed");
    await world.clock.run(4_000);
    t.is(second.state(JOB), "running");
    worker.end(TASK, "failed");
    await world.clock.run(500);
    t.is(worker.starts.length, 3);
    t.is(second.state(JOB), "failed");
  });
}

test("a canceled job is stopped and stays canceled", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  await world.submit(cell, [testStep({ tasks: 2 })]);
  await world.clock.run(300);
  const canceled = cell.cancel(JOB);
  await world.clock.run(300);
  t.is(await canceled, "canceled");
  t.is(worker.running.size, 0);
  t.is(cell.state(JOB), "canceled");
});

test("no worker is filled beyond its capacity", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  await world.submit(cell, [testStep({ tasks: 9 })]);
  await world.clock.run(500);
  t.is(worker.running.size, 4);
});

test("a submission is refused while the store is away, and never runs", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  world.store.away = true;
  const submit = (id: string) => world.offer(cell, [testStep()], id);
  const first = submit("00000000000000b2");
  await world.clock.run(700);
  const second = submit(JOB);
  // A quarter of the queue's objective of 500 ms, and one look.
  await world.clock.run(165);
  const refused = { type: "refused", reason: "storeAway" } as const;
  t.deepEqual([await first, await second], [refused, refused]);
  world.store.away = false;
  await world.clock.run(1_000);
  t.is(worker.starts.length, 0);
  t.is(cell.state("00000000000000b2"), undefined);
  t.is(await world.submit(cell, [testStep()]), "accepted");
});

test("a submission whose write may have taken effect is not refused", async (t) => {
  const world = new World();
  world.addWorker("w1");
  const cell = await world.open();
  world.store.loseAnswers = 1;
  const outcome = world.offer(cell, [testStep()]);
  await world.clock.run(40);
  world.store.away = true;
  await world.clock.run(1_500);
  t.is(cell.state(JOB), undefined);
  world.store.away = false;
  await world.clock.run(500);
  t.is((await outcome).type, "accepted");
});

test("a transaction whose answer was lost counts once", async (t) => {
  const world = new World();
  world.addWorker("w1");
  const cell = await world.open();
  world.store.loseAnswers = 1;
  const outcome = world.offer(cell, [testStep()]);
  await world.clock.run(500);
  t.is((await outcome).type, "accepted");
  t.deepEqual(world.deposed, []);
});

test("a task that stands still is started on another worker", async (t) => {
  const world = new World();
  const stalled = world.addWorker("w1");
  const cell = await world.open();
  await world.submit(cell, [testStep()]);
  stalled.stalled = true;
  const other = world.addWorker("w2");
  await world.clock.run(2_900);
  t.is(other.starts.length, 0);
  await world.clock.run(2_000);
  t.deepEqual(other.starts.map((order) => order.run), [2]);
  t.is(stalled.running.size, 0);
});

test("a draining worker gets nothing new", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  world.entries = world.entries.map((entry) => ({ ...entry, draining: true }));
  await world.clock.run(800);
  await world.submit(cell, [testStep()]);
  await world.clock.run(500);
  t.is(worker.starts.length, 0);
});

test("a team stays within its limit over all workers", async (t) => {
  const world = new World();
  world.set = {
    ...world.set,
    teams: [{
      name: "darkhan",
      keys: [],
      weight: 0,
      limit: { cpuMillis: 3_000, memoryMib: 0, accelerators: 0 },
    }],
  };
  const workers = [world.addWorker("w1"), world.addWorker("w2")];
  const cell = await world.open();
  const outcome = cell.submit({
    id: JOB,
    queue: "receipts",
    team: "darkhan",
    spec: { payload: "", steps: [testStep({ tasks: 8 })] },
  });
  await world.clock.run(800);
  t.is((await outcome).type, "accepted");
  const running = workers.reduce((sum, one) => sum + one.running.size, 0);
  t.is(running, 3);
});

test("a submission that fits at once is written with its first start", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  const before = world.store.commits;
  t.is(await world.submit(cell, [testStep()]), "accepted");
  t.is(worker.starts.length, 1);
  t.is(world.store.commits - before, 1);
});

test("a submission that is refused while the store is away leaves its room to others", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  const whole = testStep({
    amounts: { cpuMillis: 4_000, memoryMib: 100, accelerators: 0 },
  });
  world.store.away = true;
  const refused = world.offer(cell, [whole]);
  await world.clock.run(700);
  t.deepEqual(await refused, { type: "refused", reason: "storeAway" });
  t.is(cell.state(JOB), undefined);
  world.store.away = false;
  await world.clock.run(500);
  const other = "00000000000000b1";
  t.is(await world.submit(cell, [whole], other), "accepted");
  await world.clock.run(300);
  t.deepEqual(worker.starts.map(({ task }) => task), [`${other}.0.0.0`]);
});
