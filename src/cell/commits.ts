/**
 * Sends transactions until their fate is known, and tells whether the store
 * answers.
 *
 * @module
 */
import { type Clock, sleep } from "../clock.ts";
import type { StoreFailure } from "../errors.ts";
import type { Log } from "../logger.ts";
import type { Metrics } from "../metrics.ts";
import type { Commit } from "../ports/store.ts";
import { AnswerWatch } from "./answer_watch.ts";
import type { CellStore } from "./ports.ts";
import type { Batch } from "./write_batch.ts";

/** Delay before a transaction is sent again whose answer was lost, milliseconds. */
const RETRY_MS = 60;

/** What became of a transaction. */
export type Fate =
  | { readonly type: "written"; readonly revision: number }
  /** It was certainly not carried out. */
  | { readonly type: "untouched" }
  /** The hold is another's. */
  | { readonly type: "deposed" };

/** What transactions are sent with. */
export interface CommitsOptions {
  readonly fence: number;
  readonly store: CellStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** The record of the hold is another's. */
  readonly onDeposed: (why: string) => void;
  /** A transaction went through: the store says that this holder is the last. */
  readonly onConfirmed: (sentMs: number) => void;
}

/** The transactions of one holder. */
export class Commits {
  readonly #options: CommitsOptions;
  readonly #watch: AnswerWatch;
  /** Since when nothing has got through. */
  #stuckSinceMs: number | undefined;
  #underWay = 0;
  #answered = 0;
  #slowestMs = 0;
  #closed = false;

  constructor(options: CommitsOptions) {
    this.#options = options;
    this.#watch = new AnswerWatch(options.clock);
  }

  /** Transactions whose fate is not known. */
  get underWay(): number {
    return this.#underWay;
  }

  /** Time that an answer usually takes, milliseconds. */
  get usualMs(): number {
    return this.#watch.usualMs;
  }

  /** Whether the store seems to be away: what is sent now may stay unknown. */
  get isDoubtful(): boolean {
    return this.#stuckSinceMs !== undefined || this.#watch.isOverdue;
  }

  /** Time for which nothing has got through, milliseconds. */
  stuckMs(): number {
    const now = this.#options.clock.monotonic();
    return now - (this.#stuckSinceMs ?? now);
  }

  /** Tells and forgets the number of answers and the longest time of one, milliseconds. */
  takeWork(): { readonly answered: number; readonly slowestMs: number } {
    const work = { answered: this.#answered, slowestMs: this.#slowestMs };
    this.#answered = 0;
    this.#slowestMs = 0;
    return work;
  }

  /** Nothing is sent any more. */
  close(): void {
    this.#closed = true;
  }

  /** Sends a transaction until its fate is known. */
  async send(batch: Batch): Promise<Fate> {
    const sent = this.#watch.sent();
    this.#underWay++;
    try {
      return await this.#persist(batch);
    } finally {
      this.#underWay--;
      this.#watch.ended(sent);
    }
  }

  /** One whose answer was lost is repeated as it is; one that was certainly not carried out is given up. */
  async #persist(batch: Batch): Promise<Fate> {
    const { store, clock } = this.#options;
    const startedMs = clock.monotonic();
    let lost = false;
    while (!this.#closed) {
      const sentMs = clock.monotonic();
      const result = await store.commit(batch.conditions, batch.writes);
      if (this.#closed) break;
      if (result.isOk()) {
        const fate = fateOf(result.value, batch);
        this.#note(fate, { startedMs, sentMs });
        return fate;
      }
      this.#failed(result.error, { startedMs, jobs: batch.pending.length });
      lost ||= result.error.type === "storeAnswerLost";
      if (!lost) return { type: "untouched" };
      await sleep(clock, RETRY_MS);
    }
    return { type: "deposed" };
  }

  #note(
    fate: Fate,
    { startedMs, sentMs }: {
      readonly startedMs: number;
      readonly sentMs: number;
    },
  ): void {
    const { clock, metrics, onConfirmed, onDeposed } = this.#options;
    if (fate.type === "deposed") return onDeposed("the hold is another's");
    this.#stuckSinceMs = undefined;
    const tookMs = clock.monotonic() - startedMs;
    this.#answered++;
    this.#slowestMs = Math.max(this.#slowestMs, tookMs);
    this.#watch.answered(sentMs);
    metrics.observe("commit_ms", tookMs);
    onConfirmed(sentMs);
  }

  #failed(
    failure: StoreFailure,
    { startedMs, jobs }: { readonly startedMs: number; readonly jobs: number },
  ): void {
    const { log, clock, fence } = this.#options;
    // Others have got through since: it is not the store.
    if (!this.#watch.hasAnsweredSince(startedMs)) {
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

/** Reads the fate of a transaction from the answer to its last sending. */
function fateOf(commit: Commit, { conditions, writes }: Batch): Fate {
  if (commit.type === "committed") {
    return { type: "written", revision: commit.revision };
  }
  const [hold] = conditions;
  const entries = new Map(
    (commit.entries ?? []).map((entry) => [entry.key, entry]),
  );
  const holds = entries.get(hold!.key)?.revision === hold!.revision;
  // While the hold stands nobody else writes jobs, so it was an earlier sending,
  // directly or through another instance.
  const shown = conditions.slice(1).every(({ key }) => {
    const write = writes.find((one) => one.key === key);
    const value = entries.get(key)?.value;
    return value === (write?.type === "put" ? write.value : undefined);
  });
  if (!holds || !shown) return { type: "deposed" };
  const revisions = conditions.slice(1)
    .map(({ key }) => entries.get(key)?.revision ?? 0);
  return { type: "written", revision: Math.max(0, ...revisions) };
}
