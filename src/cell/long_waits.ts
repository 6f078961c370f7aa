/**
 * Finds the steps that could run and of which nothing runs, logs those that
 * have waited for long, and counts them for the metrics. Decides nothing.
 *
 * Load pattern: 150,000 tasks in as many steps. A sweep over all steps is
 * spread over several ticks, and what is costly to find out is found out for the
 * steps that are logged.
 *
 * @module
 */
import type { AdviceDispatcher } from "./advice_dispatcher.ts";
import type { CellContext } from "./context.ts";
import { isFinished, isReady, type Job, type StepRun } from "./job.ts";
import { StepRoom } from "./step_room.ts";
import { WAIT_REASONS, type WaitReason } from "./step_waits.ts";
import {
  countTaskStates,
  decisiveTask,
  START_BLOCKERS,
  type StartBlocker,
} from "./task_states.ts";

/** Shortest interval between the starts of two sweeps. */
const SWEEP_INTERVAL_MS = 1_000;
/** Most tasks that one tick examines, but for the last step's. */
const MAX_TASKS_PER_TICK = 500;
/** Most waits of one sweep, the oldest first, for which it is found out whether there is room. */
const MAX_EXAMINED_WAITS = 500;
/** Shorter waits are not logged. The platform's pages count a wait from 3 s on. */
const MIN_LOGGED_WAIT_MS = 2_000;
/** Most lines of one sweep. */
const MAX_LINES_PER_SWEEP = 5;

/** Why a step waits: in the backlog, or for the runs that it is assigned to. */
export type LongWaitReason = WaitReason | StartBlocker;

/** A wait of a step. */
interface LongWait {
  /** When a sweep first found that nothing of the step runs, monotonic milliseconds. */
  readonly sinceMs: number;
  /** See {@linkcode endedRunsOf}. */
  readonly endedRuns: number;
  reason: LongWaitReason;
  /** When a sweep first found the reason, monotonic milliseconds. */
  reasonSinceMs: number;
  despiteRoom: boolean;
  /** Number of the last sweep that found the wait. */
  sweep: number;
  /** Age from which on the next line is due, milliseconds. */
  nextLineMs: number;
}

/** Dependencies of {@linkcode LongWaits}. */
export interface LongWaitsOptions {
  readonly dispatcher: Pick<AdviceDispatcher, "freeSlotsFor">;
  /** Time since the last scheduling pass that could place steps, milliseconds. */
  readonly passAgeMs: () => number;
}

/** The waits of one leader's steps. */
export class LongWaits {
  readonly #context: CellContext;
  readonly #options: LongWaitsOptions;
  /** The oldest first. */
  readonly #waits = new Map<StepRun, LongWait>();
  /** The steps that the current sweep has yet to visit. */
  #steps: Iterator<StepRun> | undefined;
  #sweep = 0;
  #sweepBeganMs = -Infinity;
  #despiteRoom = 0;
  #unlogged = 0;

