import test from "ava";
import type { Workload } from "../../operator_set.ts";
import { WorkerPool } from "../../policy/worker_pool.ts";
import { zeroResources } from "../../resources.ts";
import type { WaitingItem } from "../../policy/waiting_queue.ts";
import { mayPreempt, order, place, retry } from "../registry.ts";

const need = { ...zeroResources, slots: 3 };
const workload: Workload = {
  kind: "gang",
  name: "margins",
  queue: "month-end",
  resources: need,
  idempotent: true,
  timeoutMs: 1_000,
  attempts: 2,
  tasks: 4,
  dueMs: 0,
};

function poolOf(workers: number): WorkerPool {
  const pool = new WorkerPool();
  for (let i = 0; i < workers; i++) {
    pool.upsert({
      id: `w${i}`,
      address: "10.0.0.1:80",
      zone: "z",
      rack: "r",
      capacity: { ...zeroResources, slots: 8 },
      connections: 60,
    });
  }
  return pool;
}

test("gang: all tasks are placed or none", (t) => {
  const placed = place(workload, { pool: poolOf(2), need });
  t.is(placed.type === "placed" && placed.workers.length, 4);
  t.is(place(workload, { pool: poolOf(1), need }).type, "noRoom");
  const large = { ...need, slots: 9 };
  t.is(place(workload, { pool: poolOf(2), need: large }).type, "neverFits");
});

test("gang: retried as a whole, then parked", (t) => {
  const outcome = "failed";
  t.is(retry(workload, { attempts: 1, outcome }).type, "retry");
  t.is(retry(workload, { attempts: 2, outcome }).type, "park");
});

test("gang: ordered by due time, then by arrival", (t) => {
  const a = { arrivedAtMs: 1 } as WaitingItem;
  const b = { arrivedAtMs: 2, dueAtMs: 9 } as WaitingItem;
  t.true(order("gang", { a, b }) > 0);
  t.true(order("service", { a, b }) < 0);
});

test("gang: never preempts tasks of another gang", (t) => {
  const victim = {
    attempt: "1",
    kind: "gang",
    urgency: "deferred",
    checkpoints: true,
    idempotent: true,
    rank: 0.9,
  } as const;
  const claimant = { urgency: "deferred", rank: 0.1 } as const;
  t.false(mayPreempt("gang", { claimant, victim }));
  t.true(mayPreempt("gang", {
    claimant,
    victim: { ...victim, kind: "batch" },
  }));
});
