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
import { unreachable } from "../errors.ts";
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
} from "./deferred_failures.ts";
import type { DeferredOptions } from "./deferred_options.ts";
import type {
  CancelTarget,
  DeferredCounts,
  TaskPlacement,
} from "./deferred_types.ts";
import { HeldSegment } from "./held_segment.ts";
import { Settler } from "./settler.ts";
import {
  type CheckedSubmission,
  checkSubmission,
  type Submission,
} from "./submission.ts";
import {
  summaryOf,
  viewOf,
  type WorkSummary,
  type WorkView,
} from "./work_view.ts";

interface Holding {
  readonly held: HeldSegment;
  readonly settler: Settler;
}

/** Deferred work of the segments that this instance holds. */
export class Deferred {
  readonly #options: DeferredOptions;
  readonly #holdings = new Map<string, Holding>();
  #resumes: readonly Resume[] = [];
  #stopping = false;

  constructor(options: DeferredOptions) {
    this.#options = options;
    this.#scheduleSweep();
  }

  /** Accepts work; resolves once it is in the service. */
  submit(
    submission: Submission,
  ): ResultAsync<{ readonly id: string }, SubmitFailure> {
    if (this.#stopping) return errAsync(stoppingFailure);
    const { workloadOf, limits } = this.#options;
    const workload = workloadOf(submission.workload);
    const checked = checkSubmission(submission, { workload, limits });
    if (checked.isErr()) return errAsync(checked.error);
    if (this.#heldBytes() > limits.heldBytes) {
      return errAsync(journalFull(limits.sweepMs));
    }
    const held = this.#holderOf(checked.value);
    if (held === undefined) return errAsync(noSegment);
    return this.#inTime(held.submit(checked.value));
  }

  /** A work with its tasks. */
  show(id: string): Result<WorkView, CancelFailure> {
    return this.#find(id).andThen(({ held, sequence }) => {
      const work = held.table.get(sequence);
      return work === undefined ? err(unknownWork) : ok(viewOf(id, work));
    });
  }

  /** Works of a team that are held here, parked ones first. */
  list(team: string, options: { readonly limit: number }): WorkSummary[] {
    const all = this.#helds().flatMap((held) =>
      [...held.table.works()]
        .filter((work) => work.team === team)
        .map((work) => summaryOf(held.idOf(work), work))
    );
    const parked = all.filter((work) => work.status === "parked");
    const rest = all.filter((work) => work.status !== "parked");
    return [...parked, ...rest].slice(0, options.limit);
  }

  /** Cancels one work or a wave of them; gives how many were open. */
  cancel(target: CancelTarget): ResultAsync<number, CancelFailure> {
    switch (target.type) {
      case "work":
        return this.#cancelWork(target);
      case "wave":
        return this.#cancelWave(target);
      default:
        return unreachable(target);
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
    const held = this.#holdings.get(id.segment)?.held;
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
    const held = this.#holdings.get(id?.segment ?? "")?.held;
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
      this.#hold(held);
    });
  }

  /** Writes what is queued and lets go of a segment. */
  async release(segment: string): Promise<void> {
    const held = this.#holdings.get(segment)?.held;
    if (held === undefined) return;
    this.#holdings.delete(segment);
    await held.close();
  }

  /** Refuses new work and lets go of every segment. */
  async stop(): Promise<void> {
    this.#stopping = true;
    const names = [...this.#holdings.keys()];
    await Promise.all(names.map((name) => this.release(name)));
  }

  /** Amounts for the status page. */
  counts(): DeferredCounts {
    const holdings = [...this.#holdings.values()];
    const works = this.#helds().flatMap((held) => [...held.table.works()]);
    const statuses = works.map(statusOf);
    const count = (status: string) =>
      statuses.filter((other) => other === status).length;
    return {
      segments: holdings.length,
      works: works.length,
      waitingWorks: count("waiting"),
      runningWorks: count("running"),
      parkedWorks: count("parked"),
      unsettledAttempts: sum(holdings.map(({ settler }) => settler.count)),
      unwrittenEndings: sum(holdings.map(({ held }) => held.endings)),
      heldBytes: this.#heldBytes(),
    };
  }

  #helds(): HeldSegment[] {
    return [...this.#holdings.values()].map(({ held }) => held);
  }

  #heldBytes(): number {
    return sum(this.#helds().map((held) => held.table.bytes));
  }

  /** The segment for a submission: the one that knows its key, or this instance's own. */
  #holderOf(submission: CheckedSubmission): HeldSegment | undefined {
    const { team, key } = submission;
    const helds = this.#helds();
    const knowing = key === undefined
      ? undefined
      : helds.find((held) => held.table.withKey(team, key) !== undefined);
    const own = this.#holdings.get(this.#options.self)?.held;
    return knowing ?? own ?? helds[0];
  }

  #inTime<T>(
    pending: ResultAsync<T, SubmitFailure>,
  ): ResultAsync<T, SubmitFailure> {
    const { clock, limits } = this.#options;
    const first = new Promise<Result<T, SubmitFailure>>((resolve) => {
      const timer = clock.after(
        limits.submitMs,
        () => resolve(err(submitUnknown)),
      );
      pending.then((result) => {
        timer.cancel();
        resolve(result);
      });
    });
    return new ResultAsync(first);
  }

  #find(
    id: string,
  ): Result<{ held: HeldSegment; sequence: number }, CancelFailure> {
    const parsed = parseWorkId(id);
    if (parsed === undefined) return err(unknownWork);
    const held = this.#holdings.get(parsed.segment)?.held;
    if (held === undefined) return err(notHeld(parsed.segment));
    return ok({ held, sequence: parsed.sequence });
  }

  #cancelWork(
    target: { readonly id: string; readonly team: string },
  ): ResultAsync<number, CancelFailure> {
    return this.#find(target.id).asyncAndThen(({ held, sequence }) => {
      const work = held.table.get(sequence);
      if (work?.team !== target.team) return errAsync(unknownWork);
      return held.cancel([sequence]);
    });
  }

  #cancelWave(
    target: { readonly team: string; readonly workload: string },
  ): ResultAsync<number, CancelFailure> {
    const waves = this.#helds().map((held) => {
      const works = [...held.table.works()].filter((work) =>
        work.team === target.team && work.workload === target.workload
      );
      return held.cancel(works.map((work) => work.sequence));
    });
    return ResultAsync.combine(waves).map(sum);
  }

  #hold(held: HeldSegment): void {
    this.#holdings.get(held.name)?.held.drop();
    const settler = new Settler(this.#options, held, held.begin());
    this.#holdings.set(held.name, { held, settler });
    settler.start();
    this.#applyResumes();
  }

  #lose(held: HeldSegment | undefined): void {
    if (held === undefined) return;
    held.drop();
    if (this.#holdings.get(held.name)?.held !== held) return;
    this.#holdings.delete(held.name);
    this.#options.lost(held.name);
  }

  #applyResumes(): void {
    for (const { name, work } of this.#resumes) {
      const id = parseWorkId(work);
      const held = this.#holdings.get(id?.segment ?? "")?.held;
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
    const { clock, limits, self } = this.#options;
    const before = clock.now().getTime() - limits.retentionMs;
    this.#applyResumes();
    for (const held of this.#helds()) {
      held.expire(before);
      if (held.name === self || held.table.size > 0) continue;
      if (await held.retire()) this.#retired(held);
    }
  }

  #retired(held: HeldSegment): void {
    held.drop();
    this.#holdings.delete(held.name);
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

const unknownWork: CancelFailure = {
  type: "unknownWork",
  message: "no such work",
};

const noTask: StartFailure = {
  type: "notWaiting",
  message: "no such task",
};
