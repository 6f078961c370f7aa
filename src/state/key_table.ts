/**
 * Bounded in-memory table of idempotency keys. Its home is the instance that
 * owns the bucket of the keys. A key that may have been used before is never
 * reported as fresh; where the table is incomplete, the answer is `unknown`.
 *
 * @module
 */
import { assertNever } from "../errors.ts";
import type { Outcome } from "../types.ts";
import { keyTimeMs } from "./key_time.ts";

/** An idempotency key with its team. Equal keys of different teams are independent. */
export interface TeamKey {
  readonly team: string;
  readonly key: string;
}

/** One request that uses a key. */
export interface KeyUse extends TeamKey {
  /** Unique among the requests of the entry instance. */
  readonly request: string;
  /** Entry instance, which handles the request. */
  readonly entry: string;
  /** Wall-clock milliseconds after which the entry instance no longer works on the request. */
  readonly deadline: number;
}

/** Answer of a key's home to a request that uses the key. */
export type KeyAnswer =
  /** Not used before; recorded as used from now on. */
  | { readonly type: "fresh" }
  /** Another request with the key is in progress. */
  | { readonly type: "inProgress" }
  /** A request with the key has ended with this outcome. */
  | { readonly type: "done"; readonly outcome: Outcome }
  /** The table can't tell whether the key was used before. */
  | { readonly type: "unknown" }
  /** The key carries a time too far ahead of the home's clock; not recorded. */
  | {
    readonly type: "clockAhead";
    /** Milliseconds until the key will be accepted. */
    readonly waitMs: number;
  }
  /** This request has already released the key. */
  | { readonly type: "withdrawn" }
  /** The table of idempotency keys is full. */
  | { readonly type: "full" };

/** Entry of the table for one idempotency key. */
export type KeyRow =
  | {
    readonly type: "inProgress";
    readonly use: KeyUse;
  }
  | {
    readonly type: "ended";
    readonly use: KeyUse;
    /** Absent if it was too large, or removed to bound the total size. */
    readonly outcome?: Outcome;
    readonly at: number;
  }
  /** The request did not run: other requests may use the key, this one may not. */
  | { readonly type: "released"; readonly use: KeyUse; readonly at: number };

/** Limits of a table of idempotency keys. */
export interface KeyLimits {
  /** Maximum number of idempotency keys in the table. */
  readonly maxKeys: number;
  /** Maximum total size of the kept outcomes, in characters. */
  readonly maxTotalOutcomeChars: number;
  /** Maximum size of one kept outcome, in characters. */
  readonly maxOutcomeChars: number;
  /** How long keys of ended requests are kept, in milliseconds. Callers don't retry after that. */
  readonly retentionMs: number;
  /** Maximum difference between the clocks of two instances, in milliseconds. */
  readonly maxClockSkewMs: number;
  /** Maximum lead of the time in a key over the home's clock, in milliseconds. */
  readonly maxClockLeadMs: number;
}

/** Limits that each home uses for its tables of idempotency keys. */
export const KEY_LIMITS: KeyLimits = {
  maxKeys: 10_000,
  maxTotalOutcomeChars: 500_000,
  maxOutcomeChars: 64_000,
  retentionMs: 3_600_000,
  maxClockSkewMs: 1_000,
  maxClockLeadMs: 1_000,
};

/** Contents of a table of idempotency keys, as handed over to the next owner of the keys' bucket. */
export interface KeyExport {
  /** Wall-clock milliseconds from which on the table has every use of a key. */
  readonly completeSince: number;
  /** Keys that carry a time up to this one, in wall-clock milliseconds, may have been evicted. */
  readonly forgottenUpTo: number;
  readonly rows: readonly KeyRow[];
}

/** Table of the idempotency keys of one bucket, at the instance that owns the bucket. */
export class KeyTable {
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

  /** Number of keys in the table. */
  get size(): number {
    return this.#rows.size;
  }

  /** Records the use of a key if it is fresh. */
  begin(use: KeyUse, now: number): KeyAnswer {
    this.expire(now);
    const row = this.#current(use, now);
    if (row?.type === "inProgress" || row?.type === "ended") {
      return answerForKnownKey(row, use);
    }
    if (row?.use.request === use.request) return { type: "withdrawn" };
    return this.#answerForMissingKey(use, now) ?? this.#insert(use);
  }

