/**
 * Analyzes the logs of several instances: finds the submissions that were late,
 * rejected, failed or unfinished, and the most likely cause of each.
 *
 * For each lost submission, the delay by every possible cause is computed:
 * - waits, failed runs, lost workers and slow workers from the submission's own
 *   log lines;
 * - time without a leader and store outages by how long they overlap with the
 *   submission, from sending to its end;
 * - long runs by comparison with the mean run time of the queue.
 *
 * The cause with the longest delay is reported, unless its delay is too small a
 * share of the time beyond the objective; then the cause is `untold`.
 *
 * @module
 */
import { parseLogLine } from "./job_timeline.ts";
import { type Cause, JobSummary } from "./job_summary.ts";
import { IntervalSet } from "./interval_set.ts";

/** Outcome of a submission. The values are printed. */
export type Outcome =
  | "inTime"
  | "late"
  /** No line shows that the submission was accepted. */
  | "refused"
  /** The call was invalid or not permitted; not counted as lost. */
  | "denied"
  | "failed"
  | "canceled"
  /** Accepted, but no line shows its end. */
  | "unfinished"
  /** Done, but no line gives the objective to compare with. */
  | "unjudged";

/** One analyzed submission. Its properties are columns and keys of the output. */
export interface AnalyzedJob {
  readonly job: string;
  readonly queue: string;
  readonly outcome: Outcome;
  /** Why the submission was lost or late; undefined if it was neither. */
  readonly cause: Cause | undefined;
  /** Delay by the cause, milliseconds; 0 if unknown. */
  readonly lostMs: number;
  /** Whole seconds from the first submission of the logs to this one. */
  readonly second: number;
}

/** Result of the analysis. Its properties are keys of the output. */
export interface AnalysisReport {
  /** Lines read, without empty ones. */
  readonly lines: number;
  /** Lines that could not be parsed. */
  readonly unreadable: number;
  /** Locations of the first unreadable lines: `FILE:LINE`. */
  readonly unreadableAt: readonly string[];
  /** Sorted by `second`. */
  readonly jobs: readonly AnalyzedJob[];
}

/** Events that are analyzed. Lines of other events are only counted. */
const ANALYZED_EVENTS: ReadonlySet<string> = new Set([
  "client.call",
  "job.submitted",
  "step.waited",
  "step.waiting",
  "run.start",
  "run.end",
  "run.lost",
  "run.stalled",
  "job.ended",
  "hold.gained",
  "cell.recovered",
  "cell.load",
  "joblog.retry",
]);

/** Outcomes that are the caller's error; such a submission is denied and does not count as lost. */
const DENIED_OUTCOMES: ReadonlySet<string> = new Set([
  "unknownKey",
  "noQueue",
  "badId",
  "badBody",
  "badMethod",
  "tooLarge",
]);

/** Unreadable lines whose locations are reported. */
const MAX_LOCATIONS = 10;
/** A cause is reported only if it explains at least this share of the time beyond the objective. */
const MIN_EXPLAINED_SHARE = 0.2;
/** A run counts as long beyond this multiple of its queue's mean run time. */
const LONG_RUN_FACTOR = 1.5;
/** Weight of a new run in the exponential moving average of its queue's run times. */
const RUN_TIME_WEIGHT = 0.05;

/** Reads log lines, in any order of files and lines, and reports on the submissions. */
export class SubmissionAnalyzer {
  readonly #jobs = new Map<string, JobSummary>();
  readonly #leaderlessTime = new IntervalSet();
  readonly #storeOutages = new IntervalSet();
  /** Since when the cell had no leader before a term began; Unix milliseconds by fence. */
  readonly #leaderLostMs = new Map<string, number>();
  /** When a new leader had recovered the cell's state; Unix milliseconds by fence. */
  readonly #recoveredMs = new Map<string, number>();
  #lines = 0;
  #unreadable = 0;
  /** Locations of the first unreadable lines. */
  readonly #locations: string[] = [];

