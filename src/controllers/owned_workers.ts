/**
 * The workers that this instance owns: which of them may get new work, and
 * what runs on them that this instance did not start.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import type { Log } from "../logger.ts";
import { Leftover } from "../policy/leftover.ts";
import { leftoverRoom } from "../policy/leftover_room.ts";
import type { WorkerPool } from "../policy/pool.ts";
import type { Authority } from "../ports/authority.ts";
import type { Report, TaskReport, Upstream } from "../ports/upstream.ts";
import { add, fits, zeroResources } from "../resources.ts";
import type { Resources, Worker } from "../types.ts";
import type { Fleet } from "./fleet.ts";
import type { Run, WorkerStandings } from "./worker_standings.ts";

/** Time between reports asked of a worker, milliseconds. */
export const REPORT_INTERVAL_MS = 1_000;
/** A request that the former owner sent just before it lost a worker arrives within this, milliseconds. */
const LATE_SEND_MS = 300;
/** Time between attempts to reach a worker that has not reported yet, milliseconds. */
const FIRST_REPORT_INTERVAL_MS = 200;

/** Requests given up on a worker that is no longer owned count for so long at most, milliseconds. */
const LOST_MEMORY_MS = 60_000;

/** What a former owner started on a worker that has been silent for so long counts as ended, milliseconds. */
const SILENT_SETTLED_MS = 30_000;

/** Prefix of the units of ownership that are workers. */
export const WORKER_UNIT = "worker:";

/** What the controller needs. */
export interface OwnedWorkersOptions {
  readonly authority: Authority;
  readonly fleet: Fleet;
  readonly pool: WorkerPool;
  readonly upstream: Upstream;
  readonly clock: Clock;
  readonly log: Log;
  readonly standings: WorkerStandings;
  /** The most that a request of any workload takes. */
  readonly largestRequest: () => Resources;
  /** Whether the operators have taken a worker out of use. */
  readonly drained: (worker: string) => boolean;
}

/** The tasks that a worker reported. */
export interface TaskSight {
  readonly tasks: readonly TaskReport[];
  /** Earliest time at which the figures may have been taken, monotonic milliseconds. */
  readonly measuredAtMs: number;
}

/** Tells of what happens on owned workers. */
export interface WorkerListener {
  /** A worker may have more room than before. */
  roomChanged(): void;
  /** The tasks that a worker reported. */
  tasksReported(worker: Worker, sight: TaskSight): void;
  /** All that runs on a worker has been accounted for. */
  settled?(worker: string): void;
  /** What runs on a worker as tasks that this instance tracks. */
  trackedOn(worker: string): ReadonlySet<string>;
}

interface Owned {
  readonly worker: Worker;
  readonly leftover: Leftover;
  fence: number;
  /** The worker refuses starts of tasks under older fencing numbers. */
  fenced: boolean;
  /** Time of its last report, or of its adoption. */
  heardAtMs: number;
  owned: boolean;
  reachable: boolean;
  leaving: boolean;
  foreignTasks: Resources;
  /** What requests took that were given up since none was left over. */
  lostNeeds: Resources[];
  /** When those count as gone on a worker that is no longer owned. */
  lostUntilMs: number;
  timer?: Timer;
}

/** Keeps the pool in step with ownership, the list and the workers' reports. */
export class OwnedWorkers {
  readonly #options: OwnedWorkersOptions;
  readonly #entries = new Map<string, Owned>();
  readonly #listeners: WorkerListener[] = [];

  constructor(options: OwnedWorkersOptions) {
    this.#options = options;
    options.authority.onChange(() => this.refresh());
    options.fleet.onChange(() => this.refresh());
  }

  /** Adds a listener. */
  listen(listener: WorkerListener): void {
    this.#listeners.push(listener);
  }

