import test from "ava";
import { testQueue } from "../_fixtures_test.ts";
import type { StepRun } from "../job.ts";
import { stepOf } from "./_fixtures_test.ts";
import { compareRanks, rankOf } from "./order.ts";
import { RunTimes } from "./run_times.ts";

const URGENT = testQueue({ name: "urgent", priority: 0, objectiveMs: 250 });
const BATCH = testQueue({ name: "batch", priority: 2, objectiveMs: 3_000 });

/** Steps by name in the order in which they stand in line. */
function lineOf(
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

function arrivedAt(atMs: number, queue = URGENT, owed = true): StepRun {
  return stepOf({ estimateMs: 500 }, { queue, atMs, owed });
}

test("a burst of urgent steps goes before batch work, the first to be late first", (t) => {
  const steps = {
    batch: arrivedAt(0, BATCH),
    second: arrivedAt(200),
    first: arrivedAt(100),
  };
  t.deepEqual(lineOf(steps, 300), ["first", "second", "batch"]);
});

test("what can still be in time goes before what is late", (t) => {
  const steps = { late: arrivedAt(0), batch: arrivedAt(0, BATCH) };
  t.deepEqual(lineOf(steps, 2_000), ["batch", "late"]);
});

test("what is worthless goes last", (t) => {
  const steps = { worthless: arrivedAt(0), late: arrivedAt(9_000) };
  t.deepEqual(lineOf(steps, 11_000), ["late", "worthless"]);
});

test("urgent work beyond its team's weight goes behind its like, deferrable work behind all that is of use", (t) => {
  const steps = {
    excessBatch: arrivedAt(0, BATCH, false),
    excess: arrivedAt(0, URGENT, false),
    batch: arrivedAt(0, BATCH),
    urgent: arrivedAt(100),
  };
  const line = ["urgent", "excess", "batch", "excessBatch"];
  t.deepEqual(lineOf(steps, 100), line);
  const late = { ...steps, urgent: arrivedAt(-2_000) };
  const lateLine = ["excess", "batch", "urgent", "excessBatch"];
  t.deepEqual(lineOf(late, 100), lateLine);
});

test("a step is ranked by what its queue's runs have taken, not by its estimate", (t) => {
  const runTimes = new RunTimes();
  runTimes.learn(URGENT.name, 1_500);
  const step = arrivedAt(0);
  const options = { runTimes, nowMs: 1_000, dueMs: 0 };
  t.is(rankOf(step, URGENT, options).startByMs, 2 * 1_500 + 250 - 1_500);
});
