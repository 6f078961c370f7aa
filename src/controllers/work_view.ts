/**
 * Deferred work as it is shown to callers and operators.
 *
 * @module
 */
import type { Task, Work } from "../journal/records.ts";
import { statusOf, type WorkStatus } from "../journal/work_state.ts";

/** One line about a work. */
export interface WorkSummary {
  readonly id: string;
  readonly team: string;
  readonly workload: string;
  readonly status: WorkStatus;
  readonly tasks: number;
  /** ISO 8601. */
  readonly submittedAt: string;
  /** ISO 8601. */
  readonly finishedAt?: string;
}

/** A work with its tasks. */
export interface WorkView extends Omit<WorkSummary, "tasks"> {
  readonly tasks: readonly Task[];
}

/** One line about a work. */
export function summaryOf(id: string, work: Work): WorkSummary {
  return { ...viewOf(id, work), tasks: work.tasks.length };
}

/** A work with its tasks. */
export function viewOf(id: string, work: Work): WorkView {
  const { team, workload, tasks, finishedAt } = work;
  const status = statusOf(work);
  const submittedAt = isoTime(work.submittedAt);
  const view = { id, team, workload, status, submittedAt, tasks };
  if (finishedAt === undefined) return view;
  return { ...view, finishedAt: isoTime(finishedAt) };
}

function isoTime(milliseconds: number): string {
  return new Date(milliseconds).toISOString();
}
