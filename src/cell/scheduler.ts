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
import { type FleetWorker, takesWork, teamAllowance } from "./fleet.ts";
import { dueMs, type StepRun } from "./job.ts";
import { compareRanks, type Rank, rankOf } from "./order.ts";
import {
  findPlaces,
  type Held,
  isEligible,
  rackOf,
  type SearchContext,
} from "./placement.ts";
import { adviceMayHelp } from "./questions.ts";
import { addTo, type FleetSize, mostOn, Reservations } from "./reservations.ts";
import type { Runs } from "./runs.ts";

/** Changes gather for so long before a pass, milliseconds. */
const PASS_DELAY_MS = 10;
/** The same when a lane to the advice service has come free, milliseconds. */
const LANE_DELAY_MS = 2;
/** Rest after a pass, in times of what it took: a third of the processor at most goes into passes. */
const PASS_REST = 2;
/** Nothing is started while the store has not answered for so long, milliseconds: starts are recorded first. */
const STORE_STUCK_MS = 250;
/** Gangs that are later than this reserve nothing; source: {@linkcode Rank}. */
const RESERVING_LATENESS = 1;
const NO_ROOMS: Held = new Map();

/** A step in the line. */
interface Standing {
  readonly step: StepRun;
  readonly rank: Rank;
}

/** Schedules the work of one holder. */
export class Scheduler {
  readonly #context: CellContext;
  readonly #runs: Runs;
  readonly #asker: Asker;
  readonly #reservations = new Reservations();
  /** Places in the line of the last pass. */
  #places = new Map<StepRun, number>();
  #timer: Timer | undefined;
  #closed = false;
  #passMs = 0;
  #lastPassMs = 0;

  constructor(
    context: CellContext,
    { runs, desk }: { readonly runs: Runs; readonly desk: AdviceDesk },
  ) {
    this.#context = context;
    this.#runs = runs;
    this.#asker = new Asker(context, desk, (step) => {
      this.#place(step, this.#heldOutside(step));
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

  /** No pass any more. */
  close(): void {
    this.#closed = true;
    this.#timer?.cancel();
  }

  #pass(): void {
    const { holds, jobLog } = this.#context;
    if (!holds() || jobLog.stuckMs() > STORE_STUCK_MS) return;
    const startedMs = this.#context.clock.monotonic();
    this.#goOverLine(this.#line());
    const tookMs = this.#context.clock.monotonic() - startedMs;
    this.#passMs += tookMs;
    this.#lastPassMs = tookMs;
    this.#context.metrics.observe("pass_ms", tookMs);
  }

  #goOverLine(line: readonly Standing[]): void {
    this.#places = new Map(line.map(({ step }, place) => [step, place]));
    this.#reservations.begin(this.#sizes());
    const held = this.#asker.heldBeside(undefined);
    for (const [place, { step, rank }] of line.entries()) {
      const own = this.#asker.heldFor(step).size > 0;
      const beside = own ? this.#heldOutside(step) : held;
      this.#place(step, beside);
      if (!step.spec.gang || !this.#context.open.has(step)) continue;
      if (rank.lateness > RESERVING_LATENESS) continue;
      const reserved = this.#reserve(step, { place, held: beside });
      if (reserved) addTo(held, this.#reservations.of(step));
    }
  }

  #line(): readonly Standing[] {
    const { clock, durations, open } = this.#context;
    const nowMs = clock.now().getTime();
    return [...open]
      .map((step) => {
        const queue = queueOf(this.#context, step.job);
        const due = dueMs(step.job, step.occurrence);
        return {
          step,
          rank: rankOf(step, queue, { durations, nowMs, dueMs: due }),
        };
      })
      .sort((a, b) => compareRanks(a.rank, b.rank));
  }

  #sizes(): ReadonlyMap<string, FleetSize> {
    const { fleet, clock } = this.#context;
    const nowMs = clock.monotonic();
    const sizes = new Map<string, FleetSize>();
    for (const worker of fleet.workers.values()) {
      const { entry, used } = worker;
      if (entry === undefined || !takesWork(worker, nowMs)) continue;
      const before = sizes.get(entry.service);
      sizes.set(entry.service, {
        cpuMillis: (before?.cpuMillis ?? 0) + entry.capacity.cpuMillis,
        usedMillis: (before?.usedMillis ?? 0) + used.cpuMillis,
      });
    }
    return sizes;
  }

