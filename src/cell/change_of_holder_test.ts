import test from "ava";
import { ResultAsync } from "neverthrow";
import { testQueue, testStep, World } from "./_fixtures_test.ts";

test("a submission is refused as it comes once the store has been away for longer than it can wait", async (t) => {
  const world = new World();
  world.addWorker("w1");
  const cell = await world.open();
  world.store.away = true;
  const first = world.offer(cell, [testStep()]);
  await world.clock.run(1_200);
  t.deepEqual(await first, { type: "refused", reason: "storeAway" });
  const second = world.offer(cell, [testStep()], "00000000000000b1");
  t.deepEqual(await second, { type: "refused", reason: "storeAway" });
  world.store.away = false;
  await world.clock.run(500);
  t.is(await world.submit(cell, [testStep()]), "accepted");
  t.is(cell.state("00000000000000b1"), undefined);
});

test("a submission with seconds to spare waits for the store, and is answered within a second", async (t) => {
  const world = new World();
  world.addWorker("w1");
  world.set = { ...world.set, queues: [testQueue({ objectiveMs: 20_000 })] };
  const cell = await world.open();
  world.store.away = true;
  await world.clock.run(2_000);
  const first = world.offer(cell, [testStep()]);
  await world.clock.run(1_100);
  t.deepEqual(await first, { type: "refused", reason: "storeAway" });
  const second = world.offer(cell, [testStep()], "00000000000000b1");
  await world.clock.run(700);
  world.store.away = false;
  await world.clock.run(300);
  t.deepEqual(await second, { type: "accepted" });
});

test("a new holder looks at a worker once before it gives it work", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  worker.reportMs = 1_000;
  const looks: number[] = [];
  const look = world.orders.look.bind(world.orders);
  world.orders.look = (address, order) => {
    looks.push(order.waitMs);
    return look(address, order);
  };
  const cell = await world.open();
  t.deepEqual(looks, [0, 1_000]);
  await world.submit(cell, [testStep()]);
  t.is(worker.starts.length, 1);
});

test("a holder that leaves accepts submissions and starts none of their tasks", async (t) => {
  const world = new World();
  const worker = world.addWorker("w1");
  const cell = await world.open();
  const settled = cell.settle(300);
  t.is(await world.submit(cell, [testStep()]), "accepted");
  await world.clock.run(300);
  await settled;
  t.is(worker.starts.length, 0);
  cell.resume();
  await world.clock.run(100);
  t.is(worker.starts.length, 1, "nobody took the cell");
});

test("a new holder of hundreds of workers serves clients while it meets them", async (t) => {
  const world = new World();
  for (let index = 0; index < 380; index++) world.addWorker(`w${index}`);
  let open = 0;
  let most = 0;
  const look = world.orders.look.bind(world.orders);
  world.orders.look = (address, order) => {
    if (order.waitMs > 0) return look(address, order);
    most = Math.max(most, ++open);
    const wait = new Promise<void>((resolve) =>
      world.clock.after(10, () => resolve())
    );
    return ResultAsync.fromSafePromise(wait).andThen(() => {
      open--;
      return look(address, order);
    });
  };
  const cell = await world.open();
  t.true(most <= 24, String(most));
  t.is(await world.submit(cell, [testStep()]), "accepted");
});

test("silent workers do not keep a new holder from meeting the others", async (t) => {
  const world = new World();
  const silent = Array.from(
    { length: 100 },
    (_, index) => world.addWorker(`s${index}`),
  );
  const worker = world.addWorker("w1");
  for (const one of silent) one.silent = true;
  const look = world.orders.look.bind(world.orders);
  world.orders.look = (address, order) => {
    if (!address.id.startsWith("s")) return look(address, order);
    const wait = new Promise<void>((resolve) =>
      world.clock.after(1_000, () => resolve())
    );
    return ResultAsync.fromSafePromise(wait)
      .andThen(() => look(address, order));
  };
  const cell = await world.open();
  await world.submit(cell, [testStep()]);
  t.is(worker.starts.length, 1);
});
