/**
 * Goes over the steps that may start, the first in line first, and places
 * what fits; asks for advice where it is missing.
 *
 * @module
 */
import type { Timer } from "../clock.ts";
import type { AdviceDesk } from "./advice_desk.ts";
import { Asker } from "./asker.ts";
import { type CellContext, queueOf, teamOf } from "./context.ts";
import { isUnlimited, LimitHeadroom } from "./decisions/limit_headroom.ts";
import {
  compareRanks,
  type Rank,
  rankOf,
  timeForStep,
} from "./decisions/order.ts";
import { findPlaces } from "./decisions/placement.ts";
import type { SearchContext } from "./decisions/suitable_workers.ts";
import { adviceMayHelp } from "./decisions/questions.ts";
import {
  preferredRoom,
  reservableFor,
  Reservations,
} from "./decisions/reservations.ts";
import {
  Claims,
  type Kept,
  NOTHING_KEPT,
  RoomIndex,
} from "./decisions/room.ts";
import { teamAllowance } from "./fleet.ts";
import { dueMs, type StepRun } from "./job.ts";
import type { Runs } from "./runs.ts";
import { type Amounts, NO_AMOUNTS, plus, type Queue } from "./types.ts";

/** Changes gather for so long before a pass, milliseconds. */
const PASS_DELAY_MS = 10;
/** The same when a lane to the advice service has come free, milliseconds. */
const LANE_DELAY_MS = 2;
/** Rest after a pass, in times of what it took: a fifth of the processor at most goes into passes. */
const PASS_REST = 4;
/** Nothing is started while the store has not answered for so long, milliseconds: starts are recorded first. */
const STORE_STUCK_MS = 250;
/** Shorter waits are not told, milliseconds: a tenth of what an urgent submission may take. */
const LONG_WAIT_MS = 100;
/** Gangs that are later than this reserve nothing; source: {@linkcode Rank}. */
const RESERVING_LATENESS = 1;

/** A step in the line. */
interface Standing {
  readonly step: StepRun;
  readonly rank: Rank;
}

/** What a step may use at one moment. */
interface Room {
  readonly index: RoomIndex;
  /** Room that is kept for others. */
  readonly held: Kept;
}

/** Schedules the work of one holder. */
export class Scheduler {
  readonly #context: CellContext;
  readonly #runs: Runs;
  readonly #asker: Asker;
  readonly #reservations = new Reservations();
  readonly #headroom = new LimitHeadroom();
  /** Teams whose urgent work waited at their limit when the last pass began. */
  #urgentWaits: ReadonlySet<string> = new Set();
  /** Places in the line of the last pass. */
  #places = new Map<StepRun, number>();
  #timer: Timer | undefined;
  #closed = false;
  #paused = false;
  #passMs = 0;
  #lastPassMs = 0;

