/**
 * What must hold, from what clients and workers have seen.
 *
 * @module
 */
import type { RecordedRun } from "../platform/standins/worker_server.ts";

/** A submission as its client saw it. */
export interface ClientJob {
  readonly id: string;
  /** Tasks of the job in all. */
  readonly tasks: number;
  /** What the last try brought: status, or 0 for a broken connection. */
  readonly tries: number[];
  canceled: boolean;
  /** Last state that a daemon told. */
  state: string;
}

/** A broken promise. */
export interface Finding {
  readonly promise:
    | "lost"
    | "twice"
    | "refused"
    | "overfilled"
    | "canceled"
    | "evacuated";
  readonly about: string;
}

/** Time after the answer to a cancelation by which nothing of the job starts, milliseconds; source: the platform's pages. */
const CANCEL_MS = 3_000;

/** Time after the answer to a request for an evacuation by which nothing starts there, milliseconds: the bound and its extension while the store is unstable. */
const EVACUATE_MS = 5_000 + 6_000;

/** A zone that was to get no new work. */
export interface EvacuatedZone {
  readonly workers: ReadonlySet<string>;
  /** When that was acknowledged, Unix milliseconds. */
  readonly fromMs: number;
  /** When it was withdrawn, Unix milliseconds. */
  untilMs: number;
}

/** Checks everything that was recorded. */
export function check(
  jobs: readonly ClientJob[],
  record: readonly RecordedRun[],
  options: {
    /** Most runs that fit on a worker at once. */
    readonly room: number;
    /** When cancelations were answered, by job. */
    readonly canceledMs: ReadonlyMap<string, number>;
    readonly evacuated?: readonly EvacuatedZone[];
  },
): readonly Finding[] {
  return [
    ...lost(jobs),
    ...twice(record),
    ...refused(jobs, record),
    ...overfilled(record, options.room),
    ...canceled(record, options.canceledMs),
    ...startedInEvacuated(record, options.evacuated ?? []),
  ];
}

function startedInEvacuated(
  record: readonly RecordedRun[],
  zones: readonly EvacuatedZone[],
): readonly Finding[] {
  return zones.flatMap(({ workers, fromMs, untilMs }) =>
    record
      .filter(({ worker, startedMs }) =>
        workers.has(worker) && startedMs > fromMs + EVACUATE_MS &&
        startedMs < untilMs
      )
      .map(({ task, run, worker, startedMs }): Finding => ({
        promise: "evacuated",
        about: `${task} run ${run} on ${worker} started ` +
          `${startedMs - fromMs} ms after the request`,
      }))
  );
}

/** Runs of one task at once, or again after an end that was acknowledged. */
export function twice(record: readonly RecordedRun[]): readonly Finding[] {
  return [...grouped(record).values()].flatMap((runs) =>
    runs.flatMap((run) =>
      runs.filter((other) => doubles(run, other)).map((other): Finding => ({
        promise: "twice",
        about: `${run.task} run ${run.run} on ${run.worker} and run ` +
          `${other.run} on ${other.worker}`,
      }))
    )
  );
}

function doubles(run: RecordedRun, other: RecordedRun): boolean {
  if (run === other || other.startedMs < run.startedMs) return false;
  const at = run.endedMs ?? Infinity;
  if (other.startedMs < at) return true;
  return run.completionKind === "done" && run.acknowledged === true;
}

function lost(jobs: readonly ClientJob[]): readonly Finding[] {
  return jobs
    .filter((job) => job.tries.includes(200) && !job.canceled)
    .filter((job) => job.state !== "done")
    .map((job) => ({
      promise: "lost",
      about: `${job.id} is ${job.state || "unknown"}`,
    }));
}

function refused(
  jobs: readonly ClientJob[],
  record: readonly RecordedRun[],
): readonly Finding[] {
  const ran = new Set(record.map((run) => run.task.split(".")[0]));
  return jobs
    .filter((job) => job.tries.every((status) => status === 503))
    .filter((job) => ran.has(job.id))
    .map((job) => ({ promise: "refused", about: `${job.id} ran` }));
}

function overfilled(
  record: readonly RecordedRun[],
  room: number,
): readonly Finding[] {
  return record.flatMap((run) => {
    const beside = record.filter((other) =>
      other.worker === run.worker && other.startedMs <= run.startedMs &&
      (other.endedMs ?? Infinity) > run.startedMs
    );
    return beside.length > room
      ? [{
        promise: "overfilled" as const,
        about: `${run.worker} has ${beside.length} runs`,
      }]
      : [];
  });
}

function canceled(
  record: readonly RecordedRun[],
  canceledMs: ReadonlyMap<string, number>,
): readonly Finding[] {
  return record.flatMap((run) => {
    const atMs = canceledMs.get(run.task.split(".")[0] ?? "") ?? Infinity;
    return run.startedMs > atMs + CANCEL_MS
      ? [{
        promise: "canceled" as const,
        about: `${run.task} started after its cancelation`,
      }]
      : [];
  });
}

function grouped(
  record: readonly RecordedRun[],
): Map<string, readonly RecordedRun[]> {
  const byTask = new Map<string, RecordedRun[]>();
  for (const run of record) {
    const runs = byTask.get(run.task) ?? [];
    runs.push(run);
    byTask.set(run.task, runs);
  }
  return byTask;
}