  /** Records the outcome of a request, also of one that a previous owner of the bucket admitted. */
  finish(use: KeyUse, outcome: Outcome, now: number): void {
    const row = this.#rows.get(rowKey(use));
    const isOther = row !== undefined && row.use.request !== use.request;
    if (isOther && row.type !== "released") return;
    if (isOther && outcome.type === "notRun") return;
    if (row?.type === "ended" && row.outcome?.type === "done") return;
    if (outcome.type === "notRun") {
      this.#put({ type: "released", use, at: now });
      return;
    }
    this.#put({
      type: "ended",
      use,
      ...this.#boundedOutcome(outcome),
      at: now,
    });
    this.#evictOutcomes();
  }

  /** Ends the open requests of a lost entry instance with an unknown outcome. */
  abandon(entry: string, now: number): void {
    for (const row of [...this.#rows.values()]) {
      const isOpen = row.type === "inProgress" && row.use.entry === entry;
      if (isOpen) this.finish(row.use, lostOutcome, now);
    }
  }

  /** Ends requests past their deadline and removes keys past their retention time. */
  expire(now: number): void {
    for (const row of this.#rows.values()) {
      if (row.type === "inProgress") {
        this.#current(row.use, now);
        continue;
      }
      if (row.at + this.#limits.retentionMs >= now) break;
      this.#remove(row);
    }
  }

  /**
   * Adds the entries that the previous owner of the bucket had. An entry that
   * this table has already for a key takes precedence, unless it was released
   * by another request.
   */
  merge(from: KeyExport): void {
    this.#completeSince = Math.min(this.#completeSince, from.completeSince);
    this.#forgottenUpTo = Math.max(this.#forgottenUpTo, from.forgottenUpTo);
    for (const row of from.rows) {
      const known = this.#rows.get(rowKey(row.use));
      const isOlder = known?.type === "released" &&
        known.use.request !== row.use.request;
      if (known === undefined || isOlder) this.#put(row);
    }
  }

  /** Contents of the table, for the next owner of the bucket. */
  export(): KeyExport {
    return {
      completeSince: this.#completeSince,
      forgottenUpTo: this.#forgottenUpTo,
      rows: [...this.#rows.values()],
    };
  }

  /** Entry of a key. A request past its deadline is ended first. */
  #current(use: TeamKey, now: number): KeyRow | undefined {
    const row = this.#rows.get(rowKey(use));
    if (row?.type !== "inProgress") return row;
    if (row.use.deadline + this.#limits.maxClockSkewMs >= now) return row;
    this.finish(row.use, lostOutcome, now);
    return this.#rows.get(rowKey(use));
  }

  /** Answer for a key without a known use: why it may have been used before, or `undefined` if it is fresh. */
  #answerForMissingKey(use: KeyUse, now: number): KeyAnswer | undefined {
    const { maxClockLeadMs, retentionMs, maxClockSkewMs } = this.#limits;
    const createdMs = keyTimeMs(use.key);
    if (createdMs !== undefined && createdMs <= now + retentionMs) {
      const waitMs = createdMs - now - maxClockLeadMs;
      if (waitMs > 0) return { type: "clockAhead", waitMs };
      if (createdMs < now - retentionMs) return { type: "unknown" };
      if (createdMs <= this.#forgottenUpTo) return { type: "unknown" };
      if (createdMs > this.#completeSince + maxClockSkewMs + maxClockLeadMs) {
        return undefined;
      }
    }
    const isComplete = this.#completeSince + retentionMs <= now;
    return isComplete ? undefined : { type: "unknown" };
  }

  #insert(use: KeyUse): KeyAnswer {
    if (this.#rows.size >= this.#limits.maxKeys && !this.#evictOldest()) {
      return { type: "full" };
    }
    this.#put({ type: "inProgress", use });
    return { type: "fresh" };
  }

  /** Evicts the oldest ended key that carries a time and records that time; false if there is none. */
  #evictOldest(): boolean {
    for (const row of this.#rows.values()) {
      const createdMs = keyTimeMs(row.use.key);
      if (row.type === "inProgress" || createdMs === undefined) continue;
      this.#forgottenUpTo = Math.max(this.#forgottenUpTo, createdMs);
      this.#remove(row);
      return true;
    }
    return false;
  }

  #boundedOutcome(outcome: Outcome): { readonly outcome?: Outcome } {
    const isKept = charsOf(outcome) <= this.#limits.maxOutcomeChars;
    return isKept ? { outcome } : {};
  }

  /** Removes the oldest outcomes until the total is within its limit; their keys stay. */
  #evictOutcomes(): void {
    for (const row of this.#rows.values()) {
      if (this.#outcomeChars <= this.#limits.maxTotalOutcomeChars) return;
      if (row.type !== "ended" || row.outcome === undefined) continue;
      const { outcome: _, ...rest } = row;
      this.#outcomeChars -= charsOf(row.outcome);
      this.#rows.set(rowKey(row.use), rest);
    }
  }

  #put(row: KeyRow): void {
    this.#remove(row);
    this.#rows.set(rowKey(row.use), row);
    this.#outcomeChars += outcomeChars(row);
  }

  #remove({ use }: KeyRow): void {
    const row = this.#rows.get(rowKey(use));
    if (row === undefined) return;
    this.#outcomeChars -= outcomeChars(row);
    this.#rows.delete(rowKey(use));
  }
}

function answerForKnownKey(
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

function rowKey({ team, key }: TeamKey): string {
  return JSON.stringify([team, key]);
}
