/**
 * Writes the outcomes of attempts to the journal; retries while the store is
 * unavailable.
 *
 * @module
 */
import { err, errAsync, ok, type Result, ResultAsync } from "neverthrow";
import { sleep } from "../clock.ts";
import { journalFull } from "../journal/failures.ts";
import type { AttemptOutcome, JournalRecord } from "../journal/records.ts";
import type { Segment } from "../journal/segment.ts";
import type { WorkTable } from "../journal/work_table.ts";
import { completionRecords, noRetry } from "../state/attempt_policy.ts";
import type { CompletionFailure } from "./deferred_failures.ts";
import type { DeferredWorkOptions } from "./deferred_options.ts";

/** An attempt with its outcome. */
export interface CompletedAttempt {
  readonly sequence: number;
  readonly task: number;
  readonly attempt: string;
  readonly outcome: AttemptOutcome;
}

/** Writes the outcomes of one segment's attempts. */
export class CompletionWriter {
  readonly #options: DeferredWorkOptions;
  readonly #segment: Segment;
  readonly #table: WorkTable;
  #pendingCount = 0;

  constructor(
    options: DeferredWorkOptions,
    journal: { readonly segment: Segment; readonly table: WorkTable },
  ) {
    this.#options = options;
    this.#segment = journal.segment;
    this.#table = journal.table;
  }

  /** Number of outcomes not yet written. */
  get pendingCount(): number {
    return this.#pendingCount;
  }

  /**
   * Writes an outcome; does nothing if the attempt is no longer the running
   * attempt of its task. Fails with `journalFull` if too many are pending.
   */
  write(completed: CompletedAttempt): ResultAsync<void, CompletionFailure> {
    const { limits } = this.#options;
    if (this.#pendingCount >= limits.maxPendingCompletions) {
      return errAsync(journalFull(limits.segment.retryDelayMs));
    }
    this.#pendingCount++;
    const written = this.#writeWithRetry(completed)
      .finally(() => this.#pendingCount--);
    return new ResultAsync(written);
  }

  async #writeWithRetry(
    completed: CompletedAttempt,
  ): Promise<Result<void, CompletionFailure>> {
    for (;;) {
      const records = this.#recordsOf(completed);
      if (records.length === 0) return ok(undefined);
      const result = await this.#segment.append(records);
      if (result.isOk()) return ok(undefined);
      const { error } = result;
      if (error.type !== "storeAway" && error.type !== "journalFull") {
        return err(error);
      }
      await sleep(this.#options.clock, error.retryAfterMs);
    }
  }

  #recordsOf(completed: CompletedAttempt): JournalRecord[] {
    const work = this.#table.get(completed.sequence);
    const task = work?.tasks[completed.task];
    if (work === undefined || task?.type !== "running") return [];
    if (task.attempt !== completed.attempt) return [];
    const { workloadOf, limits, clock } = this.#options;
    const at = clock.now().getTime();
    const { outcome, task: index } = completed;
    return completionRecords({ work, index, task, outcome, at }, {
      policy: workloadOf(work.workload) ?? noRetry,
      limits: limits.output,
    });
  }
}
