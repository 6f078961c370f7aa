/**
 * Bounded memory of idempotency keys at their home instance. It never calls a
 * key fresh that may have been used before, and says so where it cannot tell.
 *
 * @module
 */
import { assertNever } from "../errors.ts";
import type { Outcome } from "../types.ts";
import { keyTimeMs } from "./key_time.ts";

/** A key as a team uses it. */
export interface TeamKey {
  readonly team: string;
  readonly key: string;
}

/** One request that uses a key. */
export interface KeyUse extends TeamKey {
  /** Unique to the request at its entry instance. */
  readonly request: string;
  /** Instance that handles the request. */
  readonly entry: string;
  /** Wall-clock milliseconds after which the entry instance has given up. */
  readonly deadline: number;
}

/** What the home says to the use of a key. */
export type KeyAnswer =
  /** Not used before; it counts as used from now on. */
  | { readonly type: "fresh" }
  /** Another request with the key is being answered. */
  | { readonly type: "inProgress" }
  /** A request with the key has ended so. */
  | { readonly type: "done"; readonly outcome: Outcome }
  /** Whether the key was used before is not known. */
  | { readonly type: "unknown" }
  /** The key carries a time that lies ahead; not recorded. */
  | {
    readonly type: "clockAhead";
    /** Milliseconds until the key is taken. */
    readonly waitMs: number;
  }
  /** This very request was given up before. */
  | { readonly type: "withdrawn" }
  /** No room for a further key. */
  | { readonly type: "full" };

/** What the memory holds of a key. */
export type KeyRow =
  | {
    readonly type: "inProgress";
    readonly use: KeyUse;
  }
  | {
    readonly type: "ended";
    readonly use: KeyUse;
    /** Absent if it was too large to keep. */
    readonly outcome?: Outcome;
    readonly at: number;
  }
  /** The request did not run: the key may be used again, but not by it. */
  | { readonly type: "released"; readonly use: KeyUse; readonly at: number };

/** Bounds of a memory. */
export interface KeyLimits {
  readonly keys: number;
  /** Most that kept outcomes take together, characters. */
  readonly outcomeChars: number;
  /** Largest outcome that is kept, characters. */
  readonly largestOutcomeChars: number;
  /** Time that an ended key is remembered; callers do not repeat a request after it. */
  readonly retentionMs: number;
  /** Largest difference between the clocks of two instances. */
  readonly skewMs: number;
  /** Largest lead of the time in a key over the home's clock. */
  readonly aheadMs: number;
}

/** Bounds of one home's memory. */
export const KEY_LIMITS: KeyLimits = {
  keys: 10_000,
  outcomeChars: 500_000,
  largestOutcomeChars: 64_000,
  retentionMs: 3_600_000,
  skewMs: 1_000,
  aheadMs: 1_000,
};

/** A memory as it is handed over. */
export interface KeyExport {
  /** All uses since then are remembered, wall-clock milliseconds. */
  readonly completeSince: number;
  /** Keys that carry a time up to this one may have been forgotten. */
  readonly forgottenUpTo: number;
  readonly rows: readonly KeyRow[];
}

/** Memory of one home. */
export class KeyMemory {
  readonly #limits: KeyLimits;
  #completeSince: number;
  #forgottenUpTo: number;
  readonly #rows = new Map<string, KeyRow>();
  #outcomeChars = 0;

  constructor(limits: KeyLimits, from: KeyExport) {
    this.#limits = limits;
    this.#completeSince = from.completeSince;
    this.#forgottenUpTo = from.forgottenUpTo;
    for (const row of from.rows) this.#put(row);
  }

  /** Keys remembered. */
  get size(): number {
    return this.#rows.size;
  }

  /** Records the use of a key, if it is fresh. */
  begin(use: KeyUse, now: number): KeyAnswer {
    this.expire(now);
    const row = this.#current(use, now);
    if (row?.type === "inProgress" || row?.type === "ended") {
      return again(row, use);
    }
    if (row?.use.request === use.request) return { type: "withdrawn" };
    return this.#doubt(use, now) ?? this.#take(use);
  }

  /** Records how a request ended, also one that another home let through. */
  finish(use: KeyUse, outcome: Outcome, now: number): void {
    const row = this.#rows.get(nameOf(use));
    const isOther = row !== undefined && row.use.request !== use.request;
    if (isOther && row.type !== "released") return;
    if (isOther && outcome.type === "notRun") return;
    if (row?.type === "ended" && row.outcome?.type === "done") return;
    if (outcome.type === "notRun") {
      this.#put({ type: "released", use, at: now });
      return;
    }
    this.#put({ type: "ended", use, ...this.#kept(outcome), at: now });
    this.#shed();
  }

