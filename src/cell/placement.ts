/**
 * Finds workers for the waiting tasks of a step.
 *
 * @module
 */
import {
  type Fleet,
  type FleetWorker,
  roomOn,
  takesWork,
  tasksIn,
  teamAllowance,
  weighsOn,
} from "./fleet.ts";
import type { StepRun, Task } from "./job.ts";
import { type Amounts, fits, plus, type Queue, type Team } from "./types.ts";

/** Where a task goes. */
export interface Place {
  readonly task: Task;
  readonly worker: FleetWorker;
  readonly ticket?: string;
}

/** Why nothing was placed. */
export type NoPlace =
  | "teamLimit"
  | "noRoom"
  | "noAdvice"
  | "gangIncomplete";

/** What a look for places gives. */
export interface Search {
  readonly places: readonly Place[];
  readonly reason: NoPlace | undefined;
  /** Workers with room whose advice is missing or stale, the best first. */
  readonly unadvised: readonly FleetWorker[];
  /** Workers with room and a ticket. */
  readonly ready: readonly FleetWorker[];
}

/** What a search goes by. */
export interface SearchContext {
  readonly fleet: Fleet;
  readonly queue: Queue;
  readonly team: Team | undefined;
  /** Monotonic milliseconds. */
  readonly nowMs: number;
  /** Room held for others, by worker. */
  readonly held: Held;
  /** Room that others wait for, by worker: taken last. */
  readonly wanted: Held;
  /** Whether workers without a ticket matter: a question about them may be asked now. */
  readonly mayAsk: boolean;
}

/** Room by worker. */
export type Held = ReadonlyMap<string, Amounts>;

/** A ticket is not used in the last part of its life, milliseconds: commit and order take time. */
const TICKET_MARGIN_MS = 120;

/** Looks for places for a step; a gang gets all or none. */
export function findPlaces(step: StepRun, context: SearchContext): Search {
  const waiting = step.tasks.filter((task) => task.phase === "waiting");
  const allowance = teamAllowance(
    context.team,
    context.fleet.usedBy(step.job.team),
    step.spec.amounts,
  );
  const needed = step.spec.gang ? waiting.length : 1;
  if (allowance < needed) return nothing("teamLimit");
  const suited = suitedWorkers(step, context);
  if (suited.length === 0) return nothing("noRoom");
  const ready: FleetWorker[] = [];
  const unadvised: FleetWorker[] = [];
  for (const worker of suited) {
    if (isAdvised(step, worker, context)) ready.push(worker);
    else if (step.advice.verdicts.get(worker.id) !== false) {
      unadvised.push(worker);
    }
  }
  const most = Math.min(waiting.length, allowance);
  const places = fill(step, {
    waiting: waiting.slice(0, most),
    ready,
    context,
  });
  if (step.spec.gang && places.length < waiting.length) {
    return { places: [], reason: "gangIncomplete", unadvised, ready };
  }
  const reason = places.length > 0
    ? undefined
    : unadvised.length > 0
    ? "noAdvice"
    : "noRoom";
  return { places, reason, unadvised, ready };
}

/** How many tasks of a step workers could take, each at most as its rules allow. */
export function capacityFor(
  step: StepRun,
  workers: readonly FleetWorker[],
  context: Pick<SearchContext, "held">,
): number {
  const amounts = weighsOn(step);
  return workers.reduce(
    (sum, worker) =>
      sum +
      Math.min(
        tasksIn(openRoom(worker, context), amounts),
        perWorkerLeft(step, worker),
      ),
    0,
  );
}

/** Whether a worker may run a step by the queue's and the step's rules, with room or without. */
export function isEligible(
  step: StepRun,
  worker: FleetWorker,
  { queue, nowMs }: Pick<SearchContext, "queue" | "nowMs">,
): boolean {
  const { entry } = worker;
  const label = step.spec.requiredLabel;
  return entry !== undefined && entry.service === queue.service &&
    takesWork(worker, nowMs) &&
    (label === "" || entry.labels.includes(label));
}

/** All workers, or those with a ticket: far fewer, and each pass looks at them. */
function candidates(
  step: StepRun,
  { fleet, queue, mayAsk }: SearchContext,
): Iterable<FleetWorker> {
  if (mayAsk || queue.advice === undefined) return fleet.workers.values();
  return [...step.advice.tickets.keys()].flatMap((id) =>
    fleet.workers.get(id) ?? []
  );
}

