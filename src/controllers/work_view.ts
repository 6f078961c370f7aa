/**
 * Deferred work items as shown to callers and operators.
 *
 * @module
 */
import type { Task, Work } from "../journal/records.ts";
import { statusOf, type WorkStatus } from "../journal/work_state.ts";

/** Summary of a work item for listings. */
export interface WorkSummary {
  readonly id: string;
  readonly team: string;
  readonly workload: string;
  readonly status: WorkStatus;
  /** Number of tasks. */
  readonly tasks: number;
  /** ISO 8601. */
  readonly submittedAt: string;
  /** ISO 8601. */
  readonly finishedAt?: string;
}

/** A work item with the state of each task. */
export interface WorkView extends Omit<WorkSummary, "tasks"> {
  readonly tasks: readonly Task[];
}

/** Creates the summary of a work item. */
export function createSummary(id: string, work: Work): WorkSummary {
  return { ...createView(id, work), tasks: work.tasks.length };
}

/** Creates the view of a work item. */
export function createView(id: string, work: Work): WorkView {
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
