/**
 * Selects which waiting work runs next. Urgent work has priority, except that deferred work which
 * is late or has waited too long is guaranteed a fraction of the starts.
 *
 * @module
 */
import type { Resources, Urgency } from "../types.ts";
import { byDueThenArrival } from "./order.ts";
import type { Shares } from "./shares.ts";
import type { Backlog } from "./waiting_queue.ts";

/** Work that could run next. Times are monotonic milliseconds of this instance. */
export interface Candidate {
  readonly team: string;
  readonly workload: string;
  readonly urgency: Urgency;
  readonly need: Resources;
  readonly arrivedAtMs: number;
  readonly dueAtMs?: number;
}

/** Work that waits at a peer. */
export interface PeerCandidate extends Candidate {
  readonly origin: string;
  readonly count: number;
}

/** Inputs of a selection. */
export interface SelectionOptions {
  readonly shares: Pick<Shares, "rank" | "fairRank">;
  /** Whether a worker has enough free capacity now. */
  readonly hasCapacity: (need: Resources, urgency: Urgency) => boolean;
  readonly nowMs: number;
  /** Guarantees starts to deferred work; without it, urgent work always has priority. */
  readonly deferredCredit?: DeferredStartCredit;
}

/** Why deferred work may be started before urgent work. */
type Pressure = "none" | "aged" | "late";

/** Resolution at which weighted shares are compared, as a fraction of the fair share; closer ones count as equal. */
const RANK_STEP = 0.01;
/** Deferred work due within this time counts as late. */
export const LATE_SLACK_MS = 5_000;
/** Deferred work that has waited longer than this counts as aged. */
export const AGED_AFTER_MS = 60_000;
/** Urgent work that has waited for less than this is ordered by arrival alone, regardless of shares. */
export const AGE_ORDER_MAX_WAIT_MS = 25;
/** How much older a peer's work has to be than an instance's own work to be preferred, milliseconds. */
export const HANDOVER_AGE_PENALTY_MS: Readonly<Record<Urgency, number>> = {
  urgent: 5,
  deferred: 1_000,
};
/** Fraction of the starts guaranteed to late deferred work while urgent work waits. */
const LATE_START_FRACTION = 0.1;
/** Fraction of the starts guaranteed to aged deferred work while urgent work waits. */
const AGED_START_FRACTION = 0.02;

/** Accumulates credit for starts of late or aged deferred work. */
export class DeferredStartCredit {
  #credit = 0;

  /** Adds the guaranteed fraction of one start; returns whether the credit suffices to start deferred work now. */
  accrue(fraction: number): boolean {
    this.#credit = Math.min(1, this.#credit + fraction);
    return this.#credit >= 1;
  }

  /** Resets the credit after deferred work was selected. */
  reset(): void {
    this.#credit = 0;
  }
}

/**
 * Converts a peer's backlog into a candidate. The handover penalty is subtracted from its age and
 * added to its due time, so that work moves between instances only if it gains from the move.
 */
export function toPeerCandidate(
  backlog: Backlog,
  options: {
    readonly origin: string;
    readonly receivedAtMs: number;
    /**
     * Random addition to the handover penalty, milliseconds, so that instances don't all request
     * work from the same origin.
     */
    readonly jitterMs: number;
  },
): PeerCandidate {
  const { origin, receivedAtMs, jitterMs } = options;
  const { dueInMs, oldestArrivedAgoMs, ...rest } = backlog;
  const baseMs = receivedAtMs + HANDOVER_AGE_PENALTY_MS[backlog.urgency] +
    jitterMs;
  return {
    ...rest,
    origin,
    arrivedAtMs: baseMs - oldestArrivedAgoMs,
    ...(dueInMs === undefined ? {} : { dueAtMs: baseMs + dueInMs }),
  };
}

/** Selects the candidate to run next among those that fit; `undefined` if none does. */
export function selectNext<T extends Candidate>(
  candidates: Iterable<T>,
  options: SelectionOptions,
): T | undefined {
  const bestCandidates = new BestCandidates<T>(options);
  for (const candidate of candidates) bestCandidates.consider(candidate);
  return selectBetweenUrgencies(bestCandidates, options.deferredCredit);
}