  /** Ends the requests of an entry instance that is gone. */
  abandon(entry: string, now: number): void {
    for (const row of [...this.#rows.values()]) {
      const isOpen = row.type === "inProgress" && row.use.entry === entry;
      if (isOpen) this.finish(row.use, lostOutcome, now);
    }
  }

  /** Ends requests past their deadline and forgets keys past their retention. */
  expire(now: number): void {
    for (const row of this.#rows.values()) {
      if (row.type === "inProgress") {
        this.#current(row.use, now);
        continue;
      }
      if (row.at + this.#limits.retentionMs >= now) break;
      this.#drop(row);
    }
  }

  /** Takes up the memory of the home before this one; what was learnt since goes before it. */
  merge(from: KeyExport): void {
    this.#completeSince = Math.min(this.#completeSince, from.completeSince);
    this.#forgottenUpTo = Math.max(this.#forgottenUpTo, from.forgottenUpTo);
    for (const row of from.rows) {
      const known = this.#rows.get(nameOf(row.use));
      const isOlder = known?.type === "released" &&
        known.use.request !== row.use.request;
      if (known === undefined || isOlder) this.#put(row);
    }
  }

  /** Everything that a successor has to know. */
  export(): KeyExport {
    return {
      completeSince: this.#completeSince,
      forgottenUpTo: this.#forgottenUpTo,
      rows: [...this.#rows.values()],
    };
  }

  /** The row of a key; a request past its deadline has ended. */
  #current(use: TeamKey, now: number): KeyRow | undefined {
    const row = this.#rows.get(nameOf(use));
    if (row?.type !== "inProgress") return row;
    if (row.use.deadline + this.#limits.skewMs >= now) return row;
    this.finish(row.use, lostOutcome, now);
    return this.#rows.get(nameOf(use));
  }

  /** Why an unremembered key is not fresh, if it is not. */
  #doubt(use: KeyUse, now: number): KeyAnswer | undefined {
    const { aheadMs, retentionMs, skewMs } = this.#limits;
    const made = keyTimeMs(use.key);
    if (made !== undefined && made <= now + retentionMs) {
      const waitMs = made - now - aheadMs;
      if (waitMs > 0) return { type: "clockAhead", waitMs };
      if (made < now - retentionMs) return { type: "unknown" };
      if (made <= this.#forgottenUpTo) return { type: "unknown" };
      if (made > this.#completeSince + skewMs + aheadMs) return undefined;
    }
    const vouched = this.#completeSince + retentionMs <= now;
    return vouched ? undefined : { type: "unknown" };
  }

  #take(use: KeyUse): KeyAnswer {
    if (this.#rows.size >= this.#limits.keys && !this.#forget()) {
      return { type: "full" };
    }
    this.#put({ type: "inProgress", use });
    return { type: "fresh" };
  }

  /** Makes room: forgets the oldest ended key that carries a time, and remembers that time. */
  #forget(): boolean {
    for (const row of this.#rows.values()) {
      const made = keyTimeMs(row.use.key);
      if (row.type === "inProgress" || made === undefined) continue;
      this.#forgottenUpTo = Math.max(this.#forgottenUpTo, made);
      this.#drop(row);
      return true;
    }
    return false;
  }

  #kept(outcome: Outcome): { readonly outcome?: Outcome } {
    const isKept = charsOf(outcome) <= this.#limits.largestOutcomeChars;
    return isKept ? { outcome } : {};
  }

  /** Drops the oldest outcomes above the bound, but not their keys. */
  #shed(): void {
    for (const row of this.#rows.values()) {
      if (this.#outcomeChars <= this.#limits.outcomeChars) return;
      if (row.type !== "ended" || row.outcome === undefined) continue;
      const { outcome: _, ...rest } = row;
      this.#outcomeChars -= charsOf(row.outcome);
      this.#rows.set(nameOf(row.use), rest);
    }
  }

  #put(row: KeyRow): void {
    this.#drop(row);
    this.#rows.set(nameOf(row.use), row);
    this.#outcomeChars += outcomeChars(row);
  }

  #drop({ use }: KeyRow): void {
    const row = this.#rows.get(nameOf(use));
    if (row === undefined) return;
    this.#outcomeChars -= outcomeChars(row);
    this.#rows.delete(nameOf(use));
  }
}

function again(
  row: Exclude<KeyRow, { type: "released" }>,
  use: KeyUse,
): KeyAnswer {
  switch (row.type) {
    case "inProgress": {
      const isSame = row.use.request === use.request;
      return isSame ? { type: "fresh" } : { type: "inProgress" };
    }
    case "ended":
      if (row.outcome === undefined) return { type: "unknown" };
      return { type: "done", outcome: row.outcome };
    default:
      return assertNever(row);
  }
}

const lostOutcome: Outcome = {
  type: "unknown",
  reason: { type: "keyMemoryLost" },
};

function outcomeChars(row: KeyRow): number {
  if (row.type !== "ended" || row.outcome === undefined) return 0;
  return charsOf(row.outcome);
}

function charsOf(outcome: Outcome): number {
  if (outcome.type !== "done") return OUTCOME_OVERHEAD_CHARS;
  return OUTCOME_OVERHEAD_CHARS + outcome.answer.body.length;
}

const OUTCOME_OVERHEAD_CHARS = 200;

function nameOf({ team, key }: TeamKey): string {
  return JSON.stringify([team, key]);
}
