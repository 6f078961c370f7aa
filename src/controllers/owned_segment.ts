/**
 * The work items of one journal segment that this instance owns. Every state
 * change is written to the journal before it takes effect.
 *
 * @module
 */
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type { AppendFailure } from "../journal/failures.ts";
import type { Work } from "../journal/records.ts";
import type { Segment } from "../journal/segment.ts";
import type { WorkTable } from "../journal/work_table.ts";
import type { StartedAttempt } from "../ports/runner.ts";
import {
  brokenGangAttempts,
  runnableTasks,
  startedAttempts,
} from "../state/runnable.ts";
import { formatWorkId } from "../state/work_id.ts";
import type {
  CompletionFailure,
  StartFailure,
  SubmitFailure,
} from "./deferred_failures.ts";
import type { DeferredWorkOptions } from "./deferred_options.ts";
import { AttemptWriter, type TaskPlacement } from "./attempt_writer.ts";
import type { CheckedSubmission } from "./submission.ts";
import {
  type CompletedAttempt,
  CompletionWriter,
} from "./completion_writer.ts";

/** An open journal segment with its work items. */
export class OwnedSegment {
  readonly name: string;
  readonly table: WorkTable;
  readonly #segment: Segment;
  readonly #options: DeferredWorkOptions;
  readonly #starts: AttemptWriter;
  readonly #completions: CompletionWriter;
  #isClosed = false;

  constructor(
    name: string,
    options: DeferredWorkOptions,
    journal: { readonly segment: Segment; readonly table: WorkTable },
  ) {
    this.name = name;
    this.table = journal.table;
    this.#segment = journal.segment;
    this.#options = options;
    this.#starts = new AttemptWriter(options, journal);
    this.#completions = new CompletionWriter(options, journal);
  }

  /** Number of completions not yet written to the journal. */
  get pendingCompletions(): number {
    return this.#completions.pendingCount;
  }

  /** Whether this instance has released or lost the segment. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Returns the id of a work item of this segment. */
  idOf(work: Work): string {
    return formatWorkId({ segment: this.name, sequence: work.sequence });
  }

  /**
   * Journals a submission and enqueues its tasks. A repeated submission with
   * the same idempotency key resolves with the id of the existing work item.
   */
  submit(
    submission: CheckedSubmission,
  ): ResultAsync<{ readonly id: string }, SubmitFailure> {
    const existing = this.#findExisting(submission);
    if (existing !== undefined) {
      return this.#duplicateResult(existing, submission);
    }
    const work = this.#segment.takeSequence();
    const record = { type: "submitted" as const, work, ...submission };
    return this.#segment.append([{ ...record, at: this.#nowMs() }])
      .mapErr((failure): SubmitFailure => failure)
      .andThen(() => this.#acknowledge(work, submission));
  }

  /** Journals attempts before they are started, all or none; resolves with their ids. */
  recordAttempts(
    placements: readonly TaskPlacement[],
  ): ResultAsync<readonly string[], StartFailure> {
    return this.#starts.write(
      placements,
      (ended) => this.completeAttempt(ended),
    );
  }

