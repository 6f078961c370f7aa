/**
 * An account of the submissions in the logs of several instances: which were
 * late, refused or failed, and the one cause that cost each of them most.
 *
 * @module
 */
import { parseLogLine } from "../story/story.ts";
import { type Cause, JobNotes } from "./job_notes.ts";
import { Spans } from "./spans.ts";

/** What became of a submission. */
export type Outcome =
  | "inTime"
  | "late"
  /** It was never accepted, by any line. */
  | "refused"
  /** Its call was not allowed or could not be read: nothing was owed. */
  | "denied"
  | "failed"
  | "canceled"
  /** Accepted, and no line tells of its end. */
  | "unfinished"
  /** The lines do not tell its objective, so not whether it was in time. */
  | "unjudged";

/** One submission of the account. */
export interface AccountedJob {
  readonly job: string;
  readonly queue: string;
  readonly outcome: Outcome;
  readonly cause: Cause | undefined;
  /** Time that the cause cost, milliseconds. */
  readonly lostMs: number;
  /** Seconds from the first submission of the logs to its first sending. */
  readonly second: number;
}

/** The account of all lines. */
export interface AccountReport {
  readonly lines: number;
  readonly unreadable: number;
  /** Where the first unreadable lines stand: `FILE:LINE`. */
  readonly unreadableAt: readonly string[];
  readonly jobs: readonly AccountedJob[];
}

