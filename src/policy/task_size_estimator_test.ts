import test from "ava";
import { zeroResources } from "../resources.ts";
import type { Resources } from "../types.ts";
import { DrainRate } from "./drain_rate.ts";
import { TaskSizeEstimator } from "./task_size_estimator.ts";
import { planRelief, type RunningTask } from "./overuse.ts";

const key = { team: "red", workload: "imports" };
const declared = size(4_000, 8_192);

function size(cpuMillis: number, memoryMib: number): Resources {
  return { cpuMillis, memoryMib, accelerators: 1, slots: 1 };
}

function completeAttempts(
  estimator: TaskSizeEstimator,
  times: number,
  used: Resources,
): void {
  for (let i = 0; i < times; i++) {
    estimator.recordUsage({ ...key, attempt: `${i}`, used });
    estimator.recordCompletion(`${i}`);
  }
}

test("estimates: the declared size until enough attempts have completed", (t) => {
  const estimator = new TaskSizeEstimator();
  t.deepEqual(estimator.estimate(key, declared), declared);
  completeAttempts(estimator, 5, size(1_000, 1_000));
  t.deepEqual(estimator.estimate(key, declared), declared);
  completeAttempts(estimator, 30, size(1_000, 1_000));
  const { cpuMillis, memoryMib, accelerators } = estimator.estimate(
    key,
    declared,
  );
  t.true(cpuMillis >= 1_000 && cpuMillis < 1_300);
  t.is(memoryMib, 1_050);
  t.is(accelerators, 1);
});

test("estimates: a multiple of the declared size for work without history", (t) => {
  const estimator = new TaskSizeEstimator();
  const largest = size(10_000, 99_999);
  const estimate = () => estimator.estimate(key, declared, { largest });
  t.deepEqual(estimate(), size(10_000, 32_768));
  completeAttempts(estimator, 1, size(1_000, 1_000));
  t.deepEqual(estimate(), declared);
});

test("estimates: one large running task raises them immediately", (t) => {
  const estimator = new TaskSizeEstimator();
  estimator.recordUsage({ ...key, attempt: "x", used: size(9_000, 20_000) });
  const { cpuMillis, memoryMib } = estimator.estimate(key, declared);
  t.true(cpuMillis >= 9_000);
  t.true(memoryMib >= 20_000);
});

test("estimates: memory stays at or above the largest observed usage", (t) => {
  const estimator = new TaskSizeEstimator();
  completeAttempts(estimator, 1, size(500, 5_000));
  completeAttempts(estimator, 2_000, size(500, 100));
  t.true(estimator.estimate(key, declared).memoryMib >= 5_000);
});

test("estimates: peaks of discarded attempts are not recorded", (t) => {
  const estimator = new TaskSizeEstimator();
  for (let i = 0; i < 50; i++) {
    estimator.recordUsage({ ...key, attempt: `${i}`, used: size(1, 1) });
    estimator.discard(`${i}`);
  }
  t.deepEqual(estimator.estimate(key, declared), declared);
});

test("estimates: the number of histories is bounded", (t) => {
  const estimator = new TaskSizeEstimator();
  for (let i = 0; i < 3_000; i++) {
    const sample = { team: `t${i}`, workload: "w", attempt: `${i}` };
    estimator.recordUsage({ ...sample, used: size(1, 1) });
  }
  t.is(estimator.size, 2_048);
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

function plannedActions(tasks: RunningTask[]): string[] {
  return planRelief(capacity, { usage: usageOf(tasks), tasks })
    .map((action) => `${action.type} ${action.attempt}`);
}

test("overuse: no actions below capacity", (t) => {
  t.deepEqual(plannedActions([task("a", size(5_000, 5_000))]), []);
});

test("overuse: processor usage is throttled, deferred tasks first", (t) => {
  const tasks = [
    task("u", size(8_000, 100), { urgency: "urgent" }),
    task("d", size(4_000, 100)),
  ];
  t.deepEqual(planRelief(capacity, { usage: usageOf(tasks), tasks }), [
    { type: "throttle", attempt: "d", cpuMillis: 2_000 },
  ]);
});

test("overuse: memory is freed by the evictions that lose the least work", (t) => {
  const neither = { idempotent: false, checkpoints: false };
  const idempotentOnly = { idempotent: true, checkpoints: false };
  t.deepEqual(
    plannedActions([
      task("u", size(0, 6_000), { urgency: "urgent" }),
      task("once", size(0, 3_000), neither),
      task("again", size(0, 3_000), idempotentOnly),
      task("saved", size(0, 2_000)),
    ]),
    ["checkpoint saved", "stop again"],
  );
});

test("overuse: tasks of teams with a higher rank are evicted first", (t) => {
  const tasks = [
    task("low", size(0, 6_000), { rank: 0.1 }),
    task("high", size(0, 6_000), { rank: 0.9 }),
  ];
  t.deepEqual(plannedActions(tasks), ["checkpoint high"]);
});

test("overuse: usage outside of tasks is included", (t) => {
  const tasks = [task("a", size(4_000, 100))];
  const usage = size(12_000, 100);
  t.deepEqual(planRelief(capacity, { usage, tasks }), [
    { type: "throttle", attempt: "a", cpuMillis: 2_000 },
  ]);
});

test("drain rate: unknown at first, then measured, unknown again after the window", (t) => {
  const rate = new DrainRate(0);
  t.true(rate.canAnswerInTime(99, { budgetMs: 1, nowMs: 0 }));
  t.is(rate.retryAfterMs(99, 0), 1_000);
  for (let i = 0; i < 100; i++) rate.recordDepartures(i * 100);
  t.is(rate.perSecond(10_000 - 1), 100 * 1_000 / (10_000 - 1));
  t.is(rate.retryAfterMs(50, 9_999), 5_000);
  t.false(rate.canAnswerInTime(50, { budgetMs: 4_000, nowMs: 9_999 }));
  t.true(rate.canAnswerInTime(50, { budgetMs: 6_000, nowMs: 9_999 }));
  t.is(rate.perSecond(60_000), undefined);
});