  /** Places what has room; `held` is kept for others. */
  #place(step: StepRun, held: Held): void {
    if (!this.#context.open.has(step)) return;
    if (this.#asker.mustWait(step)) return;
    const context = this.#searchContext(step, held);
    const search = findPlaces(step, context);
    if (search.places.length > 0) {
      this.#asker.release(step);
      this.#runs.start(step, search.places);
      if (!this.#context.open.has(step)) return;
    } else {
      const reason = search.reason ?? "none";
      this.#context.metrics.count("passes_without_place", { reason });
    }
    if (adviceMayHelp(search.reason, step.spec.gang)) {
      const busy = this.#reservations.isOpen(context.queue.service);
      this.#asker.ask(step, search, { ...context, busy });
    }
  }

  /** Steps of the first priority are short and urgent, and tasks that last must run: they heed no room of others but take it last. */
  #searchContext(step: StepRun, held: Held): SearchContext {
    const queue = queueOf(this.#context, step.job);
    const urgent = queue.priority === 0 || step.spec.longRunning;
    return {
      fleet: this.#context.fleet,
      queue,
      team: teamOf(this.#context, step.job),
      nowMs: this.#context.clock.monotonic(),
      held: urgent ? NO_ROOMS : held,
      wanted: urgent ? held : NO_ROOMS,
      mayAsk: this.#asker.mayAsk(step),
    };
  }

  /** Room held for others than a step, outside of a pass. */
  #heldOutside(step: StepRun): Held {
    const held = this.#asker.heldBeside(step);
    const place = this.#places.get(step) ?? Infinity;
    addTo(held, this.#reservations.before(place, step));
    return held;
  }

  /** Reserves room for a gang on the workers that are known to be good; `false` if there is not enough. */
  #reserve(
    step: StepRun,
    { place, held }: { readonly place: number; readonly held: Held },
  ): boolean {
    const nowMs = this.#context.clock.monotonic();
    const { service } = queueOf(this.#context, step.job);
    if (!this.#reservations.isOpen(service)) return false;
    if (this.#reservations.renew(step, place, { service, nowMs })) return true;
    const context = this.#searchContext(step, held);
    const { spec, job } = step;
    const used = this.#context.fleet.usedBy(job.team);
    const allowance = teamAllowance(context.team, used, spec.amounts);
    if (allowance < step.left) return false;
    const good = this.#goodFor(step, context);
    const asked = this.#asker.heldFor(step);
    // Workers whose tickets are on their way stay chosen.
    const workers = [...inOneRack(step, good)].sort((a, b) =>
      Number(asked.has(b.id)) - Number(asked.has(a.id)) ||
      b.used.cpuMillis - a.used.cpuMillis
    );
    return this.#reservations.reserve(step, workers, {
      place,
      service,
      held: context.held,
      asked,
      nowMs,
    });
  }

  /** Workers that a step could run on and that the advice service allows, as far as is known. */
  #goodFor(step: StepRun, context: SearchContext): readonly FleetWorker[] {
    const advised = context.queue.advice !== undefined;
    const good: FleetWorker[] = [];
    for (const worker of this.#context.fleet.workers.values()) {
      if (advised && step.advice.verdicts.get(worker.id) !== true) continue;
      if (!isEligible(step, worker, context)) continue;
      if (mostOn(step, worker) > 0) good.push(worker);
    }
    return good;
  }
}

/** All workers, or where a step must be in one rack those of the rack with most of them. */
function inOneRack(
  step: StepRun,
  workers: readonly FleetWorker[],
): readonly FleetWorker[] {
  if (!step.spec.sameRack) return workers;
  const racks = new Map<string, FleetWorker[]>();
  for (const worker of workers) {
    const there = racks.get(rackOf(worker)) ?? [];
    there.push(worker);
    racks.set(rackOf(worker), there);
  }
  const all = [...racks.values()];
  return all.sort((a, b) => b.length - a.length)[0] ?? [];
}