  constructor(
    context: CellContext,
    { runs, desk }: { readonly runs: Runs; readonly desk: AdviceDesk },
  ) {
    this.#context = context;
    this.#runs = runs;
    this.#asker = new Asker(context, desk, (step) => {
      if (!context.evacuations.isStale) {
        this.#place(step, this.#roomOutside(step));
      }
      this.kick(LANE_DELAY_MS);
    });
  }

  /** Asks for a pass soon. */
  kick(delayMs = PASS_DELAY_MS): void {
    if (this.#closed) return;
    const restMs = Math.max(delayMs, PASS_REST * this.#lastPassMs);
    this.#timer ??= this.#context.clock.after(restMs, () => {
      this.#timer = undefined;
      this.#pass();
    });
  }

  /** Tells and forgets the time that passes took, milliseconds. */
  takePassMs(): number {
    const tookMs = this.#passMs;
    this.#passMs = 0;
    return tookMs;
  }

  /** Starts nothing until {@linkcode resume}. */
  pause(): void {
    this.#paused = true;
  }

  /** Starts again what waits. */
  resume(): void {
    this.#paused = false;
    this.kick();
  }

  /** No pass any more. */
  close(): void {
    this.#closed = true;
    this.#timer?.cancel();
  }

  #pass(): void {
    const { holds, jobLog, evacuations } = this.#context;
    if (!holds() || jobLog.stuckMs() > STORE_STUCK_MS) return;
    if (evacuations.isStale) return;
    const startedMs = this.#context.clock.monotonic();
    this.#goOverLine(this.#line());
    const tookMs = this.#context.clock.monotonic() - startedMs;
    this.#passMs += tookMs;
    this.#lastPassMs = tookMs;
    this.#context.metrics.observe("pass_ms", tookMs);
  }

  #goOverLine(line: readonly Standing[]): void {
    const { open } = this.#context;
    this.#urgentWaits = new Set(
      line.filter(({ rank, step }) =>
        rank.priority === 0 && step.waits.reason === "teamLimit"
      ).map(({ step }) => step.job.team),
    );
    const index = this.#index();
    this.#places = new Map(line.map(({ step }, place) => [step, place]));
    this.#reservations.begin(index.sizes());
    const claims = new Claims();
    const room = { index, held: claims };
    for (const [place, { step, rank }] of line.entries()) {
      this.#place(step, room);
      if (!step.spec.gang || !open.has(step)) continue;
      if (rank.lateness > RESERVING_LATENESS) continue;
      const reserved = this.#reserve(step, place, room);
      if (reserved) claims.add(this.#reservations.of(step));
    }
  }

  #line(): readonly Standing[] {
    const { clock, runTimes, open } = this.#context;
    const nowMs = clock.now().getTime();
    return [...open]
      .map((step) => {
        const queue = queueOf(this.#context, step.job);
        const due = dueMs(step.job, step.occurrence);
        return {
          step,
          rank: rankOf(step, queue, { runTimes, nowMs, dueMs: due }),
        };
      })
      .sort((a, b) => compareRanks(a.rank, b.rank));
  }

  #index(): RoomIndex {
    const { fleet, clock } = this.#context;
    return new RoomIndex(fleet, clock.monotonic());
  }

  /** Places what has room. */
  #place(step: StepRun, room: Room): void {
    if (this.#paused || !this.#context.open.has(step)) return;
    const nowMs = this.#context.clock.monotonic();
    if (this.#asker.mustWait(step)) return step.waits.note("advice", nowMs);
    const context = this.#searchContext(step, room);
    const search = findPlaces(step, context);
    if (search.places.length > 0) {
      this.#tellWait(step, search.places.length);
      this.#runs.start(step, search.places);
      this.#noteUrgent(step.job.team, context.queue);
      if (!this.#context.open.has(step)) return;
    }
    step.waits.note(search.reason ?? "noRoom", nowMs);
    if (adviceMayHelp(search.reason)) {
      const busy = this.#reservations.isOpen(context.queue.service);
      this.#asker.ask(step, { ...context, busy });
    }
  }

  /** Tells what a step has waited for, if that took long. */
  #tellWait(step: StepRun, placed: number): void {
    const { clock, log, metrics, fence } = this.#context;
    const sums = step.waits.end(clock.monotonic());
    const waitedMs = [...sums.values()].reduce((all, sum) => all + sum, 0);
    for (const [reason, sum] of sums) {
      metrics.count("step_wait_ms", { reason }, sum);
    }
    if (waitedMs < LONG_WAIT_MS) return;
    log.info("step.waited", {
      job: step.job.id,
      step: step.index,
      tasks: placed,
      fence,
      waitedMs,
      ...Object.fromEntries(
        [...sums].map(([reason, sum]) => [`${reason}Ms`, sum]),
      ),
    });
  }

  /** Steps of the first priority are short and urgent, and tasks that last must run: they heed no room of others. */
  #searchContext(step: StepRun, { index, held }: Room): SearchContext {
    const { clock, runTimes } = this.#context;
    const queue = queueOf(this.#context, step.job);
    const urgent = queue.priority === 0 || step.spec.longRunning;
    const nowMs = clock.monotonic();
    return {
      fleet: this.#context.fleet,
      index,
      queue,
      team: teamOf(this.#context, step.job),
      nowMs,
      held: urgent ? NOTHING_KEPT : held,
      limitKept: urgent ? NO_AMOUNTS : this.#limitKept(step, nowMs),
      runTimes,
      timeOf: () =>
        timeForStep(step, queue, {
          runTimes,
          nowMs: clock.now().getTime(),
          dueMs: dueMs(step.job, step.occurrence),
        }),
    };
  }

  #noteUrgent(team: string, { priority }: Queue): void {
    if (priority > 0) return;
    const { fleet, clock } = this.#context;
    this.#headroom.note(team, fleet.urgentUsedBy(team), clock.monotonic());
  }

  /** What a deferrable step leaves free below its team's limit. */
  #limitKept(step: StepRun, nowMs: number): Amounts {
    const { fleet } = this.#context;
    const { job: { team }, spec, left } = step;
    if (this.#headroom.peak(team, nowMs) === NO_AMOUNTS) return NO_AMOUNTS;
    const limited = teamOf(this.#context, step.job);
    if (limited === undefined || isUnlimited(limited)) return NO_AMOUNTS;
    return this.#headroom.keptFrom({
      team: limited,
      used: fleet.usedBy(team),
      urgent: fleet.urgentUsedBy(team),
      least: plus(NO_AMOUNTS, spec.amounts, spec.gang ? left : 1),
      urgentWaits: this.#urgentWaits.has(team),
      waitedMs: step.waits.waitedMs("limitHeadroom", nowMs),
    }, nowMs);
  }

  /** What a step may use outside of a pass. */
  #roomOutside(step: StepRun): Room {
    const claims = new Claims();
    const place = this.#places.get(step) ?? Infinity;
    for (const rooms of this.#reservations.before(place, step)) {
      claims.add(rooms);
    }
    return { index: this.#index(), held: claims };
  }

  /** Reserves room for a gang on the workers that are known to be good; `false` if there is not enough. */
  #reserve(step: StepRun, place: number, room: Room): boolean {
    const nowMs = this.#context.clock.monotonic();
    const { service } = queueOf(this.#context, step.job);
    if (!this.#reservations.isOpen(service)) return false;
    if (this.#reservations.renew(step, place, { service, nowMs })) return true;
    const context = this.#searchContext(step, room);
    const { spec, job } = step;
    const used = this.#context.fleet.usedBy(job.team);
    const taken = plus(used, context.limitKept ?? NO_AMOUNTS);
    const allowance = teamAllowance(context.team, taken, spec.amounts);
    if (allowance < step.left) return false;
    const fullest = [...reservableFor(step, context)].sort((a, b) =>
      b.used.cpuMillis - a.used.cpuMillis
    );
    const workers = preferredRoom(step, fullest, context);
    return this.#reservations.reserve(step, workers, {
      place,
      service,
      held: context.held,
      nowMs,
    });
  }
}
