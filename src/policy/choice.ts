/**
 * Which of the waiting work runs next. Urgent work goes first, except that
 * deferred work which is late or has waited too long gets a guaranteed part
 * of the starts.
 *
 * @module
 */
import type { Resources, Urgency } from "../types.ts";
import { byDueThenArrival } from "./order.ts";
import type { Shares } from "./shares.ts";
import type { Backlog } from "./waiting.ts";

/** Something that could run next. Times are monotonic milliseconds of this instance. */
export interface Candidate {
  readonly team: string;
  readonly workload: string;
  readonly urgency: Urgency;
  readonly need: Resources;
  readonly arrivedAtMs: number;
  readonly dueAtMs?: number;
}

/** A candidate that waits at a peer. */
export interface PeerCandidate extends Candidate {
  readonly holder: string;
  readonly count: number;
}

/** What a choice depends on. */
export interface ChoiceOptions {
  readonly shares: Pick<Shares, "rank" | "fairRank">;
  /** Whether a need can be placed now. */
  readonly hasRoom: (need: Resources, urgency: Urgency) => boolean;
  readonly nowMs: number;
  /** Counts the starts owed to deferred work; without it urgent work always goes first. */
  readonly turns?: DeferredTurns;
}

/** How pressing deferred work is. */
type Pressure = "none" | "aged" | "late";

/** Weighted shares closer than this, in parts of the fair one, count as equal. */
const RANK_STEP = 0.01;
/** Deferred work due within this time counts as late. */
export const SLACK_MS = 5_000;
/** Deferred work that has waited longer than this counts as aged. */
export const AGED_MS = 60_000;
/** Urgent work that has waited less than this is ordered by age alone. */
export const GRACE_MS = 25;
/** How much older than its own work a peer's work has to be before an instance prefers it. */
export const HANDOVER_MS: Readonly<Record<Urgency, number>> = {
  urgent: 5,
  deferred: 1_000,
};
/** Part of the starts that late deferred work gets while urgent work waits. */
const LATE_PART = 0.1;
/** Part of the starts that aged deferred work gets while urgent work waits. */
const AGED_PART = 0.02;

/** Starts owed to pressing deferred work. */
export class DeferredTurns {
  #owed = 0;

  /** Counts one choice and says whether deferred work has its turn. */
  isDue(part: number): boolean {
    this.#owed = Math.min(1, this.#owed + part);
    return this.#owed >= 1;
  }

  /** Notes that deferred work was chosen. */
  spend(): void {
    this.#owed = 0;
  }
}

/** Turns a peer's backlog into a candidate; it counts as younger than it is, so that work moves only if that helps. */
export function candidateOf(
  backlog: Backlog,
  options: {
    readonly holder: string;
    readonly receivedAtMs: number;
    /** Added to the handover time, so that instances do not all ask the same holder. */
    readonly jitterMs: number;
  },
): PeerCandidate {
  const { holder, receivedAtMs, jitterMs } = options;
  const { dueInMs, oldestArrivedAgoMs, ...rest } = backlog;
  const originMs = receivedAtMs + HANDOVER_MS[backlog.urgency] + jitterMs;
  return {
    ...rest,
    holder,
    arrivedAtMs: originMs - oldestArrivedAgoMs,
    ...(dueInMs === undefined ? {} : { dueAtMs: originMs + dueInMs }),
  };
}

/** The candidate that should run next among those that fit. */
export function chooseNext<T extends Candidate>(
  candidates: Iterable<T>,
  options: ChoiceOptions,
): T | undefined {
  const bests = new Bests<T>(options);
  for (const candidate of candidates) bests.offer(candidate);
  return decide(bests, options.turns);
}

/** A candidate with what it is ordered by. */
interface Ranked<T extends Candidate> {
  readonly candidate: T;
  readonly priorityDueMs: number;
  readonly step: number;
}

/** The best candidate of each urgency. */
class Bests<T extends Candidate> {
  readonly #best: Record<Urgency, Ranked<T> | undefined> = {
    urgent: undefined,
    deferred: undefined,
  };
  readonly #options: ChoiceOptions;
  readonly #fairRank: number;

  constructor(options: ChoiceOptions) {
    this.#options = options;
    this.#fairRank = options.shares.fairRank();
  }

  /** The best urgent candidate. */
  get urgent(): T | undefined {
    return this.#best.urgent?.candidate;
  }

  /** The best deferred candidate. */
  get deferred(): T | undefined {
    return this.#best.deferred?.candidate;
  }

  /** Pressure of the best deferred candidate. */
  get pressure(): Pressure {
    return this.deferred === undefined
      ? "none"
      : pressureOf(this.deferred, this.#options.nowMs);
  }

  offer(candidate: T): void {
    const best = this.#best[candidate.urgency];
    const step = this.#step(candidate);
    const priorityDueMs = this.#priorityDueMs(candidate);
    const ranked = { candidate, priorityDueMs, step };
    if (best !== undefined && !precedes(ranked, best)) return;
    const { need, urgency } = candidate;
    if (!this.#options.hasRoom(need, urgency)) return;
    this.#best[urgency] = ranked;
  }

  /** Due time of late deferred work of a team within its share; infinite for all else. */
  #priorityDueMs(candidate: T): number {
    if (candidate.urgency === "urgent") return Infinity;
    if (pressureOf(candidate, this.#options.nowMs) !== "late") return Infinity;
    return this.#excess(candidate) <= 0 ? candidate.dueAtMs! : Infinity;
  }

  /**
   * Order by share. Deferred work goes to the team with the lowest share;
   * urgent work only counts how far its team is above its share, and nothing
   * while it has hardly waited.
   */
  #step(candidate: T): number {
    const excess = this.#excess(candidate);
    if (candidate.urgency === "deferred") return Math.ceil(excess / RANK_STEP);
    const waitedMs = this.#options.nowMs - candidate.arrivedAtMs;
    return waitedMs < GRACE_MS ? 0 : Math.max(0, Math.ceil(excess / RANK_STEP));
  }

  /** How far the team is above its share, as a part of that. */
  #excess(candidate: T): number {
    return this.#options.shares.rank(candidate.team) / this.#fairRank - 1;
  }
}

function precedes<T extends Candidate>(a: Ranked<T>, b: Ranked<T>): boolean {
  if (a.priorityDueMs !== b.priorityDueMs) {
    return a.priorityDueMs < b.priorityDueMs;
  }
  if (a.step !== b.step) return a.step < b.step;
  return byDueThenArrival(a.candidate, b.candidate) < 0;
}

function decide<T extends Candidate>(
  bests: Bests<T>,
  turns: DeferredTurns | undefined,
): T | undefined {
  const { urgent, deferred, pressure } = bests;
  if (urgent === undefined || deferred === undefined) return urgent ?? deferred;
  if (!turns?.isDue(partOf(pressure))) return urgent;
  turns.spend();
  return deferred;
}

function partOf(pressure: Pressure): number {
  switch (pressure) {
    case "none":
      return 0;
    case "aged":
      return AGED_PART;
    case "late":
      return LATE_PART;
  }
}

function pressureOf(candidate: Candidate, nowMs: number): Pressure {
  const slackMs = (candidate.dueAtMs ?? Infinity) - nowMs;
  if (slackMs <= SLACK_MS) return "late";
  return nowMs - candidate.arrivedAtMs > AGED_MS ? "aged" : "none";
}