  /** Adds a line; `location` names the line in the report if it cannot be parsed. */
  add(text: string, location: string): void {
    if (text === "") return;
    this.#lines++;
    const event = /\bevent=([\w.]+)/.exec(text)?.[1];
    if (event !== undefined && !ANALYZED_EVENTS.has(event)) return;
    const line = event === undefined ? undefined : parseLogLine(text);
    const atMs = Date.parse(line?.time ?? "");
    if (line === undefined || Number.isNaN(atMs)) return this.#skip(location);
    const { fields } = line;
    const jobId = fields["job"] ?? fields["task"]?.split(".")[0];
    if (jobId === undefined) this.#addCellEvent(line.event, fields, atMs);
    else if (isJobId(jobId)) this.#summaryOf(jobId).add(line, atMs);
  }

  /** Reports on all lines added so far. */
  report(): AnalysisReport {
    for (const [fence, fromMs] of this.#leaderLostMs) {
      const toMs = this.#recoveredMs.get(fence);
      if (toMs !== undefined) this.#leaderlessTime.add(fromMs, toMs);
    }
    const sentTimes = [...this.#jobs.values()]
      .flatMap(({ sentMs }) => sentMs ?? []);
    const firstSentMs = sentTimes.reduce(
      (earliest, ms) => Math.min(earliest, ms),
      Infinity,
    );
    const runMsByQueue = typicalRunMsByQueue(this.#jobs.values());
    const jobs = [...this.#jobs].flatMap(([job, summary]): AnalyzedJob[] => {
      const { sentMs, queue } = summary;
      if (sentMs === undefined) return [];
      const outcome = outcomeOf(summary);
      const { cause, lostMs } = countsAsLost(outcome)
        ? this.#causeOf(summary, {
          sentMs,
          typicalRunMs: runMsByQueue.get(queue) ?? 0,
        })
        : { cause: undefined, lostMs: 0 };
      const second = Math.floor((sentMs - firstSentMs) / 1_000);
      return [{ job, queue, outcome, cause, lostMs, second }];
    });
    return {
      lines: this.#lines,
      unreadable: this.#unreadable,
      unreadableAt: this.#locations,
      jobs: jobs.sort((a, b) => a.second - b.second),
    };
  }

  /** Counts a line that cannot be parsed. */
  #skip(location: string): void {
    this.#unreadable++;
    if (this.#locations.length < MAX_LOCATIONS) this.#locations.push(location);
  }

  #summaryOf(id: string): JobSummary {
    const existing = this.#jobs.get(id);
    if (existing !== undefined) return existing;
    const summary = new JobSummary();
    this.#jobs.set(id, summary);
    return summary;
  }

  /** Adds an event that concerns all submissions: a change of leader or a store outage. */
  #addCellEvent(
    event: string,
    fields: Readonly<Record<string, string>>,
    atMs: number,
  ): void {
    const fence = fields["fence"] ?? "";
    switch (event) {
      case "hold.gained":
        this.#leaderLostMs.set(fence, atMs - Number(fields["silenceMs"] ?? 0));
        return;
      case "cell.recovered":
        this.#recoveredMs.set(fence, atMs);
        return;
      case "cell.load":
        this.#storeOutages.add(
          atMs - Number(fields["storeStuckMs"] ?? 0),
          atMs,
        );
        return;
      case "joblog.retry":
        this.#storeOutages.add(atMs - Number(fields["stuckMs"] ?? 0), atMs);
        return;
    }
  }

  /** The cause with the longest delay of a lost submission, or `untold`. */
  #causeOf(
    summary: JobSummary,
    { sentMs, typicalRunMs }: {
      readonly sentMs: number;
      readonly typicalRunMs: number;
    },
  ): { readonly cause: Cause; readonly lostMs: number } {
    const lostMsByCause = new Map(summary.lostMsByCause);
    const acceptedMs = summary.acceptedMs ?? sentMs;
    const endMs = summary.endedMs ?? acceptedMs;
    lostMsByCause.set(
      "noHolder",
      this.#leaderlessTime.overlapMs(sentMs, endMs),
    );
    lostMsByCause.set(
      "storeAway",
      Math.max(
        lostMsByCause.get("storeAway") ?? 0,
        this.#storeOutages.overlapMs(sentMs, endMs),
      ),
    );
    if (summary.averageWorkerRunMs > LONG_RUN_FACTOR * typicalRunMs) {
      lostMsByCause.set("longRuns", summary.averageWorkerRunMs - typicalRunMs);
    }
    const rejectedFor = rejectionCause(summary.rejection);
    if (rejectedFor !== undefined) {
      // For a submission that was never accepted, the rejection outranks all delays.
      const waitedMs = summary.acceptedMs === undefined
        ? Infinity
        : acceptedMs - sentMs;
      lostMsByCause.set(
        rejectedFor,
        Math.max(lostMsByCause.get(rejectedFor) ?? 0, waitedMs),
      );
    }
    const [cause, lostMs] = [...lostMsByCause].reduce(
      (longest, entry) => entry[1] > longest[1] ? entry : longest,
      ["untold", 0] as [Cause, number],
    );
    const excessMs = endMs - sentMs - (summary.objectiveMs ?? 0);
    return lostMs < MIN_EXPLAINED_SHARE * excessMs || lostMs === 0
      ? { cause: "untold", lostMs: 0 }
      : { cause, lostMs: Number.isFinite(lostMs) ? lostMs : 0 };
  }
}

