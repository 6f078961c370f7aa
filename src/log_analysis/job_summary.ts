/**
 * Summary of one submission's log lines. Its size does not grow with the number
 * of lines.
 *
 * @module
 */
import type { LogLine } from "./job_timeline.ts";

/** Why a submission was delayed, rejected or failed. The values are printed. */
export type Cause =
  /** The cell had no leader, or the outcome of a call remained unknown. */
  | "noHolder"
  /** The store did not respond to the leader. */
  | "storeAway"
  /** The instance had not loaded an operator set yet. */
  | "noSet"
  /** The team had reached its limit, or capacity was reserved within the limit. */
  | "teamLimit"
  /** No worker had enough free capacity. */
  | "noRoom"
  /** A step waited for the advice service: for a response, a free channel or a valid ticket. */
  | "advice"
  /** There was capacity for some tasks of a gang, but not for all. */
  | "gangIncomplete"
  /** A step waited in the backlog until the scheduler reached it. */
  | "queueOrder"
  /** A gang waited until its remaining runs were stopped. */
  | "stopping"
  /** A step that could start was neither in the backlog nor assigned to workers. */
  | "missing"
  /** Runs failed, by a fault of the task or of its worker. */
  | "failedRuns"
  /** A start request was not answered, or the worker did not have the run. */
  | "unansweredOrder"
  /** A worker was lost or unreachable, or a run on it made no progress. */
  | "workerLost"
  /** Runs took longer than on an average worker because their worker is slow. */
  | "slowWorker"
  /** Runs were long even for an average worker. */
  | "longRuns"
  /** The log lines do not show a cause. */
  | "untold";

/** A run of which only the start or only the end has been read so far. */
interface PartialRun {
  /** Unix milliseconds. */
  readonly startedMs?: number;
  /** Unix milliseconds. */
  readonly endedMs?: number;
  /** Field `how` of `run.end`, or the cause of a `run.lost`. */
  readonly kind?: string;
  /** Expected run time on the run's worker divided by that on an average worker. */
  readonly timeFactor?: number;
}

/**
 * Fields of `step.waited` and `step.waiting` with the cause that each stands for; a field holds the
 * time waited.
 */
const WAIT_CAUSES: readonly (readonly [string, Cause])[] = [
  ["turnMs", "queueOrder"],
  ["adviceMs", "advice"],
  ["noAdviceMs", "advice"],
  ["noRoomMs", "noRoom"],
  ["teamLimitMs", "teamLimit"],
  ["limitHeadroomMs", "teamLimit"],
  ["gangIncompleteMs", "gangIncomplete"],
];

/** Reasons in `step.waiting` of steps outside the backlog, with the cause that each stands for. */
const START_CAUSES: ReadonlyMap<string, Cause> = new Map([
  ["store", "storeAway"],
  ["start", "unansweredOrder"],
  ["report", "workerLost"],
  ["stop", "stopping"],
  ["missing", "missing"],
]);

/** Reasons in `run.lost` that stand for a failed start request and not for a lost worker. */
const UNANSWERED_REASONS: ReadonlySet<string> = new Set([
  "notThere",
  "unreached",
]);

/** Collects the log lines of one submission, in any order. */
export class JobSummary {
  queue = "";
  /** When a client first sent the submission, Unix milliseconds; undefined if no line shows it. */
  sentMs: number | undefined;
  /** When the submission was first accepted, Unix milliseconds. */
  acceptedMs: number | undefined;
  /** When the job ended, Unix milliseconds; the last time if several lines record it. */
  endedMs: number | undefined;
  /** State in which the job ended: `done`, `failed` or `canceled`. */
  state: string | undefined;
  /** Objective for the time from sending to the end, milliseconds. */
  objectiveMs: number | undefined;
  /** Outcome of a call that was not accepted; that of the last such line read. */
  rejection: string | undefined;
  /** Duration of the longest successful run, milliseconds. */
  longestRunMs = 0;
  /** Longest single delay by cause, milliseconds. */
  readonly lostMsByCause = new Map<Cause, number>();
  readonly #partialRuns = new Map<string, PartialRun>();

  /**
   * Estimated duration of the longest run on an average worker, milliseconds:
   * the longest run less the longest delay by a slow worker, even if these are
   * two different runs.
   */
  get averageWorkerRunMs(): number {
    return this.longestRunMs - (this.lostMsByCause.get("slowWorker") ?? 0);
  }

