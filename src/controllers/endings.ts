/**
 * Writes how attempts ended, and waits for the service where it is away.
 *
 * @module
 */
import { err, errAsync, ok, type Result, ResultAsync } from "neverthrow";
import { sleep } from "../clock.ts";
import { journalFull } from "../journal/failures.ts";
import type { AttemptOutcome, JournalRecord } from "../journal/records.ts";
import type { Segment } from "../journal/segment.ts";
import type { WorkTable } from "../journal/work_table.ts";
import { endingRecords, noRetry } from "../state/attempt_policy.ts";
import type { EndFailure } from "./deferred_failures.ts";
import type { DeferredOptions } from "./deferred_options.ts";

/** An attempt that has ended. */
export interface EndedAttempt {
  readonly sequence: number;
  readonly task: number;
  readonly attempt: string;
  readonly outcome: AttemptOutcome;
}

/** Endings of one segment's attempts. */
export class Endings {
  readonly #options: DeferredOptions;
  readonly #segment: Segment;
  readonly #table: WorkTable;
  #waiting = 0;

  constructor(
    options: DeferredOptions,
    held: { readonly segment: Segment; readonly table: WorkTable },
  ) {
    this.#options = options;
    this.#segment = held.segment;
    this.#table = held.table;
  }

  /** Endings that wait to be written. */
  get waiting(): number {
    return this.#waiting;
  }

  /** Writes an ending; one that is no news is dropped. */
  write(ended: EndedAttempt): ResultAsync<void, EndFailure> {
    const { limits } = this.#options;
    if (this.#waiting >= limits.endings) {
      return errAsync(journalFull(limits.segment.retryMs));
    }
    this.#waiting++;
    const written = this.#writeWhenPossible(ended)
      .finally(() => this.#waiting--);
    return new ResultAsync(written);
  }

  async #writeWhenPossible(
    ended: EndedAttempt,
  ): Promise<Result<void, EndFailure>> {
    for (;;) {
      const records = this.#recordsOf(ended);
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

  #recordsOf(ended: EndedAttempt): JournalRecord[] {
    const work = this.#table.get(ended.sequence);
    const task = work?.tasks[ended.task];
    if (work === undefined || task?.type !== "running") return [];
    if (task.attempt !== ended.attempt) return [];
    const { workloadOf, limits, clock } = this.#options;
    const at = clock.now().getTime();
    const { outcome, task: index } = ended;
    return endingRecords({ work, index, task, outcome, at }, {
      policy: workloadOf(work.workload) ?? noRetry,
      limits: limits.output,
    });
  }
}