  /** Journals the outcome of an attempt; retries while the store is unavailable. */
  completeAttempt(
    ended: CompletedAttempt,
  ): ResultAsync<void, CompletionFailure> {
    return this.#completions.write(ended).map(() =>
      this.#afterCompletion(ended)
    );
  }

  /** Cancels work items in one write; resolves with the number that were still open. */
  cancel(sequences: readonly number[]): ResultAsync<number, AppendFailure> {
    const works = sequences.filter((sequence) => this.#isOpen(sequence));
    if (works.length === 0) return okAsync(0);
    const at = this.#nowMs();
    return this.#segment.append([{ type: "cancelled", works, at }])
      .map(() => this.#stopWorks(works));
  }

  /**
   * Makes the parked tasks of a work item runnable, once for each resume entry
   * `by`; resolves with whether it did.
   */
  resume(
    sequence: number,
    by: string,
  ): ResultAsync<boolean, AppendFailure> {
    const work = this.table.get(sequence);
    const hasParkedTasks = work?.tasks.some((task) => task.type === "parked") ??
      false;
    if (work === undefined || !hasParkedTasks || work.resumes.includes(by)) {
      return okAsync(false);
    }
    const record = { type: "resumed" as const, work: sequence, by };
    return this.#segment.append([{ ...record, at: this.#nowMs() }]).map(() => {
      this.#enqueue(sequence);
      return true;
    });
  }

  /**
   * Enqueues all runnable tasks and returns the attempts of the previous owner
   * whose outcome must be determined before their tasks may run again.
   */
  activate(): readonly StartedAttempt[] {
    const works = [...this.table.works()];
    this.#options.runner.enqueue(
      works.flatMap((work) => runnableTasks(this.idOf(work), work)),
    );
    return works.flatMap((work) => startedAttempts(this.idOf(work), work));
  }

  /** Removes work items that finished before the given wall-clock time, milliseconds. */
  removeExpired(finishedBeforeMs: number): void {
    for (const work of [...this.table.works()]) {
      const { finishedAt = Infinity } = work;
      if (finishedAt < finishedBeforeMs) this.table.remove(work.sequence);
    }
  }

  /** Deletes the segment from the store if it is empty; resolves with whether it did. */
  retire(): Promise<boolean> {
    return this.#segment.retire();
  }

  /** Stops using the segment, then flushes its queued records. */
  async close(): Promise<void> {
    this.abandon();
    await this.#segment.close();
  }

  /** Stops using the segment without a flush, for a segment that has a new owner. */
  abandon(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    const ids = [...this.table.works()].map((work) => this.idOf(work));
    this.#options.runner.withdraw(ids);
  }

  #findExisting(submission: CheckedSubmission): Work | undefined {
    const { team, key } = submission;
    return key === undefined ? undefined : this.table.findByKey(team, key);
  }

  #duplicateResult(
    existing: Work,
    submission: CheckedSubmission,
  ): ResultAsync<{ readonly id: string }, SubmitFailure> {
    const isSameWork = existing.workload === submission.workload &&
      existing.payload === submission.payload &&
      existing.tasks.length === submission.count;
    if (!isSameWork) return errAsync(keyReused);
    return okAsync({ id: this.idOf(existing) });
  }

  /**
   * Returns the id of the submitted work item. If a submission with the same
   * key was journalled first, that one is kept and its id is returned.
   */
  #acknowledge(
    sequence: number,
    submission: CheckedSubmission,
  ): ResultAsync<{ readonly id: string }, SubmitFailure> {
    const work = this.#findExisting(submission) ?? this.table.get(sequence);
    if (work?.sequence === sequence) this.#enqueue(sequence);
    if (work !== undefined) return this.#duplicateResult(work, submission);
    const id = formatWorkId({ segment: this.name, sequence });
    return okAsync({ id });
  }

  #afterCompletion({ sequence, task }: CompletedAttempt): void {
    const work = this.table.get(sequence);
    if (work === undefined || this.#isClosed) return;
    const { clock, runner } = this.#options;
    const attemptsToStop = brokenGangAttempts(this.idOf(work), work);
    if (attemptsToStop.length > 0) runner.cancel(attemptsToStop);
    const state = work.tasks[task];
    clock.after(this.#backoffMs(work, task), () => {
      const current = this.table.get(sequence);
      if (work.gang || current?.tasks[task] === state) {
        this.#enqueue(sequence, task);
      }
    });
  }

  #backoffMs(work: Work, index: number): number {
    const { limits } = this.#options;
    const tasks = work.gang ? work.tasks : work.tasks.slice(index, index + 1);
    const attempts = Math.max(
      ...tasks.map((task) => task.type === "waiting" ? task.attempts : 0),
    );
    if (attempts === 0) return 0;
    return Math.min(
      limits.maxBackoffMs,
      limits.initialBackoffMs * 2 ** (attempts - 1),
    );
  }

  #enqueue(sequence: number, index?: number): void {
    const work = this.table.get(sequence);
    if (work === undefined || this.#isClosed) return;
    const tasks = runnableTasks(this.idOf(work), work);
    const selected = work.gang || index === undefined
      ? tasks
      : tasks.filter((task) => task.task === index);
    if (selected.length > 0) this.#options.runner.enqueue(selected);
  }

  #stopWorks(sequences: readonly number[]): number {
    const works = sequences.flatMap((sequence) => {
      const work = this.table.get(sequence);
      return work === undefined ? [] : [work];
    });
    const { runner } = this.#options;
    runner.withdraw(works.map((work) => this.idOf(work)));
    runner.cancel(
      works.flatMap((work) => startedAttempts(this.idOf(work), work)),
    );
    return works.length;
  }

  #isOpen(sequence: number): boolean {
    const work = this.table.get(sequence);
    if (work === undefined) return false;
    return work.finishedAt === undefined && work.cancelledAt === undefined;
  }

  #nowMs(): number {
    return this.#options.clock.now().getTime();
  }
}

const keyReused: SubmitFailure = {
  type: "duplicateKey",
  message: "the idempotency key was already used for different work",
};
