/**
 * Capacity of owned workers that is reserved for work which has not arrived
 * yet. An offer expires by itself. An offer whose cancellation arrived first is
 * never made.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import type { WorkerPool } from "../policy/worker_pool.ts";
import type { Resources } from "../types.ts";

/** Time for which cancellations are kept, milliseconds. */
const CANCELLATION_TTL_MS = 30_000;

/** Capacity reserved on a worker, with one unit of the team's allowance. */
export interface ReservedCapacity {
  readonly offer: string;
  readonly worker: string;
  readonly team: string;
  readonly need: Resources;
  readonly fence: number;
  /** Id that the offers of one reservation share. */
  readonly reservation: string;
}

interface OpenOffer extends ReservedCapacity {
  readonly timer: Timer;
}

/** Dependencies of {@linkcode Offers}. */
export interface OffersOptions {
  readonly pool: WorkerPool;
  readonly clock: Clock;
  /** Called when reserved capacity becomes free again. */
  readonly onReleased: (reserved: ReservedCapacity) => void;
}

/** The open offers of an owner. */
export class Offers {
  readonly #options: OffersOptions;
  readonly #open = new Map<string, OpenOffer>();
  readonly #cancelled = new Map<string, number>();

  constructor(options: OffersOptions) {
    this.#options = options;
  }

  /** Number of open offers. */
  get size(): number {
    return this.#open.size;
  }

  /**
   * Adds an offer of capacity that the caller has already taken from the pool.
   * Returns `false` if its reservation was cancelled before or an offer with
   * this id exists.
   */
  add(reserved: ReservedCapacity, timeoutMs: number): boolean {
    if (this.#cancelled.has(reserved.reservation)) return false;
    if (this.#open.has(reserved.offer)) return false;
    const timer = this.#options.clock.after(timeoutMs, () => {
      this.release(reserved.offer);
    });
    this.#open.set(reserved.offer, { ...reserved, timer });
    return true;
  }

  /**
   * Removes an offer so that its capacity can be used; `undefined` if it has
   * expired.
   */
  take(offer: string): ReservedCapacity | undefined {
    const reserved = this.#open.get(offer);
    if (reserved === undefined) return undefined;
    reserved.timer.cancel();
    this.#open.delete(offer);
    return reserved;
  }

  /** Releases the capacity of an offer. */
  release(offer: string): void {
    const reserved = this.take(offer);
    if (reserved === undefined) return;
    this.#options.pool.release(reserved.worker, reserved.need);
    this.#options.onReleased(reserved);
  }

  /**
   * Releases all offers of a reservation and rejects the reservation if it
   * arrives later.
   */
  cancel(reservation: string): void {
    const now = this.#options.clock.monotonic();
    this.#cancelled.set(reservation, now);
    this.#removeOldCancellations(now);
    const offers = [...this.#open.values()]
      .filter((open) => open.reservation === reservation);
    for (const { offer } of offers) this.release(offer);
  }

  #removeOldCancellations(nowMs: number): void {
    for (const [reservation, atMs] of this.#cancelled) {
      if (nowMs - atMs < CANCELLATION_TTL_MS) return;
      this.#cancelled.delete(reservation);
    }
  }
}
