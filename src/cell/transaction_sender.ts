/**
 * Sends transactions to the store, retries them until their outcome is known,
 * and detects when the store stops responding.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Metrics } from "../metrics.ts";
import type { CommitResult } from "../ports/store.ts";
import { StoreResponseMonitor } from "./store_response_monitor.ts";
import type { CellStore } from "./ports.ts";
import type { TransactionBatch } from "./transaction_batch.ts";

/** Delay before a transaction is retried after its response was lost. */
const RETRY_DELAY_MS = 60;

/** The outcome of a transaction. */
export type TransactionOutcome =
  | { readonly type: "written"; readonly revision: number }
  /** The store has certainly not executed it. */
  | { readonly type: "untouched" }
  /** Another instance leads the cell, or the sender was closed. */
  | { readonly type: "deposed" };

/** Dependencies and settings of a {@linkcode TransactionSender}. */
export interface TransactionSenderOptions {
  /** Fencing token of the leader's term, for log lines. */
  readonly fence: number;
  readonly store: CellStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Called when a transaction shows that another instance leads the cell. */
  readonly stepDown: (reason: string) => void;
  /** Called when a transaction that was sent at `sentMs`, monotonic milliseconds, shows that the leader record is still this term's. */
  readonly onLeadershipConfirmed: (sentMs: number) => void;
}

/** Sends the transactions of one leader's term. */
export class TransactionSender {
  readonly #options: TransactionSenderOptions;
  readonly #responseMonitor: StoreResponseMonitor;
  /** When the first of the failing transactions was sent, monotonic milliseconds; `undefined` while the store commits transactions. */
  #stuckSinceMs: number | undefined;
  #inFlight = 0;
  #commits = 0;
  #slowestMs = 0;
  #closed = false;

  constructor(options: TransactionSenderOptions) {
    this.#options = options;
    this.#responseMonitor = new StoreResponseMonitor(options.clock);
  }

  /** Number of transactions without a known outcome. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Typical response time of the store, milliseconds. */
  get typicalMs(): number {
    return this.#responseMonitor.typicalMs;
  }

  /** Whether the store seems to be unavailable: the outcome of a transaction sent now may stay unknown. */
  get isStoreUnresponsive(): boolean {
    return this.#stuckSinceMs !== undefined || this.#responseMonitor.isOverdue;
  }

  /** Time since the store stopped committing transactions, milliseconds; 0 while it commits them. */
  stuckMs(): number {
    const nowMs = this.#options.clock.monotonic();
    return nowMs - (this.#stuckSinceMs ?? nowMs);
  }

  /**
   * Returns the number of committed transactions and the duration of the slowest
   * one, retries included, in milliseconds, since the previous call; resets both.
   */
  takeStats(): { readonly commits: number; readonly slowestMs: number } {
    const stats = { commits: this.#commits, slowestMs: this.#slowestMs };
    this.#commits = 0;
    this.#slowestMs = 0;
    return stats;
  }

  /** Stops sending; transactions in flight resolve to `deposed`. */
  close(): void {
    this.#closed = true;
  }

  /** Sends a transaction; resolves once its outcome is known. */
  async send(batch: TransactionBatch): Promise<TransactionOutcome> {
    const sent = this.#responseMonitor.start();
    this.#inFlight++;
    try {
      return await this.#sendUntilKnown(batch);
    } finally {
      this.#inFlight--;
      this.#responseMonitor.finish(sent);
    }
  }

  /**
   * Once a response was lost, the store may have executed the transaction, so
   * it is retried unchanged until the store responds. Before that, a failure
   * means that it was not executed, and its changes can be batched anew.
   */
  async #sendUntilKnown(batch: TransactionBatch): Promise<TransactionOutcome> {
    const { store, clock } = this.#options;
    const startedMs = clock.monotonic();
    let mayBeCommitted = false;
    while (!this.#closed) {
      const sentMs = clock.monotonic();
      const result = await store.commit(batch.conditions, batch.writes);
      if (this.#closed) break;
      if (result.isOk()) {
        const outcome = outcomeOf(result.value, batch);
        this.#recordOutcome(outcome, { startedMs, sentMs });
        return outcome;
      }
      this.#recordFailure(result.error, {
        startedMs,
        jobs: batch.pending.length,
      });
      mayBeCommitted ||= result.error.type === "storeAnswerLost";
      if (!mayBeCommitted) return { type: "untouched" };
      await sleep(clock, RETRY_DELAY_MS);
    }
    return { type: "deposed" };
  }

  #recordOutcome(
    outcome: TransactionOutcome,
    { startedMs, sentMs }: {
      readonly startedMs: number;
      readonly sentMs: number;
    },
  ): void {
    const { clock, metrics, onLeadershipConfirmed, stepDown } = this.#options;
    if (outcome.type === "deposed") {
      return stepDown("a transaction conflicts with another leader's writes");
    }
    this.#stuckSinceMs = undefined;
    const elapsedMs = clock.monotonic() - startedMs;
    this.#commits++;
    this.#slowestMs = Math.max(this.#slowestMs, elapsedMs);
    this.#responseMonitor.recordResponse(sentMs);
    metrics.observe("commit_ms", elapsedMs);
    onLeadershipConfirmed(sentMs);
  }

  #recordFailure(
    failure: StoreFailure,
    { startedMs, jobs }: { readonly startedMs: number; readonly jobs: number },
  ): void {
    const { log, clock, fence } = this.#options;
    // If other transactions were committed meanwhile, the store is available.
    if (!this.#responseMonitor.hasRespondedSince(startedMs)) {
      this.#stuckSinceMs ??= startedMs;
    }
    log.warn("joblog.retry", {
      jobs,
      fence,
      failure: failure.type,
      reason: failure.message,
      stuckMs: Math.round(clock.monotonic() - startedMs),
    });
  }
}

/** The outcome of a transaction, from the response to the last attempt. */
function outcomeOf(
  commit: CommitResult,
  { conditions, writes }: TransactionBatch,
): TransactionOutcome {
  if (commit.type === "committed") {
    return { type: "written", revision: commit.revision };
  }
  const [termCondition] = conditions;
  const entries = new Map(
    (commit.entries ?? []).map((entry) => [entry.key, entry]),
  );
  const isTermCurrent =
    entries.get(termCondition!.key)?.revision === termCondition!.revision;
  // A conflict although this term is still current: only this leader writes
  // jobs, so if the store holds exactly these writes, an earlier attempt or a
  // duplicate relayed by another instance has been executed.
  const writesPresent = conditions.slice(1).every(({ key }) => {
    const write = writes.find((candidate) => candidate.key === key);
    const value = entries.get(key)?.value;
    return value === (write?.type === "put" ? write.value : undefined);
  });
  if (!isTermCurrent || !writesPresent) return { type: "deposed" };
  const revisions = conditions.slice(1)
    .map(({ key }) => entries.get(key)?.revision ?? 0);
  return { type: "written", revision: Math.max(0, ...revisions) };
}
