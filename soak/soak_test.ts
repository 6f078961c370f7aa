import test from "ava";
import type { RecordedRun } from "../platform/standins/worker_server.ts";
import { check, type ClientJob, findDuplicateRuns } from "./checks.ts";
import { soak, type SoakOptions } from "./soak.ts";

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
  steps: [{ tasks: 1, gang: false }],
  statuses: [200],
  canceled: false,
  state: "done",
};
const LIMITS = { runsPerWorker: 1, canceledMs: new Map<string, number>() };

test("checks: a correct record has no findings", (t) => {
  t.deepEqual(check([JOB], [RUN], LIMITS), []);
});

test("checks: overlapping runs of a task, and a run after an acknowledged completion", (t) => {
  const beside = { ...RUN, worker: "w2", run: 2, startedMs: 5 };
  const after = { ...RUN, run: 2, startedMs: 20, endedMs: 30 };
  t.is(findDuplicateRuns([RUN, beside]).length, 1);
  t.is(findDuplicateRuns([RUN, after]).length, 1);
  t.is(findDuplicateRuns([{ ...RUN, acknowledged: false }, after]).length, 0);
});

test("checks: a lost job, a refused job that ran, a worker above capacity", (t) => {
  const promises = (jobs: readonly ClientJob[], runs: readonly RecordedRun[]) =>
    check(jobs, runs, LIMITS).map((finding) => finding.promise);
  t.deepEqual(promises([{ ...JOB, state: "pending" }], []), ["lost"]);
  t.deepEqual(promises([{ ...JOB, statuses: [503, 503] }], [RUN]), ["refused"]);
  const other = { ...RUN, task: "00000000000000bb.0.0.0", startedMs: 5 };
  t.deepEqual(promises([JOB], [RUN, other]), ["overfilled"]);
});

// Guards against a check that misses starts in an evacuated zone.
test("checks: a start in an evacuated zone between the bound and the withdrawal", (t) => {
  const workers = new Set(["w1"]);
  const evacuated = [{ workers, fromMs: 0, untilMs: 20_000 }];
  const started = (startedMs: number, worker = "w1") => {
    const run = { ...RUN, worker, startedMs, endedMs: startedMs + 1 };
    return check([JOB], [run], { ...LIMITS, evacuated }).length;
  };
  t.deepEqual([10_000, 12_000, 21_000].map((at) => started(at)), [0, 1, 0]);
  t.is(started(12_000, "w2"), 0);
});

// Guards against a check that misses a daemon that reports an empty backlog.
test("checks: a number of waiting jobs that is less than half of those that have waited for long", (t) => {
  const waits = { ...JOB, state: "pending", acceptedMs: 0 };
  const jobs = [waits, { ...waits, id: "b" }, { ...waits, id: "c" }];
  const record = [{ ...RUN, task: "c.0.0.0", startedMs: 7_000 }];
  const found = (waiting: number, sentMs: number) =>
    check(jobs, record, {
      ...LIMITS,
      waitingAnswers: [{
        daemon: "a",
        waiting,
        sentMs,
        receivedMs: sentMs + 1,
      }],
    }).filter(({ promise }) => promise === "miscounted").length;
  t.deepEqual([found(1, 6_000), found(2, 6_000), found(0, 5_000)], [1, 0, 0]);
  t.deepEqual([found(1, 7_000), found(0, 7_000)], [0, 1]);
});

/** Seeds of short runs: arbitrary fixed ones, and those that have had findings. */
const SEEDS: readonly (Partial<SoakOptions> & {
  readonly seed: number;
  readonly about: string;
})[] = [
  { seed: 7, about: "a fixed seed" },
  // Workers were above capacity, since the stand-in did not end all tasks of a gang together.
  { seed: 1000, about: "a seed that overfilled workers" },
  { seed: 8, about: "advice and limits of teams", workers: 8, advice: true },
  {
    seed: 10,
    about: "advice and two daemons that are left",
    workers: 8,
    advice: true,
    left: 2,
  },
  {
    seed: 9,
    about: "advice and one daemon that is left",
    workers: 8,
    advice: true,
    left: 1,
  },
];

for (const { about, ...options } of SEEDS) {
  test.serial(`a short run with ${about} has no findings`, async (t) => {
    t.timeout(110_000);
    const result = await soak({
      lengthMs: 5_000,
      daemons: 3,
      workers: 3,
      ...options,
    });
    t.log(`starvedMs=${result.starvedMs}`);
    t.deepEqual(result.findings, []);
    t.true(result.accepted > 0);
  });
}
