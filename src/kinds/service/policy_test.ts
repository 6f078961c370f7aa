import test from "ava";
import type { Workload } from "../../operator_set.ts";
import { WorkerPool } from "../../policy/worker_pool.ts";
import { zeroResources } from "../../resources.ts";
import { mayPreempt, place, retry } from "../registry.ts";

const need = { ...zeroResources, cpuMillis: 1_000, slots: 1 };
const workload: Workload = {
  kind: "service",
  name: "receipts",
  queue: "counter",
  resources: need,
  idempotent: false,
  timeoutMs: 1_000,
  attempts: 3,
  replicas: 0,
  path: "/",
};

function poolOf(zones: readonly string[]): WorkerPool {
  const pool = new WorkerPool();
  for (const zone of zones) {
    pool.upsert({
      id: zone,
      address: "10.0.0.1:80",
      zone,
      rack: zone,
      capacity: { ...zeroResources, cpuMillis: 8_000, slots: 8 },
      connections: 60,
    });
  }
  return pool;
}

test("service: requests are placed on the worker with the most free capacity", (t) => {
  const pool = poolOf(["a", "b"]);
  pool.allocate("a", need);
  t.deepEqual(place(workload, { pool, need }), {
    type: "placed",
    workers: ["b"],
  });
});

test("service: replicas are placed in the zone and rack with the fewest", (t) => {
  const pool = poolOf(["a", "b"]);
  pool.allocate("a", need);
  const counts = new Map([["b", 1]]);
  const spread = { zones: counts, racks: counts };
  t.deepEqual(place(workload, { pool, need, spread }), {
    type: "placed",
    workers: ["a"],
  });
});

test("service: a need that never fits is distinguished from one that has to wait", (t) => {
  const pool = poolOf(["a"]);
  pool.allocate("a", { ...zeroResources, slots: 8 });
  t.deepEqual(place(workload, { pool, need }), { type: "noRoom" });
  const huge = { ...need, memoryMib: 1 };
  t.deepEqual(place(workload, { pool, need: huge }), { type: "neverFits" });
});

test("service: a non-idempotent request is retried only if it did not run", (t) => {
  const again = { type: "retry", delayMs: 0 };
  const outcomes = ["notRun", "failed", "unknown"] as const;
  const once = outcomes.map((outcome) =>
    retry(workload, { attempts: 1, outcome })
  );
  t.deepEqual(once, [again, { type: "answer" }, { type: "answer" }]);
  const idempotent = { ...workload, idempotent: true };
  t.deepEqual(retry(idempotent, { attempts: 1, outcome: "unknown" }), again);
  t.deepEqual(retry(idempotent, { attempts: 3, outcome: "unknown" }), {
    type: "answer",
  });
});

test("service: preempts deferred work that loses nothing", (t) => {
  const victim = {
    attempt: "1",
    kind: "batch",
    urgency: "deferred",
    checkpoints: false,
    idempotent: true,
    rank: 0,
  } as const;
  const claimant = { urgency: "urgent", rank: 0 } as const;
  const may = (extra: object) =>
    mayPreempt("service", { claimant, victim: { ...victim, ...extra } });
  t.true(may({}));
  t.true(may({ kind: "gang", checkpoints: true }));
  t.false(may({ kind: "gang" }));
  t.false(may({ idempotent: false }));
  t.false(may({ urgency: "urgent" }));
});