/** Events that the account reads; the others are only counted. */
const EVENTS: ReadonlySet<string> = new Set([
  "client.call",
  "job.submitted",
  "step.waited",
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

/** Outcomes of calls that nothing is owed for. */
const DENIALS: ReadonlySet<string> = new Set([
  "unknownKey",
  "noQueue",
  "badId",
  "badBody",
  "badMethod",
  "tooLarge",
]);

/** Unreadable lines that are named. */
const MOST_NAMED = 10;
/** A cause that explains less than this part of the delay is not told. */
const LEAST_PART = 0.2;
/** Runs that take longer than so many times the usual of their queue were long. */
const LONG_RUN = 1.5;
/** Weight of a run in the mean of its queue. */
const RUN_WEIGHT = 0.05;

/** Takes lines in any order of their files and gives the account. */
export class Account {
  readonly #jobs = new Map<string, JobNotes>();
  readonly #noHolder = new Spans();
  readonly #storeAway = new Spans();
  /** Begin of the search for a holder by fence, Unix milliseconds. */
  readonly #sought = new Map<string, number>();
  readonly #recovered = new Map<string, number>();
  #lines = 0;
  #unreadable = 0;
  readonly #unreadableAt: string[] = [];

  /** Takes a line; `where` names it if it cannot be read. */
  take(text: string, where: string): void {
    if (text === "") return;
    this.#lines++;
    const event = /\bevent=([\w.]+)/.exec(text)?.[1];
    if (event !== undefined && !EVENTS.has(event)) return;
    const line = event === undefined ? undefined : parseLogLine(text);
    const atMs = Date.parse(line?.time ?? "");
    if (line === undefined || Number.isNaN(atMs)) return this.#reject(where);
    const { fields } = line;
    const id = fields["job"] ?? fields["task"]?.split(".")[0];
    if (id === undefined) this.#around(line.event, fields, atMs);
    else if (isJobId(id)) this.#notesOf(id).take(line, atMs);
  }

  /** The account of the lines so far. */
  report(): AccountReport {
    for (const [fence, fromMs] of this.#sought) {
      const toMs = this.#recovered.get(fence);
      if (toMs !== undefined) this.#noHolder.add(fromMs, toMs);
    }
    const sent = [...this.#jobs.values()]
      .flatMap(({ sentMs }) => sentMs ?? []);
    const firstMs = sent.reduce((least, ms) => Math.min(least, ms), Infinity);
    const usualMs = usualRuns(this.#jobs.values());
    const jobs = [...this.#jobs].flatMap(([job, notes]): AccountedJob[] => {
      const { sentMs, queue } = notes;
      if (sentMs === undefined) return [];
      const outcome = outcomeOf(notes);
      const { cause, lostMs } = isLoss(outcome)
        ? this.#causeOf(notes, { sentMs, usualMs: usualMs.get(queue) ?? 0 })
        : { cause: undefined, lostMs: 0 };
      const second = Math.floor((sentMs - firstMs) / 1_000);
      return [{ job, queue, outcome, cause, lostMs, second }];
    });
    return {
      lines: this.#lines,
      unreadable: this.#unreadable,
      unreadableAt: this.#unreadableAt,
      jobs: jobs.sort((a, b) => a.second - b.second),
    };
  }

  #reject(where: string): void {
    this.#unreadable++;
    if (this.#unreadableAt.length < MOST_NAMED) this.#unreadableAt.push(where);
  }

  #notesOf(id: string): JobNotes {
    const known = this.#jobs.get(id);
    if (known !== undefined) return known;
    const notes = new JobNotes();
    this.#jobs.set(id, notes);
    return notes;
  }

  /** Takes note of what happened to all submissions. */
  #around(
    event: string,
    fields: Readonly<Record<string, string>>,
    atMs: number,
  ): void {
    const fence = fields["fence"] ?? "";
    switch (event) {
      case "hold.gained":
        this.#sought.set(fence, atMs - Number(fields["silenceMs"] ?? 0));
        return;
      case "cell.recovered":
        this.#recovered.set(fence, atMs);
        return;
      case "cell.load":
        this.#storeAway.add(atMs - Number(fields["storeStuckMs"] ?? 0), atMs);
        return;
      case "joblog.retry":
        this.#storeAway.add(atMs - Number(fields["stuckMs"] ?? 0), atMs);
        return;
    }
  }

  #causeOf(
    notes: JobNotes,
    { sentMs, usualMs }: {
      readonly sentMs: number;
      readonly usualMs: number;
    },
  ): { readonly cause: Cause; readonly lostMs: number } {
    const lost = new Map(notes.lost);
    const acceptedMs = notes.acceptedMs ?? sentMs;
    const endMs = notes.endedMs ?? acceptedMs;
    lost.set("noHolder", this.#noHolder.within(sentMs, endMs));
    lost.set("storeAway", this.#storeAway.within(sentMs, endMs));
    if (notes.ownRunMs > LONG_RUN * usualMs) {
      lost.set("longRuns", notes.ownRunMs - usualMs);
    }
    const refusal = refusalCause(notes.refusal);
    if (refusal !== undefined) {
      const waitedMs = notes.acceptedMs === undefined
        ? Infinity
        : acceptedMs - sentMs;
      lost.set(refusal, Math.max(lost.get(refusal) ?? 0, waitedMs));
    }
    const [cause, lostMs] = [...lost].reduce(
      (most, one) => one[1] > most[1] ? one : most,
      ["untold", 0] as [Cause, number],
    );
    const excessMs = endMs - sentMs - (notes.objectiveMs ?? 0);
    return lostMs < LEAST_PART * excessMs || lostMs === 0
      ? { cause: "untold", lostMs: 0 }
      : { cause, lostMs: Number.isFinite(lostMs) ? lostMs : 0 };
  }
}

/** Sums of the losses of an account: the cells of a table by its rows. */
export function lossesBy(
  jobs: readonly AccountedJob[],
  rowOf: (job: AccountedJob) => string,
): readonly Readonly<Record<string, string | number>>[] {
  const rows = new Map<string, Record<string, string | number>>();
  for (const job of jobs) {
    const name = rowOf(job);
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

function isLoss(outcome: Outcome): boolean {
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

function outcomeOf(notes: JobNotes): Outcome {
  const { state, acceptedMs, endedMs, sentMs, objectiveMs, refusal } = notes;
  switch (state) {
    case "failed":
    case "canceled":
      return state;
    case "done":
      if (objectiveMs === undefined) return "unjudged";
      return endedMs! - sentMs! > objectiveMs ? "late" : "inTime";
    default:
      if (acceptedMs !== undefined) return "unfinished";
      return DENIALS.has(refusal ?? "") ? "denied" : "refused";
  }
}

function refusalCause(refusal: string | undefined): Cause | undefined {
  switch (refusal) {
    case "noHolder":
    case "unknown":
      return "noHolder";
    case "storeAway":
    case "noSet":
      return refusal;
    default:
      return undefined;
  }
}

/** Usual length of a submission's longest run on an average worker, by queue. */
function usualRuns(notes: Iterable<JobNotes>): ReadonlyMap<string, number> {
  const means = new Map<string, number>();
  for (const { queue, ownRunMs } of notes) {
    if (ownRunMs === 0) continue;
    const mean = means.get(queue) ?? ownRunMs;
    means.set(queue, mean + RUN_WEIGHT * (ownRunMs - mean));
  }
  return means;
}
