/**
 * The lifecycle of deferred work items at the owner of their journal segment:
 * submission, attempts, completion, parking, cancellation, resumption and
 * transfer to another owner. Every state change is journalled first.
 *
 * @module
 */
import {
  err,
  errAsync,
  ok,
  okAsync,
  type Result,
  ResultAsync,
} from "neverthrow";
import { withTimeout } from "../timeout.ts";
import { assertNever } from "../errors.ts";
import type { AttemptOutcome } from "../journal/records.ts";
import { Segment } from "../journal/segment.ts";
import { statusOf } from "../journal/work_state.ts";
import { WorkTable } from "../journal/work_table.ts";
import { journalFull } from "../journal/failures.ts";
import type { Resume } from "../operator_set.ts";
import type { StartedAttempt } from "../ports/runner.ts";
import { parseWorkId } from "../state/work_id.ts";
import {
  type AdoptFailure,
  type CancelFailure,
  type CompletionFailure,
  notHeld,
  type StartFailure,
  type SubmitFailure,
  unknownWork,
} from "./deferred_failures.ts";
import type { DeferredWorkOptions } from "./deferred_options.ts";
import type {
  CancelTarget,
  DeferredWorkCounts,
  TaskPlacement,
} from "./deferred_types.ts";
import { OwnedSegment } from "./owned_segment.ts";
import { OwnedSegments } from "./owned_segments.ts";
import { checkSubmission, type Submission } from "./submission.ts";
import {
  createSummary,
  createView,
  type WorkSummary,
  type WorkView,
} from "./work_view.ts";

/** Manages the deferred work items in the journal segments that this instance owns. */
export class DeferredWork {
  readonly #options: DeferredWorkOptions;
  readonly #segments: OwnedSegments;
  #resumes: readonly Resume[] = [];
  #stopping = false;

  constructor(options: DeferredWorkOptions) {
    this.#options = options;
    this.#segments = new OwnedSegments(options);
    this.#scheduleSweep();
  }