  /** Looks at ownership, the list and the drains again. */
  refresh(): void {
    const units = this.#options.authority.owned(WORKER_UNIT);
    const owned = new Set(units.map((unit) => unit.slice(WORKER_UNIT.length)));
    for (const id of owned) this.#adopt(id);
    for (const [id, entry] of this.#entries) {
      if (!owned.has(id)) this.#drop(id, entry);
      else this.#judge(id, entry);
    }
    for (const listener of this.#listeners) listener.roomChanged();
  }

  /** The fencing number under which this instance owns a worker; `undefined` if it does not. */
  fence(id: string): number | undefined {
    const unit = WORKER_UNIT + id;
    const entry = this.#entries.get(id);
    const fence = this.#options.authority.fenceOf(unit);
    return entry?.owned && entry.fence === fence ? fence : undefined;
  }

  /** Whether work may start on a worker right now, in room that is held for it. */
  usable(id: string): boolean {
    const entry = this.#entries.get(id);
    return entry !== undefined && this.#isFit(id, entry);
  }

  /** Room was taken on a worker. */
  roomTaken(id: string): void {
    this.#options.standings.roomTaken(id);
    const entry = this.#entries.get(id);
    if (entry !== undefined) this.#judge(id, entry);
  }

  /** A run on a worker has ended. */
  ran(id: string, run: Run): void {
    this.#options.standings.ran(id, run);
    const entry = this.#entries.get(id);
    if (entry !== undefined) this.#judge(id, entry);
  }

  /** Most requests that may run on a worker without this instance waiting for them. */
  unaccounted(id: string): number {
    return this.#entries.get(id)?.leftover.count ?? 0;
  }

  /** A request is about to be sent to a worker. */
  requestStarted(id: string, request: string): void {
    const now = this.#options.clock.monotonic();
    this.#entries.get(id)?.leftover.started(request, now);
  }

  /** A request was answered whole, or never reached its worker. */
  requestEnded(id: string, request: string): void {
    const now = this.#options.clock.monotonic();
    this.#entries.get(id)?.leftover.ended(request, now);
    this.#sweep(id);
  }

  /** A request was given up and may still run on its worker. */
  requestLost(
    id: string,
    request: { readonly id: string; readonly need: Resources },
  ): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    entry.leftover.lost(request.id, this.#options.clock.monotonic());
    entry.lostNeeds.push(request.need);
    entry.lostUntilMs = this.#options.clock.monotonic() + LOST_MEMORY_MS;
    this.#reserve(id, entry);
  }

  /** A worker said that it is leaving, or cannot be reached: no new work until it reports again. */
  suspect(id: string, leaving: boolean): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    entry.reachable = false;
    entry.leaving ||= leaving;
    this.#judge(id, entry);
  }

  /** Requests that this instance has sent to workers and that are not answered. */
  get inFlight(): number {
    return [...this.#entries.values()]
      .reduce((sum, { leftover }) => sum + leftover.active, 0);
  }

  /** Stops asking for reports. */
  stop(): void {
    for (const entry of this.#entries.values()) entry.timer?.cancel();
  }

  #adopt(id: string): void {
    const { authority, clock, fleet, log, pool, standings } = this.#options;
    const worker = fleet.worker(id);
    const fence = authority.fenceOf(WORKER_UNIT + id);
    if (worker === undefined || fence === undefined) return;
    const known = this.#entries.get(id);
    if (known?.owned && known.fence === fence) return;
    const trustedFromMs = clock.monotonic() + LATE_SEND_MS;
    if (known !== undefined) {
      known.owned = true;
      known.fence = fence;
      known.fenced = false;
      known.heardAtMs = trustedFromMs;
      known.reachable = false;
      known.leftover.reset(trustedFromMs);
    } else {
      pool.upsert(worker);
      standings.add(id);
      pool.setUsable(id, false);
      this.#entries.set(id, newEntry(worker, fence, trustedFromMs));
    }
    log.info("worker.adopted", { worker: id, fence });
    this.#poll(id);
  }

  #drop(id: string, entry: Owned): void {
    if (entry.owned) {
      this.#options.log.info("worker.given_up", { worker: id });
    }
    entry.owned = false;
    this.#options.pool.setUsable(id, false);
    this.#sweep(id);
  }

  /** Forgets a worker that is no longer owned once this instance holds nothing on it. */
  #sweep(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined || entry.owned) return;
    if (entry.leftover.active > 0 || this.#holdsRoom(id)) return;
    if (this.#awaitsLost(entry)) return;
    const tracked = this.#listeners.some((listener) =>
      listener.trackedOn(id).size > 0
    );
    if (tracked) return;
    entry.timer?.cancel();
    this.#entries.delete(id);
    this.#options.pool.remove(id);
    this.#options.standings.remove(id);
    for (const listener of this.#listeners) listener.roomChanged();
  }

  /** Whether requests that were given up may still run there. */
  #awaitsLost(entry: Owned): boolean {
    return entry.lostNeeds.length > 0 &&
      this.#options.clock.monotonic() < entry.lostUntilMs;
  }

