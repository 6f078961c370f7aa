/**
 * The order in which a new leader asks the workers for their first reports.
 *
 * Load pattern: a takeover with hundreds of workers under load. The tasks that
 * ended since the former leader failed are shown as done only once their worker
 * has reported, and all reports together take longer than an urgent submission
 * can wait.
 *
 * @module
 */
import type { FleetWorker } from "../fleet.ts";

/** Place of a worker in the order: lower values report first. */
export type ReportRank = 0 | 1 | 2;

/** Number of different {@linkcode ReportRank}s. */
export const REPORT_RANKS = 3;

/**
 * Ranks a worker by the runs that former leaders have placed on it: those with
 * urgent runs are first, those without any run last.
 */
export function reportRankOf({ runs }: Pick<FleetWorker, "runs">): ReportRank {
  if (runs.size === 0) return 2;
  for (const { step } of runs.values()) {
    if (step.job.policy.priority === 0) return 0;
  }
  return 1;
}
