import test from "ava";
import { testQueue } from "../_fixtures_test.ts";
import { SimulatedRuns } from "../_simulated_runs_test.ts";
import { Fleet } from "../fleet.ts";
import type { StepRun } from "../job.ts";
import { newRun } from "../run.ts";
import { openWorker, stepOf } from "./_fixtures_test.ts";
import { RunTimes } from "./run_times.ts";

const WORKER = openWorker(new Fleet(), "w1");

function runOf(step: StepRun) {
  return newRun(step, { task: step.tasks[0]!, worker: WORKER, nowMs: 0 });
}

function stepOfTeam(team: string, cpuMillis = 1_000): StepRun {
  const amounts = { cpuMillis, memoryMib: 100, accelerators: 0 };
  const step = stepOf({ amounts });
  return { ...step, job: { ...step.job, team } };
}

function recordRuns(
  runTimes: RunTimes,
  step: StepRun,
  times: readonly number[],
) {
  for (const elapsedMs of times) {
    runTimes.recordDone(runOf(step), { elapsedMs, timeFactor: 1 });
  }
}

const isNear = (value: number, wanted: number) =>
  Math.abs(value / wanted - 1) < 0.12;

test("a shape with few runs uses the run times of its team, a team those of its queue", (t) => {
  const runTimes = new RunTimes();
  const times = (ms: number, count: number) => Array<number>(count).fill(ms);
  recordRuns(runTimes, stepOfTeam("almaty"), times(400, 60));
  recordRuns(runTimes, stepOfTeam("almaty", 8_000), times(3_000, 19));
  recordRuns(runTimes, stepOfTeam("darkhan"), times(1_600, 200));
  const p50 = (step: StepRun) => runTimes.expectedMs(step, 0.5);
  t.true(isNear(p50(stepOfTeam("darkhan")), 1_600));
  t.true(isNear(p50(stepOfTeam("almaty", 8_000)), 400), "of its team");
  t.true(isNear(p50(stepOfTeam("osh")), 1_600), "of its queue");
  recordRuns(runTimes, stepOfTeam("almaty", 8_000), [3_000]);
  t.true(isNear(p50(stepOfTeam("almaty", 8_000)), 3_000), "of its shape");
  t.true(isNear(p50(stepOfTeam("almaty")), 400));
});

test("without runs the estimate is used, corrected by the mean error of its team", (t) => {
  const runTimes = new RunTimes();
  const step = stepOfTeam("almaty");
  t.true(isNear(runTimes.expectedMs(step, 0.5), 500));
  t.true(runTimes.expectedMs(step, 0.9) > 1_000);
  recordRuns(runTimes, step, Array<number>(100).fill(1_000));
  const other = stepOf({}, { queue: testQueue({ name: "other" }) });
  const ofTeam = (team: string) => ({ ...other, job: { ...other.job, team } });
  t.true(isNear(runTimes.expectedMs(ofTeam("almaty"), 0.5), 1_000));
  t.true(isNear(runTimes.expectedMs(ofTeam("osh"), 0.5), 500));
});

test("the mean of a queue follows its last runs", (t) => {
  const runTimes = new RunTimes();
  t.is(runTimes.meanMs("receipts", 500), 500);
  runTimes.recordDuration("receipts", 1_000);
  t.is(runTimes.meanMs("receipts", 500), 1_000);
  runTimes.recordDuration("receipts", 2_000);
  t.is(runTimes.meanMs("receipts", 500), 1_100);
});

test("run times on slow workers are normalized to an average worker", (t) => {
  const runTimes = new RunTimes();
  const step = stepOf({});
  for (let run = 0; run < 50; run++) {
    const slow = run % 2 === 0;
    runTimes.recordDone(runOf(step), {
      elapsedMs: slow ? 1_600 : 800,
      timeFactor: slow ? 2 : 1,
    });
  }
  t.true(isNear(runTimes.expectedMs(step, 0.1), 800));
  t.true(isNear(runTimes.expectedMs(step, 0.9), 800));
});

test("ongoing runs lengthen the expected run time before they end", (t) => {
  const runTimes = new RunTimes();
  const step = stepOf({});
  recordRuns(runTimes, step, Array<number>(40).fill(300));
  for (let run = 0; run < 60; run++) {
    const ongoing = runOf(step);
    for (const elapsedMs of [400, 800, 1_600]) {
      runTimes.recordOngoing(ongoing, { elapsedMs, timeFactor: 1 });
    }
  }
  t.true(runTimes.expectedMs(step, 0.9) >= 1_300);
});

test("a run that was recorded while ongoing counts once when it ends", (t) => {
  const [plain, withOngoing] = [new RunTimes(), new RunTimes()];
  const step = stepOf({});
  const played = new SimulatedRuns({ workers: 0 });
  for (let number = 0; number < 300; number++) {
    const elapsedMs = played.drawMs();
    plain.recordDone(runOf(step), { elapsedMs, timeFactor: 1 });
    const run = runOf(step);
    for (let part = 0.2; part < 1; part += 0.2) {
      const soFarMs = part * elapsedMs;
      withOngoing.recordOngoing(run, { elapsedMs: soFarMs, timeFactor: 1 });
    }
    withOngoing.recordDone(run, { elapsedMs, timeFactor: 1 });
  }
  for (const quantile of [0.5, 0.9, 0.97]) {
    const [a, b] = [plain, withOngoing].map((one) =>
      one.expectedMs(step, quantile)
    );
    t.true(Math.abs(a! / b! - 1) < 0.02, `${quantile}: ${a} ${b}`);
  }
});

test("the remaining time follows the progress, or the class without progress", (t) => {
  const runTimes = new RunTimes();
  const step = stepOf({});
  recordRuns(runTimes, step, Array<number>(50).fill(1_000));
  const run = runOf(step);
  run.startedMs = 100;
  t.true(Math.abs(runTimes.remainingMs(run, 500) - 600) < 120);
  run.percent = 25;
  run.lastProgressMs = 600;
  t.is(runTimes.remainingMs(run, 600), 1_500);
  t.is(runTimes.remainingMs(run, 1_000), 1_100);
  t.is(runTimes.remainingMs(run, 9_000), 0);
});

test("with thousands of classes the number is bounded and busy ones are kept", (t) => {
  const runTimes = new RunTimes();
  const busy = stepOfTeam("almaty");
  for (let team = 0; team < 9_000; team++) {
    recordRuns(runTimes, stepOfTeam(`t${team}`), [300]);
    if (team % 20 === 0) recordRuns(runTimes, busy, [900]);
  }
  t.true(runTimes.classes <= 2_000, String(runTimes.classes));
  t.true(isNear(runTimes.expectedMs(busy, 0.5), 900));
});
