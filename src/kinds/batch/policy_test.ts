import test from "ava";
import { isNone, some } from "fp-ts/lib/Option.js";
import type { Workload } from "../../operator_set.ts";
import { WorkerPool } from "../../policy/worker_pool.ts";
import { zeroResources } from "../../resources.ts";
import { detectKind, mayPreempt, place, retry } from "../registry.ts";

const need = { ...zeroResources, slots: 1 };
const workload: Workload = {
  kind: "batch",
  name: "billing",
  queue: "month-end",
  resources: need,
  idempotent: true,
  timeoutMs: 1_000,
  attempts: 3,
  dueMs: 60_000,
};

test("the kind is detected by name, otherwise by fields", (t) => {
  t.deepEqual(detectKind({ kind: "batch", tasks: "4" }), some("batch"));
  t.deepEqual(detectKind({ tasks: "4", due: "1h" }), some("gang"));
  t.deepEqual(detectKind({ path: "/print" }), some("service"));
  t.deepEqual(detectKind({ due: "1h" }), some("batch"));
  t.true(isNone(detectKind({ kind: "cron" })));
  t.true(isNone(detectKind({})));
});

test("batch: the fullest worker is chosen", (t) => {
  const pool = new WorkerPool();
  for (const id of ["a", "b"]) {
    pool.upsert({
      id,
      address: "10.0.0.1:80",
      zone: "z",
      rack: "r",
      capacity: { cpuMillis: 8_000, memoryMib: 8, accelerators: 0, slots: 8 },
      connections: 60,
    });
  }
  pool.allocate("a", { ...need, cpuMillis: 1_000 });
  t.deepEqual(place(workload, { pool, need }), {
    type: "placed",
    workers: ["a"],
  });
});

test("batch: retried with backoff, then parked", (t) => {
  const delays = [1, 2, 3].map((attempts) =>
    retry(workload, { attempts, outcome: "failed" })
  );
  t.deepEqual(delays, [
    { type: "retry", delayMs: 500 },
    { type: "retry", delayMs: 1_000 },
    { type: "park" },
  ]);
});

test("batch: a non-idempotent task that may have run is parked", (t) => {
  const once = { ...workload, idempotent: false };
  t.is(retry(once, { attempts: 1, outcome: "unknown" }).type, "park");
  t.is(retry(once, { attempts: 1, outcome: "notRun" }).type, "retry");
});

test("batch: preempts only resumable tasks of teams far above their share", (t) => {
  const victim = {
    attempt: "1",
    kind: "batch",
    urgency: "deferred",
    checkpoints: true,
    idempotent: true,
    rank: 0.5,
  } as const;
  const may = (rank: number, checkpoints: boolean) =>
    mayPreempt("batch", {
      claimant: { urgency: "deferred", rank },
      victim: { ...victim, checkpoints },
    });
  t.true(may(0.2, true));
  t.false(may(0.3, true));
  t.false(may(0.2, false));
});
