/**
 * The lifecycle of deferred work at the instance that holds its journal
 * segment: accepted, attempted, ended, parked, cancelled, resumed, handed over.
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
  type EndFailure,
  notHeld,
  type StartFailure,
  type SubmitFailure,
  unknownWork,
} from "./deferred_failures.ts";
import type { DeferredOptions } from "./deferred_options.ts";
import type {
  CancelTarget,
  DeferredCounts,
  TaskPlacement,
} from "./deferred_types.ts";
import { HeldSegment } from "./held_segment.ts";
import { Holdings } from "./holdings.ts";
import { checkSubmission, type Submission } from "./submission.ts";
import {
  summaryOf,
  viewOf,
  type WorkSummary,
  type WorkView,
} from "./work_view.ts";

/** Deferred work of the segments that this instance holds. */
export class Deferred {
  readonly #options: DeferredOptions;
  readonly #holdings: Holdings;
  #resumes: readonly Resume[] = [];
  #stopping = false;

  constructor(options: DeferredOptions) {
    this.#options = options;
    this.#holdings = new Holdings(options);
    this.#scheduleSweep();
  }

  /** Accepts work; resolves once it is in the service. */
  submit(
    submission: Submission,
  ): ResultAsync<{ readonly id: string }, SubmitFailure> {
    if (this.#stopping) return errAsync(stoppingFailure);
    const { clock, workloadOf, limits } = this.#options;
    const workload = workloadOf(submission.workload);
    const checked = checkSubmission(submission, { workload, limits });
    if (checked.isErr()) return errAsync(checked.error);
    if (!this.#holdings.hasRoom()) {
      return errAsync(journalFull(limits.sweepMs));
    }
    const held = this.#holdings.holderOf(checked.value);
    if (held === undefined) return errAsync(noSegment);
    return withTimeout(held.submit(checked.value), {
      clock,
      ms: limits.submitMs,
      error: submitUnknown,
    });
  }

  /** A work with its tasks. */
  show(id: string): Result<WorkView, CancelFailure> {
    return this.#holdings.find(id).andThen(({ held, sequence }) => {
      const work = held.table.get(sequence);
      return work === undefined ? err(unknownWork) : ok(viewOf(id, work));
    });
  }

  /** Works of a team that are held here, parked ones first. */
  list(team: string, options: { readonly limit: number }): WorkSummary[] {
    const all = this.#holdings.all().flatMap((held) =>
      [...held.table.works()]
        .filter((work) => work.team === team)
        .map((work) => ({ held, work, isParked: statusOf(work) === "parked" }))
    );
    const parked = all.filter(({ isParked }) => isParked);
    const rest = all.filter(({ isParked }) => !isParked);
    return [...parked, ...rest].slice(0, options.limit)
      .map(({ held, work }) => summaryOf(held.idOf(work), work));
  }

  /** Cancels one work or a wave of them; gives how many were open. */
  cancel(target: CancelTarget): ResultAsync<number, CancelFailure> {
    switch (target.type) {
      case "work":
        return this.#cancelWork(target);
      case "wave":
        return this.#cancelWave(target);
      default:
        return assertNever(target);
    }
  }

  /** Takes the operators' resumes: parked work that they name runs again, once for each. */
  resume(resumes: Iterable<Resume>): void {
    this.#resumes = [...resumes];
    this.#applyResumes();
  }

  /** Writes an attempt ahead; gives its id. */
  mayStart(
    placement: TaskPlacement,
  ): ResultAsync<string, StartFailure> {
    return this.mayStartTogether([placement])
      .andThen(([attempt]) =>
        attempt === undefined ? errAsync(noTask) : okAsync(attempt)
      );
  }

  /** Writes attempts of one work ahead, all or none; gives their ids in order. */
  mayStartTogether(
    placements: readonly TaskPlacement[],
  ): ResultAsync<readonly string[], StartFailure> {
    const [first] = placements;
    const id = parseWorkId(first?.work ?? "");
    if (first === undefined || id === undefined) return errAsync(noTask);
    if (placements.some((other) => other.work !== first.work)) {
      return errAsync(noTask);
    }
    const held = this.#holdings.get(id.segment);
    if (held === undefined) return errAsync(notHeld(id.segment));
    const { sequence } = id;
    return held.start(
      placements.map((placement) => ({ ...placement, sequence })),
    );
  }

  /** Writes how an attempt ended; the worker may forget it once this resolves. */
  ended(
    attempt: Pick<StartedAttempt, "work" | "task" | "attempt">,
    outcome: AttemptOutcome,
  ): ResultAsync<void, EndFailure> {
    const id = parseWorkId(attempt.work);
    const held = this.#holdings.get(id?.segment ?? "");
    if (id === undefined || held === undefined) {
      return errAsync(notHeld(id?.segment ?? attempt.work));
    }
    return held.end({ ...attempt, sequence: id.sequence, outcome });
  }

  /** Takes over a segment, this instance's own one included. */
  adopt(segment: string, fence: number): ResultAsync<void, AdoptFailure> {
    const { self, newId, store, clock, budget, limits } = this.#options;
    const table = new WorkTable();
    let held: HeldSegment | undefined;
    return Segment.open({
      store,
      clock,
      budget,
      table,
      claim: { segment, owner: self, fence, newWriteId: newId },
      limits: limits.segment,
      lost: () => this.#lose(held),
    }).map((opened) => {
      const opening = { segment: opened, table };
      held = new HeldSegment(segment, this.#options, opening);
      this.#holdings.hold(held);
      this.#applyResumes();
    });
  }

  /** Writes what is queued and lets go of a segment. */
  async release(segment: string): Promise<void> {
    const held = this.#holdings.get(segment);
    if (held === undefined) return;
    this.#holdings.remove(held);
    await held.close();
  }

  /** Refuses new work and lets go of every segment. */
  async stop(): Promise<void> {
    this.#stopping = true;
    const helds = this.#holdings.all();
    await Promise.all(helds.map((held) => this.release(held.name)));
  }

  /** Amounts for the status page. */
  counts(): DeferredCounts {
    return this.#holdings.counts();
  }

  #cancelWork(
    target: { readonly id: string; readonly team: string },
  ): ResultAsync<number, CancelFailure> {
    return this.#holdings.find(target.id).asyncAndThen(({ held, sequence }) => {
      const isOwn = held.table.get(sequence)?.team === target.team;
      return isOwn
        ? held.cancel([sequence]).mapErr((failure): CancelFailure => failure)
        : errAsync<number, CancelFailure>(unknownWork);
    });
  }

  #cancelWave(
    target: { readonly team: string; readonly workload: string },
  ): ResultAsync<number, CancelFailure> {
    const waves = this.#holdings.all().map((held) => {
      const works = [...held.table.works()].filter((work) =>
        work.team === target.team && work.workload === target.workload
      );
      return held.cancel(works.map((work) => work.sequence));
    });
    return ResultAsync.combine(waves).map(sum);
  }

  #lose(held: HeldSegment | undefined): void {
    if (held === undefined) return;
    held.drop();
    if (this.#holdings.remove(held)) this.#options.lost(held.name);
  }

  #applyResumes(): void {
    for (const { name, work } of this.#resumes) {
      const id = parseWorkId(work);
      const held = this.#holdings.get(id?.segment ?? "");
      if (id !== undefined) held?.resume(id.sequence, name);
    }
  }

  #scheduleSweep(): void {
    const { clock, limits } = this.#options;
    clock.after(limits.sweepMs, async () => {
      await this.#sweep();
      if (!this.#stopping) this.#scheduleSweep();
    });
  }

  async #sweep(): Promise<void> {
    const { clock, limits } = this.#options;
    const before = clock.now().getTime() - limits.retentionMs;
    this.#applyResumes();
    for (const held of this.#holdings.expire(before)) {
      if (await held.retire()) this.#retire(held);
    }
  }

  #retire(held: HeldSegment): void {
    held.drop();
    this.#holdings.remove(held);
    this.#options.retired(held.name);
  }
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

const stoppingFailure: SubmitFailure = {
  type: "stopping",
  message: "this instance is stopping",
};

const noSegment: SubmitFailure = {
  type: "noSegment",
  message: "no journal segment is held",
};

const submitUnknown: SubmitFailure = {
  type: "submitUnknown",
  message: "the journal has not answered in time",
};

const noTask: StartFailure = {
  type: "notWaiting",
  message: "no such task",
};
