import test from "ava";
import { SimulatedRuns } from "../_simulated_runs_test.ts";
import { bucketOf, Distribution } from "./run_time_distribution.ts";

/** Quantile of the given run times, milliseconds. */
function quantileOf(times: readonly number[], quantile: number): number {
  return [...times].sort((a, b) => a - b)[Math.floor(quantile * times.length)]!;
}

function drawRunTimes(count: number, seed: number): number[] {
  const played = new SimulatedRuns({ workers: 0, seed });
  return Array.from({ length: count }, () => played.drawMs());
}

test("quantiles match those of the recorded runs, including the tail", (t) => {
  const distribution = new Distribution();
  const times = drawRunTimes(1_000, 1);
  for (const ms of times) distribution.recordEnd(ms);
  for (const quantile of [0.1, 0.5, 0.9, 0.99]) {
    const ratio = distribution.quantileMs(quantile) /
      quantileOf(times, quantile);
    t.true(Math.abs(ratio - 1) < 0.12, `${quantile}: ${ratio}`);
  }
});

test("stopping long runs does not shorten the expected run time", (t) => {
  const censored = new Distribution();
  const ended = new Distribution();
  const times = drawRunTimes(2_000, 2);
  for (const [index, ms] of times.entries()) {
    const stopMs = index % 2 === 0 ? 900 : Infinity;
    if (ms > stopMs) {
      censored.recordPassed(0, bucketOf(stopMs));
      continue;
    }
    censored.recordEnd(ms);
    ended.recordEnd(ms);
  }
  const truth = quantileOf(times, 0.9);
  const ratio = censored.quantileMs(0.9) / truth;
  t.true(Math.abs(ratio - 1) < 0.12, String(ratio));
  t.true(
    ended.quantileMs(0.9) < 0.85 * truth,
    "biased without the stopped runs",
  );
});

test("changed run times replace the old ones", (t) => {
  const distribution = new Distribution();
  for (const ms of drawRunTimes(5_000, 3)) distribution.recordEnd(ms);
  const before = distribution.quantileMs(0.5);
  for (const ms of drawRunTimes(3_000, 4)) distribution.recordEnd(4 * ms);
  const ratio = distribution.quantileMs(0.5) / before;
  t.true(ratio > 3.4 && ratio < 4.2, String(ratio));
});

test("quantiles stay precise after a million runs", (t) => {
  const distribution = new Distribution();
  const times = drawRunTimes(1_000, 5);
  for (let run = 0; run < 1_000_000; run++) {
    distribution.recordEnd(times[run % times.length]!);
  }
  const ratio = distribution.quantileMs(0.9) / quantileOf(times, 0.9);
  t.true(Math.abs(ratio - 1) < 0.12, String(ratio));
});

test("a run that has lasted long has more remaining time than a new one", (t) => {
  const distribution = new Distribution();
  for (const ms of drawRunTimes(1_000, 6)) distribution.recordEnd(ms);
  const early = distribution.remainingMs(0);
  const late = distribution.remainingMs(2_400);
  t.true(Math.abs(early / distribution.quantileMs(0.5) - 1) < 0.05);
  t.true(late > 1_000, String(late));
});

test("a summary preserves the quantiles", (t) => {
  const before = new Distribution();
  for (const ms of drawRunTimes(1_000, 7)) before.recordEnd(ms);
  const after = new Distribution();
  after.restore(before.summarize());
  for (const quantile of [0.25, 0.5, 0.9, 0.97]) {
    const ratio = after.quantileMs(quantile) / before.quantileMs(quantile);
    t.true(Math.abs(ratio - 1) < 0.12, `${quantile}: ${ratio}`);
  }
  t.true(after.runs <= 200, "new runs soon count for more");
});

test("the quantile of a class without runs is 0", (t) => {
  t.is(new Distribution().quantileMs(0.5), 0);
});
