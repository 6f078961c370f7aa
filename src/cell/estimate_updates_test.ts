import test from "ava";
import { SimulatedRuns } from "./_simulated_runs_test.ts";
import { openWorker, stepOf } from "./decisions/_fixtures_test.ts";
import { formatCoverages } from "./decisions/forecast_accuracy.ts";
import type { FleetWorker, Run } from "./fleet.ts";
import { newRun } from "./run.ts";

/** Creates the runs of a new gang, one on each worker. */
function gangOn(
  sim: SimulatedRuns,
  workers: readonly FleetWorker[],
): readonly Run[] {
  const step = stepOf({ gang: true, tasks: workers.length });
  return workers.map((worker, index) => {
    const task = step.tasks[index]!;
    task.worker = worker.id;
    const nowMs = sim.clock.monotonic();
    const run = newRun(step, { task, worker, nowMs });
    run.startedMs = nowMs;
    return run;
  });
}

/**
 * Simulates runs on workers of three speeds for 30 seconds. `w0` is a slow one.
 */
function runUnevenWorkers(): SimulatedRuns {
  const sim = new SimulatedRuns({ workers: 60, slots: 2 });
  const thirds = [1.6, 1, 0.6];
  for (const [index, worker] of sim.workers.entries()) {
    sim.timeFactors.set(worker.id, thirds[index % 3]!);
  }
  sim.begin();
  sim.clock.advance(30_000);
  return sim;
}

test("a long gang counts only for the speed of its slowest member", (t) => {
  const sim = runUnevenWorkers();
  const [slow, , fast] = sim.workers;
  const factors = () => sim.workers.map(({ timeFactor }) => timeFactor);
  const others = sim.workers.filter((one) => one !== slow);
  const before = others.map(({ timeFactor }) => timeFactor);
  t.true(slow!.timeFactor > 1.4, String(factors()));
  for (let gang = 0; gang < 30; gang++) {
    const runs = gangOn(sim, [slow!, fast!]);
    // A gang takes as long as its slowest member.
    const tookMs = 1.6 * sim.drawMs();
    for (const run of runs) run.startedMs = sim.clock.monotonic() - tookMs;
    sim.estimates.runCompleted(runs[1]!, "done");
  }
  const after = others.map(({ timeFactor }) => timeFactor);
  for (const [index, factor] of after.entries()) {
    t.true(Math.abs(factor / before[index]! - 1) < 0.05, String(index));
  }
  t.true(slow!.timeFactor > 1.2 && slow!.timeFactor < 2.2);
});

test("a gang's run time is scaled to average workers and counts once", (t) => {
  const sim = new SimulatedRuns({ workers: 20 });
  const workers = sim.workers;
  workers[0]!.timeFactor = 2;
  let last;
  for (let gang = 0; gang < 40; gang++) {
    const runs = gangOn(sim, workers);
    for (const run of runs) run.startedMs = -2_000;
    for (const run of runs) sim.estimates.runReported(run);
    sim.estimates.runCompleted(runs[5]!, "done");
    last = runs[0]!.step;
  }
  const p50 = sim.runTimes.expectedMs(last!, 0.5);
  t.true(Math.abs(p50 / 1_000 - 1) < 0.12, String(p50));
  t.is(sim.runTimes.recordedRuns, 40);
});

test("runs that resume from a checkpoint or were started by a former leader do not count", (t) => {
  const sim = new SimulatedRuns({ workers: 1 });
  const [worker] = sim.workers;
  const end = (change: (run: Run) => void, checkpoint = "") => {
    const step = stepOf({});
    const task = step.tasks[0]!;
    task.checkpoint = checkpoint;
    const run = newRun(step, { task, worker: worker!, nowMs: 0 });
    run.startedMs = 0;
    change(run);
    sim.estimates.runCompleted(run, "done");
  };
  end(() => {}, "half");
  end((run) => run.startedMs = undefined);
  t.is(sim.runTimes.recordedRuns, 0);
  t.is(sim.runTimes.meanMs("receipts", 500), 500);
  // A checkpoint that the run has written itself does not shorten its time.
  end((run) => run.task.checkpoint = "made");
  t.is(sim.runTimes.recordedRuns, 1);
});

test("runs ended by other members of their gang count with their time so far", (t) => {
  const sim = new SimulatedRuns({ workers: 1 });
  const [worker] = sim.workers;
  const run = (kind: "done" | "peerEnded" | "stopped", tookMs: number) => {
    const step = stepOf({});
    const task = step.tasks[0]!;
    const one = newRun(step, { task, worker: worker!, nowMs: 0 });
    one.startedMs = -tookMs;
    sim.estimates.runCompleted(one, kind);
  };
  for (let time = 0; time < 60; time++) {
    run("done", 500);
    run("peerEnded", 900);
    run("stopped", 100);
  }
  const p75 = sim.runTimes.expectedMs(stepOf({}), 0.75);
  t.true(p75 > 750, String(p75));
  t.is(worker!.failureShare, 0);
  t.is(sim.runTimes.recordedRuns, 60);
});

test("forecasts cover the stated shares of runs", (t) => {
  const sim = runUnevenWorkers();
  sim.forecasts.takeCoverages();
  sim.clock.advance(30_000);
  const [, p50, p90] = /receipts:([\d.]+)\/([\d.]+)/
    .exec(formatCoverages(sim.forecasts.takeCoverages())!)!.map(Number);
  t.true(Math.abs(p50! - 0.5) < 0.05, String(p50));
  t.true(Math.abs(p90! - 0.9) < 0.04, String(p90));
});

test("workers are compared only with others of their service", (t) => {
  const sim = runUnevenWorkers();
  const other = openWorker(sim.fleet, "x1", { service: "other" });
  sim.workerSpeeds.record(other, {
    elapsedMs: 3_000,
    typicalMs: 600,
    job: "other",
    nowMs: sim.clock.monotonic(),
  });
  t.is(other.timeFactor, 1);
  t.is(sim.workerSpeeds.unevenServices, 1);
});
