import test from "ava";
import { testStep, World } from "./_fixtures_test.ts";
import type { FakeWorker } from "./_fake_workers_test.ts";

const JOB = "00000000000000aa";
const TASK = `${JOB}.0.0.0`;
/** A whole worker. */
const WHOLE_WORKER = { cpuMillis: 4_000, memoryMib: 100, accelerators: 0 };

/** A worker in each of two zones. */
function twoZones(world: World): readonly [FakeWorker, FakeWorker] {
  return [world.addWorker("w1"), world.addWorker("w2", { zone: "b" })];
}

// Guards against new work in an evacuated zone, and against a zone that stays out of use.
test("an evacuated zone gets nothing new, keeps what runs, and is used again once restored", async (t) => {
  const world = new World();
  const [near, far] = twoZones(world);
  const cell = await world.open();
  await world.submit(cell, [testStep({ tasks: 2, amounts: WHOLE_WORKER })]);
  await world.clock.run(300);
  t.deepEqual([near.running.size, far.running.size], [1, 1]);
  world.evacuate("b");
  world.tellZones();
  far.end(far.starts[0]!.task, "done");
  await world.submit(cell, [testStep()], "00000000000000b1");
  await world.clock.run(1_500);
  t.deepEqual([near.starts.length, far.starts.length], [1, 1]);
  t.deepEqual(near.stops, []);
  // The step has waited all the while; the next pass uses the zone.
  world.evacuate("b", false);
  world.tellZones();
  await world.clock.run(100);
  t.deepEqual([near.starts.length, far.starts.length], [1, 2]);
});

// Guards against a stop of running work by an evacuation.
test("what runs in an evacuated zone ends by itself", async (t) => {
  const world = new World();
  const far = world.addWorker("w2", { zone: "b" });
  const cell = await world.open();
  await world.submit(cell, [testStep()]);
  await world.clock.run(300);
  world.evacuate("b");
  world.tellZones();
  await world.clock.run(2_000);
  t.is(far.running.size, 1);
  t.deepEqual(far.stops, []);
  far.end(TASK, "done");
  await world.clock.run(300);
  t.is(cell.state(JOB), "done");
});

// Guards against a new holder that starts work before it has read the evacuations.
test("a request that came while there was no holder binds the next one", async (t) => {
  const world = new World();
  const [near, far] = twoZones(world);
  const first = await world.open();
  const steps = [testStep({ tasks: 8 }), testStep({ tasks: 8, after: [0] })];
  await world.submit(first, steps);
  await world.clock.run(300);
  first.close();
  world.evacuate("b");
  for (const worker of [near, far]) {
    for (const task of [...worker.running.keys()]) worker.end(task, "done");
  }
  await world.open();
  await world.clock.run(500);
  t.deepEqual([near.starts.length, far.starts.length], [8, 4]);
});

// Guards against workers that are listed after the evacuation was seen, and against starts that are recorded for nothing.
test("a worker that joins an evacuated zone is given nothing", async (t) => {
  const world = new World();
  const cell = await world.open();
  world.evacuate("b");
  world.tellZones();
  const far = world.addWorker("w2", { zone: "b" });
  await world.submit(cell, [testStep()]);
  await world.clock.run(2_000);
  const near = world.addWorker("w1");
  await world.clock.run(1_500);
  t.is(far.starts.length, 0);
  t.deepEqual(near.starts.map(({ run }) => run), [1]);
});

// Guards against starts by an old view of the zones after an outage of the store.
test("after an outage nothing starts before the zones are read again", async (t) => {
  const world = new World();
  world.evacuateMs = 5_000;
  const far = world.addWorker("w2", { zone: "b" });
  const cell = await world.open();
  await world.submit(cell, [testStep({ tasks: 5 })]);
  await world.clock.run(300);
  t.is(far.starts.length, 4);
  world.store.away = true;
  world.evacuate("b");
  await world.clock.run(5_000);
  far.end(far.starts[0]!.task, "done");
  world.store.away = false;
  await world.clock.run(1_000);
  t.is(far.starts.length, 4);
  world.tellZones();
  await world.clock.run(500);
  t.is(far.starts.length, 4);
  world.evacuate("b", false);
  world.tellZones();
  await world.clock.run(500);
  t.is(far.starts.length, 5);
});

// Guards against an order between the decision and the record of a start.
test("a start that is being recorded when its zone is evacuated is not ordered", async (t) => {
  const world = new World();
  const far = world.addWorker("w2", { zone: "b" });
  const cell = await world.open();
  evacuateDuringNextCommit(world);
  await world.submit(cell, [testStep()]);
  const near = world.addWorker("w1");
  await world.clock.run(1_500);
  t.is(far.starts.length, 0);
  t.deepEqual(near.starts.map(({ run }) => run), [2]);
});

// Guards against a gang that starts in part as one of its workers is caught.
test("a gang of which one member is caught is ordered nowhere, then starts as a whole", async (t) => {
  const world = new World();
  const [near, far] = twoZones(world);
  const cell = await world.open();
  evacuateDuringNextCommit(world);
  const gang = testStep({ tasks: 2, gang: true, amounts: WHOLE_WORKER });
  await world.submit(cell, [gang]);
  await world.clock.run(500);
  t.deepEqual([near.starts.length, far.starts.length], [0, 0]);
  const other = world.addWorker("w3");
  await world.clock.run(2_000);
  t.is(far.starts.length, 0);
  t.deepEqual(
    [near, other].map(({ starts }) => starts.map(({ run }) => run)),
    [[2], [2]],
  );
});

// Guards against a repeated order into the zone, and against one that is carried out late.
test("an unanswered order is not repeated into an evacuated zone, and is forbidden there", async (t) => {
  const world = new World();
  const far = world.addWorker("w2", { zone: "b" });
  const cell = await world.open();
  far.mute = true;
  const start = world.orders.start.bind(world.orders);
  let orders = 0;
  world.orders.start = (address, order) => {
    orders++;
    const answer = start(address, order);
    world.evacuate("b");
    world.tellZones();
    return answer;
  };
  await world.submit(cell, [testStep()]);
  await world.clock.run(600);
  t.is(orders, 1);
  far.mute = false;
  far.carryOutLate();
  t.is(far.running.size, 0);
  const near = world.addWorker("w1");
  await world.clock.run(2_000);
  t.deepEqual(near.starts.map(({ run }) => run), [2]);
  t.is(far.starts.length, 0);
});

// Guards against store calls that a deployment without evacuations would pay for.
test("a holder reads the evacuations once, before its first start", async (t) => {
  const world = new World();
  twoZones(world);
  const cell = await world.open();
  await world.submit(cell, [testStep({ tasks: 8 })]);
  await world.clock.run(10_000);
  t.is(world.evacuationsRead, 1);
});

/** Evacuates zone `b` with the first commit that follows, before its answer. */
function evacuateDuringNextCommit(world: World): void {
  const commit = world.store.commit.bind(world.store);
  let done = false;
  world.store.commit = (conditions, writes) => {
    const answer = commit(conditions, writes);
    if (done) return answer;
    done = true;
    world.evacuate("b");
    world.tellZones();
    return answer;
  };
}