  constructor(context: CellContext, options: LongWaitsOptions) {
    this.#context = context;
    this.#options = options;
    const { metrics } = context;
    metrics.gauge("longest_step_wait_ms", () => this.oldest?.waitedMs ?? 0);
    metrics.gauge("steps_waiting_despite_room", () => this.#despiteRoom);
  }

  /** Forgets all waits. */
  close(): void {
    this.#waits.clear();
    this.#despiteRoom = 0;
  }

  /** The wait that has lasted longest; `undefined` if there is none. */
  get oldest():
    | { readonly job: string; readonly waitedMs: number }
    | undefined {
    const first = this.#waits.entries().next().value;
    if (first === undefined) return undefined;
    const [{ job }, { sinceMs }] = first;
    const waitedMs = this.#context.clock.monotonic() - sinceMs;
    return { job: job.id, waitedMs: Math.round(waitedMs) };
  }

  /** Number of steps that wait for long although there is room for them. */
  get despiteRoom(): number {
    return this.#despiteRoom;
  }

  /** Number of lines that were due in the last sweep and left out. */
  get unlogged(): number {
    return this.#unlogged;
  }

  /** Continues the current sweep, or begins the next if it is due. */
  tick(): void {
    const nowMs = this.#context.clock.monotonic();
    if (this.#steps === undefined) {
      if (nowMs - this.#sweepBeganMs < SWEEP_INTERVAL_MS) return;
      this.#sweepBeganMs = nowMs;
      this.#sweep++;
      this.#steps = openSteps(this.#context.jobs.values());
    }
    for (let examined = 0; examined < MAX_TASKS_PER_TICK;) {
      const next = this.#steps.next();
      if (next.done) {
        this.#steps = undefined;
        return this.#endSweep(nowMs);
      }
      examined += this.#visit(next.value, nowMs);
    }
  }

  /** Updates the wait of a step and returns how many of its tasks it has examined. */
  #visit(step: StepRun, nowMs: number): number {
    if (!isReady(step)) {
      this.#waits.delete(step);
      return 1;
    }
    const { fleet } = this.#context;
    const decisive = decisiveTask(step, fleet);
    if (!isWaiting(step, decisive)) {
      this.#waits.delete(step);
      return decisive < 0 ? step.tasks.length : decisive + 1;
    }
    const reason = this.#reasonOf(step);
    const endedRuns = endedRunsOf(step, decisive);
    const before = this.#waits.get(step);
    // Of a short run, no sweep may have seen that it was running.
    if (before === undefined || before.endedRuns !== endedRuns) {
      this.#waits.delete(step);
      this.#waits.set(step, {
        sinceMs: nowMs,
        endedRuns,
        reason,
        reasonSinceMs: nowMs,
        despiteRoom: false,
        sweep: this.#sweep,
        nextLineMs: MIN_LOGGED_WAIT_MS,
      });
    } else {
      before.sweep = this.#sweep;
      if (before.reason !== reason) before.reasonSinceMs = nowMs;
      before.reason = reason;
    }
    return 2 * step.tasks.length;
  }

  #reasonOf(step: StepRun): LongWaitReason {
    const { backlog, fleet } = this.#context;
    if (backlog.has(step)) return step.waits.reason ?? "turn";
    const counts = countTaskStates(step, fleet);
    return START_BLOCKERS.find((blocker) => counts.has(blocker)) ?? "missing";
  }

  /** Whether a step waits that may have been visited several ticks ago. */
  #isStillWaiting(step: StepRun): boolean {
    return isReady(step) && !isFinished(step.job) &&
      isWaiting(step, decisiveTask(step, this.#context.fleet));
  }

  /** Forgets the waits of steps that are gone, and reports the long ones. */
  #endSweep(nowMs: number): void {
    for (const [step, { sweep }] of this.#waits) {
      if (sweep !== this.#sweep) this.#waits.delete(step);
    }
    const room = new StepRoom(this.#context, nowMs);
    let examined = 0;
    let lines = 0;
    this.#despiteRoom = 0;
    this.#unlogged = 0;
    for (const [step, wait] of this.#waits) {
      const waitedMs = nowMs - wait.sinceMs;
      if (waitedMs < MIN_LOGGED_WAIT_MS) break;
      if (examined++ < MAX_EXAMINED_WAITS) {
        wait.despiteRoom = room.isDespiteRoom(step) ?? wait.despiteRoom;
      }
      if (wait.despiteRoom) this.#despiteRoom++;
      if (waitedMs < wait.nextLineMs) continue;
      if (lines === MAX_LINES_PER_SWEEP) this.#unlogged++;
      else if (this.#isStillWaiting(step)) {
        lines++;
        while (wait.nextLineMs <= waitedMs) wait.nextLineMs *= 2;
        this.#log(step, wait, { room, nowMs });
      }
    }
    this.#context.metrics.count("step_waiting_unlogged", {}, this.#unlogged);
  }

  #log(
    step: StepRun,
    { sinceMs, reason, reasonSinceMs, despiteRoom }: LongWait,
    { room, nowMs }: { readonly room: StepRoom; readonly nowMs: number },
  ): void {
    const { log, fence, fleet, backlog } = this.#context;
    const counts = countTaskStates(step, fleet);
    const sums = backlog.has(step) ? sumsByReason(step, nowMs) : new Map();
    log.info("step.waiting", {
      job: step.job.id,
      ...(step.occurrence === 0 ? {} : { occurrence: step.occurrence }),
      step: step.index,
      queue: step.job.queue,
      team: step.job.team,
      fence,
      waitedMs: Math.round(nowMs - sinceMs),
      reason,
      reasonMs: sums.get(reason) ?? Math.round(nowMs - reasonSinceMs),
      despiteRoom,
      tasks: counts.get("waiting") ?? 0,
      ...Object.fromEntries(
        START_BLOCKERS.flatMap((blocker) => {
          const count = counts.get(blocker);
          return count === undefined ? [] : [[`${blocker}Tasks`, count]];
        }),
      ),
      ...Object.fromEntries(
        [...sums].map(([summed, sum]) => [`${summed}Ms`, sum]),
      ),
      passAgeMs: Math.round(this.#options.passAgeMs()),
      ...room.fieldsOf(step, this.#options.dispatcher),
    });
  }
}

/** Whether nothing of a step runs or, of long-running tasks, whether one does not. */
function isWaiting({ spec }: StepRun, decisive: number): boolean {
  return spec.longRunning ? decisive >= 0 : decisive < 0;
}

/**
 * A number that changes whenever a run of the step has ended or, of long-running
 * tasks, one of the decisive task.
 */
function endedRunsOf({ spec, tasks }: StepRun, decisive: number): number {
  const task = tasks[decisive];
  if (spec.longRunning && task !== undefined) {
    return decisive + tasks.length * task.lastCompletedRun;
  }
  return tasks.reduce((sum, { lastCompletedRun }) => sum + lastCompletedRun, 0);
}

/** Steps of the jobs that are stored and not finished, also of those that are added meanwhile. */
function* openSteps(jobs: Iterable<Job>): Generator<StepRun> {
  for (const job of jobs) {
    if (!job.stored || isFinished(job)) continue;
    for (const steps of job.occurrences.values()) yield* steps;
  }
}

/** How long a step in the backlog has waited for each reason, rounded milliseconds without zeros. */
function sumsByReason(
  { waits }: StepRun,
  nowMs: number,
): ReadonlyMap<LongWaitReason, number> {
  return new Map(WAIT_REASONS.flatMap((reason) => {
    const sum = Math.round(waits.waitedMs(reason, nowMs));
    return sum === 0 ? [] : [[reason, sum]];
  }));
}
