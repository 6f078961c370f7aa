import test from "ava";
import { Fleet, type FleetWorker, type Run } from "../fleet.ts";
import { newRun } from "../run.ts";
import { openWorker, stepOf } from "./_fixtures_test.ts";
import { type Evidence, findAbsentRuns } from "./run_absence.ts";

const REPORT = {
  clockMs: 0,
  processStartMs: 1,
  running: [],
  completions: [],
  mayOmitCompletions: false,
};

/** A run on a worker, whose start the worker confirmed at 100 ms. */
function confirmedRun(): { readonly worker: FleetWorker; readonly run: Run } {
  const fleet = new Fleet();
  const worker = openWorker(fleet, "w1");
  const step = stepOf({});
  const run = newRun(step, { task: step.tasks[0]!, worker, nowMs: 0 });
  run.absenceProvableAfterMs = 100;
  fleet.addRun(run);
  return { worker, run };
}

function isAbsent(run: Run, evidence: Evidence): boolean {
  return findAbsentRuns(run.worker, evidence).includes(run);
}

test("a report proves the absence of a run only if it was requested after the start", (t) => {
  const { run } = confirmedRun();
  const requestedAt = (requestedMs: number): Evidence => ({
    type: "report",
    requestedMs,
    report: REPORT,
  });
  t.false(isAbsent(run, requestedAt(99)));
  t.true(isAbsent(run, requestedAt(101)));
  run.absenceProvableAfterMs = undefined;
  t.false(isAbsent(run, requestedAt(101)));
});

test("a run that a report lists as running or ended is not absent", (t) => {
  const { run } = confirmedRun();
  const listed = { task: run.task.id, run: run.number, checkpoint: "" };
  const running = { ...listed, percent: 5 };
  const completion = { ...listed, sequence: 1, kind: "done" } as const;
  for (
    const report of [
      { ...REPORT, running: [running] },
      { ...REPORT, completions: [completion] },
    ]
  ) {
    t.false(isAbsent(run, { type: "report", requestedMs: 101, report }));
  }
  const earlier = { ...REPORT, running: [{ ...running, run: run.number - 1 }] };
  t.true(isAbsent(run, { type: "report", requestedMs: 101, report: earlier }));
});

// Guards against a task that is started again although its completion is still
// to be reported.
test("a report that may omit completions proves no absence", (t) => {
  const { run } = confirmedRun();
  const report = { ...REPORT, mayOmitCompletions: true };
  t.false(isAbsent(run, { type: "report", requestedMs: 101, report }));
});

// Guards against a late response of the worker's former process.
test("another process at the address proves nothing about a run that was started after the call", (t) => {
  const { run } = confirmedRun();
  t.false(isAbsent(run, { type: "otherProcess", requestedMs: 99 }));
  t.true(isAbsent(run, { type: "otherProcess", requestedMs: 101 }));
});

test("a run on an unreachable worker is absent once all leases have ended", (t) => {
  const { worker, run } = confirmedRun();
  worker.leaseBoundMs = 6_000;
  t.false(isAbsent(run, { type: "time", nowMs: 6_000 }));
  worker.reachable = false;
  t.false(isAbsent(run, { type: "time", nowMs: 5_999 }));
  t.true(isAbsent(run, { type: "time", nowMs: 6_000 }));
});
