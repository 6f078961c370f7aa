/**
 * Takes workers out of use that fail what their peers carry out.
 *
 * @module
 */
import { DecayedCount } from "./decay.ts";

/** Attempts and failures of one workload, decayed. */
export interface FailureCount {
  readonly workload: string;
  readonly attempts: number;
  readonly failures: number;
}

/** What a worker's standing allows. */
export type Standing =
  | { readonly type: "trusted" }
  /** Gets nothing until `untilMs`. */
  | { readonly type: "quarantined"; readonly untilMs: number }
  /** May get one attempt, whose end decides. */
  | { readonly type: "probing" };

/** The end of one attempt. */
export interface AttemptEnd {
  readonly worker: string;
  readonly workload: string;
  readonly failed: boolean;
  readonly nowMs: number;
}

interface Sentence {
  /** Quarantines in a row. */
  level: number;
  untilMs: number;
  /** When the probe under way began. */
  probeAtMs: number | undefined;
}

interface Tally {
  readonly attempts: DecayedCount;
  readonly failures: DecayedCount;
}

/** Time constant with which attempts are forgotten. */
const MEMORY_MS = 60_000;
/** Failures below which a worker is not judged. */
const MIN_FAILURES = 3;
/** Failure rate below which a worker is not judged. */
const MIN_FAILURE_RATE = 0.5;
/** How many times its peers' failures a worker must have. */
const PEER_FACTOR = 3;
/** First quarantine; each further one is twice as long. */
const FIRST_QUARANTINE_MS = 5_000;
/** Longest quarantine. */
const MAX_QUARANTINE_MS = 300_000;
/** How long a probe may take before another is allowed. */
const PROBE_TIMEOUT_MS = 30_000;
/** Largest part of the workers in quarantine at once. */
const MAX_PART = 0.25;

/** The standing of the owned workers. */
export class Quarantine {
  readonly #tallies = new Map<string, Map<string, Tally>>();
  readonly #sentences = new Map<string, Sentence>();
  readonly #peerCounts = new Map<string, readonly FailureCount[]>();

  /** Adds a worker in good standing; one already known keeps its standing. */
  add(worker: string): void {
    if (!this.#tallies.has(worker)) this.#tallies.set(worker, new Map());
  }

  /** Forgets a worker. */
  remove(worker: string): void {
    this.#tallies.delete(worker);
    this.#sentences.delete(worker);
  }

  /** Notes the end of an attempt and judges the worker. */
  record(end: AttemptEnd): Standing {
    const tallies = this.#tallies.get(end.worker);
    if (tallies === undefined) return { type: "trusted" };
    const tally = tallies.get(end.workload) ?? newTally();
    tallies.set(end.workload, tally);
    tally.attempts.add(1, end.nowMs);
    if (end.failed) tally.failures.add(1, end.nowMs);
    this.#judge(end);
    return this.standing(end.worker, end.nowMs);
  }

  /** What may be placed on a worker now. */
  standing(worker: string, nowMs: number): Standing {
    const sentence = this.#sentences.get(worker);
    if (sentence === undefined) return { type: "trusted" };
    const untilMs = sentence.probeAtMs === undefined
      ? sentence.untilMs
      : sentence.probeAtMs + PROBE_TIMEOUT_MS;
    return nowMs < untilMs
      ? { type: "quarantined", untilMs }
      : { type: "probing" };
  }

  /** Notes that the one attempt that a probing worker may get has begun. */
  beginProbe(worker: string, nowMs: number): void {
    const sentence = this.#sentences.get(worker);
    if (sentence !== undefined) sentence.probeAtMs = nowMs;
  }

  /** Decayed counts of all owned workers, for peers. */
  counts(nowMs: number): FailureCount[] {
    const sums = new Map<string, { attempts: number; failures: number }>();
    for (const tallies of this.#tallies.values()) {
      for (const [workload, tally] of tallies) {
        const sum = sums.get(workload) ?? { attempts: 0, failures: 0 };
        sum.attempts += tally.attempts.value(nowMs);
        sum.failures += tally.failures.value(nowMs);
        sums.set(workload, sum);
      }
    }
    return [...sums].map(([workload, sum]) => ({ workload, ...sum }));
  }

  /** Takes a peer's counts; an empty list forgets the peer. */
  setPeerCounts(peer: string, counts: readonly FailureCount[]): void {
    if (counts.length === 0) this.#peerCounts.delete(peer);
    else this.#peerCounts.set(peer, counts);
  }

  #judge(end: AttemptEnd): void {
    const { worker, nowMs } = end;
    const sentence = this.#sentences.get(worker);
    if (sentence !== undefined) this.#probeEnded(sentence, end);
    else if (this.#isSuspect(worker, nowMs) && this.#hasQuota()) {
      this.#sentences.set(worker, {
        level: 0,
        untilMs: nowMs + FIRST_QUARANTINE_MS,
        probeAtMs: undefined,
      });
    }
  }

  /** Attempts that began before the quarantine end during it and prove nothing. */
  #probeEnded(sentence: Sentence, end: AttemptEnd): void {
    if (sentence.probeAtMs === undefined) return;
    if (!end.failed) {
      this.#sentences.delete(end.worker);
      this.#tallies.set(end.worker, new Map());
      return;
    }
    sentence.level += 1;
    sentence.probeAtMs = undefined;
    const lengthMs = FIRST_QUARANTINE_MS * 2 ** sentence.level;
    sentence.untilMs = end.nowMs + Math.min(MAX_QUARANTINE_MS, lengthMs);
  }

  #isSuspect(worker: string, nowMs: number): boolean {
    let attempts = 0;
    let failures = 0;
    let expected = 0;
    for (const [workload, tally] of this.#tallies.get(worker)!) {
      const tried = tally.attempts.value(nowMs);
      attempts += tried;
      failures += tally.failures.value(nowMs);
      expected += tried * this.#peerRate(workload, { worker, nowMs });
    }
    return failures >= MIN_FAILURES &&
      failures >= MIN_FAILURE_RATE * attempts &&
      failures > PEER_FACTOR * expected;
  }

  /** Failure rate of a workload on all workers but one; 1 where no other has tried it. */
  #peerRate(
    workload: string,
    except: { readonly worker: string; readonly nowMs: number },
  ): number {
    let attempts = 0;
    let failures = 0;
    for (const count of this.#othersCounts(workload, except)) {
      attempts += count.attempts;
      failures += count.failures;
    }
    return attempts < 1 ? 1 : failures / attempts;
  }

  *#othersCounts(
    workload: string,
    except: { readonly worker: string; readonly nowMs: number },
  ): Generator<Omit<FailureCount, "workload">> {
    for (const [worker, tallies] of this.#tallies) {
      const tally = tallies.get(workload);
      if (worker === except.worker || tally === undefined) continue;
      yield {
        attempts: tally.attempts.value(except.nowMs),
        failures: tally.failures.value(except.nowMs),
      };
    }
    for (const counts of this.#peerCounts.values()) {
      yield* counts.filter((count) => count.workload === workload);
    }
  }

  #hasQuota(): boolean {
    const workers = this.#tallies.size;
    if (workers < 2) return false;
    const most = Math.max(1, Math.floor(MAX_PART * workers));
    return this.#sentences.size < most;
  }
}

function newTally(): Tally {
  return {
    attempts: new DecayedCount(MEMORY_MS),
    failures: new DecayedCount(MEMORY_MS),
  };
}
