/**
 * The operators' set in the shapes that the controllers ask for.
 *
 * @module
 */
import { emptySet } from "../operator_set/parse.ts";
import type { OperatorSet, Queue, Workload } from "../operator_set.ts";
import { largestRequestOf } from "../operator_set/requests.ts";
import type { QueueBound } from "../policy/waiting.ts";
import type { Resources } from "../types.ts";

/** Teams may fill this part of a queue. */
const TEAM_PART = 0.5;

const closedQueue: QueueBound = { maxWaiting: 0, maxWaitingPerTeam: 0 };

/** Deferred work is bounded where it is accepted, by the journal. */
const unbounded: QueueBound = {
  maxWaiting: Infinity,
  maxWaitingPerTeam: Infinity,
};

/** Views of the set in force. */
export class SettingsInForce {
  #known = false;
  #set = emptySet();
  #drained: ReadonlySet<string> = new Set();
  #evacuated: ReadonlySet<string> = new Set();
  #limits: ReadonlyMap<string, number> = new Map();

  /** Puts a set in force. */
  replace(set: OperatorSet): void {
    this.#known = true;
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

  /** Whether a set is in force. */
  get known(): boolean {
    return this.#known;
  }

  /** The set in force; empty until one is known. */
  set(): OperatorSet {
    return this.#set;
  }

  /** Upper limits by team. */
  limits(): ReadonlyMap<string, number> {
    return this.#limits;
  }

  /** Weights of shares by team. */
  weights(): ReadonlyMap<string, number> {
    return new Map(
      [...this.set().shares.values()].map(({ team, weight }) => [team, weight]),
    );
  }

  /** Whether the operators have taken a worker or its zone out of use. `zone`: `undefined` if the list does not name the worker. */
  drained(worker: string, zone: string | undefined): boolean {
    return this.#drained.has(worker) ||
      zone !== undefined && this.#evacuated.has(zone);
  }

  /** A workload by name. */
  workload(name: string): Workload | undefined {
    return this.set().workloads.get(name);
  }

  /** The most that a request of any service takes. */
  largestRequest(): Resources {
    return largestRequestOf(this.set().workloads.values());
  }

  /** A queue by name. */
  queue(name: string): Queue | undefined {
    return this.set().queues.get(name);
  }

  /** How much may wait in a queue. */
  boundOf(name: string): QueueBound {
    const queue = this.queue(name);
    if (queue === undefined) return closedQueue;
    if (queue.urgency === "deferred") return unbounded;
    const { maxWaiting, teams } = queue;
    const part = teams.length > 1 ? TEAM_PART : 1;
    return { maxWaiting, maxWaitingPerTeam: Math.ceil(maxWaiting * part) };
  }
}
