/**
 * Writes attempts ahead of their start.
 *
 * @module
 */
import { err, errAsync, ok, type Result, type ResultAsync } from "neverthrow";
import type { JournalRecord } from "../journal/records.ts";
import type { Segment } from "../journal/segment.ts";
import type { WorkTable } from "../journal/work_table.ts";
import type { StartFailure } from "./deferred_failures.ts";
import type { DeferredOptions } from "./deferred_options.ts";
import type { EndedAttempt } from "./endings.ts";

/** Where a task is to be started. */
export interface Placement {
  readonly sequence: number;
  readonly task: number;
  readonly worker: string;
  readonly fence: number;
}

interface Start {
  readonly placement: Placement;
  readonly attempt: string;
}

/** Attempts of one segment's tasks. */
export class Starts {
  readonly #options: DeferredOptions;
  readonly #segment: Segment;
  readonly #table: WorkTable;

  constructor(
    options: DeferredOptions,
    held: { readonly segment: Segment; readonly table: WorkTable },
  ) {
    this.#options = options;
    this.#segment = held.segment;
    this.#table = held.table;
  }

  /** Writes attempts, all or none; those to be taken back go to `undo`. */
  write(
    placements: readonly Placement[],
    undo: (ended: EndedAttempt) => void,
  ): ResultAsync<readonly string[], StartFailure> {
    if (!placements.every((placement) => this.#isWaiting(placement))) {
      return errAsync(notWaiting);
    }
    const starts = placements.map((placement) => ({
      placement,
      attempt: this.#options.newId(),
    }));
    return this.#segment.append(starts.map((start) => this.#recordOf(start)))
      .mapErr((failure): StartFailure => failure)
      .andThen(() => this.#confirm(starts, undo));
  }

  #recordOf({ placement, attempt }: Start): JournalRecord {
    const { sequence: work, task, worker, fence } = placement;
    const at = this.#options.clock.now().getTime();
    return { type: "attempt", work, task, attempt, worker, fence, at };
  }

  /** Whether the journal took the attempts; another record may have come first. */
  #confirm(
    starts: readonly Start[],
    undo: (ended: EndedAttempt) => void,
  ): Result<readonly string[], StartFailure> {
    const taken = starts.filter((start) => this.#isTaken(start));
    const cancelled = starts.some((start) => this.#isCancelled(start));
    if (taken.length === starts.length && !cancelled) {
      return ok(starts.map(({ attempt }) => attempt));
    }
    for (const { placement, attempt } of taken) {
      const { sequence, task } = placement;
      undo({ sequence, task, attempt, outcome: { type: "notStarted" } });
    }
    return err(notWaiting);
  }

  #isWaiting({ sequence, task }: Placement): boolean {
    return this.#table.get(sequence)?.tasks[task]?.type === "waiting";
  }

  #isCancelled({ placement }: Start): boolean {
    return this.#table.get(placement.sequence)?.cancelledAt !== undefined;
  }

  #isTaken({ placement, attempt }: Start): boolean {
    const { sequence, task } = placement;
    const state = this.#table.get(sequence)?.tasks[task];
    return state?.type === "running" && state.attempt === attempt;
  }
}

const notWaiting: StartFailure = {
  type: "notWaiting",
  message: "the task does not wait to be started",
};