  /**
   * Submits a work item and resolves with its id once the store has
   * acknowledged the journal record. Fails with `submitUnknown` after
   * `limits.submitTimeoutMs`; the work item may have been accepted then.
   */
  submit(
    submission: Submission,
  ): ResultAsync<{ readonly id: string }, SubmitFailure> {
    if (this.#stopping) return errAsync(stoppingFailure);
    const { clock, workloadOf, limits } = this.#options;
    const workload = workloadOf(submission.workload);
    const checked = checkSubmission(submission, { workload, limits });
    if (checked.isErr()) return errAsync(checked.error);
    if (!this.#segments.hasCapacity()) {
      return errAsync(journalFull(limits.sweepIntervalMs));
    }
    const segment = this.#segments.segmentFor(checked.value);
    if (segment === undefined) return errAsync(noOwnedSegment);
    return withTimeout(segment.submit(checked.value), {
      clock,
      ms: limits.submitTimeoutMs,
      error: submitTimeout,
    });
  }

  /** Returns a work item with its tasks; fails if this instance does not own its segment. */
  show(id: string): Result<WorkView, CancelFailure> {
    return this.#segments.find(id).andThen(({ segment, sequence }) => {
      const work = segment.table.get(sequence);
      return work === undefined ? err(unknownWork) : ok(createView(id, work));
    });
  }

  /** Lists up to `limit` work items of a team in owned segments, parked ones first. */
  list(team: string, options: { readonly limit: number }): WorkSummary[] {
    const all = this.#segments.all().flatMap((segment) =>
      [...segment.table.works()]
        .filter((work) => work.team === team)
        .map((work) => ({
          segment,
          work,
          isParked: statusOf(work) === "parked",
        }))
    );
    const parked = all.filter(({ isParked }) => isParked);
    const rest = all.filter(({ isParked }) => !isParked);
    return [...parked, ...rest].slice(0, options.limit)
      .map(({ segment, work }) => createSummary(segment.idOf(work), work));
  }

  /** Cancels one work item or all of a workload; resolves with the number that were still open. */
  cancel(target: CancelTarget): ResultAsync<number, CancelFailure> {
    switch (target.type) {
      case "work":
        return this.#cancelWork(target);
      case "wave":
        return this.#cancelWorkload(target);
      default:
        return assertNever(target);
    }
  }

  /**
   * Replaces the operators' resume entries. Each entry makes the parked tasks
   * of its work item runnable once, however often the entry is applied.
   */
  resume(resumes: Iterable<Resume>): void {
    this.#resumes = [...resumes];
    this.#applyResumes();
  }

  /**
   * Journals an attempt before the task is started; resolves with the id of
   * the attempt.
   */
  mayStart(
    placement: TaskPlacement,
  ): ResultAsync<string, StartFailure> {
    return this.mayStartTogether([placement])
      .andThen(([attempt]) =>
        attempt === undefined ? errAsync(taskNotFound) : okAsync(attempt)
      );
  }

  /**
   * Journals attempts of one work item before they are started, all or none;
   * resolves with their ids in the order of `placements`.
   */
  mayStartTogether(
    placements: readonly TaskPlacement[],
  ): ResultAsync<readonly string[], StartFailure> {
    const [first] = placements;
    const id = parseWorkId(first?.work ?? "");
    if (first === undefined || id === undefined) return errAsync(taskNotFound);
    if (placements.some((other) => other.work !== first.work)) {
      return errAsync(taskNotFound);
    }
    const segment = this.#segments.get(id.segment);
    if (segment === undefined) return errAsync(notHeld(id.segment));
    const { sequence } = id;
    return segment.recordAttempts(
      placements.map((placement) => ({ ...placement, sequence })),
    );
  }

  /**
   * Journals the outcome of an attempt. Once this resolves, the worker may
   * discard its record of the attempt.
   */
  ended(
    attempt: Pick<StartedAttempt, "work" | "task" | "attempt">,
    outcome: AttemptOutcome,
  ): ResultAsync<void, CompletionFailure> {
    const id = parseWorkId(attempt.work);
    const segment = this.#segments.get(id?.segment ?? "");
    if (id === undefined || segment === undefined) {
      return errAsync(notHeld(id?.segment ?? attempt.work));
    }
    return segment.completeAttempt({
      ...attempt,
      sequence: id.sequence,
      outcome,
    });
  }

  /**
   * Opens a segment under the fencing token `fence` and continues its work
   * items; used for this instance's own segment as well.
   */
  adopt(segment: string, fence: number): ResultAsync<void, AdoptFailure> {
    const { self, newId, store, clock, budget, limits } = this.#options;
    const table = new WorkTable();
    let owned: OwnedSegment | undefined;
    return Segment.open({
      store,
      clock,
      budget,
      table,
      claim: { segment, owner: self, fence, newWriteId: newId },
      limits: limits.segment,
      onLost: () => this.#loseSegment(owned),
    }).map((opened) => {
      const journal = { segment: opened, table };
      owned = new OwnedSegment(segment, this.#options, journal);
      this.#segments.add(owned);
      this.#applyResumes();
    });
  }

  /** Flushes the queued records of a segment and closes it. */
  async release(segment: string): Promise<void> {
    const owned = this.#segments.get(segment);
    if (owned === undefined) return;
    this.#segments.remove(owned);
    await owned.close();
  }

  /** Rejects new submissions, then flushes and closes every segment. */
  async stop(): Promise<void> {
    this.#stopping = true;
    const segments = this.#segments.all();
    await Promise.all(segments.map((segment) => this.release(segment.name)));
  }

  /** Returns the counts shown on the status page. */
  counts(): DeferredWorkCounts {
    return this.#segments.counts();
  }

  #cancelWork(
    target: { readonly id: string; readonly team: string },
  ): ResultAsync<number, CancelFailure> {
    return this.#segments.find(target.id).asyncAndThen(
      ({ segment, sequence }) => {
        const isOwn = segment.table.get(sequence)?.team === target.team;
        return isOwn
          ? segment.cancel([sequence]).mapErr((failure): CancelFailure =>
            failure
          )
          : errAsync<number, CancelFailure>(unknownWork);
      },
    );
  }

  #cancelWorkload(
    target: { readonly team: string; readonly workload: string },
  ): ResultAsync<number, CancelFailure> {
    const cancellations = this.#segments.all().map((segment) => {
      const works = [...segment.table.works()].filter((work) =>
        work.team === target.team && work.workload === target.workload
      );
      return segment.cancel(works.map((work) => work.sequence));
    });
    return ResultAsync.combine(cancellations).map(sum);
  }

  #loseSegment(segment: OwnedSegment | undefined): void {
    if (segment === undefined) return;
    segment.abandon();
    if (this.#segments.remove(segment)) this.#options.onLost(segment.name);
  }

  #applyResumes(): void {
    for (const { name, work } of this.#resumes) {
      const id = parseWorkId(work);
      const segment = this.#segments.get(id?.segment ?? "");
      if (id !== undefined) segment?.resume(id.sequence, name);
    }
  }

  #scheduleSweep(): void {
    const { clock, limits } = this.#options;
    clock.after(limits.sweepIntervalMs, async () => {
      await this.#sweep();
      if (!this.#stopping) this.#scheduleSweep();
    });
  }

  async #sweep(): Promise<void> {
    const { clock, limits } = this.#options;
    const finishedBeforeMs = clock.now().getTime() - limits.retentionMs;
    this.#applyResumes();
    for (const segment of this.#segments.removeExpired(finishedBeforeMs)) {
      if (await segment.retire()) this.#removeRetired(segment);
    }
  }

  #removeRetired(segment: OwnedSegment): void {
    segment.abandon();
    this.#segments.remove(segment);
    this.#options.onRetired(segment.name);
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, number) => total + number, 0);
}

const stoppingFailure: SubmitFailure = {
  type: "stopping",
  message: "this instance is stopping",
};

const noOwnedSegment: SubmitFailure = {
  type: "noSegment",
  message: "this instance owns no journal segment",
};

const submitTimeout: SubmitFailure = {
  type: "submitUnknown",
  message: "timed out waiting for the journal to acknowledge the submission",
};

const taskNotFound: StartFailure = {
  type: "notWaiting",
  message: "the task does not exist",
};
