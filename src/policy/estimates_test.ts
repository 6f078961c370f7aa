import test from "ava";
import { zeroResources } from "../resources.ts";
import type { Resources } from "../types.ts";
import { DrainRate } from "./drain_rate.ts";
import { Estimates } from "./estimates.ts";
import { advise, type RunningTask } from "./overuse.ts";

const key = { team: "red", workload: "imports" };
const declared = size(4_000, 8_192);

function size(cpuMillis: number, memoryMib: number): Resources {
  return { cpuMillis, memoryMib, accelerators: 1, slots: 1 };
}

function run(estimates: Estimates, times: number, used: Resources): void {
  for (let i = 0; i < times; i++) {
    estimates.observe({ ...key, attempt: `${i}`, used });
    estimates.finish(`${i}`);
  }
}

test("estimates: as declared until enough was seen", (t) => {
  const estimates = new Estimates();
  t.deepEqual(estimates.estimate(key, declared), declared);
  run(estimates, 5, size(1_000, 1_000));
  t.deepEqual(estimates.estimate(key, declared), declared);
  run(estimates, 30, size(1_000, 1_000));
  const { cpuMillis, memoryMib, accelerators } = estimates.estimate(
    key,
    declared,
  );
  t.true(cpuMillis >= 1_000 && cpuMillis < 1_300);
  t.is(memoryMib, 1_050);
  t.is(accelerators, 1);
});

test("estimates: work never seen before may be larger than declared", (t) => {
  const estimates = new Estimates();
  const largest = size(10_000, 99_999);
  const estimate = () => estimates.estimate(key, declared, { largest });
  t.deepEqual(estimate(), size(10_000, 32_768));
  run(estimates, 1, size(1_000, 1_000));
  t.deepEqual(estimate(), declared);
});

test("estimates: one large task raises them at once", (t) => {
  const estimates = new Estimates();
  estimates.observe({ ...key, attempt: "x", used: size(9_000, 20_000) });
  const { cpuMillis, memoryMib } = estimates.estimate(key, declared);
  t.true(cpuMillis >= 9_000);
  t.true(memoryMib >= 20_000);
});

test("estimates: memory never falls below the largest seen", (t) => {
  const estimates = new Estimates();
  run(estimates, 1, size(500, 5_000));
  run(estimates, 2_000, size(500, 100));
  t.true(estimates.estimate(key, declared).memoryMib >= 5_000);
});

test("estimates: stopped attempts leave no low peaks", (t) => {
  const estimates = new Estimates();
  for (let i = 0; i < 50; i++) {
    estimates.observe({ ...key, attempt: `${i}`, used: size(1, 1) });
    estimates.discard(`${i}`);
  }
  t.deepEqual(estimates.estimate(key, declared), declared);
});

test("estimates: bounded memory", (t) => {
  const estimates = new Estimates();
  for (let i = 0; i < 3_000; i++) {
    const sample = { team: `t${i}`, workload: "w", attempt: `${i}` };
    estimates.observe({ ...sample, used: size(1, 1) });
  }
  t.is(estimates.size, 2_048);
});

const capacity = size(10_000, 10_000);

function task(
  attempt: string,
  used: Resources,
  extra: Partial<RunningTask> = {},
): RunningTask {
  return {
    attempt,
    used,
    urgency: "deferred",
    idempotent: true,
    checkpoints: true,
    rank: 0,
    ...extra,
  };
}

function usageOf(tasks: RunningTask[]): Resources {
  return tasks.reduce((sum, { used }) => ({
    ...sum,
    cpuMillis: sum.cpuMillis + used.cpuMillis,
    memoryMib: sum.memoryMib + used.memoryMib,
  }), zeroResources);
}

function adviceFor(tasks: RunningTask[]): string[] {
  return advise(capacity, { usage: usageOf(tasks), tasks })
    .map((action) => `${action.type} ${action.attempt}`);
}

test("overuse: nothing to do", (t) => {
  t.deepEqual(adviceFor([task("a", size(5_000, 5_000))]), []);
});

test("overuse: processors are throttled, deferred work first", (t) => {
  const tasks = [
    task("u", size(8_000, 100), { urgency: "urgent" }),
    task("d", size(4_000, 100)),
  ];
  t.deepEqual(advise(capacity, { usage: usageOf(tasks), tasks }), [
    { type: "throttle", attempt: "d", cpuMillis: 2_000 },
  ]);
});

test("overuse: memory is freed where least is lost", (t) => {
  const once = { idempotent: false, checkpoints: false };
  const again = { idempotent: true, checkpoints: false };
  t.deepEqual(
    adviceFor([
      task("u", size(0, 6_000), { urgency: "urgent" }),
      task("once", size(0, 3_000), once),
      task("again", size(0, 3_000), again),
      task("saved", size(0, 2_000)),
    ]),
    ["checkpoint saved", "stop again"],
  );
});

test("overuse: teams above their share give way first", (t) => {
  const tasks = [
    task("low", size(0, 6_000), { rank: 0.1 }),
    task("high", size(0, 6_000), { rank: 0.9 }),
  ];
  t.deepEqual(adviceFor(tasks), ["checkpoint high"]);
});

test("overuse: use by others counts", (t) => {
  const tasks = [task("a", size(4_000, 100))];
  const usage = size(12_000, 100);
  t.deepEqual(advise(capacity, { usage, tasks }), [
    { type: "throttle", attempt: "a", cpuMillis: 2_000 },
  ]);
});

test("drain rate: unknown, then measured, then forgotten", (t) => {
  const rate = new DrainRate(0);
  t.true(rate.canAnswerInTime(99, { budgetMs: 1, nowMs: 0 }));
  t.is(rate.retryAfterMs(99, 0), 1_000);
  for (let i = 0; i < 100; i++) rate.record(i * 100);
  t.is(rate.perSecond(10_000 - 1), 100 * 1_000 / (10_000 - 1));
  t.is(rate.retryAfterMs(50, 9_999), 5_000);
  t.false(rate.canAnswerInTime(50, { budgetMs: 4_000, nowMs: 9_999 }));
  t.true(rate.canAnswerInTime(50, { budgetMs: 6_000, nowMs: 9_999 }));
  t.is(rate.perSecond(60_000), undefined);
});
