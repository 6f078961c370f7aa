/**
 * What the logs tell of one submission, in a size that does not grow with its
 * lines.
 *
 * @module
 */
import type { LogLine } from "../story/story.ts";

/** Why time of a submission was lost. */
export type Cause =
  /** No instance held the cell. */
  | "noHolder"
  /** The store did not answer the holder. */
  | "storeAway"
  /** An instance had no set yet. */
  | "noSet"
  | "teamLimit"
  | "noRoom"
  /** It waited for the advice service or for a free way to it. */
  | "advice"
  /** Its gang found some places but not all. */
  | "gangIncomplete"
  /** Others stood before it in the line. */
  | "queueOrder"
  /** Runs failed by their own fault or their worker's. */
  | "failedRuns"
  /** Orders stayed without an answer. */
  | "unansweredOrder"
  /** Its workers were lost, stood still or fell silent. */
  | "workerLost"
  /** Its runs took long because their workers are slow. */
  | "slowWorker"
  /** Its runs took long by themselves. */
  | "longRuns"
  /** The lines do not tell. */
  | "untold";

/** A run whose end or start is not known yet. */
interface OpenRun {
  readonly startedMs?: number;
  readonly endedMs?: number;
  readonly how?: string;
  /** Run time on its worker over that on an average one. */
  readonly timeFactor?: number;
}

/** Reasons of the waits that a holder tells. */
const WAITS: readonly (readonly [string, Cause])[] = [
  ["turnMs", "queueOrder"],
  ["adviceMs", "advice"],
  ["noAdviceMs", "advice"],
  ["noRoomMs", "noRoom"],
  ["teamLimitMs", "teamLimit"],
  ["limitHeadroomMs", "teamLimit"],
  ["gangIncompleteMs", "gangIncomplete"],
];

/** Why runs were given up, where that is not their worker's loss. */
const LOST_ORDERS: ReadonlySet<string> = new Set(["notThere", "unreached"]);

/** Notes on one submission. */
export class JobNotes {
  queue = "";
  /** First time that a client sent it, Unix milliseconds; undefined if no line tells. */
  sentMs: number | undefined;
  acceptedMs: number | undefined;
  endedMs: number | undefined;
  state: string | undefined;
  objectiveMs: number | undefined;
  /** Outcome of the last call that was not accepted. */
  refusal: string | undefined;
  /** Time that the longest of its runs took, milliseconds. */
  longestRunMs = 0;
  readonly lost = new Map<Cause, number>();
  readonly #open = new Map<string, OpenRun>();

  /** Time that its longest run would have taken without slow workers, milliseconds. */
  get ownRunMs(): number {
    return this.longestRunMs - (this.lost.get("slowWorker") ?? 0);
  }

  /** Takes note of a line about it. `atMs`: the line's time, Unix milliseconds. */
  take({ event, fields }: LogLine, atMs: number): void {
    switch (event) {
      case "client.call":
        if (fields["method"] === "POST") this.#called(fields, atMs);
        return;
      case "job.submitted":
        this.queue = fields["queue"] ?? this.queue;
        this.objectiveMs ??= numberOf(fields["objectiveMs"]);
        if (fields["outcome"] === "accepted") {
          this.#accepted(atMs);
          this.#sent(atMs - (numberOf(fields["tookMs"]) ?? 0));
        }
        return;
      case "step.waited":
        for (const [field, cause] of WAITS) {
          this.#lose(cause, numberOf(fields[field]) ?? 0);
        }
        return;
      case "run.start":
        this.#started(fields, atMs);
        return;
      case "run.end":
        this.#ended(fields, atMs);
        return;
      case "run.lost":
        this.#gaveUp(fields, atMs);
        return;
      case "run.stalled":
        this.#lose("workerLost", numberOf(fields["stillMs"]) ?? 0);
        return;
      case "job.ended":
        this.queue = fields["queue"] ?? this.queue;
        this.endedMs = Math.max(this.endedMs ?? 0, atMs);
        this.state = fields["state"];
        this.objectiveMs = numberOf(fields["objectiveMs"]) ?? this.objectiveMs;
        return;
    }
  }

  #called(fields: LogLine["fields"], atMs: number): void {
    const outcome = fields["outcome"] ?? "";
    const sentMs = atMs - (numberOf(fields["tookMs"]) ?? 0);
    this.#sent(sentMs);
    if (outcome === "accepted") this.#accepted(atMs);
    else this.refusal = outcome;
  }

  #sent(atMs: number): void {
    this.sentMs = Math.min(this.sentMs ?? Infinity, atMs);
  }

  #accepted(atMs: number): void {
    this.acceptedMs = Math.min(this.acceptedMs ?? Infinity, atMs);
  }

  #started(fields: LogLine["fields"], atMs: number): void {
    const tookMs = numberOf(fields["tookMs"]) ?? 0;
    if (fields["outcome"] === "unknown") this.#lose("unansweredOrder", tookMs);
    const timeFactor = numberOf(fields["timeFactor"]) ?? 1;
    this.#pair(fields, { startedMs: atMs - tookMs, timeFactor });
  }

  #ended(fields: LogLine["fields"], atMs: number): void {
    if (fields["counted"] !== "true") return;
    this.#pair(fields, { endedMs: atMs, how: fields["how"] ?? "" });
  }

  #gaveUp(fields: LogLine["fields"], atMs: number): void {
    const how = LOST_ORDERS.has(fields["reason"] ?? "")
      ? "unansweredOrder"
      : "workerLost";
    this.#pair(fields, { endedMs: atMs, how });
  }

  /** Brings the start and the end of a run together, whichever comes first. */
  #pair(fields: LogLine["fields"], part: OpenRun): void {
    const run = `${fields["task"]} ${fields["run"]}`;
    const whole = { ...this.#open.get(run), ...part };
    const { startedMs, endedMs, how, timeFactor = 1 } = whole;
    if (startedMs === undefined || endedMs === undefined) {
      this.#open.set(run, whole);
      return;
    }
    this.#open.delete(run);
    const tookMs = endedMs - startedMs;
    if (how === "done") {
      this.longestRunMs = Math.max(this.longestRunMs, tookMs);
      // What it took beyond its time on an average worker.
      this.#lose("slowWorker", tookMs - tookMs / timeFactor);
    } else if (how === "failed") this.#lose("failedRuns", tookMs);
    else if (how === "unansweredOrder") this.#lose("unansweredOrder", tookMs);
    else this.#lose("workerLost", tookMs);
  }

  #lose(cause: Cause, lostMs: number): void {
    if (lostMs <= 0) return;
    // Tasks of a step lose time beside each other: the longest counts.
    this.lost.set(cause, Math.max(this.lost.get(cause) ?? 0, lostMs));
  }
}

function numberOf(text: string | undefined): number | undefined {
  const value = Number(text);
  return text === undefined || !Number.isFinite(value) ? undefined : value;
}
