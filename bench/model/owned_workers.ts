/**
 * Workers owned by a simulated instance, with headroom for urgent work and
 * quarantine of failing workers.
 *
 * @module
 */
import { Headroom } from "../../src/policy/headroom.ts";
import { WorkerPool } from "../../src/policy/worker_pool.ts";
import { Quarantine } from "../../src/policy/quarantine.ts";
import { add, fits, zeroResources } from "../../src/resources.ts";
import type { Resources, Urgency } from "../../src/types.ts";
import type { EventQueue } from "./event_queue.ts";
import type { Item } from "./trace.ts";

/** Protections that can be switched off for comparison. */
export interface Protections {
  /** Whether capacity is reserved for urgent work when deferred work is placed. */
  readonly headroom: boolean;
  /** Whether failing workers are quarantined. */
  readonly quarantine: boolean;
}

/** The workers of one instance. */
export class OwnedWorkers {
  readonly pool = new WorkerPool();
  readonly #events: EventQueue;
  readonly #protections: Protections;
  readonly #headroom = new Headroom();
  readonly #quarantine = new Quarantine();

  constructor(events: EventQueue, protections: Protections) {
    this.#events = events;
    this.#protections = protections;
  }

  /** Adds a worker. */
  add(worker: string, slots: number): void {
    this.pool.upsert({
      id: worker,
      address: "10.0.0.1:80",
      zone: "a",
      rack: "a",
      capacity: { ...zeroResources, slots },
      connections: 60,
    });
    this.#quarantine.add(worker);
  }

  /** Records a request for capacity; urgent ones raise the headroom. */
  recordRequest(item: Item): void {
    if (item.urgency !== "urgent") return;
    this.#headroom.recordUrgent(item.need, this.#events.nowMs);
  }

  /** Whether a need fits into the free capacity less the headroom for its urgency. */
  hasCapacity(need: Resources, urgency: Urgency): boolean {
    return fits(
      add(need, this.reservedFor(urgency)),
      this.pool.totals().free,
    ) &&
      this.pool.fitsAny(need);
  }

  /** Capacity that work of this urgency must leave free. */
  reservedFor(urgency: Urgency): Resources {
    if (urgency === "urgent" || !this.#protections.headroom) {
      return zeroResources;
    }
    const { capacity } = this.pool.totals();
    return this.#headroom.reservedCapacity(capacity, this.#events.nowMs);
  }

  /** Reserves capacity that {@linkcode hasCapacity} has found; returns the worker. */
  take(need: Resources): string {
    const worker = this.pool.findWorker(need, { strategy: "even" })!;
    this.pool.allocate(worker, need);
    return worker;
  }

  /** Records the start of an attempt; a worker that is being probed gets no second one. */
  recordStart(worker: string): void {
    const { nowMs } = this.#events;
    if (this.#quarantine.health(worker, nowMs).type !== "probing") return;
    this.#quarantine.beginProbe(worker, nowMs);
    this.pool.setUsable(worker, false);
  }

  /** Records the completion of an attempt; `freed` is called when a quarantine that it causes ends. */
  recordEnd(
    item: Item,
    at: {
      readonly worker: string;
      readonly failed: boolean;
      readonly freed: () => void;
    },
  ): void {
    this.pool.release(at.worker, item.need);
    this.#headroom.recordCompletion(this.#events.nowMs);
    if (this.#protections.quarantine) this.#updateQuarantine(item, at);
  }

  #updateQuarantine(
    item: Item,
    at: {
      readonly worker: string;
      readonly failed: boolean;
      readonly freed: () => void;
    },
  ): void {
    const { worker, failed, freed } = at;
    const { nowMs } = this.#events;
    const end = { worker, workload: item.workload, failed, nowMs };
    const standing = this.#quarantine.record(end);
    this.pool.setUsable(worker, standing.type !== "quarantined");
    if (standing.type !== "quarantined") return;
    this.#events.after(standing.untilMs - nowMs, () => {
      this.#refreshUsable(worker);
      freed();
    });
  }

  #refreshUsable(worker: string): void {
    const standing = this.#quarantine.health(worker, this.#events.nowMs);
    this.pool.setUsable(worker, standing.type !== "quarantined");
  }
}
