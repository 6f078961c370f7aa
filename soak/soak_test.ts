import test from "ava";
import type { RecordedRun } from "../platform/standins/worker_server.ts";
import { check, type ClientJob, twice } from "./checks.ts";
import { soak } from "./soak.ts";

const RUN: RecordedRun = {
  worker: "w1",
  task: "00000000000000aa.0.0.0",
  run: 1,
  startedMs: 0,
  endedMs: 10,
  completionKind: "done",
  acknowledged: true,
};
const JOB: ClientJob = {
  id: "00000000000000aa",
  tasks: 1,
  tries: [200],
  canceled: false,
  state: "done",
};
const LIMITS = { room: 1, canceledMs: new Map<string, number>() };

test("checks: a sound record has no finding", (t) => {
  t.deepEqual(check([JOB], [RUN], LIMITS), []);
});

test("checks: two runs at once, and a run after an acknowledged end", (t) => {
  const beside = { ...RUN, worker: "w2", run: 2, startedMs: 5 };
  const after = { ...RUN, run: 2, startedMs: 20, endedMs: 30 };
  t.is(twice([RUN, beside]).length, 1);
  t.is(twice([RUN, after]).length, 1);
  t.is(twice([{ ...RUN, acknowledged: false }, after]).length, 0);
});

test("checks: a lost job, a refused one that ran, an overfilled worker", (t) => {
  const promises = (jobs: readonly ClientJob[], runs: readonly RecordedRun[]) =>
    check(jobs, runs, LIMITS).map((finding) => finding.promise);
  t.deepEqual(promises([{ ...JOB, state: "pending" }], []), ["lost"]);
  t.deepEqual(promises([{ ...JOB, tries: [503, 503] }], [RUN]), ["refused"]);
  const other = { ...RUN, task: "00000000000000bb.0.0.0", startedMs: 5 };
  t.deepEqual(promises([JOB], [RUN, other]), ["overfilled"]);
});

// Guards against a soak that passes over starts in an evacuated zone.
test("checks: a start in an evacuated zone after the bound, until it is withdrawn", (t) => {
  const workers = new Set(["w1"]);
  const evacuated = [{ workers, fromMs: 0, untilMs: 20_000 }];
  const started = (startedMs: number, worker = "w1") => {
    const run = { ...RUN, worker, startedMs, endedMs: startedMs + 1 };
    return check([JOB], [run], { ...LIMITS, evacuated }).length;
  };
  t.deepEqual([10_000, 12_000, 21_000].map((at) => started(at)), [0, 1, 0]);
  t.is(started(12_000, "w2"), 0);
});

/** Seeds of short runs: one of its own, and those that once had a finding. */
const SEEDS = [
  { seed: 7, about: "a fixed seed" },
  // Overfilled workers: the stand-in's gangs did not end together.
  { seed: 1000, about: "a seed that overfilled workers" },
] as const;

for (const { seed, about } of SEEDS) {
  test.serial(`a short run with ${about} has no finding`, async (t) => {
    t.timeout(110_000);
    const result = await soak({
      seed,
      lengthMs: 5_000,
      daemons: 3,
      workers: 3,
    });
    t.deepEqual(result.findings, []);
    t.true(result.accepted > 0);
  });
}