  /** Adds a line about this submission. `atMs`: the line's time, Unix milliseconds. */
  add({ event, fields }: LogLine, atMs: number): void {
    switch (event) {
      case "client.call":
        if (fields["method"] === "POST") this.#addCall(fields, atMs);
        return;
      case "job.submitted":
        this.queue = fields["queue"] ?? this.queue;
        this.objectiveMs ??= parseNumber(fields["objectiveMs"]);
        if (fields["outcome"] === "accepted") {
          this.#noteAccepted(atMs);
          this.#noteSent(atMs - (parseNumber(fields["tookMs"]) ?? 0));
        }
        return;
      case "step.waited":
      case "step.waiting":
        this.#addWait(fields);
        return;
      case "run.start":
        this.#addRunStart(fields, atMs);
        return;
      case "run.end":
        this.#addRunEnd(fields, atMs);
        return;
      case "run.lost":
        this.#addRunLoss(fields, atMs);
        return;
      case "run.stalled":
        this.#delay("workerLost", parseNumber(fields["stillMs"]) ?? 0);
        return;
      case "job.ended":
        this.queue = fields["queue"] ?? this.queue;
        this.endedMs = Math.max(this.endedMs ?? 0, atMs);
        this.state = fields["state"];
        this.objectiveMs = parseNumber(fields["objectiveMs"]) ??
          this.objectiveMs;
        return;
    }
  }

  #addWait(fields: LogLine["fields"]): void {
    for (const [field, cause] of WAIT_CAUSES) {
      this.#delay(cause, parseNumber(fields[field]) ?? 0);
    }
    const cause = START_CAUSES.get(fields["reason"] ?? "");
    if (cause === undefined) return;
    this.#delay(cause, parseNumber(fields["reasonMs"]) ?? 0);
  }

  #addCall(fields: LogLine["fields"], atMs: number): void {
    const outcome = fields["outcome"] ?? "";
    const sentMs = atMs - (parseNumber(fields["tookMs"]) ?? 0);
    this.#noteSent(sentMs);
    if (outcome === "accepted") this.#noteAccepted(atMs);
    else this.rejection = outcome;
  }

  #noteSent(atMs: number): void {
    this.sentMs = Math.min(this.sentMs ?? Infinity, atMs);
  }

  #noteAccepted(atMs: number): void {
    this.acceptedMs = Math.min(this.acceptedMs ?? Infinity, atMs);
  }

  #addRunStart(fields: LogLine["fields"], atMs: number): void {
    const waitMs = parseNumber(fields["tookMs"]) ?? 0;
    if (fields["outcome"] === "unknown") this.#delay("unansweredOrder", waitMs);
    const timeFactor = parseNumber(fields["timeFactor"]) ?? 1;
    this.#addRunPart(fields, { startedMs: atMs - waitMs, timeFactor });
  }

  /** Ignores an end that the leader disregarded. */
  #addRunEnd(fields: LogLine["fields"], atMs: number): void {
    if (fields["counted"] !== "true") return;
    this.#addRunPart(fields, { endedMs: atMs, kind: fields["how"] ?? "" });
  }

  #addRunLoss(fields: LogLine["fields"], atMs: number): void {
    const kind = UNANSWERED_REASONS.has(fields["reason"] ?? "")
      ? "unansweredOrder"
      : "workerLost";
    this.#addRunPart(fields, { endedMs: atMs, kind });
  }

  /** Joins the start and the end of a run, in either order, and records its duration. */
  #addRunPart(fields: LogLine["fields"], part: PartialRun): void {
    const run = `${fields["task"]} ${fields["run"]}`;
    const merged = { ...this.#partialRuns.get(run), ...part };
    const { startedMs, endedMs, kind, timeFactor = 1 } = merged;
    if (startedMs === undefined || endedMs === undefined) {
      this.#partialRuns.set(run, merged);
      return;
    }
    this.#partialRuns.delete(run);
    const runMs = endedMs - startedMs;
    if (kind === "done") {
      this.longestRunMs = Math.max(this.longestRunMs, runMs);
      // Time beyond the run's duration on an average worker.
      this.#delay("slowWorker", runMs - runMs / timeFactor);
    } else if (kind === "failed") this.#delay("failedRuns", runMs);
    else if (kind === "unansweredOrder") this.#delay("unansweredOrder", runMs);
    else this.#delay("workerLost", runMs);
  }

  /** Records a delay by a cause; keeps the longest of each cause. */
  #delay(cause: Cause, lostMs: number): void {
    if (lostMs <= 0) return;
    // Tasks of a step run in parallel and their delays overlap: only the longest counts.
    this.lostMsByCause.set(
      cause,
      Math.max(this.lostMsByCause.get(cause) ?? 0, lostMs),
    );
  }
}

function parseNumber(text: string | undefined): number | undefined {
  const value = Number(text);
  return text === undefined || !Number.isFinite(value) ? undefined : value;
}
