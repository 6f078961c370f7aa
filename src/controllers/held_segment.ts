/**
 * The works of one journal segment held by this instance: every change is
 * written first, then carried out.
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
  runnableTasks,
  startedAttempts,
  strandedAttempts,
} from "../state/runnable.ts";
import { formatWorkId } from "../state/work_id.ts";
import type {
  EndFailure,
  StartFailure,
  SubmitFailure,
} from "./deferred_failures.ts";
import type { DeferredOptions } from "./deferred_options.ts";
import { type Placement, Starts } from "./starts.ts";
import type { CheckedSubmission } from "./submission.ts";
import { type EndedAttempt, Endings } from "./endings.ts";

/** One held segment. */
export class HeldSegment {
  readonly name: string;
  readonly table: WorkTable;
  readonly #segment: Segment;
  readonly #options: DeferredOptions;
  readonly #starts: Starts;
  readonly #endings: Endings;
  #closed = false;

  constructor(
    name: string,
    options: DeferredOptions,
    held: { readonly segment: Segment; readonly table: WorkTable },
  ) {
    this.name = name;
    this.table = held.table;
    this.#segment = held.segment;
    this.#options = options;
    this.#starts = new Starts(options, held);
    this.#endings = new Endings(options, held);
  }

  /** Endings that wait to be written. */
  get endings(): number {
    return this.#endings.waiting;
  }

  /** Whether the segment was released or lost. */
  get closed(): boolean {
    return this.#closed;
  }

  /** Identifier of a work of this segment. */
  idOf(work: Work): string {
    return formatWorkId({ segment: this.name, sequence: work.sequence });
  }

  /** Writes a submission; the same key gives the same work. */
  submit(
    submission: CheckedSubmission,
  ): ResultAsync<{ readonly id: string }, SubmitFailure> {
    const known = this.#known(submission);
    if (known !== undefined) return this.#repeated(known, submission);
    const work = this.#segment.takeSequence();
    const record = { type: "submitted" as const, work, ...submission };
    return this.#segment.append([{ ...record, at: this.#now() }])
      .mapErr((failure): SubmitFailure => failure)
      .andThen(() => this.#acknowledge(work, submission));
  }

  /** Writes attempts ahead, all or none; gives their ids. */
  start(
    placements: readonly Placement[],
  ): ResultAsync<readonly string[], StartFailure> {
    return this.#starts.write(placements, (ended) => this.end(ended));
  }

  /** Writes how an attempt ended, waiting for the service if it is away. */
  end(ended: EndedAttempt): ResultAsync<void, EndFailure> {
    return this.#endings.write(ended).map(() => this.#afterEnding(ended));
  }

  /** Cancels works in one write; gives how many were open. */
  cancel(sequences: readonly number[]): ResultAsync<number, AppendFailure> {
    const works = sequences.filter((sequence) => this.#isOpen(sequence));
    if (works.length === 0) return okAsync(0);
    const at = this.#now();
    return this.#segment.append([{ type: "cancelled", works, at }])
      .map(() => this.#stop(works));
  }

  /** Lets the parked tasks of a work run again, once for each name. */
  resume(
    sequence: number,
    by: string,
  ): ResultAsync<boolean, AppendFailure> {
    const work = this.table.get(sequence);
    const parked = work?.tasks.some((task) => task.type === "parked") ?? false;
    if (work === undefined || !parked || work.resumes.includes(by)) {
      return okAsync(false);
    }
    const record = { type: "resumed" as const, work: sequence, by };
    return this.#segment.append([{ ...record, at: this.#now() }]).map(() => {
      this.#enqueue(sequence);
      return true;
    });
  }

  /** Hands everything that may run to the runner; gives the attempts to be settled first. */
  begin(): readonly StartedAttempt[] {
    const works = [...this.table.works()];
    this.#options.runner.enqueue(
      works.flatMap((work) => runnableTasks(this.idOf(work), work)),
    );
    return works.flatMap((work) => startedAttempts(this.idOf(work), work));
  }

  /** Drops works that finished before `before`, wall-clock milliseconds. */
  expire(before: number): void {
    for (const work of [...this.table.works()]) {
      const { finishedAt = Infinity } = work;
      if (finishedAt < before) this.table.drop(work.sequence);
    }
  }

  /** Removes the segment from the service if it holds nothing. */
  retire(): Promise<boolean> {
    return this.#segment.retire();
  }

  /** Writes what is queued and lets go of the segment. */
  async close(): Promise<void> {
    this.drop();
    await this.#segment.close();
  }

  /** Lets go of a segment that has another owner. */
  drop(): void {
    if (this.#closed) return;
    this.#closed = true;
    const ids = [...this.table.works()].map((work) => this.idOf(work));
    this.#options.runner.withdraw(ids);
  }

  #known(submission: CheckedSubmission): Work | undefined {
    const { team, key } = submission;
    return key === undefined ? undefined : this.table.withKey(team, key);
  }

  #repeated(
    known: Work,
    submission: CheckedSubmission,
  ): ResultAsync<{ readonly id: string }, SubmitFailure> {
    const same = known.workload === submission.workload &&
      known.payload === submission.payload &&
      known.tasks.length === submission.count;
    if (!same) return errAsync(duplicateKey);
    return okAsync({ id: this.idOf(known) });
  }

  /** Of two submissions with one key the journal keeps the first. */
  #acknowledge(
    sequence: number,
    submission: CheckedSubmission,
  ): ResultAsync<{ readonly id: string }, SubmitFailure> {
    const work = this.#known(submission) ?? this.table.get(sequence);
    if (work?.sequence === sequence) this.#enqueue(sequence);
    if (work !== undefined) return this.#repeated(work, submission);
    const id = formatWorkId({ segment: this.name, sequence });
    return okAsync({ id });
  }

  #afterEnding({ sequence, task }: EndedAttempt): void {
    const work = this.table.get(sequence);
    if (work === undefined || this.#closed) return;
    const { clock, runner } = this.#options;
    const stranded = strandedAttempts(this.idOf(work), work);
    if (stranded.length > 0) runner.cancel(stranded);
    const state = work.tasks[task];
    clock.after(this.#backoffMs(work, task), () => {
      const now = this.table.get(sequence);
      if (work.gang || now?.tasks[task] === state) {
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
      limits.backoffMaxMs,
      limits.backoffMs * 2 ** (attempts - 1),
    );
  }

  #enqueue(sequence: number, index?: number): void {
    const work = this.table.get(sequence);
    if (work === undefined || this.#closed) return;
    const tasks = runnableTasks(this.idOf(work), work);
    const wanted = work.gang || index === undefined
      ? tasks
      : tasks.filter((task) => task.task === index);
    if (wanted.length > 0) this.#options.runner.enqueue(wanted);
  }

  #stop(sequences: readonly number[]): number {
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

  #now(): number {
    return this.#options.clock.now().getTime();
  }
}

const duplicateKey: SubmitFailure = {
  type: "duplicateKey",
  message: "the key was used for other work",
};
