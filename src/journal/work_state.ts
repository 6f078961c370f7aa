/**
 * Applies journal records to the state of each work. A record that does not
 * apply to the current state (a second attempt of a running task, an outcome of
 * another attempt) changes nothing, so the order of records in the journal
 * decides races.
 *
 * @module
 */
import { assertNever } from "../errors.ts";
import {
  type AttemptOutcome,
  type JournalRecord,
  type RunningTask,
  type Task,
  textBytes,
  type Work,
} from "./records.ts";

/** Status of a whole work, derived from its tasks. */
export type WorkStatus =
  | "waiting"
  | "running"
  | "parked"
  | "cancelled"
  | "finished";

/** A record that changes an existing work. */
export type WorkRecord = Exclude<
  JournalRecord,
  { type: "submitted" | "snapshot" }
>;

type SubmittedRecord = Extract<JournalRecord, { type: "submitted" }>;

/** Initial state of a submitted work. */
export function newWork(record: SubmittedRecord): Work {
  return {
    sequence: record.work,
    team: record.team,
    workload: record.workload,
    payload: record.payload,
    gang: record.gang,
    submittedAt: record.at,
    resumes: [],
    tasks: Array.from({ length: record.count }, () => initialTask),
    ...(record.key === undefined ? {} : { key: record.key }),
  };
}

const initialTask: Task = { type: "waiting", attempts: 0 };

/** Applies a record to its work. Returns the same object if nothing changes. */
export function applyRecord(work: Work, record: WorkRecord): Work {
  switch (record.type) {
    case "attempt":
      return withTask(work, record, (task) => startTask(work, task, record));
    case "ended":
      return withTask(work, record, (task) => endTask(work, task, record));
    case "parked":
      return withTask(work, record, (task) => parkTask(task, record));
    case "cancelled":
      return cancelWork(work, record.at);
    case "resumed":
      return resumeWork(work, record.by);
    default:
      return assertNever(record);
  }
}

/** Status of a work, derived from its tasks. */
export function statusOf(work: Work): WorkStatus {
  const has = (type: Task["type"]) =>
    work.tasks.some((task) => task.type === type);
  if (has("running")) return "running";
  if (has("waiting")) return "waiting";
  if (has("parked")) return "parked";
  return has("cancelled") ? "cancelled" : "finished";
}

/** Whether every task has succeeded or is cancelled, so that the work is finished. */
export function isFinished(work: Work): boolean {
  return work.tasks.every((task) =>
    task.type === "succeeded" || task.type === "cancelled"
  );
}

/** Total bytes of the results, checkpoints and failure texts stored for a work. */
export function outputBytes(work: Work): number {
  return work.tasks.reduce((sum, task) => sum + taskOutputBytes(task), 0);
}

/** Estimated size of a work's snapshot record, in bytes. */
export function snapshotBytes(work: Work): number {
  return WORK_OVERHEAD_BYTES + textBytes(work.payload) + outputBytes(work) +
    work.tasks.length * TASK_OVERHEAD_BYTES;
}

const WORK_OVERHEAD_BYTES = 200;
const TASK_OVERHEAD_BYTES = 100;

/** Bytes of the result, checkpoint or failure text stored for a task. */
export function taskOutputBytes(task: Task): number {
  switch (task.type) {
    case "succeeded":
      return task.result?.length ?? 0;
    case "waiting":
    case "running":
      return task.checkpoint?.length ?? 0;
    case "parked":
      return textBytes(task.detail);
    case "cancelled":
      return 0;
    default:
      return assertNever(task);
  }
}

function withTask(
  work: Work,
  record: { readonly task: number; readonly at: number },
  change: (task: Task) => Task,
): Work {
  const task = work.tasks[record.task];
  if (task === undefined) return work;
  const changed = change(task);
  if (changed === task) return work;
  const tasks = [...work.tasks];
  tasks[record.task] = changed;
  return withFinishTime({ ...work, tasks }, record.at);
}

function withFinishTime(work: Work, at: number): Work {
  if (isFinished(work)) return { ...work, finishedAt: work.finishedAt ?? at };
  const { finishedAt: _, ...open } = work;
  return open;
}

function startTask(
  work: Work,
  task: Task,
  record: Extract<JournalRecord, { type: "attempt" }>,
): Task {
  if (task.type !== "waiting" || work.cancelledAt !== undefined) return task;
  const { attempt, worker, fence } = record;
  return { ...task, type: "running", attempt, worker, fence, since: record.at };
}

function endTask(
  work: Work,
  task: Task,
  record: Extract<JournalRecord, { type: "ended" }>,
): Task {
  if (task.type !== "running" || task.attempt !== record.attempt) return task;
  const next = stateAfterOutcome(task, record.outcome);
  const cancelled = work.cancelledAt !== undefined && next.type === "waiting";
  return cancelled ? { type: "cancelled" } : next;
}

function stateAfterOutcome(task: RunningTask, outcome: AttemptOutcome): Task {
  const { attempts, checkpoint } = task;
  const kept = checkpoint === undefined ? {} : { checkpoint };
  switch (outcome.type) {
    case "succeeded":
      return outcome;
    case "notStarted":
      return { type: "waiting", attempts, ...kept };
    case "stopped":
      return {
        type: "waiting",
        attempts,
        ...kept,
        ...(outcome.checkpoint === undefined
          ? {}
          : { checkpoint: outcome.checkpoint }),
      };
    case "failed":
    case "lost":
      return { type: "waiting", attempts: attempts + 1, ...kept };
    default:
      return assertNever(outcome);
  }
}

function parkTask(
  task: Task,
  record: Extract<JournalRecord, { type: "parked" }>,
): Task {
  if (task.type !== "waiting" && task.type !== "cancelled") return task;
  const attempts = task.type === "waiting" ? task.attempts : 1;
  const { cause, detail, worker } = record;
  const workerField = worker === undefined ? {} : { worker };
  return { type: "parked", attempts, cause, detail, ...workerField };
}

function cancelWork(work: Work, at: number): Work {
  if (work.cancelledAt !== undefined) return work;
  const tasks = work.tasks.map((task): Task => {
    const cancellable = task.type === "waiting" || task.type === "parked";
    return cancellable ? { type: "cancelled" } : task;
  });
  return withFinishTime({ ...work, tasks, cancelledAt: at }, at);
}

function resumeWork(work: Work, by: string): Work {
  if (work.cancelledAt !== undefined) return work;
  if (work.resumes.includes(by)) return work;
  const tasks = work.tasks.map((task) =>
    task.type === "parked" ? initialTask : task
  );
  return { ...work, tasks, resumes: [...work.resumes, by] };
}