function suitedWorkers(
  step: StepRun,
  context: SearchContext,
): readonly FleetWorker[] {
  const { dataRack } = step.spec;
  const amounts = weighsOn(step);
  const suited: Suited[] = [];
  for (const worker of candidates(step, context)) {
    if (!isEligible(step, worker, context)) continue;
    if (!fits(amounts, openRoom(worker, context))) continue;
    if (perWorkerLeft(step, worker) < 1) continue;
    suited.push({
      worker,
      far: dataRack !== "" && !worker.entry?.labels.includes(dataRack),
      wanted: context.wanted.has(worker.id),
      freeMillis: roomOn(worker).cpuMillis,
    });
  }
  return suited.sort(compareSuited).map(({ worker }) => worker);
}

/** A worker that could take a task, with what it is ordered by. */
interface Suited {
  readonly worker: FleetWorker;
  /** Whether it is on another rack than the data. */
  readonly far: boolean;
  /** Whether others wait for its room. */
  readonly wanted: boolean;
  readonly freeMillis: number;
}

/** Near the data first, then the fullest, which leaves large room in one piece. */
function compareSuited(a: Suited, b: Suited): number {
  return Number(a.far) - Number(b.far) ||
    Number(a.wanted) - Number(b.wanted) ||
    a.worker.failureShare - b.worker.failureShare ||
    a.freeMillis - b.freeMillis;
}

function isAdvised(
  step: StepRun,
  worker: FleetWorker,
  { queue, nowMs }: SearchContext,
): boolean {
  if (queue.advice === undefined) return true;
  const ticket = step.advice.tickets.get(worker.id);
  return ticket !== undefined &&
    nowMs < ticket.atMs + queue.advice.ticketMs - TICKET_MARGIN_MS;
}

function fill(
  step: StepRun,
  { waiting, ready, context }: {
    readonly waiting: readonly Task[];
    readonly ready: readonly FleetWorker[];
    readonly context: SearchContext;
  },
): readonly Place[] {
  if (step.spec.sameRack) {
    const racks = new Set(ready.map(rackOf));
    for (const rack of racks) {
      const near = ready.filter((worker) => rackOf(worker) === rack);
      const places = fillFrom(step, { waiting, ready: near, context });
      if (places.length === waiting.length) return places;
    }
  }
  return fillFrom(step, { waiting, ready, context });
}

function fillFrom(
  step: StepRun,
  { waiting, ready, context }: {
    readonly waiting: readonly Task[];
    readonly ready: readonly FleetWorker[];
    readonly context: SearchContext;
  },
): readonly Place[] {
  const amounts = weighsOn(step);
  const places: Place[] = [];
  let next = 0;
  for (const worker of ready) {
    let most = Math.min(
      tasksIn(openRoom(worker, context), amounts),
      perWorkerLeft(step, worker),
    );
    const ticket = step.advice.tickets.get(worker.id)?.ticket;
    while (most > 0 && next < waiting.length) {
      const task = waiting[next]!;
      places.push({
        task,
        worker,
        ...(ticket === undefined ? {} : { ticket }),
      });
      next++;
      most--;
    }
    if (next === waiting.length) break;
  }
  return places;
}

/** Room on a worker that is not held for others. */
export function openRoom(
  worker: FleetWorker,
  { held }: Pick<SearchContext, "held">,
): Amounts {
  const room = roomOn(worker);
  const kept = held.get(worker.id);
  return kept === undefined ? room : plus(room, kept, -1);
}

/** How many more tasks of a step may be on a worker at the same time. */
export function perWorkerLeft(step: StepRun, worker: FleetWorker): number {
  const most = step.spec.maxPerWorker;
  if (most === 0) return Infinity;
  let there = 0;
  for (const run of worker.runs.values()) if (run.step === step) there++;
  return most - there;
}

/** The rack is the label that names it; a worker has its kind and its rack as labels. */
export function rackOf(worker: FleetWorker): string {
  return worker.entry?.labels.at(-1) ?? "";
}

function nothing(reason: NoPlace): Search {
  return { places: [], reason, unadvised: [], ready: [] };
}
