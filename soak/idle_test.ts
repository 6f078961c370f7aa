import test from "ava";
import { QUEUES } from "../platform/standins/site_settings.ts";
import type { RecordedRun } from "../platform/standins/worker_server.ts";
import { check, type ClientJob, type StepShape } from "./checks.ts";
import type { IdleOptions } from "./idle.ts";
import { isStarved } from "./starvation.ts";

/** Ids of jobs in the queue without advice or team and in one of a team with a limit. */
const PLAIN = "0000000000000001";
const OF_TEAM = "4000000000000001";

const TEAM = QUEUES[4]!.team!;
const WORKERS = ["w1", "w2"];
const RUNS_PER_WORKER = 8;

function jobOf(id: string, steps: readonly StepShape[]): ClientJob {
  return {
    id,
    steps,
    statuses: [200],
    canceled: false,
    acceptedMs: 0,
    state: "done",
  };
}

const JOB = jobOf(PLAIN, [{ tasks: 1, gang: false }]);
const GANG = jobOf(PLAIN, [{ tasks: 4, gang: true }]);

/** Runs of another job beside the checked one. */
function fill(
  worker: string,
  runs: number,
  { fromMs = 0, untilMs = Infinity, id = "0000000000000002" } = {},
): readonly RecordedRun[] {
  return Array.from({ length: runs }, (_, index) => ({
    worker,
    task: `${id}.0.0.${worker}-${fromMs}-${index}`,
    run: 1,
    startedMs: fromMs,
    ...(untilMs === Infinity ? {} : { endedMs: untilMs }),
  }));
}

function runOf(
  task: string,
  [startedMs, endedMs]: readonly [number, number],
): RecordedRun {
  const completionKind = "done";
  return { worker: "w1", task, run: 1, startedMs, endedMs, completionKind };
}

/** Jobs with a finding `idle`, in a record of ten seconds without disturbances. */
function idleJobs(
  jobs: readonly ClientJob[],
  record: readonly RecordedRun[] = [],
  options: Partial<IdleOptions> = {},
): number {
  const idle = {
    workers: WORKERS,
    allows: () => true,
    disturbances: [],
    untilMs: 10_000,
    ...options,
  };
  return check(jobs, record, {
    runsPerWorker: RUNS_PER_WORKER,
    canceledMs: new Map(),
    idle,
  }).filter(({ promise }) => promise === "idle").length;
}

test("idle: a job with nothing running beside free workers for over three seconds", (t) => {
  t.is(idleJobs([JOB]), 1);
  t.is(idleJobs([JOB], [], { untilMs: 3_000 }), 0);
  t.is(idleJobs([{ ...JOB, canceled: true }]), 0);
  t.is(idleJobs([JOB], [runOf(`${PLAIN}.0.0.0`, [2_900, 3_500])]), 0);
  t.is(idleJobs([JOB], [runOf(`${PLAIN}.0.0.0`, [3_500, 3_900])]), 1);
});

test("idle: a job between two steps, or with a run that was lost", (t) => {
  const step = { tasks: 1, gang: false };
  const job = jobOf(PLAIN, [step, step]);
  const first = runOf(`${PLAIN}.0.0.0`, [100, 1_000]);
  const second = runOf(`${PLAIN}.0.1.0`, [2_000, 3_000]);
  t.is(idleJobs([job], [first]), 1);
  t.is(idleJobs([job], [first, second]), 0);
  const lost = { ...second, completionKind: "lost" };
  t.is(idleJobs([job], [first, lost]), 1);
  t.is(idleJobs([job], [first, lost, { ...second, startedMs: 5_000 }]), 0);
});

test("idle: full workers and workers that the advice does not allow are no room", (t) => {
  const full = [...fill("w1", 8), ...fill("w2", 8)];
  t.is(idleJobs([JOB], full), 0);
  t.is(idleJobs([JOB], full.slice(2)), 1);
  t.is(idleJobs([JOB], fill("w1", 8), { allows: (_, id) => id === "w1" }), 0);
  t.is(idleJobs([JOB], fill("w1", 8), { allows: (_, id) => id === "w2" }), 1);
});

test("idle: a gang needs room for all its tasks at the same moment, twice over", (t) => {
  t.is(idleJobs([GANG], [...fill("w1", 4), ...fill("w2", 4)]), 1);
  t.is(idleJobs([GANG], [...fill("w1", 4), ...fill("w2", 5)]), 0);
  const inTurn = [
    ...fill("w1", 8, { untilMs: 2_000 }),
    ...fill("w2", 8, { untilMs: 2_000 }),
    ...fill("w1", 8, { fromMs: 4_500, untilMs: 7_500 }),
    ...fill("w2", 8, { fromMs: 4_500, untilMs: 7_500 }),
  ];
  t.is(idleJobs([GANG], inTurn), 0);
  const narrow = jobOf(PLAIN, [{ tasks: 4, gang: true, maxPerWorker: 3 }]);
  t.is(idleJobs([narrow]), 0);
});

test("idle: a team at half of its limit, or without room for a whole gang, is no room", (t) => {
  const job = { ...JOB, id: OF_TEAM };
  const id = "4000000000000002";
  const half = TEAM.maxCores / 2;
  t.is(idleJobs([job], fill("w1", half, { id })), 0);
  t.is(idleJobs([job], fill("w1", half - 1, { id })), 1);
  t.is(idleJobs([{ ...GANG, id: OF_TEAM }], fill("w1", 1, { id })), 0);
  t.is(idleJobs([{ ...GANG, id: OF_TEAM }]), 1);
});

test("idle: the clock stands during a disturbance and four seconds after it", (t) => {
  const after = (untilMs: number, worker?: string) => {
    const period = { fromMs: 0, untilMs };
    return worker === undefined ? [period] : [{ ...period, worker }];
  };
  const found = (disturbances: IdleOptions["disturbances"]) =>
    idleJobs([JOB], [], { disturbances });
  t.deepEqual([found(after(2_500)), found(after(3_500))], [1, 0]);
  t.is(found(after(3_500, "w1")), 1);
  t.is(found([...after(3_500, "w1"), ...after(3_500, "w2")]), 0);
});

test("idle: a job may wait for the report of a worker that is silent, not of an evacuated one", (t) => {
  const step = { tasks: 1, gang: false };
  const job = jobOf(PLAIN, [step, step]);
  const ended = runOf(`${PLAIN}.0.0.0`, [100, 1_000]);
  const period = { fromMs: 900, untilMs: 5_000, worker: "w1" };
  const found = (isSilent: boolean) =>
    idleJobs([job], [ended], { disturbances: [{ ...period, isSilent }] });
  t.deepEqual([found(true), found(false)], [0, 1]);
  const elsewhere = { ...period, worker: "w2", isSilent: true };
  t.is(idleJobs([job], [ended], { disturbances: [elsewhere] }), 1);
});

test("starvation: a process that waits for a core for over 40% of a period", (t) => {
  const period = { fromMs: 1_000, untilMs: 1_250 };
  const found = (before: [number, number][], after: [number, number][]) =>
    isStarved(period, new Map(before), new Map(after));
  t.true(found([[1, 500], [2, 0]], [[1, 601], [2, 0]]));
  t.false(found([[1, 500], [2, 0]], [[1, 600], [2, 100]]));
  t.true(found([[1, 500]], [[1, 500], [2, 101]]));
});