  #holdsRoom(id: string): boolean {
    const taken = this.#options.pool.taken(id) ?? zeroResources;
    return !fits(taken, zeroResources);
  }

  #judge(id: string, entry: Owned): void {
    const { pool, standings } = this.#options;
    pool.setUsable(id, this.#isFit(id, entry) && standings.allows(id));
  }

  /** Whether a worker may run work, whatever its standing. */
  #isFit(id: string, entry: Owned): boolean {
    const { drained, fleet } = this.#options;
    return entry.owned && entry.fenced && entry.reachable &&
      entry.leftover.known && !entry.leaving && fleet.live(id) && !drained(id);
  }

  #poll(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    entry.timer?.cancel();
    void this.#ask(id, entry).then(() => this.#schedule(id));
  }

  /** Asks for a report, after the worker has heard of this instance's fencing number. */
  async #ask(id: string, entry: Owned): Promise<void> {
    const { clock, upstream } = this.#options;
    const { fence, worker } = entry;
    if (entry.owned && !entry.fenced) {
      const renewed = await upstream.renew(worker.address, fence, []);
      if (renewed.isErr()) return this.#unheard(id, entry);
      entry.fenced = entry.fence === fence;
    }
    const sentAtMs = clock.monotonic();
    await upstream.report(worker.address).match(
      (report) => this.#reported(id, { report, sentAtMs }),
      () => this.#unheard(id, entry),
    );
  }

  /** A worker gave no report. What ran on one that stays silent has ended with its lease. */
  #unheard(id: string, entry: Owned): void {
    this.suspect(id, false);
    const silentMs = this.#options.clock.monotonic() - entry.heardAtMs;
    if (silentMs > SILENT_SETTLED_MS) this.#settled(id);
    this.#sweep(id);
  }

  #settled(id: string): void {
    for (const listener of this.#listeners) listener.settled?.(id);
  }

  #schedule(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    const delayMs = entry.leftover.known
      ? REPORT_INTERVAL_MS
      : FIRST_REPORT_INTERVAL_MS;
    entry.timer?.cancel();
    entry.timer = this.#options.clock.after(delayMs, () => this.#poll(id));
  }

  #reported(
    id: string,
    { report, sentAtMs }: {
      readonly report: Report;
      readonly sentAtMs: number;
    },
  ): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    const measuredAtMs = sentAtMs - report.ageMs;
    entry.reachable = true;
    entry.heardAtMs = this.#options.clock.monotonic();
    entry.leaving = report.leaving;
    entry.leftover.sighted({
      measuredAtMs,
      measuredByMs: this.#options.clock.monotonic() - report.ageMs,
      requests: report.requests,
    });
    for (const listener of this.#listeners) {
      listener.tasksReported(entry.worker, {
        tasks: report.tasks,
        measuredAtMs,
      });
    }
    entry.foreignTasks = this.#foreign(id, report);
    this.#reserve(id, entry);
    this.#judge(id, entry);
    if (entry.leftover.known && entry.leftover.count === 0) this.#settled(id);
    for (const listener of this.#listeners) listener.roomChanged();
    this.#sweep(id);
  }

  #foreign(id: string, report: Report): Resources {
    const tracked = new Set(
      this.#listeners.flatMap((listener) => [...listener.trackedOn(id)]),
    );
    return report.tasks
      .filter((task) => !tracked.has(task.attempt))
      .filter(({ state }) =>
        state.type === "running" || state.type === "throttled"
      )
      .reduce((sum, task) => add(sum, task.declared), zeroResources);
  }

  #reserve(id: string, entry: Owned): void {
    const { count } = entry.leftover;
    if (count === 0) entry.lostNeeds = [];
    const requests = leftoverRoom(count, {
      needs: entry.lostNeeds,
      capacity: entry.worker.capacity,
      most: this.#options.largestRequest(),
    });
    this.#options.pool.reserveFor(id, add(requests, entry.foreignTasks));
  }
}

function newEntry(
  worker: Worker,
  fence: number,
  trustedFromMs: number,
): Owned {
  return {
    worker,
    fence,
    fenced: false,
    heardAtMs: trustedFromMs,
    leftover: new Leftover(trustedFromMs),
    owned: true,
    reachable: false,
    leaving: false,
    foreignTasks: zeroResources,
    lostNeeds: [],
    lostUntilMs: -Infinity,
  };
}
