/**
 * Writes attempts to the journal before they are started.
 *
 * @module
 */
import { err, errAsync, ok, type Result, type ResultAsync } from "neverthrow";
import type { JournalRecord } from "../journal/records.ts";
import type { Segment } from "../journal/segment.ts";
import type { WorkTable } from "../journal/work_table.ts";
import type { StartFailure } from "./deferred_failures.ts";
import type { DeferredWorkOptions } from "./deferred_options.ts";
import type { CompletedAttempt } from "./completion_writer.ts";

/** A task and the worker chosen for it. */
export interface TaskPlacement {
  readonly sequence: number;
  readonly task: number;
  readonly worker: string;
  readonly fence: number;
}

interface PlannedAttempt {
  readonly placement: TaskPlacement;
  readonly attempt: string;
}

/** Writes the attempts of one segment's tasks. */
export class AttemptWriter {
  readonly #options: DeferredWorkOptions;
  readonly #segment: Segment;
  readonly #table: WorkTable;

  constructor(
    options: DeferredWorkOptions,
    source: { readonly segment: Segment; readonly table: WorkTable },
  ) {
    this.#options = options;
    this.#segment = source.segment;
    this.#table = source.table;
  }

  /**
   * Writes all attempts or none. Attempts that were recorded and must not be
   * started are passed to `undo`.
   */
  write(
    placements: readonly TaskPlacement[],
    undo: (ended: CompletedAttempt) => void,
  ): ResultAsync<readonly string[], StartFailure> {
    if (!placements.every((placement) => this.#isWaiting(placement))) {
      return errAsync(notWaiting);
    }
    const planned = placements.map((placement) => ({
      placement,
      attempt: this.#options.newId(),
    }));
    return this.#segment.append(
      planned.map((attempt) => this.#createRecord(attempt)),
    )
      .mapErr((failure): StartFailure => failure)
      .andThen(() => this.#confirm(planned, undo));
  }

  #createRecord({ placement, attempt }: PlannedAttempt): JournalRecord {
    const { sequence: work, task, worker, fence } = placement;
    const at = this.#options.clock.now().getTime();
    return { type: "attempt", work, task, attempt, worker, fence, at };
  }

  /**
   * Checks that the journal has recorded the attempts; another record may have
   * been written before them.
   */
  #confirm(
    planned: readonly PlannedAttempt[],
    undo: (ended: CompletedAttempt) => void,
  ): Result<readonly string[], StartFailure> {
    const recorded = planned.filter((start) => this.#isRecorded(start));
    const cancelled = planned.some((start) => this.#isCancelled(start));
    if (recorded.length === planned.length && !cancelled) {
      return ok(planned.map(({ attempt }) => attempt));
    }
    for (const { placement, attempt } of recorded) {
      const { sequence, task } = placement;
      undo({ sequence, task, attempt, outcome: { type: "notStarted" } });
    }
    return err(notWaiting);
  }

  #isWaiting({ sequence, task }: TaskPlacement): boolean {
    return this.#table.get(sequence)?.tasks[task]?.type === "waiting";
  }

  #isCancelled({ placement }: PlannedAttempt): boolean {
    return this.#table.get(placement.sequence)?.cancelledAt !== undefined;
  }

  #isRecorded({ placement, attempt }: PlannedAttempt): boolean {
    const { sequence, task } = placement;
    const state = this.#table.get(sequence)?.tasks[task];
    return state?.type === "running" && state.attempt === attempt;
  }
}

const notWaiting: StartFailure = {
  type: "notWaiting",
  message: "the task is not waiting to be started",
};
