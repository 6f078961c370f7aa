/**
 * Room for the tasks of steps that wait, for the logs and metrics of waits. No
 * decision uses it.
 *
 * Unlike a search for placements, it includes workers that the leader avoids
 * for a while, and capacity that is reserved for other steps.
 *
 * @module
 */
import type { Fields } from "../logger.ts";
import type { AdviceDispatcher } from "./advice_dispatcher.ts";
import { type CellContext, queueOf, teamOf } from "./context.ts";
import { isEligible, remainingPerWorker } from "./decisions/capacity.ts";
import { hasUsableTicket } from "./decisions/placement.ts";
import {
  chargedAmounts,
  type FleetWorker,
  freeCapacityOf,
  tasksThatFit,
  teamAllowance,
} from "./fleet.ts";
import type { StepRun } from "./job.ts";
import type { Amounts, Team } from "./types.ts";

/** Room counts if it holds what the step needs this many times; source: the platform's pages. */
const AMPLE_ROOM_FACTOR = 2;
/** Share of a team's limit, and of a service's processors, below which a wait counts; source: the platform's pages. */
const MAX_USED_SHARE = 0.5;
/** Most workers that one snapshot examines for {@linkcode StepRoom.isDespiteRoom}. */
const MAX_EXAMINED_WORKERS = 20_000;

/** A worker and its free capacity. */
interface WorkerRoom {
  readonly worker: FleetWorker;
  readonly free: Amounts;
}

/** Workers of one service that are listed, not draining and not evacuated. */
interface ServiceRoom {
  readonly workers: WorkerRoom[];
  /** Processors, thousandths. */
  capacityMillis: number;
  freeMillis: number;
}

/** Snapshot of the room for the steps of a cell. */
export class StepRoom {
  readonly #context: CellContext;
  readonly #nowMs: number;
  #services: ReadonlyMap<string, ServiceRoom> | undefined;
  #examined = 0;

  /** `nowMs`: monotonic milliseconds. The snapshot is taken on the first use. */
  constructor(context: CellContext, nowMs: number) {
    this.#context = context;
    this.#nowMs = nowMs;
  }

  /**
   * Whether a step waits although nothing outside the leader forces it to: its
   * need fits twice on workers that are not known to be forbidden, its team is
   * under half of its limit, and under half of the service's processors are in
   * use. `undefined` if the snapshot has examined too many workers before.
   */
  isDespiteRoom(step: StepRun): boolean | undefined {
    const team = teamOf(this.#context, step.job);
    const used = this.#context.fleet.usedBy(step.job.team);
    const { service } = queueOf(this.#context, step.job);
    if (!isUnderShare(team, used)) return false;
    if (this.usedShare(service) >= MAX_USED_SHARE) return false;
    const need = step.spec.gang ? step.remainingTasks : 1;
    return this.#hasRoom(step, AMPLE_ROOM_FACTOR * need);
  }

  /** Share of a service's processors that is in use, 0 to 1; 1 if it has none. */
  usedShare(service: string): number {
    const room = this.#service(service);
    if (room === undefined || room.capacityMillis === 0) return 1;
    return 1 - room.freeMillis / room.capacityMillis;
  }

  /** Log fields that distinguish the causes of a wait. Walks the workers of the step's service. */
  fieldsOf(
    step: StepRun,
    dispatcher: Pick<AdviceDispatcher, "freeSlotsFor">,
  ): Fields {
    const { fleet } = this.#context;
    const queue = queueOf(this.#context, step.job);
    const context = { queue, nowMs: this.#nowMs };
    const fit: FleetWorker[] = [];
    let avoidedWorkers = 0;
    for (const room of this.#workersOf(queue.service)) {
      if (taskRoom(step, room) < 1) continue;
      if (isEligible(step, room.worker, context)) fit.push(room.worker);
      else avoidedWorkers++;
    }
    const teamTasks = teamAllowance(
      teamOf(this.#context, step.job),
      fleet.usedBy(step.job.team),
      step.spec.amounts,
    );
    const common = {
      fitWorkers: fit.length,
      avoidedWorkers,
      teamTasks: Number.isFinite(teamTasks) ? teamTasks : undefined,
      usedShare: this.usedShare(queue.service).toFixed(2),
    };
    if (queue.advice === undefined) return common;
    const { verdicts, tickets, requestsInFlight, retryAtMs } = step.advice;
    const count = (test: (worker: FleetWorker) => boolean) =>
      fit.filter(test).length;
    return {
      ...common,
      askedWorkers: count((worker) => verdicts.on(worker) !== undefined),
      goodWorkers: count((worker) => verdicts.on(worker) === true),
      usableTickets: count((worker) => hasUsableTicket(step, worker, context)),
      verdicts: verdicts.size,
      tickets: tickets.size,
      adviceInFlight: requestsInFlight,
      retryInMs: Math.round(Math.max(0, retryAtMs - this.#nowMs)),
      freeChannels: dispatcher.freeSlotsFor({
        name: queue.name,
        advice: queue.advice,
      }),
    };
  }

  #hasRoom(step: StepRun, tasks: number): boolean | undefined {
    const { verdicts } = step.advice;
    const { service } = queueOf(this.#context, step.job);
    let room = 0;
    for (const worker of this.#workersOf(service)) {
      if (this.#examined === MAX_EXAMINED_WORKERS) return undefined;
      this.#examined++;
      if (verdicts.on(worker.worker) === false) continue;
      room += taskRoom(step, worker);
      if (room >= tasks) return true;
    }
    return false;
  }

  #workersOf(service: string): readonly WorkerRoom[] {
    return this.#service(service)?.workers ?? [];
  }

  #service(service: string): ServiceRoom | undefined {
    this.#services ??= snapshotByService(this.#context.fleet.workers.values());
    return this.#services.get(service);
  }
}

/** Whether a team uses less than {@linkcode MAX_USED_SHARE} of each of its limits. */
function isUnderShare(team: Team | undefined, used: Amounts): boolean {
  if (team === undefined) return true;
  const { limit } = team;
  const isUnder = (limit: number, used: number) =>
    limit === 0 || used < MAX_USED_SHARE * limit;
  return isUnder(limit.cpuMillis, used.cpuMillis) &&
    isUnder(limit.memoryMib, used.memoryMib) &&
    isUnder(limit.accelerators, used.accelerators);
}

/** How many tasks of a step a worker has room for and, by its label, may run. */
function taskRoom(step: StepRun, { worker, free }: WorkerRoom): number {
  const { requiredLabel } = step.spec;
  const fitting = tasksThatFit(free, chargedAmounts(step));
  if (fitting === 0) return 0;
  const isLabeled = requiredLabel === "" ||
    worker.entry?.labels.includes(requiredLabel);
  if (!isLabeled) return 0;
  return Math.max(0, Math.min(fitting, remainingPerWorker(step, worker)));
}

function snapshotByService(
  workers: Iterable<FleetWorker>,
): ReadonlyMap<string, ServiceRoom> {
  const services = new Map<string, ServiceRoom>();
  for (const worker of workers) {
    const { entry } = worker;
    if (entry === undefined || !worker.listed) continue;
    if (entry.draining || worker.evacuated) continue;
    const room = services.get(entry.service) ??
      { workers: [], capacityMillis: 0, freeMillis: 0 };
    services.set(entry.service, room);
    const free = freeCapacityOf(worker);
    room.workers.push({ worker, free });
    room.capacityMillis += entry.capacity.cpuMillis;
    room.freeMillis += free.cpuMillis;
  }
  return services;
}