/**
 * Counts submissions and losses by row; each loss is also counted in the column
 * of its cause. The keys are the columns of the printed table.
 */
export function countLossesBy(
  jobs: readonly AnalyzedJob[],
  rowNameOf: (job: AnalyzedJob) => string,
): readonly Readonly<Record<string, string | number>>[] {
  const rows = new Map<string, Record<string, string | number>>();
  for (const job of jobs) {
    const name = rowNameOf(job);
    const row = rows.get(name) ?? { of: name, submitted: 0, lost: 0 };
    rows.set(name, row);
    row["submitted"] = Number(row["submitted"]) + 1;
    if (job.cause === undefined) continue;
    row["lost"] = Number(row["lost"]) + 1;
    row[job.cause] = Number(row[job.cause] ?? 0) + 1;
  }
  return [...rows.values()];
}

function isJobId(text: string): boolean {
  return /^[0-9a-f]{16}$/.test(text);
}

/** Whether a submission with this outcome counts as lost. */
function countsAsLost(outcome: Outcome): boolean {
  switch (outcome) {
    case "late":
    case "refused":
    case "failed":
    case "unfinished":
      return true;
    case "inTime":
    case "denied":
    case "canceled":
    case "unjudged":
      return false;
  }
}

function outcomeOf(summary: JobSummary): Outcome {
  const {
    state,
    acceptedMs,
    endedMs,
    sentMs,
    objectiveMs,
    rejection,
  } = summary;
  switch (state) {
    case "failed":
    case "canceled":
      return state;
    case "done":
      if (objectiveMs === undefined) return "unjudged";
      return endedMs! - sentMs! > objectiveMs ? "late" : "inTime";
    default:
      if (acceptedMs !== undefined) return "unfinished";
      return DENIED_OUTCOMES.has(rejection ?? "") ? "denied" : "refused";
  }
}

/** The cause that the outcome of a rejected call stands for; undefined if it stands for none. */
function rejectionCause(rejection: string | undefined): Cause | undefined {
  switch (rejection) {
    case "noHolder":
    case "unknown":
      return "noHolder";
    case "storeAway":
    case "noSet":
      return rejection;
    default:
      return undefined;
  }
}

/** Moving average, by queue, of the longest run on an average worker, milliseconds. */
function typicalRunMsByQueue(
  summaries: Iterable<JobSummary>,
): ReadonlyMap<string, number> {
  const means = new Map<string, number>();
  for (const { queue, averageWorkerRunMs } of summaries) {
    if (averageWorkerRunMs === 0) continue;
    const mean = means.get(queue) ?? averageWorkerRunMs;
    means.set(queue, mean + RUN_TIME_WEIGHT * (averageWorkerRunMs - mean));
  }
  return means;
}