/** A candidate with the keys by which it is ordered. */
interface RankedCandidate<T extends Candidate> {
  readonly candidate: T;
  readonly priorityDueMs: number;
  readonly shareStep: number;
}

/** Keeps the best candidate of each urgency. */
class BestCandidates<T extends Candidate> {
  readonly #best: Record<Urgency, RankedCandidate<T> | undefined> = {
    urgent: undefined,
    deferred: undefined,
  };
  readonly #options: SelectionOptions;
  readonly #fairRank: number;

  constructor(options: SelectionOptions) {
    this.#options = options;
    this.#fairRank = options.shares.fairRank();
  }

  /** The best urgent candidate that fits. */
  get urgent(): T | undefined {
    return this.#best.urgent?.candidate;
  }

  /** The best deferred candidate that fits. */
  get deferred(): T | undefined {
    return this.#best.deferred?.candidate;
  }

  /** Pressure of the best deferred candidate. */
  get pressure(): Pressure {
    return this.deferred === undefined
      ? "none"
      : pressureOf(this.deferred, this.#options.nowMs);
  }

  consider(candidate: T): void {
    const best = this.#best[candidate.urgency];
    const shareStep = this.#shareStep(candidate);
    const priorityDueMs = this.#priorityDueMs(candidate);
    const ranked = { candidate, priorityDueMs, shareStep };
    if (best !== undefined && !precedes(ranked, best)) return;
    const { need, urgency } = candidate;
    if (!this.#options.hasCapacity(need, urgency)) return;
    this.#best[urgency] = ranked;
  }

  /** Due time of deferred work that is late and whose team is within its share; infinite for all other work. */
  #priorityDueMs(candidate: T): number {
    if (candidate.urgency === "urgent") return Infinity;
    if (pressureOf(candidate, this.#options.nowMs) !== "late") return Infinity;
    return this.#shareExcess(candidate) <= 0 ? candidate.dueAtMs! : Infinity;
  }

  /**
   * Ordering key by weighted share, lowest first. Deferred work is ordered by its team's share.
   * Urgent work of all teams within their share ranks equally; above it, the excess counts once the
   * work has waited for {@linkcode AGE_ORDER_MAX_WAIT_MS}.
   */
  #shareStep(candidate: T): number {
    const excess = this.#shareExcess(candidate);
    if (candidate.urgency === "deferred") return Math.ceil(excess / RANK_STEP);
    const waitedMs = this.#options.nowMs - candidate.arrivedAtMs;
    return waitedMs < AGE_ORDER_MAX_WAIT_MS
      ? 0
      : Math.max(0, Math.ceil(excess / RANK_STEP));
  }

  /** How far the team is above its fair share, as a fraction of that share; negative below it. */
  #shareExcess(candidate: T): number {
    return this.#options.shares.rank(candidate.team) / this.#fairRank - 1;
  }
}

function precedes<T extends Candidate>(
  a: RankedCandidate<T>,
  b: RankedCandidate<T>,
): boolean {
  if (a.priorityDueMs !== b.priorityDueMs) {
    return a.priorityDueMs < b.priorityDueMs;
  }
  if (a.shareStep !== b.shareStep) return a.shareStep < b.shareStep;
  return byDueThenArrival(a.candidate, b.candidate) < 0;
}

function selectBetweenUrgencies<T extends Candidate>(
  bestCandidates: BestCandidates<T>,
  turns: DeferredStartCredit | undefined,
): T | undefined {
  const { urgent, deferred, pressure } = bestCandidates;
  if (urgent === undefined || deferred === undefined) return urgent ?? deferred;
  if (!turns?.accrue(startFraction(pressure))) return urgent;
  turns.reset();
  return deferred;
}

function startFraction(pressure: Pressure): number {
  switch (pressure) {
    case "none":
      return 0;
    case "aged":
      return AGED_START_FRACTION;
    case "late":
      return LATE_START_FRACTION;
  }
}

function pressureOf(candidate: Candidate, nowMs: number): Pressure {
  const slackMs = (candidate.dueAtMs ?? Infinity) - nowMs;
  if (slackMs <= LATE_SLACK_MS) return "late";
  return nowMs - candidate.arrivedAtMs > AGED_AFTER_MS ? "aged" : "none";
}
