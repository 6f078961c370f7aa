/**
 * Views of the active operator set for the controllers.
 *
 * @module
 */
import { emptySet } from "../operator_set/parse.ts";
import type { OperatorSet, Queue, Workload } from "../operator_set.ts";
import { largestRequestOf } from "../operator_set/largest_request.ts";
import type { QueueBounds } from "../policy/waiting_queue.ts";
import type { Resources } from "../types.ts";

/** Largest fraction of a shared queue that one team may fill. */
const MAX_TEAM_FRACTION = 0.5;

const closedQueueBound: QueueBounds = { maxWaiting: 0, maxWaitingPerTeam: 0 };

/** Queues of deferred work have no bound: the journal limits how much is accepted. */
const unboundedQueue: QueueBounds = {
  maxWaiting: Infinity,
  maxWaitingPerTeam: Infinity,
};

/** The active operator set. */
export class ActiveSettings {
  #hasSet = false;
  #set = emptySet();
  #drained: ReadonlySet<string> = new Set();
  #evacuated: ReadonlySet<string> = new Set();
  #limits: ReadonlyMap<string, number> = new Map();

  /** Activates a set. */
  activate(set: OperatorSet): void {
    this.#hasSet = true;
    this.#set = set;
    this.#drained = new Set(
      [...set.drains.values()].map(({ worker }) => worker),
    );
    this.#evacuated = new Set(
      [...set.evacuations.values()].map(({ zone }) => zone),
    );
    this.#limits = new Map(
      [...set.limits.values()].map(({ team, running }) => [team, running]),
    );
  }

  /** Whether a set has been activated. */
  get hasSet(): boolean {
    return this.#hasSet;
  }

  /** The active set; empty before the first activation. */
  set(): OperatorSet {
    return this.#set;
  }

  /** Largest number of tasks and requests that run at the same time, by team. */
  limits(): ReadonlyMap<string, number> {
    return this.#limits;
  }

  /** Weight in fair sharing, by team. */
  weights(): ReadonlyMap<string, number> {
    return new Map(
      [...this.set().shares.values()].map(({ team, weight }) => [team, weight]),
    );
  }

  /** Whether a worker is drained or its zone is evacuated. `zone` is `undefined` if the worker is not in the list. */
  isDrained(worker: string, zone: string | undefined): boolean {
    return this.#drained.has(worker) ||
      zone !== undefined && this.#evacuated.has(zone);
  }

  /** Returns a workload by its name. */
  workload(name: string): Workload | undefined {
    return this.set().workloads.get(name);
  }

  /** Maximum over the resources of a request of all services, in each dimension. */
  largestRequest(): Resources {
    return largestRequestOf(this.set().workloads.values());
  }

  /** Returns a queue by its name. */
  queue(name: string): Queue | undefined {
    return this.set().queues.get(name);
  }

  /** Bounds of the number of items that wait in a queue; 0 if the queue does not exist. */
  boundOf(name: string): QueueBounds {
    const queue = this.queue(name);
    if (queue === undefined) return closedQueueBound;
    if (queue.urgency === "deferred") return unboundedQueue;
    const { maxWaiting, teams } = queue;
    const fraction = teams.length > 1 ? MAX_TEAM_FRACTION : 1;
    return { maxWaiting, maxWaitingPerTeam: Math.ceil(maxWaiting * fraction) };
  }
}
