import test from "ava";
import { PlayedRuns } from "./_played_runs_test.ts";
import { openWorker, stepOf } from "./decisions/_fixtures_test.ts";
import { coverageText } from "./decisions/forecasts.ts";
import type { FleetWorker, Run } from "./fleet.ts";
import { newRun } from "./run.ts";

/** Runs of a new gang, one on each worker. */
function gangOn(
  played: PlayedRuns,
  workers: readonly FleetWorker[],
): readonly Run[] {
  const step = stepOf({ gang: true, tasks: workers.length });
  return workers.map((worker, index) => {
    const task = step.tasks[index]!;
    task.worker = worker.id;
    const nowMs = played.clock.monotonic();
    const run = newRun(step, { task, worker, nowMs });
    run.startedMs = nowMs;
    return run;
  });
}

/** An uneven deployment that has learned its speeds; `w0` is slow. */
function learnedThirds(): PlayedRuns {
  const played = new PlayedRuns({ workers: 60, slots: 2 });
  const thirds = [1.6, 1, 0.6];
  for (const [index, worker] of played.workers.entries()) {
    played.factors.set(worker.id, thirds[index % 3]!);
  }
  played.begin();
  played.clock.advance(30_000);
  return played;
}

test("a gang that is long tells nothing of its members but the slowest", (t) => {
  const played = learnedThirds();
  const [slow, , fast] = played.workers;
  const factors = () => played.workers.map(({ timeFactor }) => timeFactor);
  const others = played.workers.filter((one) => one !== slow);
  const before = others.map(({ timeFactor }) => timeFactor);
  t.true(slow!.timeFactor > 1.4, String(factors()));
  for (let gang = 0; gang < 30; gang++) {
    const runs = gangOn(played, [slow!, fast!]);
    // Gangs take what their slowest member takes.
    const tookMs = 1.6 * played.drawMs();
    for (const run of runs) run.startedMs = played.clock.monotonic() - tookMs;
    played.learning.ended(runs[1]!, "done");
  }
  const after = others.map(({ timeFactor }) => timeFactor);
  for (const [index, factor] of after.entries()) {
    t.true(Math.abs(factor / before[index]! - 1) < 0.05, String(index));
  }
  t.true(slow!.timeFactor > 1.2 && slow!.timeFactor < 2.2);
});

test("a gang's run time is that on average workers, and counts once", (t) => {
  const played = new PlayedRuns({ workers: 20 });
  const workers = played.workers;
  workers[0]!.timeFactor = 2;
  let last;
  for (let gang = 0; gang < 40; gang++) {
    const runs = gangOn(played, workers);
    for (const run of runs) run.startedMs = -2_000;
    for (const run of runs) played.learning.running(run);
    played.learning.ended(runs[5]!, "done");
    last = runs[0]!.step;
  }
  const p50 = played.runTimes.expectedMs(last!, 0.5);
  t.true(Math.abs(p50 / 1_000 - 1) < 0.12, String(p50));
  t.is(played.runTimes.learnedRuns, 40);
});

test("what goes on from a checkpoint, or was a former holder's, teaches no run time", (t) => {
  const played = new PlayedRuns({ workers: 1 });
  const [worker] = played.workers;
  const end = (change: (run: Run) => void, checkpoint = "") => {
    const step = stepOf({});
    const task = step.tasks[0]!;
    task.checkpoint = checkpoint;
    const run = newRun(step, { task, worker: worker!, nowMs: 0 });
    run.startedMs = 0;
    change(run);
    played.learning.ended(run, "done");
  };
  end(() => {}, "half");
  end((run) => run.startedMs = undefined);
  t.is(played.runTimes.learnedRuns, 0);
  t.is(played.runTimes.meanMs("receipts", 500), 500);
  // A checkpoint that the run made itself takes nothing from its time.
  end((run) => run.task.checkpoint = "made");
  t.is(played.runTimes.learnedRuns, 1);
});

test("runs that a gang's other members ended count as far as they got", (t) => {
  const played = new PlayedRuns({ workers: 1 });
  const [worker] = played.workers;
  const run = (kind: "done" | "peerEnded" | "stopped", tookMs: number) => {
    const step = stepOf({});
    const task = step.tasks[0]!;
    const one = newRun(step, { task, worker: worker!, nowMs: 0 });
    one.startedMs = -tookMs;
    played.learning.ended(one, kind);
  };
  for (let time = 0; time < 60; time++) {
    run("done", 500);
    run("peerEnded", 900);
    run("stopped", 100);
  }
  const p75 = played.runTimes.expectedMs(stepOf({}), 0.75);
  t.true(p75 > 750, String(p75));
  t.is(worker!.failureShare, 0);
  t.is(played.runTimes.learnedRuns, 60);
});

test("forecasts cover the stated shares of the runs", (t) => {
  const played = learnedThirds();
  played.forecasts.take();
  played.clock.advance(30_000);
  const [, p50, p90] = /receipts:([\d.]+)\/([\d.]+)/
    .exec(coverageText(played.forecasts.take())!)!.map(Number);
  t.true(Math.abs(p50! - 0.5) < 0.05, String(p50));
  t.true(Math.abs(p90! - 0.9) < 0.04, String(p90));
});

test("workers of another service are compared among themselves", (t) => {
  const played = learnedThirds();
  const other = openWorker(played.fleet, "x1", { service: "other" });
  played.workerSpeeds.learn(other, {
    tookMs: 3_000,
    typicalMs: 600,
    job: "other",
    nowMs: played.clock.monotonic(),
  });
  t.is(other.timeFactor, 1);
  t.is(played.workerSpeeds.uneven, 1);
});
