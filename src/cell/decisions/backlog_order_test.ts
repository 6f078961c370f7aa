import test from "ava";
import { testQueue, testStep } from "../_fixtures_test.ts";
import type { StepRun } from "../job.ts";
import { stepOf } from "./_fixtures_test.ts";
import { compareRanks, jobTimingOf, rankOf } from "./backlog_order.ts";
import { RunTimes } from "./run_times.ts";

const URGENT = testQueue({ name: "urgent", priority: 0, objectiveMs: 250 });
const BATCH = testQueue({ name: "batch", priority: 2, objectiveMs: 3_000 });

/** Names of the steps in scheduling order. */
function orderOf(
  steps: Readonly<Record<string, StepRun>>,
  nowMs: number,
): readonly string[] {
  const runTimes = new RunTimes();
  return Object.entries(steps)
    .map(([name, step]) => ({
      name,
      rank: rankOf(step, step.job.policy, {
        runTimes,
        nowMs,
        dueMs: step.job.acceptedMs,
      }),
    }))
    .sort((a, b) => compareRanks(a.rank, b.rank))
    .map(({ name }) => name);
}

function submittedAt(atMs: number, queue = URGENT, owed = true): StepRun {
  return stepOf({ estimateMs: 500 }, { queue, atMs, owed });
}

test("urgent steps are placed before batch work, the earliest deadline first", (t) => {
  const steps = {
    batch: submittedAt(0, BATCH),
    second: submittedAt(200),
    first: submittedAt(100),
  };
  t.deepEqual(orderOf(steps, 300), ["first", "second", "batch"]);
});

test("steps that can still be in time are placed before late ones", (t) => {
  const steps = { late: submittedAt(0), batch: submittedAt(0, BATCH) };
  t.deepEqual(orderOf(steps, 2_000), ["batch", "late"]);
});

test("steps without any value left are placed last", (t) => {
  const steps = { worthless: submittedAt(0), late: submittedAt(9_000) };
  t.deepEqual(orderOf(steps, 11_000), ["late", "worthless"]);
});

test("beyond its team's share, urgent work is placed after other urgent work and deferrable work after everything of value", (t) => {
  const steps = {
    excessBatch: submittedAt(0, BATCH, false),
    excess: submittedAt(0, URGENT, false),
    batch: submittedAt(0, BATCH),
    urgent: submittedAt(100),
  };
  const expected = ["urgent", "excess", "batch", "excessBatch"];
  t.deepEqual(orderOf(steps, 100), expected);
  const late = { ...steps, urgent: submittedAt(-2_000) };
  const expectedLate = ["excess", "batch", "urgent", "excessBatch"];
  t.deepEqual(orderOf(late, 100), expectedLate);
});

test("a step is ranked by the mean run time of its queue, not by its estimate", (t) => {
  const runTimes = new RunTimes();
  runTimes.recordDuration(URGENT.name, 1_500);
  const step = submittedAt(0);
  const options = { runTimes, nowMs: 1_000, dueMs: 0 };
  t.is(rankOf(step, URGENT, options).startByMs, 2 * 1_500 + 250 - 1_500);
});

test("the objective follows the longest chain of steps", (t) => {
  const steps = [
    testStep(),
    testStep({ after: [0] }),
    testStep(),
    testStep({ after: [1, 2] }),
  ];
  const runTimes = new RunTimes();
  const objectiveMs = (chain: typeof steps) =>
    jobTimingOf({ payload: "", steps: chain }, BATCH, runTimes).objectiveMs;
  const single = objectiveMs(steps.slice(0, 1));
  t.is(
    objectiveMs(steps),
    single + 2 * (objectiveMs(steps.slice(0, 2)) - single),
  );
});

// Guards against a submission that makes the leader fail or stand still, because
// it depends on the same step again and again.
test("a step may have any number of dependencies", (t) => {
  const after = Array.from({ length: 200_000 }, () => 0);
  const steps = [testStep(), testStep({ after })];
  const timing = jobTimingOf(
    { payload: "", steps },
    BATCH,
    new RunTimes(),
  );
  t.true(timing.objectiveMs > 0);
});
