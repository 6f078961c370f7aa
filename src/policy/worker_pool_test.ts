import test from "ava";
import fc from "fast-check";
import { fits, subtract, zeroResources } from "../resources.ts";
import type { Resources, Worker } from "../types.ts";
import { WorkerPool } from "./worker_pool.ts";

const SEED = 7;

function worker(id: string, extra: Partial<Worker> = {}): Worker {
  return {
    id,
    address: "10.0.0.1:80",
    zone: "a",
    rack: "a1",
    capacity: need({ cpuMillis: 64_000, memoryMib: 262_144, slots: 8 }),
    connections: 60,
    ...extra,
  };
}

function need(part: Partial<Resources>): Resources {
  return { ...zeroResources, ...part };
}

const oneSlot = need({ cpuMillis: 1_000, memoryMib: 1_024, slots: 1 });

test("place: no worker if the need fits nowhere", (t) => {
  const pool = new WorkerPool();
  pool.upsert(worker("w"));
  t.is(pool.findWorker(need({ cpuMillis: 64_001 })), undefined);
  t.false(pool.couldEverFit(need({ cpuMillis: 64_001 })));
  t.true(pool.couldEverFit(need({ cpuMillis: 64_000 })));
});

test("place: packs workers or balances load, by strategy", (t) => {
  const pool = new WorkerPool();
  pool.upsert(worker("empty"));
  pool.upsert(worker("used"));
  t.true(pool.allocate("used", oneSlot));
  t.is(pool.findWorker(oneSlot), "used");
  t.is(pool.findWorker(oneSlot, { strategy: "even" }), "empty");
  t.is(pool.findWorker(oneSlot, { avoid: new Set(["used"]) }), "empty");
});

test("place: avoids free accelerators for tasks that need none", (t) => {
  const pool = new WorkerPool();
  const capacity = { ...worker("x").capacity, accelerators: 4 };
  pool.upsert(worker("accelerated", { capacity }));
  pool.upsert(worker("plain"));
  pool.allocate("accelerated", need({ cpuMillis: 60_000 }));
  t.is(pool.findWorker(oneSlot), "plain");
  t.is(pool.findWorker(need({ accelerators: 1 })), "accelerated");
});

test("place: spreads replicas over zones, then racks", (t) => {
  const pool = new WorkerPool();
  pool.upsert(worker("w1", { zone: "a", rack: "a1" }));
  pool.upsert(worker("w2", { zone: "b", rack: "b1" }));
  pool.upsert(worker("w3", { zone: "b", rack: "b2" }));
  const spread = {
    zones: new Map([["a", 2], ["b", 1]]),
    racks: new Map([["a1", 2], ["b1", 1]]),
  };
  t.is(pool.findWorker(oneSlot, { spread }), "w3");
});

test("unusable workers get no work and are not included in the totals", (t) => {
  const pool = new WorkerPool();
  pool.upsert(worker("w"));
  pool.setUsable("w", false);
  t.is(pool.findWorker(oneSlot), undefined);
  t.deepEqual(pool.totals(), { capacity: zeroResources, free: zeroResources });
  pool.release("w", oneSlot);
  pool.setUsable("w", true);
  t.is(pool.findWorker(oneSlot), "w");
});

test("allocation fails if the need does not fit", (t) => {
  const pool = new WorkerPool();
  pool.upsert(worker("w"));
  pool.setReserved("w", need({ slots: 7 }));
  t.true(pool.allocate("w", oneSlot));
  t.false(pool.allocate("w", oneSlot));
  pool.release("w", oneSlot);
  t.true(pool.allocate("w", oneSlot));
});

test("gang: workers for all tasks or none, without allocations", (t) => {
  const pool = new WorkerPool();
  pool.upsert(worker("w1"));
  pool.upsert(worker("w2"));
  const free = pool.totals().free;
  t.is(pool.findGangWorkers(oneSlot, { count: 16 })?.length, 16);
  t.is(pool.findGangWorkers(oneSlot, { count: 17 }), undefined);
  t.deepEqual(pool.totals().free, free);
});

test("free capacity and totals are exact after any sequence of operations", (t) => {
  const step = fc.record({
    action: fc.constantFrom("take", "release", "usable", "unusable", "place"),
    id: fc.integer({ min: 0, max: 4 }).map((id) => `w${id}`),
  });
  const property = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const pool = new WorkerPool();
    const allocations: string[] = [];
    for (let i = 0; i < 5; i++) pool.upsert(worker(`w${i}`));
    for (const { action, id } of steps) {
      const target = action === "place" ? pool.findWorker(oneSlot) : id;
      if (action === "usable") pool.setUsable(id, true);
      if (action === "unusable") pool.setUsable(id, false);
      if (action === "release" && allocations.length > 0) {
        pool.release(allocations.pop()!, oneSlot);
      }
      if ((action === "take" || action === "place") && target !== undefined) {
        if (pool.allocate(target, oneSlot)) allocations.push(target);
      }
    }
    let free = zeroResources;
    for (const id of pool.ids()) {
      if (!fits(zeroResources, pool.free(id)!)) return false;
      if (pool.isUsable(id)) {
        free = subtract(free, subtract(zeroResources, pool.free(id)!));
      }
    }
    return JSON.stringify(free) === JSON.stringify(pool.totals().free);
  });
  fc.assert(property, { seed: SEED });
  t.pass();
});

test("place finds a worker whenever the need fits on one", (t) => {
  const size = fc.record({
    cpuMillis: fc.integer({ min: 0, max: 64_000 }),
    memoryMib: fc.integer({ min: 0, max: 262_144 }),
    accelerators: fc.integer({ min: 0, max: 2 }),
    slots: fc.integer({ min: 0, max: 8 }),
  });
  const property = fc.property(
    fc.array(size, { minLength: 1, maxLength: 20 }),
    size,
    (capacities, requested) => {
      const pool = new WorkerPool();
      capacities.forEach((capacity, i) =>
        pool.upsert(worker(`w${i}`, { capacity }))
      );
      const id = pool.findWorker(requested);
      const possible = capacities.some((capacity) => fits(requested, capacity));
      return possible === (id !== undefined) &&
        (id === undefined || fits(requested, pool.free(id)!));
    },
  );
  fc.assert(property, { seed: SEED });
  t.pass();
});
