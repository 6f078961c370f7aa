/**
 * The workers that an instance of the model owns, with headroom for urgent
 * work and quarantine of those that fail.
 *
 * @module
 */
import { Headroom } from "../../src/policy/headroom.ts";
import { WorkerPool } from "../../src/policy/worker_pool.ts";
import { Quarantine } from "../../src/policy/quarantine.ts";
import { add, fits, zeroResources } from "../../src/resources.ts";
import type { Resources, Urgency } from "../../src/types.ts";
import type { Events } from "./events.ts";
import type { Item } from "./trace.ts";

/** Which protections are in use. */
export interface Protections {
  /** Whether deferred work leaves room free for urgent work. */
  readonly headroom: boolean;
  /** Whether failing workers are taken out of use. */
  readonly quarantine: boolean;
}

/** The workers. */
export class OwnedWorkers {
  readonly pool = new WorkerPool();
  readonly #events: Events;
  readonly #protections: Protections;
  readonly #headroom = new Headroom();
  readonly #quarantine = new Quarantine();

  constructor(events: Events, protections: Protections) {
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

  /** Notes that an item asks for room here. */
  asked(item: Item): void {
    if (item.urgency !== "urgent") return;
    this.#headroom.recordUrgent(item.need, this.#events.nowMs);
  }

  /** Whether a need fits beside what work of its urgency leaves free. */
  hasRoom(need: Resources, urgency: Urgency): boolean {
    return fits(add(need, this.kept(urgency)), this.pool.totals().free) &&
      this.pool.fitsAny(need);
  }

  /** Room that work of this urgency leaves free. */
  kept(urgency: Urgency): Resources {
    if (urgency === "urgent" || !this.#protections.headroom) {
      return zeroResources;
    }
    const { capacity } = this.pool.totals();
    return this.#headroom.reservedCapacity(capacity, this.#events.nowMs);
  }

  /** Takes room that {@linkcode hasRoom} found. */
  take(need: Resources): string {
    const worker = this.pool.findWorker(need, { strategy: "even" })!;
    this.pool.allocate(worker, need);
    return worker;
  }

  /** Notes that an attempt began; a worker on probation gets no second one. */
  started(worker: string): void {
    const { nowMs } = this.#events;
    if (this.#quarantine.health(worker, nowMs).type !== "probing") return;
    this.#quarantine.beginProbe(worker, nowMs);
    this.pool.setUsable(worker, false);
  }

  /** Notes the end of an attempt; `freed` is called when a quarantine ends. */
  ended(
    item: Item,
    at: {
      readonly worker: string;
      readonly failed: boolean;
      readonly freed: () => void;
    },
  ): void {
    this.pool.release(at.worker, item.need);
    this.#headroom.recordCompletion(this.#events.nowMs);
    if (this.#protections.quarantine) this.#judge(item, at);
  }

  #judge(
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
      this.#reconsider(worker);
      freed();
    });
  }

  #reconsider(worker: string): void {
    const standing = this.#quarantine.health(worker, this.#events.nowMs);
    this.pool.setUsable(worker, standing.type !== "quarantined");
  }
}
